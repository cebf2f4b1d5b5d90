// Package clock provides the clocks that all other packages use, real and fake ones. Its unit is the
// millisecond.
package clock

import (
	"fmt"
	"sync"
	"time"
)

// Millis is a duration in milliseconds.
type Millis int64

// Durations in common use.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
	Day         Millis = 24 * Hour
)

// Duration returns the duration as a time.Duration.
func (millis Millis) Duration() time.Duration {
	return time.Duration(millis) * time.Millisecond
}

// String formats the duration with its unit, as in "250ms".
func (millis Millis) String() string {
	return fmt.Sprintf("%dms", int64(millis))
}

// FromDuration converts a standard duration, rounding down to whole milliseconds.
func FromDuration(duration time.Duration) Millis {
	return Millis(duration.Milliseconds())
}

// Time is a point in time on a monotonic clock, in milliseconds since the clock's start. Times of
// different processes must not be compared.
type Time int64

// Add returns the time that is millis later.
func (instant Time) Add(millis Millis) Time {
	return instant + Time(millis)
}

// Sub returns the duration from other to instant.
func (instant Time) Sub(other Time) Millis {
	return Millis(instant - other)
}

// Before reports whether instant is earlier than other.
func (instant Time) Before(other Time) bool {
	return instant < other
}

// After reports whether instant is later than other.
func (instant Time) After(other Time) bool {
	return instant > other
}

// Clock provides the time and timers.
type Clock interface {
	// Now returns the monotonic time.
	Now() Time
	// After returns a channel that receives the time once millis have passed.
	After(millis Millis) <-chan Time
}

// System is a Clock that reads the monotonic clock of the operating system.
type System struct {
	start time.Time
}

// NewSystem returns a System whose time starts at one minute, so that the zero Time can mean "never".
func NewSystem() *System {
	return &System{start: time.Now().Add(-time.Minute)}
}

// Now returns the monotonic time.
func (system *System) Now() Time {
	return Time(time.Since(system.start).Milliseconds())
}

// After returns a channel that receives the time once millis have passed.
func (system *System) After(millis Millis) <-chan Time {
	channel := make(chan Time, 1)
	time.AfterFunc(millis.Duration(), func() { channel <- system.Now() })
	return channel
}

// Fake is a Clock that advances only on request. It is safe for concurrent use.
type Fake struct {
	mu     sync.Mutex
	now    Time
	timers []fakeTimer
}

type fakeTimer struct {
	at      Time
	channel chan Time
}

// NewFake returns a Fake whose time is now.
func NewFake(now Time) *Fake {
	return &Fake{now: now}
}

// Now returns the fake time.
func (fake *Fake) Now() Time {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return fake.now
}

// After returns a channel that receives the time once the clock has been advanced by millis.
func (fake *Fake) After(millis Millis) <-chan Time {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	channel := make(chan Time, 1)
	if millis <= 0 {
		channel <- fake.now
		return channel
	}
	fake.timers = append(fake.timers, fakeTimer{at: fake.now.Add(millis), channel: channel})
	return channel
}

// Advance moves the clock forward and fires the timers that are due.
func (fake *Fake) Advance(millis Millis) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.now = fake.now.Add(millis)
	pending := fake.timers[:0]
	for _, timer := range fake.timers {
		if timer.at.After(fake.now) {
			pending = append(pending, timer)
			continue
		}
		timer.channel <- fake.now
	}
	fake.timers = pending
}
