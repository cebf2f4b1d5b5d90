package standin_test

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/standin"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// fixture is a few workers with a shared clock, object store and records. The workers' own clocks
// are clockOffset ahead of the shared one.
type fixture struct {
	clock   *clock.Fake
	objects *standin.Objects
	records *standin.Records
	workers []*standin.Worker
}

const clockOffset = 5_000

var task = ident.Task{Job: "layout", Index: 3}

func newFixture(count int) *fixture {
	fixture := &fixture{clock: clock.NewFake(1_000), records: standin.NewRecords()}
	fixture.objects = standin.NewObjects(standin.ObjectsOptions{Clock: fixture.clock})
	for index := range count {
		fixture.workers = append(fixture.workers, standin.NewWorker(standin.WorkerOptions{
			Name: ident.Worker(fmt.Sprint("w", index)), Capacity: unit.Resources{CPU: 4000, Memory: 4000},
			Clock: fixture.clock, ClockOffset: clockOffset, UsageLag: 300, Residents: []string{"checks"},
			Matrix:  standin.Matrix{"layout": {"noise": 100, "checks": 0}, "checks": {"layout": 50}},
			Objects: fixture.objects, Records: fixture.records, Seed: uint64(index),
		}))
	}
	return fixture
}

// expiry returns the time on the workers' own clocks that is millis from now.
func (fixture *fixture) expiry(millis clock.Millis) worker.Instant {
	return worker.Instant(fixture.clock.Now().Add(millis + clockOffset))
}

func spec(task ident.Task, epoch ident.Epoch, payload standin.Payload) worker.Spec {
	return worker.Spec{
		Task: task, Epoch: epoch, Kind: worker.Batch, Resources: unit.Resources{CPU: 1000, Memory: 1000}, Payload: payload.String(),
	}
}

func statusOf(t rapid.TB, runtime worker.Runtime, task ident.Task) worker.Status {
	t.Helper()
	report, err := runtime.List(context.Background())
	assertNoError(t, err)
	for _, status := range report.Tasks {
		if status.Task == task {
			return status
		}
	}
	return worker.Status{}
}

// TestLeaseEndsTasks guards against a task that outlives its lease, a renewal that shortens the
// lease, and a renewal that revives a lapsed lease.
func TestLeaseEndsTasks(t *testing.T) {
	fixture := newFixture(1)
	runtime := fixture.workers[0]
	assertEqual(t, worker.IsErrLeaseLapsed(runtime.Start(t.Context(), spec(task, 1, standin.Payload{RunMillis: 900}), fixture.expiry(0))), true)
	assertNoError(t, runtime.Start(t.Context(), spec(task, 1, standin.Payload{RunMillis: 900}), fixture.expiry(100)))
	now, err := runtime.Renew(t.Context(), fixture.expiry(200))
	assertNoError(t, err)
	assertEqual(t, now, 6_000)
	_, err = runtime.Renew(t.Context(), fixture.expiry(50))
	assertNoError(t, err)
	fixture.clock.Advance(199)
	assertEqual(t, statusOf(t, runtime, task).State, worker.Running)
	fixture.clock.Advance(500)
	_, err = runtime.Renew(t.Context(), fixture.expiry(1_000))
	assertNoError(t, err)
	status := statusOf(t, runtime, task)
	assertEqual(t, status.State, worker.Stopped)
	assertEqual(t, status.Reason, "LeaseLapsed")
	run := fixture.records.Runs()[0]
	assertEqual(t, run.End, 1_200)
	assertEqual(t, run.ToMillis, 200)
}

// TestPauseStopsProgress guards against a paused worker whose tasks progress or outlive their
// lease, and against calls that take effect during the pause.
func TestPauseStopsProgress(t *testing.T) {
	fixture := newFixture(1)
	runtime := fixture.workers[0]
	other := ident.Task{Job: "layout", Index: 4}
	assertNoError(t, runtime.Start(t.Context(), spec(task, 1, standin.Payload{RunMillis: 500}), fixture.expiry(300)))
	assertNoError(t, runtime.Start(t.Context(), spec(other, 1, standin.Payload{RunMillis: 500}), fixture.expiry(3_000)))
	fixture.clock.Advance(100)
	assertNoError(t, runtime.SetFaults(standin.WorkerFaults{Paused: true}))
	stopped := make(chan error)
	go func() { stopped <- runtime.Stop(t.Context(), other, 1) }()
	fixture.clock.Advance(1_000)
	select {
	case err := <-stopped:
		t.Fatalf("a call took effect during the pause, error %v", err)
	default:
	}
	assertEqual(t, fixture.records.Runs()[0].End, 1_300)
	assertEqual(t, fixture.records.Runs()[0].ToMillis, 100)
	assertNoError(t, runtime.SetFaults(standin.WorkerFaults{}))
	assertNoError(t, <-stopped)
	assertEqual(t, fixture.records.Runs()[1].ToMillis, 100)
}

// TestResumeKeepsProgress guards against work that a resume loses or repeats, including when the
// object store is unavailable while the checkpoint is taken.
func TestResumeKeepsProgress(t *testing.T) {
	fixture := newFixture(2)
	payload := standin.Payload{RunMillis: 1_000}
	assertNoError(t, fixture.workers[0].Start(t.Context(), spec(task, 1, payload), fixture.expiry(2_000)))
	fixture.clock.Advance(400)
	assertNoError(t, fixture.objects.SetFaults(standin.StoreFaults{Outage: true}))
	_, err := fixture.workers[0].Checkpoint(t.Context(), task, 1)
	assertEqual(t, worker.IsErrUnavailable(err), true)
	assertEqual(t, statusOf(t, fixture.workers[0], task).Checkpoint, worker.Checkpoint{})
	assertNoError(t, fixture.objects.SetFaults(standin.StoreFaults{}))
	fixture.workers[0].Tick(t.Context())
	checkpoint := worker.Checkpoint{Epoch: 1, Name: "Checkpoint/layout/3/1"}
	assertEqual(t, statusOf(t, fixture.workers[0], task).Checkpoint, checkpoint)
	fixture.clock.Advance(100)
	assertNoError(t, fixture.workers[0].Stop(t.Context(), task, 1))

	resumed := spec(task, 2, payload)
	resumed.Checkpoint = checkpoint
	assertNoError(t, fixture.workers[1].Start(t.Context(), resumed, fixture.expiry(2_000)))
	fixture.clock.Advance(599)
	assertEqual(t, statusOf(t, fixture.workers[1], task).State, worker.Running)
	fixture.clock.Advance(1)
	assertEqual(t, statusOf(t, fixture.workers[1], task).State, worker.Finished)
	assertEqual(t, fixture.records.Violations(), standin.Violations{})
	assertEqual(t, fixture.records.Counts(), standin.RunCounts{Started: 2, Finished: 1, Stopped: 1, RepeatedMillis: 100})
	other := resumed
	other.Task.Index, other.Epoch = 9, 1
	assertEqual(t, worker.IsErrStartFailed(fixture.workers[1].Start(t.Context(), other, fixture.expiry(2_000))), true)
}

// TestEpochStartsOnce guards against an epoch that runs twice because calls are repeated, delayed
// or out of order.
func TestEpochStartsOnce(t *testing.T) {
	fixture := newFixture(1)
	runtime := fixture.workers[0]
	start := func(epoch ident.Epoch) error {
		return runtime.Start(t.Context(), spec(task, epoch, standin.Payload{RunMillis: 1_000}), fixture.expiry(9_000))
	}
	assertNoError(t, runtime.SetFaults(standin.WorkerFaults{LoseNext: 1, StartFailNext: 1}))
	assertEqual(t, worker.IsErrStartFailed(start(2)), true)
	assertEqual(t, worker.IsErrUnavailable(start(2)), true)
	assertNoError(t, start(2))
	assertEqual(t, worker.IsErrStaleEpoch(start(1)), true)
	assertEqual(t, worker.IsErrStaleEpoch(runtime.Stop(t.Context(), task, 1)), true)
	assertNoError(t, start(3))
	assertNoError(t, runtime.Forget(t.Context(), task, 3))
	assertEqual(t, statusOf(t, runtime, task).State, worker.Running)
	assertNoError(t, runtime.Stop(t.Context(), task, 3))
	assertNoError(t, start(3))
	assertEqual(t, statusOf(t, runtime, task).State, worker.Stopped)
	assertNoError(t, runtime.Forget(t.Context(), task, 3))
	assertEqual(t, worker.IsErrStaleEpoch(start(3)), true)
	assertEqual(t, worker.IsErrNoSuchTask(runtime.Stop(t.Context(), task, 4)), true)
	assertEqual(t, worker.IsErrStaleEpoch(start(4)), true)
	assertNoError(t, start(5))
	assertEqual(t, fixture.records.Violations(), standin.Violations{})
}

// TestSlowdownAndUsage guards against progress and reported usage that do not follow from throttle,
// interference and lag.
func TestSlowdownAndUsage(t *testing.T) {
	fixture := newFixture(1)
	runtime := fixture.workers[0]
	noise := ident.Task{Job: "noise"}
	usage := func() map[ident.Task]int {
		report, err := runtime.List(t.Context())
		assertNoError(t, err)
		slowdowns := make(map[ident.Task]int)
		for _, usage := range report.Usage {
			slowdowns[usage.Task] = usage.Slowdown
			assertEqual(t, usage.Lag, 300)
		}
		return slowdowns
	}
	assertNoError(t, runtime.Start(t.Context(), spec(task, 1, standin.Payload{RunMillis: 1_000, Class: "layout"}), fixture.expiry(99_000)))
	fixture.clock.Advance(200) // progress 200
	assertEqual(t, usage(), map[ident.Task]int{})
	assertEqual(t, runtime.EndpointSlowdown("checks"), 150)
	assertNoError(t, runtime.Start(t.Context(), spec(noise, 1, standin.Payload{RunMillis: 9_000, Class: "noise"}), fixture.expiry(99_000)))
	fixture.clock.Advance(400) // progress 400 at half speed
	assertEqual(t, usage(), map[ident.Task]int{task: 200, noise: 100})
	assertNoError(t, runtime.Throttle(t.Context(), noise, 1, 50))
	fixture.clock.Advance(150) // progress 500 at two thirds
	assertEqual(t, usage(), map[ident.Task]int{task: 200, noise: 100})
	assertNoError(t, runtime.Stop(t.Context(), noise, 1))
	fixture.clock.Advance(499)
	assertEqual(t, statusOf(t, runtime, task).State, worker.Running)
	fixture.clock.Advance(2) // rates are rounded down to 1/10,000
	assertEqual(t, statusOf(t, runtime, task).State, worker.Finished)
	assertNoError(t, runtime.Start(t.Context(), spec(task, 2, standin.Payload{RunMillis: 1_000, ActualCPU: 8_000}), fixture.expiry(99_000)))
	assertEqual(t, runtime.EndpointSlowdown("other"), 200)
}

// TestWaveChangesLoad guards against a task whose wave changes neither its usage nor the progress
// of tasks beside it.
func TestWaveChangesLoad(t *testing.T) {
	fixture := newFixture(1)
	runtime := fixture.workers[0]
	noise := ident.Task{Job: "noise"}
	assertNoError(t, runtime.Start(t.Context(), spec(noise, 1, standin.Payload{RunMillis: 9_000, ActualCPU: 1_000, Class: "noise", WaveMillis: 400}), fixture.expiry(99_000)))
	assertNoError(t, runtime.Start(t.Context(), spec(task, 1, standin.Payload{RunMillis: 520, Class: "layout"}), fixture.expiry(99_000)))
	fixture.clock.Advance(700) // progress 200 at half speed, then 240 at four fifths
	report, err := runtime.List(t.Context())
	assertNoError(t, err)
	assertEqual(t, []int{report.Usage[0].Slowdown, int(report.Usage[1].Resources.CPU)}, []int{125, 250})
	fixture.clock.Advance(99)
	assertEqual(t, statusOf(t, runtime, task).State, worker.Running)
	fixture.clock.Advance(1)
	assertEqual(t, statusOf(t, runtime, task).State, worker.Finished)
	assertEqual(t, standin.IsErrBadPayload(onlyError(standin.ParsePayload(`{"WaveMillis":99}`))), true)
}

func onlyError[Value any](_ Value, err error) error {
	return err
}

// TestFailedTasks guards against tasks that are not reported as failed although they can't start,
// fail by themselves, or run on a faulty worker.
func TestFailedTasks(t *testing.T) {
	fixture := newFixture(1)
	runtime := fixture.workers[0]
	bad := spec(task, 1, standin.Payload{})
	bad.Payload = "{"
	assertEqual(t, worker.IsErrStartFailed(runtime.Start(t.Context(), bad, fixture.expiry(100))), true)
	failing := spec(task, 2, standin.Payload{RunMillis: 1_000, FailAfterMillis: 40})
	failing.Kind = worker.Standing
	assertNoError(t, runtime.Start(t.Context(), failing, fixture.expiry(100)))
	fixture.clock.Advance(50)
	assertEqual(t, statusOf(t, runtime, task).State, worker.Failed)
	assertEqual(t, fixture.records.Runs()[0].End, 1_040)
	assertNoError(t, runtime.SetFaults(standin.WorkerFaults{FailEverything: true}))
	assertNoError(t, runtime.Start(t.Context(), spec(task, 3, standin.Payload{RunMillis: 1_000}), fixture.expiry(100)))
	assertEqual(t, statusOf(t, runtime, task).Reason, "WorkerFailure")
	assertNoError(t, runtime.SetFaults(standin.WorkerFaults{Unavailable: true}))
	_, err := runtime.List(t.Context())
	assertEqual(t, worker.IsErrUnavailable(err), true)
}

// TestViolationsAreDetected guards against violations that are not counted, and against similar,
// allowed cases that are.
func TestViolationsAreDetected(t *testing.T) {
	payload := standin.Payload{RunMillis: 1_000}
	start := func(t *testing.T, fixture *fixture, index int, spec worker.Spec) {
		t.Helper()
		assertNoError(t, fixture.workers[index].Start(t.Context(), spec, fixture.expiry(500)))
	}
	check := func(name string, want standin.Violations, act func(t *testing.T, fixture *fixture)) {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(2)
			act(t, fixture)
			violations := fixture.records.Violations()
			assertEqual(t, len(violations.Details) > 0, want.HasViolations())
			violations.Details = nil
			assertEqual(t, violations, want)
		})
	}
	check("TwoPlaces", standin.Violations{TwoPlaces: 1}, func(t *testing.T, fixture *fixture) {
		t.Helper()
		start(t, fixture, 0, spec(task, 1, payload))
		fixture.clock.Advance(499)
		start(t, fixture, 1, spec(task, 2, payload))
	})
	check("AfterLease", standin.Violations{}, func(t *testing.T, fixture *fixture) {
		t.Helper()
		start(t, fixture, 0, spec(task, 1, payload))
		fixture.clock.Advance(500)
		start(t, fixture, 1, spec(task, 2, payload))
	})
	check("EpochReused", standin.Violations{EpochReused: 1}, func(t *testing.T, fixture *fixture) {
		t.Helper()
		start(t, fixture, 0, spec(task, 1, payload))
		fixture.clock.Advance(500)
		start(t, fixture, 1, spec(task, 1, payload))
	})
	check("AfterFinish", standin.Violations{AfterFinish: 1}, func(t *testing.T, fixture *fixture) {
		t.Helper()
		start(t, fixture, 0, spec(task, 1, standin.Payload{RunMillis: 20}))
		fixture.clock.Advance(30)
		start(t, fixture, 1, spec(task, 2, standin.Payload{RunMillis: 20}))
	})
	check("BehindCheckpoint", standin.Violations{BehindCheckpoint: 1, LostMillis: 300}, func(t *testing.T, fixture *fixture) {
		t.Helper()
		start(t, fixture, 0, spec(task, 1, payload))
		fixture.clock.Advance(300)
		_, err := fixture.workers[0].Checkpoint(t.Context(), task, 1)
		assertNoError(t, err)
		fixture.workers[0].Restart()
		start(t, fixture, 1, spec(task, 2, payload))
	})
	check("OverCapacity", standin.Violations{OverCapacity: 1}, func(t *testing.T, fixture *fixture) {
		t.Helper()
		for index := range 5 {
			start(t, fixture, 0, spec(ident.Task{Job: "layout", Index: index}, 1, payload))
		}
	})
}

// TestRandomCallsKeepInvariants guards against orders of calls and faults that let a task outlive
// its lease or run in two epochs at once, lose saved work on a resume, or let progress exceed the
// elapsed time.
func TestRandomCallsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fixture := newFixture(1)
		runtime := fixture.workers[0]
		var expiry worker.Instant
		for range rapid.IntRange(1, 60).Draw(rt, "calls") {
			name := ident.Task{Job: "j", Index: rapid.IntRange(0, 2).Draw(rt, "task")}
			epoch := ident.Epoch(rapid.IntRange(1, 6).Draw(rt, "epoch"))
			switch rapid.IntRange(0, 6).Draw(rt, "call") {
			case 0, 1:
				requested := fixture.expiry(clock.Millis(rapid.IntRange(-10, 300).Draw(rt, "lease")))
				status := statusOf(rt, runtime, name)
				next := spec(name, epoch, standin.Payload{RunMillis: clock.Millis(rapid.IntRange(0, 400).Draw(rt, "run"))})
				next.Checkpoint = status.Checkpoint
				if runtime.Start(rt.Context(), next, requested) == nil {
					expiry = max(expiry, requested)
				}
			case 2:
				requested := fixture.expiry(clock.Millis(rapid.IntRange(-10, 300).Draw(rt, "lease")))
				if _, err := runtime.Renew(rt.Context(), requested); err == nil {
					expiry = max(expiry, requested)
				}
			case 3:
				_, _ = runtime.Checkpoint(rt.Context(), name, epoch)
			case 4:
				_ = runtime.Stop(rt.Context(), name, epoch)
			case 5:
				_ = runtime.Throttle(rt.Context(), name, epoch, rapid.IntRange(0, 120).Draw(rt, "throttle"))
			case 6:
				fixture.clock.Advance(clock.Millis(rapid.IntRange(1, 150).Draw(rt, "advance")))
			}
			for _, run := range fixture.records.Runs() {
				until := run.End
				if run.State == worker.Running {
					until = fixture.clock.Now()
				}
				if elapsed := until.Sub(run.Start); run.ToMillis-run.FromMillis > elapsed {
					rt.Fatalf("run %+v made more progress than %s", run, elapsed)
				}
				if worker.Instant(until.Add(clockOffset)) > expiry {
					rt.Fatalf("run %+v went beyond every lease, the last until %d", run, expiry)
				}
			}
		}
		violations := fixture.records.Violations()
		violations.AfterFinish, violations.Details = 0, nil // the calls restart finished tasks on purpose
		assertEqual(rt, violations, standin.Violations{})
	})
}
