// Package backlog decides which jobs a leader takes no more of, because those that it holds need their share of its memory.
package backlog

import (
	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// Bytes is an amount of memory.
type Bytes int64

// TaskBytes is what the leader holds of a task: its state, and its places in lists of waiting tasks.
const TaskBytes = 128

// What the leader holds of a job that is not archived.
const (
	// jobBytes is for a job without its texts and tasks, and stepBytes for a step.
	jobBytes  = 2 << 10
	stepBytes = 512
	// maxOccurrenceTasks limits the tasks of a scheduled job that are due at a time, unless one occurrence has more.
	maxOccurrenceTasks = 1000
)

// Levels of the backlog, in percent of its limit.
const (
	// largeAbove is the level above which no large jobs are taken, so that ordinary ones find room while large ones wait.
	largeAbove = 80
	// allAbove is the level above which no jobs are taken.
	allAbove = 100
	// resumeBelow is how far below such a level jobs are taken again. It keeps the decision from changing with every job.
	resumeBelow = 10
	// largeBytes is the size from which a job is large.
	largeBytes = 32 << 10
)

// Estimates of when the backlog will have room.
const (
	minRetryAfter = clock.Second
	maxRetryAfter = 30 * clock.Second
	// rateInterval is the interval over which the rate is measured at which jobs leave.
	rateInterval = 2 * clock.Second
	// rateWeight is the weight of the newest interval in the rate.
	rateWeight = 0.3
)

// Footprint returns the memory that a leader needs for a job.
func Footprint(spec workflow.Spec) Bytes {
	tasks, texts := 0, len(spec.Payload)+len(spec.Queue)+len(spec.Service)
	for _, step := range spec.Steps {
		tasks += step.Count
		texts += len(step.Label) + len(step.DataRack) + len(step.Image) + 8*len(step.After)
	}
	if spec.Repetitions > 1 {
		tasks = max(tasks, min(tasks*spec.Repetitions, maxOccurrenceTasks))
	}
	return jobBytes + Bytes(texts) + stepBytes*Bytes(len(spec.Steps)) + TaskBytes*Bytes(tasks)
}

// Refusal tells which jobs are not taken. The zero value refuses none.
type Refusal struct {
	// Large is when a large job should be submitted again, and All any job; 0 means that they are taken.
	Large clock.Millis `json:",omitempty"`
	All   clock.Millis `json:",omitempty"`
}

// RetryAfter returns when a job should be submitted again, or 0 if it is taken.
func (refusal Refusal) RetryAfter(spec workflow.Spec) clock.Millis {
	if refusal.Large > 0 && Footprint(spec) >= largeBytes {
		return refusal.Large
	}
	return refusal.All
}

// Gauge measures the backlog of a leader. It has no clock: callers pass the time.
type Gauge struct {
	limit   Bytes
	open    Bytes
	jobs    map[workflow.ID]Bytes
	refusal Refusal
	// left is what has left since measuredAt, and rate what leaves in a millisecond.
	left       Bytes
	measuredAt clock.Time
	rate       float64
}

// New returns an empty gauge. A limit of 0 means that all jobs are taken.
func New(limit Bytes) *Gauge {
	return &Gauge{limit: limit, jobs: map[workflow.ID]Bytes{}}
}

// Add records a job that is open.
func (gauge *Gauge) Add(spec workflow.Spec) {
	if _, ok := gauge.jobs[spec.ID]; ok {
		return
	}
	footprint := Footprint(spec)
	gauge.jobs[spec.ID] = footprint
	gauge.open += footprint
}

// Remove records that a job has left.
func (gauge *Gauge) Remove(id workflow.ID) {
	gauge.open -= gauge.jobs[id]
	gauge.left += gauge.jobs[id]
	delete(gauge.jobs, id)
}

// Open returns the memory that open jobs need.
func (gauge *Gauge) Open() Bytes { return gauge.open }

// Refusal returns which jobs are not taken now.
func (gauge *Gauge) Refusal(now clock.Time) Refusal {
	if elapsed := now.Sub(gauge.measuredAt); elapsed >= rateInterval {
		gauge.rate += rateWeight * (float64(gauge.left)/float64(elapsed) - gauge.rate)
		gauge.left, gauge.measuredAt = 0, now
	}
	if gauge.limit > 0 {
		gauge.refusal = Refusal{Large: gauge.retryAfter(gauge.refusal.Large, largeAbove), All: gauge.retryAfter(gauge.refusal.All, allAbove)}
	}
	return gauge.refusal
}

// retryAfter returns when the backlog will have left a level, or 0 if it has not reached it. before is the last result.
func (gauge *Gauge) retryAfter(before clock.Millis, percent Bytes) clock.Millis {
	resume := gauge.limit * (percent - resumeBelow) / 100
	if gauge.open <= resume || before == 0 && gauge.open < gauge.limit*percent/100 {
		return 0
	}
	if gauge.rate <= 0 {
		return maxRetryAfter
	}
	return clock.Millis(min(max(float64(gauge.open-resume)/gauge.rate, float64(minRetryAfter)), float64(maxRetryAfter)))
}
