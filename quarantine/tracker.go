package quarantine

import (
	"cmp"
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
}

type workerRecord struct {
	ends []end
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
	}
}

// SetFleet names the workers that exist. Records of other workers are dropped. The cap is a share
// of this fleet; if the fleet shrank, workers whose quarantine ends first are released to keep it.
func (tracker *Tracker) SetFleet(fleet []ident.Worker) {
	known := set.New(fleet...)
	for worker := range tracker.workers {
		if !known.Has(worker) {
			delete(tracker.workers, worker)
			tracker.out.Remove(worker)
		}
	}
	for _, worker := range fleet {
		if tracker.workers[worker] == nil {
			tracker.workers[worker] = &workerRecord{trials: make(map[ident.Task]clock.Time)}
		}
	}
	out := tracker.Quarantined()
	slices.SortStableFunc(out, func(left, right ident.Worker) int {
		return cmp.Compare(tracker.workers[left].until, tracker.workers[right].until)
	})
	for _, worker := range out[:max(len(out)-tracker.Limit(), 0)] {
		tracker.release(worker, tracker.workers[worker], "the cap fell with the fleet")
	}
}

// Started records a task start. On a worker on probation it takes one of the trial places, so it
// must be called when the task is placed and before Usable is asked for the next one.
func (tracker *Tracker) Started(task ident.Task, worker ident.Worker, now clock.Time) {
	record := tracker.worker(worker)
	if record.onProbation(now) {
		record.trials[task] = now
	}
}

// Succeeded records a task that finished its work.
func (tracker *Tracker) Succeeded(task ident.Task, worker ident.Worker, now clock.Time) {
	record := tracker.worker(worker)
	record.ends = appendEnd(record.ends, end{at: now, job: task.Job, worker: worker}, now, tracker.settings.WindowMillis)
	delete(tracker.jobs, task.Job)
	tracker.refresh(record, now)
	if _, trial := record.trials[task]; !trial || !record.onProbation(now) {
		return
	}
	delete(record.trials, task)
	record.successes++
	if record.successes >= tracker.settings.ProbationTasks {
		tracker.release(worker, record, "probation passed")
	}
}

// Failed records a task that ended with an error or could not be started, and decides whether the
// worker or the job is at fault.
func (tracker *Tracker) Failed(task ident.Task, worker ident.Worker, reason string, now clock.Time) {
	record := tracker.worker(worker)
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
	delete(tracker.worker(worker).trials, task)
}

// ForgetJob drops the evidence against a job that ended or was submitted again by its owner.
func (tracker *Tracker) ForgetJob(job ident.Job) {
	delete(tracker.jobs, job)
}

// Usable reports whether a task may be placed on the worker.
func (tracker *Tracker) Usable(worker ident.Worker, now clock.Time) bool {
	record := tracker.workers[worker]
	if record == nil || record.until == 0 {
		return true
	}
	if now.Before(record.until) {
		return false
	}
	running := 0
	for _, started := range record.trials {
		// A trial whose end was never reported gives its place back after the window.
		if now.Sub(started) < tracker.settings.WindowMillis {
			running++
		}
	}
	return running < tracker.settings.ProbationTasks
}

// Explain tells why a worker is out of full service, if it is.
func (tracker *Tracker) Explain(worker ident.Worker, now clock.Time) (reason string, out bool) {
	record := tracker.workers[worker]
	switch {
	case record == nil || record.until == 0:
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
	fleet := len(tracker.workers)
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
	}
	return record
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
	return record.until != 0 && !now.Before(record.until)
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
