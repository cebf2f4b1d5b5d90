// Package recorded runs whole sessions of a deployment, with the real decision packages, in one
// event loop on simulated time. Callers, endpoints, the worker runtime, the network and the
// platform's table are small fakes. A seed determines all random numbers, so that a session always
// gives the same decision log. The loop asserts the system's invariants while it runs, and recounts
// them at the end from the records of the fakes.
package recorded

import (
	"container/heap"

	"hyssopjunction/clock"
)

// timeline runs events in order of time. Events of the same time run in the order in which they
// were scheduled.
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

// newTimeline returns a timeline that starts at one minute, as clock.System does, because a time of
// zero means never.
func newTimeline() *timeline {
	return &timeline{clock: clock.NewFake(clock.Time(clock.Minute))}
}

func (timeline *timeline) now() clock.Time { return timeline.clock.Now() }

func (timeline *timeline) after(delay clock.Millis, run func()) {
	timeline.sequence++
	heap.Push(&timeline.pending, event{at: timeline.now().Add(max(delay, 0)), sequence: timeline.sequence, run: run})
}

// every repeats run until it returns false.
func (timeline *timeline) every(interval clock.Millis, run func() bool) {
	timeline.after(interval, func() {
		if run() {
			timeline.every(interval, run)
		}
	})
}

// runUntil runs the events up to and including the given time.
func (timeline *timeline) runUntil(end clock.Time) {
	for len(timeline.pending) > 0 && !timeline.pending[0].at.After(end) {
		next := heap.Pop(&timeline.pending).(event)
		timeline.clock.Advance(next.at.Sub(timeline.now()))
		next.run()
	}
	timeline.clock.Advance(end.Sub(timeline.now()))
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

// immediateClock is the clock of a configuration editor. Its waits between attempts end at once:
// the single goroutine that advances the time would otherwise wait for itself.
type immediateClock struct{ *clock.Fake }

// After returns a channel that is ready at once.
func (source immediateClock) After(clock.Millis) <-chan clock.Time {
	fired := make(chan clock.Time, 1)
	fired <- source.Now()
	return fired
}
