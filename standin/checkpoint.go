package standin

import (
	"context"
	"encoding/json"

	"hyssopjunction/ident"
	"hyssopjunction/objectstore"
	"hyssopjunction/set"
	"hyssopjunction/worker"
)

// Checkpoint saves the task's progress in the object store under its task and epoch, replacing an
// older checkpoint of the same epoch. For an ended task it returns the newest saved checkpoint,
// whose name is empty if there is none. If the object store is unavailable, the checkpoint stays on
// the worker, ErrUnavailable is returned, and Tick saves it later.
func (runtime *Worker) Checkpoint(ctx context.Context, name ident.Task, epoch ident.Epoch) (worker.Checkpoint, error) {
	var checkpoint worker.Checkpoint
	ended := false
	err := runtime.updateTask(ctx, name, epoch, func(task *simulatedTask) {
		if ended = task.state != worker.Running; ended {
			checkpoint = task.checkpoint
			return
		}
		checkpoint = checkpointOf(task.spec)
		// Marshalling strings and integers can't fail.
		value, _ := json.Marshal(savedState{Task: name.String(), Epoch: uint64(epoch), ProgressMillis: task.progress()})
		runtime.unsaved[checkpoint.Name] = value
	})
	if err != nil || ended {
		return checkpoint, err
	}
	if err := runtime.saveCheckpoint(ctx, checkpoint.Name); err != nil {
		return worker.Checkpoint{}, worker.ErrUnavailable{Reason: err.Error()}
	}
	return checkpoint, nil
}

// saveCheckpoint moves a checkpoint from the worker to the object store.
func (runtime *Worker) saveCheckpoint(ctx context.Context, name string) error {
	runtime.saveMutex.Lock()
	defer runtime.saveMutex.Unlock()
	runtime.mu.Lock()
	value, ok := runtime.unsaved[name]
	runtime.mu.Unlock()
	if !ok {
		return nil
	}
	if err := runtime.options.Objects.Put(ctx, objectstore.Name(name), value); err != nil {
		return err
	}
	var saved savedState
	if err := json.Unmarshal(value, &saved); err != nil {
		return err
	}
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	// A newer checkpoint may have been taken meanwhile.
	if string(runtime.unsaved[name]) == string(value) {
		delete(runtime.unsaved, name)
	}
	for _, task := range runtime.tasks {
		if checkpoint := checkpointOf(task.spec); checkpoint.Name == name {
			task.checkpoint = checkpoint
			runtime.options.Records.checkpointSaved(task.run, saved.ProgressMillis)
		}
	}
	return nil
}

// Tick ends the tasks whose lease lapsed, and saves the checkpoints that are still on the worker.
func (runtime *Worker) Tick(ctx context.Context) {
	runtime.mu.Lock()
	runtime.advance()
	var names []string
	if !runtime.faults.Paused {
		names = set.SortedKeys(runtime.unsaved)
	}
	runtime.mu.Unlock()
	for _, name := range names {
		if err := runtime.saveCheckpoint(ctx, name); err != nil {
			return
		}
	}
}

// Restart replaces the worker by one without tasks, as when its VM fails. Checkpoints that are
// still on the worker are lost.
func (runtime *Worker) Restart() {
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	for _, task := range runtime.runningTasks() {
		runtime.endTask(task, worker.Stopped, reasonWorkerLost)
	}
	clear(runtime.tasks)
	clear(runtime.fences)
	clear(runtime.unsaved)
}

// updateRecords brings the records of the worker's tasks up to date.
func (runtime *Worker) updateRecords() {
	runtime.mu.Lock()
	defer runtime.mu.Unlock()
	runtime.advance()
	for _, task := range runtime.runningTasks() {
		runtime.options.Records.setProgress(task.run, task.progress())
	}
}
