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

// Measures holds the measurements of a run.
type Measures struct {
	// Checks and Keyed are the latencies of answered requests in milliseconds, ascending.
	Checks, Keyed []clock.Millis
	// Late counts answers that arrived after the patience; NotRun and Unknown count requests
	// without an answer, by outcome.
	Late, NotRun, Unknown int
	// Finished, Failed and Cancelled count batch tasks by final state; Open counts those without
	// one.
	Finished, Failed, Cancelled, Open int
	// Evictions counts stops of tasks whose job was not cancelled, OutOfMemory the tasks that the
	// platform ended for lack of memory.
	Evictions, OutOfMemory int
	// Worked is the progress of batch tasks, Lost the part of it that no checkpoint held at a stop.
	Worked, Lost clock.Millis
	// CentreWorked is Worked minus Lost, from the time the data centre is taken out to a minute
	// after its return.
	CentreWorked clock.Millis
	// StandingMillis is the time that standing tasks ran.
	StandingMillis clock.Millis
	// Parked is the state and reason of the job that fits on no worker.
	Parked     string
	Losses     Losses
	checkLines []string
}

func (measures *Measures) recordAnswered(request *request, now clock.Time) {
	latency := now.Sub(request.arrivedAt)
	if latency > request.patience {
		measures.Late++
	}
	if request.key != "" {
		measures.Keyed = append(measures.Keyed, latency)
		return
	}
	measures.Checks = append(measures.Checks, latency)
}

func (measures *Measures) recordUnanswered(_ *request, result outcome.Outcome) {
	if result == outcome.NotRun {
		measures.NotRun++
		return
	}
	measures.Unknown++
}

// centreLeaving reports whether the data centre is out or has returned less than a minute ago.
func (deployment *deployment) centreLeaving() bool {
	incidents := deployment.session.Incidents
	since := deployment.now().Sub(deployment.start)
	return incidents.CentreOut > 0 && since >= incidents.CentreOut && since < incidents.CentreBack+clock.Minute
}

func (measures *Measures) addWork(deployment *deployment, gain clock.Millis) {
	measures.Worked += gain
	if deployment.centreLeaving() {
		measures.CentreWorked += gain
	}
}

func (measures *Measures) addLost(deployment *deployment, lost clock.Millis) {
	measures.Lost += lost
	if deployment.centreLeaving() {
		measures.CentreWorked -= lost
	}
}

// collect gathers the measures that follow from the table and from the recorded starts and ends.
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
	measures.checkLines = []string{
		fmt.Sprintf("I1 I2 I3 I4 StartsChecked=%d RowChangesChecked=%d", starts, checks.rowChanges),
		fmt.Sprintf("I3 EvictionsResumed=%d CancelledAfterEviction=%d EvictionsOpen=%d", checks.resumedEvictions, checks.cancelledEvictions, checks.openEvictions),
		fmt.Sprintf("I4 LatestStartInClosedDataCentre=%s Bound=%s", checks.latestClosedStart, maxClosedStartDelay),
		fmt.Sprintf("I6 ReportedRan=%d ReportedNotRun=%d ReportedUnknown=%d", checks.reportedRan, checks.reportedNotRun, checks.reportedUnknown),
		fmt.Sprintf("I7 KeysRun=%d KeysAnswered=%d AttemptsRun=%d MostAtOnceAtEndpoint=%d", len(checks.keyRuns), len(checks.answeredKeys), len(checks.executedAttempts), checks.peakRunning),
		fmt.Sprintf("I8 Arrivals=%d LatestAtLeavingEndpoint=%s Bound=%s", checks.arrivals, checks.latestLeavingRequest, maxLeavingRequestDelay),
		fmt.Sprintf("I10 Changes=%d Conflicts=%d VersionsChecked=%d", len(deployment.acceptedChanges), checks.conflicts, checks.versionChecks),
		fmt.Sprintf("Silent Connections=%d MessagesLost=%d Replaced=%d Queries=%d", checks.silentConnections, checks.lostMessages, checks.closedConnections, checks.queries),
		fmt.Sprintf("Paused Tasks=%d Held=%d", checks.pausedTasks, checks.delayedMessages),
		fmt.Sprintf("Table Commits=%d AnswersLost=%d Refused=%d", deployment.store.commits, deployment.store.lostAnswers, deployment.store.refusedCommits),
	}
}

// Percentile returns the latency at or below which the given share of requests, in thousandths,
// stays. The latencies must be in ascending order. It returns 0 without requests.
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
	for _, line := range measures.checkLines {
		fmt.Fprintln(&text, line)
	}
	fmt.Fprintf(&text, "Broken=%d\n", len(result.Violations))
	return text.String()
}
