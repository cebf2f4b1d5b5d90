package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Clock that includes the time during which the machine is suspended. A lease whose end other
// processes wait for must be measured with it, or it would last longer than they wait.
type Boot struct {
	start int64
}

// NewBoot returns a Boot whose time starts at one minute, so that the zero Time can mean "never".
func NewBoot() *Boot {
	return &Boot{start: bootMillis() - int64(Minute)}
}

// Now returns the monotonic time, including suspensions.
func (boot *Boot) Now() Time {
	return Time(bootMillis() - boot.start)
}

// After returns a channel that receives the time once millis have passed. Suspensions do not count
// towards millis, so they delay it.
func (boot *Boot) After(millis Millis) <-chan Time {
	channel := make(chan Time, 1)
	time.AfterFunc(millis.Duration(), func() { channel <- boot.Now() })
	return channel
}

// bootMillis returns the milliseconds since the machine started, including suspensions.
func bootMillis() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Without a clock that includes suspensions, an agent cannot know when its lease has ended.
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return now.Nano() / int64(time.Millisecond)
}
