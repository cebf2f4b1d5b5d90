package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["long"] = newLong }

// newLong: one job in twenty takes 300 times as long as the others. The workers are sound and nearly idle, so the long jobs
// must run to their end like the others; here it is enough that each of them has a task at work.
func newLong(folder string, trouble bool) (*world, func(*world) string) {
	workers := make([][]string, 3)
	for number := range workers {
		workers[number] = []string{"a", zoneRack(number)}
	}
	world := newWorld(layout{
		entries: 3, workers: workers, holdMax: 6000, stopTimeout: 200, graceS: 6, heartbeat: 1500, contact: 3000, coresMilli: 32000,
	}, folder, trouble)
	return world, playLong
}

const (
	longWindows  = 5
	longJobs     = 20 // in a window, of which one is long
	longWindow   = 3 * time.Second
	longTask     = 4000 // milliseconds
	longFactor   = 300
	longObserved = 30 * time.Second
	longPause    = time.Second
)

func playLong(world *world) string {
	world.start()
	world.await()
	var long []string
	for window := range longWindows {
		for number := range longJobs {
			id, millis := fmt.Sprintf("00000000000%02d%03d", window, number), 1000
			if number == 0 {
				millis = longTask
			}
			if number == 0 && world.trouble {
				millis *= longFactor
			}
			if number == 0 {
				long = append(long, id)
			}
			body := fmt.Sprintf(`{"Spec":"%d","Steps":[{"Count":8,"Cpu":500,"MemoryLimitMb":256,"EstimatedMs":%d}]}`, millis, millis)
			if accepted := world.insist(http.MethodPost, id, body, 5*time.Second); accepted.status/100 != 2 {
				cannotRun("a job was not accepted: %s", accepted)
			}
			world.sleep(longWindow / longJobs)
		}
		world.sleep(longPause)
	}
	world.note("the traffic has ended")
	world.sleep(14 * time.Second) // finish_s
	observed := time.Now()
	idle := map[string]time.Duration{}
	const step = 100 * time.Millisecond
	longest := map[string]time.Duration{}
	stops := 0
	for time.Since(observed) < longObserved {
		world.sleep(step)
		for _, id := range long {
			if world.running(id) > 0 || world.done(id) == 8 {
				idle[id] = 0
				continue
			}
			idle[id] += step
			longest[id] = max(longest[id], idle[id])
		}
	}
	for _, event := range world.recorded() {
		if event.Event == "end" && event.How == "stopped" {
			stops++
		}
	}
	broken := ""
	for _, id := range long {
		state := world.state(id)
		world.note("long job %s: state %q, %d starts, %d tasks done, %d at work, at most %s with nothing running", id, state,
			len(world.started(id)), world.done(id), world.running(id), longest[id])
		if longest[id] >= 3*time.Second {
			broken = fmt.Sprintf("job %s had nothing running for %s, although under 2 of 96 cores were in use; in all %d runs on sound workers were stopped",
				id, longest[id].Round(time.Second), stops)
		}
	}
	return broken
}

// running returns the number of tasks of a job that are at work, and done that of those that have ended so.
func (world *world) running(id string) int {
	active := map[string]int{}
	for _, event := range world.recorded() {
		if !strings.HasPrefix(event.Task, id+".") {
			continue
		}
		switch event.Event {
		case "start":
			active[fmt.Sprint(event.Task, event.Run)]++
		case "end":
			active[fmt.Sprint(event.Task, event.Run)]--
		}
	}
	count := 0
	for _, value := range active {
		count += value
	}
	return count
}

func (world *world) done(id string) int {
	count := 0
	for _, event := range world.recorded() {
		if event.Event == "end" && event.How == "done" && strings.HasPrefix(event.Task, id+".") {
			count++
		}
	}
	return count
}
