package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/mechanism"
	"hyssopjunction/workflow"
)

// Parameters of the order of candidates.
const (
	// worthlessFactor times the objective is the age from which finishing a job has no value.
	worthlessFactor = 3
	// minFillingSpeed is the share of its full speed that a filling task must be expected to reach on a worker. Tasks
	// that would be slower wait: while filling tasks request more cores than there are, more jobs meet their objective
	// if fewer of them run at a time.
	minFillingSpeed = 0.9
	// firstLateSpeed is that share for a job that has just become late, and minLateSpeed for one that is late by its objective
	// or more. It falls evenly between, so that no late job waits for good for a worker on which it would be fast. Jobs that
	// are worth nothing more ask for as little only while no others wait, because they would take room from jobs that are.
	firstLateSpeed = 0.75
	minLateSpeed   = 0.25
)

// candidate is a step of an occurrence that has waiting tasks.
type candidate struct {
	record     *jobRecord
	occurrence *workflow.Occurrence
	step       int
	rank       int
	// latestStart is the last time at which the remaining steps can start to meet the job's objective.
	latestStart clock.Time
	// remainingWork is that of the occurrence in thousandths of a core times milliseconds. It is set only
	// for filling tasks, of which those with less remaining work come first, also among those that are late.
	remainingWork int64
	indices       []int
	// minSpeed is the share of its full speed that a filling task must be expected to reach on a worker.
	minSpeed float64
}

// Ranks of candidates, in the order in which they are placed.
const (
	rankQuick = iota
	rankStanding
	rankFilling
	rankLate
	rankWorthless
)

// candidates returns the steps with waiting tasks in the order in which they are placed. It also updates
// since when each job has a waiting standing task.
func (scheduler *Scheduler) candidates(now clock.Time) []candidate {
	var list []candidate
	capacity := scheduler.fillingCapacity(now)
	for id, record := range scheduler.open {
		scheduler.considered = id
		standing := false
		for _, occurrence := range record.job.Occurrences {
			for step := range occurrence.Steps {
				if occurrence.Unfinished(step) == 0 || !record.job.Ready(occurrence, step) {
					continue
				}
				var indices []int
				for index, task := range occurrence.Steps[step] {
					name := workflow.Name{Job: id, Occurrence: occurrence.Number, Step: step, Index: index}
					if task.Phase == workflow.Waiting && (!scheduler.uses(mechanism.RestartDelays) || !record.isDelayed(name, now)) {
						indices = append(indices, index)
					}
				}
				if len(indices) > 0 {
					standing = standing || record.job.Spec.Steps[step].Standing
					list = append(list, scheduler.newCandidate(record, occurrence, step, indices, capacity, now))
				}
			}
		}
		switch {
		case !standing:
			record.standingWaitSince = 0
		case record.standingWaitSince == 0:
			record.standingWaitSince = now
		}
	}
	scheduler.considered = ""
	slices.SortFunc(list, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.remainingWork, right.remainingWork), cmp.Compare(left.latestStart, right.latestStart),
			strings.Compare(string(left.record.job.Spec.ID), string(right.record.job.Spec.ID)), cmp.Compare(left.step, right.step))
	})
	return list
}

// newCandidate returns a candidate with the rank that follows from its step and from its job's objective.
func (scheduler *Scheduler) newCandidate(record *jobRecord, occurrence *workflow.Occurrence, step int, indices []int, capacity coresByImage, now clock.Time) candidate {
	spec := &record.job.Spec
	acceptedAt := record.acceptedAt
	objective, times := scheduler.objective(record), scheduler.taskTimesOf(record)
	latestStart := acceptedAt.Add(objective - scheduler.remainingPath(record, occurrence, capacity))
	candidate := candidate{record: record, occurrence: occurrence, step: step, indices: indices, latestStart: latestStart, minSpeed: minFillingSpeed}
	switch stepSpec := spec.Steps[step]; {
	case stepSpec.Standing:
		candidate.rank = rankStanding
	case !stepSpec.Fills && spec.Policy.Priority == 0:
		candidate.rank = rankQuick
	case spec.Repetitions > 0 || !now.After(latestStart):
		candidate.rank, candidate.remainingWork = rankFilling, record.job.RemainingWork(occurrence, times)
	case now.Sub(acceptedAt) < worthlessFactor*objective:
		candidate.rank, candidate.remainingWork = rankLate, record.job.RemainingWork(occurrence, times)
		candidate.minSpeed = lateSpeed(now.Sub(latestStart), objective)
	default:
		candidate.rank = rankWorthless
	}
	if !scheduler.uses(mechanism.SpeedThreshold) {
		candidate.minSpeed = minLateSpeed
	}
	return candidate
}

// lateSpeed returns the share of its full speed that a filling task must be expected to reach if its job is late by the
// given time.
func lateSpeed(late, objective clock.Millis) float64 {
	share := float64(late) / float64(max(1, objective))
	return firstLateSpeed - (firstLateSpeed-minLateSpeed)*min(share, 1)
}
