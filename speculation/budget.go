package speculation

import (
	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Parameters of the budget.
const (
	// budgetPercent is the share of the work of the runs of steps with copies that copies may take, beside the work of one
	// job, over budgetWindow.
	budgetPercent = 5
	budgetWindow  = 30 * clock.Second
	// bucketLength divides budgetWindow into buckets.
	bucketLength = clock.Second
	bucketCount  = int(budgetWindow / bucketLength)
	// minCPU is the CPU that a copy costs at least, so that tasks that request none are not copied without a limit.
	minCPU unit.MilliCPU = 100
)

// Work is processor time in thousandths of a core times milliseconds.
type Work int64

// CoreMillis returns the work in thousandths of a core-second.
func (work Work) CoreMillis() int64 { return int64(work) / 1000 }

// CoreSeconds returns the work in core-seconds.
func (work Work) CoreSeconds() float64 { return float64(work) / 1e6 }

// WorkOf returns the work of a run that requests CPU for a time.
func WorkOf(cpu unit.MilliCPU, duration clock.Millis) Work {
	return Work(max(cpu, minCPU)) * Work(max(0, duration))
}

// Key identifies a copy.
type Key struct {
	Name workflow.Name
	Run  workflow.Run
}

// activeCopy is the expected cost of a copy that has not ended.
type activeCopy struct {
	cpu      unit.MilliCPU
	expected clock.Millis
	placedAt clock.Time
}

// Budget limits the work of copies. Its state is safe to lose: a new leader starts with that of one job. Create it with
// NewBudget.
type Budget struct {
	runs   window
	copies window
	active map[Key]activeCopy
}

// NewBudget returns a budget without history.
func NewBudget() *Budget { return &Budget{active: map[Key]activeCopy{}} }

// RecordRun records the work of a run that ended, and is no copy.
func (budget *Budget) RecordRun(work Work, now clock.Time) { budget.runs.add(work, now) }

// Place records that a copy was placed that is expected to take a time.
func (budget *Budget) Place(key Key, cpu unit.MilliCPU, expected clock.Millis, now clock.Time) {
	budget.active[key] = activeCopy{cpu: cpu, expected: expected, placedAt: now}
}

// End records the end of a copy. It returns the work that the copy took.
func (budget *Budget) End(key Key, now clock.Time) Work {
	item, ok := budget.active[key]
	if !ok {
		return 0
	}
	delete(budget.active, key)
	work := WorkOf(item.cpu, now.Sub(item.placedAt))
	budget.copies.add(work, now)
	return work
}

// Left returns the work that further copies may take, if jobWork is that of one job. Active copies count with what they
// are expected to take, or have taken if that is more.
func (budget *Budget) Left(jobWork Work, now clock.Time) Work {
	left := budget.runs.sum(now)*budgetPercent/100 + jobWork - budget.copies.sum(now)
	for _, item := range budget.active {
		left -= WorkOf(item.cpu, max(item.expected, now.Sub(item.placedAt)))
	}
	return left
}

// window sums work over budgetWindow.
type window struct {
	buckets [bucketCount]bucket
}

// bucket holds the work of one period of bucketLength, counted from time 0.
type bucket struct {
	period int64
	work   Work
}

func (window *window) add(work Work, now clock.Time) {
	period := int64(now) / int64(bucketLength)
	item := &window.buckets[period%int64(bucketCount)]
	if item.period != period {
		*item = bucket{period: period}
	}
	item.work += work
}

func (window *window) sum(now clock.Time) Work {
	oldest := int64(now)/int64(bucketLength) - int64(bucketCount) + 1
	total := Work(0)
	for _, item := range window.buckets {
		if item.period >= oldest {
			total += item.work
		}
	}
	return total
}
