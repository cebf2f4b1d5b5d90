package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["stopped"] = newStopped }

// newStopped: a side machine is suspended with its runner, and cut off from the entries while it goes on. A run ends `done` there. The
// agent is stopped and started again before the cut heals.
func newStopped(folder string, trouble bool) (*world, func(*world) string) {
	workers := make([][]string, 11)
	for number := range workers {
		workers[number] = []string{"a", zoneRack(number)}
	}
	world := newWorld(layout{
		entries: 3, workers: workers, holdMax: 6000, stopTimeout: 200, graceS: 6, heartbeat: 1500, contact: 3000, coresMilli: 32000,
	}, folder, trouble)
	world.proxied = 0
	return world, playStopped
}

const (
	stoppedTask    = 10000 // milliseconds
	suspendedAt    = 9500 * time.Millisecond
	suspendedFor   = 4 * time.Second
	cutFrom        = 1300 * time.Millisecond // after the beginning of the suspension
	cutTime        = 5500 * time.Millisecond
	terminatedFrom = 900 * time.Millisecond // after the end of the suspension
	restartTime    = 500 * time.Millisecond
)

func playStopped(world *world) string {
	const id = "5c0e7a21d94b36f8"
	world.start()
	world.await()
	world.sleep(2 * time.Second)
	body := fmt.Sprintf(`{"Spec":"%d","Steps":[{"Count":22,"Cpu":500,"MemoryLimitMb":64,"EstimatedMs":%d,"AntiAffinity":2}]}`, stoppedTask, stoppedTask)
	if accepted := world.insist(http.MethodPost, id, body, 5*time.Second); accepted.status/100 != 2 {
		cannotRun("the job was not accepted: %s", accepted)
	}
	if !world.waitFor(5*time.Second, func() bool { return len(world.started(id)) == 22 }) {
		cannotRun("not all tasks were started")
	}
	world.sleep(suspendedAt)
	if world.trouble {
		world.note("the machine of agent-0 and runner-0 is suspended for %s, and cut off for %s from %s after that on", suspendedFor, cutTime, cutFrom)
		world.signal("agent-0", syscall.SIGSTOP)
		world.signal("runner-0", syscall.SIGSTOP)
		time.AfterFunc(cutFrom, func() { world.note("cut"); world.cut(true) })
		healed := make(chan struct{})
		time.AfterFunc(cutFrom+cutTime, func() { world.note("the cut heals"); world.cut(false); close(healed) })
		world.sleep(suspendedFor)
		world.signal("runner-0", syscall.SIGCONT)
		world.signal("agent-0", syscall.SIGCONT)
		world.sleep(terminatedFrom)
		world.signal("agent-0", syscall.SIGTERM)
		world.mu.Lock()
		ended := world.ended["agent-0"]
		world.mu.Unlock()
		<-ended
		world.note("agent-0: ended")
		world.sleep(restartTime)
		world.startDaemon("agent", 0)
		<-healed
	}
	world.sleep(20 * time.Second)
	return world.twice(id)
}

// twice returns what was run twice: two runs of a task at the same time, or a start after a run had ended `done` whose end was taken
// note of, without a lapse of its runner's lease between the two.
func (world *world) twice(id string) string {
	events := world.recorded()
	isNoted := func(position int) bool {
		for _, event := range events[position+1:] {
			switch {
			case event.Process != events[position].Process:
			case event.Event == "lapse":
				return false
			case event.Event == "noted" && event.Seen >= events[position].Seen:
				return true
			}
		}
		return false
	}
	count, first := 0, ""
	for position, event := range events {
		if event.Event != "end" || event.How != "done" || !strings.HasPrefix(event.Task, id+".") || !isNoted(position) {
			continue
		}
		for _, start := range events {
			if start.Event == "start" && start.Task == event.Task && start.Time > event.Time {
				count++
				if first == "" {
					first = fmt.Sprintf("run %d of %s ended done on %s and was taken note of, and run %d was started on %s %s after that end", event.Run, event.Task,
						event.Runner, start.Run, start.Runner, time.Duration(start.Time-event.Time).Round(time.Millisecond))
				}
			}
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("%d tasks: %s", count, first)
}
