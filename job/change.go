package job

import (
	"strings"

	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Step is the kind of a change.
type Step string

// Steps of a task. All but StepClaim and StepCancel require that Change.Epoch is the task's epoch.
const (
	// StepClaim places a waiting task. Epoch is the task's epoch plus 1. Uses Placement and Size.
	StepClaim Step = "Claim"
	// StepStart records that the worker runs the task.
	StepStart Step = "Start"
	// StepNotStarted records that a claimed task was refused by the worker and can no longer start.
	StepNotStarted Step = "NotStarted"
	// StepAdopt records that a newer incarnation of the same worker runs the task. Uses Placement.
	StepAdopt Step = "Adopt"
	// StepEvict records the decision to stop a live task.
	StepEvict Step = "Evict"
	// StepFinish records that the task finished.
	StepFinish Step = "Finish"
	// StepFail records that the task failed and waits for another run.
	StepFail Step = "Fail"
	// StepGiveUp records that the task failed for good.
	StepGiveUp Step = "GiveUp"
	// StepStop records that the task was stopped before its end.
	StepStop Step = "Stop"
	// StepLose records that the placement has certainly ended although no end was reported.
	StepLose Step = "Lose"
	// StepPark parks a waiting task with a reason, StepUnpark makes it wait again.
	StepPark   Step = "Park"
	StepUnpark Step = "Unpark"
	// StepCancel cancels the whole job for good; Index and Epoch are unused.
	StepCancel Step = "Cancel"
)

// Change is a change of one task, or of the whole job with StepCancel.
type Change struct {
	Step       Step
	Index      int
	Epoch      ident.Epoch
	Placement  Placement
	Size       unit.Resources
	Checkpoint worker.Checkpoint
	Reason     string
}

// Apply applies the change to the row. Errors are ErrNoSuchTask, ErrStaleEpoch, ErrTransition and
// ErrCancelled; they leave the row unchanged. It panics with ErrInvariant if the changed task would
// violate an invariant.
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
	after, err := row.transition(name, before, change)
	if err != nil {
		return err
	}
	checkInvariants(name, before, after)
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

// transition returns the task after the change.
func (row *Row) transition(name ident.Task, task Task, change Change) (Task, error) {
	notAllowed := ErrTransition{Task: name, From: task.State, Step: change.Step}
	if change.Step == StepClaim {
		return row.claim(name, task, change)
	}
	if change.Epoch != task.Epoch {
		return task, ErrStaleEpoch{Task: name, Epoch: change.Epoch, Have: task.Epoch}
	}
	switch change.Step {
	case StepPark:
		if task.State != Waiting && task.State != Parked {
			return task, notAllowed
		}
		task.State, task.Reason = Parked, truncateReason(change.Reason)
		return task, nil
	case StepUnpark:
		if task.State != Parked {
			return task, notAllowed
		}
		task.State, task.Reason = Waiting, ""
		return task, nil
	}
	if !task.State.Live() {
		return task, notAllowed
	}
	switch change.Step {
	case StepStart:
		// A task that was evicted before its start was confirmed stays Evicting.
		if task.State == Claimed {
			task.State = Running
		}
		return task, nil
	case StepAdopt:
		if change.Placement.Worker != task.Placement.Worker || change.Placement.Incarnation < task.Placement.Incarnation {
			return task, notAllowed
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
			return task, notAllowed
		}
		return row.endPlacement(task, Waiting, change), nil
	case StepFinish:
		return row.endPlacement(task, Finished, change), nil
	case StepGiveUp:
		task.Failures++
		return row.endPlacement(task, Failed, change), nil
	case StepFail:
		task.Failures++
		return row.endPlacement(task, Waiting, change), nil
	case StepStop:
		task.Evictions++
		return row.endPlacement(task, Waiting, change), nil
	case StepLose:
		return row.endPlacement(task, Waiting, change), nil
	}
	return task, notAllowed
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

// endPlacement returns the task in the given state without its placement. In a cancelled job, a task
// that would wait again becomes Cancelled.
func (row *Row) endPlacement(task Task, state State, change Change) Task {
	if state == Waiting && row.Cancelled {
		state = Cancelled
	}
	task.State = state
	task.Placement, task.Size = Placement{}, unit.Resources{}
	task.Reason = ""
	if state == Failed || change.Step == StepFail {
		task.Reason = truncateReason(change.Reason)
	}
	if change.Checkpoint.Name != "" && change.Checkpoint.Epoch >= task.Checkpoint.Epoch && change.Checkpoint.Epoch <= task.Epoch {
		task.Checkpoint = change.Checkpoint
	}
	return task
}

func truncateReason(reason string) string {
	if len(reason) <= MaxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(reason[:MaxReasonBytes], "")
}

// checkInvariants panics with ErrInvariant if the change of the task from before to after violates an
// invariant (I2, I3).
func checkInvariants(name ident.Task, before, after Task) {
	violated := func(reason string) { panic(ErrInvariant{Task: name, Reason: reason}) }
	if before.State.Final() {
		violated("final state changed")
	}
	if after.Epoch < before.Epoch {
		violated("epoch fell")
	}
	if after.Checkpoint.Epoch < before.Checkpoint.Epoch || after.Checkpoint.Epoch > after.Epoch {
		violated("checkpoint is not the newest")
	}
	if after.State.Live() != (after.Placement.Worker != "") {
		violated("placement does not match state " + string(after.State))
	}
	if !before.State.Live() && after.State.Live() && after.Epoch != before.Epoch+1 {
		violated("placed without raising the epoch")
	}
	if before.State.Live() && after.State.Live() {
		if before.Placement.Worker != after.Placement.Worker || before.Epoch != after.Epoch {
			violated("second live placement")
		}
	}
}
