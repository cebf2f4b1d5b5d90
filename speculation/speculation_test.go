package speculation

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// TestAssess guards against copies of runs that end in time, which are wasted, and against none of a run on which its job
// waits.
func TestAssess(t *testing.T) {
	wide := Step{Tasks: 10, Finished: 5, Median: clock.Second, Estimate: clock.Second}
	young := Step{Tasks: 10, Finished: 4, Median: clock.Second, Estimate: clock.Second}
	cases := map[string]struct {
		run  Run
		step Step
		want Evidence
	}{
		"as fast as its siblings":                      {Run{Elapsed: 1100, Percent: 90, ProgressAge: 300}, wide, None},
		"one long task":                                {Run{Elapsed: 1600, Percent: 30, ProgressAge: 300}, wide, Slow},
		"one long task without progress":               {Run{Elapsed: 1600, ProgressAge: 1600}, wide, Slow},
		"long, but about to end":                       {Run{Elapsed: 1600, Percent: 80, ProgressAge: 200}, wide, None},
		"too few siblings":                             {Run{Elapsed: 2400, ProgressAge: 2400}, young, None},
		"a single task":                                {Run{Elapsed: 2400, ProgressAge: 2400}, Step{Tasks: 1, Estimate: clock.Second}, None},
		"no progress":                                  {Run{Elapsed: 9000, Percent: 50, ProgressAge: stallTime}, young, Stalled},
		"leader stood still":                           {Run{Elapsed: 5000, Percent: 10, ProgressAge: 4000, ReportAge: 3000}, wide, None},
		"agent silent":                                 {Run{Elapsed: 300, Overdue: true}, young, Overdue},
		"agent lost":                                   {Run{Elapsed: 300, Unreachable: true, Overdue: true}, young, Unreachable},
		"trial run on a worker where others failed":    {Run{Elapsed: 900, Probation: true}, young, None},
		"late trial run on a worker where others fail": {Run{Elapsed: 1100, Probation: true}, young, Probation},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if got := Assess(test.run, test.step); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// TestBudget guards against copies that take more than their share, among them those of one caller that floods, and
// against a budget that stays used up.
func TestBudget(t *testing.T) {
	const cpu = 1000
	jobWork := WorkOf(cpu, 2*clock.Second)
	budget, now := NewBudget(), clock.Time(clock.Hour)
	copies := 0
	place := func() {
		for WorkOf(cpu, clock.Second) <= budget.Left(jobWork, now) {
			copies++
			budget.Place(Key{Run: workflow.Run(copies)}, cpu, clock.Second, now)
		}
	}
	place()
	if copies != 2 {
		t.Fatalf("got %d copies without history, want those of the work of one job, 2", copies)
	}
	now = now.Add(3 * clock.Second)
	for number := range copies {
		if got, want := budget.End(Key{Run: workflow.Run(number + 1)}, now), WorkOf(cpu, 3*clock.Second); got != want {
			t.Errorf("the copy took %d, want %d", got, want)
		}
	}
	if place(); copies != 2 {
		t.Errorf("got %d copies once the budget is used up, want 2", copies)
	}
	for range 200 { // 200 core-seconds allow 10 more, and 4 of them are overdrawn.
		budget.RecordRun(WorkOf(cpu, clock.Second), now)
	}
	if place(); copies != 2+10-4 {
		t.Errorf("got %d copies, want 8", copies)
	}
	for number := 2; number < copies; number++ {
		budget.End(Key{Run: workflow.Run(number + 1)}, now)
	}
	if got := budget.Left(jobWork, now.Add(budgetWindow)); got != jobWork {
		t.Errorf("got %d left when all is past, want %d", got, jobWork)
	}
}

// TestFeedback guards against copies for slowness that go on although all tasks take long, and against their end for
// good.
func TestFeedback(t *testing.T) {
	feedback, now := &Feedback{}, clock.Time(clock.Hour)
	for range minOutcomes {
		if !feedback.AllowsSlow(now) {
			t.Fatal("slowness does not count before enough outcomes are known")
		}
		feedback.RecordPlaced(now)
		feedback.RecordOutcome(false, now)
	}
	for probe := range 2 {
		if feedback.AllowsSlow(now.Add(probeInterval - 1)) {
			t.Error("slowness counts although no copy finished first")
		}
		if now = now.Add(probeInterval); !feedback.AllowsSlow(now) {
			t.Error("no probe is due")
		}
		feedback.RecordPlaced(now)
		if feedback.AllowsSlow(now) {
			t.Error("a second probe follows at once")
		}
		feedback.RecordOutcome(probe == 1, now)
	}
	if !feedback.AllowsSlow(now) {
		t.Error("slowness does not count after a probe that finished first")
	}
	for range feedbackLength {
		feedback.RecordOutcome(false, now)
	}
	if feedback.AllowsSlow(now) {
		t.Error("an old success counts for good")
	}
}
