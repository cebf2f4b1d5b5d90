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

// workScale divides a millisecond of progress, so that throttled and slowed progress is exact
// integer arithmetic and runs are reproducible.
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

// sample is what a task used from At on.
type sample struct {
	at        clock.Time
	resources unit.Resources
	slowdown  int
}

// simulated is one task on a worker.
type simulated struct {
	spec       worker.Spec
	payload    Payload
	state      worker.State
	reason     string
	throttle   int
	expiry     clock.Time
	done       int64 // progress in 1/workScale ms
	checkpoint worker.Checkpoint
	run        *Run
	samples    []sample
	// end, peak and ran are set once the task has ended.
	end  worker.End
	peak unit.Mebibytes
	ran  clock.Millis
}

// peaked reports whether the task has reached the point at which it needs its peak memory.
func (task *simulated) peaked() bool {
	return task.payload.PeakMemory > 0 && task.done >= int64(task.payload.RunMillis)*workScale/2
}

func (task *simulated) progress() clock.Millis {
	return clock.Millis(task.done / workScale)
}

// goal returns the progress at which the task ends and how it ends; ok is false if it never does.
func (task *simulated) goal() (at int64, state worker.State, ok bool) {
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

// advance moves the simulation to now: it lets tasks progress at the rates between two events and
// ends them in the order in which they finish, fail or lose their lease. The caller holds mu.
func (runtime *Worker) advance() {
	now := runtime.options.Clock.Now()
	for {
		task, at, state := runtime.nextEnd()
		if wave := runtime.nextWave(); wave <= now && (task == nil || wave.Before(at)) {
			runtime.progressTo(wave)
			runtime.observe()
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
		runtime.end(task, state, reason)
	}
	runtime.progressTo(now)
}

// nextEnd returns the task that ends first at the current rates, or nil.
func (runtime *Worker) nextEnd() (next *simulated, at clock.Time, state worker.State) {
	for _, task := range runtime.running() {
		ends, how := task.expiry, worker.Stopped
		if goal, result, ok := task.goal(); ok && !runtime.faults.Paused {
			rate := runtime.rate(task)
			left := max(0, goal-task.done)
			reached := runtime.settled.Add(clock.Millis((left + rate - 1) / rate))
			if reached.Before(ends) {
				ends, how = reached, result
			}
		}
		if next == nil || ends.Before(at) {
			next, at, state = task, ends, how
		}
	}
	return next, max(at, runtime.settled), state
}

// nextWave returns the next time at which the load of a running task changes.
func (runtime *Worker) nextWave() clock.Time {
	next := clock.Time(math.MaxInt64)
	for _, task := range runtime.tasks {
		if wave := task.payload.WaveMillis; wave > 0 && task.state == worker.Running {
			passed := runtime.settled.Sub(task.run.Start) / wave
			next = min(next, task.run.Start.Add((passed+1)*wave))
		}
	}
	return next
}

// load returns the task's load in percent at the settled time, under its throttle and wave.
func (runtime *Worker) load(task *simulated) int {
	if wave := task.payload.WaveMillis; wave > 0 && runtime.settled.Sub(task.run.Start)/wave%2 == 1 {
		return task.throttle * quietPercent / 100
	}
	return task.throttle
}

func (runtime *Worker) progressTo(at clock.Time) {
	elapsed := int64(at.Sub(runtime.settled))
	if elapsed > 0 && !runtime.faults.Paused {
		for _, task := range runtime.running() {
			task.done += elapsed * runtime.rate(task)
			if goal, _, ok := task.goal(); ok {
				task.done = min(task.done, goal)
			}
		}
	}
	runtime.settled = max(runtime.settled, at)
}

// rate returns the progress per millisecond in 1/workScale ms.
func (runtime *Worker) rate(task *simulated) int64 {
	return max(1, int64(task.throttle)*workScale/int64(runtime.slowdown(task.payload.Class, task)))
}

// slowdown returns the run time of work of a class, relative to running alone and in percent,
// beside the running tasks other than self. Without self, the work is the resident endpoint's.
func (runtime *Worker) slowdown(class string, self *simulated) int {
	percent := 100
	var used unit.MilliCPU
	for _, other := range runtime.tasks {
		if other.state != worker.Running {
			continue
		}
		used += runtime.usage(other).CPU
		if other != self {
			percent += runtime.options.Matrix.extra(class, other.payload.Class, runtime.load(other))
		}
	}
	if self != nil {
		for _, resident := range runtime.options.Residents {
			percent += runtime.options.Matrix.extra(class, resident, 100)
		}
	}
	if capacity := runtime.options.Capacity.CPU; capacity > 0 && used > capacity {
		percent = percent * int(used) / int(capacity)
	}
	return max(1, percent)
}

// usage returns what the task uses under its throttle and wave.
func (runtime *Worker) usage(task *simulated) unit.Resources {
	actual := task.payload.actual(task.spec.Resources)
	actual.CPU = actual.CPU * unit.MilliCPU(runtime.load(task)) / 100
	return actual
}

// running returns the running tasks in order of their names, so that ties end reproducibly.
func (runtime *Worker) running() []*simulated {
	tasks := make([]*simulated, 0, len(runtime.tasks))
	for _, task := range runtime.tasks {
		if task.state == worker.Running {
			tasks = append(tasks, task)
		}
	}
	slices.SortFunc(tasks, func(left, right *simulated) int {
		return compareTasks(left.spec.Task, right.spec.Task)
	})
	return tasks
}

func compareTasks(left, right ident.Task) int {
	return cmp.Or(cmp.Compare(left.Job, right.Job), cmp.Compare(left.Index, right.Index))
}

// end records the end of a running task at the settled time.
func (runtime *Worker) end(task *simulated, state worker.State, reason string) {
	task.state, task.reason = state, reason
	task.ran = runtime.settled.Sub(task.run.Start)
	task.peak = runtime.usage(task).Memory
	if task.peaked() {
		task.peak = min(task.payload.PeakMemory, task.spec.Resources.Memory)
	}
	switch {
	case state != worker.Failed || reason != "":
	case task.peaked() && task.payload.PeakMemory > task.spec.Resources.Memory:
		task.reason, task.end = reasonMemory, worker.OutOfMemory
	default:
		task.reason = reasonPayload
	}
	runtime.options.Records.end(task.run, runtime.settled, state, task.reason, task.progress())
	runtime.observe()
}

// observe appends a sample to each running task. It is called whenever rates change.
func (runtime *Worker) observe() {
	horizon := runtime.settled.Add(-runtime.lag())
	for _, task := range runtime.running() {
		task.samples = append(task.samples, sample{
			at: runtime.settled, resources: runtime.usage(task), slowdown: runtime.slowdown(task.payload.Class, task),
		})
		// Only the newest sample that is old enough to be reported is needed.
		for len(task.samples) > 1 && !task.samples[1].at.After(horizon) {
			task.samples = task.samples[1:]
		}
	}
}

// report returns the task's usage as it was before the lag; ok is false if it did not run then.
func (runtime *Worker) report(task *simulated) (usage worker.Usage, ok bool) {
	horizon := runtime.settled.Add(-runtime.lag())
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
