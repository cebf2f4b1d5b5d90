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

// TestMain suppresses the daemons' logs, which would hide the failures of tests in the output. If a
// test fails, the lines about interrupted streams are printed, since they name the cause of each
// failed attempt.
func TestMain(m *testing.M) {
	filter := &lineFilter{substring: []byte("Stream interrupted")}
	logging.New(filter, slog.LevelInfo)
	code := m.Run()
	if code != 0 {
		filter.print(os.Stderr)
	}
	os.Exit(code)
}

// lineFilter collects the log lines that contain the substring. Each write must be one line.
type lineFilter struct {
	substring []byte

	mu    sync.Mutex
	lines [][]byte
}

// Write stores the line if it contains the substring.
func (filter *lineFilter) Write(line []byte) (int, error) {
	if bytes.Contains(line, filter.substring) {
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

// testTimeout ends a test whose deployment doesn't reach an awaited state. It isn't a performance
// bound.
const testTimeout = 90 * time.Second

// fixture is a configured deployment with a caller and a client of the operators' API.
type fixture struct {
	*sampleRun
	test testing.TB
	ctx  context.Context
}

// newFixture starts and configures the sample deployment, and stops it at the end of the test.
func newFixture(t testing.TB) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	deployment, err := New(ctx, SampleLayout())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(deployment.Close)
	run := &sampleRun{deployment: deployment, out: io.Discard, caller: NewCaller()}
	t.Cleanup(run.caller.Close)
	fixture := &fixture{sampleRun: run, test: t, ctx: ctx}
	fixture.reconnectOperators()
	fixture.must(run.configure(ctx))
	fixture.must(run.awaitWorkers(ctx))
	return fixture
}

func (fixture *fixture) must(err error) {
	fixture.test.Helper()
	if err != nil {
		fixture.test.Fatal(err)
	}
}

// reconnectOperators replaces the client of the operators' API by one that doesn't use stopped entries.
func (fixture *fixture) reconnectOperators() {
	fixture.test.Helper()
	client, err := fixture.deployment.OperatorClient()
	fixture.must(err)
	fixture.operators = client
}

// submit submits a job, repeating the call until the job is accepted.
func (fixture *fixture) submit(name ident.Job, tasks int, kind worker.Kind, run clock.Millis) {
	fixture.test.Helper()
	submission := operator.JobSubmission{
		Job: name, Team: castingTeam, Class: "layout", Kind: kind, Tasks: tasks,
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

// keyedCalls returns calls with request keys, each of which may run only once.
func keyedCalls(prefix string, count int) []Call {
	calls := make([]Call, 0, count)
	for index := range count {
		calls = append(calls, Call{
			Service: entryService, Team: contestTeam, Patience: samplePatience,
			Key: ident.Key(fmt.Sprintf("%s-%d", prefix, index)), Body: fmt.Sprintf("%s entry %d", prefix, index),
		})
	}
	return calls
}

// assertClean checks the results received and the tasks submitted so far against the records of
// endpoints and workers, and returns the outcome.
func (fixture *fixture) assertClean() Outcome {
	fixture.test.Helper()
	counts := fixture.deployment.CountOutcome(fixture.results, fixture.tasks)
	if !counts.Clean() {
		fixture.test.Fatalf("not clean: %+v\n%v", counts, fixture.deployment.Platform.Records.Violations().Details)
	}
	return counts
}

// awaitRunning waits until all tasks of the job run and returns where they run.
func (fixture *fixture) awaitRunning(name ident.Job) []operator.TaskPlacement {
	fixture.test.Helper()
	var placements []operator.TaskPlacement
	fixture.must(fixture.until(fixture.ctx, "the job to run", func() (bool, error) {
		state, err := fixture.operators.Job(fixture.ctx, name)
		placements = state.Running
		return err == nil && len(placements) == state.Tasks && state.Counts["Running"] == state.Tasks, nil
	}))
	return placements
}

// TestSampleRun guards against requests or tasks that are lost or run twice while a data centre is
// drained and taken back in, with no other fault.
func TestSampleRun(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	counts, err := runSample(ctx, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if !counts.Clean() || counts.Evictions == 0 || counts.Resumes == 0 || counts.RequestsDone == 0 {
		t.Fatalf("have %+v", counts)
	}
}

// TestEntryCrashUnderLoad guards against a keyed request that runs twice, or whose outcome is reported
// wrongly, when the entry that serves it crashes and the caller repeats the request at another entry.
func TestEntryCrashUnderLoad(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.submit("during-crash", 20, worker.Batch, 600)
	calls := keyedCalls("crash", 120)
	firstResults := make(chan []Result)
	addresses := fixture.deployment.CallerAddresses()
	go func() { firstResults <- fixture.caller.SendAll(fixture.ctx, addresses, calls, callerConcurrency) }()
	time.Sleep(50 * time.Millisecond)
	fixture.deployment.CrashEntry(EntryID("gent"))
	fixture.results = append(fixture.results, <-firstResults...)
	fixture.reconnectOperators()
	var retries []Call
	for index, result := range fixture.results {
		if result.Outcome != outcome.Ran {
			retries = append(retries, calls[index])
		}
	}
	retryResults := fixture.caller.SendAll(fixture.ctx, fixture.deployment.CallerAddresses(), retries, callerConcurrency)
	fixture.results = append(fixture.results, retryResults...)
	fixture.must(fixture.awaitJobs(fixture.ctx))
	if counts := fixture.assertClean(); counts.Evictions > 0 {
		t.Errorf("the crash of an entry stopped %d tasks", counts.Evictions)
	}
}

// TestTasksOfCrashedAgentMoveAfterLease guards against tasks of a lost worker that are never placed
// again, or that are placed elsewhere while they may still run on it.
func TestTasksOfCrashedAgentMoveAfterLease(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.submit("standing", 4, worker.Standing, 0)
	placements := fixture.awaitRunning("standing")
	crashedWorker := placements[0].Worker
	fixture.deployment.CrashAgent(crashedWorker)
	fixture.must(fixture.until(fixture.ctx, "the tasks to run elsewhere", func() (bool, error) {
		state, err := fixture.operators.Job(fixture.ctx, "standing")
		if err != nil || state.Counts["Running"] != 4 {
			return false, err
		}
		for _, placement := range state.Running {
			if placement.Worker == crashedWorker {
				return false, nil
			}
		}
		return true, nil
	}))
	fixture.tasks = nil // Standing tasks don't finish.
	fixture.assertClean()
}

// TestAgentRestartAdoptsTasks guards against an agent that is restarted before its lease expires and
// then loses or repeats the tasks that its worker still runs.
func TestAgentRestartAdoptsTasks(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.submit("adopted", 12, worker.Batch, 3000)
	placements := fixture.awaitRunning("adopted")
	name := placements[0].Worker
	fixture.deployment.CrashAgent(name)
	for _, centre := range fixture.deployment.layout.DataCentres {
		for index := range fixture.deployment.layout.Workers {
			if WorkerID(centre, index) == name {
				fixture.must(fixture.deployment.StartAgent(centre, index))
			}
		}
	}
	fixture.must(fixture.awaitJobs(fixture.ctx))
	if counts := fixture.assertClean(); counts.Evictions > 0 {
		t.Fatalf("the restart stopped %d tasks", counts.Evictions)
	}
}

// TestTableLosesAnswersThenOutage guards against work that is lost or repeated when the table executes
// writes without answering them, and then has an outage.
func TestTableLosesAnswersThenOutage(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	faults := standin.StoreFaults{LoseRate: 0.2}
	fixture.must(fixture.deployment.Platform.Table.SetFaults(faults))
	fixture.submit("lossy", 30, worker.Batch, 500)
	calls := keyedCalls("lossy", 60)
	fixture.results = append(fixture.results, fixture.caller.SendAll(fixture.ctx, fixture.deployment.CallerAddresses(), calls, callerConcurrency)...)
	fixture.must(fixture.deployment.Platform.Table.SetFaults(standin.StoreFaults{Outage: true}))
	outageResults := fixture.caller.SendAll(fixture.ctx, fixture.deployment.CallerAddresses(), keyedCalls("outage", 20), callerConcurrency)
	for _, result := range outageResults {
		if result.Outcome == outcome.Ran {
			t.Error("a keyed submission ran without a claim")
		}
	}
	fixture.results = append(fixture.results, outageResults...)
	idempotentResults := fixture.caller.SendAll(fixture.ctx, fixture.deployment.CallerAddresses(), []Call{{Service: checkService, Team: contestTeam, Body: "check"}}, 1)
	if idempotentResults[0].Outcome != outcome.Ran {
		t.Errorf("an idempotent request had outcome %s during the outage", idempotentResults[0].Outcome)
	}
	fixture.results = append(fixture.results, idempotentResults...)
	fixture.must(fixture.deployment.Platform.Table.SetFaults(standin.StoreFaults{}))
	fixture.must(fixture.awaitJobs(fixture.ctx))
	fixture.assertClean()
}

// TestUrgentDisplacesBatchOfOtherHomes guards against urgent work that never starts because the batch
// tasks that fill the workers belong to a different home entry, and against displaced tasks that are
// lost or run twice.
func TestUrgentDisplacesBatchOfOtherHomes(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.submit("filling", 90, worker.Batch, 3000)
	fixture.must(fixture.until(fixture.ctx, "the workers to be full", func() (bool, error) {
		return fixture.deployment.Platform.Records.Counts().Running >= 50, nil
	}))
	for _, name := range []ident.Job{"urgent-a", "urgent-b", "urgent-c", "urgent-d"} {
		submission := operator.JobSubmission{
			Job: name, Team: contestTeam, Class: "layout", Kind: worker.Standing, Tasks: 1, Urgent: true,
			Resources: unit.Resources{CPU: 4000, Memory: 4096}, Payload: standin.Payload{Class: "layout"}.String(),
		}
		_, err := fixture.operators.SubmitJob(fixture.ctx, submission)
		fixture.must(err)
		fixture.awaitRunning(name)
	}
	fixture.must(fixture.awaitJobs(fixture.ctx))
	fixture.assertClean()
}

// TestGracefulStopsInterruptNoRequests guards against requests that are interrupted by the graceful
// shutdown of an entry or an agent.
func TestGracefulStopsInterruptNoRequests(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	fixture.submit("drained", 18, worker.Batch, 2000)
	placements := fixture.awaitRunning("drained")
	var calls []Call
	for index := range 400 {
		calls = append(calls, Call{Service: checkService, Team: contestTeam, Patience: samplePatience, Body: fmt.Sprintf("check %d", index)})
	}
	addresses := []string{fixture.deployment.CallerAddresses()[0]}
	results := make(chan []Result)
	go func() { results <- fixture.caller.SendAll(fixture.ctx, addresses, calls, callerConcurrency) }()
	fixture.must(fixture.deployment.StopAgent(fixture.ctx, placements[0].Worker))
	fixture.must(fixture.deployment.StopEntry(fixture.ctx, EntryID("kortrijk")))
	fixture.reconnectOperators()
	for _, result := range <-results {
		fixture.results = append(fixture.results, result)
		if result.Outcome != outcome.Ran {
			t.Errorf("a request had outcome %s", result.Outcome)
		}
	}
	fixture.must(fixture.awaitJobs(fixture.ctx))
	if counts := fixture.assertClean(); counts.Resumes == 0 {
		t.Error("no task was resumed from the checkpoint of the stopped agent")
	}
}
