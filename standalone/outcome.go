package standalone

import (
	"fmt"
	"io"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/worker"
)

// Outcome is the result of a run, counted from what callers received and from what endpoints and
// workers recorded. No counter of the scheduler is used.
type Outcome struct {
	// RequestsDone, RequestsNotRun and RequestsUnknown count callers' requests by their outcome.
	RequestsDone    int
	RequestsNotRun  int
	RequestsUnknown int
	// Replayed counts repeated keys that received the first answer.
	Replayed      int
	TasksFinished int
	// TasksUnfinished counts submitted tasks without a finished run.
	TasksUnfinished int
	// Evictions counts runs that were stopped before their end, Resumes runs that continued from a
	// checkpoint.
	Evictions int
	Resumes   int
	// Lost counts requests reported as run that no endpoint executed, unfinished tasks, and runs that
	// started behind a saved checkpoint.
	Lost int
	// Duplicated counts submissions that ran twice, requests reported as not run that ran, and tasks
	// that ran in two places or again after their end.
	Duplicated int
	// Crossed counts answers that belong to another request.
	Crossed int
	// LimitsExceeded counts starts above a worker's capacity and requests above an endpoint's slots
	// or connections.
	LimitsExceeded int
	// Details describes the first violations that the workers recorded.
	Details       []string `json:",omitempty"`
	ElapsedMillis clock.Millis
}

// Clean reports whether nothing was lost, duplicated or above a limit.
func (counted Outcome) Clean() bool {
	return counted.Lost == 0 && counted.Duplicated == 0 && counted.Crossed == 0 && counted.LimitsExceeded == 0
}

// Print writes the result for people.
func (counted Outcome) Print(out io.Writer) error {
	_, err := fmt.Fprintf(out, `Requests   done %d, not run %d, unknown %d, answered from the first run %d
Tasks      finished %d, unfinished %d, evictions %d, resumes %d
Lost       %d
Duplicated %d
Crossed    %d
Limits     exceeded %d
Elapsed    %s
`, counted.RequestsDone, counted.RequestsNotRun, counted.RequestsUnknown, counted.Replayed,
		counted.TasksFinished, counted.TasksUnfinished, counted.Evictions, counted.Resumes,
		counted.Lost, counted.Duplicated, counted.Crossed, counted.LimitsExceeded, counted.ElapsedMillis)
	return err
}

// Result is what a caller knows of one of its requests.
type Result struct {
	// Request is the id that the answer carries, Key the caller's key of a keyed submission.
	Request  ident.Request
	Key      ident.Key
	Outcome  outcome.Outcome
	Replayed bool
	// Refusal is the body of an error answer.
	Refusal string
	// Crossed is set if the answer is not to this request's body.
	Crossed bool
}

// Count compares the callers' results and the submitted tasks with the records of endpoints and
// workers.
func (deployment *Deployment) Count(results []Result, tasks []ident.Task) Outcome {
	counted := Outcome{}
	deployment.countRequests(&counted, results)
	deployment.countTasks(&counted, tasks)
	return counted
}

func (deployment *Deployment) countRequests(counted *Outcome, results []Result) {
	runs := map[ident.Request]int{}
	for _, served := range deployment.Platform.Endpoints {
		for _, execution := range served.Executions() {
			runs[execution.Request] += execution.Runs
		}
		records := served.Records()
		counted.LimitsExceeded += records.SlotViolations + records.ConnectionViolations
		counted.Duplicated += records.DoubledRuns
	}
	for _, result := range results {
		switch result.Outcome {
		case outcome.Ran:
			counted.RequestsDone++
			if result.Crossed {
				counted.Crossed++
			}
			if result.Replayed {
				counted.Replayed++
			}
			if runs[result.Request] == 0 {
				counted.Lost++
			}
			if result.Key != "" && runs[result.Request] > 1 {
				counted.Duplicated++
			}
		case outcome.NotRun:
			counted.RequestsNotRun++
			if runs[result.Request] > 0 {
				counted.Duplicated++
			}
		default:
			counted.RequestsUnknown++
		}
	}
	counted.countKeys(results)
}

// countKeys counts keys whose submissions were answered by more than one run.
func (counted *Outcome) countKeys(results []Result) {
	first := map[ident.Key]ident.Request{}
	for _, result := range results {
		if result.Key == "" || result.Outcome != outcome.Ran {
			continue
		}
		if known, ok := first[result.Key]; ok && known != result.Request {
			counted.Duplicated++
			continue
		}
		first[result.Key] = result.Request
	}
}

func (deployment *Deployment) countTasks(counted *Outcome, tasks []ident.Task) {
	finished := map[ident.Task]bool{}
	for _, run := range deployment.Platform.Records.Runs() {
		switch run.State {
		case worker.Finished:
			finished[run.Task] = true
		case worker.Stopped:
			counted.Evictions++
		}
		if run.FromMillis > 0 {
			counted.Resumes++
		}
	}
	for _, task := range tasks {
		if finished[task] {
			counted.TasksFinished++
			continue
		}
		counted.TasksUnfinished++
		counted.Lost++
	}
	violations := deployment.Platform.Records.Violations()
	counted.Lost += violations.BehindCheckpoint
	counted.Duplicated += violations.TwoPlaces + violations.EpochReused + violations.AfterFinish
	counted.LimitsExceeded += violations.OverCapacity
	counted.Details = violations.Details
}
