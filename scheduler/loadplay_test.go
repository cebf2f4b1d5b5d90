package scheduler

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"

	"hyssopjunction/assignment"
	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/set"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Times of a loadPlay.
const (
	playTick = 50 * clock.Millisecond
	// playReport is the time between two reports of a worker.
	playReport = 500 * clock.Millisecond
	// playStop is the time from the order to stop a run until its end is reported.
	playStop = 300 * clock.Millisecond
	// playRestore is the time that a run takes to resume from a checkpoint.
	playRestore = 250 * clock.Millisecond
	// playCheckpoint is the work after which a run saves its progress.
	playCheckpoint = clock.Second
)

// loadPlay drives a Scheduler with workers that carry out its orders: runs proceed at the pace that the governor of
// their worker allows and at the worker's speed, and serving tasks slow down by the true weights.
type loadPlay struct {
	*fixture
	remoteFactor float64
	weights      map[[2]string]float64
	workers      map[Incarnation]*playWorker
	// longTasks multiplies the work of single tasks.
	longTasks map[workflow.Name]float64
	jobs      map[workflow.ID]clock.Time
	ends      map[workflow.ID]clock.Time
	// stops holds when runs of each task were ordered to stop.
	stops map[workflow.Name][]clock.Time
	// visits holds the workers of each task in the order of its runs.
	visits map[workflow.Name][]Incarnation
	// waits holds for how long each task waited for its first run.
	waits map[workflow.Name]clock.Millis
}

// playWorker is a worker of a loadPlay. The tail returns the log tail latency of its serving tasks, as a share of their
// target, that they have without filling tasks.
type playWorker struct {
	rack     string
	speed    float64
	capacity float64
	tail     func(now clock.Time) float64
	governor *pacing.Governor
	runs     map[workflow.Name]*playRun
}

// playRun is an active run of a loadPlay.
type playRun struct {
	order   Order
	step    *workflow.Step
	startAt clock.Time
	stopAt  clock.Time
	work    float64
	done    float64
	remote  bool
}

func newLoadPlay(t *testing.T, remoteFactor float64) *loadPlay {
	t.Helper()
	play := &loadPlay{
		fixture: newFixture(t, 0), remoteFactor: remoteFactor, weights: map[[2]string]float64{}, workers: map[Incarnation]*playWorker{},
		longTasks: map[workflow.Name]float64{}, jobs: map[workflow.ID]clock.Time{}, ends: map[workflow.ID]clock.Time{},
		stops: map[workflow.Name][]clock.Time{}, visits: map[workflow.Name][]Incarnation{}, waits: map[workflow.Name]clock.Millis{},
	}
	bounds := assignment.DefaultBounds()
	bounds.RemoteFactor = remoteFactor
	play.scheduler.SetBounds(bounds)
	return play
}

// addPlayWorker adds a worker with cores whose serving tasks are at a constant tail latency.
func (play *loadPlay) addPlayWorker(rack string, cores int, speed, tail float64) Incarnation {
	play.t.Helper()
	incarnation := Incarnation(fmt.Sprintf("i-%03d@1@node-%d", len(play.workers), len(play.workers)))
	play.scheduler.UpdateWorker(Profile{
		Incarnation: incarnation, Node: string(incarnation), Service: testService, DataCentre: "a", Labels: []string{rack},
		Capacity: unit.Resources{CPU: unit.MilliCPU(cores * milliPerCore), Memory: 128_000},
	}, play.now)
	play.scheduler.SetReachable(incarnation, true)
	play.workers[incarnation] = &playWorker{
		rack: rack, speed: speed, capacity: float64(cores), tail: func(clock.Time) float64 { return tail },
		governor: pacing.NewGovernor(4 * clock.Second), runs: map[workflow.Name]*playRun{},
	}
	return incarnation
}

// knowWeight sets the true weight of a pair of images, which the scheduler has learned.
func (play *loadPlay) knowWeight(serving, filling string, weight float64) {
	play.t.Helper()
	play.weights[[2]string{serving, filling}] = weight
	play.learn(serving, filling, weight)
}

func (play *loadPlay) trueWeight(serving, filling pacing.Image) float64 {
	return play.weights[[2]string{string(serving), string(filling)}]
}

func (play *loadPlay) submitJob(id string, priority int, steps ...workflow.Step) {
	play.t.Helper()
	latency := clock.Second
	if priority == 0 {
		latency = 250 * clock.Millisecond
	}
	play.scheduler.Submit(workflow.Spec{
		ID: workflow.ID(id), Queue: "queue", Service: testService, Steps: steps,
		Policy: workflow.Policy{MaxAttempts: 2, Slack: 2, Latency: latency, Priority: priority},
	}, play.now)
	play.jobs[workflow.ID(id)] = play.now
}

// run lets time pass and calls arrive before each tick.
func (play *loadPlay) run(duration clock.Millis, arrive func(elapsed clock.Millis)) {
	play.t.Helper()
	for elapsed := clock.Millis(0); elapsed < duration; elapsed += playTick {
		if arrive != nil {
			arrive(elapsed)
		}
		play.now = play.now.Add(playTick)
		for position, incarnation := range set.SortedKeys(play.workers) {
			play.advance(incarnation, position)
		}
		play.scheduler.Plan(play.now, 0)
		_, orders := play.scheduler.TakeChanges()
		for _, order := range orders {
			play.carryOut(order)
		}
		for id := range play.jobs {
			if state, _ := play.scheduler.State(id); state.Final() && play.ends[id] == 0 {
				play.ends[id] = play.now
			}
		}
	}
}

// carryOut starts or stops a run.
func (play *loadPlay) carryOut(order Order) {
	play.t.Helper()
	worker := play.workers[order.Worker]
	if order.Stop {
		if run, ok := worker.runs[order.Name]; ok && run.stopAt == 0 {
			run.stopAt = play.now.Add(playStop)
			play.stops[order.Name] = append(play.stops[order.Name], play.now)
		}
		return
	}
	step := &order.Job.Spec.Steps[order.Name.Step]
	run := &playRun{order: order, step: step, startAt: play.now.Add(playTick), work: float64(step.Estimate), remote: step.DataRack != "" && step.DataRack != worker.rack}
	if factor, ok := play.longTasks[order.Name]; ok {
		run.work *= factor
	}
	if saved := order.Job.Task(order.Name).Saved; saved != "" {
		done, err := strconv.Atoi(string(saved))
		if err != nil {
			play.t.Fatal(err)
		}
		run.done, run.startAt = float64(done), run.startAt.Add(playRestore)
	}
	if len(play.visits[order.Name]) == 0 {
		play.waits[order.Name] = play.now.Sub(play.jobs[order.Name.Job])
	}
	play.visits[order.Name] = append(play.visits[order.Name], order.Worker)
	worker.runs[order.Name] = run
	if step.Fills {
		serving, filling := play.samples(worker)
		worker.governor.Allocate(serving, filling, play.trueWeight)
	}
}

// names returns the names of the runs on a worker in a fixed order.
func (worker *playWorker) names() []workflow.Name {
	names := make([]workflow.Name, 0, len(worker.runs))
	for name := range worker.runs {
		names = append(names, name)
	}
	slices.SortFunc(names, compareNames)
	return names
}

// rate returns the speed of a run relative to an idle worker of speed 1 that holds its data.
func (play *loadPlay) rate(worker *playWorker, run *playRun) float64 {
	rate := worker.speed
	if run.step.Fills {
		rate *= play.usage(worker, run)
	}
	if run.remote {
		rate /= play.remoteFactor
	}
	return rate
}

// usage returns the share of its requested cores that a filling run uses.
func (play *loadPlay) usage(worker *playWorker, run *playRun) float64 {
	idle, requested := worker.capacity, 0.0
	for _, other := range worker.runs {
		cores := float64(other.step.Need.CPU) / milliPerCore
		switch {
		case other.step.Standing:
			idle -= cores * servingLoadPercent / 100
		case other.step.Fills:
			requested += cores * float64(worker.governor.Pace(other.order.Name.String())) / pacing.FullPace
		default:
			idle -= cores
		}
	}
	pace := float64(worker.governor.Pace(run.order.Name.String())) / pacing.FullPace
	return pace * math.Min(1, math.Max(0, idle)/math.Max(requested, 0.001))
}

// samples returns what the agent of a worker measures.
func (play *loadPlay) samples(worker *playWorker) ([]pacing.ServingSample, []pacing.FillingSample) {
	var serving []pacing.ServingSample
	var filling []pacing.FillingSample
	for _, name := range worker.names() {
		if run := worker.runs[name]; run.step.Fills {
			cores := float64(run.step.Need.CPU) / milliPerCore
			filling = append(filling, pacing.FillingSample{Task: name.String(), Image: pacing.Image(run.step.Image), Cores: cores, Used: cores * play.usage(worker, run)})
		}
	}
	for _, name := range worker.names() {
		run := worker.runs[name]
		if run.step.Target == 0 {
			continue
		}
		tail := worker.tail(play.now)
		for _, other := range filling {
			tail += play.trueWeight(pacing.Image(run.step.Image), other.Image) * other.Used
		}
		serving = append(serving, pacing.ServingSample{
			Task: name.String(), Image: pacing.Image(run.step.Image), Tail: clock.Millis(float64(run.step.Target) * math.Exp(tail)), Target: run.step.Target,
		})
	}
	return serving, filling
}

// advance lets the runs of a worker proceed by a tick, and reports them at the worker's turn.
func (play *loadPlay) advance(incarnation Incarnation, position int) {
	play.t.Helper()
	worker := play.workers[incarnation]
	rates := map[workflow.Name]float64{}
	for name, run := range worker.runs {
		rates[name] = play.rate(worker, run)
	}
	for _, name := range worker.names() {
		run := worker.runs[name]
		if !play.now.Before(run.startAt) {
			run.done += rates[name] * float64(playTick)
		}
		end := End{Name: name, Run: run.order.Run}
		switch {
		case run.stopAt != 0 && !play.now.Before(run.stopAt):
			end.Cause, end.Saved = workflow.Interrupted, run.savedAtStop()
		case run.done >= run.work && !run.step.Standing:
			end.Cause = workflow.Finished
		default:
			continue
		}
		delete(worker.runs, name)
		play.scheduler.RecordEnd(incarnation, end, play.now)
	}
	if int64(play.now)%int64(playReport) != int64(position)*int64(playTick)%int64(playReport) {
		return
	}
	serving, filling := play.samples(worker)
	worker.governor.Decide(serving, filling, play.trueWeight, play.now)
	figures := map[string]int64{}
	for _, sample := range serving {
		figures[sample.Task] = int64(sample.Tail)
	}
	for _, sample := range filling {
		figures[sample.Task] = int64(sample.Used * milliPerCore)
	}
	var progress []Progress
	for _, name := range worker.names() {
		run := worker.runs[name]
		item := Progress{Name: name, Run: run.order.Run, Saved: run.saved(), Sample: figures[name.String()]}
		if !run.step.Standing {
			item.Percent = int(100 * run.done / run.work)
		}
		if run.step.Fills {
			item.ThrottlePercent = pacing.FullPace - worker.governor.Pace(name.String())
		}
		progress = append(progress, item)
	}
	play.scheduler.RecordProgress(incarnation, progress, play.now)
}

// saved returns the checkpoint of a run, the work that it had done.
func (run *playRun) saved() workflow.Checkpoint {
	if !run.step.Checkpoints || run.done < float64(playCheckpoint) {
		return ""
	}
	return workflow.Checkpoint(strconv.Itoa(int(run.done) / int(playCheckpoint) * int(playCheckpoint)))
}

// savedAtStop returns the checkpoint of a run that is stopped, all the work that it had done.
func (run *playRun) savedAtStop() workflow.Checkpoint {
	if !run.step.Checkpoints || run.done < 1 {
		return ""
	}
	return workflow.Checkpoint(strconv.Itoa(int(run.done)))
}

// playResult is what became of the jobs with a prefix.
type playResult struct {
	jobs, ended, withinObjective int
	meanMillis, worstMillis      int
	worstWaitMillis, stops       int
}

// result returns what became of the jobs whose id begins with the prefix. Jobs that did not end count until now.
func (play *loadPlay) result(prefix string) playResult {
	play.t.Helper()
	result, total := playResult{}, clock.Millis(0)
	for id, submitted := range play.jobs {
		if len(id) < len(prefix) || string(id[:len(prefix)]) != prefix {
			continue
		}
		result.jobs++
		taken := play.now.Sub(submitted)
		if end := play.ends[id]; end != 0 {
			result.ended++
			taken = end.Sub(submitted)
			if taken <= play.scheduler.jobs[id].job.Spec.Objective() {
				result.withinObjective++
			}
		}
		total += taken
		result.worstMillis = max(result.worstMillis, int(taken))
	}
	for name, wait := range play.waits {
		if string(name.Job[:min(len(name.Job), len(prefix))]) == prefix {
			result.worstWaitMillis = max(result.worstWaitMillis, int(wait))
			result.stops += len(play.stops[name])
		}
	}
	result.meanMillis = int(total) / max(1, result.jobs)
	return result
}
