package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["refused"] = refused }

// refused: a worker is cut off and runs on, and channels to it are refused meanwhile. Its tasks must not run elsewhere while
// they run there.
func refused(w *world) error {
	w.plan = func(string) plan { return plan{length: 20 * time.Second} }
	w.configure(1, newRoute("work", 2, 4))
	if err := w.setUp(3, 11, 32000, 128000, 3); err != nil {
		return err
	}
	if !w.awaitReady() {
		return fmt.Errorf("the deployment is not ready")
	}
	job := id(1)
	if !w.submit("work", job, step{"Count": 22, "Cpu": 4000, "MemoryLimitMb": 1024, "EstimatedMs": 20000}) {
		return fmt.Errorf("the job was not accepted")
	}
	if !await(10*time.Second, func() bool { return len(w.running(job)) == 22 }) {
		return fmt.Errorf("the tasks did not start")
	}
	time.Sleep(2 * time.Second)
	heal := func() error { return nil }
	if w.trouble {
		heal = w.running(job)[0].runner.cut()
	}
	for until := time.Now().Add(5500 * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		w.checkTwice(job)
	}
	if err := heal(); err != nil {
		return err
	}
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		w.checkTwice(job)
	}
	return nil
}

// checkTwice records each pair of runs of one task that are on at the same time.
func (w *world) checkTwice(prefix string) {
	w.checkTwiceBut(func(task string) bool { return !strings.HasPrefix(task, prefix) })
}

// checkTwiceBut does so for all tasks but those for which skip returns true.
func (w *world) checkTwiceBut(skip func(task string) bool) {
	seen := map[string]*runRecord{}
	for _, item := range w.running("") {
		if skip(item.task) {
			continue
		}
		other, ok := seen[item.task]
		seen[item.task] = item
		if !ok || w.reported(item.task, other.run, item.run) {
			continue
		}
		w.breaks("TWICE: task %s runs at the same time on runner %s (run %d) and runner %s (run %d)", item.task, other.runner.name, other.run, item.runner.name, item.run)
	}
}
