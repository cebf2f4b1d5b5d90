// Package scheduler decides which worker runs which task. It holds the state of all jobs and workers of a
// cluster in memory. Callers report events, call Plan, and then store the changed jobs and send the orders
// that TakeChanges returns. The package starts no goroutine, does no I/O and reads no clock.
package scheduler

import (
	"slices"

	"hyssopjunction/account"
	"hyssopjunction/assignment"
	"hyssopjunction/calibration"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/mechanism"
	"hyssopjunction/pacing"
	"hyssopjunction/set"
	"hyssopjunction/workflow"
)

// Order tells an agent to start or, if Stop is set, to stop a run. Job is nil in the stop of a run that the
// scheduler does not have.
type Order struct {
	Worker Incarnation
	Name   workflow.Name
	Run    workflow.Run
	Stop   bool
	// Reason is that of a stop.
	Reason StopReason
	Job    *workflow.Job
	// MoveTo is the worker that the task of a stopped run is moved to, or empty.
	MoveTo Incarnation
}

// Progress is a worker's report about an active run.
type Progress struct {
	Name    workflow.Name
	Run     workflow.Run
	Saved   workflow.Checkpoint
	Percent int
	// Sample is the tail latency of a serving run in milliseconds, or the CPU usage of any other run in
	// thousandths of a core.
	Sample int64
	// ThrottlePercent is by how many percent the agent throttles the run, from 0 to 100.
	ThrottlePercent int
}

// End is a worker's report that a run ended.
type End struct {
	Name  workflow.Name
	Run   workflow.Run
	Cause workflow.Cause
	Saved workflow.Checkpoint
}

// Scheduler holds the state of the cluster and places tasks. It is not safe for concurrent use.
type Scheduler struct {
	jobs    map[workflow.ID]*jobRecord
	workers map[Incarnation]*workerState
	// open holds the jobs whose state is not final.
	open map[workflow.ID]*jobRecord
	// orphans holds the runs of restored jobs whose worker has not been reported yet, by incarnation.
	orphans        map[Incarnation]map[workflow.Name]*activeRun
	dirtyJobs      map[workflow.ID]*jobRecord
	orders         []Order
	outDataCentres set.Set[ident.DataCentre]
	dirty          bool
	model          *pacing.Model
	// now is the time of the newest event. Ends without a time of their own count from it.
	now clock.Time
	// plannedAt is when waiting tasks were last planned.
	plannedAt clock.Time
	// replicasObservedAt is when the samples of replicas were last passed to the model.
	replicasObservedAt clock.Time
	// view is the newest view of the demand of filling tasks, or nil.
	view *fillingView
	// fillingCores is the result of fillingCapacity, computed at fillingCoresAt.
	fillingCores   coresByImage
	fillingCoresAt clock.Time
	// rebalancedAt is when moves of serving tasks were last considered.
	rebalancedAt clock.Time
	// transfers holds the serving tasks that are being moved.
	transfers map[workflow.Name]*transfer
	// movedAt is when moves of slow filling runs were last considered.
	movedAt clock.Time
	// fillingMoves holds the filling tasks that are being moved.
	fillingMoves map[workflow.Name]*fillingMove
	// bounds are the limits of the platform.
	bounds assignment.Bounds
	// racks holds what is known of the racks that hold data.
	racks dataRacks
	// assignments sums up the decisions since the last call of TakeAssignments.
	assignments Assignments
	copies      copyState
	crashes     crashState
	// accounts holds the accounts of ended jobs that TakeAccounts has not returned yet.
	accounts []JobAccount
	// disabled holds the mechanisms that are switched off.
	disabled set.Set[mechanism.Name]
	// unplaced holds the standing tasks that found no room in the present round, and madeRoomAt is when room was last made.
	unplaced   []waitingTask
	madeRoomAt clock.Time
	// calibration tells how long tasks run by their submitters' estimates.
	calibration *calibration.Model
	// considered is the job that a decision is being made about, or empty.
	considered workflow.ID
	// taskLimit limits the tasks of open jobs that are held; 0 means no limit.
	taskLimit int
}

// Considered returns the job that a decision was being made about, if Plan has not returned.
func (scheduler *Scheduler) Considered() workflow.ID { return scheduler.considered }

// jobRecord is a job with the scheduler's own state about it, which is not stored.
type jobRecord struct {
	job *workflow.Job
	// tasks is the number of tasks of an occurrence.
	tasks int
	// acceptedAt is the time at which the job was accepted.
	acceptedAt clock.Time
	// failuresByWorker counts failed and rejected runs by worker, so that further runs go to other workers.
	failuresByWorker map[Incarnation]int
	// delays holds the tasks whose next start is delayed. It may be lost: the delays are short.
	delays map[workflow.Name]restartDelay
	// crashedAt is when a crash was last recorded or restored that a task of the job may have caused.
	crashedAt clock.Time
	// activeRuns is the number of runs that have not ended.
	activeRuns int
	// hasStarted reports that a worker has listed a run of the job, or its end. A new leader learns it from the first reports,
	// or from what the job's tasks have left.
	hasStarted bool
	// standingWaitSince is the time since which the job has a waiting standing task, or 0.
	standingWaitSince clock.Time
	// runs holds the active runs.
	runs set.Set[*activeRun]
	// moves holds the latest moves of filling tasks. It may be lost: a new leader then allows them a few more.
	moves map[workflow.Name]assignment.History
	// rackWaits holds since when tasks wait for the rack that holds their data.
	rackWaits map[workflow.Name]clock.Time
	// decisions holds the latest decisions about the job. It may be lost: a new leader explains its own ones.
	decisions []jobDecision
	// durations holds the durations of the finished runs of steps whose tasks may have two runs, in ascending order, by the
	// name of the first task of the step.
	durations map[workflow.Name][]clock.Millis
	// steps holds the accounts of the steps. They may be lost: a new leader counts from when it got to know the job.
	steps []*account.Step
	// taskTimes holds run times of tasks at full speed in ascending order, by step. They may be lost.
	taskTimes map[int][]clock.Millis
}

// New returns an empty Scheduler.
func New() *Scheduler {
	return &Scheduler{
		jobs: map[workflow.ID]*jobRecord{}, workers: map[Incarnation]*workerState{}, open: map[workflow.ID]*jobRecord{},
		orphans: map[Incarnation]map[workflow.Name]*activeRun{}, dirtyJobs: map[workflow.ID]*jobRecord{},
		outDataCentres: set.New[ident.DataCentre](), model: pacing.NewModel(), transfers: map[workflow.Name]*transfer{},
		fillingMoves: map[workflow.Name]*fillingMove{}, bounds: assignment.DefaultBounds(), racks: newDataRacks(), assignments: newAssignments(), copies: newCopyState(),
		crashes: newCrashState(), calibration: calibration.New(),
	}
}

// SetBounds replaces the limits of the platform, which are those of assignment.DefaultBounds at first.
func (scheduler *Scheduler) SetBounds(bounds assignment.Bounds) { scheduler.bounds = bounds }

// Disable switches mechanisms off.
func (scheduler *Scheduler) Disable(names set.Set[mechanism.Name]) {
	scheduler.disabled = names
	if names.Has(mechanism.Factors) {
		scheduler.model.DisableFactors()
	}
}

// uses reports whether a mechanism is switched on.
func (scheduler *Scheduler) uses(name mechanism.Name) bool { return !scheduler.disabled.Has(name) }

// Submit adds a job that was accepted at the given time. It does nothing if the job exists.
func (scheduler *Scheduler) Submit(spec workflow.Spec, acceptedAt clock.Time) {
	if _, ok := scheduler.jobs[spec.ID]; ok {
		return
	}
	scheduler.Restore(workflow.New(spec), acceptedAt)
}

// Restore adds a job in its stored state. Active tasks whose worker is unknown are kept as orphans until
// the worker is reported by UpdateWorker or removed by RemoveWorker.
func (scheduler *Scheduler) Restore(job *workflow.Job, acceptedAt clock.Time) {
	record := &jobRecord{job: job, tasks: taskCount(job.Spec), acceptedAt: acceptedAt, failuresByWorker: map[Incarnation]int{}, runs: set.New[*activeRun](), hasStarted: job.HasResults()}
	scheduler.jobs[job.Spec.ID] = record
	scheduler.dirty = true
	if len(job.Occurrences) > 0 {
		scheduler.view = nil // It lacks the images of the job's runs.
	}
	if !job.State.Final() {
		scheduler.open[job.Spec.ID] = record
	}
	if len(job.Crashes) > 0 && !job.State.Final() {
		scheduler.crashes.jobs[job.Spec.ID] = record
	}
	job.EachRun(func(name workflow.Name, active workflow.ActiveRun) {
		record.activeRuns++
		run := &activeRun{name: name, number: active.Run, job: job, step: &job.Spec.Steps[name.Step], placedAt: acceptedAt, progressAt: acceptedAt, restored: true}
		record.runs.Add(run)
		scheduler.copies.add(run)
		incarnation := Incarnation(active.Worker)
		if worker, ok := scheduler.workers[incarnation]; ok {
			run.worker = worker
			worker.add(run)
			if !run.isNeeded() {
				scheduler.stopRun(run, run.reasonNotNeeded())
			}
			return
		}
		if scheduler.orphans[incarnation] == nil {
			scheduler.orphans[incarnation] = map[workflow.Name]*activeRun{}
		}
		scheduler.orphans[incarnation][name] = run
	})
}

// Cancel ends a job that is not final and stops its runs.
func (scheduler *Scheduler) Cancel(id workflow.ID) {
	record, ok := scheduler.open[id]
	if !ok {
		return
	}
	record.job.State = workflow.Cancelled
	scheduler.closeJob(record)
}

// closeJob stops the runs of a job whose state became final.
func (scheduler *Scheduler) closeJob(record *jobRecord) {
	id := record.job.Spec.ID
	scheduler.accountJob(record, scheduler.now)
	delete(scheduler.open, id)
	scheduler.dirtyJobs[id] = record
	for _, worker := range scheduler.workers {
		for name, run := range worker.runs {
			if name.Job == id {
				scheduler.stopRun(run, StopJobEnded)
			}
		}
	}
}

// stopRun orders the stop of a run, once. Its resources stay reserved until the worker reports the end.
func (scheduler *Scheduler) stopRun(run *activeRun, reason StopReason) {
	if run.stopping {
		return
	}
	run.stopping = true
	order := Order{Worker: run.worker.Incarnation, Name: run.name, Run: run.number, Stop: true, Reason: reason, Job: run.job}
	if transfer, ok := scheduler.transfers[run.name]; ok {
		order.MoveTo = transfer.target.Incarnation
	}
	if move, ok := scheduler.fillingMoves[run.name]; ok {
		order.MoveTo = move.target.Incarnation
	}
	scheduler.orders = append(scheduler.orders, order)
}

// SetOut replaces the data centres that get no new tasks.
func (scheduler *Scheduler) SetOut(out set.Set[ident.DataCentre]) {
	scheduler.outDataCentres = out
	scheduler.dirty = true
}

// UpdateWorker records a worker's profile and reports whether the worker is new.
func (scheduler *Scheduler) UpdateWorker(profile Profile, now clock.Time) bool {
	worker, exists := scheduler.workers[profile.Incarnation]
	if !exists {
		worker = newWorkerState()
		worker.unreachableSince, worker.listedAt = now, now
		scheduler.workers[profile.Incarnation] = worker
	}
	if !exists || worker.Draining != profile.Draining || worker.Capacity != profile.Capacity {
		scheduler.dirty = true
	}
	startsDraining := profile.Draining && !worker.Draining
	worker.Profile = profile
	for _, run := range scheduler.orphans[profile.Incarnation] {
		run.worker, run.progressAt = worker, now
		worker.add(run)
		if !run.isNeeded() {
			scheduler.stopRun(run, run.reasonNotNeeded())
		}
	}
	delete(scheduler.orphans, profile.Incarnation)
	if startsDraining {
		scheduler.drain(worker)
	}
	return !exists
}

// SetReachable records whether the worker accepts orders.
func (scheduler *Scheduler) SetReachable(incarnation Incarnation, reachable bool) {
	if worker, ok := scheduler.workers[incarnation]; ok && worker.reachable != reachable {
		worker.reachable, worker.unreachableSince = reachable, scheduler.now
		scheduler.dirty = true
	}
}

// SetOverdue records whether the next report of the worker's agent is missing. The worker then gets no new runs.
func (scheduler *Scheduler) SetOverdue(incarnation Incarnation, overdue bool) {
	if worker, ok := scheduler.workers[incarnation]; ok && worker.overdue != overdue {
		worker.overdue = overdue
		scheduler.dirty = true
	}
}

// drain stops the runs that should continue on another worker: standing tasks, and tasks that resume from
// their checkpoint.
func (scheduler *Scheduler) drain(worker *workerState) {
	for _, run := range sortedRuns(worker) {
		if run.step.Standing || run.step.Checkpoints {
			scheduler.stopRun(run, StopDrain)
		}
	}
}

// RemoveWorker removes an incarnation that will never come back. All its runs have ended.
func (scheduler *Scheduler) RemoveWorker(incarnation Incarnation) {
	if worker, ok := scheduler.workers[incarnation]; ok {
		for _, run := range sortedRuns(worker) {
			scheduler.endRun(run, workflow.Interrupted, "")
		}
		delete(scheduler.workers, incarnation)
	}
	for name, run := range scheduler.orphans[incarnation] {
		delete(scheduler.orphans[incarnation], name)
		scheduler.recordJobEnd(run, workflow.Interrupted, "")
	}
	delete(scheduler.orphans, incarnation)
}

// EndWorker records the ends of runs of an incarnation that has ended for good, and removes it. All its other runs
// have ended without a report. It returns the number of runs that were active.
func (scheduler *Scheduler) EndWorker(incarnation Incarnation, ends []End, now clock.Time) int {
	if _, ok := scheduler.orphans[incarnation]; ok {
		scheduler.UpdateWorker(Profile{Incarnation: incarnation}, now)
	}
	worker, ok := scheduler.workers[incarnation]
	if !ok {
		return 0
	}
	count := len(worker.runs)
	for _, end := range ends {
		scheduler.RecordEnd(incarnation, end, now)
	}
	scheduler.RemoveWorker(incarnation)
	return count
}

// RecordLeaseLapse records that the lease of an incarnation lapsed, so that all its runs have ended. The worker
// is kept, because it may become reachable again. It returns the number of the runs.
func (scheduler *Scheduler) RecordLeaseLapse(incarnation Incarnation) int {
	worker, ok := scheduler.workers[incarnation]
	if !ok {
		return 0
	}
	worker.reachable = false
	runs := sortedRuns(worker)
	for _, run := range runs {
		scheduler.endRun(run, workflow.Interrupted, "")
	}
	return len(runs)
}

// Orphans returns the incarnations that have active tasks but have not been reported.
func (scheduler *Scheduler) Orphans() []Incarnation { return set.SortedKeys(scheduler.orphans) }

// RecordProgress records a worker's report about its active runs, and orders the stop of runs that the
// scheduler does not have on that worker.
func (scheduler *Scheduler) RecordProgress(incarnation Incarnation, progress []Progress, now clock.Time) {
	worker, ok := scheduler.workers[incarnation]
	if !ok {
		return
	}
	if now.Sub(worker.listedAt) > maxListingGap {
		for _, run := range worker.runs {
			run.progressAt = now
		}
	}
	worker.listedAt = now
	for _, item := range progress {
		run, ok := worker.runs[item.Name]
		if !ok || run.number != item.Run {
			if !ok || item.Run < run.number {
				scheduler.orders = append(scheduler.orders, Order{Worker: incarnation, Name: item.Name, Run: item.Run, Stop: true, Reason: StopUnknown})
			}
			continue
		}
		scheduler.observeProgress(run, item, now)
		if run.listedAt == 0 {
			run.listedAt = now
			scheduler.markStarted(run)
		}
		scheduler.clearSurvivor(run, now)
		run.sample, run.sampledAt = item.Sample, now
		run.pace.record(item, now)
		if run.step.Fills {
			run.usage.Observe(float64(run.step.Need.CPU), float64(item.Sample), pacing.FullPace-item.ThrottlePercent)
		}
		scheduler.timeProgress(run, item.Percent)
		run.account.Report(item.ThrottlePercent, item.Saved != "" && item.Saved != run.savedAs, now)
		run.savedAs = item.Saved
		switch {
		case pacing.FullPace-item.ThrottlePercent >= slowPercent:
			run.throttledSince = 0
		case run.throttledSince == 0:
			run.throttledSince = now
		}
		if item.Percent != run.progressPercent || item.ThrottlePercent > maxStallThrottlePercent {
			run.progressPercent, run.progressAt = item.Percent, now
		}
		if item.Saved != "" && !run.job.State.Final() && scheduler.isAhead(run) {
			run.job.SaveCheckpoint(item.Name, item.Saved)
		}
	}
	scheduler.learnFromListing(worker, now)
}

// markStarted records that a run of a job has started on its worker.
func (scheduler *Scheduler) markStarted(run *activeRun) {
	if record, ok := scheduler.open[run.name.Job]; ok {
		record.hasStarted = true
	}
}

// TakeChanges returns and resets the changed jobs and the orders since the last call. The jobs must be
// stored before the orders are sent.
func (scheduler *Scheduler) TakeChanges() ([]*workflow.Job, []Order) {
	jobs := make([]*workflow.Job, 0, len(scheduler.dirtyJobs))
	for _, id := range set.SortedKeys(scheduler.dirtyJobs) {
		jobs = append(jobs, scheduler.dirtyJobs[id].job)
	}
	clear(scheduler.dirtyJobs)
	orders := scheduler.orders
	scheduler.orders = nil
	return jobs, orders
}

// ExpectedOrders returns an order for each run that the scheduler has on the incarnation, so that an agent can
// start the runs whose order was lost and learn the requirements of those that are active.
func (scheduler *Scheduler) ExpectedOrders(incarnation Incarnation) []Order {
	worker, ok := scheduler.workers[incarnation]
	if !ok {
		return nil
	}
	var orders []Order
	for _, run := range sortedRuns(worker) {
		orders = append(orders, Order{
			Worker: incarnation, Name: run.name, Run: run.number, Stop: run.stopping, Job: run.job,
		})
	}
	return orders
}

// Remove removes a job if its state is final and stored and no run of it is active. It reports whether the
// job is removed.
func (scheduler *Scheduler) Remove(id workflow.ID) bool {
	record, ok := scheduler.jobs[id]
	if !ok {
		return true
	}
	if !scheduler.isRemovable(record) {
		return false
	}
	delete(scheduler.jobs, id)
	return true
}

// Removable reports whether Remove would remove the job.
func (scheduler *Scheduler) Removable(id workflow.ID) bool {
	record, ok := scheduler.jobs[id]
	return !ok || scheduler.isRemovable(record)
}

func (scheduler *Scheduler) isRemovable(record *jobRecord) bool {
	return record.job.State.Final() && record.activeRuns == 0 && scheduler.dirtyJobs[record.job.Spec.ID] == nil
}

// sortedRuns returns the runs of a worker, sorted by task name.
func sortedRuns(worker *workerState) []*activeRun {
	runs := make([]*activeRun, 0, len(worker.runs))
	for _, run := range worker.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(left, right *activeRun) int { return compareNames(left.name, right.name) })
	return runs
}

// OtherIncarnations returns the incarnations of a node's worker other than the current one, including those that
// only the jobs of an earlier leader name.
func (scheduler *Scheduler) OtherIncarnations(node string, current Incarnation) []Incarnation {
	var others []Incarnation
	for incarnation := range scheduler.workers {
		if incarnation != current && incarnation.Node() == node {
			others = append(others, incarnation)
		}
	}
	for incarnation := range scheduler.orphans {
		if incarnation != current && incarnation.Node() == node {
			others = append(others, incarnation)
		}
	}
	slices.Sort(others)
	return others
}

// sortedWorkers returns the incarnations of the workers in order.
func (scheduler *Scheduler) sortedWorkers() []Incarnation { return set.SortedKeys(scheduler.workers) }
