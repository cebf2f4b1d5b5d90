package workflow

import (
	"math"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
)

// drawSpec draws a job of up to four steps, which may depend on earlier ones.
func drawSpec(t *rapid.T) Spec {
	spec := Spec{
		ID: "0123456789abcdef", Queue: "queue", Service: "desk", Payload: rapid.StringN(0, 20, 40).Draw(t, "payload"),
		Policy: Policy{MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Slack: 2, Latency: clock.Second},
	}
	for number := range rapid.IntRange(1, 4).Draw(t, "steps") {
		step := Step{
			Count: rapid.IntRange(1, 4).Draw(t, "count"), Estimate: clock.Millis(rapid.IntRange(0, 5000).Draw(t, "estimate")),
			Need: unit.Resources{CPU: 100, Memory: 10}, Gang: rapid.Bool().Draw(t, "gang"),
		}
		for earlier := range number {
			if rapid.Bool().Draw(t, "after") {
				step.After = append(step.After, earlier)
			}
		}
		spec.Steps = append(spec.Steps, step)
	}
	if rapid.Bool().Draw(t, "scheduled") {
		spec.Repetitions, spec.StartAt, spec.Interval = rapid.IntRange(1, 4).Draw(t, "repetitions"), 1000, 500
	}
	return spec
}

// TestRestoreReturnsEncodedState guards against a new leader that reads a job in another state than the old
// leader had stored, at any time during a job with failures, checkpoints, gangs, dependencies and several
// occurrences.
func TestRestoreReturnsEncodedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := New(drawSpec(t))
		now := int64(0)
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			now += int64(rapid.IntRange(0, 700).Draw(t, "passes"))
			job.AddDueOccurrences(now)
			placeOrEndTask(t, job)
		}
		data, err := EncodeState(job)
		if err != nil {
			t.Fatal(err)
		}
		spec, err := EncodeSpec(job.Spec)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeSpec(job.Spec.ID, spec)
		if err != nil {
			t.Fatal(err)
		}
		restored, err := Restore(decoded, data)
		if err != nil {
			t.Fatal(err)
		}
		if job.State.Final() {
			job.Occurrences, restored.Occurrences = nil, nil // Of a final job only the active tasks are stored.
		}
		for _, occurrence := range job.Occurrences {
			for step := range occurrence.Steps {
				for index := range occurrence.Steps[step] {
					if task := &occurrence.Steps[step][index]; task.Phase == Done {
						task.Saved = "" // The checkpoint of a done task is not stored.
					}
				}
			}
		}
		if diff := cmp.Diff(job, restored, cmp.AllowUnexported(Occurrence{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("restored job differs:\n%s", diff)
		}
	})
}

// placeOrEndTask places a random task that is ready, or ends a random active one.
func placeOrEndTask(t *rapid.T, job *Job) {
	var waiting, active []Name
	job.EachTask(func(name Name, task *Task) {
		occurrence, _ := job.Occurrence(name.Occurrence)
		switch {
		case task.Phase == Active:
			active = append(active, name)
		case task.Phase == Waiting && job.Ready(occurrence, name.Step) && !isGangWithActiveTask(job, occurrence, name.Step):
			waiting = append(waiting, name)
		}
	})
	if job.State.Final() {
		return
	}
	if len(waiting) > 0 && (len(active) == 0 || rapid.Bool().Draw(t, "place")) {
		name := rapid.SampledFrom(waiting).Draw(t, "task")
		before := job.Task(name).Run
		run := job.NextRun(name)
		if run <= before {
			t.Fatalf("run %d of %s is not above %d", run, name, before)
		}
		members := []Name{name}
		if job.Spec.Steps[name.Step].Gang {
			members = nil
			for index := range job.Spec.Steps[name.Step].Count {
				member := name
				member.Index = index
				members = append(members, member)
			}
		}
		for _, member := range members {
			job.Place(member, run, rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "worker"))
		}
		return
	}
	if len(active) > 0 {
		name := rapid.SampledFrom(active).Draw(t, "task")
		cause := rapid.SampledFrom([]Cause{Finished, Faulted, Interrupted}).Draw(t, "cause")
		job.EndRun(name, cause, Checkpoint(rapid.SampledFrom([]string{"", "c1", "c2"}).Draw(t, "saved")))
	}
}

// isGangWithActiveTask reports whether the step is a gang with an active member.
func isGangWithActiveTask(job *Job, occurrence *Occurrence, step int) bool {
	for _, task := range occurrence.Steps[step] {
		if job.Spec.Steps[step].Gang && task.Phase == Active {
			return true
		}
	}
	return false
}

// TestNameRoundTrip guards against a task name that changes when it is sent to a worker and back.
func TestNameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := Name{
			Job: ID(rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "job")), Occurrence: rapid.IntRange(0, 1000).Draw(t, "occurrence"),
			Step: rapid.IntRange(0, 64).Draw(t, "step"), Index: rapid.IntRange(0, 1000).Draw(t, "index"),
		}
		if got, err := ParseName(name.String()); err != nil || got != name {
			t.Fatalf("got %v, %v; want %v", got, err, name)
		}
	})
}

// FuzzRestore guards against corrupt stored bytes that make the leader panic, or yield a job that cannot be
// stored again.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"S":"running","N":1,"W":["w"],"O":[{"T":[{"p":1,"r":1},{"i":1,"p":2,"r":1}]}]}`))
	f.Add([]byte(`{"S":"running","O":[{"K":-1,"T":[{"s":-1,"i":-1,"w":-1,"p":1}]}]}`))
	spec := Spec{ID: "0123456789abcdef", Steps: []Step{{Count: 2, Need: unit.Resources{CPU: 1}}}, Policy: Policy{MaxAttempts: 1}}
	f.Fuzz(func(t *testing.T, data []byte) {
		job, err := Restore(spec, data)
		if err != nil {
			return
		}
		job.EachTask(func(name Name, task *Task) {
			if task.Phase == Active && task.Worker == "" && task.Run == 0 {
				t.Errorf("%s is active without a run", name)
			}
		})
		if _, err := EncodeState(job); err != nil {
			t.Errorf("restored job cannot be stored: %v", err)
		}
	})
}

// TestCheckReportsInvalidField guards against the acceptance of invalid submissions, and against errors that
// name the wrong field.
func TestCheckReportsInvalidField(t *testing.T) {
	valid := func() Spec {
		return Spec{ID: "0123456789abcdef", Steps: []Step{{Count: 1}, {Count: 1, After: []int{0}}}}
	}
	cases := map[string]struct {
		change func(*Spec)
		field  string
	}{
		"no steps":        {func(spec *Spec) { spec.Steps = nil }, "Steps"},
		"no tasks":        {func(spec *Spec) { spec.Steps[0].Count = 0 }, "Steps[0].Count"},
		"too many tasks":  {func(spec *Spec) { spec.Steps[0].Count = maxTasks }, "Steps"},
		"tasks overflow":  {func(spec *Spec) { spec.Steps[0].Count, spec.Steps[1].Count = 1<<62, 1<<62 }, "Steps"},
		"CPU overflows":   {func(spec *Spec) { spec.Steps[1].Need.CPU = math.MaxInt64 }, "Steps[1].Need"},
		"memory overflow": {func(spec *Spec) { spec.Steps[1].Need.Memory = math.MaxInt64 }, "Steps[1].Need"},
		"long estimate":   {func(spec *Spec) { spec.Steps[0].Estimate = math.MaxInt64 }, "Steps[0].Estimate, Target, PerWorker, MayMiss"},
		"later step":      {func(spec *Spec) { spec.Steps[0].After = []int{1} }, "Steps[0].After"},
		"itself":          {func(spec *Spec) { spec.Steps[1].After = []int{1} }, "Steps[1].After"},
		"negative memory": {func(spec *Spec) { spec.Steps[1].Need.Memory = -1 }, "Steps[1].Need"},
		"repetitions":     {func(spec *Spec) { spec.Repetitions = -1 }, "Repetitions"},
	}
	if err := valid().Check(); err != nil {
		t.Errorf("valid job: %v", err)
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			spec := valid()
			test.change(&spec)
			invalid, ok := spec.Check().(ErrInvalid)
			if !ok || invalid.Field != test.field {
				t.Errorf("got %v, want the field %s", invalid, test.field)
			}
		})
	}
}

// maxRowBytes is the store's limit on the size of a row.
const maxRowBytes = 64 << 10

// TestDueOccurrencesAreLimited guards against a leader that runs out of memory, and against a state row beyond the store's
// limit, because all occurrences of a wide job fall due at once: each later leader met the same job.
func TestDueOccurrencesAreLimited(t *testing.T) {
	spec := Spec{ID: "0123456789abcdef", Repetitions: maxRepetitions, Interval: 1, Steps: []Step{{Count: 400}}}
	if err := spec.Check(); err != nil {
		t.Fatal(err)
	}
	job := New(spec)
	completed := 0
	for job.AddDueOccurrences(math.MaxInt64 / 2) {
		tasks := 0
		job.EachTask(func(name Name, task *Task) {
			tasks++
			if task.Phase == Waiting {
				job.Place(name, job.NextRun(name), "i-127.72.0.160-1@1733306400000@agent-127.72.0.160")
			}
		})
		if tasks > maxTasks {
			t.Fatalf("%d tasks are due, want at most %d", tasks, maxTasks)
		}
		if data, err := EncodeState(job); err != nil || len(data) > maxRowBytes {
			t.Fatalf("the state takes %d bytes (%v), want at most %d", len(data), err, maxRowBytes)
		}
		first := job.Occurrences[0]
		for index := range first.Steps[0] {
			job.EndRun(Name{Job: spec.ID, Occurrence: first.Number, Index: index}, Finished, "")
		}
		completed++
	}
	for _, occurrence := range slices.Clone(job.Occurrences) {
		for index := range occurrence.Steps[0] {
			job.EndRun(Name{Job: spec.ID, Occurrence: occurrence.Number, Index: index}, Finished, "")
		}
		completed++
	}
	if completed != maxRepetitions || job.State != Completed {
		t.Errorf("%d of %d occurrences were run, and the job is %s", completed, maxRepetitions, job.State)
	}
}
