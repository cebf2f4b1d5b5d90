package standalone

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/logging"
	"hyssopjunction/operator"
	"hyssopjunction/outcome"
	"hyssopjunction/standin"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// TestMain keeps the daemons' logs off the output, where they would hide the failures of tests. The
// lines about interrupted streams are printed if a test fails: they name the cause of each attempt.
func TestMain(m *testing.M) {
	kept := &lineFilter{part: []byte("Stream interrupted")}
	logging.New(kept, slog.LevelInfo)
	code := m.Run()
	if code != 0 {
		kept.print(os.Stderr)
	}
	os.Exit(code)
}

// lineFilter keeps the log lines that contain part. One write is one line.
type lineFilter struct {
	part []byte

	mu    sync.Mutex
	lines [][]byte
}

// Write implements io.Writer.
func (filter *lineFilter) Write(line []byte) (int, error) {
	if bytes.Contains(line, filter.part) {
		filter.mu.Lock()
		filter.lines = append(filter.lines, bytes.Clone(line))
		filter.mu.Unlock()
	}
	return len(line), nil
}

func (filter *lineFilter) print(out io.Writer) {
	filter.mu.Lock()
	defer filter.mu.Unlock()
	for _, line := range filter.lines {
		_, _ = out.Write(line)
	}
}

// bound ends a test whose system does not reach the awaited state. It is no performance bound.
const bound = 90 * time.Second

// fixture is a configured deployment with a caller and an operator.
type fixture struct {
	*sampleRun
	test testing.TB
	ctx  context.Context
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	t.Cleanup(cancel)
	deployment, err := New(ctx, SampleLayout())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(deployment.Close)
	run := &sampleRun{deployment: deployment, out: io.Discard, caller: NewCaller()}
	t.Cleanup(run.caller.Close)
	made := &fixture{sampleRun: run, test: t, ctx: ctx}
	made.renewOperators()
	made.must(run.configure(ctx))
	made.must(run.awaitEndpoints(ctx))
	return made
}

func (fixture *fixture) must(err error) {
	fixture.test.Helper()
	if err != nil {
		fixture.test.Fatal(err)
	}
}

// renewOperators makes the operator's client forget entries that were stopped.
func (fixture *fixture) renewOperators() {
	fixture.test.Helper()
	client, err := fixture.deployment.Operators()
	fixture.must(err)
	fixture.operators = client
}

// submit submits a job, again until it is accepted or its outcome is known.
func (fixture *fixture) submit(name ident.Job, tasks int, kind worker.Kind, run clock.Millis) {
	fixture.test.Helper()
	submission := operator.JobSubmission{
		Job: name, Team: casting, Class: "layout", Kind: kind, Tasks: tasks,
		Resources: unit.Resources{CPU: 2000, Memory: 2048},
		Payload:   standin.Payload{RunMillis: run, Class: "layout"}.String(),
	}
	fixture.must(fixture.until(fixture.ctx, "the job to be accepted", func() (bool, error) {
		_, err := fixture.operators.SubmitJob(fixture.ctx, submission)
		return err == nil, nil
	}))
	fixture.jobs = append(fixture.jobs, name)
	for index := range tasks {
		fixture.tasks = append(fixture.tasks, ident.Task{Job: name, Index: index})
	}
}

// submissions returns keyed calls, so that each may run once only.
func submissions(prefix string, count int) []Call {
	calls := make([]Call, 0, count)
	for index := range count {
		calls = append(calls, Call{
			Service: entries, Team: contest, Patience: samplePatience,
			Key: ident.Key(fmt.Sprintf("%s-%d", prefix, index)), Body: fmt.Sprintf("%s entry %d", prefix, index),
		})
	}
	return calls
}

// assertClean checks the outcome against the records of endpoints and workers.
func (fixture *fixture) assertClean() Outcome {
	fixture.test.Helper()
	counted := fixture.deployment.Count(fixture.results, fixture.tasks)
	if !counted.Clean() {
		fixture.test.Fatalf("not clean: %+v\n%v", counted, fixture.deployment.Platform.Records.Violations().Details)
	}
	return counted
}

// running returns where the job's tasks run.
func (fixture *fixture) running(name ident.Job) []operator.TaskPlacement {
	fixture.test.Helper()
	var placed []operator.TaskPlacement
	fixture.must(fixture.until(fixture.ctx, "the job to run", func() (bool, error) {
		state, err := fixture.operators.Job(fixture.ctx, name)
		placed = state.Running
		return err == nil && len(placed) == state.Tasks && state.Counts["Running"] == state.Tasks, nil
	}))
	return placed
}

// Guards against the whole path losing or repeating work when nothing fails but a data centre
// leaves and returns.
func TestSampleRun(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	counted, err := runSample(ctx, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if !counted.Clean() || counted.Evictions == 0 || counted.Resumes == 0 || counted.RequestsDone == 0 {
		t.Fatalf("have %+v", counted)
	}
}

// Guards against a keyed submission that runs twice, or is reported wrongly, when the entry that
// serves it ends and the caller repeats the key at another entry.
func TestEntryCrashUnderLoad(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.submit("during-crash", 20, worker.Batch, 600)
	calls := submissions("crash", 120)
	first := make(chan []Result)
	addresses := fixture.deployment.Callers()
	go func() { first <- fixture.caller.SendAll(fixture.ctx, addresses, calls, requestCallers) }()
	time.Sleep(50 * time.Millisecond)
	fixture.deployment.CrashEntry(EntryID("gent"))
	fixture.results = append(fixture.results, <-first...)
	fixture.renewOperators()
	var unanswered []Call
	for index, result := range fixture.results {
		if result.Outcome != outcome.Ran {
			unanswered = append(unanswered, calls[index])
		}
	}
	again := fixture.caller.SendAll(fixture.ctx, fixture.deployment.Callers(), unanswered, requestCallers)
	fixture.results = append(fixture.results, again...)
	fixture.must(fixture.awaitJobs(fixture.ctx))
	if counted := fixture.assertClean(); counted.Evictions > 0 {
		t.Errorf("the crash of an entry stopped %d tasks", counted.Evictions)
	}
}

// Guards against tasks of a lost worker that are never placed again, or placed while they may still
// run there.
func TestAgentCrashIsReplacedAfterLease(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.submit("standing", 4, worker.Standing, 0)
	placed := fixture.running("standing")
	lost := placed[0].Worker
	fixture.deployment.CrashAgent(lost)
	fixture.must(fixture.until(fixture.ctx, "the tasks to run elsewhere", func() (bool, error) {
		state, err := fixture.operators.Job(fixture.ctx, "standing")
		if err != nil || state.Counts["Running"] != 4 {
			return false, err
		}
		for _, now := range state.Running {
			if now.Worker == lost {
				return false, nil
			}
		}
		return true, nil
	}))
	fixture.tasks = nil // standing tasks do not finish
	fixture.assertClean()
}

// Guards against an agent that, started again within the lease, loses or repeats the tasks that its
// worker still runs.
func TestAgentRestartAdoptsTasks(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.submit("adopted", 12, worker.Batch, 3000)
	placed := fixture.running("adopted")
	name := placed[0].Worker
	fixture.deployment.CrashAgent(name)
	for _, centre := range fixture.deployment.layout.DataCentres {
		for index := range fixture.deployment.layout.Workers {
			if WorkerID(centre, index) == name {
				fixture.must(fixture.deployment.StartAgent(centre, index))
			}
		}
	}
	fixture.must(fixture.awaitJobs(fixture.ctx))
	if counted := fixture.assertClean(); counted.Evictions > 0 {
		t.Fatalf("the restart stopped %d tasks", counted.Evictions)
	}
}

// Guards against work that is lost or repeated when the table loses answers to writes that took
// effect, and is then out for a while.
func TestTableLosesAnswersThenOutage(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	faults := standin.StoreFaults{LoseRate: 0.2}
	fixture.must(fixture.deployment.Platform.Table.SetFaults(faults))
	fixture.submit("lossy", 30, worker.Batch, 500)
	calls := submissions("lossy", 60)
	fixture.results = append(fixture.results, fixture.caller.SendAll(fixture.ctx, fixture.deployment.Callers(), calls, requestCallers)...)
	fixture.must(fixture.deployment.Platform.Table.SetFaults(standin.StoreFaults{Outage: true}))
	during := fixture.caller.SendAll(fixture.ctx, fixture.deployment.Callers(), submissions("outage", 20), requestCallers)
	for _, result := range during {
		if result.Outcome == outcome.Ran {
			t.Error("a keyed submission ran without a claim")
		}
	}
	fixture.results = append(fixture.results, during...)
	plain := fixture.caller.SendAll(fixture.ctx, fixture.deployment.Callers(), []Call{{Service: checks, Team: contest, Body: "check"}}, 1)
	if plain[0].Outcome != outcome.Ran {
		t.Errorf("an idempotent request had outcome %s during the outage", plain[0].Outcome)
	}
	fixture.results = append(fixture.results, plain...)
	fixture.must(fixture.deployment.Platform.Table.SetFaults(standin.StoreFaults{}))
	fixture.must(fixture.awaitJobs(fixture.ctx))
	fixture.assertClean()
}

// Guards against urgent work that waits for ever because the batch tasks that fill the workers have
// another home, and against displaced tasks that are lost or run twice.
func TestUrgentDisplacesBatchOfOtherHomes(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.submit("filling", 90, worker.Batch, 3000)
	fixture.must(fixture.until(fixture.ctx, "the workers to be full", func() (bool, error) {
		return fixture.deployment.Platform.Records.Counts().Running >= 50, nil
	}))
	for _, name := range []ident.Job{"urgent-a", "urgent-b", "urgent-c", "urgent-d"} {
		submission := operator.JobSubmission{
			Job: name, Team: contest, Class: "layout", Kind: worker.Standing, Tasks: 1, Urgent: true,
			Resources: unit.Resources{CPU: 4000, Memory: 4096}, Payload: standin.Payload{Class: "layout"}.String(),
		}
		_, err := fixture.operators.SubmitJob(fixture.ctx, submission)
		fixture.must(err)
		fixture.running(name)
	}
	fixture.must(fixture.awaitJobs(fixture.ctx))
	fixture.assertClean()
}

// Guards against requests that are cut by the planned stop of an entry or an agent.
func TestGracefulStopsCutNothing(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.submit("drained", 18, worker.Batch, 2000)
	placed := fixture.running("drained")
	var calls []Call
	for index := range 400 {
		calls = append(calls, Call{Service: checks, Team: contest, Patience: samplePatience, Body: fmt.Sprintf("check %d", index)})
	}
	addresses := []string{fixture.deployment.Callers()[0]}
	sent := make(chan []Result)
	go func() { sent <- fixture.caller.SendAll(fixture.ctx, addresses, calls, requestCallers) }()
	fixture.must(fixture.deployment.StopAgent(fixture.ctx, placed[0].Worker))
	fixture.must(fixture.deployment.StopEntry(fixture.ctx, EntryID("kortrijk")))
	fixture.renewOperators()
	for _, result := range <-sent {
		fixture.results = append(fixture.results, result)
		if result.Outcome != outcome.Ran {
			t.Errorf("a request had outcome %s", result.Outcome)
		}
	}
	fixture.must(fixture.awaitJobs(fixture.ctx))
	if counted := fixture.assertClean(); counted.Resumes == 0 {
		t.Error("no task was resumed from the checkpoint of the stopped agent")
	}
}
