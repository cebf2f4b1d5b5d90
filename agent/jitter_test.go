package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/worker"
)

// heartbeatTimes returns the arrival times of the heartbeats.
func heartbeatTimes(entry *fakeEntry) []clock.Time {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.arrivals
}

// TestHeartbeatsAreJittered guards against agents that start together, for example after the loss
// of a data centre, and send all later heartbeats at the same moments, and against heartbeats later
// than the interval.
func TestHeartbeatsAreJittered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		systemClock, settings := clock.NewSystem(), DefaultSettings()
		settings.Balancer = []string{"balancer"}
		var entries []*fakeEntry
		for index := range 8 {
			settings.Worker = ident.Worker(fmt.Sprint("w", index))
			entry := &fakeEntry{time: systemClock}
			entries = append(entries, entry)
			runtime := &fakeRuntime{time: systemClock, tasks: map[ident.Task]worker.Status{}, fences: map[ident.Task]ident.Epoch{}}
			agent := New(settings, systemClock, runtime, nil, entry, config.NewPublisher(), 1, rand.New(rand.NewPCG(uint64(index), 1)))
			defer agent.Close()
		}
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		distinct := map[clock.Time]bool{}
		for index, entry := range entries {
			times := heartbeatTimes(entry)
			for number := 1; number < len(times); number++ {
				// The first interval is cut short once the agent has read the list of the
				// worker.
				if interval := times[number].Sub(times[number-1]); interval > settings.Heartbeat || number > 1 && interval < settings.Heartbeat*9/10 {
					t.Errorf("agent %d paused for %d ms", index, interval)
				}
			}
			distinct[times[20]] = true
		}
		if len(distinct) < len(entries) {
			t.Errorf("%d moments of the heartbeats of %d agents", len(distinct), len(entries))
		}
	})
}
