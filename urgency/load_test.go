package urgency

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
)

// The load of the simulation: filling jobs of 20 tasks beside serving tasks that leave room for 60% of the pace of three
// tasks on each worker.
const (
	loadWorkers    = 20
	runsPerWorker  = 3
	loadStep       = 100 * clock.Millisecond
	loadDuration   = 60 * clock.Second
	taskCores      = 1.8
	taskMillis     = 2000
	tasksPerJob    = 20
	longTaskFactor = 7
	// allowedShare is the share of the requested cores that a worker's serving task allows.
	allowedShare = 0.6
	loadWeight   = 0.1
)

// loadRun is a run in the simulation.
type loadRun struct {
	job              *loadJob
	worker           int
	duration, worked float64
	// pace is the present pace, and reported what the leader knows.
	pace     float64
	reported Run
}

type loadJob struct {
	acceptedAt clock.Time
	durations  []float64
	placed     int
	unfinished int
	finished   []clock.Millis
	active     map[*loadRun]bool
}

// loadOutcome counts the jobs that ended within their objective, within three times their objective, and all, and the
// changes of level.
type loadOutcome struct{ inTime, late, all, changes int }

func (outcome loadOutcome) value() float64 {
	return (float64(outcome.inTime) + 0.15*float64(outcome.late)) / float64(outcome.all)
}

// simulateLoad runs jobs that arrive at the given times. Tasks are placed in the order of their jobs. The leader decides
// levels twice a second if withLevels is set, and the governor of each worker divides the pace.
func simulateLoad(random *rand.Rand, arrivals []clock.Millis, longShare float64, withLevels bool) loadOutcome {
	outcome := loadOutcome{all: len(arrivals)}
	var jobs []*loadJob
	workers, governors := make([]map[*loadRun]bool, loadWorkers), make([]*pacing.Governor, loadWorkers)
	for number := range workers {
		workers[number], governors[number] = map[*loadRun]bool{}, pacing.NewGovernor(4500)
	}
	const begin = clock.Time(clock.Hour)
	objective := clock.Millis(1.5*taskMillis) + clock.Second
	next := 0
	for elapsed := clock.Millis(0); elapsed < 3*loadDuration; elapsed += loadStep {
		now := begin.Add(elapsed)
		for ; next < len(arrivals) && arrivals[next] <= elapsed; next++ {
			job := &loadJob{acceptedAt: now, unfinished: tasksPerJob, active: map[*loadRun]bool{}}
			for range tasksPerJob {
				duration := taskMillis * (0.95 + 0.1*random.Float64())
				if random.Float64() < longShare {
					duration *= longTaskFactor
				}
				job.durations = append(job.durations, duration)
			}
			jobs = append(jobs, job)
		}
		for _, job := range jobs {
			for job.placed < tasksPerJob {
				best := 0
				for number := range workers {
					if len(workers[number]) < len(workers[best]) {
						best = number
					}
				}
				if len(workers[best]) >= runsPerWorker {
					break
				}
				run := &loadRun{job: job, worker: best, duration: job.durations[job.placed]}
				workers[best][run], job.active[run] = true, true
				job.placed++
			}
		}
		report := elapsed%(5*loadStep) == 0
		for number, runs := range workers {
			paceWorker(governors[number], runs, withLevels, now)
			for run := range runs {
				run.worked += float64(loadStep) * run.pace
				run.reported.Age += loadStep
				run.reported.ReportAge += loadStep
				if report {
					run.reported.Progress = math.Floor(100*math.Min(0.99, run.worked/run.duration)) / 100
					run.reported.Worked, run.reported.Pace, run.reported.ReportAge = clock.Millis(run.worked), run.pace, 0
				}
				if run.worked >= run.duration {
					delete(runs, run)
					delete(run.job.active, run)
					run.job.unfinished--
					run.job.finished = append(run.job.finished, run.reported.Age)
				}
			}
		}
		remaining := jobs[:0]
		for _, job := range jobs {
			age := now.Add(loadStep).Sub(job.acceptedAt)
			switch {
			case job.unfinished > 0:
				remaining = append(remaining, job)
				if report && withLevels {
					outcome.changes += decideLoad(job, objective, now)
				}
			case age <= objective:
				outcome.inTime++
			case age <= worthlessFactor*objective:
				outcome.late++
			}
		}
		jobs = remaining
	}
	return outcome
}

// decideLoad decides the levels of a job's runs and returns the number of changes.
func decideLoad(job *loadJob, objective clock.Millis, now clock.Time) int {
	step := Step{Estimate: taskMillis, Count: tasksPerJob, Unfinished: job.unfinished}
	if len(job.finished) >= MinSiblings {
		step.Median = job.finished[len(job.finished)/2]
	}
	var runs []*loadRun
	var inputs []Run
	for run := range job.active {
		runs, inputs = append(runs, run), append(inputs, run.reported)
	}
	levels := Decide(Job{AcceptedAt: job.acceptedAt, Objective: objective, Committed: true, Steps: []Step{step}}, inputs, nil, now).Levels
	changes := 0
	for position, run := range runs {
		if levels[position] != run.reported.Level {
			changes++
		}
		run.reported.Level = levels[position]
	}
	return changes
}

// paceWorker divides the pace on a worker.
func paceWorker(governor *pacing.Governor, runs map[*loadRun]bool, withLevels bool, now clock.Time) {
	var filling []pacing.FillingSample
	names := map[*loadRun]string{}
	increase := 0.0
	for run := range runs {
		names[run] = fmt.Sprintf("%p", run)
		sample := pacing.FillingSample{Task: names[run], Image: "filling", Cores: taskCores, Used: taskCores * run.pace}
		if withLevels {
			sample.Urgency = run.reported.Level
		}
		increase += loadWeight * sample.Used
		filling = append(filling, sample)
	}
	// The serving task's own tail latency leaves room for the allowed share of the cores of all runs.
	baseline := math.Log(0.6) - loadWeight*allowedShare*runsPerWorker*taskCores
	serving := []pacing.ServingSample{{Task: "serving", Image: "serving", Tail: clock.Millis(10_000 * math.Exp(baseline+increase)), Target: 10_000}}
	governor.Allocate(serving, filling, func(pacing.Image, pacing.Image) float64 { return loadWeight })
	for run := range runs {
		run.pace = float64(governor.Pace(names[run])) / pacing.FullPace
	}
}

// TestLevelsUnderLoad guards against levels that are worth nothing to the callers, and against levels that change often: each
// change is sent to an agent and changes paces. A job is worth 1 within its objective and
// 0.15 within three times that. The loads are a light one with long tasks, a steady one, the same with long tasks, bursts of
// 2.6 times the rate for 4 s, and one in which most jobs can no longer meet their objective.
func TestLevelsUnderLoad(t *testing.T) {
	cases := map[string]struct {
		// perSecond is the rate of jobs. The workers can serve 0.9 jobs a second without long tasks.
		perSecond, burst, longShare float64
		// minGain is the least value with levels relative to that without.
		minGain float64
	}{
		"light, long tasks":    {0.25, 1, 0.03, 1},
		"steady":               {0.6, 1, 0, 1.03},
		"long tasks":           {0.5, 1, 0.03, 1.03},
		"burst":                {0.6, 2.6, 0, 1.03},
		"burst, long tasks":    {0.5, 2.6, 0.03, 1.03},
		"overload":             {0.9, 1, 0, 1.02},
		"overload, long tasks": {0.8, 1, 0.03, 1.03},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // Each case takes about a second.
			var total [2]loadOutcome
			for seed := range uint64(6) {
				random := rand.New(rand.NewPCG(seed, 15))
				var arrivals []clock.Millis
				for at := 0.0; at < float64(loadDuration); {
					rate := test.perSecond
					if at > 20_000 && at < 24_000 {
						rate *= test.burst
					}
					at += 1000 * random.ExpFloat64() / rate
					arrivals = append(arrivals, clock.Millis(at))
				}
				for rule, withLevels := range []bool{false, true} {
					outcome := simulateLoad(rand.New(rand.NewPCG(seed, 16)), arrivals, test.longShare, withLevels)
					total[rule].inTime += outcome.inTime
					total[rule].late += outcome.late
					total[rule].all += outcome.all
					total[rule].changes += outcome.changes
				}
			}
			t.Logf("%s: without levels %+v value %.3f, with levels %+v value %.3f", name, total[0], total[0].value(), total[1], total[1].value())
			if perRun := float64(total[1].changes) / float64(tasksPerJob*total[1].all); perRun > 2 {
				t.Errorf("%.2f changes of level a run, want at most 2", perRun)
			}
			if total[1].value() < test.minGain*total[0].value() {
				t.Errorf("value %.3f with levels, %.3f without, want a gain by the factor %.2f", total[1].value(), total[0].value(), test.minGain)
			}
		})
	}
}
