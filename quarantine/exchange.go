package quarantine

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// reportedFaultTimeout is how long another entry's report of a platform fault is valid. It covers
// several exchanges.
const reportedFaultTimeout = 30 * clock.Second

// maxReasonBytes is the maximum length of a reason in an exchange; longer ones are cut.
const maxReasonBytes = 160

// report is the evidence of another entry on a worker.
type report struct {
	// generation is the decision to which the trial tasks belong.
	generation                                   uint64
	runningTrials, trialSuccesses, trialFailures int
	ends, failures                               int
	// failedJobs holds the hashes of the names of the failed jobs, at most DistinctJobs of them.
	failedJobs []uint32
	// validUntil is the end of the window that starts with the latest failure, or with the arrival of
	// the report if it contains no failure.
	validUntil clock.Time
}

// hashName returns a hash that stands for the name in exchanges. Jobs with the same hash count as one.
func hashName(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum32()
}

func addHashes(hashes set.Set[uint32], more []uint32) {
	for _, hash := range more {
		hashes.Add(hash)
	}
}

// reportedFailing reports whether the share of failures among the task ends that other entries report
// is at least percent.
func (record *workerRecord) reportedFailing(now clock.Time, percent int) bool {
	failures, ends := 0, 0
	for _, report := range record.reports {
		if now.Before(report.validUntil) {
			failures += report.failures
			ends += report.ends
		}
	}
	return failures > 0 && failures*100 >= ends*percent
}

// hasValidReport reports whether the evidence of any other entry is still valid.
func (record *workerRecord) hasValidReport(now clock.Time) bool {
	for _, report := range record.reports {
		if now.Before(report.validUntil) {
			return true
		}
	}
	return false
}

// platformFaultReported reports whether another entry recently reported a platform fault. It removes
// outdated reports.
func (tracker *Tracker) platformFaultReported(now clock.Time) bool {
	for entry, at := range tracker.reportedPlatformFaults {
		if now.Sub(at) < reportedFaultTimeout {
			return true
		}
		delete(tracker.reportedPlatformFaults, entry)
	}
	return false
}

// PlatformFault reports whether this entry detects a platform fault by itself. The result is to be sent
// to the other entries.
func (tracker *Tracker) PlatformFault(now clock.Time) bool {
	return tracker.DetectPlatformFault(now)
}

// Export returns the state of the workers that changed after the change number since: all workers with
// a decision, and up to limit others with evidence. It is complete up to the change number upTo, to be
// passed as since next time. During a platform fault it omits workers without a decision, because they
// would fill every exchange.
func (tracker *Tracker) Export(since uint64, limit int, now clock.Time) (health []*controlpb.WorkerHealth, upTo uint64) {
	tracker.now = max(tracker.now, now)
	var workers []ident.Worker
	for worker, record := range tracker.workers {
		if record.lastChange > since {
			workers = append(workers, worker)
		}
	}
	slices.SortFunc(workers, func(left, right ident.Worker) int {
		return cmp.Compare(tracker.workers[left].lastChange, tracker.workers[right].lastChange)
	})
	upTo = tracker.lastChange
	undecided := 0
	for _, worker := range workers {
		record := tracker.workers[worker]
		summary := tracker.summarise(worker, record, now)
		if summary.Generation == 0 {
			if summary.Ended == 0 || tracker.inPlatformFault {
				continue
			}
			if undecided++; undecided > limit {
				upTo = min(upTo, record.lastChange-1)
				continue
			}
		}
		health = append(health, summary)
	}
	return health, upTo
}

// summarise returns the decision and the evidence of this entry on a worker.
func (tracker *Tracker) summarise(worker ident.Worker, record *workerRecord, now clock.Time) *controlpb.WorkerHealth {
	failedJobs, failures, ends, newestFailure := tracker.ownEvidence(record, now)
	summary := &controlpb.WorkerHealth{
		Worker: string(worker), Generation: record.generation,
		Trials: int32(record.runningTrials(now, tracker.settings.WindowMillis)), Successes: int32(record.trialSuccesses), Failures: int32(record.trialFailures),
		Ended: int32(ends), Failed: int32(failures),
	}
	if record.quarantinedUntil != 0 {
		summary.Out, summary.LeftMillis, summary.TermMillis = true, int64(record.quarantinedUntil.Sub(now)), int64(record.duration)
		summary.Reason = strings.ToValidUTF8(record.reason[:min(len(record.reason), maxReasonBytes)], "")
	}
	if failures > 0 {
		summary.AgeMillis = int64(now.Sub(newestFailure))
		hashes := set.Sorted(failedJobs)
		summary.FailedJobs = hashes[:min(len(hashes), tracker.settings.DistinctJobs)]
	}
	return summary
}

// Import merges the state that another entry exported. The decision with the higher generation applies;
// in the same generation, a quarantine takes precedence. Evidence from before the latest decision is
// discarded.
func (tracker *Tracker) Import(from ident.Entry, health []*controlpb.WorkerHealth, platformFault bool, now clock.Time) {
	tracker.now = max(tracker.now, now)
	if platformFault {
		tracker.reportedPlatformFaults[from] = now
	} else {
		delete(tracker.reportedPlatformFaults, from)
	}
	if len(health) == 0 {
		return
	}
	for _, summary := range health {
		tracker.importSummary(from, summary, now)
	}
	tracker.enforceCap()
	inPlatformFault := tracker.updatePlatformFault(now)
	for _, summary := range health {
		worker := ident.Worker(summary.GetWorker())
		record := tracker.workers[worker]
		if record == nil || record.absent {
			continue
		}
		// Explanations for operators and later exchanges include this text, so it must not change.
		reason := "told by entry " + string(from)
		if record.onProbation(now) {
			tracker.evaluateProbation(worker, record, reason, inPlatformFault, now)
		} else if summary.GetFailed() > 0 {
			tracker.evaluateEvidence("", worker, record, reason, inPlatformFault, now)
		}
	}
}

// importSummary merges the state of one worker. A worker that SetFleet has not listed yet gets an absent
// record, so that it doesn't count for the cap.
func (tracker *Tracker) importSummary(from ident.Entry, summary *controlpb.WorkerHealth, now clock.Time) {
	worker := ident.Worker(summary.GetWorker())
	if worker == "" {
		return
	}
	record := tracker.workers[worker]
	if record == nil {
		record = &workerRecord{trials: make(map[ident.Task]clock.Time), absent: true, absentSince: now}
		tracker.workers[worker] = record
	}
	if summary.GetGeneration() > record.generation || summary.GetGeneration() == record.generation && summary.GetOut() && record.quarantinedUntil == 0 {
		tracker.adoptDecision(worker, record, summary, now)
	}
	if summary.GetGeneration() < record.generation {
		return
	}
	if record.reports == nil {
		record.reports = make(map[ident.Entry]report)
	}
	previous, exists := record.reports[from]
	record.reports[from] = report{
		generation: summary.GetGeneration(), runningTrials: int(summary.GetTrials()), trialSuccesses: int(summary.GetSuccesses()), trialFailures: int(summary.GetFailures()),
		ends: int(summary.GetEnded()), failures: int(summary.GetFailed()), failedJobs: summary.GetFailedJobs(),
		validUntil: now.Add(tracker.settings.WindowMillis - clock.Millis(max(summary.GetAgeMillis(), 0))),
	}
	if summary.GetFailed() > 0 && (!exists || previous.failures == 0) && len(record.ends) > 0 {
		// Export the ends of this entry too, so that the sender learns how many tasks succeeded here.
		tracker.markChanged(record)
	}
}

// adoptDecision replaces the decision on a worker by the one of another entry.
func (tracker *Tracker) adoptDecision(worker ident.Worker, record *workerRecord, summary *controlpb.WorkerHealth, now clock.Time) {
	record.generation = summary.GetGeneration()
	tracker.markChanged(record)
	if !summary.GetOut() {
		if record.quarantinedUntil != 0 {
			tracker.restore(worker, record, "released by another entry")
		}
		return
	}
	duration := min(max(clock.Millis(summary.GetTermMillis()), tracker.settings.QuarantineMillis), tracker.settings.MaxQuarantineMillis)
	remaining := min(clock.Millis(summary.GetLeftMillis()), duration)
	renewed := record.quarantinedUntil != 0
	record.quarantinedUntil, record.duration, record.reason = now.Add(remaining), duration, summary.GetReason()
	record.clearEvidence()
	tracker.discardFailures(worker, now)
	if renewed && tracker.outOfService.Has(worker) {
		tracker.pending = append(tracker.pending, Action{Kind: Quarantine, Worker: worker, Duration: duration, Reason: record.reason})
	}
}
