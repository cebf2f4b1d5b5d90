package scheduler

import (
	"fmt"

	"hyssopjunction/blame"
	"hyssopjunction/clock"
	"hyssopjunction/explanation"
	"hyssopjunction/set"
	"hyssopjunction/workflow"
)

// blockedShare is the share of the workers, one in so many, that may be blocked because of crashes without explanation.
const blockedShare = 4

// CrashEventKind is what was decided about a task after a crash.
type CrashEventKind string

// Kinds of decisions about tasks after crashes.
const (
	// CrashSuspected: the task may have caused a crash.
	CrashSuspected CrashEventKind = "Suspected"
	// CrashTried: a suspect was started where nothing else starts at about the same time.
	CrashTried CrashEventKind = "Tried"
	// CrashCleared: a run of the task finished, or was active for longer than before a crash.
	CrashCleared CrashEventKind = "Cleared"
	// CrashGivenUp: the task crashes its workers, so its job has failed.
	CrashGivenUp CrashEventKind = "GivenUp"
)

// CrashEventKinds holds all kinds.
var CrashEventKinds = []CrashEventKind{CrashSuspected, CrashTried, CrashCleared, CrashGivenUp}

// CrashEvent is a decision about a task after a crash. Worker is the one that crashed or, for CrashTried, the one of the trial.
type CrashEvent struct {
	Kind    CrashEventKind
	Name    workflow.Name
	Run     workflow.Run
	Worker  Incarnation
	Age     clock.Millis
	Alone   bool
	Crashes int
	Verdict blame.Verdict
	// AtRisk is the work on the worker of a trial that a crash would cost, in core milliseconds.
	AtRisk float64
}

// crashState is the scheduler's state about crashes. What counts against tasks is stored with their jobs.
type crashState struct {
	ledger *blame.Ledger
	// jobs holds the open jobs with tasks that may have caused a crash.
	jobs   map[workflow.ID]*jobRecord
	trials trialState
	events []CrashEvent
}

func newCrashState() crashState {
	return crashState{ledger: blame.NewLedger(), jobs: map[workflow.ID]*jobRecord{}, trials: newTrialState()}
}

// RecordCrash records that a worker's process ended at a time, and the runs that it had started. It must be called before
// the ends of these runs are recorded, or else their tasks may be placed before the crash counts. A crash may be reported
// again, also to a later leader and after the runs have ended.
func (scheduler *Scheduler) RecordCrash(incarnation Incarnation, at clock.Time, runs []blame.Run, now clock.Time) {
	crash := blame.Crash{Worker: string(incarnation), At: at, Runs: runs}
	if worker, ok := scheduler.workers[incarnation]; ok {
		crash.DataCentre = string(worker.DataCentre)
	}
	evidence, sharing := scheduler.crashes.ledger.Record(crash, now)
	for _, id := range set.SortedKeys(scheduler.crashes.jobs) {
		for _, worker := range sharing {
			if scheduler.crashes.jobs[id].job.ShareCrash(worker) {
				scheduler.dirtyJobs[id] = scheduler.crashes.jobs[id]
			}
		}
	}
	scheduler.addEvidence(evidence, now)
}

// addEvidence records crashes in the jobs of the tasks that may have caused them.
func (scheduler *Scheduler) addEvidence(evidence []workflow.Crash, now clock.Time) {
	for _, crash := range evidence {
		record, ok := scheduler.open[crash.Name.Job]
		if !ok {
			continue
		}
		if earlier := record.job.CrashesOf(crash.Name); len(earlier) > 0 && crash.Age >= blame.Survival(earlier) {
			scheduler.clearCrashes(record, crash.Name, now)
		}
		if task := record.job.Task(crash.Name); task == nil || task.Phase == workflow.Done {
			// Another run of the task finished, so it is not the cause.
			scheduler.addEvidence(scheduler.crashes.ledger.Exonerate(crash.Worker, crash.Name, now), now)
			continue
		}
		if !record.job.RecordCrash(crash) {
			continue
		}
		scheduler.dirty = true
		scheduler.dirtyJobs[crash.Name.Job], scheduler.crashes.jobs[crash.Name.Job] = record, record
		record.crashedAt = now
		record.recordDecision(explanation.Suspected, fmt.Sprintf("%s on %s", crash.Name, crash.Worker), now)
		scheduler.addCrashEvent(CrashSuspected, record, crash, now)
	}
}

// adoptCrashes adds the crashes to the ledger that an earlier leader stored with a job.
func (scheduler *Scheduler) adoptCrashes(record *jobRecord, now clock.Time) {
	record.crashedAt = now
	for _, crash := range record.job.Crashes {
		scheduler.crashes.ledger.AddSuspect(crash, now)
	}
}

// clearCrashes records that a task did not cause the crashes that it was suspected of. Other tasks may become suspects.
func (scheduler *Scheduler) clearCrashes(record *jobRecord, name workflow.Name, now clock.Time) {
	cleared := record.job.ClearCrashes(name)
	if len(cleared) == 0 {
		return
	}
	scheduler.dirty = true
	scheduler.dirtyJobs[name.Job] = record
	if len(record.job.Crashes) == 0 {
		delete(scheduler.crashes.jobs, name.Job)
	}
	for _, crash := range cleared {
		scheduler.addCrashEvent(CrashCleared, record, crash, now)
		scheduler.addEvidence(scheduler.crashes.ledger.Exonerate(crash.Worker, crash.Name, now), now)
	}
}

// clearSurvivor clears the task of a listed run that has been active for long enough.
func (scheduler *Scheduler) clearSurvivor(run *activeRun, now clock.Time) {
	record, ok := scheduler.crashes.jobs[run.name.Job]
	if !ok {
		return
	}
	crashes := record.job.CrashesOf(run.name)
	if len(crashes) > 0 && now.Sub(run.listedAt) >= blame.Survival(crashes) {
		scheduler.clearCrashes(record, run.name, now)
	}
}

// giveUpCulprits fails the jobs of tasks that crash their workers.
func (scheduler *Scheduler) giveUpCulprits(now clock.Time) {
	for _, id := range set.SortedKeys(scheduler.crashes.jobs) {
		record, ok := scheduler.crashes.jobs[id]
		if !ok {
			continue // It was cleared when another job was given up.
		}
		if record.job.State.Final() {
			delete(scheduler.crashes.jobs, id)
			continue
		}
		if record.crashedAt == 0 {
			scheduler.adoptCrashes(record, now)
		}
		if now.Sub(record.crashedAt) < blame.SettleTime {
			continue
		}
		for _, crash := range record.job.Crashes {
			if crashes := record.job.CrashesOf(crash.Name); scheduler.assess(record, crash.Name, now) == blame.Culprit {
				scheduler.giveUp(record, crashes, now)
				break
			}
		}
	}
}

// giveUp fails the job of a task that caused the crashes, and drops the suspicion against tasks that have no other one.
func (scheduler *Scheduler) giveUp(record *jobRecord, crashes []workflow.Crash, now clock.Time) {
	id := record.job.Spec.ID
	last := crashes[len(crashes)-1]
	record.recordDecision(explanation.GivenUp, fmt.Sprintf("%s after %d crashes", last.Name, len(crashes)), now)
	scheduler.addCrashEvent(CrashGivenUp, record, last, now)
	record.job.GiveUp()
	delete(scheduler.crashes.jobs, id)
	scheduler.closeJob(record)
	for _, crash := range crashes {
		scheduler.crashes.ledger.Explain(crash.Worker)
		for other, suspect := range scheduler.crashes.jobs {
			if suspect.job.RemoveCrash(crash.Worker) {
				scheduler.dirtyJobs[other] = suspect
			}
			if len(suspect.job.Crashes) == 0 {
				delete(scheduler.crashes.jobs, other)
			}
		}
	}
	scheduler.dirty = true
}

// blockNodes keeps workers from new runs whose node crashes without a task that causes it, but at most one in blockedShare.
func (scheduler *Scheduler) blockNodes(now clock.Time) {
	if !scheduler.crashes.ledger.HasUnexplained() {
		return
	}
	left := len(scheduler.workers) / blockedShare
	for _, incarnation := range scheduler.sortedWorkers() {
		worker := scheduler.workers[incarnation]
		worker.blockedUntil = 0
		if until := scheduler.crashes.ledger.BlockedUntil(incarnation.Node()); now.Before(until) && left > 0 {
			worker.blockedUntil = until
			left--
		}
	}
}

// assess returns the verdict on a task.
func (scheduler *Scheduler) assess(record *jobRecord, name workflow.Name, now clock.Time) blame.Verdict {
	if len(record.job.Crashes) == 0 {
		return blame.Clear
	}
	return blame.Assess(record.job.CrashesOf(name), scheduler.crashes.ledger.WorkersCrash(now))
}

func (scheduler *Scheduler) addCrashEvent(kind CrashEventKind, record *jobRecord, crash workflow.Crash, now clock.Time) {
	crashes := record.job.CrashesOf(crash.Name)
	scheduler.crashes.events = append(scheduler.crashes.events, CrashEvent{
		Kind: kind, Name: crash.Name, Run: crash.Run, Worker: Incarnation(crash.Worker), Age: crash.Age, Alone: crash.Alone,
		Crashes: len(crashes), Verdict: scheduler.assess(record, crash.Name, now),
	})
}

// TakeCrashEvents returns and resets the decisions about tasks after crashes since the last call.
func (scheduler *Scheduler) TakeCrashEvents() []CrashEvent {
	events := scheduler.crashes.events
	scheduler.crashes.events = nil
	return events
}
