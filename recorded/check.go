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
	// closedBound is how long after a data centre was taken out a task may still start there.
	closedBound = 3 * clock.Second
	// leavingBound is how long after an endpoint began to leave it may still receive new work.
	leavingBound = 3 * clock.Second
	// forceBound is how long an accepted configuration may take to be in force everywhere.
	forceBound = 7 * clock.Second
	// maxFaults bounds the violations that are kept in full.
	maxFaults = 20
)

// checks asserts the invariants during the run and counts what was checked.
type checks struct {
	deployment *deployment
	faults     []string
	starts     map[ident.Task][]placed
	ends       map[ident.Task][]worker.Status
	// endTimes are when the ends were recorded.
	endTimes map[ident.Task][]clock.Time
	// occupancy is the record of each worker's starts and ends in order.
	occupancy map[ident.Worker][]unit.Resources
	// ran holds the attempts that an endpoint executed, keyRuns how often each key was.
	ran map[ident.Request]bool
	// executions is the record of each endpoint in order.
	executions map[ident.Endpoint][]execution
	keyRuns    map[ident.Key]int
	// keyAnswers are the keys whose callers were told that the submission ran.
	keyAnswers map[ident.Key]bool
	// notRun holds the attempts that were reported as not run.
	notRun map[ident.Request]bool

	rows, arrivals, forced, conflicts       int
	reportedRan, reportedNot, reportedDoubt int
	resumed, cancelledAfter, openEvictions  int
	mostRunning                             int
	// silentConnections went silent and lost silenced messages; replaced counts closed connections and
	// queries the questions for requests without an answer.
	silentConnections, silenced, replaced, queries int
	// pausedTasks ran beside a paused agent, held counts what reached it then.
	pausedTasks, held int
	latestClosed      clock.Millis
	latestLeaving     clock.Millis
}

type placed struct {
	epoch      ident.Epoch
	worker     ident.Worker
	checkpoint worker.Checkpoint
	at         clock.Time
}

// execution is a run of an attempt in the record of an endpoint.
type execution struct {
	id  ident.Request
	key ident.Key
}

func newChecks(deployment *deployment) *checks {
	return &checks{
		deployment: deployment, starts: make(map[ident.Task][]placed), ends: make(map[ident.Task][]worker.Status),
		endTimes: make(map[ident.Task][]clock.Time), executions: make(map[ident.Endpoint][]execution),
		occupancy: make(map[ident.Worker][]unit.Resources), ran: make(map[ident.Request]bool), keyRuns: make(map[ident.Key]int), notRun: make(map[ident.Request]bool), keyAnswers: make(map[ident.Key]bool),
	}
}

// broken records a violation.
func (checks *checks) broken(format string, arguments ...any) {
	text := fmt.Sprintf("at %d: ", checks.deployment.now()) + fmt.Sprintf(format, arguments...)
	if len(checks.faults) < maxFaults {
		checks.faults = append(checks.faults, text)
	}
	checks.deployment.log.write("Broken %s", text)
}

// started asserts I1 to I4 and the claim at the start of a task in a worker's runtime.
func (checks *checks) started(agent *agent, spec placement.TaskSpec, ref placement.TaskRef) {
	deployment := checks.deployment
	stored, row := deployment.store.task(ref.Task)
	sum := spec.Size
	for _, task := range agent.runtime.tasks {
		sum = sum.Add(task.size)
	}
	if !sum.FitsIn(agent.capacity) {
		checks.broken("I1: worker %s holds %s of %s", agent.name, sum, agent.capacity)
	}
	if other := deployment.places[ref.Task]; other != nil {
		checks.broken("I2: task %s epoch %d starts on %s and runs on %s", ref.Task, ref.Epoch, agent.name, other.name)
	}
	if before := checks.starts[ref.Task]; len(before) > 0 && before[len(before)-1].epoch >= ref.Epoch {
		checks.broken("I3: task %s epoch %d starts after epoch %d", ref.Task, ref.Epoch, before[len(before)-1].epoch)
	}
	if stored.State.Final() || stored.Epoch != ref.Epoch || stored.Placement.Worker != agent.name {
		checks.broken("task %s epoch %d starts on %s without a claim: %+v cancelled %t", ref.Task, ref.Epoch, agent.name, stored, row.Cancelled)
	}
	if stored.Checkpoint != spec.Checkpoint {
		checks.broken("I3: task %s resumes from %v, newest is %v", ref.Task, spec.Checkpoint, stored.Checkpoint)
	}
	if closed := deployment.closedAt[agent.centre]; closed != 0 {
		late := deployment.now().Sub(closed)
		checks.latestClosed = max(checks.latestClosed, late)
		if late > closedBound {
			checks.broken("I4: task %s starts in %s %s after it was taken out", ref.Task, agent.centre, late)
		}
	}
	if agent.runtime.now() >= agent.runtime.expiry {
		checks.broken("I2: task %s starts on %s without a lease", ref.Task, agent.name)
	}
	checks.starts[ref.Task] = append(checks.starts[ref.Task], placed{epoch: ref.Epoch, worker: agent.name, checkpoint: spec.Checkpoint, at: deployment.now()})
	checks.occupancy[agent.name] = append(checks.occupancy[agent.name], spec.Size)
}

func (checks *checks) ended(agent *agent, status worker.Status) {
	checks.ends[status.Task] = append(checks.ends[status.Task], status)
	checks.endTimes[status.Task] = append(checks.endTimes[status.Task], checks.deployment.now())
	checks.occupancy[agent.name] = append(checks.occupancy[agent.name], unit.Resources{}.Sub(status.Resources))
}

// arrived asserts I8, and that a closed data centre gets no requests once its state is in force.
func (checks *checks) arrived(agent *agent) {
	now := checks.deployment.now()
	checks.arrivals++
	if agent.leftAt != 0 {
		late := now.Sub(agent.leftAt)
		checks.latestLeaving = max(checks.latestLeaving, late)
		if late > leavingBound {
			checks.broken("I8: endpoint %s gets a request %s after it began to leave", agent.endpoint, late)
		}
	}
	if closed := checks.deployment.closedAt[agent.centre]; closed != 0 && now.Sub(closed) > forceBound {
		checks.broken("I10: endpoint %s gets a request %s after %s was taken out", agent.endpoint, now.Sub(closed), agent.centre)
	}
}

// occupied asserts the limits of an endpoint by what it runs itself.
func (checks *checks) occupied(agent *agent) {
	limits := admission.Defaults()
	checks.mostRunning = max(checks.mostRunning, agent.running)
	if agent.running > limits.Slots {
		checks.broken("endpoint %s runs %d requests on %d slots", agent.endpoint, agent.running, limits.Slots)
	}
	if used := agent.running + checks.deployment.session.Traffic.Streams; used > limits.Connections {
		checks.broken("endpoint %s uses %d of %d connections", agent.endpoint, used, limits.Connections)
	}
}

// executed asserts I6 and I7 when an endpoint runs an attempt.
func (checks *checks) executed(agent *agent, next *attempt) {
	checks.executions[agent.endpoint] = append(checks.executions[agent.endpoint], execution{id: next.id, key: next.request.key})
	if checks.notRun[next.id] {
		checks.broken("I6: %s runs after it was reported as not run", next.id)
	}
	if checks.ran[next.id] {
		checks.broken("I7: %s runs twice", next.id)
	}
	checks.ran[next.id] = true
	if key := next.request.key; key != "" {
		checks.keyRuns[key]++
		if checks.keyRuns[key] > 1 {
			checks.broken("I7: key %s runs %d times", key, checks.keyRuns[key])
		}
	}
}

// denied notes that an agent confirmed that an attempt never runs.
func (checks *checks) denied(id ident.Request) {
	if checks.ran[id] {
		checks.broken("I6: %s is denied after it ran", id)
	}
	checks.notRun[id] = true
}

// reported asserts that the outcome told to a caller is true.
func (checks *checks) reported(sent *try, result outcome.Outcome) {
	switch result {
	case outcome.Ran:
		checks.reportedRan++
		if key := sent.request.key; key != "" {
			checks.keyAnswers[key] = true
		}
		ran := false
		for _, id := range sent.request.attempts {
			ran = ran || checks.ran[id]
		}
		if !ran {
			checks.broken("request %d is reported as run and was not", sent.request.number)
		}
	case outcome.NotRun:
		checks.reportedNot++
		for _, id := range sent.ids {
			checks.denied(id)
		}
	default:
		checks.reportedDoubt++
	}
}

// inForce asserts I10: all live entries have the version in time.
func (checks *checks) inForce(accepted acceptedChange) {
	checks.deployment.after(forceBound, func() {
		for _, entry := range checks.deployment.entries {
			checks.forced++
			if entry.alive && entry.publisher.Version() < accepted.version {
				checks.broken("I10: %s has version %d, %d was accepted %s ago", entry.id, entry.publisher.Version(), accepted.version, forceBound)
			}
		}
	})
}

// recount checks the whole record of starts and ends again, without the state of the run.
func (checks *checks) recount() {
	for _, name := range sortedTasks(checks.starts) {
		starts, ends := checks.starts[name], checks.ends[name]
		stored, row := checks.deployment.store.task(name)
		if len(ends) != len(starts) && len(ends) != len(starts)-1 {
			checks.broken("I2: task %s started %d times and ended %d times", name, len(starts), len(ends))
			continue
		}
		for index, status := range ends {
			if status.Epoch != starts[index].epoch {
				checks.broken("I2: task %s: end %d is of epoch %d, start of %d", name, index, status.Epoch, starts[index].epoch)
			}
			if status.State == worker.Finished && index != len(starts)-1 {
				checks.broken("task %s starts again after it finished", name)
			}
			if status.State != worker.Stopped {
				continue
			}
			switch {
			case index < len(starts)-1:
				checks.resumed++
			case row.Cancelled:
				checks.cancelledAfter++
			case stored.State.Final():
				checks.broken("I3: evicted task %s is %s and was not resumed", name, stored.State)
			default:
				checks.openEvictions++
			}
		}
		if stored.State == job.Finished && (len(ends) == 0 || ends[len(ends)-1].State != worker.Finished) {
			checks.broken("task %s is Finished in the table and not on a worker", name)
		}
	}
	checks.recountTimes()
	checks.recountExecutions()
	checks.recountState()
	for _, agent := range checks.deployment.agents {
		var sum unit.Resources
		for _, change := range checks.occupancy[agent.name] {
			sum = sum.Add(change)
			if !sum.FitsIn(agent.capacity) || sum.Negative() {
				checks.broken("I1: the record of %s gives %s of %s", agent.name, sum, agent.capacity)
			}
		}
	}
}

// recountState checks at the end that each answered key ran once, that standing tasks run, and that
// all entries have the newest configuration of the table.
func (checks *checks) recountState() {
	deployment := checks.deployment
	for _, key := range set.SortedKeys(checks.keyAnswers) {
		if checks.keyRuns[key] != 1 {
			checks.broken("I7: key %s was answered and ran %d times", key, checks.keyRuns[key])
		}
	}
	for _, name := range deployment.jobs {
		task := ident.Task{Job: name}
		stored, row := deployment.store.task(task)
		if row.Spec.Kind == worker.Standing && (stored.State != job.Running || deployment.places[task] == nil) {
			checks.broken("standing task %s is %s at the end", task, stored.State)
		}
	}
	for _, entry := range deployment.entries {
		var head config.Head
		if err := json.Unmarshal(deployment.store.rows[config.HeadKey].Value, &head); err != nil || entry.publisher.Version() != head.Version {
			checks.broken("I10: %s has version %d, the table %d (%v)", entry.id, entry.publisher.Version(), head.Version, err)
		}
	}
}
