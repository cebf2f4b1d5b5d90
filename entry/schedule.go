package entry

import (
	"sync/atomic"

	"hyssopjunction/clock"
)

// schedule holds the periodic steps of an entry. All steps share one timer: they are due at
// multiples of their intervals, so that steps of 250 ms and of 1 s wake an idle process together. A
// wakeup of an idle process costs more CPU time than most steps do.
type schedule struct {
	// phase shifts all due times, so that entries that started together do not call the table at
	// the same time. Each wakeup reduces it by up to a tenth of the shortest interval, which
	// separates entries whose calls have come to coincide. A step is never later than its interval.
	phase clock.Millis
	// jitter returns a random duration below the limit; nil means none.
	jitter func(limit clock.Millis) clock.Millis
	steps  []*periodicStep
}

// periodicStep is a step that is due at start and then once in each interval. Exactly one of
// control and call is set.
type periodicStep struct {
	interval clock.Millis
	// dueAt is the next due time without the phase.
	dueAt clock.Millis
	// control runs on the control goroutine. The calls that it returns run on separate goroutines.
	control func() []func()
	// call runs on a separate goroutine, because it waits for other processes. It is skipped while
	// its previous run has not ended.
	call    func()
	running atomic.Bool
}

// addControl adds a step for the control goroutine.
func (schedule *schedule) addControl(interval clock.Millis, step func() []func()) {
	schedule.steps = append(schedule.steps, &periodicStep{interval: max(interval, 1), dueAt: -clock.Day, control: step})
}

// addCall adds a step that waits for other processes.
func (schedule *schedule) addCall(interval clock.Millis, step func()) {
	schedule.steps = append(schedule.steps, &periodicStep{interval: max(interval, 1), dueAt: -clock.Day, call: step})
}

// takeDue returns the steps that are due and sets their next due times. Due times that were missed,
// for example while the process was paused, are skipped.
func (schedule *schedule) takeDue(now clock.Time) []*periodicStep {
	var steps []*periodicStep
	elapsed := clock.Millis(now) - schedule.phase
	shortest := schedule.steps[0].interval
	for _, step := range schedule.steps {
		shortest = min(shortest, step.interval)
		if elapsed < step.dueAt {
			continue
		}
		step.dueAt = elapsed + step.interval - (elapsed%step.interval+step.interval)%step.interval
		steps = append(steps, step)
	}
	if schedule.jitter != nil && len(steps) > 0 {
		schedule.phase -= schedule.jitter(max(shortest/10, 1))
	}
	return steps
}

// wait returns the time until the next step is due.
func (schedule *schedule) wait(now clock.Time) clock.Millis {
	earliest := schedule.steps[0].dueAt
	for _, step := range schedule.steps {
		earliest = min(earliest, step.dueAt)
	}
	return max(earliest-(clock.Millis(now)-schedule.phase), 1)
}

// runSchedule runs the steps of the schedule until the entry closes.
func (entry *Entry) runSchedule(schedule *schedule) {
	for {
		entry.runSteps(schedule.takeDue(entry.time.Now()))
		select {
		case <-entry.time.After(schedule.wait(entry.time.Now())):
		case <-entry.quit:
			return
		}
	}
}

// runSteps runs the steps that are due. Those of the control goroutine run in one event.
func (entry *Entry) runSteps(steps []*periodicStep) {
	var calls []func()
	for _, step := range steps {
		if step.call != nil && step.running.CompareAndSwap(false, true) {
			calls = append(calls, func() {
				defer step.running.Store(false)
				step.call()
			})
		}
	}
	entry.control.Call(func() {
		for _, step := range steps {
			if step.control != nil {
				calls = append(calls, step.control()...)
			}
		}
	})
	for _, call := range calls {
		entry.spawn(call)
	}
}
