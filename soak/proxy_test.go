package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxy passes connections on over loopback, and lets a link misbehave.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// silent holds all bytes back; delay holds each part back for a time.
	silent bool
	delay  time.Duration
}

func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	made := &proxy{target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() { _ = listener.Close(); made.reset() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go made.serve(connection)
		}
	}()
	return made
}

func (link *proxy) address() string { return link.listener.Addr().String() }

func (link *proxy) serve(caller net.Conn) {
	link.keep(caller, true)
	defer link.keep(caller, false)
	callee, err := net.Dial("tcp", link.target)
	if err != nil {
		return
	}
	link.keep(callee, true)
	defer link.keep(callee, false)
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{caller, callee}, {callee, caller}} {
		go func() {
			link.pass(pair[0], pair[1])
			ended <- struct{}{}
		}()
	}
	<-ended
}

func (link *proxy) keep(connection net.Conn, kept bool) {
	link.mu.Lock()
	defer link.mu.Unlock()
	if kept {
		link.conns[connection] = struct{}{}
		return
	}
	delete(link.conns, connection)
	_ = connection.Close()
}

func (link *proxy) pass(from, to net.Conn) {
	part := make([]byte, 32<<10)
	for {
		count, err := from.Read(part)
		for link.isSilent() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(link.pause())
		if count > 0 {
			if _, err := to.Write(part[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (link *proxy) isSilent() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.silent
}

func (link *proxy) pause() time.Duration {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.delay
}

func (link *proxy) set(silent bool, delay time.Duration) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.silent, link.delay = silent, delay
}

// reset breaks all connections.
func (link *proxy) reset() {
	link.mu.Lock()
	defer link.mu.Unlock()
	for connection := range link.conns {
		_ = connection.Close()
	}
}
