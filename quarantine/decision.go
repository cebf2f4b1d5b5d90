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
	// Withheld reports a worker that isn't quarantined despite enough evidence, because the cap is
	// reached or the platform is at fault.
	Withheld ActionKind = "Withheld"
	// Park delays the next attempt of a job.
	Park ActionKind = "Park"
	// Unpark ends or shortens the delay of a job, because a worker or the platform caused its failures.
	Unpark ActionKind = "Unpark"
)

// Action is one decision, to be logged.
type Action struct {
	Kind   ActionKind
	Worker ident.Worker
	Job    ident.Job
	// Duration is the length of the quarantine or the remaining delay of the job.
	Duration clock.Millis
	Reason   string
}

// ErrOverCap reports that more workers are out of service than the cap allows, which is a bug in this
// package.
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

// DetectPlatformFault reports whether the platform is at fault: on at least WavePercent of the workers,
// the share of failures reaches FailedPercent, and at least WaveJobs distinct jobs failed there. The
// second condition is needed because a single faulty job can fail on every worker. It returns false for
// fleets of fewer than three workers.
func (tracker *Tracker) DetectPlatformFault(now clock.Time) bool {
	fleetSize := tracker.fleetSize
	if fleetSize < 3 {
		return false
	}
	failingWorkers := 0
	jobs := set.New[uint32]()
	for _, record := range tracker.workers {
		ownFailing := record.mostlyFailing && now.Sub(record.ends[len(record.ends)-1].at) < tracker.settings.WindowMillis
		reportedFailing := record.reportedFailing(now, tracker.settings.FailedPercent)
		if !ownFailing && !reportedFailing {
			continue
		}
		failingWorkers++
		for _, report := range record.reports {
			if reportedFailing && jobs.Len() < tracker.settings.WaveJobs && now.Before(report.validUntil) {
				addHashes(jobs, report.failedJobs)
			}
		}
		for _, end := range record.ends {
			if jobs.Len() >= tracker.settings.WaveJobs {
				break
			}
			if end.failed && now.Sub(end.at) < tracker.settings.WindowMillis {
				jobs.Add(hashName(string(end.job)))
			}
		}
	}
	return failingWorkers*100 >= fleetSize*tracker.settings.WavePercent && jobs.Len() >= tracker.settings.WaveJobs
}

// platformFaultCheckInterval is how long a result of DetectPlatformFault is reused. During a platform
// fault, scanning the fleet for each failure would cost more than everything else in this package.
const platformFaultCheckInterval = clock.Second

// updatePlatformFault reports whether this or another entry recently detected a platform fault. When
// one begins, it shortens the backoffs of parked jobs.
func (tracker *Tracker) updatePlatformFault(now clock.Time) bool {
	if tracker.platformFaultCheckedAt != 0 && now.Sub(tracker.platformFaultCheckedAt) < platformFaultCheckInterval {
		return tracker.inPlatformFault
	}
	previous := tracker.inPlatformFault
	tracker.inPlatformFault, tracker.platformFaultCheckedAt = tracker.DetectPlatformFault(now) || tracker.platformFaultReported(now), now
	if tracker.inPlatformFault && !previous {
		tracker.shortenBackoffs(now)
	}
	return tracker.inPlatformFault
}

// updateMostlyFailing recomputes record.mostlyFailing. It includes failures of parked jobs, because a
// platform fault parks jobs before it is detected.
func (tracker *Tracker) updateMostlyFailing(record *workerRecord, now clock.Time) {
	failures, ends := 0, 0
	for _, end := range record.ends {
		if now.Sub(end.at) >= tracker.settings.WindowMillis {
			continue
		}
		ends++
		if end.failed {
			failures++
		}
	}
	record.mostlyFailing = failures > 0 && failures*100 >= ends*tracker.settings.FailedPercent
}

// shortenBackoffs reduces the remaining delay of recently parked jobs to BackoffMillis, because their
// failures may be due to the platform fault that was just detected.
func (tracker *Tracker) shortenBackoffs(now clock.Time) {
	for _, name := range set.SortedKeys(tracker.jobs) {
		job := tracker.jobs[name]
		if job.parkCount > 0 && now.Sub(job.lastFailureAt) < tracker.settings.WindowMillis {
			job.parkCount, job.backoff, job.failures = 0, 0, nil
			job.parkedUntil = min(job.parkedUntil, now.Add(tracker.settings.BackoffMillis))
			tracker.pending = append(tracker.pending, Action{Kind: Unpark, Job: name, Duration: max(job.parkedUntil.Sub(now), 0), Reason: "platform fault"})
		}
	}
}

// isFaulty reports whether there is enough evidence to quarantine the worker.
func (tracker *Tracker) isFaulty(record *workerRecord, now clock.Time) bool {
	distinctJobs, failures, ends := tracker.totalEvidence(record, now)
	return distinctJobs >= tracker.settings.DistinctJobs && failures*100 >= ends*tracker.settings.FailedPercent
}

// totalEvidence returns the number of distinct jobs that failed on the worker within the window, and
// the numbers of failures and of task ends, over all entries. Failures of parked jobs don't count.
func (tracker *Tracker) totalEvidence(record *workerRecord, now clock.Time) (distinctJobs, failures, ends int) {
	jobs, failures, ends, _ := tracker.ownEvidence(record, now)
	for _, report := range record.reports {
		if now.Before(report.validUntil) {
			addHashes(jobs, report.failedJobs)
			failures += report.failures
			ends += report.ends
		}
	}
	return jobs.Len(), failures, ends
}

// ownEvidence returns the hashes of the failed jobs, the numbers of failures and of task ends, and the
// time of the latest failure, for the ends within the window that were reported to this entry.
// Failures of parked jobs don't count.
func (tracker *Tracker) ownEvidence(record *workerRecord, now clock.Time) (jobs set.Set[uint32], failures, ends int, newestFailure clock.Time) {
	jobs = set.New[uint32]()
	for _, end := range record.ends {
		if now.Sub(end.at) >= tracker.settings.WindowMillis {
			continue
		}
		if end.failed {
			if job := tracker.jobs[end.job]; job != nil && job.parkCount > 0 {
				continue
			}
			jobs.Add(hashName(string(end.job)))
			failures++
			newestFailure = max(newestFailure, end.at)
		}
		ends++
	}
	return jobs, failures, ends, newestFailure
}

// evaluateFailure counts a failed trial task or decides whether to quarantine a worker in full service.
func (tracker *Tracker) evaluateFailure(task ident.Task, worker ident.Worker, record *workerRecord, reason string, platformFault bool, now clock.Time) {
	_, trial := record.trials[task]
	delete(record.trials, task)
	if record.onProbation(now) && trial {
		record.trialFailures++
		tracker.evaluateProbation(worker, record, reason, platformFault, now)
		return
	}
	tracker.evaluateEvidence(task.Job, worker, record, reason, platformFault, now)
}

// evaluateProbation ends a probation once ProbationTasks trial tasks, over all entries, have succeeded
// or have failed.
func (tracker *Tracker) evaluateProbation(worker ident.Worker, record *workerRecord, reason string, platformFault bool, now clock.Time) {
	successes, failures := record.trialSuccesses, record.trialFailures
	for _, report := range record.reports {
		if report.generation == record.generation && now.Before(report.validUntil) {
			successes += report.trialSuccesses
			failures += report.trialFailures
		}
	}
	switch {
	case successes >= tracker.settings.ProbationTasks:
		tracker.release(worker, record, "probation passed")
	case failures >= tracker.settings.ProbationTasks:
		// During a platform fault every probation fails, so the quarantine doesn't become longer.
		if !platformFault {
			record.duration = min(2*record.duration, tracker.settings.MaxQuarantineMillis)
		}
		tracker.quarantine(worker, record, "probation failed: "+reason, now)
	}
}

// evaluateEvidence quarantines a worker in full service if there is enough evidence. If the cap or a
// platform fault prevents it, it adds a Withheld action, at most once per window.
func (tracker *Tracker) evaluateEvidence(job ident.Job, worker ident.Worker, record *workerRecord, reason string, platformFault bool, now clock.Time) {
	if record.quarantinedUntil != 0 || !tracker.isFaulty(record, now) {
		return
	}
	distinctJobs, failures, ends := tracker.totalEvidence(record, now)
	detail := fmt.Sprintf("%d distinct jobs failed, %d of %d ends; last: %s", distinctJobs, failures, ends, reason)
	outOfService := tracker.outOfService.Len()
	if !platformFault && outOfService < tracker.Limit() {
		record.duration = tracker.settings.QuarantineMillis
		tracker.quarantine(worker, record, detail, now)
		return
	}
	if record.withheldAt != 0 && now.Sub(record.withheldAt) < tracker.settings.WindowMillis {
		return
	}
	record.withheldAt = now
	detail = fmt.Sprintf("%s; %d workers already out of service", detail, outOfService)
	if platformFault {
		detail += "; failures on many workers point to the platform"
	}
	tracker.pending = append(tracker.pending, Action{Kind: Withheld, Worker: worker, Job: job, Reason: detail})
}

// quarantine starts a quarantine of record.duration.
func (tracker *Tracker) quarantine(worker ident.Worker, record *workerRecord, reason string, now clock.Time) {
	record.quarantinedUntil = now.Add(record.duration)
	tracker.outOfService.Add(worker)
	record.generation++
	tracker.markChanged(record)
	record.clearEvidence()
	record.reason = reason
	tracker.pending = append(tracker.pending, Action{Kind: Quarantine, Worker: worker, Duration: record.duration, Reason: reason})
	tracker.discardFailures(worker, now)
}

// clearEvidence removes all evidence against the worker, so that earlier failures influence neither the
// probation nor the full service that follows.
func (record *workerRecord) clearEvidence() {
	record.trialSuccesses, record.trialFailures, record.ends, record.mostlyFailing, record.withheldAt = 0, 0, nil, false, 0
	record.reports = nil
	clear(record.trials)
}

// discardFailures removes the failures on a quarantined worker from the records of the jobs. Jobs that
// were parked because of them may start again.
func (tracker *Tracker) discardFailures(worker ident.Worker, now clock.Time) {
	for _, name := range set.SortedKeys(tracker.jobs) {
		job := tracker.jobs[name]
		previous := len(job.failures)
		job.failures = slices.DeleteFunc(job.failures, func(failure taskEnd) bool { return failure.worker == worker })
		if len(job.failures) == previous || job.parkCount == 0 || tracker.isJobFaulty(job, now) {
			continue
		}
		job.parkCount, job.backoff, job.parkedUntil = 0, 0, 0
		tracker.pending = append(tracker.pending, Action{Kind: Unpark, Job: name, Reason: "worker " + string(worker) + " was at fault"})
	}
}

// release returns the worker to full service as a new decision, which other entries adopt.
func (tracker *Tracker) release(worker ident.Worker, record *workerRecord, reason string) {
	record.generation++
	tracker.markChanged(record)
	tracker.restore(worker, record, reason)
}

// restore returns the worker to full service without starting a new generation.
func (tracker *Tracker) restore(worker ident.Worker, record *workerRecord, reason string) {
	record.quarantinedUntil, record.duration, record.overCap = 0, 0, false
	tracker.outOfService.Remove(worker)
	record.clearEvidence()
	tracker.pending = append(tracker.pending, Action{Kind: Release, Worker: worker, Reason: reason})
}

// isJobFaulty reports whether the job failed on so many distinct workers that the job itself is the
// cause. Failures on quarantined or faulty workers don't count. Repeated failures on one worker are not
// enough, however many, because the worker may be the cause.
func (tracker *Tracker) isJobFaulty(job *jobRecord, now clock.Time) bool {
	workers := set.New[ident.Worker]()
	failures := 0
	faultyWorkers := make(map[ident.Worker]bool)
	for _, failure := range job.failures {
		if now.Sub(failure.at) >= tracker.settings.WindowMillis {
			continue
		}
		faulty, cached := faultyWorkers[failure.worker]
		if !cached {
			record := tracker.workers[failure.worker]
			faulty = record != nil && (record.quarantinedUntil != 0 || tracker.isFaulty(record, now))
			faultyWorkers[failure.worker] = faulty
		}
		if !faulty {
			workers.Add(failure.worker)
			failures++
		}
	}
	// In a fleet of fewer than DistinctWorkers workers, failures on all of them suffice.
	minWorkers := min(tracker.settings.DistinctWorkers, max(tracker.fleetSize, 1))
	return workers.Len() >= minWorkers && failures >= tracker.settings.DistinctWorkers
}

// evaluateJob parks a job after a failure if the job is faulty. A job that was parked before is parked
// again by every failure, for twice as long.
func (tracker *Tracker) evaluateJob(name ident.Job, job *jobRecord, reason string, platformFault bool, now clock.Time) {
	switch {
	case platformFault:
		// The platform caused the failure, so the backoff isn't doubled. The job is still delayed so
		// that it isn't restarted continuously.
		job.failures = nil
		job.parkedUntil = now.Add(tracker.settings.BackoffMillis)
		job.reason = "platform fault, failures on many workers: " + reason
		return
	case !tracker.isJobFaulty(job, now) && job.parkCount == 0:
		return
	case now.Before(job.parkedUntil):
		// The job is parked already: tasks of a job that fail together count as one failed attempt.
		return
	}
	job.parkCount++
	job.backoff = min(max(2*job.backoff, tracker.settings.BackoffMillis), tracker.settings.MaxBackoffMillis)
	job.parkedUntil = now.Add(job.backoff)
	job.reason = fmt.Sprintf("failed %d times in a row on workers in good health: %s", len(job.failures), reason)
	tracker.pending = append(tracker.pending, Action{Kind: Park, Job: name, Duration: job.backoff, Reason: job.reason})
}

// Check verifies that no more workers are out of service than the cap allows. It fails with
// ErrOverCap.
func (tracker *Tracker) Check() error {
	if outOfService := tracker.outOfService.Len(); outOfService > tracker.Limit() {
		return ErrOverCap{Out: outOfService, Limit: tracker.Limit()}
	}
	return nil
}
