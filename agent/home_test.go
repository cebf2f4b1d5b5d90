package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
)

// TestHomeAfterLossOfEntries guards against agents that stop their tasks because several entries
// die at once: an agent must reach its next home before its lease falls below the stop margin, in
// whatever order it tries the entries, although the surviving entries redirect to the dead home
// until it expires.
func TestHomeAfterLossOfEntries(t *testing.T) {
	const (
		total, lost = 12, 4
		expiry      = 8 * clock.Second
	)
	settings := DefaultSettings()
	stopAfter := 20*clock.Second - settings.StopMargin
	for seed := range uint64(200) {
		finder := newHomeFinder(nil, rand.New(rand.NewPCG(1, seed)))
		var entries []*controlpb.EntryState
		for index := range total {
			entries = append(entries, &controlpb.EntryState{Entry: fmt.Sprint(index), ControlAddress: fmt.Sprintf("e%d", index)})
		}
		finder.current = entries[0].ControlAddress
		finder.accepted(entries)
		// The entries die at time 0; the last heartbeat was accepted at most one interval
		// earlier.
		acceptedAt := -clock.Millis(seed) * settings.Heartbeat / 200
		now := acceptedAt + settings.Heartbeat
		for {
			index := 0
			_, _ = fmt.Sscanf(finder.nextAddress(), "e%d", &index)
			if index < lost {
				now += settings.CallTimeout
				if _, retryNow := finder.failed(); !retryNow {
					now += announceRetryDelay
				}
				continue
			}
			home := entries[0]
			if now >= expiry {
				home = entries[lost]
			}
			if home.ControlAddress == finder.nextAddress() {
				break
			}
			switch finder.redirected(home, entries) {
			case afterDelay:
				now += announceRetryDelay
			case nextHeartbeat:
				now += settings.Heartbeat
			case immediately:
			}
		}
		if now-acceptedAt >= stopAfter {
			t.Errorf("seed %d: a home after %s, tasks are stopped after %s", seed, now-acceptedAt, stopAfter)
		}
	}
}

// TestPauseWithoutEntries guards against a loop of announcements without delay while no entry is
// reachable.
func TestPauseWithoutEntries(t *testing.T) {
	finder := newHomeFinder([]string{"e0", "e1", "e2"}, rand.New(rand.NewPCG(1, 1)))
	immediate := 0
	for range 100 {
		finder.nextAddress()
		if _, retryNow := finder.failed(); retryNow {
			immediate++
		}
	}
	if immediate > 2 {
		t.Fatalf("%d of 100 failures were followed by an announcement at once", immediate)
	}
}
