package pacing

import (
	"math"

	"hyssopjunction/clock"
)

// Parameters of the control of paces. Tail latencies are given as a share of their target.
const (
	// setpointShare is the tail latency that the governor aims at. The margin is for changes of the load
	// between two samples.
	setpointShare = 0.6
	// FullPace is the pace, in percent, of a task that is not throttled.
	FullPace = 100
	// paceStepPercent is the granularity of paces. Smaller changes are not worth a call to the worker. Paces below half
	// of it become 0, which pauses the task.
	paceStepPercent = 5
	// decisionInterval is the minimum time between two decisions, so that each one uses a new sample.
	decisionInterval = 450 * clock.Millisecond
	// lowerTrustAbove is the tail latency above which the trust in the model decreases, and raiseTrustBelow
	// the one below which it increases.
	lowerTrustAbove = 0.95
	raiseTrustBelow = 0.8
	// trustDecreaseFactor and trustIncreaseFactor change the trust at each decision. Three decisions over the
	// target reduce it to an eighth, within half of the time that a target may be exceeded.
	trustDecreaseFactor = 0.5
	trustIncreaseFactor = 1.6
	// minTrust is the lowest trust, from which full trust returns within three seconds.
	minTrust = 0.05
	// haltPercent is the share of the time that a target may be exceeded after which all filling tasks of the
	// worker are paused, independently of the model. Samples lag by a second, so about half of that time is then left.
	haltPercent = 30
	// minSuspectWeight is the minimum weight assumed for filling images beside a task whose tail latency is
	// above lowerTrustAbove, unless the cause is the task's own load.
	minSuspectWeight = 0.02
	// ownLoadRatio is the baseline tail latency above which a task exceeds its target through its own load.
	ownLoadRatio = 1.2
)

// WeightFunc returns the increase of the log tail latency of a serving image per core of a filling image.
type WeightFunc func(serving, filling Image) float64

// Governor decides the paces of the filling tasks of one worker. It is not safe for concurrent use.
type Governor struct {
	decidedAt clock.Time
	// trust is a factor from minTrust to 1, by serving task, on the usage that the model allows beside it.
	trust map[string]float64
	// overSince is the time since which a serving task has been over its target, by task.
	overSince map[string]clock.Time
	// halted is set while a serving task has been over its target for haltAfter or longer.
	halted    bool
	haltAfter clock.Millis
	paces     map[string]int
	// limit describes what limited the paces most.
	limit Limit
}

// Limit describes the serving task that limited the paces of the last decision most.
type Limit struct {
	// Task is empty if no task limited the paces.
	Task  string
	Image Image
	// TailPercent is the last tail latency as a percentage of the target.
	TailPercent int
	// RoomPercent is by how many percent the tail latency could be increased by filling tasks, and TrustPercent how much
	// of that is allowed.
	RoomPercent  int
	TrustPercent int
	// Halted reports that all filling tasks are paused because a target was exceeded for too long.
	Halted bool

	factor float64
}

// Limit returns what limited the paces of the last decision most.
func (governor *Governor) Limit() Limit { return governor.limit }

// NewGovernor returns a governor that starts with full paces. The parameter maxOverTarget is how long serving
// tasks may exceed their target through filling tasks.
func NewGovernor(maxOverTarget clock.Millis) *Governor {
	return &Governor{haltAfter: maxOverTarget * haltPercent / FullPace, trust: map[string]float64{}, overSince: map[string]clock.Time{}, paces: map[string]int{}}
}

// Pace returns the pace of a filling task in percent.
func (governor *Governor) Pace(task string) int {
	pace, ok := governor.paces[task]
	if !ok {
		return FullPace
	}
	return pace
}

// Decide updates the trust and the paces from the worker's latest samples. It does nothing if it is called
// again within decisionInterval.
func (governor *Governor) Decide(serving []ServingSample, filling []FillingSample, weights WeightFunc, now clock.Time) {
	if governor.decidedAt != 0 && now.Sub(governor.decidedAt) < decisionInterval {
		return
	}
	governor.decidedAt = now
	governor.adjustTrust(serving, filling, weights)
	governor.halted = governor.trackOverTarget(serving, now)
	governor.Allocate(serving, filling, weights)
}

// Allocate updates the paces without updating the trust. It is called when a filling task has started, which
// must not run at full pace until the next sample. The filling tasks share what the serving tasks allow.
func (governor *Governor) Allocate(serving []ServingSample, filling []FillingSample, weights WeightFunc) {
	shares := make([]float64, len(filling))
	for position := range filling {
		shares[position] = 1
	}
	governor.limit = Limit{Halted: governor.halted}
	for _, task := range serving {
		governor.limitShares(task, filling, shares, weights)
	}
	if governor.halted {
		clear(shares)
	}
	paces := map[string]int{}
	for position, task := range filling {
		pace := int(shares[position]*FullPace/paceStepPercent+0.5) * paceStepPercent
		paces[task.Task] = pace
	}
	governor.paces = paces
}

// trackOverTarget updates since when serving tasks are over their target and reports whether one has been for
// haltAfter or longer. It reduces the trust for such tasks to minTrust.
func (governor *Governor) trackOverTarget(serving []ServingSample, now clock.Time) bool {
	overSince, halted := map[string]clock.Time{}, false
	for _, task := range serving {
		if task.ratio() <= 1 {
			continue
		}
		since, ok := governor.overSince[task.Task]
		if !ok {
			since = now
		}
		overSince[task.Task] = since
		if now.Sub(since) >= governor.haltAfter {
			halted = true
			governor.trust[task.Task] = minTrust
		}
	}
	governor.overSince = overSince
	return halted
}

// adjustTrust decreases the trust for tasks above lowerTrustAbove and increases it for those below
// raiseTrustBelow and those that exceed their target through their own load.
func (governor *Governor) adjustTrust(serving []ServingSample, filling []FillingSample, weights WeightFunc) {
	trust := map[string]float64{}
	for _, task := range serving {
		level, ok := governor.trust[task.Task]
		if !ok {
			level = 1
		}
		switch ratio := task.ratio(); {
		case ratio > lowerTrustAbove && !isOwnLoad(task, filling, weights):
			level = math.Max(minTrust, level*trustDecreaseFactor)
		case ratio < raiseTrustBelow || ratio > lowerTrustAbove:
			level = math.Min(1, level*trustIncreaseFactor)
		}
		trust[task.Task] = level
	}
	governor.trust = trust
}

// isOwnLoad reports whether a task would also exceed its target without the filling tasks.
func isOwnLoad(task ServingSample, filling []FillingSample, weights WeightFunc) bool {
	return BaselineTail(task, filling, weights) > math.Log(ownLoadRatio)
}

// limitShares lowers the shares, from 0 to 1, of the requested cores of the filling tasks until the serving task is expected to
// stay at setpointShare.
func (governor *Governor) limitShares(task ServingSample, filling []FillingSample, shares []float64, weights WeightFunc) {
	trust, ok := governor.trust[task.Task]
	if !ok {
		trust = 1
	}
	minWeight := 0.0
	if task.ratio() > lowerTrustAbove && !isOwnLoad(task, filling, weights) {
		minWeight = minSuspectWeight
	}
	currentIncrease, requestedIncrease := 0.0, 0.0
	increases := make([]float64, len(filling))
	for position, other := range filling {
		weight := math.Max(minWeight, weights(task.Image, other.Image))
		currentIncrease += weight * other.Used
		increases[position] = weight * other.Cores * shares[position]
		requestedIncrease += increases[position]
	}
	if requestedIncrease <= 0 {
		return
	}
	room := math.Log(setpointShare) - math.Log(task.ratio()) + currentIncrease
	allowedIncrease := room * trust
	if requestedIncrease <= allowedIncrease && trust >= 1 {
		return
	}
	factor := math.Max(0, math.Min(1, allowedIncrease/requestedIncrease))
	if factor < 1 && (governor.limit.Task == "" || factor < governor.limit.factor) {
		governor.limit = Limit{
			Task: task.Task, Image: task.Image, TailPercent: int(math.Round(FullPace * task.ratio())), RoomPercent: int(math.Round(FullPace * (math.Exp(room) - 1))),
			TrustPercent: int(math.Round(FullPace * trust)), Halted: governor.halted, factor: factor,
		}
	}
	// Tasks that contribute little, compared with the others, keep their share.
	littleIncrease := requestedIncrease / float64(4*len(filling))
	for position := range filling {
		if increases[position] > 0 && increases[position] >= littleIncrease {
			shares[position] *= factor
		}
	}
}

// BaselineTail returns the tail latency that a task would have without the filling tasks, as the logarithm of
// its share of the target.
func BaselineTail(task ServingSample, filling []FillingSample, weights WeightFunc) float64 {
	increase := 0.0
	for _, other := range filling {
		increase += weights(task.Image, other.Image) * other.Used
	}
	return math.Log(task.ratio()) - increase
}

// Room returns by how much the tail latency of a serving task may be increased until it is at setpointShare, as a
// logarithm. The task's baseline tail is one too.
func Room(baselineTail float64) float64 { return math.Log(setpointShare) - baselineTail }
