package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["born"] = newBorn }

// newBorn: the time of day steps back on a machine whose runner has just started, and the runner crashes and starts again. Its new
// life states an earlier start than the one before. It is sound, so the tasks that only it can run must start on it.
func newBorn(folder string, trouble bool) (*world, func(*world) string) {
	workers := make([][]string, 11)
	for number := range workers {
		workers[number] = []string{"a", zoneRack(number)}
	}
	workers[0][0] = "b"
	world := newWorld(layout{
		entries: 3, workers: workers, holdMax: 6000, stopTimeout: 200, graceS: 6, heartbeat: 1500, contact: 3000, coresMilli: 32000,
	}, folder, trouble)
	return world, playBorn
}

func zoneRack(number int) string {
	return "r" + string(rune('1'+number%3)) + "-" + string(rune('1'+number/9))
}

const (
	clockStepMillis = -2400
	bornPatience    = 25 * time.Second
)

func playBorn(world *world) string {
	const id = "5c0e7a21d94b36f8"
	world.start(0)
	world.await()
	world.note("an empty runner is added")
	world.startRunner(0, 0)
	world.sleep(700 * time.Millisecond)
	if world.trouble {
		world.note("the time of day steps back by %d ms on the machine of the runner, and the runner crashes", -clockStepMillis)
		world.signal("runner-0", syscall.SIGKILL)
		world.sleep(500 * time.Millisecond)
		world.startRunner(0, clockStepMillis)
	}
	world.sleep(4 * time.Second)
	body := `{"Spec":"lasts","Steps":[{"Count":1,"Cpu":6400,"MemoryLimitMb":13000,"EstimatedMs":400,"LongRunning":true,"Image":"sheet","TargetMs":150,"Requirements":"b"}]}`
	if accepted := world.insist(http.MethodPost, id, body, 10*time.Second); accepted.status/100 != 2 {
		cannotRun("the job was not accepted: %s", accepted)
	}
	accepted := time.Now()
	if world.waitFor(bornPatience, func() bool { return len(world.started(id)) > 0 }) {
		world.note("the task was started %s after the job was accepted", time.Since(accepted).Round(time.Millisecond))
		return ""
	}
	world.note("state %q", world.state(id))
	return "for " + bornPatience.String() + " after its acceptance a job had nothing running, although the only runner with its label was up, idle and has room"
}
