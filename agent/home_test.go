package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
)

// Guards against agents that stop their tasks because several entries are lost at once without a
// sign: an agent must reach its next home before its lease falls below the stop margin, whatever
// entries it tries, although the survivors name the lost home until it expired.
func TestHomeAfterLossOfEntries(t *testing.T) {
	const (
		total, lost = 12, 4
		expiry      = 8 * clock.Second
	)
	settings := DefaultSettings()
	stop := 20*clock.Second - settings.StopMargin
	for seed := range uint64(200) {
		finder := newHomeFinder(nil, rand.New(rand.NewPCG(1, seed)))
		var entries []*controlpb.EntryState
		for index := range total {
			entries = append(entries, &controlpb.EntryState{Entry: fmt.Sprint(index), ControlAddress: fmt.Sprintf("e%d", index)})
		}
		finder.current = entries[0].ControlAddress
		finder.accepted(entries)
		// The loss is at 0, the last heartbeat was accepted up to an interval before.
		accepted := -clock.Millis(seed) * settings.Heartbeat / 200
		now := accepted + settings.Heartbeat
		for {
			index := 0
			_, _ = fmt.Sscanf(finder.target(), "e%d", &index)
			if index < lost {
				now += settings.CallTimeout
				if _, hurry := finder.failed(); !hurry {
					now += announceRetry
				}
				continue
			}
			home := entries[0]
			if now >= expiry {
				home = entries[lost]
			}
			if home.ControlAddress == finder.target() {
				break
			}
			switch finder.redirected(home, entries) {
			case soon:
				now += announceRetry
			case atHeartbeat:
				now += settings.Heartbeat
			case atOnce:
			}
		}
		if now-accepted >= stop {
			t.Errorf("seed %d: a home after %s, tasks are stopped after %s", seed, now-accepted, stop)
		}
	}
}

// Guards against announcements without pause while no entry can be reached at all.
func TestPauseWithoutEntries(t *testing.T) {
	finder := newHomeFinder([]string{"e0", "e1", "e2"}, rand.New(rand.NewPCG(1, 1)))
	hurried := 0
	for range 100 {
		finder.target()
		if _, hurry := finder.failed(); hurry {
			hurried++
		}
	}
	if hurried > 2 {
		t.Fatalf("%d of 100 failures were followed by an announcement at once", hurried)
	}
}
