package coordinator

import (
	"fmt"
	"runtime/debug"
	"sync"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// Times for which the source of a failed event is not used. They double with each further failure.
const (
	firstFaultDelay = 10 * clock.Second
	maxFaultDelay   = 10 * clock.Minute
)

// source names what an event of the control loop came from: the report of an agent, or the rows of a job.
type source string

// sourceUnknown is that of events that depend on no single agent or job.
const sourceUnknown source = ""

func agentSource(node string) source  { return source("agent " + node) }
func jobSource(id workflow.ID) source { return source("job " + string(id)) }

// faultRecord describes the failed events of one source.
type faultRecord struct {
	count   int
	ignored clock.Time
}

// Faults remembers, through all terms of a process, from where events came that failed with a panic. Without it, one row or
// message would end each term at once and, if panics ended the process, each entry in turn. Create it with NewFaults. It is safe
// for concurrent use.
type Faults struct {
	clock   clock.Clock
	mu      sync.Mutex
	records map[source]faultRecord
}

// NewFaults returns an empty record of faults.
func NewFaults(time clock.Clock) *Faults {
	return &Faults{clock: time, records: map[source]faultRecord{}}
}

// record notes a failed event and returns for how long its source is ignored.
func (faults *Faults) record(name source) clock.Millis {
	if name == sourceUnknown {
		return 0
	}
	faults.mu.Lock()
	defer faults.mu.Unlock()
	record := faults.records[name]
	delay := firstFaultDelay
	for range record.count {
		delay = min(2*delay, maxFaultDelay)
	}
	record.count++
	record.ignored = faults.clock.Now().Add(delay)
	faults.records[name] = record
	return delay
}

// isIgnored reports whether events of the source are ignored at present.
func (faults *Faults) isIgnored(name source) bool {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	record, ok := faults.records[name]
	return ok && faults.clock.Now().Before(record.ignored)
}

// ErrIgnored reports an agent whose last report made the leader fail.
type ErrIgnored struct {
	Node string
}

// Error names the agent's node.
func (err ErrIgnored) Error() string {
	return "reports of agent " + err.Node + " are ignored because one made the leader fail"
}

// contain runs an event of the control loop. If it panics, the state may be inconsistent: the term ends, the process goes on,
// and the source of the event is ignored for a while, so that later terms do not fail too.
func (coordinator *Coordinator) contain(from source, event func()) {
	if coordinator.hasFailed {
		return
	}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		coordinator.hasFailed = true
		if id := coordinator.scheduler.Considered(); from == sourceUnknown && id != "" {
			from = jobSource(id)
		}
		coordinator.counters.failedEvents.Inc()
		klog.ErrorS(nil, "Event of the control loop failed", "Source", from, "Cause", fmt.Sprint(cause), "Term", coordinator.leadership.Term.Number,
			"IgnoredMillis", int64(coordinator.deps.Faults.record(from)), "Stack", string(debug.Stack()))
		coordinator.stepDown("an event of the control loop failed")
	}()
	event()
}
