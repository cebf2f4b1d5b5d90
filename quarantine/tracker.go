package quarantine

import (
	"fmt"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// maxTaskEnds is the maximum number of task ends stored per worker and per job. It is several times
// the number of distinct jobs or workers that a decision requires.
const maxTaskEnds = 64

// Tracker collects the ends of tasks at one entry, decides on quarantines and parked jobs, and
// exchanges its decisions and evidence with the trackers of other entries. It is not safe for
// concurrent use.
type Tracker struct {
	settings Settings
	workers  map[ident.Worker]*workerRecord
	jobs     map[ident.Job]*jobRecord
	// pending holds the decisions that Actions has not returned yet.
	pending []Action
	// outOfService holds the workers in quarantine or on probation.
	outOfService set.Set[ident.Worker]
	// inPlatformFault is the cached result of updatePlatformFault, computed at platformFaultCheckedAt.
	inPlatformFault        bool
	platformFaultCheckedAt clock.Time
	// reportedPlatformFaults holds the times at which other entries last reported a platform fault.
	reportedPlatformFaults map[ident.Entry]clock.Time
	// fleetSize is the number of workers whose records are not absent.
	fleetSize int
	// now is the latest time passed to any method.
	now clock.Time
	// lastChange is the number of the latest change to any worker record. Export uses these numbers to
	// return only what changed since the previous call.
	lastChange uint64
	// position is the index of this entry among the entryCount live entries in ascending order. It
	// determines when it is this entry's turn to start trial tasks.
	position, entryCount int
}

// workerRecord is the state of one worker.
type workerRecord struct {
	// ends holds the task ends that were reported to this entry, oldest first.
	ends []taskEnd
	// reports holds the latest evidence of each other entry.
	reports map[ident.Entry]report
	// generation numbers the decisions on the worker across all entries. The highest one applies.
	generation uint64
	// lastChange is the number of the latest change of this record that Export must return.
	lastChange uint64
	// absent is set while the worker is not in the fleet, since absentSince. Its last decision is kept,
	// because the worker may return, or this entry may not have listed it yet.
	absent      bool
	absentSince clock.Time
	// overCap is set while a quarantined worker stays in service because the cap is reached.
	overCap bool
	// quarantinedUntil is the time at which the quarantine ends and the probation begins. Zero means
	// that the worker is in full service.
	quarantinedUntil clock.Time
	// duration is the length of the current or latest quarantine.
	duration clock.Millis
	// trials holds the start times of the running trial tasks of this entry.
	trials         map[ident.Task]clock.Time
	trialSuccesses int
	trialFailures  int
	// mostlyFailing is set if the share of failures among the ends reaches FailedPercent, whatever the
	// number of distinct jobs.
	mostlyFailing bool
	// withheldAt is the time of the latest Withheld action, which is repeated once per window at most.
	withheldAt clock.Time
	reason     string
}

// jobRecord is the state of one job with recent failures.
type jobRecord struct {
	failures    []taskEnd
	parkedUntil clock.Time
	// backoff is how long the job was parked last.
	backoff clock.Millis
	// parkCount is the number of times that the job was parked since its failures were last cleared.
	parkCount     int
	reason        string
	lastFailureAt clock.Time
}

// taskEnd is the end of one task run.
type taskEnd struct {
	at     clock.Time
	job    ident.Job
	worker ident.Worker
	failed bool
}

// New returns a Tracker without evidence.
func New(settings Settings) *Tracker {
	return &Tracker{
		settings:               settings,
		workers:                make(map[ident.Worker]*workerRecord),
		jobs:                   make(map[ident.Job]*jobRecord),
		outOfService:           set.New[ident.Worker](),
		reportedPlatformFaults: make(map[ident.Entry]clock.Time),
		entryCount:             1,
	}
}

// SetEntries sets the live entries, which take turns in starting trial tasks. Self is this entry; if
// it is not listed, the Tracker works as if there were no other entry.
func (tracker *Tracker) SetEntries(self ident.Entry, entries []ident.Entry) {
	sorted := slices.Sorted(slices.Values(entries))
	position, found := slices.BinarySearch(sorted, self)
	if !found {
		tracker.position, tracker.entryCount = 0, 1
		return
	}
	tracker.position, tracker.entryCount = position, len(sorted)
}

// SetFleet sets the existing workers, to which the cap applies. For workers that are not listed, it
// removes the evidence of this entry at once, reports of other entries once they are outdated, and
// decisions after MaxQuarantineMillis.
func (tracker *Tracker) SetFleet(fleet []ident.Worker) {
	members := set.New(fleet...)
	for _, worker := range set.SortedKeys(tracker.workers) {
		record := tracker.workers[worker]
		if members.Has(worker) {
			continue
		}
		if !record.absent {
			record.absent, record.absentSince = true, tracker.now
			record.ends, record.mostlyFailing = nil, false
		}
		if record.generation == 0 && !record.hasValidReport(tracker.now) || tracker.now.Sub(record.absentSince) >= tracker.settings.MaxQuarantineMillis {
			delete(tracker.workers, worker)
		}
	}
	for _, worker := range fleet {
		tracker.ensureWorker(worker).absent = false
	}
	tracker.fleetSize = members.Len()
	tracker.enforceCap()
}

// enforceCap returns workers to service if more than Limit are quarantined, which happens when entries
// quarantine different workers at the same time or the fleet shrinks. The last ones in order of name
// stay in service, so that all entries choose the same ones without comparing clocks. Their quarantine
// decisions are kept, so that an incomplete view of the fleet doesn't revoke them.
func (tracker *Tracker) enforceCap() {
	var quarantined []ident.Worker
	for worker, record := range tracker.workers {
		if record.quarantinedUntil != 0 && !record.absent {
			quarantined = append(quarantined, worker)
		}
	}
	slices.Sort(quarantined)
	previous := tracker.outOfService
	tracker.outOfService = set.New(quarantined[:min(len(quarantined), tracker.Limit())]...)
	for _, worker := range quarantined {
		record := tracker.workers[worker]
		record.overCap = !tracker.outOfService.Has(worker)
		switch {
		case record.overCap && previous.Has(worker):
			tracker.pending = append(tracker.pending, Action{Kind: Release, Worker: worker, Reason: "the cap is reached"})
		case !record.overCap && !previous.Has(worker):
			tracker.pending = append(tracker.pending, Action{Kind: Quarantine, Worker: worker, Duration: record.duration, Reason: record.reason})
		}
	}
}

// Started records the start of a task. On a worker on probation the task counts as a trial, so Started
// must be called when a task is placed and before Usable is called for the next one.
func (tracker *Tracker) Started(task ident.Task, worker ident.Worker, now clock.Time) {
	tracker.now = max(tracker.now, now)
	record := tracker.ensureWorker(worker)
	if record.onProbation(now) {
		record.trials[task] = now
		tracker.markChanged(record)
	}
}

// Succeeded records a task that finished.
func (tracker *Tracker) Succeeded(task ident.Task, worker ident.Worker, now clock.Time) {
	tracker.now = max(tracker.now, now)
	record := tracker.ensureWorker(worker)
	record.ends = appendTaskEnd(record.ends, taskEnd{at: now, job: task.Job, worker: worker}, now, tracker.settings.WindowMillis)
	delete(tracker.jobs, task.Job)
	tracker.updateMostlyFailing(record, now)
	if record.mostlyFailing {
		tracker.markChanged(record)
	}
	if _, trial := record.trials[task]; !trial || !record.onProbation(now) {
		return
	}
	delete(record.trials, task)
	record.trialSuccesses++
	tracker.markChanged(record)
	tracker.evaluateProbation(worker, record, "", false, now)
}

// Failed records a task that ended with an error or could not be started. It quarantines the worker or
// parks the job if there is enough evidence.
func (tracker *Tracker) Failed(task ident.Task, worker ident.Worker, reason string, now clock.Time) {
	tracker.now = max(tracker.now, now)
	record := tracker.ensureWorker(worker)
	tracker.markChanged(record)
	end := taskEnd{at: now, job: task.Job, worker: worker, failed: true}
	record.ends = appendTaskEnd(record.ends, end, now, tracker.settings.WindowMillis)
	tracker.updateMostlyFailing(record, now)
	job := tracker.ensureJob(task.Job, now)
	job.failures = appendTaskEnd(job.failures, end, now, tracker.settings.WindowMillis)
	platformFault := tracker.updatePlatformFault(now)
	if platformFault || !tracker.isJobFaulty(job, now) {
		tracker.evaluateFailure(task, worker, record, reason, platformFault, now)
	} else {
		delete(record.trials, task)
	}
	tracker.evaluateJob(task.Job, job, reason, platformFault, now)
}

// Lost records a task that ended with its worker's process shortly after its start. It counts as a failure of the job only: the
// process may have ended because of another task. Jobs whose tasks are lost on many workers are parked.
func (tracker *Tracker) Lost(task ident.Task, worker ident.Worker, reason string, now clock.Time) {
	tracker.now = max(tracker.now, now)
	tracker.Stopped(task, worker)
	job := tracker.ensureJob(task.Job, now)
	end := taskEnd{at: now, job: task.Job, worker: worker, failed: true}
	job.failures = appendTaskEnd(job.failures, end, now, tracker.settings.WindowMillis)
	tracker.evaluateJob(task.Job, job, reason, tracker.updatePlatformFault(now), now)
}

// Stopped records a task that was stopped by request. It counts neither as success nor as failure, but
// no longer as a running trial.
func (tracker *Tracker) Stopped(task ident.Task, worker ident.Worker) {
	record := tracker.ensureWorker(worker)
	if _, trial := record.trials[task]; trial {
		delete(record.trials, task)
		tracker.markChanged(record)
	}
}

// RemoveJob removes the failures of a job that ended or that its owner submitted again.
func (tracker *Tracker) RemoveJob(job ident.Job) {
	delete(tracker.jobs, job)
}

// Usable reports whether this entry may place a task on the worker now. A worker on probation accepts
// up to ProbationTasks trial tasks at once.
func (tracker *Tracker) Usable(worker ident.Worker, now clock.Time) bool {
	record := tracker.workers[worker]
	if record == nil || record.quarantinedUntil == 0 || record.overCap {
		return true
	}
	if now.Before(record.quarantinedUntil) || !tracker.isOwnTurn(worker, record, now) {
		return false
	}
	trials := record.runningTrials(now, tracker.settings.WindowMillis)
	for _, report := range record.reports {
		if report.generation == record.generation && now.Before(report.validUntil) {
			trials += report.runningTrials
		}
	}
	return trials < tracker.settings.ProbationTasks
}

// isOwnTurn reports whether it is this entry's turn to start trial tasks on the worker. Without turns,
// each entry would start ProbationTasks of them.
func (tracker *Tracker) isOwnTurn(worker ident.Worker, record *workerRecord, now clock.Time) bool {
	if tracker.entryCount <= 1 {
		return true
	}
	elapsed := now.Sub(record.quarantinedUntil)
	turn := elapsed / tracker.settings.TurnMillis
	if turn > 0 && elapsed%tracker.settings.TurnMillis < tracker.settings.TurnGuardMillis {
		return false
	}
	return (uint64(hashName(string(worker)))+uint64(turn))%uint64(tracker.entryCount) == uint64(tracker.position)
}

// runningTrials returns the number of running trial tasks of this entry. A task whose end was never
// reported is counted for the length of the window.
func (record *workerRecord) runningTrials(now clock.Time, window clock.Millis) int {
	count := 0
	for _, startedAt := range record.trials {
		if now.Sub(startedAt) < window {
			count++
		}
	}
	return count
}

// Explain reports whether a worker is quarantined or on probation, and why.
func (tracker *Tracker) Explain(worker ident.Worker, now clock.Time) (reason string, outOfService bool) {
	record := tracker.workers[worker]
	switch {
	case record == nil || record.quarantinedUntil == 0 || record.overCap:
		return "", false
	case now.Before(record.quarantinedUntil):
		return fmt.Sprintf("quarantined for another %s: %s", record.quarantinedUntil.Sub(now), record.reason), true
	default:
		return fmt.Sprintf("on probation, %d of %d trial tasks succeeded; quarantined before: %s",
			record.trialSuccesses, tracker.settings.ProbationTasks, record.reason), true
	}
}

// Parked reports whether the job is parked, and why.
func (tracker *Tracker) Parked(job ident.Job, now clock.Time) (string, bool) {
	record := tracker.jobs[job]
	if record == nil || !now.Before(record.parkedUntil) {
		return "", false
	}
	return fmt.Sprintf("%s; next attempt in %s", record.reason, record.parkedUntil.Sub(now)), true
}

// Actions returns the decisions made since the previous call, in order.
func (tracker *Tracker) Actions() []Action {
	actions := tracker.pending
	tracker.pending = nil
	return actions
}

// Quarantined returns the workers in quarantine or on probation, in ascending order.
func (tracker *Tracker) Quarantined() []ident.Worker {
	return set.Sorted(tracker.outOfService)
}

// Limit returns the number of workers that may be in quarantine or on probation at once. It is
// CapPercent of the fleet, but at least 1 in a fleet of three or more workers, so that a faulty worker
// of a small fleet can be quarantined.
func (tracker *Tracker) Limit() int {
	fleetSize := tracker.fleetSize
	limit := fleetSize * tracker.settings.CapPercent / 100
	if limit == 0 && fleetSize >= 3 && tracker.settings.CapPercent > 0 {
		limit = 1
	}
	return limit
}

// ensureWorker returns the record of the worker and adds one if there is none.
func (tracker *Tracker) ensureWorker(worker ident.Worker) *workerRecord {
	record := tracker.workers[worker]
	if record == nil {
		record = &workerRecord{trials: make(map[ident.Task]clock.Time)}
		tracker.workers[worker] = record
		tracker.fleetSize++
	}
	return record
}

// markChanged makes the next Export return the record.
func (tracker *Tracker) markChanged(record *workerRecord) {
	tracker.lastChange++
	record.lastChange = tracker.lastChange
}

// ensureJob returns the record of the job, to which a failure is about to be added. It adds one if
// there is none and removes another one if MaxJobs is reached.
func (tracker *Tracker) ensureJob(job ident.Job, now clock.Time) *jobRecord {
	record := tracker.jobs[job]
	if record == nil {
		if len(tracker.jobs) >= tracker.settings.MaxJobs {
			tracker.removeOldestJob()
		}
		record = &jobRecord{}
		tracker.jobs[job] = record
	}
	record.lastFailureAt = now
	return record
}

// removeOldestJob removes the job whose last failure is the oldest.
func (tracker *Tracker) removeOldestJob() {
	var oldest ident.Job
	found := false
	for job, record := range tracker.jobs {
		if !found || record.lastFailureAt < tracker.jobs[oldest].lastFailureAt ||
			(record.lastFailureAt == tracker.jobs[oldest].lastFailureAt && job < oldest) {
			oldest, found = job, true
		}
	}
	delete(tracker.jobs, oldest)
}

// onProbation reports whether the quarantine is over and the worker accepts trial tasks.
func (record *workerRecord) onProbation(now clock.Time) bool {
	return record.quarantinedUntil != 0 && !record.overCap && !now.Before(record.quarantinedUntil)
}

// appendTaskEnd appends an end. It removes ends outside the window, and the oldest ones if there are
// more than maxTaskEnds. It reuses the array of ends.
func appendTaskEnd(ends []taskEnd, end taskEnd, now clock.Time, window clock.Millis) []taskEnd {
	recent := ends[:0]
	for _, old := range ends {
		if now.Sub(old.at) < window {
			recent = append(recent, old)
		}
	}
	recent = append(recent, end)
	if len(recent) > maxTaskEnds {
		recent = append(recent[:0], recent[len(recent)-maxTaskEnds:]...)
	}
	return recent
}
