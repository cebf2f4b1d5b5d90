package interference_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/interference"
)

// The world is a small seeded model of workers that run one service endpoint and batch tasks each.
const (
	workers     = 20
	places      = 6
	serviceName = "checks"
	target      = 120
	// Measurements are reported every 5 s and are 5 s old, as the platform's usage reports lag.
	reportMillis = 5 * clock.Second
	lagMillis    = 5 * clock.Second
	taskMillis   = 15 * clock.Minute
)

// harm is the actual slowdown of the service by one unthrottled task per class, in points, at full
// load. The harmful classes are a minority, as in the operators' description.
var harm = map[string]float64{"batch-a": 1, "batch-b": 2, "batch-c": 3, "batch-d": 5, "batch-e": 25, "batch-f": 45}

type task struct {
	name    ident.Task
	epoch   ident.Epoch
	class   string
	percent int
	done    clock.Millis
	saved   clock.Millis
}

type world struct {
	random   *rand.Rand
	fake     *clock.Fake
	model    *interference.Model
	governor *interference.Governor
	// learned tells whether placement and the governor use the model.
	learned  bool
	tasks    [workers][]*task
	measured [workers][]int
	queue    []*task
	next     int

	slowdowns []int
	evictions int
	changes   int
	finished  int
}

// newWorld returns a world with the preset's governor. Without a model, placement is first fit and
// the governor takes all tasks for equally harmful. Nil settings stand for no governor.
func newWorld(seed uint64, settings *interference.GovernorSettings, learned bool) *world {
	world := &world{
		random:  rand.New(rand.NewPCG(seed, 7)),
		fake:    clock.NewFake(clock.Time(clock.Minute)),
		model:   interference.New(interference.Defaults()),
		learned: learned,
	}
	if settings != nil {
		chosen := *settings
		var predictor interference.Predictor
		if learned {
			predictor = world.model
		} else {
			chosen.LeastEffect = 0
		}
		world.governor = interference.NewGovernor(chosen, predictor)
	}
	return world
}

func (world *world) run(millis clock.Millis) {
	for end := world.fake.Now().Add(millis); world.fake.Now().Before(end); world.fake.Advance(clock.Second) {
		world.place()
		for index := range world.tasks {
			world.work(index)
			if world.fake.Now()%clock.Time(reportMillis) == 0 {
				world.report(index)
			}
		}
	}
}

// noisy tells whether a wave is on for a worker: 4 minutes in every 15, on a third of the workers.
func (world *world) noisy(index int) bool {
	wave := int64(world.fake.Now()) / int64(15*clock.Minute)
	return int64(world.fake.Now())%int64(15*clock.Minute) < int64(4*clock.Minute) && (int64(index)+wave)%3 == 0
}

// slowdown is the actual slowdown of the service on a worker.
func (world *world) slowdown(index int) float64 {
	sum := 0.0
	for _, task := range world.tasks[index] {
		effect := harm[task.class] * float64(task.percent) / 100
		if world.noisy(index) {
			effect *= 2
		}
		sum += effect
	}
	return 100 + sum*(0.4+0.6*float64(world.load(index))/100)
}

func (world *world) load(index int) int {
	load := 10
	for _, task := range world.tasks[index] {
		load += 15 * task.percent / 100
	}
	return load
}

// place keeps the workers three quarters full, from a queue of evicted and new tasks.
func (world *world) place() {
	running := 0
	for _, tasks := range world.tasks {
		running += len(tasks)
	}
	for ; running < workers*places*3/4; running++ {
		if len(world.queue) == 0 {
			world.next++
			classes := []string{"batch-a", "batch-a", "batch-b", "batch-b", "batch-c", "batch-c", "batch-d", "batch-d", "batch-e", "batch-f"}
			world.queue = append(world.queue, &task{
				name: ident.Task{Job: ident.Job(fmt.Sprintf("job-%d", world.next))}, class: classes[world.random.IntN(len(classes))],
			})
		}
		placed := world.queue[0]
		world.queue = world.queue[1:]
		placed.percent = 100
		placed.epoch++
		best, least := -1, 0
		for index, tasks := range world.tasks {
			if len(tasks) >= places {
				continue
			}
			predicted := 0
			if world.learned {
				residents := []string{placed.class}
				for _, resident := range tasks {
					residents = append(residents, resident.class)
				}
				predicted = world.model.At(world.load(index)).Slowdown(serviceName, residents)
			}
			if best < 0 || predicted < least {
				best, least = index, predicted
			}
		}
		world.tasks[best] = append(world.tasks[best], placed)
	}
}

// work advances the tasks of a worker by a second and takes a measurement.
func (world *world) work(index int) {
	actual := world.slowdown(index)
	noisy := int(actual + world.random.NormFloat64()*4)
	world.slowdowns = append(world.slowdowns, int(actual))
	world.measured[index] = append(world.measured[index], max(noisy, 100))
	var running []*task
	for _, task := range world.tasks[index] {
		task.done += clock.Second * clock.Millis(task.percent) / 100
		if task.done >= taskMillis {
			world.finished++
			continue
		}
		running = append(running, task)
	}
	world.tasks[index] = running
}

// report feeds the lagging measurement of a worker to the model and the governor.
func (world *world) report(index int) {
	now := world.fake.Now()
	name := ident.Worker(fmt.Sprintf("worker-%02d", index))
	residents := []interference.Resident{{Class: serviceName, Percent: 100}}
	reading := interference.Reading{Worker: name, Service: serviceName, Class: serviceName, Target: target, Load: world.load(index)}
	for _, task := range world.tasks[index] {
		residents = append(residents, interference.Resident{Class: task.class, Percent: task.percent})
		reading.Candidates = append(reading.Candidates, interference.Candidate{
			Task: task.name, Epoch: task.epoch, Class: task.class, Throttle: task.percent, UnsavedMillis: task.done - task.saved,
		})
	}
	lagged := len(world.measured[index]) - 1 - int(lagMillis/clock.Second)
	if lagged < 0 {
		world.model.Residents(name, residents, world.load(index), now)
		return
	}
	reading.Slowdown = world.measured[index][lagged]
	world.model.Residents(name, residents, world.load(index), now)
	world.model.Observe(name, serviceName, reading.Slowdown, lagMillis, now)
	if world.governor == nil {
		return
	}
	for _, action := range world.governor.Step(reading, now) {
		world.obey(index, action)
	}
}

func (world *world) obey(index int, action interference.Action) {
	position := slices.IndexFunc(world.tasks[index], func(task *task) bool { return task.name == action.Task })
	if position < 0 {
		panic(fmt.Sprintf("action %+v on a task that is not there", action))
	}
	chosen := world.tasks[index][position]
	switch action.Kind {
	case interference.Throttle:
		chosen.percent = action.Percent
		world.changes++
	case interference.Checkpoint:
		chosen.saved = chosen.done
	case interference.Evict:
		chosen.done = chosen.saved
		world.tasks[index] = slices.Delete(world.tasks[index], position, position+1)
		world.queue = append(world.queue, chosen)
		world.evictions++
	}
}

// p99 returns the 99th percentile of the actual slowdown over workers and seconds, in percent.
func (world *world) p99() int {
	sorted := slices.Clone(world.slowdowns)
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}
