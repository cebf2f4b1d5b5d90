package standin

import (
	"cmp"
	"math"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// workScale is the number of progress units in a millisecond. It makes progress under throttles and
// interference exact integer arithmetic, so that runs are reproducible.
const workScale = 10_000

// Reasons of ended tasks.
const (
	reasonLeaseLapsed = "LeaseLapsed"
	reasonPayload     = "PayloadFailure"
	reasonWorker      = "WorkerFailure"
	reasonWorkerLost  = "WorkerLost"
	reasonSuperseded  = "Superseded"
	reasonRequested   = "Requested"
	reasonMemory      = "OutOfMemory"
)

// sample is the usage of a task from time at on, with its slowdown in percent (100 means none).
type sample struct {
	at        clock.Time
	resources unit.Resources
	slowdown  int
}

// simulatedTask is a task on a worker.
type simulatedTask struct {
	spec           worker.Spec
	payload        Payload
	state          worker.State
	reason         string
	throttle       int // percent of the full processor time
	expiry         clock.Time
	scaledProgress int64 // progress in 1/workScale ms
	checkpoint     worker.Checkpoint
	run            *Run
	samples        []sample
	// end, peak and runTime are set once the task has ended.
	end     worker.EndCause
	peak    unit.Mebibytes
	runTime clock.Millis
}

// reachedPeak reports whether the task has reached the point at which it needs its peak memory.
func (task *simulatedTask) reachedPeak() bool {
	return task.payload.PeakMemory > 0 && task.scaledProgress >= int64(task.payload.RunMillis)*workScale/2
}

func (task *simulatedTask) progress() clock.Millis {
	return clock.Millis(task.scaledProgress / workScale)
}

// plannedEnd returns the progress at which the task ends, in 1/workScale ms, and its final state.
// ok is false if it does not end by itself.
func (task *simulatedTask) plannedEnd() (at int64, state worker.State, ok bool) {
	fail := int64(task.payload.FailAfterMillis) * workScale
	finish := int64(task.payload.RunMillis) * workScale
	standing := task.spec.Kind == worker.Standing
	if half := finish / 2; task.payload.PeakMemory > task.spec.Resources.Memory && (fail == 0 || half < fail) {
		return half, worker.Failed, true
	}
	if task.payload.FailAfterMillis > 0 && (standing || fail <= finish) {
		return fail, worker.Failed, true
	}
	return finish, worker.Finished, !standing
}

// advance moves the simulation to the present. It lets tasks progress at constant rates between two
// events, and ends them in the order in which they finish, fail or lose their lease. The caller
// holds mu.
func (runtime *Worker) advance() {
	now := runtime.options.Clock.Now()
	for {
		task, at, state := runtime.nextEnd()
		if wave := runtime.nextWave(); wave <= now && (task == nil || wave.Before(at)) {
			runtime.progressTo(wave)
			runtime.recordSamples()
			continue
		}
		if task == nil || at.After(now) {
			break
		}
		runtime.progressTo(at)
		reason := ""
		if state == worker.Stopped {
			reason = reasonLeaseLapsed
		}
		runtime.endTask(task, state, reason)
	}
	runtime.progressTo(now)
}

// nextEnd returns the task that ends first at the current rates, with the time and state of its
// end, or nil.
func (runtime *Worker) nextEnd() (next *simulatedTask, at clock.Time, state worker.State) {
	for _, task := range runtime.runningTasks() {
		endsAt, endState := task.expiry, worker.Stopped
		if goal, plannedState, ok := task.plannedEnd(); ok && !runtime.faults.Paused {
			rate := runtime.progressRate(task)
			remaining := max(0, goal-task.scaledProgress)
			plannedAt := runtime.simulatedUntil.Add(clock.Millis((remaining + rate - 1) / rate))
			if plannedAt.Before(endsAt) {
				endsAt, endState = plannedAt, plannedState
			}
		}
		if next == nil || endsAt.Before(at) {
			next, at, state = task, endsAt, endState
		}
	}
	return next, max(at, runtime.simulatedUntil), state
}

// nextWave returns the next time at which the load of a running task changes.
func (runtime *Worker) nextWave() clock.Time {
	next := clock.Time(math.MaxInt64)
	for _, task := range runtime.tasks {
		if wave := task.payload.WaveMillis; wave > 0 && task.state == worker.Running {
			waves := runtime.simulatedUntil.Sub(task.run.Start) / wave
			next = min(next, task.run.Start.Add((waves+1)*wave))
		}
	}
	return next
}

// load returns the task's load at simulatedUntil in percent, given its throttle and wave.
func (runtime *Worker) load(task *simulatedTask) int {
	if wave := task.payload.WaveMillis; wave > 0 && runtime.simulatedUntil.Sub(task.run.Start)/wave%2 == 1 {
		return task.throttle * lowLoadPercent / 100
	}
	return task.throttle
}

func (runtime *Worker) progressTo(at clock.Time) {
	elapsed := int64(at.Sub(runtime.simulatedUntil))
	if elapsed > 0 && !runtime.faults.Paused {
		for _, task := range runtime.runningTasks() {
			task.scaledProgress += elapsed * runtime.progressRate(task)
			if goal, _, ok := task.plannedEnd(); ok {
				task.scaledProgress = min(task.scaledProgress, goal)
			}
		}
	}
	runtime.simulatedUntil = max(runtime.simulatedUntil, at)
}

// progressRate returns the task's progress per millisecond in 1/workScale ms.
func (runtime *Worker) progressRate(task *simulatedTask) int64 {
	return max(1, int64(task.throttle)*workScale/int64(runtime.slowdown(task.payload.Class, task)))
}

// slowdown returns the run time of work of a class beside the running tasks other than self, in
// percent of its run time alone. A nil self stands for the resident endpoint.
func (runtime *Worker) slowdown(class string, self *simulatedTask) int {
	percent := 100
	var used unit.MilliCPU
	for _, other := range runtime.tasks {
		if other.state != worker.Running {
			continue
		}
		used += runtime.usage(other).CPU
		if other != self {
			percent += runtime.options.Matrix.addedPercent(class, other.payload.Class, runtime.load(other))
		}
	}
	if self != nil {
		for _, resident := range runtime.options.Residents {
			percent += runtime.options.Matrix.addedPercent(class, resident, 100)
		}
	}
	if capacity := runtime.options.Capacity.CPU; capacity > 0 && used > capacity {
		percent = percent * int(used) / int(capacity)
	}
	return max(1, percent)
}

// usage returns the resources that the task uses, given its throttle and wave.
func (runtime *Worker) usage(task *simulatedTask) unit.Resources {
	actual := task.payload.actualUsage(task.spec.Resources)
	actual.CPU = actual.CPU * unit.MilliCPU(runtime.load(task)) / 100
	return actual
}

// runningTasks returns the running tasks in order of their names. The order makes simultaneous ends
// reproducible.
func (runtime *Worker) runningTasks() []*simulatedTask {
	tasks := make([]*simulatedTask, 0, len(runtime.tasks))
	for _, task := range runtime.tasks {
		if task.state == worker.Running {
			tasks = append(tasks, task)
		}
	}
	slices.SortFunc(tasks, func(left, right *simulatedTask) int {
		return compareTasks(left.spec.Task, right.spec.Task)
	})
	return tasks
}

func compareTasks(left, right ident.Task) int {
	return cmp.Or(cmp.Compare(left.Job, right.Job), cmp.Compare(left.Index, right.Index))
}

// endTask ends a running task at simulatedUntil.
func (runtime *Worker) endTask(task *simulatedTask, state worker.State, reason string) {
	task.state, task.reason = state, reason
	task.runTime = runtime.simulatedUntil.Sub(task.run.Start)
	task.peak = runtime.usage(task).Memory
	if task.reachedPeak() {
		task.peak = min(task.payload.PeakMemory, task.spec.Resources.Memory)
	}
	switch {
	case state != worker.Failed || reason != "":
	case task.reachedPeak() && task.payload.PeakMemory > task.spec.Resources.Memory:
		task.reason, task.end = reasonMemory, worker.OutOfMemory
	default:
		task.reason = reasonPayload
	}
	runtime.options.Records.end(task.run, runtime.simulatedUntil, state, task.reason, task.progress())
	runtime.recordSamples()
}

// recordSamples appends a sample to each running task. It must be called whenever rates change.
func (runtime *Worker) recordSamples() {
	horizon := runtime.simulatedUntil.Add(-runtime.lag())
	for _, task := range runtime.runningTasks() {
		task.samples = append(task.samples, sample{
			at: runtime.simulatedUntil, resources: runtime.usage(task), slowdown: runtime.slowdown(task.payload.Class, task),
		})
		// Of the samples older than the lag, only the newest is reported.
		for len(task.samples) > 1 && !task.samples[1].at.After(horizon) {
			task.samples = task.samples[1:]
		}
	}
}

// laggingUsage returns the task's usage as it was before the lag. ok is false if the task was not
// running then.
func (runtime *Worker) laggingUsage(task *simulatedTask) (usage worker.Usage, ok bool) {
	horizon := runtime.simulatedUntil.Add(-runtime.lag())
	for _, sample := range task.samples {
		if sample.at.After(horizon) {
			break
		}
		usage = worker.Usage{
			Task: task.spec.Task, Resources: sample.resources, Slowdown: sample.slowdown, Lag: runtime.lag(),
		}
		ok = true
	}
	return usage, ok
}

func (runtime *Worker) lag() clock.Millis {
	return runtime.options.UsageLag + runtime.faults.UsageLagMillis
}
