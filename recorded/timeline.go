// Package recorded runs whole sessions of a deployment with the real decision packages in one event
// loop. Callers, endpoints, the worker runtime, the network and the platform's table are small fakes;
// a seed fixes all of their draws, so that a session always gives the same decision log. The loop
// asserts the system's invariants while it runs and recounts them from what the fakes recorded.
package recorded

import (
	"container/heap"

	"hyssopjunction/clock"
)

// timeline runs events in order of time, and in order of their creation at equal times.
type timeline struct {
	clock    *clock.Fake
	pending  events
	sequence int
}

type event struct {
	at       clock.Time
	sequence int
	run      func()
}

// newTimeline starts at one minute as clock.System does, because zero means never.
func newTimeline() *timeline {
	return &timeline{clock: clock.NewFake(clock.Time(clock.Minute))}
}

func (line *timeline) now() clock.Time { return line.clock.Now() }

func (line *timeline) after(delay clock.Millis, run func()) {
	line.sequence++
	heap.Push(&line.pending, event{at: line.now().Add(max(delay, 0)), sequence: line.sequence, run: run})
}

// every repeats run until it returns false.
func (line *timeline) every(interval clock.Millis, run func() bool) {
	line.after(interval, func() {
		if run() {
			line.every(interval, run)
		}
	})
}

// until runs the events up to and including the given time.
func (line *timeline) until(end clock.Time) {
	for len(line.pending) > 0 && !line.pending[0].at.After(end) {
		next := heap.Pop(&line.pending).(event)
		line.clock.Advance(next.at.Sub(line.now()))
		next.run()
	}
	line.clock.Advance(end.Sub(line.now()))
}

// events is a heap of events.
type events []event

func (queue events) Len() int { return len(queue) }

func (queue events) Less(left, right int) bool {
	if queue[left].at != queue[right].at {
		return queue[left].at < queue[right].at
	}
	return queue[left].sequence < queue[right].sequence
}

func (queue events) Swap(left, right int) { queue[left], queue[right] = queue[right], queue[left] }

// Push appends an event for package heap.
func (queue *events) Push(added any) { *queue = append(*queue, added.(event)) }

// Pop removes the last event for package heap.
func (queue *events) Pop() any {
	last := len(*queue) - 1
	removed := (*queue)[last]
	(*queue)[last] = event{}
	*queue = (*queue)[:last]
	return removed
}

// immediate is the clock of a configuration editor: its waits between attempts take no time, because
// the single goroutine that moves the time must not wait for it.
type immediate struct{ *clock.Fake }

// After returns a channel that is ready.
func (source immediate) After(clock.Millis) <-chan clock.Time {
	fired := make(chan clock.Time, 1)
	fired <- source.Now()
	return fired
}
