package urgency

import (
	"math"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
)

const (
	testObjective = 9 * clock.Second
	testEstimate  = 2 * clock.Second
)

// now is the time at which jobs of the given age are decided.
const now = clock.Time(clock.Hour)

// testJob returns a committed job of two steps of 20 tasks, the first of which has the number of unfinished tasks.
func testJob(age clock.Millis, unfinished int) Job {
	return Job{
		AcceptedAt: now.Add(-age), Objective: testObjective, Committed: true,
		Steps: []Step{{Estimate: testEstimate, Count: 20, Unfinished: unfinished}, {Estimate: testEstimate, After: []int{0}, Count: 20, Unfinished: 20}},
	}
}

// TestLevels guards against a level that does not follow from what the end of the job depends on.
func TestLevels(t *testing.T) {
	const background, normal, elevated, critical = pacing.Background, pacing.Normal, pacing.Elevated, pacing.Critical
	change := func(job Job, change func(job *Job)) Job {
		change(&job)
		return job
	}
	siblings := func(job *Job) { job.Steps[0].Median = 2100 }
	cases := map[string]struct {
		job  Job
		runs []Run
		want pacing.Urgency
	}{
		"new job":                          {testJob(100, 20), []Run{{Pace: 1, Age: 100}}, normal},
		"job without an objective":         {change(testJob(clock.Minute, 1), func(job *Job) { job.Objective = 0 }), []Run{{Pace: 0.1}}, normal},
		"little slack":                     {testJob(3*clock.Second, 20), []Run{{Pace: 1}}, elevated},
		"little slack, not committed":      {change(testJob(3*clock.Second, 20), func(job *Job) { job.Committed = false }), []Run{{Pace: 1}}, normal},
		"more slack, elevated before":      {testJob(2200, 20), []Run{{Pace: 1, Level: elevated}}, elevated},
		"more slack, normal before":        {testJob(2200, 20), []Run{{Pace: 1}}, normal},
		"last run, fast":                   {testJob(2*clock.Second, 1), []Run{{Pace: 1, Progress: 0.5}}, normal},
		"last run, would be late":          {testJob(2*clock.Second, 1), []Run{{Pace: 0.2, Progress: 0.5}}, critical},
		"last run, paused":                 {testJob(2*clock.Second, 1), []Run{{Progress: 0.5}}, critical},
		"last run, fast again":             {testJob(2*clock.Second, 1), []Run{{Pace: 1, Progress: 0.5, Level: critical}}, critical},
		"others of the step wait":          {testJob(2*clock.Second, 2), []Run{{Pace: 0.2, Progress: 0.5}}, normal},
		"half of the step is active":       {testJob(500, 10), make([]Run, 10), critical},
		"most of the step is active":       {testJob(500, 11), make([]Run, 11), normal},
		"long task, own speed":             {testJob(3*clock.Second, 1), []Run{{Pace: 0.9, Progress: 0.5, Worked: 2900}}, critical},
		"long task, too late":              {testJob(4*clock.Second, 1), []Run{{Pace: 1, Progress: 0.2, Worked: 1500, Level: critical}}, background},
		"can no longer meet its objective": {testJob(7*clock.Second, 20), []Run{{Pace: 1, Level: elevated}}, background},
		"late by a doubtful estimate":      {testJob(5500, 20), []Run{{Pace: 1, Level: elevated}}, elevated},
		"the same, background before":      {testJob(5500, 20), []Run{{Pace: 1, Level: background}}, background},
		"in time again":                    {testJob(4500, 20), []Run{{Pace: 1, Level: background}}, elevated},
		"worth nothing":                    {testJob(3*testObjective, 20), []Run{{Pace: 1}}, background},
		"leftover":                         {change(testJob(100, 20), func(job *Job) { job.Committed = false }), []Run{{Pace: 1, Leftover: true}}, background},
		"leftover, committed since":        {testJob(100, 20), []Run{{Pace: 1, Leftover: true, Level: background}}, normal},
		"commitment lost":                  {change(testJob(100, 20), func(job *Job) { job.Committed = false }), []Run{{Pace: 1}}, normal},
		"slow":                             {change(testJob(100, 5), siblings), []Run{{Pace: 1, Age: 6300, Progress: 0.5, Worked: 2000}}, elevated},
		"not slow":                         {change(testJob(100, 5), siblings), []Run{{Pace: 1, Age: 6200, Progress: 0.5, Worked: 2000}}, normal},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			decision := Decide(test.job, test.runs, nil, now)
			if got := decision.Levels[0]; got != test.want {
				t.Errorf("level is %d, want %d (rest %s, slack %s)", got, test.want, decision.Rest, decision.Slack)
			}
		})
	}
}

// TestStartLevel guards against a new run of a hopeless job, or of one that is not committed, that takes pace from others
// until the first report of it.
func TestStartLevel(t *testing.T) {
	leftover := testJob(100, 20)
	leftover.Committed = false
	cases := map[string]struct {
		job  Job
		want pacing.Urgency
	}{
		"new": {testJob(100, 20), pacing.Normal}, "little slack": {testJob(3*clock.Second, 20), pacing.Elevated},
		"hopeless": {testJob(7*clock.Second, 20), pacing.Background}, "not committed": {leftover, pacing.Background},
	}
	for name, test := range cases {
		if got := Decide(test.job, nil, nil, now).StartLevel; got != test.want {
			t.Errorf("%s: starts at level %d, want %d", name, got, test.want)
		}
	}
}

// simulatedRun is a run of a job whose progress is reported with noise.
type simulatedRun struct {
	duration, worked float64
	input            Run
}

// simulate runs a step of 20 tasks, placed at intervals as capacity allows, at paces that vary at random. It returns the
// number of changes of level.
func simulate(random *rand.Rand, placeInterval clock.Millis) int {
	const step = 100 * clock.Millisecond
	job := Job{Objective: testObjective, Committed: true, Steps: []Step{{Estimate: testEstimate, Count: 20, Unfinished: 20}}}
	var active []*simulatedRun
	placed, changes := 0, 0
	for elapsed := clock.Millis(0); job.Steps[0].Unfinished > 0; elapsed += step {
		if placed < 20 && elapsed >= clock.Millis(placed)*placeInterval {
			placed++
			duration := float64(testEstimate) * (0.9 + 0.2*random.Float64())
			if random.IntN(30) == 0 {
				duration *= 7
			}
			active = append(active, &simulatedRun{duration: duration, input: Run{Pace: 1}})
		}
		var inputs []Run
		for _, run := range active {
			speed := run.input.Pace
			run.worked += float64(step) * speed
			run.input.Age += step
			run.input.ReportAge += step
			if elapsed%(5*step) == 0 { // A report.
				run.input.Pace = math.Round(20*random.Float64()) / 20
				run.input.Progress = math.Floor(100*math.Min(0.99, run.worked/run.duration)) / 100
				run.input.Worked, run.input.ReportAge = clock.Millis(run.worked), 0
			}
			inputs = append(inputs, run.input)
		}
		levels := Decide(job, inputs, nil, job.AcceptedAt.Add(elapsed)).Levels
		remaining := active[:0]
		for position, run := range active {
			if levels[position] != run.input.Level {
				changes++
			}
			run.input.Level = levels[position]
			if run.worked < run.duration {
				remaining = append(remaining, run)
			} else {
				job.Steps[0].Unfinished--
			}
		}
		active = remaining
	}
	return changes
}

// TestLevelsChangeRarely guards against levels that follow the noise of paces and reports, in steps whose tasks are placed
// at once or over 15 s: each change is sent to an agent and changes paces.
func TestLevelsChangeRarely(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 10))
	for _, interval := range []clock.Millis{0, 100, 400, 800} {
		changes := 0
		const jobs = 100
		for range jobs {
			changes += simulate(random, interval)
		}
		perRun := float64(changes) / (20 * jobs)
		t.Logf("tasks placed every %s: %.2f changes a run", interval, perRun)
		if perRun > 2 {
			t.Errorf("tasks placed every %s: %.2f changes a run, want at most 2", interval, perRun)
		}
	}
}
