package job

import (
	"strings"

	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Step names a change of a task.
type Step string

// Steps. Epoch is the epoch the change speaks of; all but Claim require the task's newest epoch.
const (
	// StepClaim places a waiting task; Epoch is one above the task's. Uses Placement and Size.
	StepClaim Step = "Claim"
	// StepStart records that the worker runs the task.
	StepStart Step = "Start"
	// StepNotStarted records that a claimed task was refused and can no longer start.
	StepNotStarted Step = "NotStarted"
	// StepAdopt records that a newer incarnation of the same worker runs the task. Uses Placement.
	StepAdopt Step = "Adopt"
	// StepEvict records the decision to stop a live task.
	StepEvict Step = "Evict"
	// StepFinish records that the task completed.
	StepFinish Step = "Finish"
	// StepFail records that the task ended with an error and is tried again.
	StepFail Step = "Fail"
	// StepGiveUp records that the task ended with an error and is not tried again.
	StepGiveUp Step = "GiveUp"
	// StepStop records that the task was stopped before its end.
	StepStop Step = "Stop"
	// StepLose records that the placement is certainly over without a report of its end.
	StepLose Step = "Lose"
	// StepPark and StepUnpark set a waiting task aside with a reason and back.
	StepPark   Step = "Park"
	StepUnpark Step = "Unpark"
	// StepCancel cancels the whole job; Index and Epoch are unused. It is final.
	StepCancel Step = "Cancel"
)

// Change is one change of a row.
type Change struct {
	Step       Step
	Index      int
	Epoch      ident.Epoch
	Placement  Placement
	Size       unit.Resources
	Checkpoint worker.Checkpoint
	Reason     string
}

// Apply changes the row. Errors are ErrNoSuchTask, ErrStaleEpoch, ErrTransition and ErrCancelled;
// the row is then unchanged. It panics with ErrInvariant if the result breaks an invariant.
func (row *Row) Apply(change Change) error {
	if change.Step == StepCancel {
		row.cancel()
		return nil
	}
	name := ident.Task{Job: row.Spec.Job, Index: change.Index}
	if change.Index < 0 || change.Index >= len(row.Tasks) {
		return ErrNoSuchTask{Task: name}
	}
	before := row.Tasks[change.Index]
	after, err := row.next(name, before, change)
	if err != nil {
		return err
	}
	check(name, before, after)
	row.Tasks[change.Index] = after
	return nil
}

func (row *Row) cancel() {
	row.Cancelled = true
	for index := range row.Tasks {
		task := &row.Tasks[index]
		if task.State == Waiting || task.State == Parked {
			task.State = Cancelled
			task.Reason = ""
		}
	}
}

// next returns the task after the change.
func (row *Row) next(name ident.Task, task Task, change Change) (Task, error) {
	refused := ErrTransition{Task: name, From: task.State, Step: change.Step}
	if change.Step == StepClaim {
		return row.claim(name, task, change)
	}
	if change.Epoch != task.Epoch {
		return task, ErrStaleEpoch{Task: name, Epoch: change.Epoch, Have: task.Epoch}
	}
	switch change.Step {
	case StepPark:
		if task.State != Waiting && task.State != Parked {
			return task, refused
		}
		task.State, task.Reason = Parked, clip(change.Reason)
		return task, nil
	case StepUnpark:
		if task.State != Parked {
			return task, refused
		}
		task.State, task.Reason = Waiting, ""
		return task, nil
	}
	if !task.State.Live() {
		return task, refused
	}
	switch change.Step {
	case StepStart:
		// An eviction decided before the start was confirmed stays in force.
		if task.State == Claimed {
			task.State = Running
		}
		return task, nil
	case StepAdopt:
		if change.Placement.Worker != task.Placement.Worker || change.Placement.Incarnation < task.Placement.Incarnation {
			return task, refused
		}
		task.Placement = change.Placement
		if task.State == Claimed {
			task.State = Running
		}
		return task, nil
	case StepEvict:
		task.State = Evicting
		return task, nil
	case StepNotStarted:
		if task.State == Running {
			return task, refused
		}
		return row.leave(task, Waiting, change), nil
	case StepFinish:
		return row.leave(task, Finished, change), nil
	case StepGiveUp:
		task.Failures++
		return row.leave(task, Failed, change), nil
	case StepFail:
		task.Failures++
		return row.leave(task, Waiting, change), nil
	case StepStop:
		task.Evictions++
		return row.leave(task, Waiting, change), nil
	case StepLose:
		return row.leave(task, Waiting, change), nil
	}
	return task, refused
}

func (row *Row) claim(name ident.Task, task Task, change Change) (Task, error) {
	switch {
	case row.Cancelled:
		return task, ErrCancelled{Job: row.Spec.Job}
	case task.State != Waiting:
		return task, ErrTransition{Task: name, From: task.State, Step: change.Step}
	case change.Epoch != task.Epoch+1:
		return task, ErrStaleEpoch{Task: name, Epoch: change.Epoch, Have: task.Epoch}
	}
	task.State, task.Epoch = Claimed, change.Epoch
	task.Placement, task.Size = change.Placement, change.Size
	task.Reason = ""
	return task, nil
}

// leave ends the live placement. A task of a cancelled job that did not end by itself is
// cancelled instead of waiting again.
func (row *Row) leave(task Task, state State, change Change) Task {
	if state == Waiting && row.Cancelled {
		state = Cancelled
	}
	task.State = state
	task.Placement, task.Size = Placement{}, unit.Resources{}
	task.Reason = ""
	if state == Failed || change.Step == StepFail {
		task.Reason = clip(change.Reason)
	}
	if change.Checkpoint.Name != "" && change.Checkpoint.Epoch >= task.Checkpoint.Epoch && change.Checkpoint.Epoch <= task.Epoch {
		task.Checkpoint = change.Checkpoint
	}
	return task
}

func clip(reason string) string {
	if len(reason) <= MaxReasonLength {
		return reason
	}
	return strings.ToValidUTF8(reason[:MaxReasonLength], "")
}

// check panics with ErrInvariant if the step from before to after breaks an invariant (I2, I3).
func check(name ident.Task, before, after Task) {
	broken := func(reason string) { panic(ErrInvariant{Task: name, Reason: reason}) }
	if before.State.Final() {
		broken("final state changed")
	}
	if after.Epoch < before.Epoch {
		broken("epoch fell")
	}
	if after.Checkpoint.Epoch < before.Checkpoint.Epoch || after.Checkpoint.Epoch > after.Epoch {
		broken("checkpoint is not the newest")
	}
	if after.State.Live() != (after.Placement.Worker != "") {
		broken("placement does not match state " + string(after.State))
	}
	if !before.State.Live() && after.State.Live() && after.Epoch != before.Epoch+1 {
		broken("placed without raising the epoch")
	}
	if before.State.Live() && after.State.Live() {
		if before.Placement.Worker != after.Placement.Worker || before.Epoch != after.Epoch {
			broken("second live placement")
		}
	}
}
