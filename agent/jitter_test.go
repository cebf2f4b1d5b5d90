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

// beats returns when heartbeats arrived at the entry.
func beats(entry *fakeEntry) []clock.Time {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.at
}

// Guards against agents that start together, as after the loss of a data centre, and announce
// themselves at the same moments from then on, and against heartbeats later than the interval.
func TestHeartbeatsDrift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, settings := clock.NewSystem(), DefaultSettings()
		settings.Balancer = []string{"balancer"}
		var entries []*fakeEntry
		for index := range 8 {
			settings.Worker = ident.Worker(fmt.Sprint("w", index))
			entry := &fakeEntry{time: source}
			entries = append(entries, entry)
			runtime := &fakeRuntime{time: source, tasks: map[ident.Task]worker.Status{}, fences: map[ident.Task]ident.Epoch{}}
			started := New(settings, source, runtime, nil, entry, config.NewPublisher(), 1, rand.New(rand.NewPCG(uint64(index), 1)))
			defer started.Close()
		}
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		last := map[clock.Time]bool{}
		for index, entry := range entries {
			at := beats(entry)
			for beat := 1; beat < len(at); beat++ {
				// The first interval is interrupted when the agent has read the worker's list.
				if pause := at[beat].Sub(at[beat-1]); pause > settings.Heartbeat || beat > 1 && pause < settings.Heartbeat*9/10 {
					t.Errorf("agent %d paused for %d ms", index, pause)
				}
			}
			last[at[20]] = true
		}
		if len(last) < len(entries) {
			t.Errorf("%d moments of the heartbeats of %d agents", len(last), len(entries))
		}
	})
}
