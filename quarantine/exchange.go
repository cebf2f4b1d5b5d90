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

// waveTellMillis is how long another entry's word of a platform fault is believed. It covers several
// exchanges.
const waveTellMillis = 30 * clock.Second

// maxToldReason bounds the reason in an exchange, in bytes.
const maxToldReason = 160

// evidence is what another entry told of a worker.
type evidence struct {
	generation                  uint64
	trials, successes, failures int
	ended, failed               int
	jobs                        []uint32
	// until is when the evidence is too old.
	until clock.Time
}

// hashOf returns a short name for exchanges. Two jobs with the same hash count as one.
func hashOf(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum32()
}

func addAll(hashes set.Set[uint32], more []uint32) {
	for _, hash := range more {
		hashes.Add(hash)
	}
}

// told reports whether mostly failures happened on the worker according to other entries.
func (record *workerRecord) told(now clock.Time, percent int) bool {
	failed, ended := 0, 0
	for _, told := range record.remote {
		if now.Before(told.until) {
			failed += told.failed
			ended += told.ended
		}
	}
	return failed > 0 && failed*100 >= ended*percent
}

// toldOf reports whether another entry's evidence is still valid.
func (record *workerRecord) toldOf(now clock.Time) bool {
	for _, told := range record.remote {
		if now.Before(told.until) {
			return true
		}
	}
	return false
}

// waveTold reports whether another entry recently told of a platform fault.
func (tracker *Tracker) waveTold(now clock.Time) bool {
	for entry, at := range tracker.toldWave {
		if now.Sub(at) < waveTellMillis {
			return true
		}
		delete(tracker.toldWave, entry)
	}
	return false
}

// PlatformFault reports whether this entry itself takes the platform to be at fault, to tell others.
func (tracker *Tracker) PlatformFault(now clock.Time) bool {
	return tracker.Wave(now)
}

// Export returns the workers with a decision and up to limit others with failures that changed after
// since, and the change up to which they are complete. During a platform fault failures alone are not
// told, because they would fill every exchange.
func (tracker *Tracker) Export(since uint64, limit int, now clock.Time) (health []*controlpb.WorkerHealth, upTo uint64) {
	tracker.now = max(tracker.now, now)
	var names []ident.Worker
	for worker, record := range tracker.workers {
		if record.change > since {
			names = append(names, worker)
		}
	}
	slices.SortFunc(names, func(left, right ident.Worker) int {
		return cmp.Compare(tracker.workers[left].change, tracker.workers[right].change)
	})
	upTo = tracker.change
	suspects := 0
	for _, worker := range names {
		record := tracker.workers[worker]
		summary := tracker.summary(worker, record, now)
		if summary.Generation == 0 {
			if summary.Ended == 0 || tracker.inWave {
				continue
			}
			if suspects++; suspects > limit {
				upTo = min(upTo, record.change-1)
				continue
			}
		}
		health = append(health, summary)
	}
	return health, upTo
}

func (tracker *Tracker) summary(worker ident.Worker, record *workerRecord, now clock.Time) *controlpb.WorkerHealth {
	jobs, failed, ended, newest := tracker.own(record, now)
	summary := &controlpb.WorkerHealth{
		Worker: string(worker), Generation: record.generation,
		Trials: int32(record.running(now, tracker.settings.WindowMillis)), Successes: int32(record.successes), Failures: int32(record.failures),
		Ended: int32(ended), Failed: int32(failed),
	}
	if record.until != 0 {
		summary.Out, summary.LeftMillis, summary.TermMillis = true, int64(record.until.Sub(now)), int64(record.term)
		summary.Reason = strings.ToValidUTF8(record.reason[:min(len(record.reason), maxToldReason)], "")
	}
	if failed > 0 {
		summary.AgeMillis = int64(now.Sub(newest))
		hashes := set.Sorted(jobs)
		summary.FailedJobs = hashes[:min(len(hashes), tracker.settings.DistinctJobs)]
	}
	return summary
}

// Import takes what another entry told. A newer decision replaces the own one; of two decisions with
// the same number the quarantine counts. Evidence gathered before the newest decision is dropped.
func (tracker *Tracker) Import(from ident.Entry, health []*controlpb.WorkerHealth, platformFault bool, now clock.Time) {
	tracker.now = max(tracker.now, now)
	if platformFault {
		tracker.toldWave[from] = now
	} else {
		delete(tracker.toldWave, from)
	}
	if len(health) == 0 {
		return
	}
	for _, told := range health {
		tracker.take(from, told, now)
	}
	tracker.limitOut()
	wave := tracker.wave(now)
	for _, told := range health {
		worker := ident.Worker(told.GetWorker())
		record := tracker.workers[worker]
		if record == nil || record.absent {
			continue
		}
		reason := "told by entry " + string(from)
		if record.onProbation(now) {
			tracker.judgeProbation(worker, record, reason, wave, now)
		} else if told.GetFailed() > 0 {
			tracker.judgeEvidence("", worker, record, reason, wave, now)
		}
	}
}

func (tracker *Tracker) take(from ident.Entry, told *controlpb.WorkerHealth, now clock.Time) {
	worker := ident.Worker(told.GetWorker())
	if worker == "" {
		return
	}
	record := tracker.workers[worker]
	if record == nil {
		record = &workerRecord{trials: make(map[ident.Task]clock.Time), absent: true, absentAt: now}
		tracker.workers[worker] = record
	}
	if told.GetGeneration() > record.generation || told.GetGeneration() == record.generation && told.GetOut() && record.until == 0 {
		tracker.adopt(worker, record, told, now)
	}
	if told.GetGeneration() < record.generation {
		return
	}
	if record.remote == nil {
		record.remote = make(map[ident.Entry]evidence)
	}
	known, have := record.remote[from]
	record.remote[from] = evidence{
		generation: told.GetGeneration(), trials: int(told.GetTrials()), successes: int(told.GetSuccesses()), failures: int(told.GetFailures()),
		ended: int(told.GetEnded()), failed: int(told.GetFailed()), jobs: told.GetFailedJobs(),
		until: now.Add(tracker.settings.WindowMillis - clock.Millis(max(told.GetAgeMillis(), 0))),
	}
	if told.GetFailed() > 0 && (!have || known.failed == 0) && len(record.ends) > 0 {
		// The others learn how many tasks succeeded here.
		tracker.changed(record)
	}
}

// adopt takes over another entry's decision.
func (tracker *Tracker) adopt(worker ident.Worker, record *workerRecord, told *controlpb.WorkerHealth, now clock.Time) {
	record.generation = told.GetGeneration()
	tracker.changed(record)
	if !told.GetOut() {
		if record.until != 0 {
			tracker.restore(worker, record, "released by another entry")
		}
		return
	}
	term := min(max(clock.Millis(told.GetTermMillis()), tracker.settings.QuarantineMillis), tracker.settings.MaxQuarantineMillis)
	left := min(clock.Millis(told.GetLeftMillis()), term)
	renewed := record.until != 0
	record.until, record.term, record.reason = now.Add(left), term, told.GetReason()
	record.reset()
	tracker.acquit(worker, now)
	if renewed && tracker.out.Has(worker) {
		tracker.pending = append(tracker.pending, Action{Kind: Quarantine, Worker: worker, TermMillis: term, Reason: record.reason})
	}
}
