package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["suspended"] = suspended }

// suspended: a side machine is suspended for 4 s, with its runner, and is cut off for 5.5 s from 3 s on. Its tasks must not run
// elsewhere while they go on there.
func suspended(w *world) error {
	w.plan = func(string) plan { return plan{length: 60 * time.Second} }
	w.configure(1, newRoute("work", 2, 4))
	w.proxied = 6
	if err := w.setUp(3, 11, 32000, 128000, 3); err != nil {
		return err
	}
	if !w.awaitReady() {
		return fmt.Errorf("the deployment is not ready")
	}
	time.Sleep(3 * time.Second) // All agents have reported their runners.
	job := id(1)
	if !w.submit("work", job, step{"Count": 44, "Cpu": 4000, "MemoryLimitMb": 1024, "EstimatedMs": 60000}) {
		return fmt.Errorf("the job was not accepted")
	}
	if !await(10*time.Second, func() bool { return len(w.running(job)) == 44 }) {
		return fmt.Errorf("the tasks did not start")
	}
	time.Sleep(3 * time.Second)
	on, agent := w.runners[w.proxied-1], w.agents[w.proxied-1]
	if w.trouble {
		w.record("the machine of runner %s is suspended for 4 s", on.name)
		agent.signal(syscall.SIGSTOP)
		go func() {
			time.Sleep(3 * time.Second)
			w.record("the machine of runner %s is cut off for 5.5 s", on.name)
			w.proxies.cut(true)
			time.Sleep(5500 * time.Millisecond)
			w.proxies.cut(false)
			w.record("the cut heals")
		}()
		on.suspend(4 * time.Second)
		agent.signal(syscall.SIGCONT)
		w.record("the machine of runner %s goes on", on.name)
	}
	for until := time.Now().Add(12 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		w.checkTwice(job)
	}
	return nil
}
