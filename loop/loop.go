// Package loop runs the control state of a daemon on one goroutine.
package loop

import "sync"

// backlog bounds the events that wait for the control goroutine. Senders block when it is full,
// which slows down the sources of events instead of growing memory.
const backlog = 1024

// Loop executes functions one after the other on its own goroutine.
type Loop struct {
	events chan func()
	quit   chan struct{}
	done   chan struct{}
	once   sync.Once
}

// New starts the goroutine and returns its loop.
func New() *Loop {
	control := &Loop{
		events: make(chan func(), backlog),
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go func() {
		defer close(control.done)
		for {
			select {
			case event := <-control.events:
				event()
			case <-control.quit:
				return
			}
		}
	}()
	return control
}

// Post queues event and returns false if the loop is closed. It must not be called by an event.
func (control *Loop) Post(event func()) bool {
	select {
	case <-control.quit:
		return false
	default:
	}
	select {
	case control.events <- event:
		return true
	case <-control.quit:
		return false
	}
}

// Call runs event on the control goroutine and waits for it. It returns false, without having run
// event to its end, if the loop is closed. It must not be called by an event.
func (control *Loop) Call(event func()) bool {
	finished := make(chan struct{})
	if !control.Post(func() { event(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-control.done:
		select {
		case <-finished:
			return true
		default:
			return false
		}
	}
}

// Close stops the goroutine after the running event. Queued events are dropped.
func (control *Loop) Close() {
	control.once.Do(func() { close(control.quit) })
	<-control.done
}
