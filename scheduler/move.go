package scheduler

import (
	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// Figures of moving filling runs that are slowed down much.
const (
	// crawling is the slowing down, in percent, from which a run is looked at.
	crawling = 65
	// crawlPatience is how long it must last: two listings, so that short peaks of load move nothing.
	crawlPatience = 1200 * clock.Millisecond
	// moveInterval separates rounds of moves; the figures show a round after about a second.
	moveInterval = 600 * clock.Millisecond
	// movesPerRound bounds the runs that a round stops.
	movesPerRound = 4
	// moveSpeed is the share of its speed that a run must be expected to get elsewhere.
	moveSpeed = 0.8
	// lostPercent is the progress above which a run that saves nothing stays where it is.
	lostPercent = 30
)

// move stops filling runs that crawl where another worker has room for them at almost full speed. They
// wait then and are placed again, from their checkpoint if they have one.
func (book *Scheduler) move(now clock.Time) {
	if now.Sub(book.movedAt) < moveInterval {
		return
	}
	book.movedAt = now
	moved := 0
	var placed []*run
	for _, incarnation := range book.sortedWorkers() {
		for _, active := range sortedRuns(book.workers[incarnation]) {
			if moved >= movesPerRound {
				break
			}
			if !book.crawls(active, now) {
				continue
			}
			found := book.jobs[active.name.Job]
			target := book.choose(found, active.step, active.name, false, now)
			if target == nil || target == active.worker || book.speed(active.step, target, nil, now) < moveSpeed {
				continue
			}
			// The room is taken while the other moves of the round are judged.
			reserved := &run{name: active.name, job: active.job, step: active.step, worker: target}
			if _, ok := target.runs[active.name]; ok {
				continue
			}
			target.add(reserved)
			placed = append(placed, reserved)
			book.stop(active)
			moved++
		}
	}
	for _, reserved := range placed {
		reserved.worker.remove(reserved)
	}
}

func (book *Scheduler) crawls(active *run, now clock.Time) bool {
	return active.step.Fills && !active.stopping && active.crawlingSince != 0 && now.Sub(active.crawlingSince) >= crawlPatience &&
		(active.step.Checkpoints || active.percent <= lostPercent)
}

// slack reports whether less than half of the processors of a service are reserved.
func (book *Scheduler) slack(service workflow.Service) bool {
	reserved, capacity := int64(0), int64(0)
	for _, target := range book.workers {
		if target.Service == service && target.reachable {
			reserved += int64(target.reserved.CPU)
			capacity += int64(target.Capacity.CPU)
		}
	}
	return 2*reserved < capacity
}
