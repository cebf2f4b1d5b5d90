package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["waves"] = waves }

// waves: runners crash, two at a time and one pair after the other. The standing tasks must be at work again soon after that.
func waves(w *world) error {
	const jobs = 60
	w.plan = func(string) plan { return plan{} }
	w.configure(1, newRoute("watch", 0, 4))
	if err := w.setUp(3, 11, 32000, 128000, 3); err != nil {
		return err
	}
	if !w.awaitReady() {
		return fmt.Errorf("the deployment is not ready")
	}
	time.Sleep(2 * time.Second) // All agents have reported their runners.
	for number := range jobs {
		if !w.submit("watch", id(number), step{"Count": 1, "Cpu": 1000, "MemoryLimitMb": 1024, "EstimatedMs": 60000, "LongRunning": true}) {
			return fmt.Errorf("a job was not accepted")
		}
	}
	if !await(10*time.Second, func() bool { return len(w.running("")) == jobs }) {
		return fmt.Errorf("the tasks did not start")
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		for first := 0; first < len(w.runners); first += 2 {
			var pair sync.WaitGroup
			for _, r := range w.runners[first:min(first+2, len(w.runners))] {
				pair.Go(func() {
					r.crash()
					time.Sleep(1500 * time.Millisecond)
					_ = r.begin()
				})
			}
			pair.Wait()
			time.Sleep(time.Second)
		}
	}
	calm := time.Now()
	w.record("no runner crashes from here on")
	idleSince := map[string]time.Time{}
	longest, most := time.Duration(0), 0
	for time.Since(calm) < 40*time.Second {
		idle := 0
		for number := range jobs {
			job := id(number)
			if len(w.running(job)) > 0 {
				delete(idleSince, job)
				continue
			}
			if _, ok := idleSince[job]; !ok {
				idleSince[job] = time.Now()
			}
			// The 3 s in which nothing runs and the 4 s before them are calm, and the last run ended 6 s before.
			if time.Since(idleSince[job]) > 3*time.Second && time.Since(calm) > 10*time.Second {
				idle++
				longest = max(longest, time.Since(idleSince[job]))
			}
		}
		if idle > most {
			most = idle
			w.record("%d of %d standing tasks have not run for 3 s and more", idle, jobs)
		}
		if idle == 0 && time.Since(calm) > 12*time.Second {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if most > 0 {
		w.breaks("LOST: 10 s after the last crash %d of %d standing tasks had nothing running for 3 s or more, the longest for %d s; all runners are up and three quarters idle",
			most, jobs, int(longest.Seconds()))
	}
	return nil
}
