package recorded

import (
	"encoding/json"
	"fmt"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/outcome"
	"hyssopjunction/placement"
	"hyssopjunction/set"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

const (
	// maxClosedStartDelay is how long after a data centre was taken out a task may still start
	// there.
	maxClosedStartDelay = 3 * clock.Second
	// maxLeavingRequestDelay is how long after an endpoint began to leave it may still receive
	// requests.
	maxLeavingRequestDelay = 3 * clock.Second
	// maxConfigDelay is how long an accepted configuration change may take to be in force
	// everywhere.
	maxConfigDelay = 7 * clock.Second
	// maxViolations limits the recorded violations.
	maxViolations = 20
)

// checks asserts the invariants during a session and counts what was checked:
//
//	I1: the tasks on a worker fit in its capacity
//	I2: a task runs on one worker at a time, under a valid lease
//	I3: epochs increase, and a task resumes from its newest checkpoint
//	I4: no task starts in a data centre more than maxClosedStartDelay after it was taken out
//	I6: an attempt that was reported as not run never runs
//	I7: an attempt runs at most once, a key too, and an answered key exactly once
//	I8: an endpoint receives no requests more than maxLeavingRequestDelay after it began to leave
//	I10: an accepted configuration change is in force everywhere after maxConfigDelay
//
// I5 and I9 are not checked here.
type checks struct {
	deployment *deployment
	violations []string
	starts     map[ident.Task][]taskStart
	ends       map[ident.Task][]worker.Status
	// endTimes are the times at which the ends were recorded.
	endTimes map[ident.Task][]clock.Time
	// sizeChanges holds the size of each task that started on a worker, negated for each that
	// ended, in order.
	sizeChanges map[ident.Worker][]unit.Resources
	// executedAttempts holds the attempts that endpoints executed; keyRuns counts the executions of
	// each key.
	executedAttempts map[ident.Request]bool
	// executions holds what each endpoint executed, in order.
	executions map[ident.Endpoint][]execution
	keyRuns    map[ident.Key]int
	// answeredKeys are the keys whose callers received an answer that the submission ran.
	answeredKeys map[ident.Key]bool
	// notRun holds the attempts that were reported as not run.
	notRun map[ident.Request]bool

	rowChanges, arrivals, versionChecks, conflicts      int
	reportedRan, reportedNotRun, reportedUnknown        int
	resumedEvictions, cancelledEvictions, openEvictions int
	peakRunning                                         int
	// silentConnections counts the connections made silent, lostMessages the messages lost on them,
	// closedConnections the connections closed because they may be silent, and queries the queries
	// about requests without an answer.
	silentConnections, lostMessages, closedConnections, queries int
	// pausedTasks counts the tasks that were running when their agent was paused, delayedMessages
	// the messages that the agent handled only after the pause.
	pausedTasks, delayedMessages int
	latestClosedStart            clock.Millis
	latestLeavingRequest         clock.Millis
}

type taskStart struct {
	epoch      ident.Epoch
	worker     ident.Worker
	checkpoint worker.Checkpoint
	at         clock.Time
}

// execution records that an endpoint executed an attempt.
type execution struct {
	id  ident.Request
	key ident.Key
}

func newChecks(deployment *deployment) *checks {
	return &checks{
		deployment: deployment, starts: make(map[ident.Task][]taskStart), ends: make(map[ident.Task][]worker.Status),
		endTimes: make(map[ident.Task][]clock.Time), executions: make(map[ident.Endpoint][]execution),
		sizeChanges: make(map[ident.Worker][]unit.Resources), executedAttempts: make(map[ident.Request]bool), keyRuns: make(map[ident.Key]int), notRun: make(map[ident.Request]bool), answeredKeys: make(map[ident.Key]bool),
	}
}

// fail records a violation.
func (checks *checks) fail(format string, arguments ...any) {
	text := fmt.Sprintf("at %d: ", checks.deployment.now()) + fmt.Sprintf(format, arguments...)
	if len(checks.violations) < maxViolations {
		checks.violations = append(checks.violations, text)
	}
	checks.deployment.log.write("Broken %s", text)
}

// taskStarted asserts I1 to I4, and that the task is claimed, when a worker's runtime starts a
// task.
func (checks *checks) taskStarted(agent *agent, spec placement.TaskSpec, ref placement.TaskRef) {
	deployment := checks.deployment
	stored, row := deployment.store.task(ref.Task)
	total := spec.Size
	for _, task := range agent.runtime.tasks {
		total = total.Add(task.size)
	}
	if !total.FitsIn(agent.capacity) {
		checks.fail("I1: worker %s holds %s of %s", agent.name, total, agent.capacity)
	}
	if current := deployment.taskAgents[ref.Task]; current != nil {
		checks.fail("I2: task %s epoch %d starts on %s and runs on %s", ref.Task, ref.Epoch, agent.name, current.name)
	}
	if starts := checks.starts[ref.Task]; len(starts) > 0 && starts[len(starts)-1].epoch >= ref.Epoch {
		checks.fail("I3: task %s epoch %d starts after epoch %d", ref.Task, ref.Epoch, starts[len(starts)-1].epoch)
	}
	if stored.State.Final() || stored.Epoch != ref.Epoch || stored.Placement.Worker != agent.name {
		checks.fail("task %s epoch %d starts on %s without a claim: %+v cancelled %t", ref.Task, ref.Epoch, agent.name, stored, row.Cancelled)
	}
	if stored.Checkpoint != spec.Checkpoint {
		checks.fail("I3: task %s resumes from %v, newest is %v", ref.Task, spec.Checkpoint, stored.Checkpoint)
	}
	if closed := deployment.closedAt[agent.centre]; closed != 0 {
		delay := deployment.now().Sub(closed)
		checks.latestClosedStart = max(checks.latestClosedStart, delay)
		if delay > maxClosedStartDelay {
			checks.fail("I4: task %s starts in %s %s after it was taken out", ref.Task, agent.centre, delay)
		}
	}
	if agent.runtime.now() >= agent.runtime.expiry {
		checks.fail("I2: task %s starts on %s without a lease", ref.Task, agent.name)
	}
	checks.starts[ref.Task] = append(checks.starts[ref.Task], taskStart{epoch: ref.Epoch, worker: agent.name, checkpoint: spec.Checkpoint, at: deployment.now()})
	checks.sizeChanges[agent.name] = append(checks.sizeChanges[agent.name], spec.Size)
}

func (checks *checks) taskEnded(agent *agent, status worker.Status) {
	checks.ends[status.Task] = append(checks.ends[status.Task], status)
	checks.endTimes[status.Task] = append(checks.endTimes[status.Task], checks.deployment.now())
	checks.sizeChanges[agent.name] = append(checks.sizeChanges[agent.name], unit.Resources{}.Sub(status.Resources))
}

// requestArrived asserts I8, and that a closed data centre receives no requests once its state must
// be in force everywhere.
func (checks *checks) requestArrived(agent *agent) {
	now := checks.deployment.now()
	checks.arrivals++
	if agent.leftAt != 0 {
		delay := now.Sub(agent.leftAt)
		checks.latestLeavingRequest = max(checks.latestLeavingRequest, delay)
		if delay > maxLeavingRequestDelay {
			checks.fail("I8: endpoint %s gets a request %s after it began to leave", agent.endpoint, delay)
		}
	}
	if closed := checks.deployment.closedAt[agent.centre]; closed != 0 && now.Sub(closed) > maxConfigDelay {
		checks.fail("I10: endpoint %s gets a request %s after %s was taken out", agent.endpoint, now.Sub(closed), agent.centre)
	}
}

// checkEndpointLimits asserts that an endpoint stays within its slots and connections. It relies on
// the endpoint's own count of running requests, not on the admission controller under test.
func (checks *checks) checkEndpointLimits(agent *agent) {
	limits := admission.Defaults()
	checks.peakRunning = max(checks.peakRunning, agent.runningRequests)
	if agent.runningRequests > limits.Slots {
		checks.fail("endpoint %s runs %d requests on %d slots", agent.endpoint, agent.runningRequests, limits.Slots)
	}
	if used := agent.runningRequests + checks.deployment.session.Traffic.Streams; used > limits.Connections {
		checks.fail("endpoint %s uses %d of %d connections", agent.endpoint, used, limits.Connections)
	}
}

// attemptExecuted asserts I6 and I7 when an endpoint executes an attempt.
func (checks *checks) attemptExecuted(agent *agent, attempt *attempt) {
	checks.executions[agent.endpoint] = append(checks.executions[agent.endpoint], execution{id: attempt.id, key: attempt.request.key})
	if checks.notRun[attempt.id] {
		checks.fail("I6: %s runs after it was reported as not run", attempt.id)
	}
	if checks.executedAttempts[attempt.id] {
		checks.fail("I7: %s runs twice", attempt.id)
	}
	checks.executedAttempts[attempt.id] = true
	if key := attempt.request.key; key != "" {
		checks.keyRuns[key]++
		if checks.keyRuns[key] > 1 {
			checks.fail("I7: key %s runs %d times", key, checks.keyRuns[key])
		}
	}
}

// attemptDenied records that an agent confirmed that an attempt never runs.
func (checks *checks) attemptDenied(id ident.Request) {
	if checks.executedAttempts[id] {
		checks.fail("I6: %s is denied after it ran", id)
	}
	checks.notRun[id] = true
}

// outcomeReported asserts that the outcome reported to a caller is correct.
func (checks *checks) outcomeReported(call *call, result outcome.Outcome) {
	switch result {
	case outcome.Ran:
		checks.reportedRan++
		if key := call.request.key; key != "" {
			checks.answeredKeys[key] = true
		}
		ran := false
		for _, id := range call.request.attemptIDs {
			ran = ran || checks.executedAttempts[id]
		}
		if !ran {
			checks.fail("request %d is reported as run and was not", call.request.number)
		}
	case outcome.NotRun:
		checks.reportedNotRun++
		for _, id := range call.attemptIDs {
			checks.attemptDenied(id)
		}
	default:
		checks.reportedUnknown++
	}
}

// expectInForce asserts I10: after maxConfigDelay, all live entries have at least the accepted
// version.
func (checks *checks) expectInForce(change acceptedChange) {
	checks.deployment.after(maxConfigDelay, func() {
		for _, entry := range checks.deployment.entries {
			checks.versionChecks++
			if entry.alive && entry.publisher.Version() < change.version {
				checks.fail("I10: %s has version %d, %d was accepted %s ago", entry.id, entry.publisher.Version(), change.version, maxConfigDelay)
			}
		}
	})
}

// recount checks the recorded starts and ends of all tasks again at the end of a session,
// independently of the checks made during it.
func (checks *checks) recount() {
	for _, task := range sortedTasks(checks.starts) {
		starts, ends := checks.starts[task], checks.ends[task]
		stored, row := checks.deployment.store.task(task)
		if len(ends) != len(starts) && len(ends) != len(starts)-1 {
			checks.fail("I2: task %s started %d times and ended %d times", task, len(starts), len(ends))
			continue
		}
		for index, status := range ends {
			if status.Epoch != starts[index].epoch {
				checks.fail("I2: task %s: end %d is of epoch %d, start of %d", task, index, status.Epoch, starts[index].epoch)
			}
			if status.State == worker.Finished && index != len(starts)-1 {
				checks.fail("task %s starts again after it finished", task)
			}
			if status.State != worker.Stopped {
				continue
			}
			switch {
			case index < len(starts)-1:
				checks.resumedEvictions++
			case row.Cancelled:
				checks.cancelledEvictions++
			case stored.State.Final():
				checks.fail("I3: evicted task %s is %s and was not resumed", task, stored.State)
			default:
				checks.openEvictions++
			}
		}
		if stored.State == job.Finished && (len(ends) == 0 || ends[len(ends)-1].State != worker.Finished) {
			checks.fail("task %s is Finished in the table and not on a worker", task)
		}
	}
	checks.recountTimes()
	checks.recountExecutions()
	checks.recountFinalState()
	for _, agent := range checks.deployment.agents {
		var total unit.Resources
		for _, change := range checks.sizeChanges[agent.name] {
			total = total.Add(change)
			if !total.FitsIn(agent.capacity) || total.Negative() {
				checks.fail("I1: the record of %s gives %s of %s", agent.name, total, agent.capacity)
			}
		}
	}
}

// recountFinalState checks that each answered key ran once, that standing tasks run, and that all
// entries have the newest configuration in the table.
func (checks *checks) recountFinalState() {
	deployment := checks.deployment
	for _, key := range set.SortedKeys(checks.answeredKeys) {
		if checks.keyRuns[key] != 1 {
			checks.fail("I7: key %s was answered and ran %d times", key, checks.keyRuns[key])
		}
	}
	for _, name := range deployment.jobs {
		task := ident.Task{Job: name}
		stored, row := deployment.store.task(task)
		if row.Spec.Kind == worker.Standing && (stored.State != job.Running || deployment.taskAgents[task] == nil) {
			checks.fail("standing task %s is %s at the end", task, stored.State)
		}
	}
	for _, entry := range deployment.entries {
		var head config.Head
		if err := json.Unmarshal(deployment.store.rows[config.HeadKey].Value, &head); err != nil || entry.publisher.Version() != head.Version {
			checks.fail("I10: %s has version %d, the table %d (%v)", entry.id, entry.publisher.Version(), head.Version, err)
		}
	}
}
