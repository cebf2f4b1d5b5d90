package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["grey"] = newGrey }

// newGrey: one worker fails all that it starts for a while. Later it is sound. Then one long task runs on it, and a lasting task
// that only this worker can run must start beside it, because there is room.
func newGrey(folder string, trouble bool) (*world, func(*world) string) {
	workers := make([][]string, 12)
	for number := range workers {
		workers[number] = []string{"a", zoneRack(number)}
	}
	workers[0][0] = "b"
	world := newWorld(layout{
		entries: 3, workers: workers, holdMax: 6000, stopTimeout: 200, graceS: 6, heartbeat: 1500, contact: 3000, coresMilli: 32000,
	}, folder, trouble)
	return world, playGrey
}

const (
	greyTime     = 6500 * time.Millisecond
	greyPatience = 45 * time.Second
)

func playGrey(world *world) string {
	const long, lasting = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	world.start()
	world.await()
	begun := time.Now()
	if world.trouble {
		world.note("the worker fails all that it starts for %s", greyTime)
		world.signal("runner-0", syscall.SIGUSR1)
	}
	for number := range 3 {
		path := fmt.Sprintf("%s00000000000000c%d", checks, number)
		body := `{"Spec":"300","Steps":[{"Count":1,"Cpu":500,"MemoryLimitMb":64,"EstimatedMs":300,"Requirements":"b"}]}`
		if accepted := world.insist(http.MethodPost, path, body, 5*time.Second); accepted.status/100 != 2 {
			cannotRun("a check was not accepted: %s", accepted)
		}
	}
	world.sleep(time.Until(begun.Add(greyTime)))
	if world.trouble {
		world.signal("runner-0", syscall.SIGUSR2)
		world.note("the worker is sound again")
	}
	world.sleep(2 * time.Second)
	body := `{"Spec":"100000","Steps":[{"Count":1,"Cpu":500,"MemoryLimitMb":64,"EstimatedMs":100000,"Requirements":"b"}]}`
	if accepted := world.insist(http.MethodPost, long, body, 5*time.Second); accepted.status/100 != 2 {
		cannotRun("the long job was not accepted: %s", accepted)
	}
	if !world.waitFor(15*time.Second, func() bool { return len(world.started(long)) > 0 }) {
		cannotRun("the long job was not started")
	}
	world.sleep(2 * time.Second)
	body = `{"Spec":"lasts","Steps":[{"Count":1,"Cpu":6400,"MemoryLimitMb":13000,"EstimatedMs":400,"LongRunning":true,"Image":"sheet","TargetMs":150,"Requirements":"b"}]}`
	if accepted := world.insist(http.MethodPost, lasting, body, 5*time.Second); accepted.status/100 != 2 {
		cannotRun("the lasting job was not accepted: %s", accepted)
	}
	accepted := time.Now()
	if world.waitFor(greyPatience, func() bool { return len(world.started(lasting)) > 0 }) {
		waited := time.Since(accepted)
		world.note("the lasting task was started %s after its job was accepted", waited.Round(time.Millisecond))
		if waited <= 3*time.Second {
			return ""
		}
	}
	world.note("state %q", world.state(lasting))
	return "a task that lasts had no run for " + time.Since(accepted).Round(time.Second).String() + " while nothing was disturbed, although its worker was sound and had 31 of 32 cores free"
}
