package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["crashes"] = newCrashes }

// newCrashes: one runner crashes five times in a row, and is sound from then on. A job of one lasting task needs the label that only
// this runner has. No run of it ends failed, so the job must not be shown as failed.
func newCrashes(folder string, trouble bool) (*world, func(*world) string) {
	workers := make([][]string, 11)
	for number := range workers {
		workers[number] = []string{"a", zoneRack(number)}
	}
	workers[0][0] = "b"
	world := newWorld(layout{
		entries: 3, workers: workers, holdMax: 6000, stopTimeout: 200, graceS: 6, heartbeat: 1500, contact: 3000, coresMilli: 32000,
	}, folder, trouble)
	return world, playCrashes
}

const (
	crashCount = 5
	downTime   = 700 * time.Millisecond
	upTime     = 700 * time.Millisecond
)

func playCrashes(world *world) string {
	const id = "5c0e7a21d94b36f8"
	world.start()
	world.await()
	body := `{"Spec":"lasts","Steps":[{"Count":1,"Cpu":6400,"MemoryLimitMb":13000,"EstimatedMs":400,"LongRunning":true,"Image":"sheet","TargetMs":150,"Requirements":"b"}]}`
	if accepted := world.insist(http.MethodPost, id, body, 10*time.Second); accepted.status/100 != 2 {
		cannotRun("the job was not accepted: %s", accepted)
	}
	if !world.waitFor(10*time.Second, func() bool { return len(world.started(id)) > 0 }) {
		cannotRun("the job was not started")
	}
	world.sleep(5 * time.Second)
	for range crashCount {
		if world.trouble {
			world.signal("runner-0", syscall.SIGKILL)
			world.sleep(downTime)
			world.startRunner(0, 0)
			world.sleep(upTime)
		} else {
			world.sleep(downTime + upTime)
		}
	}
	world.sleep(8 * time.Second)
	state := world.state(id)
	failed := 0
	for _, event := range world.recorded() {
		if event.Event == "end" && event.How == "failed" {
			failed++
		}
	}
	world.note("state %q after %d starts, %d runs ended failed", state, len(world.started(id)), failed)
	if state == "" {
		cannotRun("the state of the job is not known")
	}
	if state == "failed" && failed == 0 {
		return "an accepted job that nobody cancelled is shown as failed, although none of its runs ended failed"
	}
	return ""
}
