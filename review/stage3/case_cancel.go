package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["cancel"] = newCancel }

// newCancel: the entry that a job is handed in at freezes and wakes again. The consumer gets no answer within its time, and cancels
// the job at another entry, which acknowledges that.
func newCancel(folder string, trouble bool) (*world, func(*world) string) {
	workers := make([][]string, 11)
	for number := range workers {
		workers[number] = []string{"a", zoneRack(number)}
	}
	world := newWorld(layout{
		entries: 3, workers: workers, holdMax: 6000, stopTimeout: 200, cancel: 3000, graceS: 6, heartbeat: 1500, contact: 3000, coresMilli: 32000,
	}, folder, trouble)
	return world, playCancel
}

const (
	freezeTime     = 4 * time.Second
	cancelObserved = 15 * time.Second
)

func playCancel(world *world) string {
	const id = "5c0e7a21d94b36f8"
	body := `{"Spec":"lasts","Steps":[{"Count":1,"Cpu":6400,"MemoryLimitMb":13000,"EstimatedMs":400,"LongRunning":true,"Image":"sheet","TargetMs":150}]}`
	world.start()
	world.await()
	world.sleep(2 * time.Second)
	woken := make(chan struct{})
	if world.trouble {
		world.signal("entry-2", syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() {
			world.signal("entry-2", syscall.SIGCONT)
			close(woken)
		})
	} else {
		close(woken)
	}
	handedIn := world.call(2, http.MethodPost, id, body, 3*time.Second)
	if world.trouble && handedIn.err == nil {
		cannotRun("the frozen entry answered: %s", handedIn)
	}
	cancelled := world.call(1, http.MethodDelete, id, "", 3*time.Second)
	for attempt := 0; cancelled.err != nil || cancelled.status/100 != 2 && cancelled.status != http.StatusGone; attempt++ {
		if attempt > 20 {
			cannotRun("the cancelling was not acknowledged: %s", cancelled)
		}
		world.sleep(200 * time.Millisecond)
		cancelled = world.call(attempt%2, http.MethodDelete, id, "", 3*time.Second)
	}
	acknowledged := time.Now()
	<-woken
	world.sleep(cancelObserved)
	bound := acknowledged.Add(time.Duration(world.cancel+world.stopTimeout) * time.Millisecond)
	ends := map[int]time.Time{}
	for _, event := range world.recorded() {
		if event.Event == "end" && strings.HasPrefix(event.Task, id+".") {
			ends[event.Run] = time.Unix(0, event.Time)
		}
	}
	for _, start := range world.started(id) {
		if end, ok := ends[start.Run]; !ok || end.After(bound) {
			return fmt.Sprintf("the cancelling of the job was acknowledged with %s. Its task was started %s later and was at work %s after the acknowledgement, and its state is %q",
				cancelled, time.Unix(0, start.Time).Sub(acknowledged).Round(time.Millisecond), time.Since(acknowledged).Round(time.Second), world.state(id))
		}
	}
	return ""
}
