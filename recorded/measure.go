package recorded

import (
	"fmt"
	"slices"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/job"
	"hyssopjunction/outcome"
	"hyssopjunction/worker"
)

// Measures are the figures of a run.
type Measures struct {
	// Checks and Keyed are the latencies of answered requests in milliseconds, ascending.
	Checks, Keyed []clock.Millis
	// Late counts answers after the patience, NotRun and Unknown the requests without an answer.
	Late, NotRun, Unknown int
	// Finished, Failed and Cancelled count batch tasks by final state, Open those without one.
	Finished, Failed, Cancelled, Open int
	// Evictions counts the placements that were stopped although their job was not cancelled, and
	// OutOfMemory the tasks that the platform ended.
	Evictions, OutOfMemory int
	// Worked is the progress of batch tasks, Lost the part that was not in a checkpoint at a stop.
	Worked, Lost clock.Millis
	// CentreWorked is Worked less Lost from the time the data centre left to a minute after its return.
	CentreWorked clock.Millis
	// StandingMillis is the time that standing tasks ran.
	StandingMillis clock.Millis
	// Parked holds the reason of the job that can never run.
	Parked string
	Losses Losses
	counts []string
}

func (measures *Measures) answered(request *request, now clock.Time) {
	latency := now.Sub(request.arrived)
	if latency > request.patience {
		measures.Late++
	}
	if request.key != "" {
		measures.Keyed = append(measures.Keyed, latency)
		return
	}
	measures.Checks = append(measures.Checks, latency)
}

func (measures *Measures) unanswered(_ *request, result outcome.Outcome) {
	if result == outcome.NotRun {
		measures.NotRun++
		return
	}
	measures.Unknown++
}

// leaving reports whether the data centre is out or has just returned.
func (deployment *deployment) leaving() bool {
	incidents := deployment.session.Incidents
	since := deployment.now().Sub(deployment.start)
	return incidents.CentreOut > 0 && since >= incidents.CentreOut && since < incidents.CentreBack+clock.Minute
}

func (measures *Measures) work(deployment *deployment, gained clock.Millis) {
	measures.Worked += gained
	if deployment.leaving() {
		measures.CentreWorked += gained
	}
}

func (measures *Measures) lose(deployment *deployment, lost clock.Millis) {
	measures.Lost += lost
	if deployment.leaving() {
		measures.CentreWorked -= lost
	}
}

// collect counts what the table and the workers say at the end.
func (measures *Measures) collect(deployment *deployment) {
	slices.Sort(measures.Checks)
	slices.Sort(measures.Keyed)
	checks := deployment.checks
	starts := 0
	for _, name := range sortedTasks(checks.starts) {
		starts += len(checks.starts[name])
		_, row := deployment.store.task(name)
		for _, status := range checks.ends[name] {
			if status.State == worker.Stopped && !row.Cancelled {
				measures.Evictions++
				measures.Losses.Evictions[status.Reason]++
			}
			if status.Reason == outOfMemory {
				measures.OutOfMemory++
			}
		}
	}
	for _, name := range deployment.jobs {
		row, err := job.Decode(deployment.store.rows[job.Key(name)].Value)
		if err != nil || row.Spec.Kind != worker.Batch {
			continue
		}
		if name == "impossible" {
			measures.Parked = string(row.Tasks[0].State) + ": " + row.Tasks[0].Reason
			continue
		}
		measures.Finished += row.Count(job.Finished)
		measures.Failed += row.Count(job.Failed)
		measures.Cancelled += row.Count(job.Cancelled)
		measures.Open += len(row.Tasks) - row.Count(job.Finished) - row.Count(job.Failed) - row.Count(job.Cancelled)
	}
	measures.counts = []string{
		fmt.Sprintf("I1 I2 I3 I4 StartsChecked=%d RowChangesChecked=%d", starts, checks.rows),
		fmt.Sprintf("I3 EvictionsResumed=%d CancelledAfterEviction=%d EvictionsOpen=%d", checks.resumed, checks.cancelledAfter, checks.openEvictions),
		fmt.Sprintf("I4 LatestStartInClosedDataCentre=%s Bound=%s", checks.latestClosed, closedBound),
		fmt.Sprintf("I6 ReportedRan=%d ReportedNotRun=%d ReportedUnknown=%d", checks.reportedRan, checks.reportedNot, checks.reportedDoubt),
		fmt.Sprintf("I7 KeysRun=%d KeysAnswered=%d AttemptsRun=%d MostAtOnceAtEndpoint=%d", len(checks.keyRuns), len(checks.keyAnswers), len(checks.ran), checks.mostRunning),
		fmt.Sprintf("I8 Arrivals=%d LatestAtLeavingEndpoint=%s Bound=%s", checks.arrivals, checks.latestLeaving, leavingBound),
		fmt.Sprintf("I10 Changes=%d Conflicts=%d VersionsChecked=%d", len(deployment.accepted), checks.conflicts, checks.forced),
		fmt.Sprintf("Silent Connections=%d MessagesLost=%d Replaced=%d Queries=%d", checks.silentConnections, checks.silenced, checks.replaced, checks.queries),
		fmt.Sprintf("Paused Tasks=%d Held=%d", checks.pausedTasks, checks.held),
		fmt.Sprintf("Table Commits=%d AnswersLost=%d Refused=%d", deployment.store.commits, deployment.store.lost, deployment.store.refused),
	}
}

// Percentile returns the latency that the given share of requests, in tenths of a percent, stays
// at or below. It is 0 without requests.
func Percentile(sorted []clock.Millis, permille int) clock.Millis {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min((len(sorted)*permille+999)/1000, len(sorted))-1]
}

// Golden returns the content of the golden file: the decision lines, the hash of all lines and the
// measures.
func (result Result) Golden() string {
	measures := result.Measures
	var text strings.Builder
	text.WriteString(result.Log)
	fmt.Fprintf(&text, "\nLines=%d SHA256=%s\n", result.Lines, result.Hash)
	latencies := func(name string, sorted []clock.Millis) {
		fmt.Fprintf(&text, "%s Answered=%d P50=%s P99=%s P999=%s\n", name, len(sorted),
			Percentile(sorted, 500), Percentile(sorted, 990), Percentile(sorted, 999))
	}
	latencies("Checks", measures.Checks)
	latencies("Keyed", measures.Keyed)
	fmt.Fprintf(&text, "Requests Late=%d NotRun=%d Unknown=%d\n", measures.Late, measures.NotRun, measures.Unknown)
	fmt.Fprintf(&text, "Batch Finished=%d Failed=%d Cancelled=%d Open=%d\n", measures.Finished, measures.Failed, measures.Cancelled, measures.Open)
	fmt.Fprintf(&text, "Evictions=%d OutOfMemory=%d Worked=%s Lost=%s\n", measures.Evictions, measures.OutOfMemory, measures.Worked, measures.Lost)
	fmt.Fprintf(&text, "WorkWhileDataCentreLeft=%s StandingTime=%s\n", measures.CentreWorked, measures.StandingMillis)
	fmt.Fprintf(&text, "ImpossibleJob=%q\n", measures.Parked)
	for _, line := range measures.counts {
		fmt.Fprintln(&text, line)
	}
	fmt.Fprintf(&text, "Broken=%d\n", len(result.Broken))
	return text.String()
}
