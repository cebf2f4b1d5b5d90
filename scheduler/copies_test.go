package scheduler

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/speculation"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// copiedStep returns a step of count tasks that need one core each and may have two runs.
func copiedStep(count int) workflow.Step {
	step := oneCoreStep(count)
	step.Copies = true
	return step
}

// newRackFixture returns a fixture with two workers in each of two racks.
func newRackFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := newFixture(t, 4)
	for number := range 4 {
		profile := fixture.scheduler.workers[incarnationName(number)].Profile
		profile.Labels = []string{"kind", fmt.Sprint("rack-", number/2)}
		fixture.scheduler.UpdateWorker(profile, fixture.now)
	}
	return fixture
}

// reportRuns reports the progress of runs by their index and that of no others.
func (fixture *fixture) reportRuns(starts []Order, percent func(index int) int) {
	for incarnation := range fixture.scheduler.workers {
		var progress []Progress
		for _, start := range starts {
			if start.Worker == incarnation {
				progress = append(progress, Progress{Name: start.Name, Run: start.Run, Percent: percent(start.Name.Index)})
			}
		}
		fixture.scheduler.RecordProgress(incarnation, progress, fixture.now)
	}
}

// planAll advances the clock, plans, and returns all orders.
func (fixture *fixture) planAll(after clock.Millis) []Order {
	fixture.t.Helper()
	fixture.now = fixture.now.Add(after)
	fixture.scheduler.Plan(fixture.now, 0)
	_, orders := fixture.scheduler.TakeChanges()
	return orders
}

// startWithLateRun starts a job of ten tasks, nine of which finish after a second. The last one is at 20% after 2 s.
func (fixture *fixture) startWithLateRun(step workflow.Step) Order {
	fixture.t.Helper()
	fixture.submit("job", step)
	starts := fixture.plan(0)
	assertStartCount(fixture.t, starts, 10)
	fixture.now = fixture.now.Add(clock.Second)
	for _, start := range starts[:9] {
		fixture.end(start, workflow.Finished)
	}
	fixture.now = fixture.now.Add(clock.Second)
	fixture.reportRuns(starts[9:], func(int) int { return 20 })
	return starts[9]
}

// startWithCopy starts a job as startWithLateRun does, and returns its late run and the copy.
func (fixture *fixture) startWithCopy() (late, second Order) {
	fixture.t.Helper()
	late = fixture.startWithLateRun(copiedStep(10))
	starts := fixture.plan(copyInterval)
	assertStartCount(fixture.t, starts, 1)
	return late, starts[0]
}

// changeLeader replaces the scheduler by one that restores the stored jobs, before or after the workers are reported.
func (fixture *fixture) changeLeader(workersFirst bool, jobs ...*workflow.Job) {
	fixture.t.Helper()
	workers := fixture.scheduler.workers
	fixture.scheduler = New()
	reportWorkers := func() {
		for incarnation, worker := range workers {
			fixture.scheduler.UpdateWorker(worker.Profile, fixture.now)
			fixture.scheduler.SetReachable(incarnation, true)
		}
	}
	if workersFirst {
		reportWorkers()
	}
	for _, job := range jobs {
		data, err := workflow.EncodeState(job)
		if err != nil {
			fixture.t.Fatal(err)
		}
		restored, err := workflow.Restore(job.Spec, data)
		if err != nil {
			fixture.t.Fatal(err)
		}
		fixture.scheduler.Restore(restored, fixture.now)
	}
	if !workersFirst {
		reportWorkers()
	}
}

// assertStops fails unless the orders stop exactly the runs of the wanted starts.
func assertStops(t *testing.T, orders []Order, want ...Order) {
	t.Helper()
	stopped := map[workflow.Run]Incarnation{}
	for _, order := range orders {
		if order.Stop {
			stopped[order.Run] = order.Worker
		}
	}
	for _, start := range want {
		if stopped[start.Run] != start.Worker {
			t.Errorf("run %d on %s is not stopped: %v", start.Run, start.Worker, stopped)
		}
	}
	if len(stopped) != len(want) {
		t.Errorf("got stops %v, want %d", stopped, len(want))
	}
}

// TestLateRunIsCopied guards against a job that waits for its last run although a copy would end sooner, against a copy
// where the first run is, and against two copies of a task.
func TestLateRunIsCopied(t *testing.T) {
	fixture := newRackFixture(t)
	late, second := fixture.startWithCopy()
	source, target := fixture.scheduler.workers[late.Worker], fixture.scheduler.workers[second.Worker]
	if second.Name != late.Name || second.Run != late.Run+1 || source.rack() == target.rack() {
		t.Errorf("got run %d of %s in %s beside run %d in %s, want the next run in the other rack", second.Run, second.Name, target.rack(), late.Run, source.rack())
	}
	events := fixture.scheduler.TakeCopyEvents()
	if len(events) != 1 || events[0].Evidence != speculation.Slow || events[0].OtherWorker != late.Worker || events[0].Siblings.Median != clock.Second {
		t.Errorf("got events %+v, want the copy with its evidence", events)
	}
	fixture.reportRuns([]Order{late, second}, func(int) int { return 20 })
	assertStartCount(t, fixture.plan(stallTimeout-1), 0)
}

// TestDoubtfulWorkerIsCopied guards against jobs that wait until the lease of a silent worker has lapsed.
func TestDoubtfulWorkerIsCopied(t *testing.T) {
	cases := map[string]struct {
		doubt    func(fixture *fixture, worker Incarnation)
		wait     clock.Millis
		evidence speculation.Evidence
	}{
		"agent is silent": {func(fixture *fixture, worker Incarnation) { fixture.scheduler.SetOverdue(worker, true) }, 0, speculation.Overdue},
		"worker is lost":  {func(fixture *fixture, worker Incarnation) { fixture.scheduler.SetReachable(worker, false) }, unreachableGrace, speculation.Unreachable},
		"no progress":     {func(*fixture, Incarnation) {}, stallTimeout - replanInterval, speculation.Stalled},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fixture := newRackFixture(t)
			fixture.submit("job", copiedStep(1))
			starts := fixture.plan(0)
			assertStartCount(t, starts, 1)
			assertStartCount(t, fixture.plan(replanInterval), 0)
			test.doubt(fixture, starts[0].Worker)
			for waited := replanInterval; waited < test.wait; waited += replanInterval {
				fixture.reportRuns(starts, func(int) int { return 0 }) // Silence alone is no sign that a run has stalled.
				assertStartCount(t, fixture.plan(replanInterval), 0)
			}
			fixture.reportRuns(starts, func(int) int { return 0 })
			assertStartCount(t, fixture.plan(replanInterval), 1)
			if events := fixture.scheduler.TakeCopyEvents(); len(events) != 1 || events[0].Evidence != test.evidence {
				t.Errorf("got events %+v, want one for %s", events, test.evidence)
			}
		})
	}
}

// TestNoCopy guards against copies that are not allowed, do harm or come from the leader's own pause.
func TestNoCopy(t *testing.T) {
	cases := map[string]func(fixture *fixture, step *workflow.Step) func(){
		"step without copies": func(_ *fixture, step *workflow.Step) func() {
			step.Copies = false
			return func() {}
		},
		"filling step": func(_ *fixture, step *workflow.Step) func() {
			step.Fills = true
			return func() {}
		},
		"quick tasks wait for the capacity": func(fixture *fixture, _ *workflow.Step) func() {
			return func() {
				step := oneCoreStep(5)
				step.Need.CPU = 20_000 // One on each worker leaves room for a copy.
				fixture.submit("large", step)
			}
		},
		"a failure of the copy fails the job": func(fixture *fixture, _ *workflow.Step) func() {
			return func() {
				record := fixture.scheduler.jobs["job"]
				record.job.Spec.Policy.MaxAttempts = 1
			}
		},
		"leader stood still": func(fixture *fixture, _ *workflow.Step) func() {
			return func() { fixture.now = fixture.now.Add(2 * clock.Second) }
		},
		"other workers are on probation": func(fixture *fixture, _ *workflow.Step) func() {
			return func() {
				for _, worker := range fixture.scheduler.workers {
					worker.health.probation = true
				}
			}
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			fixture := newRackFixture(t)
			step := copiedStep(10)
			change := prepare(fixture, &step)
			late := fixture.startWithLateRun(step)
			change()
			for _, start := range fixture.plan(replanInterval) {
				if start.Name == late.Name {
					t.Errorf("%s got run %d on %s, want no copy", start.Name, start.Run, start.Worker)
				}
			}
		})
	}
}

// TestCopyPrefersRackOfData guards against copies that are slow themselves, when many jobs have their data in one rack.
func TestCopyPrefersRackOfData(t *testing.T) {
	fixture := newRackFixture(t)
	step := copiedStep(10)
	step.DataRack = "rack-1"
	late := fixture.startWithLateRun(step)
	starts := fixture.plan(copyInterval)
	assertStartCount(t, starts, 1)
	if got := fixture.scheduler.workers[starts[0].Worker].rack(); got != "rack-1" || starts[0].Worker == late.Worker {
		t.Errorf("got the copy in %s on %s, want it on another worker of rack-1", got, starts[0].Worker)
	}
}

// TestCopyDoesNotWaitForRackOfData guards against a late run whose copy waits until the rack of its data has room.
func TestCopyDoesNotWaitForRackOfData(t *testing.T) {
	fixture := newRackFixture(t)
	step := copiedStep(10)
	step.DataRack = "rack-1"
	late := fixture.startWithLateRun(step)
	for _, worker := range fixture.scheduler.workers {
		if worker.rack() == "rack-1" {
			profile := worker.Profile
			profile.Capacity.CPU = worker.reserved.CPU
			fixture.scheduler.UpdateWorker(profile, fixture.now)
		}
	}
	starts := fixture.plan(copyInterval)
	assertStartCount(t, starts, 1)
	if got := fixture.scheduler.workers[starts[0].Worker].rack(); starts[0].Name != late.Name || got != "rack-0" {
		t.Errorf("got run %d of %s in %s, want a copy of %s in rack-0", starts[0].Run, starts[0].Name, got, late.Name)
	}
	if waits := fixture.scheduler.jobs["job"].rackWaits; len(waits) > 0 {
		t.Errorf("got waits %v for the rack, want none", waits)
	}
}

// TestCopyLeavesRackToWaitingTasks guards against a copy that takes the room for which quick tasks wait on the rack of
// their data, although they could run elsewhere.
func TestCopyLeavesRackToWaitingTasks(t *testing.T) {
	fixture := newRackFixture(t)
	late := fixture.startWithLateRun(copiedStep(10))
	rack := "rack-0"
	if fixture.scheduler.workers[late.Worker].rack() == rack {
		rack = "rack-1"
	}
	active := oneCoreStep(2)
	active.Need.CPU, active.Label = 20_000, rack
	fixture.scheduler.copies.consideredAt = fixture.now // No copy is placed in the next round.
	fixture.submit("active", active)
	assertStartCount(t, fixture.plan(0), 2)
	waiting := oneCoreStep(1)
	waiting.Need.CPU, waiting.DataRack, waiting.Estimate = 20_000, rack, 30*clock.Second
	fixture.submit("waiting", waiting)
	starts := fixture.plan(copyInterval)
	assertStartCount(t, starts, 1)
	if len(fixture.scheduler.jobs["waiting"].rackWaits) != 1 {
		t.Fatal("the task does not wait for the rack")
	}
	if got := fixture.scheduler.workers[starts[0].Worker].rack(); starts[0].Name != late.Name || got == rack {
		t.Errorf("got run %d of %s in %s, want a copy of %s in the other rack", starts[0].Run, starts[0].Name, got, late.Name)
	}
}

// TestOtherRunIsStopped guards against a run that goes on after the other one of its task finished, whose worker is used
// for other tasks before its end is listed, or whose job is removed before.
func TestOtherRunIsStopped(t *testing.T) {
	for name, copyFirst := range map[string]bool{"the copy finishes": true, "the first run finishes": false} {
		t.Run(name, func(t *testing.T) {
			fixture := newRackFixture(t)
			first, other := fixture.startWithCopy()
			fixture.scheduler.TakeCopyEvents()
			if copyFirst {
				first, other = other, first
			}
			fixture.end(first, workflow.Finished)
			assertStops(t, fixture.planAll(1), other)
			if got := fixture.scheduler.workers[other.Worker].reserved; got != other.Job.Spec.Steps[0].Reserved() {
				t.Errorf("got %v reserved on the worker of the other run, want its resources", got)
			}
			if state, _ := fixture.scheduler.State("job"); state != workflow.Completed || fixture.scheduler.Removable("job") {
				t.Errorf("got state %s, removable %v, want a completed job that is kept", state, fixture.scheduler.Removable("job"))
			}
			fixture.end(other, workflow.Interrupted)
			fixture.planAll(1)
			if !fixture.scheduler.Removable("job") {
				t.Error("the job is kept after the end of its last run")
			}
			want := map[bool]CopyOutcome{true: CopyFirst, false: CopySecond}[copyFirst]
			if events := fixture.scheduler.TakeCopyEvents(); len(events) != 1 || events[0].Outcome != want {
				t.Errorf("got events %+v, want outcome %s", events, want)
			}
		})
	}
}

// TestEndOfOneRun guards against a task that is placed again, or a job that fails, although the other run goes on.
func TestEndOfOneRun(t *testing.T) {
	cases := map[string]struct {
		end          func(fixture *fixture, start Order)
		wantFailures int
	}{
		"run fails":   {func(fixture *fixture, start Order) { fixture.end(start, workflow.Faulted) }, 1},
		"run is lost": {func(fixture *fixture, start Order) { fixture.scheduler.RecordLeaseLapse(start.Worker) }, 0},
		"worker ends": {func(fixture *fixture, start Order) { fixture.scheduler.EndWorker(start.Worker, nil, fixture.now) }, 0},
		"run is rejected": {func(fixture *fixture, start Order) {
			fixture.scheduler.RecordRejection(start.Worker, start.Name, start.Run, false, fixture.now)
		}, 0},
	}
	for name, test := range cases {
		for _, copyEnds := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, the copy: %v", name, copyEnds), func(t *testing.T) {
				fixture := newRackFixture(t)
				ended, other := fixture.startWithCopy()
				if copyEnds {
					ended, other = other, ended
				}
				test.end(fixture, ended)
				fixture.reportRuns([]Order{other}, func(int) int { return 90 })
				assertStartCount(t, fixture.plan(1), 0)
				task := other.Job.Task(other.Name)
				if other.Job.State != workflow.Running || task.Failures != test.wantFailures || !task.HasRun(other.Run) {
					t.Errorf("got state %s and task %+v, want a running job with run %d and %d failures", other.Job.State, task, other.Run, test.wantFailures)
				}
				fixture.end(other, workflow.Finished)
				if other.Job.State != workflow.Completed {
					t.Errorf("got state %s, want %s", other.Job.State, workflow.Completed)
				}
			})
		}
	}
}

// TestCancellationWithTwoRuns guards against a run of a cancelled job that no leader stops, or a job that is removed while
// one of its runs is active.
func TestCancellationWithTwoRuns(t *testing.T) {
	for name, newLeader := range map[string]bool{"same leader": false, "new leader before the stops": true} {
		t.Run(name, func(t *testing.T) {
			fixture := newRackFixture(t)
			late, second := fixture.startWithCopy()
			fixture.scheduler.Cancel("job")
			if newLeader {
				fixture.changeLeader(false, late.Job)
			}
			assertStops(t, fixture.planAll(1), late, second)
			fixture.end(late, workflow.Interrupted)
			fixture.planAll(1)
			if fixture.scheduler.Removable("job") {
				t.Error("the job may be removed while the copy is active")
			}
			fixture.changeLeader(true, fixture.scheduler.jobs["job"].job)
			assertStops(t, fixture.planAll(1), second)
			fixture.end(second, workflow.Finished)
			fixture.planAll(1)
			if state, _ := fixture.scheduler.State("job"); state != workflow.Cancelled || !fixture.scheduler.Removable("job") {
				t.Errorf("got state %s, removable %v, want a cancelled job that may be removed", state, fixture.scheduler.Removable("job"))
			}
		})
	}
}

// TestNewLeaderHasBothRuns guards against a run that a new leader does not know: it would be stopped, or place the task
// again. It also guards against one that goes on because the leader was replaced between the end of the first run and the
// stop of the other one.
func TestNewLeaderHasBothRuns(t *testing.T) {
	fixture := newRackFixture(t)
	late, second := fixture.startWithCopy()
	fixture.changeLeader(false, late.Job)
	for _, start := range []Order{late, second} {
		orders := fixture.scheduler.ExpectedOrders(start.Worker)
		if len(orders) != 1 || orders[0].Run != start.Run || orders[0].Stop {
			t.Errorf("got expected orders %+v, want a start of run %d", orders, start.Run)
		}
	}
	fixture.reportRuns([]Order{late, second}, func(int) int { return 20 })
	if orders := fixture.planAll(1); len(orders) != 0 {
		t.Errorf("got orders %+v, want none", orders)
	}
	second.Job = fixture.scheduler.jobs["job"].job
	fixture.end(second, workflow.Finished)
	fixture.changeLeader(true, second.Job)
	assertStops(t, fixture.planAll(1), late)
	if fixture.scheduler.Removable("job") {
		t.Error("the job may be removed while the first run is active")
	}
}

// TestMissingWorkerOfNewLeaderIsCopied guards against jobs that wait for a worker that never attaches to a new leader, and
// against copies of all runs before the agents have attached.
func TestMissingWorkerOfNewLeaderIsCopied(t *testing.T) {
	fixture := newRackFixture(t)
	fixture.submit("job", copiedStep(1))
	starts := fixture.plan(0)
	assertStartCount(t, starts, 1)
	delete(fixture.scheduler.workers, starts[0].Worker)
	fixture.changeLeader(false, starts[0].Job)
	assertStartCount(t, fixture.plan(replanInterval), 0)
	assertStartCount(t, fixture.plan(orphanGrace), 1)
	fixture.scheduler.RemoveWorker(starts[0].Worker)
	assertStartCount(t, fixture.plan(replanInterval), 0)
}

// TestFloodOfLateRuns guards against copies of all runs of a large job or of many jobs at once, which take the room of
// other tasks.
func TestFloodOfLateRuns(t *testing.T) {
	fixture := newFixture(t, 20)
	const jobs, tasks = 10, 6
	for number := range jobs {
		fixture.submit(fmt.Sprint("job-", number), copiedStep(tasks))
	}
	starts := fixture.plan(0)
	assertStartCount(t, starts, jobs*tasks)
	copies, withheld := 0, 0
	for range 20 {
		fixture.reportRuns(starts, func(int) int { return 0 })
		copies += len(fixture.plan(replanInterval))
		withheld = max(withheld, fixture.scheduler.WithheldCopies().Budget)
	}
	if withheld != jobs*tasks-copies {
		t.Errorf("got %d copies withheld for the budget, want %d", withheld, jobs*tasks-copies)
	}
	if copies == 0 || copies > tasks {
		t.Errorf("got %d copies, want some, and at most the work of one job, %d", copies, tasks)
	}
}

// TestRefusedCopyIsNotRepeatedAtOnce guards against a loop of copies that workers refuse, each of which costs a start.
func TestRefusedCopyIsNotRepeatedAtOnce(t *testing.T) {
	fixture := newRackFixture(t)
	late, second := fixture.startWithCopy()
	fixture.scheduler.RecordRejection(second.Worker, second.Name, second.Run, false, fixture.now)
	for passed := clock.Millis(0); passed < copyRetryInterval-replanInterval; passed += replanInterval {
		fixture.reportRuns([]Order{late}, func(int) int { return 20 })
		assertStartCount(t, fixture.plan(replanInterval), 0)
	}
	fixture.reportRuns([]Order{late}, func(int) int { return 20 })
	assertStartCount(t, fixture.plan(replanInterval), 1)
}

// TestCheckpointOfRunAhead guards against lost progress: the checkpoint of the run that is behind replaces that of the run
// that is ahead.
func TestCheckpointOfRunAhead(t *testing.T) {
	fixture := newRackFixture(t)
	late, second := fixture.startWithCopy()
	report := func(start Order, percent int, saved workflow.Checkpoint) {
		fixture.scheduler.RecordProgress(start.Worker, []Progress{{Name: start.Name, Run: start.Run, Percent: percent, Saved: saved}}, fixture.now)
	}
	report(late, 60, "late-60")
	report(second, 30, "copy-30")
	fixture.scheduler.RecordEnd(second.Worker, End{Name: second.Name, Run: second.Run, Cause: workflow.Interrupted, Saved: "copy-40"}, fixture.now)
	if got := late.Job.Task(late.Name).Saved; got != "late-60" {
		t.Errorf("got checkpoint %q, want that of the run that is ahead", got)
	}
}

// BenchmarkCopies measures a consideration of copies with many active runs for which there is no evidence.
func BenchmarkCopies(b *testing.B) {
	for _, runs := range []int{100, 1000} {
		b.Run(fmt.Sprint(runs), func(b *testing.B) {
			scheduler, now := New(), clock.Time(clock.Minute)
			for number := range 100 {
				incarnation := incarnationName(number)
				scheduler.UpdateWorker(Profile{Incarnation: incarnation, Service: testService, Capacity: unit.Resources{CPU: 32_000, Memory: 128_000}}, now)
				scheduler.SetReachable(incarnation, true)
			}
			for number := range runs / 10 {
				scheduler.Submit(workflow.Spec{
					ID: workflow.ID(fmt.Sprint(number)), Service: testService, Steps: []workflow.Step{copiedStep(10)}, Policy: workflow.Policy{MaxAttempts: 2},
				}, now)
			}
			scheduler.Plan(now, 0)
			b.ReportAllocs()
			for b.Loop() {
				scheduler.copies.consideredAt = 0
				scheduler.placeCopies(now)
			}
		})
	}
}
