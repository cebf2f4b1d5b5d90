package scheduler

import (
	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// Limits of the judgement about workers.
const (
	// suspectEnds is the number of consecutive failures of different jobs after which a worker is
	// suspended. A sound worker reaches it by the tasks' own faults (at most 5 in 100) once in 8,000 ends.
	suspectEnds = 3
	// firstSuspension and lastSuspension bound the time without new tasks; it doubles each time. Faults
	// of workers last for 4 to 8 s.
	firstSuspension = 2 * clock.Second
	lastSuspension  = 8 * clock.Second
	// refusalPause is how long a worker gets nothing after a refused start: the leader's view is corrected
	// by the next listing, within half a second.
	refusalPause = 500 * clock.Millisecond
	// stallAfter is the time without progress after which a run counts as stalled. Progress is reported
	// about every second in whole percent; a task of 20 s moves by 5 in that time.
	stallAfter = 2500 * clock.Millisecond
	// maxStallSlowed is the slowing down, in percent, up to which a run must show progress.
	maxStallSlowed = 60
	// stalledRuns is the number of stalled runs that suspends a worker on which nothing moves.
	stalledRuns = 2
)

// health judges a worker by the ends of its runs.
type health struct {
	failed map[workflow.ID]struct{}
	until  clock.Time
	term   clock.Millis
	// trial allows one run at a time after a suspension, until one is done.
	trial bool
}

// succeeded records a run that was done.
func (judged *health) succeeded() {
	judged.failed, judged.trial, judged.term = nil, false, 0
}

// faulted records a failed run of a job and reports whether the worker was suspended for it.
func (judged *health) faulted(id workflow.ID, now clock.Time) bool {
	if judged.failed == nil {
		judged.failed = map[workflow.ID]struct{}{}
	}
	judged.failed[id] = struct{}{}
	if judged.trial || len(judged.failed) >= suspectEnds {
		judged.suspend(now)
		return true
	}
	return false
}

func (judged *health) suspend(now clock.Time) {
	judged.term = min(max(firstSuspension, 2*judged.term), lastSuspension)
	judged.until, judged.trial, judged.failed = now.Add(judged.term), true, nil
}

// allows reports whether the worker may get another run. During a trial, one run at a time that was
// placed after the suspension shows whether the worker is sound; standing tasks show nothing by
// running, so they do not count.
func (target *worker) allows(now clock.Time) bool {
	judged := &target.health
	if now.Before(judged.until) || now.Before(target.refusesUntil) {
		return false
	}
	if !judged.trial {
		return true
	}
	for _, active := range target.runs {
		if !active.step.Standing && !active.placedAt.Before(judged.until) {
			return false
		}
	}
	return true
}
