package scheduler

import (
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Incarnation names one life of a worker. Nothing survives from one to the next.
type Incarnation string

// Profile is what an agent reports about its worker.
type Profile struct {
	Incarnation Incarnation
	// Node names the agent. A node has one worker at a time.
	Node       string
	Service    workflow.Service
	DataCentre ident.DataCentre
	// Labels holds the kind of the worker and its rack.
	Labels   []string
	Capacity unit.Resources
	// Draining workers get no new tasks.
	Draining bool
}

// worker is the scheduler's view of one incarnation.
type worker struct {
	Profile
	// reachable workers accept orders.
	reachable bool
	runs      map[workflow.Name]*run
	reserved  unit.Resources
	// filling is the processor time that filling tasks ask for.
	filling unit.MilliCPU
	// serving is the processor time reserved by standing tasks.
	serving unit.MilliCPU
	health  health
	// refusesUntil is the end of the pause after a refused start.
	refusesUntil clock.Time
}

// run is an active run in the book.
type run struct {
	name     workflow.Name
	number   workflow.Run
	job      *workflow.Job
	step     *workflow.Step
	worker   *worker
	placedAt clock.Time
	stopping bool
	// percent is the last reported progress, and movedAt the time at which it last changed.
	percent int
	movedAt clock.Time
	// figure is the tail latency of a serving run in milliseconds, or the processor time that any other
	// run uses, as listed at figureAt.
	figure   int64
	figureAt clock.Time
	// base is the logarithm of the share of its target that the tail of a serving run reached lately
	// without the filling runs beside it.
	base   float64
	baseAt clock.Time
	// slowed is by how many percent the agent slows the run down.
	slowed int
	// crawlingSince is when a filling run began to be slowed down much, or 0.
	crawlingSince clock.Time
}

func (target *worker) add(active *run) {
	target.runs[active.name] = active
	target.reserved = target.reserved.Add(active.step.Reserved())
	if active.step.Fills {
		target.filling += active.step.Need.CPU
	}
	if active.step.Standing {
		target.serving += active.step.Need.CPU
	}
}

func (target *worker) remove(active *run) {
	delete(target.runs, active.name)
	target.reserved = target.reserved.Sub(active.step.Reserved())
	if active.step.Fills {
		target.filling -= active.step.Need.CPU
	}
	if active.step.Standing {
		target.serving -= active.step.Need.CPU
	}
}

// count returns the active runs of a step of one occurrence.
func (target *worker) count(name workflow.Name) int {
	count := 0
	for other := range target.runs {
		if other.Job == name.Job && other.Occurrence == name.Occurrence && other.Step == name.Step {
			count++
		}
	}
	return count
}

// idle estimates the processor time that reserved tasks leave to filling ones.
func (target *worker) idle() unit.MilliCPU {
	used := target.reserved.CPU - target.serving*(100-servingLoadPercent)/100
	return target.Capacity.CPU - used
}

func (target *worker) admits(step *workflow.Step, extra unit.Resources) bool {
	return target.reserved.Add(extra).Add(step.Reserved()).FitsIn(target.Capacity)
}

func (target *worker) suits(step *workflow.Step, service workflow.Service) bool {
	return target.reachable && !target.Draining && target.Service == service &&
		(step.Label == "" || slices.Contains(target.Labels, step.Label))
}
