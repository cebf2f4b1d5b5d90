package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["gang"] = gangStarves }

func gangStarves(w *world) error {
	job := id(1)
	lasting := os.Getenv("LASTING") != "0"
	w.plan = func(task string) plan {
		if task[:16] == job {
			if lasting {
				return plan{}
			}
			return plan{length: 20 * time.Second}
		}
		return plan{length: 300 * time.Millisecond}
	}
	w.gangOf = func(task string) (string, int) {
		if task[:16] == job {
			return job, 4
		}
		return "", 0
	}
	w.configure(1, newRoute("quick", 0, 4), newRoute("watch", 0, 4))
	if err := w.setUp(3, 11, 32000, 128000, 3); err != nil {
		return err
	}
	if !w.awaitReady() {
		return fmt.Errorf("the deployment is not ready")
	}
	if !w.submit("watch", job, step{"Count": 4, "Cpu": 4000, "MemoryLimitMb": 1024, "EstimatedMs": 20000, "Gang": true, "LongRunning": lasting}) {
		return fmt.Errorf("the job was not accepted")
	}
	if !await(10*time.Second, func() bool { return len(w.running(job)) == 4 }) {
		return fmt.Errorf("the tasks did not start")
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for number := 1000; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			group.Go(func() {
				w.submit("quick", id(number), step{"Count": 6, "Cpu": 480, "MemoryLimitMb": 512, "EstimatedMs": 300})
			})
		}
	})
	time.Sleep(2 * time.Second)
	for range 2 {
		if !w.trouble {
			break
		}
		if !await(10*time.Second, func() bool { return len(w.running(job)) == 4 }) {
			break
		}
		time.Sleep(2 * time.Second)
		on := w.running(job)[0].runner
		on.crash()
		time.Sleep(1500 * time.Millisecond)
		if err := on.begin(); err != nil {
			return err
		}
	}
	crashed := time.Now()
	idle := time.Time{}
	for time.Since(crashed) < 45*time.Second {
		if len(w.running(job)) > 0 {
			idle = time.Time{}
		} else if idle.IsZero() {
			idle = time.Now()
		}
		if !idle.IsZero() && time.Since(idle) > 3*time.Second && time.Since(crashed) > 10*time.Second {
			w.breaks("LOST: no task of the gang at work for %s, %s after the last crash", time.Since(idle).Round(time.Second), time.Since(crashed).Round(time.Second))
		}
		time.Sleep(time.Second)
	}
	close(stop)
	group.Wait()
	ended := time.Now()
	if await(20*time.Second, func() bool { return len(w.running(job)) > 0 }) {
		w.record("NOTE at work %s after the traffic ended", time.Since(ended))
	}
	return nil
}
