package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// sessionPort is the first port of InternalPortRange, on which the entries serve the agents.
const sessionPort = 7720

func (world *world) linkAddress(entry int) string {
	return fmt.Sprintf("%s.3.%d", world.prefix, entry+1)
}
func (world *world) linkedStoreAddress() string { return world.prefix + ".2.2:8169" }

// direct and linked are the two addresses of an entry's sessions. They are equally long.
func (world *world) direct(entry int) []byte {
	return fmt.Appendf(nil, "%s:%d", world.entryAddress(entry), sessionPort)
}

func (world *world) linked(entry int) []byte {
	return fmt.Appendf(nil, "%s:%d", world.linkAddress(entry), sessionPort)
}

// rewrite replaces the addresses of the entries by those of the links, so that an agent that is referred to an entry uses them too.
func (world *world) rewrite(data []byte) []byte {
	for entry := range world.entries {
		data = bytes.ReplaceAll(data, world.direct(entry), world.linked(entry))
	}
	return data
}

// link is a proxy between one agent and one entry that can hold back all bytes.
type link struct {
	mu     sync.Mutex
	silent chan struct{} // nil: bytes pass; else closed when they pass again
}

func (link *link) await() {
	for {
		link.mu.Lock()
		silent := link.silent
		link.mu.Unlock()
		if silent == nil {
			return
		}
		<-silent
	}
}

func (link *link) setSilent(silent bool) {
	link.mu.Lock()
	defer link.mu.Unlock()
	switch {
	case silent && link.silent == nil:
		link.silent = make(chan struct{})
	case !silent && link.silent != nil:
		close(link.silent)
		link.silent = nil
	}
}

// startLinks starts the links of the proxied agent, and the store as that agent sees it.
func (world *world) startLinks() {
	for entry := range world.entries {
		listener, err := net.Listen("tcp", string(world.linked(entry)))
		if err != nil {
			cannotRun("%v", err)
		}
		passage := &link{}
		world.links = append(world.links, passage)
		go func() {
			for {
				accepted, err := listener.Accept()
				if err != nil {
					return
				}
				go world.pass(passage, accepted, string(world.direct(entry)))
			}
		}()
	}
	listener, err := net.Listen("tcp", world.linkedStoreAddress())
	if err != nil {
		cannotRun("%v", err)
	}
	passage := &link{}
	world.links = append(world.links, passage)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			passage.await()
			recorder := httptest.NewRecorder()
			world.store.serveWith(recorder, request, world.rewrite)
			passage.await()
			writer.Header().Set("Content-Type", "application/json")
			writer.WriteHeader(recorder.Code)
			_, _ = writer.Write(recorder.Body.Bytes())
		}))
	}()
}

// pass passes the bytes of a connection on in both directions.
func (world *world) pass(passage *link, accepted net.Conn, target string) {
	passage.await()
	connection, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = accepted.Close()
		return
	}
	transfer := func(from, to net.Conn, change func([]byte) []byte) {
		buffer := make([]byte, 64<<10)
		for {
			count, err := from.Read(buffer)
			passage.await()
			if count > 0 {
				if _, writeErr := to.Write(change(buffer[:count])); writeErr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = from.Close()
		_ = to.Close()
	}
	go transfer(accepted, connection, func(data []byte) []byte { return data })
	transfer(connection, accepted, world.rewrite)
}

// cut holds back all bytes between the proxied agent and the entries and the store, or passes them on again.
func (world *world) cut(silent bool) {
	for _, passage := range world.links {
		passage.setSilent(silent)
	}
}
