package scheduler

import (
	"slices"
	"strings"

	"hyssopjunction/account"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/pacing"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Incarnation identifies the period between a start of a worker and its end. No run outlives it.
type Incarnation string

// Node returns the node whose agent has the worker, or an empty string if the name of the incarnation has none.
func (incarnation Incarnation) Node() string {
	position := strings.LastIndexByte(string(incarnation), '@')
	if position < 0 {
		return ""
	}
	return string(incarnation[position+1:])
}

// Profile describes a worker, as reported by its agent.
type Profile struct {
	Incarnation Incarnation
	// Node identifies the agent, which has one worker at a time.
	Node       string
	Service    workflow.Service
	DataCentre ident.DataCentre
	// Labels holds the kind of the worker and its rack.
	Labels   []string
	Capacity unit.Resources
	// Draining workers get no new tasks.
	Draining bool
}

// workerState is the scheduler's view of one incarnation.
type workerState struct {
	Profile
	// reachable workers accept orders.
	reachable bool
	// overdue workers get no new runs, because their agent's next report is missing.
	overdue bool
	// unreachableSince is when an unreachable worker was reported or was last reachable.
	unreachableSince clock.Time
	// listedAt is when the active runs of the worker were last reported.
	listedAt clock.Time
	runs     map[workflow.Name]*activeRun
	reserved unit.Resources
	// fillingCPU is the CPU requested by filling tasks, which is not reserved.
	fillingCPU unit.MilliCPU
	// standingCPU is the CPU reserved by standing tasks.
	standingCPU unit.MilliCPU
	// servingImages counts the serving runs by image.
	servingImages map[pacing.Image]int
	// rooms is the result of servingRooms while roomsValid is set.
	rooms      []servingRoom
	roomsValid bool
	health     health
	// speeds holds what is known of the speed of the worker. It may be lost.
	speeds workerSpeeds
	// refusalDelayEnd is the time until which the worker gets no new runs after it refused a start.
	refusalDelayEnd clock.Time
	// lastPlacedAt is when the last run was placed on the worker.
	lastPlacedAt clock.Time
	// isReserved reports that the worker waits for a trial, and trialUntil is when the last trial on it ends.
	isReserved bool
	trialUntil clock.Time
	// blockedUntil is the time until which the worker gets no runs because its node has crashed several times without a task
	// that caused it.
	blockedUntil clock.Time
}

// activeRun is a run that has not ended. Its resources are reserved on its worker.
type activeRun struct {
	name     workflow.Name
	number   workflow.Run
	job      *workflow.Job
	step     *workflow.Step
	worker   *workerState
	placedAt clock.Time
	stopping bool
	// isCopy reports that the task had another run when this one was placed.
	isCopy  bool
	account account.Run
	// savedAs is the checkpoint in the last report.
	savedAs workflow.Checkpoint
	// restored reports that an earlier leader placed the run, at a time that is not known.
	restored bool
	// observedAt is the time from which the duration of a run counts whose task may have two, or 0 before it is considered.
	observedAt clock.Time
	// copyTriedAt is when a worker for a copy of the run was last sought, and copiedAt when the last copy was placed.
	copyTriedAt clock.Time
	copiedAt    clock.Time
	// listedAt is when the run was first listed to this leader, or 0.
	listedAt clock.Time
	// progressPercent is the last reported progress, and progressAt the time at which it last changed.
	progressPercent int
	progressAt      clock.Time
	// sample is the tail latency of a serving run in milliseconds, or the CPU usage of any other run in
	// thousandths of a core, as reported at sampledAt.
	sample    int64
	sampledAt clock.Time
	// baseline is the tail latency that a serving run would have without filling runs on its worker.
	baseline pacing.Baseline
	// throttledSince is the time since which the run is throttled to less than slowPercent, or 0.
	throttledSince clock.Time
	// course is what reports tell of the run's speed.
	course runCourse
	pace   runPace
	// usage is what the samples of a filling run tell of its usage at full pace.
	usage pacing.Usage
	// timed reports that the run's task time was recorded.
	timed bool
}

// isNeeded reports whether the run counts for its job: the job is not final and the task not done.
func (run *activeRun) isNeeded() bool {
	return !run.job.State.Final() && run.job.HasRun(run.name, run.number)
}

func newWorkerState() *workerState {
	return &workerState{runs: map[workflow.Name]*activeRun{}, servingImages: map[pacing.Image]int{}}
}

func (worker *workerState) add(run *activeRun) {
	worker.roomsValid = false
	if run.step.Target > 0 {
		worker.servingImages[pacing.Image(run.step.Image)]++
	}
	worker.runs[run.name] = run
	worker.reserved = worker.reserved.Add(run.step.Reserved())
	if run.step.Fills {
		worker.fillingCPU += run.step.Need.CPU
	}
	if run.step.Standing {
		worker.standingCPU += run.step.Need.CPU
	}
}

func (worker *workerState) remove(run *activeRun) {
	delete(worker.runs, run.name)
	worker.roomsValid = false
	if image := pacing.Image(run.step.Image); run.step.Target > 0 {
		if worker.servingImages[image]--; worker.servingImages[image] == 0 {
			delete(worker.servingImages, image)
		}
	}
	worker.reserved = worker.reserved.Sub(run.step.Reserved())
	if run.step.Fills {
		worker.fillingCPU -= run.step.Need.CPU
	}
	if run.step.Standing {
		worker.standingCPU -= run.step.Need.CPU
	}
}

// rack returns the rack of the worker, the last of its labels, or an empty string.
func (worker *workerState) rack() string {
	if len(worker.Labels) == 0 {
		return ""
	}
	return worker.Labels[len(worker.Labels)-1]
}

// stepRuns returns the number of active runs on the worker that belong to the same step and occurrence as
// the named task.
func (worker *workerState) stepRuns(name workflow.Name) int {
	count := 0
	for other := range worker.runs {
		if other.Job == name.Job && other.Occurrence == name.Occurrence && other.Step == name.Step {
			count++
		}
	}
	return count
}

// idleCPU estimates how much CPU the tasks with reservations leave unused.
func (worker *workerState) idleCPU() unit.MilliCPU {
	usedCPU := worker.reserved.CPU - worker.standingCPU*(100-servingLoadPercent)/100
	return worker.Capacity.CPU - usedCPU
}

// hasRoom reports whether a task of the step fits on the worker with the headroom left free.
func (worker *workerState) hasRoom(step *workflow.Step, headroom unit.Resources) bool {
	return worker.reserved.Add(headroom).Add(step.Reserved()).FitsIn(worker.Capacity)
}

// isEligible reports whether the worker may get tasks of the service and has the label that the step requires.
func (worker *workerState) isEligible(step *workflow.Step, service workflow.Service) bool {
	return worker.reachable && !worker.overdue && !worker.Draining && worker.Service == service &&
		(step.Label == "" || slices.Contains(worker.Labels, step.Label))
}
