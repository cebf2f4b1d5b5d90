package scheduler

import (
	"fmt"
	"maps"
	"slices"

	"hyssopjunction/assignment"
	"hyssopjunction/clock"
	"hyssopjunction/explanation"
	"hyssopjunction/pacing"
	"hyssopjunction/set"
	"hyssopjunction/speculation"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// decisionJoinTime is the time within which equal decisions about a job count as one: a round places many tasks, and a job has
// a round every 25 ms while its tasks end.
const decisionJoinTime = 500 * clock.Millisecond

// jobDecision is a decision about a job, kept for its explanation.
type jobDecision struct {
	explanation.Decision
	at clock.Time
}

// recordDecision adds a decision to the latest ones of the job. The detail is that of the last of equal decisions.
func (record *jobRecord) recordDecision(kind explanation.Kind, detail string, now clock.Time) {
	if last := len(record.decisions) - 1; last >= 0 && record.decisions[last].Kind == kind && now.Sub(record.decisions[last].at) < decisionJoinTime {
		record.decisions[last].Count++
		record.decisions[last].Detail, record.decisions[last].at = detail, now
		return
	}
	if len(record.decisions) >= explanation.MaxDecisions {
		record.decisions = slices.Delete(record.decisions, 0, len(record.decisions)-explanation.MaxDecisions+1)
	}
	record.decisions = append(record.decisions, jobDecision{explanation.Decision{Kind: kind, Count: 1, Detail: detail}, now})
}

// Explain explains an open job, or returns false if there is none with the id. Its cost is that of a round of placement.
func (scheduler *Scheduler) Explain(id workflow.ID, now clock.Time) (explanation.Job, bool) {
	record, ok := scheduler.open[id]
	if !ok {
		return explanation.Job{}, false
	}
	capacity := scheduler.fillingCapacity(now)
	job := explanation.Job{
		ID: id, Queue: record.job.Spec.Queue, State: record.job.State,
		Age: now.Sub(record.acceptedAt), Objective: scheduler.objective(record),
	}
	job.ExpectedEnd = job.Age
	for _, occurrence := range record.job.Occurrences {
		job.ExpectedEnd = max(job.ExpectedEnd, job.Age+scheduler.remainingPath(record, occurrence, capacity))
		for step := range occurrence.Steps {
			if occurrence.Unfinished(step) > 0 && job.Rank == "" {
				job.Rank = rankName(scheduler.newCandidate(record, occurrence, step, nil, capacity, now).rank)
			}
		}
	}
	job.Waiting = scheduler.explainWaiting(record, now)
	job.RunCount, job.Runs = scheduler.explainRuns(record, now)
	for _, name := range slices.SortedFunc(maps.Keys(record.moves), compareNames) {
		for _, departure := range record.moves[name] {
			if len(job.Moves) < explanation.MaxMoves {
				job.Moves = append(job.Moves, explanation.Move{Task: name.String(), From: departure.Worker, Age: now.Sub(departure.At)})
			}
		}
	}
	for _, decision := range record.decisions {
		decision.Age = now.Sub(decision.at)
		job.Decisions = append(job.Decisions, decision.Decision)
	}
	return job, true
}

// rankName returns the name of a rank of candidates.
func rankName(rank int) string {
	switch rank {
	case rankQuick:
		return "quick"
	case rankStanding:
		return "standing"
	case rankFilling:
		return "filling"
	case rankLate:
		return "late"
	case rankWorthless:
		return "worthless"
	default:
		return fmt.Sprintf("rank %d", rank)
	}
}

// explainRuns returns the number of the job's active runs and the description of the first of them. Both runs of a copied
// task are among them; Copy is to be set here.
func (scheduler *Scheduler) explainRuns(record *jobRecord, now clock.Time) (int, []explanation.Run) {
	runs := slices.SortedFunc(maps.Keys(record.runs), func(left, right *activeRun) int {
		return compareNames(left.name, right.name)
	})
	var list []explanation.Run
	for _, run := range runs[:min(len(runs), explanation.MaxRuns)] {
		item := explanation.Run{
			Task: run.name.String(), Run: run.number, Pace: -1, Percent: run.progressPercent,
			Age: now.Sub(run.placedAt), Stopping: run.stopping,
		}
		_, item.Copy = scheduler.copies.placed[speculation.Key{Name: run.name, Run: run.number}]
		if run.worker != nil {
			item.Worker = string(run.worker.Incarnation)
		}
		if run.pace.reportedAt != 0 {
			item.Pace, item.ReportAge = pacing.FullPace-run.pace.throttlePercent, now.Sub(run.pace.reportedAt)
		}
		list = append(list, item)
	}
	return len(runs), list
}

// explainWaiting returns why tasks of the job have no run.
func (scheduler *Scheduler) explainWaiting(record *jobRecord, now clock.Time) []explanation.Waiting {
	var list []explanation.Waiting
	for position, candidate := range scheduler.candidates(now) {
		if candidate.record != record {
			continue
		}
		list = append(list, explanation.Waiting{
			Occurrence: candidate.occurrence.Number, Step: candidate.step, Tasks: len(candidate.indices), Position: position + 1,
			Reason: scheduler.explainCandidate(candidate, now),
		})
	}
	for _, occurrence := range record.job.Occurrences {
		for step := range occurrence.Steps {
			if unfinished := occurrence.Unfinished(step); unfinished > 0 && !record.job.Ready(occurrence, step) {
				list = append(list, explanation.Waiting{
					Occurrence: occurrence.Number, Step: step, Tasks: unfinished, Reason: fmt.Sprintf("waits for the steps %v", record.job.Spec.Steps[step].After),
				})
			}
		}
	}
	return list
}

// explainCandidate counts the workers by the first obstacle that keeps a task of the step from them.
func (scheduler *Scheduler) explainCandidate(waiting candidate, now clock.Time) string {
	record, step := waiting.record, waiting.spec()
	var round *fillingRound
	var group assignment.Group
	if step.Fills {
		round = scheduler.newFillingRound([]candidate{waiting}, now)
		group, _ = scheduler.groupOf(step, waiting.minSpeed)
	}
	counts := map[string]int{}
	for _, worker := range scheduler.workers {
		if worker.Service != record.job.Spec.Service {
			continue
		}
		obstacle := scheduler.obstacle(worker, step, now)
		if obstacle == "" && round != nil {
			obstacle = round.obstacle(worker, group, record.failuresByWorker[worker.Incarnation])
		}
		if obstacle == "" {
			obstacle = "may take a task in the next round"
		}
		counts[obstacle]++
	}
	reason := ""
	for _, obstacle := range set.SortedKeys(counts) {
		if reason != "" {
			reason += "; "
		}
		reason += fmt.Sprintf("%d workers: %s", counts[obstacle], obstacle)
	}
	if _, suspects := scheduler.splitSuspects(waiting, now); len(suspects.indices) > 0 {
		reason += fmt.Sprintf("; %d tasks may have crashed a worker and are tried on one where nothing else starts", len(suspects.indices))
	}
	if waits := len(record.rackWaits); waits > 0 {
		reason += fmt.Sprintf("; %d tasks of the job wait for the rack of their data", waits)
	}
	if reason == "" {
		return "the service has no workers"
	}
	return reason
}

// obstacle returns what keeps tasks of the step from a worker of its service, or an empty string.
func (scheduler *Scheduler) obstacle(worker *workerState, step *workflow.Step, now clock.Time) string {
	switch {
	case !worker.reachable || worker.overdue:
		return "do not report"
	case worker.Draining:
		return "drain"
	case scheduler.outDataCentres.Has(worker.DataCentre):
		return "data centre is out"
	case !worker.isInService(now) || !step.Standing && worker.hasTrialRun():
		return "quarantined or refused a start"
	case !worker.acceptsStanding(now):
		return "kept free for the trial of a task that may crash it"
	case step.Label != "" && !slices.Contains(worker.Labels, step.Label):
		return "lack the label " + step.Label
	case !worker.hasRoom(step, unit.Resources{}):
		return "full"
	default:
		return ""
	}
}

// obstacle returns what keeps a group of filling tasks from a worker, or an empty string.
func (round *fillingRound) obstacle(worker *workerState, group assignment.Group, failures int) string {
	position := slices.Index(round.workers, worker)
	if position < 0 {
		return "take no filling tasks now"
	}
	if !round.HasIdleCores(position, group) {
		return "no idle cores"
	}
	if _, ok := round.Value(position, group, 1, failures); !ok {
		return "too slow beside serving tasks"
	}
	return ""
}
