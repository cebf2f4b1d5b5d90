package quarantine

import (
	"fmt"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// ActionKind names a decision of the Tracker.
type ActionKind string

// Decisions of the Tracker.
const (
	// Quarantine takes a worker out of service.
	Quarantine ActionKind = "Quarantine"
	// Release returns a worker to full service.
	Release ActionKind = "Release"
	// Withheld reports a worker that is suspect but stays in service because of the cap.
	Withheld ActionKind = "Withheld"
	// Park delays a job.
	Park ActionKind = "Park"
)

// Action is one decision, for the log and for explain.
type Action struct {
	Kind   ActionKind
	Worker ident.Worker
	Job    ident.Job
	// TermMillis is how long the quarantine or the delay lasts.
	TermMillis clock.Millis
	Reason     string
}

// ErrOverCap reports more workers out of service than the cap allows. It is a fault of this package.
type ErrOverCap struct {
	Out   int
	Limit int
}

// Error describes the counts.
func (err ErrOverCap) Error() string {
	return fmt.Sprintf("%d workers out of service, cap %d", err.Out, err.Limit)
}

// IsErrOverCap reports whether err is an ErrOverCap.
func IsErrOverCap(err error) bool {
	_, ok := err.(ErrOverCap)
	return ok
}

// Wave reports whether failures of distinct jobs are spread over so much of the fleet that the
// platform is at fault. The jobs must differ too: one bad job alone can fail on every worker.
func (tracker *Tracker) Wave(now clock.Time) bool {
	fleet := len(tracker.workers)
	if fleet < 3 {
		return false
	}
	affected := 0
	jobs := set.New[ident.Job]()
	for _, record := range tracker.workers {
		distinct, failed, ended := tracker.evidence(record, now)
		// Half of the evidence for a quarantine suffices here, so that a wave is recognised
		// before the first workers reach the full evidence.
		if distinct.Len()*2 >= tracker.settings.DistinctJobs && failed*100 >= ended*tracker.settings.FailedPercent {
			affected++
			for job := range distinct {
				jobs.Add(job)
			}
		}
	}
	return affected*100 >= fleet*tracker.settings.WavePercent && jobs.Len() >= tracker.settings.DistinctJobs
}

// evidence returns the distinct jobs that failed on the worker within the window, not counting
// jobs that are themselves at fault, and the numbers of failures and of ends.
func (tracker *Tracker) evidence(record *workerRecord, now clock.Time) (distinct set.Set[ident.Job], failed, ended int) {
	distinct = set.New[ident.Job]()
	for _, past := range record.ends {
		if now.Sub(past.at) >= tracker.settings.WindowMillis {
			continue
		}
		if past.failed {
			if job := tracker.jobs[past.job]; job != nil && job.parks > 0 {
				continue
			}
			distinct.Add(past.job)
			failed++
		}
		ended++
	}
	return distinct, failed, ended
}

func (tracker *Tracker) judgeWorker(task ident.Task, worker ident.Worker, record *workerRecord, reason string, now clock.Time) {
	_, trial := record.trials[task]
	delete(record.trials, task)
	if record.onProbation(now) && trial {
		record.term = min(2*record.term, tracker.settings.MaxQuarantineMillis)
		tracker.quarantine(worker, record, "probation failed: "+reason, now)
		return
	}
	if record.until != 0 {
		return
	}
	distinct, failed, ended := tracker.evidence(record, now)
	if distinct.Len() < tracker.settings.DistinctJobs || failed*100 < ended*tracker.settings.FailedPercent {
		return
	}
	why := fmt.Sprintf("%d distinct jobs failed, %d of %d ends; last: %s", distinct.Len(), failed, ended, reason)
	if out := len(tracker.Quarantined()); out >= tracker.Limit() {
		tracker.pending = append(tracker.pending, Action{
			Kind: Withheld, Worker: worker, Job: task.Job,
			Reason: fmt.Sprintf("%s; %d workers already out of service", why, out),
		})
		return
	}
	record.term = tracker.settings.QuarantineMillis
	tracker.quarantine(worker, record, why, now)
}

func (tracker *Tracker) quarantine(worker ident.Worker, record *workerRecord, reason string, now clock.Time) {
	record.until = now.Add(record.term)
	record.successes = 0
	record.reason = reason
	clear(record.trials)
	// The evidence is spent: probation starts from a clean record.
	record.ends = nil
	tracker.pending = append(tracker.pending, Action{Kind: Quarantine, Worker: worker, TermMillis: record.term, Reason: reason})
}

func (tracker *Tracker) release(worker ident.Worker, record *workerRecord, reason string) {
	record.until, record.term, record.successes, record.reason = 0, 0, 0, ""
	record.ends = nil
	clear(record.trials)
	tracker.pending = append(tracker.pending, Action{Kind: Release, Worker: worker, Reason: reason})
}

// ReleaseWorker returns a worker to full service by an operator's decision or because it was replaced.
func (tracker *Tracker) ReleaseWorker(worker ident.Worker) {
	if record := tracker.workers[worker]; record != nil && record.until != 0 {
		tracker.release(worker, record, "released by request")
	}
}

// jobAtFault reports whether the job failed on enough distinct workers in service, on which
// something else did not fail, to be the cause itself.
func (tracker *Tracker) jobAtFault(job *jobRecord, now clock.Time) bool {
	workers := set.New[ident.Worker]()
	for _, failure := range job.failures {
		if now.Sub(failure.at) >= tracker.settings.WindowMillis {
			continue
		}
		if record := tracker.workers[failure.worker]; record != nil && record.until != 0 {
			continue
		}
		workers.Add(failure.worker)
	}
	return workers.Len() >= tracker.settings.DistinctWorkers
}

func (tracker *Tracker) judgeJob(name ident.Job, job *jobRecord, reason string, wave bool, now clock.Time) {
	switch {
	case wave:
		// A platform fault says nothing about the job; the first term without doubling keeps it
		// from being started over and over.
		job.until = now.Add(tracker.settings.BackoffMillis)
		job.reason = "platform fault, failures on many workers: " + reason
		return
	case !tracker.jobAtFault(job, now) && job.parks == 0:
		return
	case now.Before(job.until):
		// Tasks of one job that fail together count as one attempt.
		return
	}
	job.parks++
	job.term = min(max(2*job.term, tracker.settings.BackoffMillis), tracker.settings.MaxBackoffMillis)
	job.until = now.Add(job.term)
	job.reason = fmt.Sprintf("failed on %d or more distinct workers: %s", tracker.settings.DistinctWorkers, reason)
	tracker.pending = append(tracker.pending, Action{Kind: Park, Job: name, TermMillis: job.term, Reason: job.reason})
}

// Check asserts that no more workers are out of service than the cap allows. A fleet that shrank
// since the quarantine is no violation, so callers check before they call SetFleet.
func (tracker *Tracker) Check() error {
	if out := len(tracker.Quarantined()); out > tracker.Limit() {
		return ErrOverCap{Out: out, Limit: tracker.Limit()}
	}
	return nil
}
