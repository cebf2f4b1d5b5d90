package placement

import (
	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/worker"
)

// messageKey identifies the tasks that share one Start or Stop.
type messageKey struct {
	worker      ident.Worker
	incarnation ident.Incarnation
	reservation capacity.Reservation
	checkpoint  bool
	reason      string
}

// messageGroups collects tasks by message, in order of first use.
type messageGroups struct {
	order []messageKey
	tasks map[messageKey][]TaskRef
}

func (groups *messageGroups) add(key messageKey, ref TaskRef) {
	if groups.tasks == nil {
		groups.tasks = make(map[messageKey][]TaskRef)
	}
	if _, ok := groups.tasks[key]; !ok {
		groups.order = append(groups.order, key)
	}
	groups.tasks[key] = append(groups.tasks[key], ref)
}

// emitStarts sends the starts of the claims committed since the last event.
func (scheduler *Scheduler) emitStarts() {
	if len(scheduler.holdsToStart) == 0 {
		return
	}
	var starts messageGroups
	for _, hold := range scheduler.holdsToStart {
		// The row may have been read back since and show that the task must not be started.
		state, live := hold.view.live[hold.index]
		if !live || state.epoch != hold.epoch || state.stop != nil || hold.view.row.Cancelled || hold.incarnation <= hold.worker.endedIncarnation {
			continue
		}
		starts.add(messageKey{worker: hold.worker.name, incarnation: hold.incarnation, reservation: hold.reservation}, hold.ref())
	}
	scheduler.holdsToStart = scheduler.holdsToStart[:0]
	scheduler.emitMessages(&starts, nil)
}

func (scheduler *Scheduler) emitMessages(starts, stops *messageGroups) {
	if starts != nil {
		for _, key := range starts.order {
			scheduler.emit(Start{Worker: key.worker, Incarnation: key.incarnation, Reservation: key.reservation, Tasks: starts.tasks[key]})
		}
	}
	if stops != nil {
		for _, key := range stops.order {
			scheduler.emit(Stop{Worker: key.worker, Incarnation: key.incarnation, Tasks: stops.tasks[key], Checkpoint: key.checkpoint, Reason: key.reason})
		}
	}
}

// confirmTasks repeats the starts and stops of live tasks that are not confirmed.
func (scheduler *Scheduler) confirmTasks() {
	tasks := make([]ident.Task, 0, len(scheduler.unconfirmed))
	for task := range scheduler.unconfirmed {
		tasks = append(tasks, task)
	}
	sortTasks(tasks)
	var starts, stops messageGroups
	for _, task := range tasks {
		scheduler.confirmTask(task, &starts, &stops)
	}
	scheduler.emitMessages(&starts, &stops)
}

func (scheduler *Scheduler) confirmTask(name ident.Task, starts, stops *messageGroups) {
	view, ok := scheduler.jobs[name.Job]
	if !ok {
		delete(scheduler.unconfirmed, name)
		return
	}
	state, live := view.live[name.Index]
	if !live {
		// The task may be reserved or claimed and not in the table yet. It is added again when its
		// claim is committed.
		delete(scheduler.unconfirmed, name)
		return
	}
	if scheduler.markLostIfEnded(view, name.Index) {
		return
	}
	task := &view.row.Tasks[name.Index]
	worker := scheduler.workerView(task.Placement.Worker)
	ref := TaskRef{Task: name, Epoch: task.Epoch}
	incarnation := max(task.Placement.Incarnation, worker.state.Incarnation)
	if view.row.Cancelled && (state.stop == nil || state.stop.reason != "Cancelled") {
		state.stop = &stopRequest{reason: "Cancelled"}
	}
	switch {
	case state.stop != nil:
		scheduler.sendStop(state.stop, worker, incarnation, ref, stops)
	case state.startConfirmed && task.Placement.Incarnation >= worker.state.Incarnation:
		delete(scheduler.unconfirmed, name)
	case scheduler.now.Sub(state.startSentAt) >= scheduler.settings.Retry:
		state.startSentAt = scheduler.now
		starts.add(messageKey{worker: worker.name, incarnation: incarnation, reservation: state.reservation}, ref)
	}
}

// sendStop sends a stop. If it is unanswered after the time for a checkpoint, the stop is repeated
// without one.
func (scheduler *Scheduler) sendStop(stop *stopRequest, worker *workerView, incarnation ident.Incarnation, ref TaskRef, stops *messageGroups) {
	timeout := scheduler.settings.Retry
	if stop.checkpoint {
		timeout = scheduler.settings.CheckpointBound
	}
	if stop.attempts > 0 && scheduler.now.Sub(stop.sentAt) < timeout {
		return
	}
	if stop.attempts > 0 {
		stop.checkpoint = false
	}
	stop.attempts++
	stop.sentAt = scheduler.now
	stops.add(messageKey{worker: worker.name, incarnation: incarnation, checkpoint: stop.checkpoint, reason: stop.reason}, ref)
}

// findLive returns the live task to which an agent's message refers, if the row still has that
// placement.
func (scheduler *Scheduler) findLive(workerName ident.Worker, name ident.Task, epoch ident.Epoch) (*jobView, *liveTask, bool) {
	view, ok := scheduler.jobs[name.Job]
	if !ok || name.Index < 0 || name.Index >= len(view.row.Tasks) {
		return nil, nil, false
	}
	task := &view.row.Tasks[name.Index]
	state, ok := view.live[name.Index]
	if !ok || !task.State.Live() || task.Epoch != epoch || task.Placement.Worker != workerName {
		return nil, nil, false
	}
	return view, state, true
}

// handleStarted applies an agent's answer to Start.
func (scheduler *Scheduler) handleStarted(event Started) {
	for _, result := range event.Results {
		view, state, ok := scheduler.findLive(event.Worker, result.Task, result.Epoch)
		if !ok {
			continue
		}
		index := result.Task.Index
		task := &view.row.Tasks[index]
		if event.Incarnation < task.Placement.Incarnation {
			continue
		}
		newer := event.Incarnation > task.Placement.Incarnation
		if result.OK {
			if !state.startConfirmed {
				scheduler.stats.Started++
			}
			state.startConfirmed = true
			switch {
			case newer:
				placement := task.Placement
				placement.Incarnation = event.Incarnation
				scheduler.applyChange(view, job.Change{Step: job.StepAdopt, Index: index, Epoch: result.Epoch, Placement: placement}, "")
			case task.State == job.Claimed:
				scheduler.applyChange(view, job.Change{Step: job.StepStart, Index: index, Epoch: result.Epoch}, "")
			}
			continue
		}
		switch {
		case !state.startConfirmed && task.State != job.Running:
			scheduler.stats.NotStarted++
			view.reason = "NotStarted: " + result.Refusal
			scheduler.applyChange(view, job.Change{Step: job.StepNotStarted, Index: index, Epoch: result.Epoch}, "")
		case newer:
			scheduler.stats.Losses++
			scheduler.applyChange(view, job.Change{Step: job.StepLose, Index: index, Epoch: result.Epoch}, "")
		}
	}
}

// handleStopped applies an agent's answer to Stop. Room that was made for urgent work is used at
// once.
func (scheduler *Scheduler) handleStopped(event Stopped) {
	madeRoom := false
	for _, result := range event.Results {
		if worker, ok := scheduler.workers[event.Worker]; ok && worker.keptFreeFor != "" && (result.Stopped || result.Absent) {
			madeRoom = true
			scheduler.residentStopped(worker, result)
		}
		view, state, ok := scheduler.findLive(event.Worker, result.Task, result.Epoch)
		if !ok {
			continue
		}
		index := result.Task.Index
		task := &view.row.Tasks[index]
		if event.Incarnation < task.Placement.Incarnation {
			continue
		}
		change := job.Change{Index: index, Epoch: result.Epoch, Checkpoint: result.Checkpoint}
		switch {
		case result.Stopped:
			change.Step = job.StepStop
			scheduler.stats.Evictions++
		case result.Absent && !state.startConfirmed && task.State != job.Running:
			change.Step = job.StepNotStarted
		case result.Absent:
			change.Step = job.StepLose
			scheduler.stats.Losses++
		default:
			continue
		}
		scheduler.applyChange(view, change, "")
	}
	if madeRoom {
		scheduler.place(true)
	}
}

// handleTaskEnded applies an agent's report of a task that ended. A report of an older placement,
// or of an end that the table already has, is answered at once.
func (scheduler *Scheduler) handleTaskEnded(event TaskEnded) {
	status := event.Status
	ref := TaskRef{Task: status.Task, Epoch: status.Epoch}
	current, ok := scheduler.jobs[status.Task.Job]
	if !ok {
		return
	}
	index := status.Task.Index
	if index < 0 || index >= len(current.base.Tasks) {
		scheduler.emit(Recorded{Worker: event.Worker, Tasks: []TaskRef{ref}})
		return
	}
	view, state, ok := scheduler.findLive(event.Worker, status.Task, status.Epoch)
	if !ok {
		base := &current.base.Tasks[index]
		if base.Epoch > status.Epoch || (base.Epoch == status.Epoch && (!base.State.Live() || base.Placement.Worker != event.Worker)) {
			scheduler.emit(Recorded{Worker: event.Worker, Tasks: []TaskRef{ref}})
		} else if base.Epoch < status.Epoch {
			scheduler.refreshJob(current)
		}
		return
	}
	task := &view.row.Tasks[index]
	change := job.Change{Index: index, Epoch: status.Epoch, Checkpoint: status.Checkpoint, Reason: status.Reason}
	batch := view.row.Spec.Kind == worker.Batch
	switch {
	case status.State == worker.Finished && batch:
		change.Step = job.StepFinish
	case IsEarlyLoss(status):
		scheduler.stats.Losses++
		change.Step, change.Reason = job.StepLose, "ended with the worker's process"
		if task.Failures+1 < scheduler.settings.MaxFailures {
			// The stored number of failures delays the next start also at another home entry. It never makes the job fail: the
			// process may have ended because of another task.
			change.Step = job.StepFail
		}
		view.retryAt[index] = scheduler.now.Add(backoff(task.Failures))
	case status.End == worker.Lost:
		scheduler.stats.Losses++
		change.Step = job.StepLose
	case status.State == worker.Stopped:
		change.Step = job.StepStop
		scheduler.stats.Evictions++
	case status.State == worker.Finished || status.State == worker.Failed:
		change.Step = job.StepFail
		// Failures for lack of memory are not limited by their number: the size grows until no
		// worker can hold it.
		if batch && status.End != worker.OutOfMemory && task.Failures+1 >= scheduler.settings.MaxFailures {
			change.Step = job.StepGiveUp
		}
		view.retryAt[index] = scheduler.now.Add(backoff(task.Failures))
	default:
		return
	}
	if !state.startConfirmed {
		scheduler.stats.Started++
	}
	scheduler.applyChange(view, change, event.Worker)
}

// maxEarlyLoss is the time after its start within which a task that ends with its worker's process may be the cause.
const maxEarlyLoss = 5 * clock.Second

// IsEarlyLoss reports whether a task ended with its worker's process shortly after its start.
func IsEarlyLoss(status worker.Status) bool {
	return status.State == worker.Stopped && status.End == worker.Lost && status.Ran <= maxEarlyLoss
}

// maxBackoff bounds the wait before a failed task is placed again.
const maxBackoff = clock.Minute

// backoff returns the wait after a number of earlier failures: 1 s, doubled per failure up to
// maxBackoff.
func backoff(failures int) clock.Millis {
	if failures >= 6 {
		return maxBackoff
	}
	return min(maxBackoff, clock.Second<<failures)
}

// handleReduceInterference throttles or evicts a task that interferes with others.
func (scheduler *Scheduler) handleReduceInterference(event ReduceInterference) {
	view, ok := scheduler.jobs[event.Task.Job]
	if !ok || event.Task.Index < 0 || event.Task.Index >= len(view.row.Tasks) {
		return
	}
	task := &view.row.Tasks[event.Task.Index]
	if _, live := view.live[event.Task.Index]; !live || task.Epoch != event.Epoch || task.State != job.Running {
		return
	}
	worker := scheduler.workerView(task.Placement.Worker)
	ref := TaskRef{Task: event.Task, Epoch: event.Epoch}
	if event.Evict {
		scheduler.evict(view, event.Task.Index, "Relieve", "Interference")
		return
	}
	scheduler.emit(Throttle{Worker: worker.name, Incarnation: task.Placement.Incarnation, Tasks: []TaskRef{ref}, Percent: event.Percent})
}

// evict requests the stop of a running task after a checkpoint. The stop is sent by the next call
// of sendStop for the task.
func (scheduler *Scheduler) evict(view *jobView, index int, kind, reason string) {
	task := &view.row.Tasks[index]
	state, live := view.live[index]
	if !live || state.stop != nil || task.State != job.Running {
		return
	}
	name := ident.Task{Job: view.name, Index: index}
	state.stop = &stopRequest{checkpoint: true, reason: reason}
	scheduler.unconfirmed[name] = struct{}{}
	scheduler.emit(Decision{Kind: kind, Task: name, Epoch: task.Epoch, Worker: task.Placement.Worker, Size: task.Size, Reason: reason})
	scheduler.applyChange(view, job.Change{Step: job.StepEvict, Index: index, Epoch: task.Epoch}, "")
}
