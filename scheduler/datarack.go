package scheduler

import (
	"slices"

	"hyssopjunction/assignment"
	"hyssopjunction/clock"
	"hyssopjunction/explanation"
	"hyssopjunction/mechanism"
	"hyssopjunction/workflow"
)

// Parameters of waits for the rack that holds a task's data.
const (
	// hotRackTime is for how long a rack counts as hot after a task found no room there: two rounds without an event.
	hotRackTime = 2 * replanInterval
	// minRemaining is the shortest time in which the end of an active run is expected: the learned overhead makes expected
	// ends right on average, so runs past theirs end soon.
	minRemaining = 100 * clock.Millisecond
	// overheadShare is the weight of a new duration in the learned overhead of runs, which follows about 16 runs.
	overheadShare = 1.0 / 16
	// maxOverhead bounds a measured overhead, so that single long tasks hardly change the learned one.
	maxOverhead = clock.Second
)

// dataRacks is what the scheduler knows of racks that hold data. It may be lost: a new leader starts with the overhead 0.
type dataRacks struct {
	// hotUntil holds until when a rack counts as hot.
	hotUntil map[string]clock.Time
	// overhead is by how much longer than its estimate a run takes from its placement until its end is known, in ms.
	overhead float64
	// queues and full are those of the present round. full holds the requirements for which the rack has no room.
	queues map[rackKey]*assignment.RackQueue
	full   map[blockKey]bool
}

// rackKey names the workers of a service on a rack, and whether filling tasks wait for them, which use other cores.
type rackKey struct {
	service workflow.Service
	rack    string
	fills   bool
}

func newDataRacks() dataRacks {
	return dataRacks{hotUntil: map[string]clock.Time{}, queues: map[rackKey]*assignment.RackQueue{}, full: map[blockKey]bool{}}
}

// startRound forgets the queues of the last round, and the racks that are no longer hot: callers choose the names of racks.
func (racks *dataRacks) startRound(now clock.Time) {
	for rack, until := range racks.hotUntil {
		if !now.Before(until) {
			delete(racks.hotUntil, rack)
		}
	}
	clear(racks.queues)
	clear(racks.full)
}

// isHot reports whether tasks wait for the worker's rack, or run elsewhere because it has no room.
func (racks *dataRacks) isHot(worker *workerState, now clock.Time) bool {
	for _, label := range worker.Labels {
		if until, ok := racks.hotUntil[label]; ok && now.Before(until) {
			return true
		}
	}
	return false
}

// chooseOrWait returns the worker for a task, or reports that the task waits for the rack that holds its data because it
// is expected to end sooner there.
func (scheduler *Scheduler) chooseOrWait(candidate candidate, step *workflow.Step, name workflow.Name, key blockKey, now clock.Time) (chosen *workerState, waits bool) {
	full := step.DataRack != "" && !step.Standing && scheduler.racks.full[key]
	if full && scheduler.waitsForRack(candidate.record, step, name, candidate.latestStart, now) {
		return nil, true
	}
	chosen = scheduler.chooseWorker(candidate.record, step, name, key.starved, candidate.minSpeed, now)
	if step.DataRack == "" || step.Standing || chosen != nil && !isRemote(step, chosen) {
		return chosen, false
	}
	scheduler.racks.hotUntil[step.DataRack] = now.Add(hotRackTime)
	scheduler.assignments.hotRacks.Add(step.DataRack)
	if !full {
		scheduler.racks.full[key] = true
		if chosen != nil && scheduler.waitsForRack(candidate.record, step, name, candidate.latestStart, now) {
			return nil, true
		}
	}
	if chosen != nil {
		scheduler.assignments.RemoteRuns++
	}
	return chosen, false
}

// waitsForRack reports whether a task without room on its data's rack ends sooner if it waits for it. A task that waits
// joins the rack's queue.
func (scheduler *Scheduler) waitsForRack(record *jobRecord, step *workflow.Step, name workflow.Name, latestStart, now clock.Time) bool {
	if !scheduler.uses(mechanism.RackWaits) {
		return false
	}
	queue := scheduler.rackQueue(rackKey{service: record.job.Spec.Service, rack: step.DataRack, fills: step.Fills}, now)
	start, ok := queue.NextStart(step.Need.CPU)
	if !ok {
		return false
	}
	since, waited := record.rackWaits[name]
	if !waited {
		since = now
	}
	if !scheduler.bounds.WaitsForRack(assignment.DataTask{Estimate: step.Estimate, Waited: now.Sub(since), LatestStart: latestStart}, start, now) {
		return false
	}
	scheduler.assignments.LongestRackWait = max(scheduler.assignments.LongestRackWait, start.Sub(since))
	queue.Join(step.Need.CPU, step.Estimate+clock.Millis(scheduler.racks.overhead))
	if !waited {
		scheduler.assignments.RackWaits++
		if record.rackWaits == nil {
			record.rackWaits = map[workflow.Name]clock.Time{}
		}
		record.rackWaits[name] = now
		record.recordDecision(explanation.RackWait, "last for rack "+step.DataRack, now)
	}
	return true
}

// rackQueue returns the queue of the present round for a rack, which begins with the ends of the active runs there.
func (scheduler *Scheduler) rackQueue(key rackKey, now clock.Time) *assignment.RackQueue {
	queue, ok := scheduler.racks.queues[key]
	if !ok {
		var active []assignment.Ending
		for _, worker := range scheduler.workers {
			if worker.Service != key.service || !worker.reachable || worker.Draining || !slices.Contains(worker.Labels, key.rack) {
				continue
			}
			for _, run := range worker.runs {
				if !run.step.Standing && run.step.Fills == key.fills {
					active = append(active, assignment.Ending{At: scheduler.expectedEnd(run, now), CPU: run.step.Need.CPU})
				}
			}
		}
		queue = assignment.NewRackQueue(active, now)
		scheduler.racks.queues[key] = queue
	}
	return queue
}

// expectedEnd returns when the end of an active run is expected to be known, from its progress or else from its estimate.
func (scheduler *Scheduler) expectedEnd(run *activeRun, now clock.Time) clock.Time {
	duration := clock.Millis(float64(run.step.Estimate)*scheduler.bounds.DataFactor(isRemote(run.step, run.worker))) + clock.Millis(scheduler.racks.overhead)
	if task := run.job.Task(run.name); run.progressPercent > 0 && run.progressAt.After(run.placedAt) && task != nil && task.Saved == "" {
		duration = max(duration, run.progressAt.Sub(run.placedAt)*100/clock.Millis(run.progressPercent))
	}
	return max(run.placedAt.Add(duration), now.Add(minRemaining))
}

// observeDuration learns from a finished run how much longer than its estimate runs take until their end is known.
func (scheduler *Scheduler) observeDuration(run *activeRun, now clock.Time) {
	if run.step.Fills || run.step.Standing || run.step.Estimate == 0 {
		return
	}
	overhead := now.Sub(run.placedAt) - clock.Millis(float64(run.step.Estimate)*scheduler.bounds.DataFactor(isRemote(run.step, run.worker)))
	scheduler.racks.overhead += overheadShare * (float64(min(max(overhead, 0), maxOverhead)) - scheduler.racks.overhead)
}
