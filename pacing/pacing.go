// Package pacing decides how much of their share filling tasks may work beside tasks that serve users.
// It has no goroutine and no clock.
package pacing

import "hyssopjunction/clock"

// Figures of the control. Tail latencies are told for half seconds and lag.
const (
	// highPercent of the target is where filling tasks are slowed down.
	highPercent = 85
	// lowPercent of the target is where they may work more.
	lowPercent = 60
	// raise is how many percent they gain per figure below lowPercent.
	raise = 15
	// floor is the pace below which filling tasks stand still.
	floor = 8
	// full is the pace of tasks that are not slowed down.
	full = 100
	// interval separates decisions: one figure each.
	interval = 500 * clock.Millisecond
	// patience is the time over the target, with the filling tasks at a standstill, after which the
	// cause is taken to lie elsewhere.
	patience = 3 * clock.Second
	// probe is the pace at which filling tasks resume then.
	probe = 20
)

// Serving is the state of a task that serves users.
type Serving struct {
	// Tail is the measured tail latency, and Target its bound.
	Tail   clock.Millis
	Target clock.Millis
}

// Governor decides the pace of all filling tasks of one worker.
type Governor struct {
	pace      int
	decidedAt clock.Time
	haltedAt  clock.Time
}

// New returns a governor at full pace.
func New() *Governor { return &Governor{pace: full} }

// Pace returns the present pace in percent.
func (governor *Governor) Pace() int { return governor.pace }

// Decide takes the newest figures and returns the pace in percent.
func (governor *Governor) Decide(serving []Serving, now clock.Time) int {
	if governor.decidedAt != 0 && now.Sub(governor.decidedAt) < interval {
		return governor.pace
	}
	governor.decidedAt = now
	worst := 0
	for _, task := range serving {
		if task.Target > 0 {
			worst = max(worst, int(task.Tail*full/task.Target))
		}
	}
	switch {
	case worst > full && governor.pace > floor:
		governor.set(governor.pace/4, now)
	case worst > highPercent && governor.pace > floor:
		governor.set(governor.pace*6/10, now)
	case worst > highPercent && governor.pace == 0 && now.Sub(governor.haltedAt) > patience:
		governor.set(probe, now)
	case worst < lowPercent:
		governor.set(min(full, governor.pace+raise), now)
	}
	return governor.pace
}

func (governor *Governor) set(pace int, now clock.Time) {
	if pace < floor {
		pace = 0
	}
	if pace == 0 && governor.pace != 0 {
		governor.haltedAt = now
	}
	governor.pace = pace
}
