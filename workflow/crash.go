package workflow

import (
	"slices"

	"hyssopjunction/clock"
)

// Crash is the end of a worker's process under a run that may have caused it.
type Crash struct {
	Name Name
	Run  Run
	// Worker is the incarnation of the worker.
	Worker string
	// Age is how long before the crash the run was started.
	Age clock.Millis
	// Alone reports that no run of another job and no cause outside of the worker is as likely.
	Alone bool
}

// concerns reports whether the crash counts against a task. The occurrences of a task count together, because they run the same
// program with the same input.
func (crash Crash) concerns(name Name) bool {
	return crash.Name.Step == name.Step && crash.Name.Index == name.Index
}

// RecordCrash adds a crash, and reports whether it did. It does not if the job is final, has no such run or has the crash, or
// if the task is done.
func (job *Job) RecordCrash(crash Crash) bool {
	task := job.Task(crash.Name)
	if job.State.Final() || task == nil || task.Phase == Done || crash.Run < 1 || crash.Run > task.Run {
		return false
	}
	if slices.ContainsFunc(job.Crashes, func(other Crash) bool { return other.Name == crash.Name && other.Run == crash.Run }) {
		return false
	}
	job.Crashes = append(job.Crashes, crash)
	return true
}

// CrashesOf returns the crashes that the task may have caused, in any of its occurrences.
func (job *Job) CrashesOf(name Name) []Crash {
	var crashes []Crash
	for _, crash := range job.Crashes {
		if crash.concerns(name) {
			crashes = append(crashes, crash)
		}
	}
	return crashes
}

// HasCrashes reports whether the task may have caused a crash.
func (job *Job) HasCrashes(name Name) bool {
	return slices.ContainsFunc(job.Crashes, func(crash Crash) bool { return crash.concerns(name) })
}

// ClearCrashes removes and returns the crashes that the task may have caused. Those of a gang are removed for all members,
// because they run together.
func (job *Job) ClearCrashes(name Name) []Crash {
	isGang := job.Spec.Steps[name.Step].Gang
	return job.removeCrashes(func(crash Crash) bool {
		return crash.concerns(name) || isGang && crash.Name.Step == name.Step
	})
}

// RemoveCrash removes the crash of a worker from the tasks that may have caused no other one, and reports whether it removed
// any.
func (job *Job) RemoveCrash(worker string) bool {
	return len(job.removeCrashes(func(crash Crash) bool {
		return crash.Worker == worker && !slices.ContainsFunc(job.CrashesOf(crash.Name), func(other Crash) bool { return other.Worker != worker })
	})) > 0
}

// ShareCrash records that the crash of a worker may have a cause outside of it, and reports whether that changed anything.
func (job *Job) ShareCrash(worker string) bool {
	changed := false
	for position := range job.Crashes {
		if crash := &job.Crashes[position]; crash.Worker == worker && crash.Alone {
			crash.Alone, changed = false, true
		}
	}
	return changed
}

// GiveUp makes a job fail that is not final.
func (job *Job) GiveUp() {
	if !job.State.Final() {
		job.State = Failed
	}
}

// removeCrashes removes and returns the crashes for which remove returns true.
func (job *Job) removeCrashes(remove func(Crash) bool) []Crash {
	var removed, kept []Crash
	for _, crash := range job.Crashes {
		if remove(crash) {
			removed = append(removed, crash)
		} else {
			kept = append(kept, crash)
		}
	}
	job.Crashes = kept
	return removed
}
