package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/objectstore"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// checkpointStore is the part of the object store that a worker uses.
type checkpointStore interface {
	Put(ctx context.Context, name objectstore.Name, value []byte) error
	Get(ctx context.Context, name objectstore.Name) ([]byte, error)
}

// WorkerOptions configures a Worker.
type WorkerOptions struct {
	Name     ident.Worker
	Capacity unit.Resources
	// Clock is shared by all workers that have the same Records.
	Clock clock.Clock
	// ClockOffset is added to Clock to give the worker's own clock.
	ClockOffset clock.Millis
	// UsageLag is the age of reported usage.
	UsageLag clock.Millis
	// Matrix gives the interference between classes of tasks.
	Matrix Matrix
	// Residents are the classes of work that always run on the worker, such as an endpoint's.
	Residents []string
	// Objects stores the checkpoints.
	Objects checkpointStore
	// Records receives every start and end of a task.
	Records *Records
	// Seed determines which starts fail.
	Seed uint64
}

// Worker is a simulated worker.Runtime. It doesn't refuse tasks above its capacity; Records counts
// them as violations. It is safe for concurrent use.
type Worker struct {
	options WorkerOptions

	mu     sync.Mutex
	faults WorkerFaults
	resume chan struct{} // closed when the worker is not paused
	random *rand.Rand
	tasks  map[ident.Task]*simulatedTask
	// fences holds the lowest epoch of each task that may still start.
	fences map[ident.Task]ident.Epoch
	// unsaved holds the checkpoints that the object store has not accepted yet.
	unsaved        map[string][]byte
	simulatedUntil clock.Time

	saveMutex sync.Mutex // keeps an older checkpoint from replacing a newer one
}

// NewWorker returns a healthy Worker without tasks.
func NewWorker(options WorkerOptions) *Worker {
	resume := make(chan struct{})
	close(resume)
	runtime := &Worker{
		options:        options,
		resume:         resume,
		random:         newRandom(options.Seed),
		tasks:          make(map[ident.Task]*simulatedTask),
		fences:         make(map[ident.Task]ident.Epoch),
		unsaved:        make(map[string][]byte),
		simulatedUntil: options.Clock.Now(),
	}
	options.Records.addUpdater(runtime.updateRecords)
	return runtime
}

// toInstant converts a time on the shared clock to the worker's own clock.
func (runtime *Worker) toInstant(at clock.Time) worker.Instant {
	return worker.Instant(at.Add(runtime.options.ClockOffset))
}

func (runtime *Worker) toTime(instant worker.Instant) clock.Time {
	return clock.Time(instant).Add(-runtime.options.ClockOffset)
}

// Start runs the task until expiry, unless the lease is renewed. It stops an older epoch of the
// same task first. An epoch that has ended is not started again, but one whose start failed can be.
func (runtime *Worker) Start(ctx context.Context, spec worker.Spec, expiry worker.Instant) error {
	if err := runtime.beforeCall(ctx); err != nil {
		return err
	}
	payload, err := ParsePayload(spec.Payload)
	if err != nil {
		return worker.ErrStartFailed{Task: spec.Task, Reason: err.Error()}
	}
	progress, err := runtime.loadCheckpoint(ctx, spec)
	if err != nil {
		return err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	if !runtime.toTime(expiry).After(runtime.simulatedUntil) {
		return worker.ErrLeaseLapsed{Expiry: expiry, Now: runtime.toInstant(runtime.simulatedUntil)}
	}
	current := runtime.tasks[spec.Task]
	if current != nil && current.spec.Epoch == spec.Epoch {
		return runtime.afterCall()
	}
	if fence := runtime.fences[spec.Task]; spec.Epoch < fence {
		return worker.ErrStaleEpoch{Task: spec.Task, Epoch: spec.Epoch, Have: fence}
	}
	if current != nil && current.state == worker.Running {
		runtime.endTask(current, worker.Stopped, reasonSuperseded)
	}
	runtime.fences[spec.Task] = spec.Epoch
	if runtime.startFails() {
		runtime.options.Records.countStartFailure()
		return worker.ErrStartFailed{Task: spec.Task, Reason: "stand-in fails starts"}
	}
	runtime.fences[spec.Task] = spec.Epoch + 1
	runtime.startTask(spec, payload, progress, runtime.toTime(expiry))
	return runtime.afterCall()
}

// startTask adds a running task with the given progress.
func (runtime *Worker) startTask(spec worker.Spec, payload Payload, progress clock.Millis, expiry clock.Time) {
	task := &simulatedTask{
		spec: spec, payload: payload, state: worker.Running, throttle: 100, expiry: expiry,
		scaledProgress: int64(progress) * workScale, checkpoint: spec.Checkpoint,
	}
	runtime.tasks[spec.Task] = task
	task.run = runtime.options.Records.start(runtime.options.Name, spec, runtime.simulatedUntil, progress, payload.RunMillis)
	runtime.checkCapacity()
	runtime.recordSamples()
	if runtime.faults.FailEverything {
		runtime.endTask(task, worker.Failed, reasonWorker)
	}
	runtime.advance()
}

func (runtime *Worker) checkCapacity() {
	var used unit.Resources
	for _, task := range runtime.tasks {
		if task.state == worker.Running {
			used = used.Add(task.spec.Resources)
		}
	}
	if !used.FitsIn(runtime.options.Capacity) {
		runtime.options.Records.capacityExceeded(runtime.options.Name, runtime.simulatedUntil, used, runtime.options.Capacity)
	}
}

// loadCheckpoint returns the progress saved in the checkpoint of spec, or 0 without a checkpoint.
func (runtime *Worker) loadCheckpoint(ctx context.Context, spec worker.Spec) (clock.Millis, error) {
	name := spec.Checkpoint.Name
	if name == "" {
		return 0, nil
	}
	runtime.mu.Lock()
	value, ok := runtime.unsaved[name]
	runtime.mu.Unlock()
	if !ok {
		var err error
		if value, err = runtime.options.Objects.Get(ctx, objectstore.Name(name)); err != nil {
			return 0, worker.ErrStartFailed{Task: spec.Task, Reason: err.Error()}
		}
	}
	var saved savedState
	if err := json.Unmarshal(value, &saved); err != nil {
		return 0, worker.ErrStartFailed{Task: spec.Task, Reason: fmt.Sprintf("checkpoint %s: %v", name, err)}
	}
	if saved.Task != spec.Task.String() || saved.Epoch != uint64(spec.Checkpoint.Epoch) {
		return 0, worker.ErrStartFailed{Task: spec.Task, Reason: fmt.Sprintf("checkpoint %s is of task %s epoch %d", name, saved.Task, saved.Epoch)}
	}
	return saved.ProgressMillis, nil
}

// Renew extends the lease of all running tasks to expiry and returns the time on the worker's own
// clock. It fails with ErrLeaseLapsed if expiry has passed.
func (runtime *Worker) Renew(ctx context.Context, expiry worker.Instant) (worker.Instant, error) {
	if err := runtime.beforeCall(ctx); err != nil {
		return 0, err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	now := runtime.toInstant(runtime.simulatedUntil)
	if expiry <= now {
		return now, worker.ErrLeaseLapsed{Expiry: expiry, Now: now}
	}
	for _, task := range runtime.runningTasks() {
		task.expiry = max(task.expiry, runtime.toTime(expiry))
	}
	return now, runtime.afterCall()
}

// Throttle limits the task's processor time to percent, from 1 to 100, of its share.
func (runtime *Worker) Throttle(ctx context.Context, name ident.Task, epoch ident.Epoch, percent int) error {
	return runtime.updateTask(ctx, name, epoch, func(task *simulatedTask) {
		task.throttle = min(max(percent, 1), 100)
		runtime.recordSamples()
	})
}

// Stop ends the task. Stopping an ended task is no error. The epoch can't start later, even if the
// worker has no record of it.
func (runtime *Worker) Stop(ctx context.Context, name ident.Task, epoch ident.Epoch) error {
	if err := runtime.beforeCall(ctx); err != nil {
		return err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	task, err := runtime.findTask(name, epoch)
	if err != nil {
		// A start that is still in transit must not take effect after the stop of the same epoch.
		runtime.fences[name] = max(runtime.fences[name], epoch+1)
		return err
	}
	if task.state == worker.Running {
		runtime.endTask(task, worker.Stopped, reasonRequested)
	}
	return runtime.afterCall()
}

// Forget removes the record of an ended task. It has no effect on a running task.
func (runtime *Worker) Forget(ctx context.Context, name ident.Task, epoch ident.Epoch) error {
	return runtime.updateTask(ctx, name, epoch, func(task *simulatedTask) {
		if task.state != worker.Running {
			delete(runtime.tasks, name)
		}
	})
}

// updateTask applies a call to the record of the task's epoch.
func (runtime *Worker) updateTask(ctx context.Context, name ident.Task, epoch ident.Epoch, apply func(task *simulatedTask)) error {
	if err := runtime.beforeCall(ctx); err != nil {
		return err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	task, err := runtime.findTask(name, epoch)
	if err != nil {
		return err
	}
	apply(task)
	return runtime.afterCall()
}

// findTask returns the record of the task's epoch. It fails with ErrNoSuchTask or ErrStaleEpoch.
func (runtime *Worker) findTask(name ident.Task, epoch ident.Epoch) (*simulatedTask, error) {
	task := runtime.tasks[name]
	switch {
	case task == nil || task.spec.Epoch < epoch:
		return nil, worker.ErrNoSuchTask{Task: name, Epoch: epoch}
	case task.spec.Epoch > epoch:
		return nil, worker.ErrStaleEpoch{Task: name, Epoch: epoch, Have: task.spec.Epoch}
	}
	return task, nil
}

// List reports the running tasks and the ended ones that were not forgotten, in order of their
// names.
func (runtime *Worker) List(ctx context.Context) (worker.Report, error) {
	if err := runtime.beforeCall(ctx); err != nil {
		return worker.Report{}, err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	report := worker.Report{Now: runtime.toInstant(runtime.simulatedUntil), Capacity: runtime.options.Capacity}
	for _, task := range runtime.tasks {
		report.Tasks = append(report.Tasks, worker.Status{
			Task: task.spec.Task, Epoch: task.spec.Epoch, State: task.state, Resources: task.spec.Resources,
			Checkpoint: task.checkpoint, Throttle: task.throttle, Reason: task.reason,
			End: task.end, Peak: task.peak, Ran: task.runTime,
		})
		if usage, ok := runtime.laggingUsage(task); ok && task.state == worker.Running {
			report.Usage = append(report.Usage, usage)
		}
	}
	slices.SortFunc(report.Tasks, func(left, right worker.Status) int { return compareTasks(left.Task, right.Task) })
	slices.SortFunc(report.Usage, func(left, right worker.Usage) int { return compareTasks(left.Task, right.Task) })
	return report, nil
}

// EndpointSlowdown returns the service time of an endpoint of the class beside the running tasks,
// in percent of its service time alone.
func (runtime *Worker) EndpointSlowdown(class string) int {
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	return runtime.slowdown(class, nil)
}
