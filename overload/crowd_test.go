package overload

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowd is a number of clients that hold their connections open.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	// sent is closed when all clients have sent what they send, or were stopped by the server.
	sent chan struct{}
}

// dialers is the number of clients that connect at the same time.
const dialers = 64

// newCrowd starts clients, each of which runs send on a connection of its own. A client whose connection fails stays away.
// Connections are kept open until the test ends.
func newCrowd(t *testing.T, address string, clients int, send func(conn net.Conn, number int)) *crowd {
	t.Helper()
	crowd := &crowd{sent: make(chan struct{})}
	var group sync.WaitGroup
	places := make(chan struct{}, dialers)
	for number := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			places <- struct{}{}
			conn, err := net.DialTimeout("tcp", address, 10*time.Second)
			<-places
			if err != nil {
				return
			}
			crowd.mu.Lock()
			crowd.conns = append(crowd.conns, conn)
			crowd.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(patience)) // Fails only on a closed connection.
			send(conn, number)
		}()
	}
	go func() {
		group.Wait()
		close(crowd.sent)
	}()
	t.Cleanup(func() {
		crowd.mu.Lock()
		for _, conn := range crowd.conns {
			_ = conn.Close()
		}
		crowd.mu.Unlock()
		<-crowd.sent
	})
	return crowd
}

// await waits until all clients have sent what they send, and a moment for the process to read it.
func (crowd *crowd) await() {
	<-crowd.sent
	time.Sleep(500 * time.Millisecond)
}

// write sends text and reports whether the connection took it.
func write(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}

// header returns the header of a request, without the empty line that ends it.
func header(method, path string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nHyssopjunction-Deadline-Ms: 3000\r\n%s", method, path, host,
		strings.Join(append(fields, ""), "\r\n"))
}

// declared returns the header of a request with a body of a declared length.
func declared(method, path string, length int) string {
	return header(method, path, fmt.Sprintf("Content-Length: %d", length)) + "\r\n"
}

// chunked returns the header of a request whose body comes in chunks.
func chunked(method, path string) string {
	return header(method, path, "Transfer-Encoding: chunked") + "\r\n"
}

// chunk encodes a part of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// paddedJob returns the body of a valid job with a length. White space fills it.
func paddedJob(length int) string {
	job := `{"Spec":"text","Steps":[{"Count":1,"Cpu":500,"MemoryLimitMb":100}]}`
	return job[:1] + strings.Repeat(" ", length-len(job)) + job[1:]
}
