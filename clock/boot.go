package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Clock that also counts the time during which the machine was suspended. Leases that
// other processes wait for must be measured with it.
type Boot struct {
	start int64
}

// NewBoot returns a Boot whose time starts at one minute, so that zero means "never".
func NewBoot() *Boot {
	return &Boot{start: bootMillis() - int64(Minute)}
}

// Now returns the time since the start of the clock, including suspensions.
func (boot *Boot) Now() Time {
	return Time(bootMillis() - boot.start)
}

// After returns a channel that receives the time once millis have passed. A suspension may delay it.
func (boot *Boot) After(millis Millis) <-chan Time {
	fired := make(chan Time, 1)
	time.AfterFunc(millis.Duration(), func() { fired <- boot.Now() })
	return fired
}

func bootMillis() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Without a clock that counts suspensions no lease can be kept.
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return now.Nano() / int64(time.Millisecond)
}
