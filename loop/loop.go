// Package loop runs functions on one goroutine, so that the state that they share needs no locks.
package loop

import "sync"

// maxQueuedEvents limits the events that wait for the goroutine. When the queue is full, senders block, which slows
// the sources of events instead of using more memory.
const maxQueuedEvents = 1024

// Loop calls functions one after the other on its own goroutine.
type Loop struct {
	events chan func()
	quit   chan struct{}
	done   chan struct{}
	once   sync.Once
}

// New starts a loop.
func New() *Loop {
	loop := &Loop{
		events: make(chan func(), maxQueuedEvents),
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go func() {
		defer close(loop.done)
		for {
			select {
			case event := <-loop.events:
				event()
			case <-loop.quit:
				return
			}
		}
	}()
	return loop
}

// Post queues event, or returns false if the loop is closed. Events must not call it: it blocks while the queue is
// full.
func (loop *Loop) Post(event func()) bool {
	select {
	case <-loop.quit:
		return false
	default:
	}
	select {
	case loop.events <- event:
		return true
	case <-loop.quit:
		return false
	}
}

// Call runs event on the loop's goroutine and waits for it to return. It returns false if the loop is closed and
// event has not run. Events must not call it.
func (loop *Loop) Call(event func()) bool {
	returned := make(chan struct{})
	if !loop.Post(func() { event(); close(returned) }) {
		return false
	}
	select {
	case <-returned:
		return true
	case <-loop.done:
		select {
		case <-returned:
			return true
		default:
			return false
		}
	}
}

// Close stops the loop after the running event and waits for that. Queued events are discarded.
func (loop *Loop) Close() {
	loop.once.Do(func() { close(loop.quit) })
	<-loop.done
}
