package entry

import (
	"hyssopjunction/clock"
	"hyssopjunction/estimate"
	"hyssopjunction/ident"
	"hyssopjunction/interference"
	"hyssopjunction/placement"
	"hyssopjunction/quarantine"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// plannedLoad is the load, in percent of a worker's processors, at which interference is predicted
// for a placement.
const plannedLoad = 80

// learned holds what the entry learns about sizes, interference and faults. It belongs to the
// control goroutine.
type learned struct {
	sizes    *estimate.Model
	pairs    *interference.Model
	health   *quarantine.Tracker
	governor *interference.Governor
	// startBatch is whether the preset in force lets ordinary work start.
	startBatch bool
}

func newLearned() *learned {
	pairs := interference.New(interference.Defaults())
	return &learned{
		sizes:      estimate.New(estimate.Defaults()),
		pairs:      pairs,
		health:     quarantine.New(quarantine.Defaults()),
		governor:   interference.NewGovernor(interference.Omaruru(), pairs),
		startBatch: true,
	}
}

// Slowdown predicts the slowdown of a class beside residents in percent.
func (learned *learned) Slowdown(class string, residents []string) int {
	return learned.pairs.At(plannedLoad).Slowdown(class, residents)
}

// Admit refuses ordinary work while the preset in force does not let it start.
func (learned *learned) Admit(_ ident.Team, _ unit.Resources, urgent bool) (reason string, ok bool) {
	if !urgent && !learned.startBatch {
		return "the preset in force starts no ordinary work", false
	}
	return "", true
}

// started records confirmed starts as evidence about the worker.
func (learned *learned) started(on ident.Worker, results []placement.StartResult, now clock.Time) {
	for _, result := range results {
		if result.OK {
			learned.health.Started(result.Task, on, now)
		}
	}
}

// taskEnded records an end as evidence about the worker and the job.
func (learned *learned) taskEnded(on ident.Worker, status worker.Status, now clock.Time) {
	switch status.State {
	case worker.Finished:
		learned.health.Succeeded(status.Task, on, now)
	case worker.Failed:
		learned.health.Failed(status.Task, on, status.Reason, now)
	case worker.Stopped:
		learned.health.Stopped(status.Task, on)
	}
}
