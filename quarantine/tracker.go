package quarantine

import (
	"fmt"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// maxEvents bounds the remembered task ends per worker and per job. 64 ends are several times the
// distinct jobs or workers that a decision needs.
const maxEvents = 64

// Tracker holds the evidence of one entry daemon. It is used by one goroutine.
type Tracker struct {
	settings Settings
	workers  map[ident.Worker]*workerRecord
	jobs     map[ident.Job]*jobRecord
	pending  []Action
	// out holds the workers out of full service.
	out set.Set[ident.Worker]
	// inWave is what Wave returned at waveAt.
	inWave bool
	waveAt clock.Time
	// toldWave holds when other entries last told of a platform fault.
	toldWave map[ident.Entry]clock.Time
	// fleet is the number of records that are not absent.
	fleet int
	// now is the newest time seen.
	now clock.Time
	// change numbers the changes that Export tells.
	change uint64
	// self is this entry's place among the live entries, which take turns with trial tasks.
	self, entries int
}

type workerRecord struct {
	ends []end
	// remote holds the newest evidence of other entries.
	remote map[ident.Entry]evidence
	// generation numbers the decisions on the worker across all entries.
	generation uint64
	// change is the number of the record's last change that other entries should know.
	change uint64
	// absent records are of workers that are not in the fleet, since absentAt. Their decisions are kept,
	// because the worker may return or may not have been seen yet.
	absent   bool
	absentAt clock.Time
	// capped workers are in service although they are to be out, because of the cap.
	capped bool
	// until is the end of the quarantine; zero means that the worker is in full service.
	until     clock.Time
	term      clock.Millis
	trials    map[ident.Task]clock.Time
	successes int
	failures  int
	// affected tells whether the ends hold half of the evidence for a quarantine, see Wave.
	affected   bool
	withheldAt clock.Time
	reason     string
}

type jobRecord struct {
	failures []end
	until    clock.Time
	term     clock.Millis
	parks    int
	reason   string
	used     clock.Time
}

type end struct {
	at     clock.Time
	job    ident.Job
	worker ident.Worker
	failed bool
}

// New returns a Tracker without evidence.
func New(settings Settings) *Tracker {
	return &Tracker{
		settings: settings,
		workers:  make(map[ident.Worker]*workerRecord),
		jobs:     make(map[ident.Job]*jobRecord),
		out:      set.New[ident.Worker](),
		toldWave: make(map[ident.Entry]clock.Time),
		entries:  1,
	}
}

// SetEntries names the live entries, of which self is this one. They take turns with trial tasks.
func (tracker *Tracker) SetEntries(self ident.Entry, live []ident.Entry) {
	sorted := slices.Sorted(slices.Values(live))
	position, found := slices.BinarySearch(sorted, self)
	if !found {
		tracker.self, tracker.entries = 0, 1
		return
	}
	tracker.self, tracker.entries = position, len(sorted)
}

// SetFleet names the workers that exist. Own evidence about other workers is dropped. What others told
// of them is kept until it is too old, and decisions for MaxQuarantineMillis. The cap is a share of this fleet, see limitOut.
func (tracker *Tracker) SetFleet(fleet []ident.Worker) {
	known := set.New(fleet...)
	for _, worker := range set.SortedKeys(tracker.workers) {
		record := tracker.workers[worker]
		if known.Has(worker) {
			continue
		}
		if !record.absent {
			record.absent, record.absentAt = true, tracker.now
			record.ends, record.affected = nil, false
		}
		if record.generation == 0 && !record.toldOf(tracker.now) || tracker.now.Sub(record.absentAt) >= tracker.settings.MaxQuarantineMillis {
			delete(tracker.workers, worker)
		}
	}
	for _, worker := range fleet {
		tracker.worker(worker).absent = false
	}
	tracker.fleet = known.Len()
	tracker.limitOut()
}

// limitOut keeps the workers out of full service within the cap. Entries can quarantine different
// workers at the same time, and the fleet can shrink. Of too many, those last by name stay in service,
// so that all entries choose the same without comparing clocks. The decisions remain, so that a
// partial view of the fleet does not revoke them.
func (tracker *Tracker) limitOut() {
	var out []ident.Worker
	for worker, record := range tracker.workers {
		if record.until != 0 && !record.absent {
			out = append(out, worker)
		}
	}
	slices.Sort(out)
	before := tracker.out
	tracker.out = set.New(out[:min(len(out), tracker.Limit())]...)
	for _, worker := range out {
		record := tracker.workers[worker]
		record.capped = !tracker.out.Has(worker)
		switch {
		case record.capped && before.Has(worker):
			tracker.pending = append(tracker.pending, Action{Kind: Release, Worker: worker, Reason: "the cap is reached"})
		case !record.capped && !before.Has(worker):
			tracker.pending = append(tracker.pending, Action{Kind: Quarantine, Worker: worker, TermMillis: record.term, Reason: record.reason})
		}
	}
}

// Started records a task start. On a worker on probation it takes one of the trial places, so it
// must be called when the task is placed and before Usable is asked for the next one.
func (tracker *Tracker) Started(task ident.Task, worker ident.Worker, now clock.Time) {
	tracker.now = max(tracker.now, now)
	record := tracker.worker(worker)
	if record.onProbation(now) {
		record.trials[task] = now
		tracker.changed(record)
	}
}

// Succeeded records a task that finished its work.
func (tracker *Tracker) Succeeded(task ident.Task, worker ident.Worker, now clock.Time) {
	tracker.now = max(tracker.now, now)
	record := tracker.worker(worker)
	record.ends = appendEnd(record.ends, end{at: now, job: task.Job, worker: worker}, now, tracker.settings.WindowMillis)
	delete(tracker.jobs, task.Job)
	tracker.refresh(record, now)
	if record.affected {
		tracker.changed(record)
	}
	if _, trial := record.trials[task]; !trial || !record.onProbation(now) {
		return
	}
	delete(record.trials, task)
	record.successes++
	tracker.changed(record)
	tracker.judgeProbation(worker, record, "", false, now)
}

// Failed records a task that ended with an error or could not be started, and decides whether the
// worker or the job is at fault.
func (tracker *Tracker) Failed(task ident.Task, worker ident.Worker, reason string, now clock.Time) {
	tracker.now = max(tracker.now, now)
	record := tracker.worker(worker)
	tracker.changed(record)
	ended := end{at: now, job: task.Job, worker: worker, failed: true}
	record.ends = appendEnd(record.ends, ended, now, tracker.settings.WindowMillis)
	tracker.refresh(record, now)
	job := tracker.job(task.Job, now)
	job.failures = appendEnd(job.failures, ended, now, tracker.settings.WindowMillis)
	wave := tracker.wave(now)
	if wave || !tracker.jobAtFault(job, now) {
		tracker.judgeWorker(task, worker, record, reason, wave, now)
	} else {
		delete(record.trials, task)
	}
	tracker.judgeJob(task.Job, job, reason, wave, now)
}

// Stopped records a task that was stopped by request. It is no evidence, but frees a trial place.
func (tracker *Tracker) Stopped(task ident.Task, worker ident.Worker) {
	record := tracker.worker(worker)
	if _, trial := record.trials[task]; trial {
		delete(record.trials, task)
		tracker.changed(record)
	}
}

// ForgetJob drops the evidence against a job that ended or was submitted again by its owner.
func (tracker *Tracker) ForgetJob(job ident.Job) {
	delete(tracker.jobs, job)
}

// Usable reports whether a task may be placed on the worker.
func (tracker *Tracker) Usable(worker ident.Worker, now clock.Time) bool {
	record := tracker.workers[worker]
	if record == nil || record.until == 0 || record.capped {
		return true
	}
	if now.Before(record.until) || !tracker.turn(worker, record, now) {
		return false
	}
	running := record.running(now, tracker.settings.WindowMillis)
	for _, told := range record.remote {
		if told.generation == record.generation && now.Before(told.until) {
			running += told.trials
		}
	}
	return running < tracker.settings.ProbationTasks
}

// turn reports whether this entry may start trial tasks on the worker now. Without turns each entry
// would start as many as all of them together may.
func (tracker *Tracker) turn(worker ident.Worker, record *workerRecord, now clock.Time) bool {
	if tracker.entries <= 1 {
		return true
	}
	since := now.Sub(record.until)
	number := since / tracker.settings.TurnMillis
	if number > 0 && since%tracker.settings.TurnMillis < tracker.settings.TurnGuardMillis {
		return false
	}
	return (uint64(hashOf(string(worker)))+uint64(number))%uint64(tracker.entries) == uint64(tracker.self)
}

// running counts the trial tasks. One whose end was never reported gives its place back after the
// window.
func (record *workerRecord) running(now clock.Time, window clock.Millis) int {
	running := 0
	for _, started := range record.trials {
		if now.Sub(started) < window {
			running++
		}
	}
	return running
}

// Explain tells why a worker is out of full service, if it is.
func (tracker *Tracker) Explain(worker ident.Worker, now clock.Time) (reason string, out bool) {
	record := tracker.workers[worker]
	switch {
	case record == nil || record.until == 0 || record.capped:
		return "", false
	case now.Before(record.until):
		return fmt.Sprintf("quarantined for another %s: %s", record.until.Sub(now), record.reason), true
	default:
		return fmt.Sprintf("on probation, %d of %d trial tasks succeeded; quarantined before: %s",
			record.successes, tracker.settings.ProbationTasks, record.reason), true
	}
}

// Blocked reports whether the job is parked, and why.
func (tracker *Tracker) Blocked(job ident.Job, now clock.Time) (string, bool) {
	record := tracker.jobs[job]
	if record == nil || !now.Before(record.until) {
		return "", false
	}
	return fmt.Sprintf("%s; next attempt in %s", record.reason, record.until.Sub(now)), true
}

// Actions returns the decisions taken since the last call, in order.
func (tracker *Tracker) Actions() []Action {
	actions := tracker.pending
	tracker.pending = nil
	return actions
}

// Quarantined returns the workers out of full service, in ascending order.
func (tracker *Tracker) Quarantined() []ident.Worker {
	return set.Sorted(tracker.out)
}

// Limit returns the number of workers that may be out of full service at once. It is the share of
// the fleet, and at least 1 from three workers on so that a small fleet can lose a bad worker.
func (tracker *Tracker) Limit() int {
	fleet := tracker.fleet
	limit := fleet * tracker.settings.CapPercent / 100
	if limit == 0 && fleet >= 3 && tracker.settings.CapPercent > 0 {
		limit = 1
	}
	return limit
}

func (tracker *Tracker) worker(worker ident.Worker) *workerRecord {
	record := tracker.workers[worker]
	if record == nil {
		record = &workerRecord{trials: make(map[ident.Task]clock.Time)}
		tracker.workers[worker] = record
		tracker.fleet++
	}
	return record
}

// changed marks the record for the next exports.
func (tracker *Tracker) changed(record *workerRecord) {
	tracker.change++
	record.change = tracker.change
}

func (tracker *Tracker) job(job ident.Job, now clock.Time) *jobRecord {
	record := tracker.jobs[job]
	if record == nil {
		if len(tracker.jobs) >= tracker.settings.MaxJobs {
			tracker.dropOldestJob()
		}
		record = &jobRecord{}
		tracker.jobs[job] = record
	}
	record.used = now
	return record
}

// dropOldestJob frees one place, preferring the job whose last failure is oldest.
func (tracker *Tracker) dropOldestJob() {
	var oldest ident.Job
	found := false
	for job, record := range tracker.jobs {
		if !found || record.used < tracker.jobs[oldest].used ||
			(record.used == tracker.jobs[oldest].used && job < oldest) {
			oldest, found = job, true
		}
	}
	delete(tracker.jobs, oldest)
}

func (record *workerRecord) onProbation(now clock.Time) bool {
	return record.until != 0 && !record.capped && !now.Before(record.until)
}

// appendEnd adds an end and drops those outside the window and above the bound, oldest first.
func appendEnd(ends []end, ended end, now clock.Time, window clock.Millis) []end {
	kept := ends[:0]
	for _, old := range ends {
		if now.Sub(old.at) < window {
			kept = append(kept, old)
		}
	}
	kept = append(kept, ended)
	if len(kept) > maxEvents {
		kept = append(kept[:0], kept[len(kept)-maxEvents:]...)
	}
	return kept
}
