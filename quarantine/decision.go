package quarantine

import (
	"fmt"
	"slices"

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
	// Unpark ends the delay of a job that proved innocent.
	Unpark ActionKind = "Unpark"
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
	fleet := tracker.fleet
	if fleet < 3 {
		return false
	}
	affected := 0
	jobs := set.New[uint32]()
	for _, record := range tracker.workers {
		own := record.affected && now.Sub(record.ends[len(record.ends)-1].at) < tracker.settings.WindowMillis
		told := record.told(now, tracker.settings.FailedPercent)
		if !own && !told {
			continue
		}
		affected++
		for _, remote := range record.remote {
			if told && jobs.Len() < tracker.settings.WaveJobs && now.Before(remote.until) {
				addAll(jobs, remote.jobs)
			}
		}
		for _, past := range record.ends {
			if jobs.Len() >= tracker.settings.WaveJobs {
				break
			}
			if past.failed && now.Sub(past.at) < tracker.settings.WindowMillis {
				jobs.Add(hashOf(string(past.job)))
			}
		}
	}
	return affected*100 >= fleet*tracker.settings.WavePercent && jobs.Len() >= tracker.settings.WaveJobs
}

// waveMillis is how long an answer of Wave is used for. Counting the fleet for every failure of a
// wave would cost more than everything else.
const waveMillis = clock.Second

// wave returns a recent answer of Wave and pardons jobs when a platform fault begins.
func (tracker *Tracker) wave(now clock.Time) bool {
	if tracker.waveAt != 0 && now.Sub(tracker.waveAt) < waveMillis {
		return tracker.inWave
	}
	before := tracker.inWave
	tracker.inWave, tracker.waveAt = tracker.Wave(now) || tracker.waveTold(now), now
	if tracker.inWave && !before {
		tracker.pardon(now)
	}
	return tracker.inWave
}

// refresh recomputes whether mostly failures happen on the worker. Failures of parked jobs count
// here, because a platform fault parks jobs before it is recognised.
func (tracker *Tracker) refresh(record *workerRecord, now clock.Time) {
	failed, ended := 0, 0
	for _, past := range record.ends {
		if now.Sub(past.at) >= tracker.settings.WindowMillis {
			continue
		}
		ended++
		if past.failed {
			failed++
		}
	}
	record.affected = failed > 0 && failed*100 >= ended*tracker.settings.FailedPercent
}

// pardon shortens the delays of jobs that failed at the start of a platform fault.
func (tracker *Tracker) pardon(now clock.Time) {
	for _, name := range set.SortedKeys(tracker.jobs) {
		job := tracker.jobs[name]
		if job.parks > 0 && now.Sub(job.used) < tracker.settings.WindowMillis {
			job.parks, job.term, job.failures = 0, 0, nil
			job.until = min(job.until, now.Add(tracker.settings.BackoffMillis))
			tracker.pending = append(tracker.pending, Action{Kind: Unpark, Job: name, TermMillis: max(job.until.Sub(now), 0), Reason: "platform fault"})
		}
	}
}

// suspect reports whether the worker's ends are full evidence for a quarantine.
func (tracker *Tracker) suspect(record *workerRecord, now clock.Time) bool {
	distinct, failed, ended := tracker.evidence(record, now)
	return distinct >= tracker.settings.DistinctJobs && failed*100 >= ended*tracker.settings.FailedPercent
}

// evidence returns how many distinct jobs failed on the worker within the window at all entries, not
// counting jobs that are themselves at fault, and the numbers of failures and of ends.
func (tracker *Tracker) evidence(record *workerRecord, now clock.Time) (distinct, failed, ended int) {
	jobs, failed, ended, _ := tracker.own(record, now)
	for _, told := range record.remote {
		if now.Before(told.until) {
			addAll(jobs, told.jobs)
			failed += told.failed
			ended += told.ended
		}
	}
	return jobs.Len(), failed, ended
}

// own returns the evidence of ends that were reported to this entry, and the time of the newest
// failure.
func (tracker *Tracker) own(record *workerRecord, now clock.Time) (jobs set.Set[uint32], failed, ended int, newest clock.Time) {
	jobs = set.New[uint32]()
	for _, past := range record.ends {
		if now.Sub(past.at) >= tracker.settings.WindowMillis {
			continue
		}
		if past.failed {
			if job := tracker.jobs[past.job]; job != nil && job.parks > 0 {
				continue
			}
			jobs.Add(hashOf(string(past.job)))
			failed++
			newest = max(newest, past.at)
		}
		ended++
	}
	return jobs, failed, ended, newest
}

func (tracker *Tracker) judgeWorker(task ident.Task, worker ident.Worker, record *workerRecord, reason string, wave bool, now clock.Time) {
	_, trial := record.trials[task]
	delete(record.trials, task)
	if record.onProbation(now) && trial {
		record.failures++
		tracker.judgeProbation(worker, record, reason, wave, now)
		return
	}
	tracker.judgeEvidence(task.Job, worker, record, reason, wave, now)
}

// judgeProbation decides a probation once enough trial tasks of all entries have ended.
func (tracker *Tracker) judgeProbation(worker ident.Worker, record *workerRecord, reason string, wave bool, now clock.Time) {
	successes, failures := record.successes, record.failures
	for _, told := range record.remote {
		if told.generation == record.generation && now.Before(told.until) {
			successes += told.successes
			failures += told.failures
		}
	}
	switch {
	case successes >= tracker.settings.ProbationTasks:
		tracker.release(worker, record, "probation passed")
	case failures >= tracker.settings.ProbationTasks:
		// A platform fault fails every probation, so it does not make the term longer.
		if !wave {
			record.term = min(2*record.term, tracker.settings.MaxQuarantineMillis)
		}
		tracker.quarantine(worker, record, "probation failed: "+reason, now)
	}
}

// judgeEvidence quarantines a worker in full service if the evidence suffices.
func (tracker *Tracker) judgeEvidence(job ident.Job, worker ident.Worker, record *workerRecord, reason string, wave bool, now clock.Time) {
	if record.until != 0 || !tracker.suspect(record, now) {
		return
	}
	distinct, failed, ended := tracker.evidence(record, now)
	why := fmt.Sprintf("%d distinct jobs failed, %d of %d ends; last: %s", distinct, failed, ended, reason)
	out := tracker.out.Len()
	if !wave && out < tracker.Limit() {
		record.term = tracker.settings.QuarantineMillis
		tracker.quarantine(worker, record, why, now)
		return
	}
	if record.withheldAt != 0 && now.Sub(record.withheldAt) < tracker.settings.WindowMillis {
		return
	}
	record.withheldAt = now
	why = fmt.Sprintf("%s; %d workers already out of service", why, out)
	if wave {
		why += "; failures on many workers point to the platform"
	}
	tracker.pending = append(tracker.pending, Action{Kind: Withheld, Worker: worker, Job: job, Reason: why})
}

func (tracker *Tracker) quarantine(worker ident.Worker, record *workerRecord, reason string, now clock.Time) {
	record.until = now.Add(record.term)
	tracker.out.Add(worker)
	record.generation++
	tracker.changed(record)
	record.reset()
	record.reason = reason
	tracker.pending = append(tracker.pending, Action{Kind: Quarantine, Worker: worker, TermMillis: record.term, Reason: reason})
	tracker.acquit(worker, now)
}

// reset drops the evidence, so that a probation or a full service starts from a clean record.
func (record *workerRecord) reset() {
	record.successes, record.failures, record.ends, record.affected, record.withheldAt = 0, 0, nil, false, 0
	record.remote = nil
	clear(record.trials)
}

// acquit drops the failures on a worker that proved faulty from the records of the jobs. Jobs that
// were parked because of them may start again.
func (tracker *Tracker) acquit(worker ident.Worker, now clock.Time) {
	for _, name := range set.SortedKeys(tracker.jobs) {
		job := tracker.jobs[name]
		before := len(job.failures)
		job.failures = slices.DeleteFunc(job.failures, func(failure end) bool { return failure.worker == worker })
		if len(job.failures) == before || job.parks == 0 || tracker.jobAtFault(job, now) {
			continue
		}
		job.parks, job.term, job.until = 0, 0, 0
		tracker.pending = append(tracker.pending, Action{Kind: Unpark, Job: name, Reason: "worker " + string(worker) + " was at fault"})
	}
}

func (tracker *Tracker) release(worker ident.Worker, record *workerRecord, reason string) {
	record.generation++
	tracker.changed(record)
	tracker.restore(worker, record, reason)
}

// restore returns the worker to full service.
func (tracker *Tracker) restore(worker ident.Worker, record *workerRecord, reason string) {
	record.until, record.term, record.capped = 0, 0, false
	tracker.out.Remove(worker)
	record.reset()
	tracker.pending = append(tracker.pending, Action{Kind: Release, Worker: worker, Reason: reason})
}

// ReleaseWorker returns a worker to full service by an operator's decision or because it was replaced.
func (tracker *Tracker) ReleaseWorker(worker ident.Worker) {
	if record := tracker.workers[worker]; record != nil && record.until != 0 {
		tracker.release(worker, record, "released by request")
	}
}

// jobAtFault reports whether the job failed on enough distinct workers to be the cause itself.
// Failures on workers that are out of service or suspect are no evidence against it, and neither are
// repeated failures on one worker, however many: the worker may be at fault.
func (tracker *Tracker) jobAtFault(job *jobRecord, now clock.Time) bool {
	workers := set.New[ident.Worker]()
	failures := 0
	verdicts := make(map[ident.Worker]bool)
	for _, failure := range job.failures {
		if now.Sub(failure.at) >= tracker.settings.WindowMillis {
			continue
		}
		faulty, judged := verdicts[failure.worker]
		if !judged {
			record := tracker.workers[failure.worker]
			faulty = record != nil && (record.until != 0 || tracker.suspect(record, now))
			verdicts[failure.worker] = faulty
		}
		if !faulty {
			workers.Add(failure.worker)
			failures++
		}
	}
	// A fleet smaller than the wanted number of workers can still convict a job.
	wanted := min(tracker.settings.DistinctWorkers, max(tracker.fleet, 1))
	return workers.Len() >= wanted && failures >= tracker.settings.DistinctWorkers
}

func (tracker *Tracker) judgeJob(name ident.Job, job *jobRecord, reason string, wave bool, now clock.Time) {
	switch {
	case wave:
		// A platform fault says nothing about the job; the first term without doubling keeps it
		// from being started over and over.
		job.failures = nil
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
	job.reason = fmt.Sprintf("failed %d times in a row on workers in good health: %s", len(job.failures), reason)
	tracker.pending = append(tracker.pending, Action{Kind: Park, Job: name, TermMillis: job.term, Reason: job.reason})
}

// Check asserts that no more workers are out of service than the cap allows. It fails with
// ErrOverCap.
func (tracker *Tracker) Check() error {
	if out := tracker.out.Len(); out > tracker.Limit() {
		return ErrOverCap{Out: out, Limit: tracker.Limit()}
	}
	return nil
}
