package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/table"
)

// TestStepsShareWakeups guards against steps that wake the process at different times although
// their intervals allow the same time, and against steps that run later than their interval.
func TestStepsShareWakeups(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	jitter := func(limit clock.Millis) clock.Millis { return clock.Millis(random.Int64N(int64(limit))) }
	for name, steps := range map[string]*schedule{"without jitter": {phase: 170}, "with jitter": {phase: 170, jitter: jitter}} {
		t.Run(name, func(t *testing.T) { checkWakeups(t, steps) })
	}
}

// checkWakeups runs the schedule for 20 s and checks the number of wakeups and the runs of each
// step.
func checkWakeups(t *testing.T, steps *schedule) {
	t.Helper()
	runs := map[clock.Millis]int{}
	for _, interval := range []clock.Millis{250, 1000, 10_000} {
		steps.addControl(interval, func() []func() { runs[interval]++; return nil })
	}
	now, wakeups := clock.Time(clock.Minute+3), 0
	last := map[clock.Millis]clock.Time{}
	for end := now.Add(20 * clock.Second); now.Before(end); now = now.Add(steps.wait(now)) {
		wakeups++
		for _, step := range steps.takeDue(now) {
			if gap := now.Sub(last[step.interval]); last[step.interval] != 0 && gap > step.interval {
				t.Fatalf("a step of %s ran after %s", step.interval, gap)
			}
			last[step.interval] = now
			step.control()
		}
	}
	// Jitter shortens the interval by at most a tenth.
	if most := 20*4*10/9 + 1; wakeups > most || steps.jitter == nil && wakeups > 20*4+1 {
		t.Fatalf("%d wakeups in 20 s, want at most %d", wakeups, most)
	}
	for interval, least := range map[clock.Millis]int{250: 80, 1000: 20, 10_000: 2} {
		if runs[interval] < least {
			t.Fatalf("a step of %s ran %d times in 20 s, want %d", interval, runs[interval], least)
		}
	}
}

// TestMissedStepsAreNotRepeated guards against steps that run once for each due time that was
// missed while the process was paused.
func TestMissedStepsAreNotRepeated(t *testing.T) {
	steps := &schedule{}
	steps.addControl(250, func() []func() { return nil })
	steps.takeDue(1000)
	if dueSteps := steps.takeDue(9100); len(dueSteps) != 1 {
		t.Fatalf("%d steps are due after a pause, want 1", len(dueSteps))
	}
	if wait := steps.wait(9100); wait != 150 {
		t.Fatalf("next step is due after %s, want 150ms", wait)
	}
}

// TestHangingCallDelaysNoStep guards against a hanging call to the table that delays the other
// steps or is repeated while it hangs.
func TestHangingCallDelaysNoStep(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		hangingReads, release := 0, make(chan struct{})
		fixture.store.setHook(func(call string, key table.Key) {
			if call == "Get" && key == config.HeadKey {
				hangingReads++
				<-release
			}
		})
		fixture.advance(5 * time.Second)
		fixture.entry.control.Call(func() {
			if age := fixture.entry.time.Now().Sub(fixture.entry.refreshedAt); age > refreshInterval+fixture.entry.settings.Tick {
				t.Errorf("view was published %s ago while a call hangs", age)
			}
		})
		if hangingReads != 1 {
			t.Errorf("%d reads of the configuration hang, want 1", hangingReads)
		}
		fixture.store.setHook(nil)
		close(release)
	})
}
