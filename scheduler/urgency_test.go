package scheduler

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/workflow"
)

// decide records a report of all runs, with the given progress and throttling of each of its filling runs, and decides the
// levels. It returns the decisions that changed levels.
func (fixture *fixture) decide(incarnation Incarnation, item func(run *activeRun) Progress) []UrgencyDecision {
	fixture.t.Helper()
	var progress []Progress
	for _, run := range sortedRuns(fixture.scheduler.workers[incarnation]) {
		entry := item(run)
		entry.Name, entry.Run = run.name, run.number
		progress = append(progress, entry)
	}
	fixture.scheduler.RecordProgress(incarnation, progress, fixture.now)
	return fixture.scheduler.UpdateUrgencies(incarnation, fixture.now)
}

// levels returns the number of filling runs on a worker by level.
func (fixture *fixture) levels(incarnation Incarnation) map[pacing.Urgency]int {
	counts := map[pacing.Urgency]int{}
	for _, item := range fixture.scheduler.Urgencies(incarnation) {
		counts[item.Urgency]++
	}
	return counts
}

func assertLevels(t *testing.T, when string, got map[pacing.Urgency]int, want map[pacing.Urgency]int) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: levels %v, want %v", when, got, want)
	}
}

// TestRunStartsWithItsUrgency guards against a run of a job that can no longer meet its objective that starts as a normal
// one: its order has the level, before any report.
func TestRunStartsWithItsUrgency(t *testing.T) {
	fixture := newFixture(t, 1)
	fixture.submit("early", fillingStep(1, "a"))
	starts := fixture.plan(0)
	assertStartCount(t, starts, 1)
	if starts[0].Urgency != pacing.Normal {
		t.Errorf("a run of a new job starts at level %d", starts[0].Urgency)
	}
	fixture.submit("late", fillingStep(2, "a"))
	fixture.scheduler.jobs["late"].acceptedAt = fixture.now.Add(-4 * clock.Second) // Its objective is 3 s.
	starts = fixture.plan(clock.Millisecond)
	assertStartCount(t, starts, 2)
	for _, start := range starts {
		if start.Urgency != pacing.Background {
			t.Errorf("a run of a late job starts at level %d", start.Urgency)
		}
	}
	for _, order := range fixture.scheduler.ExpectedOrders(incarnationName(0)) {
		if want := pacing.Urgency(-1); order.Name.Job == "late" && order.Urgency != want {
			t.Errorf("the order is repeated with level %d, want %d", order.Urgency, want)
		}
	}
}

// TestLastRunBecomesCritical guards against one long task, paced like all others, that makes its job miss its objective,
// and against a level that is decided at each report although nothing changed.
func TestLastRunBecomesCritical(t *testing.T) {
	fixture := newFixture(t, 1)
	fixture.submit("job", fillingStep(4, "a"))
	starts := fixture.plan(0)
	assertStartCount(t, starts, 4)
	incarnation := starts[0].Worker
	fixture.now = fixture.now.Add(1100 * clock.Millisecond)
	for _, order := range starts[:3] {
		fixture.end(order, workflow.Finished)
	}
	throttled := func(run *activeRun) Progress { return Progress{Percent: 40, Sample: 1000, ThrottlePercent: 80} }
	decisions := fixture.decide(incarnation, throttled)
	if len(decisions) != 1 || decisions[0].Changed[pacing.Critical] != 1 || decisions[0].Job != "job" || decisions[0].Runs != 1 {
		t.Fatalf("got decisions %+v, want one that makes the run critical", decisions)
	}
	for range 3 {
		fixture.now = fixture.now.Add(100 * clock.Millisecond)
		if decisions := fixture.decide(incarnation, throttled); len(decisions) != 0 {
			t.Errorf("got decisions %+v without a change", decisions)
		}
	}
	fixture.now = fixture.now.Add(10 * clock.Second)
	decisions = fixture.decide(incarnation, throttled)
	if len(decisions) != 1 || decisions[0].Changed[pacing.Background] != 1 {
		t.Fatalf("got decisions %+v, want one that moves the run to the background", decisions)
	}
}

// TestSlowRunBecomesElevated guards against a run that takes several times longer than its finished siblings and waits for
// its share of the pace like any other. Times of runs that resumed from a checkpoint do not count.
func TestSlowRunBecomesElevated(t *testing.T) {
	fixture := newFixture(t, 1)
	step := fillingStep(6, "a")
	fixture.scheduler.Submit(workflow.Spec{
		ID: "job", Queue: "queue", Service: testService, Steps: []workflow.Step{step}, Policy: workflow.Policy{MaxAttempts: 2, Slack: 2, Latency: clock.Minute},
	}, fixture.now)
	starts := fixture.plan(0)
	assertStartCount(t, starts, 6)
	incarnation := starts[0].Worker
	fixture.now = fixture.now.Add(clock.Second)
	fixture.end(starts[0], workflow.Finished)
	fixture.end(starts[1], workflow.Finished)
	// A resumed run ends after a tenth of a second.
	fixture.scheduler.RecordEnd(incarnation, End{Name: starts[2].Name, Run: starts[2].Run, Cause: workflow.Interrupted, Saved: "90"}, fixture.now)
	resumed := fixture.plan(0)
	assertStartCount(t, resumed, 1)
	fixture.now = fixture.now.Add(100 * clock.Millisecond)
	fixture.end(resumed[0], workflow.Finished)
	progress := func(*activeRun) Progress { return Progress{Percent: 30, Sample: 3000} }
	fixture.now = fixture.now.Add(3 * clock.Second)
	fixture.decide(incarnation, progress)
	assertLevels(t, "two whole siblings", fixture.levels(incarnation), map[pacing.Urgency]int{pacing.Normal: 3})
	fixture.end(starts[3], workflow.Finished)
	fixture.now = fixture.now.Add(clock.Second)
	fixture.decide(incarnation, progress)
	assertLevels(t, "three whole siblings", fixture.levels(incarnation), map[pacing.Urgency]int{pacing.Elevated: 2})
}

// TestNewLeaderDecidesLevelsAnew guards against a takeover that makes runs look slow or late because their start is not
// known, and against runs of a job that are not found again.
func TestNewLeaderDecidesLevelsAnew(t *testing.T) {
	fixture := newFixture(t, 1)
	fixture.submit("job", fillingStep(4, "a"))
	assertStartCount(t, fixture.plan(0), 4)
	job := fixture.scheduler.jobs["job"].job
	acceptedAt := fixture.now
	fixture.scheduler = New()
	fixture.scheduler.Restore(job, acceptedAt)
	fixture.now = fixture.now.Add(600 * clock.Millisecond)
	fixture.addWorker(incarnationName(0), 32_000, 128_000)
	progress := func(*activeRun) Progress { return Progress{Percent: 50, Sample: 3000} }
	if decisions := fixture.decide(incarnationName(0), progress); len(decisions) != 0 {
		t.Errorf("got decisions %+v after a takeover", decisions)
	}
	assertLevels(t, "after a takeover", fixture.levels(incarnationName(0)), map[pacing.Urgency]int{pacing.Normal: 4})
	if got := len(fixture.scheduler.jobs["job"].urgency.runs); got != 4 {
		t.Errorf("%d runs are known, want 4", got)
	}
	fixture.scheduler.RemoveWorker(incarnationName(0))
	if got := len(fixture.scheduler.jobs["job"].urgency.runs); got != 0 {
		t.Errorf("%d runs are known after the end of their worker, want none", got)
	}
}

// BenchmarkUpdateUrgencies measures the leader's part for the report of one worker: deciding the levels of the jobs of its
// runs and listing them. The jobs have 20 tasks on as many workers, and each worker has 6 filling runs. The baseline is the
// recording of the same report, which learns from its samples.
func BenchmarkUpdateUrgencies(b *testing.B) {
	for _, workers := range []int{20, 80, 320} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			scheduler, now := newBusyScheduler(b, workers)
			for number := range workers * 6 / 20 {
				scheduler.Submit(workflow.Spec{
					ID: workflow.ID(fmt.Sprint("job-", number)), Service: testService, Steps: []workflow.Step{fillingStep(20, fmt.Sprint("filling-", number%30))},
					Policy: workflow.Policy{MaxAttempts: 2, Slack: 2, Latency: clock.Second},
				}, now)
				record := scheduler.jobs[workflow.ID(fmt.Sprint("job-", number))]
				record.job.AddDueOccurrences(0)
				for index := range 20 {
					name := workflow.Name{Job: record.job.Spec.ID, Index: index}
					scheduler.placeTask(record, &record.job.Spec.Steps[0], name, 1, scheduler.workers[incarnationName((number*7+index)%workers)], now)
				}
			}
			scheduler.TakeChanges()
			reports := map[Incarnation][]Progress{}
			for number := range workers {
				incarnation := incarnationName(number)
				for _, run := range sortedRuns(scheduler.workers[incarnation]) {
					reports[incarnation] = append(reports[incarnation], Progress{Name: run.name, Run: run.number, Sample: 50, ThrottlePercent: number % 50})
				}
			}
			interval := 600 * clock.Millisecond / clock.Millis(workers)
			recording, deciding, decisions := 0.0, 0.0, 0
			b.ReportAllocs()
			for b.Loop() {
				for number := range workers {
					now = now.Add(max(1, interval))
					incarnation := incarnationName(number)
					begun := b.Elapsed()
					scheduler.RecordProgress(incarnation, reports[incarnation], now)
					recorded := b.Elapsed()
					decisions += len(scheduler.UpdateUrgencies(incarnation, now))
					scheduler.Urgencies(incarnation)
					recording += float64(recorded - begun)
					deciding += float64(b.Elapsed() - recorded)
				}
			}
			b.ReportMetric(deciding/float64(b.N*workers), "ns/report")
			b.ReportMetric(deciding/recording, "report/baseline")
			if decisions == 0 {
				b.Error("no level was decided")
			}
		})
	}
}
