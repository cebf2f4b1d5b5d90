package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxy forwards connections over loopback and can silence, delay or reset them.
type proxy struct {
	target   string
	listener net.Listener
	// rewrite changes what the target sends, without changing its length, or is nil.
	rewrite func(data []byte) []byte

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// silent holds back all bytes; delay holds back each chunk that was read for a time.
	silent bool
	delay  time.Duration
}

func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	return newRewritingProxy(t, address, target, nil)
}

func newRewritingProxy(t *testing.T, address, target string, rewrite func(data []byte) []byte) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	proxy := &proxy{target: target, listener: listener, rewrite: rewrite, conns: map[net.Conn]struct{}{}}
	t.Cleanup(proxy.close)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.serve(connection)
		}
	}()
	return proxy
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) serve(client net.Conn) {
	proxy.track(client, true)
	defer proxy.track(client, false)
	server, err := net.Dial("tcp", proxy.target)
	if err != nil {
		return
	}
	proxy.track(server, true)
	defer proxy.track(server, false)
	ended := make(chan struct{}, 2)
	go func() {
		proxy.forward(client, server, nil)
		ended <- struct{}{}
	}()
	go func() {
		proxy.forward(server, client, proxy.rewrite)
		ended <- struct{}{}
	}()
	<-ended
}

func (proxy *proxy) track(connection net.Conn, open bool) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if open {
		proxy.conns[connection] = struct{}{}
		return
	}
	delete(proxy.conns, connection)
	_ = connection.Close()
}

func (proxy *proxy) forward(from, to net.Conn, rewrite func(data []byte) []byte) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		for proxy.isSilent() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(proxy.currentDelay())
		if count > 0 {
			data := buffer[:count]
			if rewrite != nil {
				data = rewrite(data)
			}
			if _, err := to.Write(data); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (proxy *proxy) isSilent() bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.silent
}

func (proxy *proxy) currentDelay() time.Duration {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.delay
}

func (proxy *proxy) setFault(silent bool, delay time.Duration) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.silent, proxy.delay = silent, delay
}

// close refuses new connections and breaks all others.
func (proxy *proxy) close() {
	_ = proxy.listener.Close()
	proxy.reset()
}

// reset breaks all connections.
func (proxy *proxy) reset() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for connection := range proxy.conns {
		_ = connection.Close()
	}
}
