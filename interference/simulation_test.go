package interference_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/interference"
)

// Parameters of the simulation.
const (
	workerCount    = 20
	slotsPerWorker = 6
	serviceName    = "checks"
	targetPercent  = 120
	// Measurements are reported every 5 s and are 5 s old, like the usage reports of the platform.
	reportInterval = 5 * clock.Second
	measurementLag = 5 * clock.Second
	taskDuration   = 15 * clock.Minute
)

// classEffect is the slowdown of the service, in points, that one unthrottled task of a class causes at
// full load. Only a minority of the classes has a strong effect, as operators describe it.
var classEffect = map[string]float64{"batch-a": 1, "batch-b": 2, "batch-c": 3, "batch-d": 5, "batch-e": 25, "batch-f": 45}

type task struct {
	name       ident.Task
	epoch      ident.Epoch
	class      string
	percent    int
	progress   clock.Millis
	checkpoint clock.Millis
}

// simulation is a small seeded model of workers that run one service endpoint and several batch tasks
// each.
type simulation struct {
	random    *rand.Rand
	fakeClock *clock.Fake
	model     *interference.Model
	governor  *interference.Governor
	// useModel is set if placement and the governor use the predictions of the model.
	useModel bool
	tasks    [workerCount][]*task
	// measurements holds the measured slowdown per worker and second, in percent.
	measurements [workerCount][]int
	queue        []*task
	lastJob      int

	// slowdowns holds the actual slowdowns of all workers and seconds, in percent.
	slowdowns []int
	evictions int
	throttles int
	finished  int
}

// newSimulation returns a simulation with a governor, or without one if settings is nil. Without the
// model, placement is first fit and the governor assumes the same effect for all tasks.
func newSimulation(seed uint64, settings *interference.GovernorSettings, useModel bool) *simulation {
	simulation := &simulation{
		random:    rand.New(rand.NewPCG(seed, 7)),
		fakeClock: clock.NewFake(clock.Time(clock.Minute)),
		model:     interference.NewModel(interference.Defaults()),
		useModel:  useModel,
	}
	if settings != nil {
		governorSettings := *settings
		var predictor interference.Predictor
		if useModel {
			predictor = simulation.model
		} else {
			governorSettings.LeastEffect = 0
		}
		simulation.governor = interference.NewGovernor(governorSettings, predictor)
	}
	return simulation
}

// run simulates the given time in steps of a second.
func (simulation *simulation) run(millis clock.Millis) {
	for end := simulation.fakeClock.Now().Add(millis); simulation.fakeClock.Now().Before(end); simulation.fakeClock.Advance(clock.Second) {
		simulation.place()
		for index := range simulation.tasks {
			simulation.work(index)
			if simulation.fakeClock.Now()%clock.Time(reportInterval) == 0 {
				simulation.report(index)
			}
		}
	}
}

// inNoisyPhase reports whether the effect of tasks on a worker is doubled at the moment. This happens for
// 4 of every 15 minutes on a third of the workers, which changes each time.
func (simulation *simulation) inNoisyPhase(index int) bool {
	phase := int64(simulation.fakeClock.Now()) / int64(15*clock.Minute)
	return int64(simulation.fakeClock.Now())%int64(15*clock.Minute) < int64(4*clock.Minute) && (int64(index)+phase)%3 == 0
}

// slowdown returns the actual slowdown of the service on a worker, in percent.
func (simulation *simulation) slowdown(index int) float64 {
	sum := 0.0
	for _, task := range simulation.tasks[index] {
		effect := classEffect[task.class] * float64(task.percent) / 100
		if simulation.inNoisyPhase(index) {
			effect *= 2
		}
		sum += effect
	}
	return 100 + sum*(0.4+0.6*float64(simulation.load(index))/100)
}

// load returns the processor time in use on a worker, in percent.
func (simulation *simulation) load(index int) int {
	load := 10
	for _, task := range simulation.tasks[index] {
		load += 15 * task.percent / 100
	}
	return load
}

// place fills three quarters of all slots with evicted and new tasks.
func (simulation *simulation) place() {
	running := 0
	for _, tasks := range simulation.tasks {
		running += len(tasks)
	}
	for ; running < workerCount*slotsPerWorker*3/4; running++ {
		if len(simulation.queue) == 0 {
			simulation.lastJob++
			classes := []string{"batch-a", "batch-a", "batch-b", "batch-b", "batch-c", "batch-c", "batch-d", "batch-d", "batch-e", "batch-f"}
			simulation.queue = append(simulation.queue, &task{
				name: ident.Task{Job: ident.Job(fmt.Sprintf("job-%d", simulation.lastJob))}, class: classes[simulation.random.IntN(len(classes))],
			})
		}
		task := simulation.queue[0]
		simulation.queue = simulation.queue[1:]
		task.percent = 100
		task.epoch++
		best, minPredicted := -1, 0
		for index, tasks := range simulation.tasks {
			if len(tasks) >= slotsPerWorker {
				continue
			}
			predicted := 0
			if simulation.useModel {
				residents := []string{task.class}
				for _, resident := range tasks {
					residents = append(residents, resident.class)
				}
				predicted = simulation.model.At(simulation.load(index)).Slowdown(serviceName, residents)
			}
			if best < 0 || predicted < minPredicted {
				best, minPredicted = index, predicted
			}
		}
		simulation.tasks[best] = append(simulation.tasks[best], task)
	}
}

// work advances the tasks of a worker by a second and measures the slowdown with noise.
func (simulation *simulation) work(index int) {
	actual := simulation.slowdown(index)
	measured := int(actual + simulation.random.NormFloat64()*4)
	simulation.slowdowns = append(simulation.slowdowns, int(actual))
	simulation.measurements[index] = append(simulation.measurements[index], max(measured, 100))
	var running []*task
	for _, task := range simulation.tasks[index] {
		task.progress += clock.Second * clock.Millis(task.percent) / 100
		if task.progress >= taskDuration {
			simulation.finished++
			continue
		}
		running = append(running, task)
	}
	simulation.tasks[index] = running
}

// report passes the measurement of measurementLag ago to the model and the governor, and carries out the
// actions.
func (simulation *simulation) report(index int) {
	now := simulation.fakeClock.Now()
	name := ident.Worker(fmt.Sprintf("worker-%02d", index))
	residents := []interference.Resident{{Class: serviceName, Percent: 100}}
	sample := interference.Sample{Worker: name, Service: serviceName, Class: serviceName, Target: targetPercent, Load: simulation.load(index)}
	for _, task := range simulation.tasks[index] {
		residents = append(residents, interference.Resident{Class: task.class, Percent: task.percent})
		sample.Candidates = append(sample.Candidates, interference.Candidate{
			Task: task.name, Epoch: task.epoch, Class: task.class, Throttle: task.percent, UnsavedMillis: task.progress - task.checkpoint,
		})
	}
	position := len(simulation.measurements[index]) - 1 - int(measurementLag/clock.Second)
	if position < 0 {
		simulation.model.Residents(name, residents, simulation.load(index), now)
		return
	}
	sample.Slowdown = simulation.measurements[index][position]
	simulation.model.Residents(name, residents, simulation.load(index), now)
	simulation.model.Observe(name, serviceName, sample.Slowdown, measurementLag, now)
	if simulation.governor == nil {
		return
	}
	for _, action := range simulation.governor.Step(sample, now) {
		simulation.carryOut(index, action)
	}
}

func (simulation *simulation) carryOut(index int, action interference.Action) {
	position := slices.IndexFunc(simulation.tasks[index], func(task *task) bool { return task.name == action.Task })
	if position < 0 {
		panic(fmt.Sprintf("action %+v on a task that is not on the worker", action))
	}
	task := simulation.tasks[index][position]
	switch action.Kind {
	case interference.Throttle:
		task.percent = action.Percent
		simulation.throttles++
	case interference.Checkpoint:
		task.checkpoint = task.progress
	case interference.Evict:
		task.progress = task.checkpoint
		simulation.tasks[index] = slices.Delete(simulation.tasks[index], position, position+1)
		simulation.queue = append(simulation.queue, task)
		simulation.evictions++
	}
}

// p99 returns the 99th percentile of the actual slowdown over workers and seconds, in percent.
func (simulation *simulation) p99() int {
	sorted := slices.Clone(simulation.slowdowns)
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}
