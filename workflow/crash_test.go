package workflow

import (
	"testing"

	"hyssopjunction/clock"
)

// crashedJob returns a job with two occurrences whose tasks have a run each.
func crashedJob(t *testing.T, gang bool) *Job {
	t.Helper()
	job := New(Spec{ID: "job", Steps: []Step{{Count: 2, Gang: gang, Estimate: clock.Second}}, Repetitions: 2, Interval: 1, Policy: Policy{MaxAttempts: 1}})
	job.AddDueOccurrences(10)
	job.EachTask(func(name Name, _ *Task) { job.Place(name, 1, "w@n") })
	return job
}

func assertCrashCount(t *testing.T, job *Job, name Name, want int) {
	t.Helper()
	if got := len(job.CrashesOf(name)); got != want {
		t.Errorf("got %d crashes of %s, want %d", got, name, want)
	}
}

// TestCrashesOutliveRuns guards against a count that starts anew: with the next run, with another occurrence, with a report that
// arrives twice or after the run has ended, and with a leader that reads the stored row.
func TestCrashesOutliveRuns(t *testing.T) {
	job := crashedJob(t, false)
	first, second := Name{Job: "job", Index: 1}, Name{Job: "job", Occurrence: 1, Index: 1}
	job.EndRun(first, 1, Interrupted, "")
	for range 2 {
		job.RecordCrash(Crash{Name: first, Run: 1, Worker: "w@n", Age: 10, Alone: true})
	}
	assertCrashCount(t, job, first, 1)
	job.Place(first, 2, "w2@n2")
	job.RecordCrash(Crash{Name: first, Run: 2, Worker: "w2@n2", Age: 11})
	job.RecordCrash(Crash{Name: second, Run: 1, Worker: "w@n", Age: 12})
	assertCrashCount(t, job, second, 3)
	assertCrashCount(t, job, Name{Job: "job"}, 0)
	data, err := EncodeState(job)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(job.Spec, data)
	if err != nil {
		t.Fatal(err)
	}
	assertCrashCount(t, restored, first, 3)
	if got, want := restored.Crashes[0], job.Crashes[0]; got != want {
		t.Errorf("got %+v after storing, want %+v", got, want)
	}
}

// TestCrashesOfUnknownRuns guards against evidence from runs that the job never had, and against evidence that fails a job whose
// task is done.
func TestCrashesOfUnknownRuns(t *testing.T) {
	job := crashedJob(t, false)
	name := Name{Job: "job"}
	for reason, crash := range map[string]Crash{
		"later run":     {Name: name, Run: 2, Worker: "w@n"},
		"no run":        {Name: name, Worker: "w@n"},
		"unknown index": {Name: Name{Job: "job", Index: 7}, Run: 1, Worker: "w@n"},
	} {
		if job.RecordCrash(crash) {
			t.Errorf("%s: got a crash recorded, want none", reason)
		}
	}
	job.EndRun(name, 1, Finished, "")
	if job.RecordCrash(Crash{Name: name, Run: 1, Worker: "w@n"}) {
		t.Error("got a crash of a task that is done recorded, want none")
	}
}

// TestClearCrashes guards against suspicion against a task or gang that goes on after it has shown that it is healthy, and
// against the loss of other evidence when a culprit is found.
func TestClearCrashes(t *testing.T) {
	job := crashedJob(t, true)
	first, second := Name{Job: "job"}, Name{Job: "job", Index: 1}
	job.RecordCrash(Crash{Name: first, Run: 1, Worker: "w@n"})
	job.RecordCrash(Crash{Name: second, Run: 1, Worker: "w@n"})
	job.ClearCrashes(first)
	assertCrashCount(t, job, second, 0)

	job = crashedJob(t, false)
	job.Place(second, 2, "w2@n2")
	for _, crash := range []Crash{{Name: first, Run: 1, Worker: "w@n"}, {Name: second, Run: 1, Worker: "w@n"}, {Name: second, Run: 2, Worker: "w2@n2"}} {
		job.RecordCrash(crash)
	}
	job.RemoveCrash("w@n")
	assertCrashCount(t, job, first, 0)
	assertCrashCount(t, job, second, 2)
}

// TestCorruptCrash guards against a stored row that takes its reader down.
func TestCorruptCrash(t *testing.T) {
	spec := crashedJob(t, false).Spec
	for _, row := range []string{
		`{"S":"running","N":1,"D":[{"r":1}]}`, `{"S":"running","N":1,"W":["w"],"D":[{"r":0}]}`,
		`{"S":"running","N":1,"W":["w"],"D":[{"s":9,"r":1}]}`, `{"S":"running","N":1,"W":["w"],"D":[{"i":-1,"r":1}]}`,
	} {
		if _, err := Restore(spec, []byte(row)); err == nil {
			t.Errorf("got no error for %s, want ErrCorrupt", row)
		}
	}
}
