package pacing

import (
	"math"

	"hyssopjunction/clock"
)

// Figures of the control.
const (
	// aim is the share of the target that tails are kept at. The rest is for the swing of the load
	// between two figures.
	aim = 0.6
	// FullPace is the pace, in percent, of a task that is not slowed down.
	FullPace = 100
	// floor is the pace below which a task stands still.
	floor = 5
	// step is the granularity of the pace in percent; smaller changes are not worth a call.
	step = 5
	// interval separates decisions: one figure each.
	interval = 450 * clock.Millisecond
	// alarm is the share of the target from which the model is distrusted, and calm the one below which
	// trust returns.
	alarm = 0.95
	calm  = 0.8
	// tighten and loosen change the trust at each decision. Three decisions over the target leave an
	// eighth, within half of the time that a target may be exceeded.
	tighten = 0.5
	loosen  = 1.6
	// leastTrust bounds the distrust, so that trust returns within three seconds.
	leastTrust = 0.05
	// haltPercent of the time that a target may be exceeded is waited before all filling tasks beside the
	// serving one stand still, whatever the model says. Figures lag by a second, and half of the time is left.
	haltPercent = 30
	// doubt is the least weight of a filling image beside a task that is over its target, unless the task
	// would be over it by ownLoad without the filling tasks.
	doubt   = 0.02
	ownLoad = 1.2
)

// Weights tells by how much one core of a filling image raises the logarithm of a serving image's tail.
type Weights func(serving, filling Image) float64

// Governor decides the pace of each filling task of one worker.
type Governor struct {
	decidedAt clock.Time
	// trust scales what the model allows beside each serving task.
	trust map[string]float64
	// over is the time from which each serving task was over its target.
	over map[string]clock.Time
	// halted reports that one was over it for too long at the last figure.
	halted bool
	halt   clock.Millis
	paces  map[string]int
}

// NewGovernor returns a governor at full pace. Impact is how long a target may be exceeded.
func NewGovernor(impact clock.Millis) *Governor {
	return &Governor{halt: impact * haltPercent / FullPace, trust: map[string]float64{}, over: map[string]clock.Time{}, paces: map[string]int{}}
}

// Pace returns the decided pace of a filling task in percent.
func (governor *Governor) Pace(task string) int {
	pace, ok := governor.paces[task]
	if !ok {
		return FullPace
	}
	return pace
}

// Decide takes the newest figures of the worker and decides the paces anew, at most once per figure.
func (governor *Governor) Decide(serving []Serving, filling []Filling, weights Weights, now clock.Time) {
	if governor.decidedAt != 0 && now.Sub(governor.decidedAt) < interval {
		return
	}
	governor.decidedAt = now
	governor.judge(serving, filling, weights)
	governor.halted = governor.isHalted(serving, now)
	governor.Allocate(serving, filling, weights)
}

// Allocate decides the paces by the trust that there is. It is for filling tasks that the figures do not
// show yet: they must not work at full pace until the next figure.
func (governor *Governor) Allocate(serving []Serving, filling []Filling, weights Weights) {
	shares := make([]float64, len(filling))
	for position := range filling {
		shares[position] = 1
	}
	for _, task := range serving {
		governor.limit(task, filling, shares, weights)
	}
	if governor.halted {
		clear(shares)
	}
	paces := map[string]int{}
	for position, task := range filling {
		pace := int(shares[position]*FullPace/step+0.5) * step
		if pace < floor {
			pace = 0
		}
		paces[task.Task] = pace
	}
	governor.paces = paces
}

// isHalted reports whether a serving task has been over its target for too long.
func (governor *Governor) isHalted(serving []Serving, now clock.Time) bool {
	over, halted := map[string]clock.Time{}, false
	for _, task := range serving {
		if task.ratio() <= 1 {
			continue
		}
		since, ok := governor.over[task.Task]
		if !ok {
			since = now
		}
		over[task.Task] = since
		if now.Sub(since) >= governor.halt {
			halted = true
			governor.trust[task.Task] = leastTrust
		}
	}
	governor.over = over
	return halted
}

// judge adapts the trust in the model to what is measured.
func (governor *Governor) judge(serving []Serving, filling []Filling, weights Weights) {
	trust := map[string]float64{}
	for _, task := range serving {
		present, ok := governor.trust[task.Task]
		if !ok {
			present = 1
		}
		switch ratio := task.ratio(); {
		case ratio > alarm && !isOwnLoad(task, filling, weights):
			present = math.Max(leastTrust, present*tighten)
		case ratio < calm || ratio > alarm:
			present = math.Min(1, present*loosen)
		}
		trust[task.Task] = present
	}
	governor.trust = trust
}

// isOwnLoad reports whether a task is over its target by its own load.
func isOwnLoad(task Serving, filling []Filling, weights Weights) bool {
	return BaselineTail(task, filling, weights) > math.Log(ownLoad)
}

// limit lowers the shares of filling tasks until the serving task is expected to stay at its aim.
func (governor *Governor) limit(task Serving, filling []Filling, shares []float64, weights Weights) {
	trust, ok := governor.trust[task.Task]
	if !ok {
		trust = 1
	}
	least := 0.0
	if task.ratio() > alarm && !isOwnLoad(task, filling, weights) {
		least = doubt
	}
	present, wanted := 0.0, 0.0
	each := make([]float64, len(filling))
	for position, other := range filling {
		weight := math.Max(least, weights(task.Image, other.Image))
		present += weight * other.Used
		each[position] = weight * other.Cores * shares[position]
		wanted += each[position]
	}
	if wanted <= 0 {
		return
	}
	allowed := (math.Log(aim) - math.Log(task.ratio()) + present) * trust
	if wanted <= allowed && trust >= 1 {
		return
	}
	factor := math.Max(0, math.Min(1, allowed/wanted))
	for position := range filling {
		// Tasks that hardly contribute keep their pace.
		if each[position] > 0 && each[position] >= wanted/float64(4*len(filling)) {
			shares[position] *= factor
		}
	}
}

// BaselineTail returns the logarithm of the share of its target that the task's tail would have
// without the filling tasks beside it.
func BaselineTail(task Serving, filling []Filling, weights Weights) float64 {
	rise := 0.0
	for _, other := range filling {
		rise += weights(task.Image, other.Image) * other.Used
	}
	return math.Log(task.ratio()) - rise
}

// AllowedCores returns how many cores of a filling image of the weight a serving task stands whose undisturbed
// tail and whose rise by other filling tasks are given as logarithms.
func AllowedCores(undisturbed, rise, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(1)
	}
	return math.Max(0, (math.Log(aim)-undisturbed-rise)/weight)
}
