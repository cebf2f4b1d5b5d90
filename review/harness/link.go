package main

import (
	"net"
	"sync"
	"time"
)

// link limits the rate of a machine's link. It is safe for concurrent use.
type link struct {
	bytesPerS float64

	mu     sync.Mutex
	freeAt time.Time
}

// newLink returns a link of so many Mbit/s, as LinkMbps in the settings.
func newLink(mbps float64) *link { return &link{bytesPerS: mbps * 1e6 / 8} }

// take waits until the link has carried so many bytes.
func (link *link) take(count int) {
	link.mu.Lock()
	now := time.Now()
	if link.freeAt.Before(now) {
		link.freeAt = now
	}
	link.freeAt = link.freeAt.Add(time.Duration(float64(count) / link.bytesPerS * float64(time.Second)))
	wait := link.freeAt.Sub(now)
	link.mu.Unlock()
	time.Sleep(wait)
}

// linkListener accepts connections whose bytes pass over a link, each direction by itself.
type linkListener struct {
	net.Listener
	in, out *link
}

func (listener linkListener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return linkConn{Conn: connection, in: listener.in, out: listener.out}, nil
}

type linkConn struct {
	net.Conn
	in, out *link
}

func (connection linkConn) Read(data []byte) (int, error) {
	count, err := connection.Conn.Read(data)
	connection.in.take(count)
	return count, err
}

// Write sends the data in pieces, as a link does.
func (connection linkConn) Write(data []byte) (int, error) {
	const piece = 16 << 10
	total := 0
	for total < len(data) {
		end := min(total+piece, len(data))
		connection.out.take(end - total)
		count, err := connection.Conn.Write(data[total:end])
		total += count
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
