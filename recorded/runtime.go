package recorded

import (
	"cmp"
	"fmt"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/placement"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// outOfMemory is the reason of a task that the platform ended for lack of memory.
const outOfMemory = "out of memory"

// runtimeStep is the interval at which tasks make progress.
const runtimeStep = 500 * clock.Millisecond

// profile is what a task really needs, which its declaration does not tell.
type profile struct {
	class  string
	actual unit.Resources
	work   clock.Millis
}

// runtime is the platform's worker runtime: it runs tasks until their lease lapses.
type runtime struct {
	agent  *agent
	tasks  map[ident.Task]*runningTask
	ended  map[ident.Task]worker.Status
	expiry worker.Instant
	// faulty makes every task fail soon after its start.
	faulty bool
}

type runningTask struct {
	epoch      ident.Epoch
	kind       worker.Kind
	class      string
	urgent     bool
	size       unit.Resources
	profile    *profile
	throttle   int
	done       clock.Millis
	checkpoint worker.Checkpoint
	// kept is the work that the checkpoint holds.
	kept     clock.Millis
	measured int
}

func newRuntime(agent *agent) runtime {
	runtime := runtime{agent: agent, tasks: make(map[ident.Task]*runningTask), ended: make(map[ident.Task]worker.Status)}
	agent.deployment.every(runtimeStep, func() bool {
		agent.runtime.step()
		return true
	})
	return runtime
}

func (runtime *runtime) now() worker.Instant {
	return worker.Instant(runtime.agent.deployment.now()) + runtime.agent.skew
}

func (runtime *runtime) renew(expiry worker.Instant) { runtime.expiry = max(runtime.expiry, expiry) }

// start runs a task and asserts everything that must hold at a start.
func (runtime *runtime) start(spec placement.TaskSpec, ref placement.TaskRef) {
	agent := runtime.agent
	deployment := agent.deployment
	deployment.checks.started(agent, spec, ref)
	deployment.places[ref.Task] = agent
	task := &runningTask{
		epoch: ref.Epoch, kind: spec.Kind, class: spec.Class, urgent: spec.Urgent, size: spec.Size,
		profile: deployment.profiles[ref.Task], throttle: 100, checkpoint: spec.Checkpoint,
	}
	task.done = deployment.saved[spec.Checkpoint.Name]
	task.kept = task.done
	runtime.tasks[ref.Task] = task
	if runtime.faulty {
		deployment.after(200, func() {
			if runtime.tasks[ref.Task] == task {
				runtime.end(ref.Task, worker.Failed, "the worker fails what it starts")
			}
		})
	}
}

// step stops the tasks of a lapsed lease, and otherwise lets each make progress.
func (runtime *runtime) step() {
	agent := runtime.agent
	if len(runtime.tasks) == 0 {
		return
	}
	names := sortedTasks(runtime.tasks)
	if runtime.now() >= runtime.expiry {
		for _, name := range names {
			runtime.end(name, worker.Stopped, "lease lapsed")
		}
		return
	}
	runtime.endLargest(names)
	for _, name := range names {
		task, ok := runtime.tasks[name]
		if !ok {
			continue
		}
		gained := runtimeStep * 100 / clock.Millis(runtime.slowdown(task)) * clock.Millis(task.throttle) / 100
		if task.kind == worker.Standing {
			agent.deployment.measures.StandingMillis += runtimeStep
			continue
		}
		agent.deployment.measures.Losses.slowed(runtime, task)
		gained = min(gained, task.profile.work-task.done)
		task.done += gained
		agent.deployment.measures.work(agent.deployment, gained)
		if task.done >= task.profile.work {
			runtime.end(name, worker.Finished, "")
		}
	}
}

// endLargest ends the largest task while the tasks need more memory than the worker has.
func (runtime *runtime) endLargest(names []ident.Task) {
	for {
		var sum, most unit.Mebibytes
		var largest ident.Task
		for _, name := range names {
			if task, ok := runtime.tasks[name]; ok {
				sum += task.profile.actual.Memory
				if task.profile.actual.Memory > most {
					largest, most = name, task.profile.actual.Memory
				}
			}
		}
		if sum <= runtime.agent.capacity.Memory {
			return
		}
		runtime.end(largest, worker.Failed, outOfMemory)
	}
}

// slowdown is the true slowdown of a task in percent, or of the endpoint for nil.
func (runtime *runtime) slowdown(of *runningTask) int {
	noise := runtime.agent.deployment.session.Batch.NoisePercent
	points := 0
	for _, name := range sortedTasks(runtime.tasks) {
		if task := runtime.tasks[name]; task != of {
			points += noise[task.class] * task.throttle / 100
		}
	}
	if of != nil {
		// Batch tasks have caches of their own and suffer less than the endpoint.
		points /= 3
	}
	return (100 + points) * max(runtime.load(), 100) / 100
}

// load is the processor time that the tasks want in percent of the worker's.
func (runtime *runtime) load() int {
	wanted := unit.MilliCPU(0)
	for _, task := range runtime.tasks {
		wanted += task.profile.actual.CPU * unit.MilliCPU(task.throttle) / 100
	}
	return int(wanted * 100 / runtime.agent.capacity.CPU)
}

// checkpoint saves the task's progress.
func (runtime *runtime) checkpoint(name ident.Task) {
	task := runtime.tasks[name]
	task.checkpoint = worker.Checkpoint{Epoch: task.epoch, Name: fmt.Sprintf("%s-%d-%d", name, task.epoch, runtime.agent.deployment.now())}
	task.kept = task.done
	runtime.agent.deployment.saved[task.checkpoint.Name] = task.done
}

// end removes a running task and keeps its end until it is forgotten.
func (runtime *runtime) end(name ident.Task, state worker.State, reason string) {
	agent := runtime.agent
	deployment := agent.deployment
	task := runtime.tasks[name]
	delete(runtime.tasks, name)
	delete(deployment.places, name)
	status := worker.Status{Task: name, Epoch: task.epoch, State: state, Resources: task.size, Checkpoint: task.checkpoint, Throttle: task.throttle, Reason: reason}
	if reason == outOfMemory {
		status.End = worker.OutOfMemory
	}
	runtime.ended[name] = status
	deployment.checks.ended(agent, status)
	if state != worker.Finished {
		deployment.measures.lose(deployment, task.done-task.kept)
	}
	deployment.log.write("%s End Task=%s Epoch=%d State=%s Reason=%q", agent.name, name, task.epoch, state, reason)
	ledger := agent.ledger
	agent.receive(func() {
		if !agent.alive || agent.ledger != ledger {
			return
		}
		ledger.Ended(name, task.epoch, deployment.now())
		if home := deployment.jobHome(name.Job); home != nil {
			deployment.send(func() { home.taskEnded(agent, status) })
		}
	})
}

// sortedTasks returns the keys in ascending order.
func sortedTasks[Value any](tasks map[ident.Task]Value) []ident.Task {
	names := make([]ident.Task, 0, len(tasks))
	for name := range tasks {
		names = append(names, name)
	}
	slices.SortFunc(names, func(left, right ident.Task) int {
		return cmp.Or(cmp.Compare(left.Job, right.Job), cmp.Compare(left.Index, right.Index))
	})
	return names
}

// newJob draws what the tasks of a job really need and submits it.
func (deployment *deployment) newJob(spec job.Spec, actual func() profile) {
	spec.Team, spec.Region = deployment.session.Team, deployment.session.Region
	for index := range spec.Count {
		drawn := actual()
		drawn.class = spec.Class
		deployment.profiles[ident.Task{Job: spec.Job, Index: index}] = &drawn
	}
	deployment.submit(spec)
}
