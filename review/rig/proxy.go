package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// proxies carry all channels from one side machine to the entries and to the store, so that they can be cut. They pass bytes on
// as they are, but the addresses of the entries, in place of which the machine sees those of the proxies. Both have the
// same length.
type proxies struct {
	world    *world
	from, to string
	mu       sync.Mutex
	isCut    bool
	healed   chan struct{}
}

// newProxies starts the proxies of a machine with the number, for all entries of the world.
func newProxies(w *world, number, entries int) (*proxies, error) {
	parts := strings.Split(w.block, ".")
	p := &proxies{world: w, from: w.block + ".", to: fmt.Sprintf("127.%s.%d.", parts[1], 200+number), healed: make(chan struct{})}
	close(p.healed)
	for entry := range entries {
		target := fmt.Sprintf("%s%d:%d", p.from, 1+entry, sessionPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", p.to, 1+entry, sessionPort))
		if err != nil {
			return nil, err
		}
		go func() {
			for {
				client, err := listener.Accept()
				if err != nil {
					return
				}
				go p.carry(client, target)
			}
		}()
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s250:%d", p.to, storePort))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(p.serveStore)) }()
	return p, nil
}

// pass waits while the machine is cut off.
func (p *proxies) pass() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

// cut holds all bytes back until heal.
func (p *proxies) cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == p.isCut {
		return
	}
	p.isCut = cut
	if cut {
		p.healed = make(chan struct{})
	} else {
		close(p.healed)
	}
}

func (p *proxies) carry(client net.Conn, target string) {
	defer client.Close()
	p.pass()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	move := func(to, from net.Conn, rewrite bool) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 64<<10)
		for {
			count, err := from.Read(buffer)
			if count > 0 {
				p.pass()
				data := buffer[:count]
				if rewrite {
					data = bytes.ReplaceAll(data, []byte(p.from), []byte(p.to))
				}
				if _, err := to.Write(data); err != nil {
					return
				}
			}
			if err != nil {
				p.pass()
				return
			}
		}
	}
	go move(server, client, false)
	go move(client, server, true)
	<-done
}

// serveStore answers for the store, with the addresses of the proxies in place of those of the entries.
func (p *proxies) serveStore(writer http.ResponseWriter, request *http.Request) {
	p.pass()
	recorder := httptest.NewRecorder()
	request.Header.Set("X-Rewrite", p.from+" "+p.to)
	p.world.store.ServeHTTP(recorder, request)
	p.pass()
	for name, values := range recorder.Header() {
		writer.Header()[name] = values
	}
	writer.WriteHeader(recorder.Code)
	_, _ = writer.Write(recorder.Body.Bytes())
}
