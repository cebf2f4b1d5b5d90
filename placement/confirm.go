package placement

import (
	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/worker"
)

// message groups tasks of one Start or Stop.
type message struct {
	worker      ident.Worker
	incarnation ident.Incarnation
	reservation capacity.Reservation
	checkpoint  bool
	reason      string
}

// messages keeps groups in order of first use.
type messages struct {
	order []message
	tasks map[message][]TaskRef
}

func (list *messages) add(group message, ref TaskRef) {
	if list.tasks == nil {
		list.tasks = make(map[message][]TaskRef)
	}
	if _, ok := list.tasks[group]; !ok {
		list.order = append(list.order, group)
	}
	list.tasks[group] = append(list.tasks[group], ref)
}

// emitStarts sends the starts of the claims settled since the last event.
func (scheduler *Scheduler) emitStarts() {
	if len(scheduler.started) == 0 {
		return
	}
	var starts messages
	for _, held := range scheduler.started {
		// The row may have been read back since, and show that the task is not to be started.
		state, live := held.view.live[held.index]
		if !live || state.epoch != held.epoch || state.stop != nil || held.view.row.Cancelled || held.incarnation <= held.worker.gone {
			continue
		}
		starts.add(message{worker: held.worker.name, incarnation: held.incarnation, reservation: held.reservation}, held.ref())
	}
	scheduler.started = scheduler.started[:0]
	scheduler.emitMessages(&starts, nil)
}

func (scheduler *Scheduler) emitMessages(starts, stops *messages) {
	if starts != nil {
		for _, group := range starts.order {
			scheduler.emit(Start{Worker: group.worker, Incarnation: group.incarnation, Reservation: group.reservation, Tasks: starts.tasks[group]})
		}
	}
	if stops != nil {
		for _, group := range stops.order {
			scheduler.emit(Stop{Worker: group.worker, Incarnation: group.incarnation, Tasks: stops.tasks[group], Checkpoint: group.checkpoint, Reason: group.reason})
		}
	}
}

// resolve asks again about live tasks whose start or stop is not confirmed.
func (scheduler *Scheduler) resolve() {
	tasks := make([]ident.Task, 0, len(scheduler.open))
	for task := range scheduler.open {
		tasks = append(tasks, task)
	}
	sortTasks(tasks)
	var starts, stops messages
	for _, task := range tasks {
		scheduler.resolveTask(task, &starts, &stops)
	}
	scheduler.emitMessages(&starts, &stops)
}

func (scheduler *Scheduler) resolveTask(name ident.Task, starts, stops *messages) {
	view, ok := scheduler.jobs[name.Job]
	if !ok {
		delete(scheduler.open, name)
		return
	}
	state, live := view.live[name.Index]
	if !live {
		// The task may be reserved or claimed and not in the table yet; its claim opens it again.
		delete(scheduler.open, name)
		return
	}
	if scheduler.loseIfGone(view, name.Index) {
		return
	}
	task := &view.row.Tasks[name.Index]
	at := scheduler.worker(task.Placement.Worker)
	ref := TaskRef{Task: name, Epoch: task.Epoch}
	incarnation := max(task.Placement.Incarnation, at.state.Incarnation)
	if view.row.Cancelled && (state.stop == nil || state.stop.reason != "Cancelled") {
		state.stop = &stopping{reason: "Cancelled"}
	}
	switch {
	case state.stop != nil:
		scheduler.resolveStop(state.stop, at, incarnation, ref, stops)
	case state.resolved && task.Placement.Incarnation >= at.state.Incarnation:
		delete(scheduler.open, name)
	case scheduler.now.Sub(state.asked) >= scheduler.settings.Retry:
		state.asked = scheduler.now
		starts.add(message{worker: at.name, incarnation: incarnation, reservation: state.reservation}, ref)
	}
}

// resolveStop sends a stop, or repeats it without a checkpoint if the checkpoint took too long.
func (scheduler *Scheduler) resolveStop(stop *stopping, at *workerView, incarnation ident.Incarnation, ref TaskRef, stops *messages) {
	wait := scheduler.settings.Retry
	if stop.checkpoint {
		wait = scheduler.settings.CheckpointBound
	}
	if stop.attempts > 0 && scheduler.now.Sub(stop.asked) < wait {
		return
	}
	if stop.attempts > 0 {
		stop.checkpoint = false
	}
	stop.attempts++
	stop.asked = scheduler.now
	stops.add(message{worker: at.name, incarnation: incarnation, checkpoint: stop.checkpoint, reason: stop.reason}, ref)
}

// placed returns the live task that an agent speaks of, if the table has that placement.
func (scheduler *Scheduler) placed(at ident.Worker, name ident.Task, epoch ident.Epoch) (*jobView, *liveTask, bool) {
	view, ok := scheduler.jobs[name.Job]
	if !ok || name.Index < 0 || name.Index >= len(view.row.Tasks) {
		return nil, nil, false
	}
	task := &view.row.Tasks[name.Index]
	state, ok := view.live[name.Index]
	if !ok || !task.State.Live() || task.Epoch != epoch || task.Placement.Worker != at {
		return nil, nil, false
	}
	return view, state, true
}

// startAnswered takes an agent's answer to Start.
func (scheduler *Scheduler) startAnswered(event Started) {
	for _, result := range event.Results {
		view, state, ok := scheduler.placed(event.Worker, result.Task, result.Epoch)
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
			if !state.resolved {
				scheduler.stats.Started++
			}
			state.resolved = true
			switch {
			case newer:
				placement := task.Placement
				placement.Incarnation = event.Incarnation
				scheduler.apply(view, job.Change{Step: job.StepAdopt, Index: index, Epoch: result.Epoch, Placement: placement}, "")
			case task.State == job.Claimed:
				scheduler.apply(view, job.Change{Step: job.StepStart, Index: index, Epoch: result.Epoch}, "")
			}
			continue
		}
		switch {
		case !state.resolved && task.State != job.Running:
			scheduler.stats.NotStarted++
			view.reason = "NotStarted: " + result.Refusal
			scheduler.apply(view, job.Change{Step: job.StepNotStarted, Index: index, Epoch: result.Epoch}, "")
		case newer:
			scheduler.stats.Losses++
			scheduler.apply(view, job.Change{Step: job.StepLose, Index: index, Epoch: result.Epoch}, "")
		}
	}
}

// stopAnswered takes an agent's answer to Stop. Room that was made for urgent work is used at once.
func (scheduler *Scheduler) stopAnswered(event Stopped) {
	urgent := false
	for _, result := range event.Results {
		if at, ok := scheduler.workers[event.Worker]; ok && at.heldFor != "" && (result.Stopped || result.Absent) {
			urgent = true
			scheduler.foreignStopped(at, result)
		}
		view, state, ok := scheduler.placed(event.Worker, result.Task, result.Epoch)
		if !ok {
			continue
		}
		index := result.Task.Index
		task := &view.row.Tasks[index]
		if event.Incarnation < task.Placement.Incarnation {
			continue
		}
		ended := job.Change{Index: index, Epoch: result.Epoch, Checkpoint: result.Checkpoint}
		switch {
		case result.Stopped:
			ended.Step = job.StepStop
			scheduler.stats.Evictions++
		case result.Absent && !state.resolved && task.State != job.Running:
			ended.Step = job.StepNotStarted
		case result.Absent:
			ended.Step = job.StepLose
			scheduler.stats.Losses++
		default:
			continue
		}
		scheduler.apply(view, ended, "")
	}
	if urgent {
		scheduler.place(true)
	}
}

// ended takes an agent's report of a task that ended. A report about a placement that is not the
// newest, or that the table already has ended, is answered at once.
func (scheduler *Scheduler) ended(event TaskEnded) {
	status := event.Status
	ref := TaskRef{Task: status.Task, Epoch: status.Epoch}
	known, ok := scheduler.jobs[status.Task.Job]
	if !ok {
		return
	}
	index := status.Task.Index
	if index < 0 || index >= len(known.base.Tasks) {
		scheduler.emit(Recorded{Worker: event.Worker, Tasks: []TaskRef{ref}})
		return
	}
	view, state, ok := scheduler.placed(event.Worker, status.Task, status.Epoch)
	if !ok {
		base := &known.base.Tasks[index]
		if base.Epoch > status.Epoch || (base.Epoch == status.Epoch && (!base.State.Live() || base.Placement.Worker != event.Worker)) {
			scheduler.emit(Recorded{Worker: event.Worker, Tasks: []TaskRef{ref}})
		} else if base.Epoch < status.Epoch {
			scheduler.refreshJob(known)
		}
		return
	}
	task := &view.row.Tasks[index]
	change := job.Change{Index: index, Epoch: status.Epoch, Checkpoint: status.Checkpoint, Reason: status.Reason}
	batch := view.row.Spec.Kind == worker.Batch
	switch {
	case status.State == worker.Finished && batch:
		change.Step = job.StepFinish
	case status.State == worker.Stopped:
		change.Step = job.StepStop
		scheduler.stats.Evictions++
	case status.State == worker.Finished || status.State == worker.Failed:
		change.Step = job.StepFail
		// Running out of memory is bounded by the largest worker, not by the number of failures.
		if batch && status.End != worker.OutOfMemory && task.Failures+1 >= scheduler.settings.MaxFailures {
			change.Step = job.StepGiveUp
		}
		view.delay[index] = scheduler.now.Add(backoff(task.Failures))
	default:
		return
	}
	if !state.resolved {
		scheduler.stats.Started++
	}
	scheduler.apply(view, change, event.Worker)
}

// maxBackoff bounds the wait before a failed task is placed again.
const maxBackoff = clock.Minute

// backoff returns the wait after a number of earlier failures: 1 s, doubled per failure.
func backoff(failures int) clock.Millis {
	if failures >= 6 {
		return maxBackoff
	}
	return min(maxBackoff, clock.Second<<failures)
}

// relieve carries out a decision of the interference policy.
func (scheduler *Scheduler) relieve(event Relieve) {
	view, ok := scheduler.jobs[event.Task.Job]
	if !ok || event.Task.Index < 0 || event.Task.Index >= len(view.row.Tasks) {
		return
	}
	task := &view.row.Tasks[event.Task.Index]
	if _, live := view.live[event.Task.Index]; !live || task.Epoch != event.Epoch || task.State != job.Running {
		return
	}
	at := scheduler.worker(task.Placement.Worker)
	ref := TaskRef{Task: event.Task, Epoch: event.Epoch}
	if event.Evict {
		scheduler.evict(view, event.Task.Index, "Relieve", "Interference")
		return
	}
	scheduler.emit(Throttle{Worker: at.name, Incarnation: task.Placement.Incarnation, Tasks: []TaskRef{ref}, Percent: event.Percent})
}

// evict decides to stop a running task after a checkpoint. The stop is sent with the next call of
// resolve or emitStops.
func (scheduler *Scheduler) evict(view *jobView, index int, kind, reason string) {
	task := &view.row.Tasks[index]
	state, live := view.live[index]
	if !live || state.stop != nil || task.State != job.Running {
		return
	}
	name := ident.Task{Job: view.name, Index: index}
	state.stop = &stopping{checkpoint: true, reason: reason}
	scheduler.open[name] = struct{}{}
	scheduler.emit(Decision{Kind: kind, Task: name, Epoch: task.Epoch, Worker: task.Placement.Worker, Size: task.Size, Reason: reason})
	scheduler.apply(view, job.Change{Step: job.StepEvict, Index: index, Epoch: task.Epoch}, "")
}
