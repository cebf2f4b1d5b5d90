package standalone

import (
	"fmt"
	"io"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/worker"
)

// Outcome is the result of a run. It is counted from the answers that callers received and from the
// records of endpoints and workers, and doesn't rely on counters of the scheduler itself.
type Outcome struct {
	// RequestsDone, RequestsNotRun and RequestsUnknown count callers' requests by their outcome.
	RequestsDone    int
	RequestsNotRun  int
	RequestsUnknown int
	// Replayed counts requests with a repeated key that were answered with the stored first answer.
	Replayed      int
	TasksFinished int
	// TasksUnfinished counts submitted tasks without a finished run.
	TasksUnfinished int
	// Evictions counts runs that were stopped before they ended, Resumes those that continued from a
	// checkpoint.
	Evictions int
	Resumes   int
	// Lost counts requests reported as run that no endpoint ran, unfinished tasks, and runs that
	// started from an older state than the newest saved checkpoint.
	Lost int
	// Duplicated counts keyed requests that ran twice, requests reported as not run that did run, and
	// tasks that ran in two places, reused an epoch, or ran again after they had finished.
	Duplicated int
	// Crossed counts answers that belong to a different request.
	Crossed int
	// LimitsExceeded counts task starts beyond a worker's capacity, and requests and connections beyond
	// an endpoint's limits.
	LimitsExceeded int
	// Details describes the first violations found in the workers' records.
	Details       []string `json:",omitempty"`
	ElapsedMillis clock.Millis
}

// Clean reports whether nothing was lost, duplicated or crossed, and no limit was exceeded.
func (counts Outcome) Clean() bool {
	return counts.Lost == 0 && counts.Duplicated == 0 && counts.Crossed == 0 && counts.LimitsExceeded == 0
}

// Print writes the outcome as text.
func (counts Outcome) Print(out io.Writer) error {
	_, err := fmt.Fprintf(out, `Requests   done %d, not run %d, unknown %d, answered from the first run %d
Tasks      finished %d, unfinished %d, evictions %d, resumes %d
Lost       %d
Duplicated %d
Crossed    %d
Limits     exceeded %d
Elapsed    %s
`, counts.RequestsDone, counts.RequestsNotRun, counts.RequestsUnknown, counts.Replayed,
		counts.TasksFinished, counts.TasksUnfinished, counts.Evictions, counts.Resumes,
		counts.Lost, counts.Duplicated, counts.Crossed, counts.LimitsExceeded, counts.ElapsedMillis)
	return err
}

// Result is the answer to one request as its caller received it.
type Result struct {
	// Request is the ID in the answer. Key is the caller's key, empty for a request without one.
	Request  ident.Request
	Key      ident.Key
	Outcome  outcome.Outcome
	Replayed bool
	// Refusal is the body of an answer with an error status.
	Refusal string
	// Crossed is set if the answer belongs to a different request.
	Crossed bool
}

// CountOutcome compares the callers' results and the submitted tasks with the records of the endpoints
// and workers.
func (deployment *Deployment) CountOutcome(results []Result, tasks []ident.Task) Outcome {
	counts := Outcome{}
	deployment.countRequests(&counts, results)
	deployment.countTasks(&counts, tasks)
	return counts
}

func (deployment *Deployment) countRequests(counts *Outcome, results []Result) {
	runs := map[ident.Request]int{}
	for _, server := range deployment.Platform.Endpoints {
		for _, execution := range server.Executions() {
			runs[execution.Request] += execution.Runs
		}
		records := server.Records()
		counts.LimitsExceeded += records.SlotViolations + records.ConnectionViolations
		counts.Duplicated += records.DoubledRuns
	}
	for _, result := range results {
		switch result.Outcome {
		case outcome.Ran:
			counts.RequestsDone++
			if result.Crossed {
				counts.Crossed++
			}
			if result.Replayed {
				counts.Replayed++
			}
			if runs[result.Request] == 0 {
				counts.Lost++
			}
			if result.Key != "" && runs[result.Request] > 1 {
				counts.Duplicated++
			}
		case outcome.NotRun:
			counts.RequestsNotRun++
			if runs[result.Request] > 0 {
				counts.Duplicated++
			}
		default:
			counts.RequestsUnknown++
		}
	}
	counts.countKeys(results)
}

// countKeys counts answers whose key was also answered by a different run.
func (counts *Outcome) countKeys(results []Result) {
	first := map[ident.Key]ident.Request{}
	for _, result := range results {
		if result.Key == "" || result.Outcome != outcome.Ran {
			continue
		}
		if earlier, ok := first[result.Key]; ok && earlier != result.Request {
			counts.Duplicated++
			continue
		}
		first[result.Key] = result.Request
	}
}

func (deployment *Deployment) countTasks(counts *Outcome, tasks []ident.Task) {
	finished := map[ident.Task]bool{}
	for _, run := range deployment.Platform.Records.Runs() {
		switch run.State {
		case worker.Finished:
			finished[run.Task] = true
		case worker.Stopped:
			counts.Evictions++
		}
		if run.FromMillis > 0 {
			counts.Resumes++
		}
	}
	for _, task := range tasks {
		if finished[task] {
			counts.TasksFinished++
			continue
		}
		counts.TasksUnfinished++
		counts.Lost++
	}
	violations := deployment.Platform.Records.Violations()
	counts.Lost += violations.BehindCheckpoint
	counts.Duplicated += violations.TwoPlaces + violations.EpochReused + violations.AfterFinish
	counts.LimitsExceeded += violations.OverCapacity
	counts.Details = violations.Details
}
