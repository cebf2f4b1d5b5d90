// Package scheduler decides which worker runs which task. It holds the state of all jobs and workers
// of a cluster, takes events, and leaves changed jobs and orders for its caller to write and to send.
// It has no goroutine, socket or clock.
package scheduler

import (
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/pacing"
	"hyssopjunction/set"
	"hyssopjunction/workflow"
)

// Order asks an agent to start or to stop a run.
type Order struct {
	Worker Incarnation
	Name   workflow.Name
	Run    workflow.Run
	Stop   bool
	Job    *workflow.Job
}

// Progress is a worker's statement about an active run.
type Progress struct {
	Name    workflow.Name
	Run     workflow.Run
	Saved   workflow.Checkpoint
	Percent int
	// Sample is the tail latency of a serving run in milliseconds, or the processor time that any other
	// run uses in thousandths of a core.
	Sample int64
	// Slowed is by how many percent the agent slows the run down.
	Slowed int
}

// End is a worker's statement that a run is over.
type End struct {
	Name  workflow.Name
	Run   workflow.Run
	Cause workflow.Cause
	Saved workflow.Checkpoint
}

// Scheduler is the state of the cluster. It is not safe for concurrent use.
type Scheduler struct {
	jobs    map[workflow.ID]*entry
	workers map[Incarnation]*worker
	// open holds the jobs that are not final.
	open map[workflow.ID]*entry
	// orphans are active tasks whose worker has not been heard of, by incarnation.
	orphans map[Incarnation]map[workflow.Name]*run
	changed map[workflow.ID]*entry
	orders  []Order
	out     set.Set[ident.DataCentre]
	stirred bool
	model   *pacing.Model
	// plannedAt is when waiting tasks were last looked at.
	plannedAt clock.Time
	// comparedAt is when siblings were last compared.
	comparedAt clock.Time
	// usableCores was estimated at usableAt.
	usableCores cores
	usableAt    clock.Time
	// arrangedAt is when serving tasks were last looked at.
	arrangedAt clock.Time
	// movedAt is when runs were last moved to faster workers.
	movedAt clock.Time
}

// entry is a job with what the scheduler remembers about it.
type entry struct {
	job *workflow.Job
	// arrived is the time at which the job was accepted.
	arrived clock.Time
	// avoid counts failures by worker, so that attempts go elsewhere.
	avoid map[Incarnation]int
	// active counts the runs of the job.
	active int
	// standingSince is the time from which a standing task waited, or 0.
	standingSince clock.Time
}

// New returns an empty Scheduler.
func New() *Scheduler {
	return &Scheduler{
		jobs: map[workflow.ID]*entry{}, workers: map[Incarnation]*worker{}, open: map[workflow.ID]*entry{},
		orphans: map[Incarnation]map[workflow.Name]*run{}, changed: map[workflow.ID]*entry{},
		out: set.New[ident.DataCentre](), model: pacing.NewModel(),
	}
}

// Submit adds a job that was accepted at the time. A known job is left alone.
func (book *Scheduler) Submit(spec workflow.Spec, arrived clock.Time) {
	if _, ok := book.jobs[spec.ID]; ok {
		return
	}
	book.Restore(workflow.New(spec), arrived)
}

// Restore adds a job in its stored state. The workers of its active tasks are unknown until they are
// reported or declared gone.
func (book *Scheduler) Restore(job *workflow.Job, arrived clock.Time) {
	added := &entry{job: job, arrived: arrived, avoid: map[Incarnation]int{}}
	book.jobs[job.Spec.ID] = added
	book.stirred = true
	if !job.State.Final() {
		book.open[job.Spec.ID] = added
	}
	job.Each(func(name workflow.Name, task *workflow.Task) {
		if task.Phase != workflow.Active {
			return
		}
		added.active++
		active := &run{name: name, number: task.Run, job: job, step: &job.Spec.Steps[name.Step], placedAt: arrived, movedAt: arrived}
		at := Incarnation(task.Worker)
		if target, ok := book.workers[at]; ok {
			active.worker = target
			target.add(active)
			if job.State.Final() {
				book.stop(active)
			}
			return
		}
		if book.orphans[at] == nil {
			book.orphans[at] = map[workflow.Name]*run{}
		}
		book.orphans[at][name] = active
	})
}

// Cancel ends a job that is not final and stops its runs.
func (book *Scheduler) Cancel(id workflow.ID) {
	found, ok := book.open[id]
	if !ok {
		return
	}
	found.job.State = workflow.Cancelled
	book.close(found)
}

// close stops the runs of a job that became final.
func (book *Scheduler) close(found *entry) {
	id := found.job.Spec.ID
	delete(book.open, id)
	book.changed[id] = found
	for _, target := range book.workers {
		for name, active := range target.runs {
			if name.Job == id {
				book.stop(active)
			}
		}
	}
}

// stop orders the end of a run once. Its resources stay reserved until the worker reports the end.
func (book *Scheduler) stop(active *run) {
	if active.stopping {
		return
	}
	active.stopping = true
	book.orders = append(book.orders, Order{
		Worker: active.worker.Incarnation, Name: active.name, Run: active.number, Stop: true, Job: active.job,
	})
}

// SetOut replaces the data centres that get no new tasks.
func (book *Scheduler) SetOut(out set.Set[ident.DataCentre]) {
	book.out = out
	book.stirred = true
}

// Update records a worker's profile. It returns true if the worker was not known.
func (book *Scheduler) Update(profile Profile, now clock.Time) bool {
	target, known := book.workers[profile.Incarnation]
	if !known {
		target = &worker{runs: map[workflow.Name]*run{}}
		book.workers[profile.Incarnation] = target
	}
	if !known || target.Draining != profile.Draining || target.Capacity != profile.Capacity {
		book.stirred = true
	}
	drains := profile.Draining && !target.Draining
	target.Profile = profile
	for _, active := range book.orphans[profile.Incarnation] {
		active.worker, active.movedAt = target, now
		target.add(active)
		if active.job.State.Final() {
			book.stop(active)
		}
	}
	delete(book.orphans, profile.Incarnation)
	if drains {
		book.drain(target)
	}
	return !known
}

// SetReachable records whether the worker accepts orders.
func (book *Scheduler) SetReachable(incarnation Incarnation, reachable bool) {
	if target, ok := book.workers[incarnation]; ok && target.reachable != reachable {
		target.reachable = reachable
		book.stirred = true
	}
}

// drain moves the runs that a leaving worker would end: standing tasks, and those that resume from
// their checkpoint.
func (book *Scheduler) drain(target *worker) {
	for _, active := range sortedRuns(target) {
		if active.step.Standing || active.step.Checkpoints {
			book.stop(active)
		}
	}
}

// Lost records that nothing runs on the incarnation any more and that it never returns.
func (book *Scheduler) Lost(incarnation Incarnation) {
	if target, ok := book.workers[incarnation]; ok {
		for _, active := range sortedRuns(target) {
			book.end(active, workflow.Interrupted, "")
		}
		delete(book.workers, incarnation)
	}
	for name, active := range book.orphans[incarnation] {
		delete(book.orphans[incarnation], name)
		book.settle(active, workflow.Interrupted, "")
	}
	delete(book.orphans, incarnation)
}

// Lapsed records that everything that ran on the incarnation has ended, while the worker may return.
func (book *Scheduler) Lapsed(incarnation Incarnation) {
	target, ok := book.workers[incarnation]
	if !ok {
		return
	}
	target.reachable = false
	for _, active := range sortedRuns(target) {
		book.end(active, workflow.Interrupted, "")
	}
}

// Orphans returns the incarnations that hold active tasks and were never reported.
func (book *Scheduler) Orphans() []Incarnation { return set.SortedKeys(book.orphans) }

// Progress records what the worker says about its active runs, and orders the stop of runs that the
// book does not have there.
func (book *Scheduler) Progress(incarnation Incarnation, listed []Progress, now clock.Time) {
	target, ok := book.workers[incarnation]
	if !ok {
		return
	}
	for _, item := range listed {
		active, ok := target.runs[item.Name]
		if !ok || active.number != item.Run {
			if !ok || item.Run < active.number {
				book.orders = append(book.orders, Order{Worker: incarnation, Name: item.Name, Run: item.Run, Stop: true})
			}
			continue
		}
		active.figure, active.figureAt, active.slowed = item.Sample, now, item.Slowed
		switch {
		case item.Slowed < crawling:
			active.crawlingSince = 0
		case active.crawlingSince == 0:
			active.crawlingSince = now
		}
		if item.Percent != active.percent || item.Slowed > maxStallSlowed {
			active.percent, active.movedAt = item.Percent, now
		}
		if item.Saved != "" && !active.job.State.Final() {
			active.job.Save(item.Name, item.Saved)
		}
	}
	book.observe(target, now)
}

// Ended records an end that the worker listed.
func (book *Scheduler) Ended(incarnation Incarnation, end End, now clock.Time) {
	target, ok := book.workers[incarnation]
	if !ok {
		return
	}
	active, ok := target.runs[end.Name]
	if !ok || active.number != end.Run {
		return
	}
	switch end.Cause {
	case workflow.Finished:
		target.health.succeeded()
	case workflow.Faulted:
		if found, ok := book.jobs[end.Name.Job]; ok {
			found.avoid[incarnation]++
		}
		if !active.step.Standing {
			target.health.faulted(end.Name.Job, now)
		}
	case workflow.Interrupted:
	}
	book.end(active, end.Cause, end.Saved)
}

// Rejected records that the worker certainly never runs the run.
func (book *Scheduler) Rejected(incarnation Incarnation, name workflow.Name, number workflow.Run, now clock.Time) {
	target, ok := book.workers[incarnation]
	if !ok {
		return
	}
	if active, ok := target.runs[name]; ok && active.number == number {
		if found, ok := book.jobs[name.Job]; ok {
			found.avoid[incarnation]++
		}
		target.refusesUntil = now.Add(refusalPause)
		book.end(active, workflow.Interrupted, "")
	}
}

func (book *Scheduler) end(active *run, cause workflow.Cause, saved workflow.Checkpoint) {
	active.worker.remove(active)
	book.model.Forget(active.name.String())
	book.settle(active, cause, saved)
}

// settle records the end of a run in its job.
func (book *Scheduler) settle(active *run, cause workflow.Cause, saved workflow.Checkpoint) {
	book.stirred = true
	found, ok := book.jobs[active.name.Job]
	if !ok {
		return
	}
	found.active--
	task := found.job.Task(active.name)
	if task == nil || task.Phase != workflow.Active || task.Run != active.number {
		return
	}
	if found.job.State.Final() {
		found.job.Release(active.name)
		book.changed[found.job.Spec.ID] = found
		return
	}
	found.job.End(active.name, cause, saved)
	book.changed[found.job.Spec.ID] = found
	if found.job.State.Final() {
		book.close(found)
	}
}

// TakeChanges returns the jobs that changed and the orders since the last call. Orders must not be sent
// before the jobs are stored.
func (book *Scheduler) TakeChanges() ([]*workflow.Job, []Order) {
	jobs := make([]*workflow.Job, 0, len(book.changed))
	for _, id := range set.SortedKeys(book.changed) {
		jobs = append(jobs, book.changed[id].job)
	}
	clear(book.changed)
	orders := book.orders
	book.orders = nil
	return jobs, orders
}

// Expected returns start orders for all runs that the book has on the incarnation, so that an agent
// can start what it never got and learn what the others need.
func (book *Scheduler) Expected(incarnation Incarnation) []Order {
	target, ok := book.workers[incarnation]
	if !ok {
		return nil
	}
	var orders []Order
	for _, active := range sortedRuns(target) {
		orders = append(orders, Order{
			Worker: incarnation, Name: active.name, Run: active.number, Stop: active.stopping, Job: active.job,
		})
	}
	return orders
}

// Forget drops a job that ended and that no worker runs any more, and reports whether it did.
func (book *Scheduler) Forget(id workflow.ID) bool {
	found, ok := book.jobs[id]
	if !ok {
		return true
	}
	if !book.idle(found) {
		return false
	}
	delete(book.jobs, id)
	return true
}

// Idle reports whether Forget would drop the job.
func (book *Scheduler) Idle(id workflow.ID) bool {
	found, ok := book.jobs[id]
	return !ok || book.idle(found)
}

func (book *Scheduler) idle(found *entry) bool {
	return found.job.State.Final() && found.active == 0 && book.changed[found.job.Spec.ID] == nil
}

// Summary returns the state, the queue and the service of a job that the book has.
func (book *Scheduler) Summary(id workflow.ID) (workflow.State, workflow.Queue, workflow.Service) {
	found, ok := book.jobs[id]
	if !ok {
		return "", "", ""
	}
	return found.job.State, found.job.Spec.Queue, found.job.Spec.Service
}

// Open returns the number of jobs that have not ended.
func (book *Scheduler) Open() int { return len(book.open) }

// State returns the state of a job and whether the book has it.
func (book *Scheduler) State(id workflow.ID) (workflow.State, bool) {
	found, ok := book.jobs[id]
	if !ok {
		return "", false
	}
	return found.job.State, true
}

// Pending returns the number of jobs of the queue without a started task, except scheduled jobs whose
// time has not come.
func (book *Scheduler) Pending(queue workflow.Queue) int {
	count := 0
	for _, found := range book.open {
		if found.job.Spec.Queue == queue && found.job.State == workflow.Queued {
			count++
		}
	}
	return count
}

// sortedRuns returns the runs of a worker in a reproducible order.
func sortedRuns(target *worker) []*run {
	runs := make([]*run, 0, len(target.runs))
	for _, active := range target.runs {
		runs = append(runs, active)
	}
	slices.SortFunc(runs, func(left, right *run) int { return compareNames(left.name, right.name) })
	return runs
}

// OtherIncarnations returns the incarnations of a node's workers other than the present one. The name of an
// incarnation ends with "@" and the node, so that those of earlier leaders are found too.
func (book *Scheduler) OtherIncarnations(node string, present Incarnation) []Incarnation {
	var others []Incarnation
	suffix := "@" + node
	for incarnation := range book.workers {
		if incarnation != present && strings.HasSuffix(string(incarnation), suffix) {
			others = append(others, incarnation)
		}
	}
	for incarnation := range book.orphans {
		if incarnation != present && strings.HasSuffix(string(incarnation), suffix) {
			others = append(others, incarnation)
		}
	}
	slices.Sort(others)
	return others
}

// sortedWorkers returns the incarnations of the workers in a reproducible order.
func (book *Scheduler) sortedWorkers() []Incarnation { return set.SortedKeys(book.workers) }

// Waiting counts the tasks whose turn has come and that have no run, by what they are.
type Waiting struct {
	Quick, Standing, Filling, Late int
}

// Waiting returns the counts at a time.
func (book *Scheduler) Waiting(now clock.Time) Waiting {
	var counts Waiting
	for _, item := range book.candidates(now) {
		switch item.rank {
		case rankQuick:
			counts.Quick += len(item.waiting)
		case rankStanding:
			counts.Standing += len(item.waiting)
		case rankFill:
			counts.Filling += len(item.waiting)
		default:
			counts.Late += len(item.waiting)
		}
	}
	return counts
}
