package main

import (
	"fmt"
	"time"
)

func init() {
	cases["crashes"] = func(w *world) error { return crashes(w, 2*time.Second, 4, true) }
	// Not handed in as a case of its own: two crashes, each just after a start.
	cases["early-crashes"] = func(w *world) error { return crashes(w, 20*time.Millisecond, 2, true) }
	// The same with a task that ends after a minute.
	cases["job-crashes"] = func(w *world) error { return crashes(w, 2*time.Second, 4, false) }
}

// crashes: runners crash, one at a time. A standing job whose task was on three of them must not be shown as failed: no run
// of it has ended failed.
func crashes(w *world, age time.Duration, count int, lasts bool) error {
	w.plan = func(string) plan {
		if lasts {
			return plan{}
		}
		return plan{length: time.Minute}
	}
	w.configure(1, newRoute("watch", 0, 4))
	if err := w.setUp(3, 11, 32000, 128000, 3); err != nil {
		return err
	}
	if !w.awaitReady() {
		return fmt.Errorf("the deployment is not ready")
	}
	job := id(1)
	if !w.submit("watch", job, step{"Count": 1, "Cpu": 2000, "MemoryLimitMb": 1024, "EstimatedMs": 60000, "LongRunning": lasts}) {
		return fmt.Errorf("the job was not accepted")
	}
	onRunner := func() *runner {
		var on *runner
		await(15*time.Second, func() bool {
			for _, item := range w.running(job) {
				on = item.runner
			}
			return on != nil
		})
		return on
	}
	if onRunner() == nil {
		return fmt.Errorf("the task did not start")
	}
	for range count {
		on := onRunner()
		if on == nil {
			break
		}
		time.Sleep(age)
		if !w.trouble {
			continue
		}
		on.crash()
		go func() {
			time.Sleep(1500 * time.Millisecond)
			_ = on.begin()
		}()
	}
	for range 16 {
		for _, entry := range w.entries {
			if _, state := w.state(entry, "watch", job); state == "failed" || state == "cancelled" {
				failed := 0
				for _, item := range w.allRuns(job) {
					if item.how == "failed" {
						failed++
					}
				}
				w.breaks("LOST: the job is shown as %s, and %d of its runs have ended failed; MaxAttempts is 4", state, failed)
				return nil
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if len(w.running(job)) == 0 {
		return fmt.Errorf("the task is not at work, but the job is not shown as failed")
	}
	return nil
}
