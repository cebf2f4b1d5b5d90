package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pending"] = pending }

// pending: a runner is lost for good while jobs come. The count of the jobs that have not begun must not be under half of
// those that were accepted over visible_ms + 2 s before.
func pending(w *world) error {
	w.plan = func(string) plan { return plan{length: 1500 * time.Millisecond} }
	w.configure(1, newRoute("quick", 0, 4))
	if err := w.setUp(3, 11, 32000, 128000, 3); err != nil {
		return err
	}
	if !w.awaitReady() {
		return fmt.Errorf("the deployment is not ready")
	}
	submit := func(from, count int) (map[string]time.Time, error) {
		accepted := map[string]time.Time{}
		var mu sync.Mutex
		var group sync.WaitGroup
		for number := from; number < from+count; number++ {
			group.Go(func() {
				if w.submit("quick", id(number), step{"Count": 1, "Cpu": 4000, "MemoryLimitMb": 512, "EstimatedMs": 1500}) {
					mu.Lock()
					defer mu.Unlock()
					accepted[id(number)] = time.Now()
				}
			})
		}
		group.Wait()
		if len(accepted) < count {
			return nil, fmt.Errorf("%d of %d jobs were accepted", len(accepted), count)
		}
		return accepted, nil
	}
	// Some ordinary work first.
	if _, err := submit(1000, 22); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.runners[4].goDark()
	}
	accepted, err := submit(1, 33)
	if err != nil {
		return err
	}
	for until := time.Now().Add(14 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, entry := range w.entries {
			asked := time.Now()
			status, text := w.ask(entry, http.MethodGet, "/quick/", nil)
			var form struct{ Pending *int }
			if status != http.StatusOK || json.Unmarshal([]byte(text), &form) != nil || form.Pending == nil {
				continue
			}
			owed := 0
			for _, key := range sortedKeys(accepted) {
				// The count may be 2 s old, which the 2 s beside visible_ms allow for; and a job that begins while the call is under
				// way counts as begun.
				if asked.Sub(accepted[key]) > 5*time.Second && len(w.allRuns(key)) == 0 {
					owed++
				}
			}
			if 2**form.Pending < owed {
				w.breaks("MIXED: %s gives %d as Pending; %d jobs were accepted over 5 s before and have not begun", entry.name, *form.Pending, owed)
			}
		}
	}
	return nil
}
