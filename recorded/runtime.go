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

// runtimeInterval is the interval at which tasks make progress.
const runtimeInterval = 500 * clock.Millisecond

// profile is the actual behaviour of a task, which differs from its declaration.
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
	// faulty makes every task fail 200 ms after its start.
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
	progress   clock.Millis
	checkpoint worker.Checkpoint
	// savedProgress is the progress saved in the checkpoint.
	savedProgress    clock.Millis
	measuredSlowdown int
}

func newRuntime(agent *agent) runtime {
	runtime := runtime{agent: agent, tasks: make(map[ident.Task]*runningTask), ended: make(map[ident.Task]worker.Status)}
	agent.deployment.every(runtimeInterval, func() bool {
		agent.runtime.step()
		return true
	})
	return runtime
}

func (runtime *runtime) now() worker.Instant {
	return worker.Instant(runtime.agent.deployment.now()) + runtime.agent.skew
}

func (runtime *runtime) renew(expiry worker.Instant) { runtime.expiry = max(runtime.expiry, expiry) }

// start runs a task and asserts the invariants of a start.
func (runtime *runtime) start(spec placement.TaskSpec, ref placement.TaskRef) {
	agent := runtime.agent
	deployment := agent.deployment
	deployment.checks.taskStarted(agent, spec, ref)
	deployment.taskAgents[ref.Task] = agent
	task := &runningTask{
		epoch: ref.Epoch, kind: spec.Kind, class: spec.Class, urgent: spec.Urgent, size: spec.Size,
		profile: deployment.profiles[ref.Task], throttle: 100, checkpoint: spec.Checkpoint,
	}
	task.progress = deployment.checkpointedWork[spec.Checkpoint.Name]
	task.savedProgress = task.progress
	runtime.tasks[ref.Task] = task
	if runtime.faulty {
		deployment.after(200, func() {
			if runtime.tasks[ref.Task] == task {
				runtime.end(ref.Task, worker.Failed, "the worker fails what it starts")
			}
		})
	}
}

// step stops all tasks if the lease has lapsed, and otherwise advances each of them.
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
		gain := runtimeInterval * 100 / clock.Millis(runtime.slowdown(task)) * clock.Millis(task.throttle) / 100
		if task.kind == worker.Standing {
			agent.deployment.measures.StandingMillis += runtimeInterval
			continue
		}
		agent.deployment.measures.Losses.addStep(runtime, task)
		gain = min(gain, task.profile.work-task.progress)
		task.progress += gain
		agent.deployment.measures.addWork(agent.deployment, gain)
		if task.progress >= task.profile.work {
			runtime.end(name, worker.Finished, "")
		}
	}
}

// endLargest ends the largest tasks until the others fit in the worker's memory.
func (runtime *runtime) endLargest(names []ident.Task) {
	for {
		var sum, largestMemory unit.Mebibytes
		var largest ident.Task
		for _, name := range names {
			if task, ok := runtime.tasks[name]; ok {
				sum += task.profile.actual.Memory
				if task.profile.actual.Memory > largestMemory {
					largest, largestMemory = name, task.profile.actual.Memory
				}
			}
		}
		if sum <= runtime.agent.capacity.Memory {
			return
		}
		runtime.end(largest, worker.Failed, outOfMemory)
	}
}

// slowdown returns the actual slowdown of a task in percent, or that of the endpoint if subject is
// nil.
func (runtime *runtime) slowdown(subject *runningTask) int {
	noise := runtime.agent.deployment.session.Batch.NoisePercent
	points := 0
	for _, name := range sortedTasks(runtime.tasks) {
		if task := runtime.tasks[name]; task != subject {
			points += noise[task.class] * task.throttle / 100
		}
	}
	if subject != nil {
		// Batch tasks have caches of their own, so interference slows them less than the endpoint.
		points /= 3
	}
	return (100 + points) * max(runtime.load(), 100) / 100
}

// load returns the processor time that the tasks demand, in percent of the worker's.
func (runtime *runtime) load() int {
	demand := unit.MilliCPU(0)
	for _, task := range runtime.tasks {
		demand += task.profile.actual.CPU * unit.MilliCPU(task.throttle) / 100
	}
	return int(demand * 100 / runtime.agent.capacity.CPU)
}

// checkpoint saves the task's progress.
func (runtime *runtime) checkpoint(name ident.Task) {
	task := runtime.tasks[name]
	task.checkpoint = worker.Checkpoint{Epoch: task.epoch, Name: fmt.Sprintf("%s-%d-%d", name, task.epoch, runtime.agent.deployment.now())}
	task.savedProgress = task.progress
	runtime.agent.deployment.checkpointedWork[task.checkpoint.Name] = task.progress
}

// end removes a running task and keeps its final status until it is forgotten.
func (runtime *runtime) end(name ident.Task, state worker.State, reason string) {
	agent := runtime.agent
	deployment := agent.deployment
	task := runtime.tasks[name]
	delete(runtime.tasks, name)
	delete(deployment.taskAgents, name)
	status := worker.Status{Task: name, Epoch: task.epoch, State: state, Resources: task.size, Checkpoint: task.checkpoint, Throttle: task.throttle, Reason: reason}
	if reason == outOfMemory {
		status.End = worker.OutOfMemory
	}
	runtime.ended[name] = status
	deployment.checks.taskEnded(agent, status)
	if state != worker.Finished {
		deployment.measures.addLost(deployment, task.progress-task.savedProgress)
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

// newJob draws the actual behaviour of a job's tasks and submits the job.
func (deployment *deployment) newJob(spec job.Spec, actual func() profile) {
	spec.Team, spec.Region = deployment.session.Team, deployment.session.Region
	for index := range spec.Count {
		taskProfile := actual()
		taskProfile.class = spec.Class
		deployment.profiles[ident.Task{Job: spec.Job, Index: index}] = &taskProfile
	}
	deployment.submit(spec)
}
