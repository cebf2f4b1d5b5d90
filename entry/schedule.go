package entry

import (
	"sync/atomic"

	"hyssopjunction/clock"
)

// schedule holds the periodic steps of an entry. All steps share one timer: their due times are
// multiples of their intervals on one grid, so that steps of 250 ms and of 1 s wake an idle process
// together. Each wakeup of an idle process costs more processor time than most steps do.
type schedule struct {
	// phase shifts the grid, so that entries that started together do not call the table together. It
	// falls by up to a tenth of the shortest interval with each wakeup, so that entries that came to call
	// together do not continue to. A step is never later than its interval.
	phase clock.Millis
	// jitter returns a random duration below the bound; nil means none.
	jitter func(bound clock.Millis) clock.Millis
	steps  []*periodicStep
}

// periodicStep is a step that is due at start and then once in each interval. Exactly one of control
// and call is set.
type periodicStep struct {
	interval clock.Millis
	// due is a time on the grid without its phase.
	due clock.Millis
	// control runs on the control goroutine. The calls that it returns run on goroutines of their own.
	control func() []func()
	// call waits for other processes, so it runs on a goroutine of its own. It is left out while its
	// last run has not ended.
	call    func()
	running atomic.Bool
}

// control adds a step for the control goroutine.
func (schedule *schedule) control(interval clock.Millis, step func() []func()) {
	schedule.steps = append(schedule.steps, &periodicStep{interval: max(interval, 1), due: -clock.Day, control: step})
}

// call adds a step that waits for other processes.
func (schedule *schedule) call(interval clock.Millis, step func()) {
	schedule.steps = append(schedule.steps, &periodicStep{interval: max(interval, 1), due: -clock.Day, call: step})
}

// take returns the steps that are due and sets their next due times. Times that were missed, as in a
// pause of the process, are not made up for.
func (schedule *schedule) take(now clock.Time) []*periodicStep {
	var due []*periodicStep
	elapsed := clock.Millis(now) - schedule.phase
	shortest := schedule.steps[0].interval
	for _, step := range schedule.steps {
		shortest = min(shortest, step.interval)
		if elapsed < step.due {
			continue
		}
		step.due = elapsed + step.interval - (elapsed%step.interval+step.interval)%step.interval
		due = append(due, step)
	}
	if schedule.jitter != nil && len(due) > 0 {
		schedule.phase -= schedule.jitter(max(shortest/10, 1))
	}
	return due
}

// wait returns the time until the next step is due.
func (schedule *schedule) wait(now clock.Time) clock.Millis {
	earliest := schedule.steps[0].due
	for _, step := range schedule.steps {
		earliest = min(earliest, step.due)
	}
	return max(earliest-(clock.Millis(now)-schedule.phase), 1)
}

// follow carries out the schedule until the entry closes.
func (entry *Entry) follow(schedule *schedule) {
	for {
		entry.carryOut(schedule.take(entry.time.Now()))
		select {
		case <-entry.time.After(schedule.wait(entry.time.Now())):
		case <-entry.quit:
			return
		}
	}
}

// carryOut runs the due steps, those of the control goroutine in one event.
func (entry *Entry) carryOut(due []*periodicStep) {
	var calls []func()
	for _, step := range due {
		if step.call != nil && step.running.CompareAndSwap(false, true) {
			calls = append(calls, func() {
				defer step.running.Store(false)
				step.call()
			})
		}
	}
	entry.control.Call(func() {
		for _, step := range due {
			if step.control != nil {
				calls = append(calls, step.control()...)
			}
		}
	})
	for _, call := range calls {
		entry.spawn(call)
	}
}
