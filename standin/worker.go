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

// WorkerOptions configure a Worker.
type WorkerOptions struct {
	Name     ident.Worker
	Capacity unit.Resources
	// Clock is shared by all workers whose runs are in the same Records.
	Clock clock.Clock
	// ClockOffset is added to Clock to give the worker's own clock.
	ClockOffset clock.Millis
	// UsageLag is the age of reported usage.
	UsageLag clock.Millis
	// Matrix gives the interference between classes of tasks.
	Matrix Matrix
	// Residents are the classes of work, such as an endpoint's, that always run on the worker.
	Residents []string
	// Objects keeps the checkpoints.
	Objects checkpointStore
	// Records receives every start and end of a task.
	Records *Records
	// Seed determines which starts fail.
	Seed uint64
}

// Worker is a simulated worker.Runtime. It never refuses a task for lack of capacity; Records
// counts that as a violation. It is safe for concurrent use.
type Worker struct {
	options WorkerOptions

	mu     sync.Mutex
	faults WorkerFaults
	resume chan struct{} // closed when the worker is not paused
	random *rand.Rand
	tasks  map[ident.Task]*simulated
	// fences holds the lowest epoch of each task that may still start.
	fences map[ident.Task]ident.Epoch
	// unsaved holds checkpoints that the object store has not accepted.
	unsaved map[string][]byte
	settled clock.Time

	saving sync.Mutex // keeps an older checkpoint from replacing a newer one
}

// NewWorker returns a healthy Worker without tasks.
func NewWorker(options WorkerOptions) *Worker {
	resume := make(chan struct{})
	close(resume)
	runtime := &Worker{
		options: options,
		resume:  resume,
		random:  newRandom(options.Seed),
		tasks:   make(map[ident.Task]*simulated),
		fences:  make(map[ident.Task]ident.Epoch),
		unsaved: make(map[string][]byte),
		settled: options.Clock.Now(),
	}
	options.Records.watch(runtime.settle)
	return runtime
}

// instant converts a time of the shared clock to the worker's own clock.
func (runtime *Worker) instant(at clock.Time) worker.Instant {
	return worker.Instant(at.Add(runtime.options.ClockOffset))
}

func (runtime *Worker) time(instant worker.Instant) clock.Time {
	return clock.Time(instant).Add(-runtime.options.ClockOffset)
}

// Start runs the task until expiry, unless the lease is renewed. An older epoch of the same task is
// stopped first. An epoch that has ended is not started again; one whose start failed can be.
func (runtime *Worker) Start(ctx context.Context, spec worker.Spec, expiry worker.Instant) error {
	if err := runtime.enter(ctx); err != nil {
		return err
	}
	payload, err := ParsePayload(spec.Payload)
	if err != nil {
		return worker.ErrStartFailed{Task: spec.Task, Reason: err.Error()}
	}
	from, err := runtime.restore(ctx, spec)
	if err != nil {
		return err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	if !runtime.time(expiry).After(runtime.settled) {
		return worker.ErrLeaseLapsed{Expiry: expiry, Now: runtime.instant(runtime.settled)}
	}
	have := runtime.tasks[spec.Task]
	if have != nil && have.spec.Epoch == spec.Epoch {
		return runtime.answer()
	}
	if fence := runtime.fences[spec.Task]; spec.Epoch < fence {
		return worker.ErrStaleEpoch{Task: spec.Task, Epoch: spec.Epoch, Have: fence}
	}
	if have != nil && have.state == worker.Running {
		runtime.end(have, worker.Stopped, reasonSuperseded)
	}
	runtime.fences[spec.Task] = spec.Epoch
	if runtime.startFails() {
		runtime.options.Records.startFailed()
		return worker.ErrStartFailed{Task: spec.Task, Reason: "stand-in fails starts"}
	}
	runtime.fences[spec.Task] = spec.Epoch + 1
	runtime.begin(spec, payload, from, runtime.time(expiry))
	return runtime.answer()
}

// begin records the task as running from the progress given.
func (runtime *Worker) begin(spec worker.Spec, payload Payload, from clock.Millis, expiry clock.Time) {
	task := &simulated{
		spec: spec, payload: payload, state: worker.Running, throttle: 100, expiry: expiry,
		done: int64(from) * workScale, checkpoint: spec.Checkpoint,
	}
	runtime.tasks[spec.Task] = task
	task.run = runtime.options.Records.start(runtime.options.Name, spec, runtime.settled, from, payload.RunMillis)
	runtime.checkCapacity()
	runtime.observe()
	if runtime.faults.FailEverything {
		runtime.end(task, worker.Failed, reasonWorker)
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
		runtime.options.Records.exceeded(runtime.options.Name, runtime.settled, used, runtime.options.Capacity)
	}
}

// restore returns the progress saved in the checkpoint that spec resumes from.
func (runtime *Worker) restore(ctx context.Context, spec worker.Spec) (clock.Millis, error) {
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

// Renew extends the lease of all running tasks to expiry and returns the worker's clock. It returns
// ErrLeaseLapsed if expiry has passed.
func (runtime *Worker) Renew(ctx context.Context, expiry worker.Instant) (worker.Instant, error) {
	if err := runtime.enter(ctx); err != nil {
		return 0, err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	now := runtime.instant(runtime.settled)
	if expiry <= now {
		return now, worker.ErrLeaseLapsed{Expiry: expiry, Now: now}
	}
	for _, task := range runtime.running() {
		task.expiry = max(task.expiry, runtime.time(expiry))
	}
	return now, runtime.answer()
}

// Throttle limits the task's processor time to percent, from 1 to 100, of its share.
func (runtime *Worker) Throttle(ctx context.Context, name ident.Task, epoch ident.Epoch, percent int) error {
	return runtime.change(ctx, name, epoch, func(task *simulated) {
		task.throttle = min(max(percent, 1), 100)
		runtime.observe()
	})
}

// Stop ends the task. A task that has already ended is no error. The epoch can't start later, even
// if the worker has no record of it.
func (runtime *Worker) Stop(ctx context.Context, name ident.Task, epoch ident.Epoch) error {
	if err := runtime.enter(ctx); err != nil {
		return err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	task, err := runtime.find(name, epoch)
	if err != nil {
		// A start that is still on its way must not follow the stop of the same epoch.
		runtime.fences[name] = max(runtime.fences[name], epoch+1)
		return err
	}
	if task.state == worker.Running {
		runtime.end(task, worker.Stopped, reasonRequested)
	}
	return runtime.answer()
}

// Forget drops the record of an ended task. A running task is kept.
func (runtime *Worker) Forget(ctx context.Context, name ident.Task, epoch ident.Epoch) error {
	return runtime.change(ctx, name, epoch, func(task *simulated) {
		if task.state != worker.Running {
			delete(runtime.tasks, name)
		}
	})
}

// change applies a call to the task's record.
func (runtime *Worker) change(ctx context.Context, name ident.Task, epoch ident.Epoch, apply func(task *simulated)) error {
	if err := runtime.enter(ctx); err != nil {
		return err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	task, err := runtime.find(name, epoch)
	if err != nil {
		return err
	}
	apply(task)
	return runtime.answer()
}

// find returns the record of the task's epoch.
func (runtime *Worker) find(name ident.Task, epoch ident.Epoch) (*simulated, error) {
	task := runtime.tasks[name]
	switch {
	case task == nil || task.spec.Epoch < epoch:
		return nil, worker.ErrNoSuchTask{Task: name, Epoch: epoch}
	case task.spec.Epoch > epoch:
		return nil, worker.ErrStaleEpoch{Task: name, Epoch: epoch, Have: task.spec.Epoch}
	}
	return task, nil
}

// List reports the tasks that run and those that ended and were not forgotten, by name.
func (runtime *Worker) List(ctx context.Context) (worker.Report, error) {
	if err := runtime.enter(ctx); err != nil {
		return worker.Report{}, err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	report := worker.Report{Now: runtime.instant(runtime.settled), Capacity: runtime.options.Capacity}
	for _, task := range runtime.tasks {
		report.Tasks = append(report.Tasks, worker.Status{
			Task: task.spec.Task, Epoch: task.spec.Epoch, State: task.state, Resources: task.spec.Resources,
			Checkpoint: task.checkpoint, Throttle: task.throttle, Reason: task.reason,
			End: task.end, Peak: task.peak, Ran: task.ran,
		})
		if usage, ok := runtime.report(task); ok && task.state == worker.Running {
			report.Usage = append(report.Usage, usage)
		}
	}
	slices.SortFunc(report.Tasks, func(left, right worker.Status) int { return compareTasks(left.Task, right.Task) })
	slices.SortFunc(report.Usage, func(left, right worker.Usage) int { return compareTasks(left.Task, right.Task) })
	return report, nil
}

// EndpointSlowdown returns the service time in percent, relative to running alone, of an endpoint
// of the class beside the running tasks.
func (runtime *Worker) EndpointSlowdown(class string) int {
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	return runtime.slowdown(class, nil)
}
