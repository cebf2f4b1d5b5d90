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

// hall is a few workers with a common clock, object store and records. A worker's clock shows
// offset more than the common one.
type hall struct {
	clock   *clock.Fake
	objects *standin.Objects
	records *standin.Records
	workers []*standin.Worker
}

const offset = 5_000

var task = ident.Task{Job: "layout", Index: 3}

func newHall(count int) *hall {
	hall := &hall{clock: clock.NewFake(1_000), records: standin.NewRecords()}
	hall.objects = standin.NewObjects(standin.ObjectsOptions{Clock: hall.clock})
	for index := range count {
		hall.workers = append(hall.workers, standin.NewWorker(standin.WorkerOptions{
			Name: ident.Worker(fmt.Sprint("w", index)), Capacity: unit.Resources{CPU: 4000, Memory: 4000},
			Clock: hall.clock, ClockOffset: offset, UsageLag: 300, Residents: []string{"checks"},
			Matrix:  standin.Matrix{"layout": {"noise": 100, "checks": 0}, "checks": {"layout": 50}},
			Objects: hall.objects, Records: hall.records, Seed: uint64(index),
		}))
	}
	return hall
}

// expiry returns the instant on the workers' clocks that is millis from now.
func (hall *hall) expiry(millis clock.Millis) worker.Instant {
	return worker.Instant(hall.clock.Now().Add(millis + offset))
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

// Guards against a task that runs on after its lease, a renewal that shortens a lease, and one that
// revives a lapsed lease.
func TestLease(t *testing.T) {
	hall := newHall(1)
	runtime := hall.workers[0]
	assertEqual(t, worker.IsErrLeaseLapsed(runtime.Start(t.Context(), spec(task, 1, standin.Payload{RunMillis: 900}), hall.expiry(0))), true)
	assertNoError(t, runtime.Start(t.Context(), spec(task, 1, standin.Payload{RunMillis: 900}), hall.expiry(100)))
	now, err := runtime.Renew(t.Context(), hall.expiry(200))
	assertNoError(t, err)
	assertEqual(t, now, 6_000)
	_, err = runtime.Renew(t.Context(), hall.expiry(50))
	assertNoError(t, err)
	hall.clock.Advance(199)
	assertEqual(t, statusOf(t, runtime, task).State, worker.Running)
	hall.clock.Advance(500)
	_, err = runtime.Renew(t.Context(), hall.expiry(1_000))
	assertNoError(t, err)
	status := statusOf(t, runtime, task)
	assertEqual(t, status.State, worker.Stopped)
	assertEqual(t, status.Reason, "LeaseLapsed")
	run := hall.records.Runs()[0]
	assertEqual(t, run.End, 1_200)
	assertEqual(t, run.ToMillis, 200)
}

// Guards against a paused worker whose tasks progress or outlive their lease, and against calls
// that take effect while it is paused.
func TestPause(t *testing.T) {
	hall := newHall(1)
	runtime := hall.workers[0]
	other := ident.Task{Job: "layout", Index: 4}
	assertNoError(t, runtime.Start(t.Context(), spec(task, 1, standin.Payload{RunMillis: 500}), hall.expiry(300)))
	assertNoError(t, runtime.Start(t.Context(), spec(other, 1, standin.Payload{RunMillis: 500}), hall.expiry(3_000)))
	hall.clock.Advance(100)
	assertNoError(t, runtime.SetFaults(standin.WorkerFaults{Paused: true}))
	stopped := make(chan error)
	go func() { stopped <- runtime.Stop(t.Context(), other, 1) }()
	hall.clock.Advance(1_000)
	select {
	case err := <-stopped:
		t.Fatalf("a call took effect during the pause, error %v", err)
	default:
	}
	assertEqual(t, hall.records.Runs()[0].End, 1_300)
	assertEqual(t, hall.records.Runs()[0].ToMillis, 100)
	assertNoError(t, runtime.SetFaults(standin.WorkerFaults{}))
	assertNoError(t, <-stopped)
	assertEqual(t, hall.records.Runs()[1].ToMillis, 100)
}

// Guards against work that is lost or repeated by a resume, also when the object store is away while
// the checkpoint is taken.
func TestResume(t *testing.T) {
	hall := newHall(2)
	payload := standin.Payload{RunMillis: 1_000}
	assertNoError(t, hall.workers[0].Start(t.Context(), spec(task, 1, payload), hall.expiry(2_000)))
	hall.clock.Advance(400)
	assertNoError(t, hall.objects.SetFaults(standin.StoreFaults{Outage: true}))
	_, err := hall.workers[0].Checkpoint(t.Context(), task, 1)
	assertEqual(t, worker.IsErrUnavailable(err), true)
	assertEqual(t, statusOf(t, hall.workers[0], task).Checkpoint, worker.Checkpoint{})
	assertNoError(t, hall.objects.SetFaults(standin.StoreFaults{}))
	hall.workers[0].Tick(t.Context())
	checkpoint := worker.Checkpoint{Epoch: 1, Name: "Checkpoint/layout/3/1"}
	assertEqual(t, statusOf(t, hall.workers[0], task).Checkpoint, checkpoint)
	hall.clock.Advance(100)
	assertNoError(t, hall.workers[0].Stop(t.Context(), task, 1))

	resumed := spec(task, 2, payload)
	resumed.Checkpoint = checkpoint
	assertNoError(t, hall.workers[1].Start(t.Context(), resumed, hall.expiry(2_000)))
	hall.clock.Advance(599)
	assertEqual(t, statusOf(t, hall.workers[1], task).State, worker.Running)
	hall.clock.Advance(1)
	assertEqual(t, statusOf(t, hall.workers[1], task).State, worker.Finished)
	assertEqual(t, hall.records.Violations(), standin.Violations{})
	assertEqual(t, hall.records.Counts(), standin.RunCounts{Started: 2, Finished: 1, Stopped: 1, RepeatedMillis: 100})
	other := resumed
	other.Task.Index, other.Epoch = 9, 1
	assertEqual(t, worker.IsErrStartFailed(hall.workers[1].Start(t.Context(), other, hall.expiry(2_000))), true)
}

// Guards against an epoch that runs twice because a call was repeated, delayed or out of order.
func TestEpochs(t *testing.T) {
	hall := newHall(1)
	runtime := hall.workers[0]
	start := func(epoch ident.Epoch) error {
		return runtime.Start(t.Context(), spec(task, epoch, standin.Payload{RunMillis: 1_000}), hall.expiry(9_000))
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
	assertEqual(t, hall.records.Violations(), standin.Violations{})
}

// Guards against progress and usage that do not follow throttle, interference and lag.
func TestSlowdown(t *testing.T) {
	hall := newHall(1)
	runtime := hall.workers[0]
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
	assertNoError(t, runtime.Start(t.Context(), spec(task, 1, standin.Payload{RunMillis: 1_000, Class: "layout"}), hall.expiry(99_000)))
	hall.clock.Advance(200) // progress 200
	assertEqual(t, usage(), map[ident.Task]int{})
	assertEqual(t, runtime.EndpointSlowdown("checks"), 150)
	assertNoError(t, runtime.Start(t.Context(), spec(noise, 1, standin.Payload{RunMillis: 9_000, Class: "noise"}), hall.expiry(99_000)))
	hall.clock.Advance(400) // progress 400 at half speed
	assertEqual(t, usage(), map[ident.Task]int{task: 200, noise: 100})
	assertNoError(t, runtime.Throttle(t.Context(), noise, 1, 50))
	hall.clock.Advance(150) // progress 500 at two thirds
	assertEqual(t, usage(), map[ident.Task]int{task: 200, noise: 100})
	assertNoError(t, runtime.Stop(t.Context(), noise, 1))
	hall.clock.Advance(499)
	assertEqual(t, statusOf(t, runtime, task).State, worker.Running)
	hall.clock.Advance(2) // rates are rounded down to 1/10,000
	assertEqual(t, statusOf(t, runtime, task).State, worker.Finished)
	assertNoError(t, runtime.Start(t.Context(), spec(task, 2, standin.Payload{RunMillis: 1_000, ActualCPU: 8_000}), hall.expiry(99_000)))
	assertEqual(t, runtime.EndpointSlowdown("other"), 200)
}

// Guards against a wave of a noisy task that changes neither its usage nor the progress beside it.
func TestWave(t *testing.T) {
	hall := newHall(1)
	runtime := hall.workers[0]
	noise := ident.Task{Job: "noise"}
	assertNoError(t, runtime.Start(t.Context(), spec(noise, 1, standin.Payload{RunMillis: 9_000, ActualCPU: 1_000, Class: "noise", WaveMillis: 400}), hall.expiry(99_000)))
	assertNoError(t, runtime.Start(t.Context(), spec(task, 1, standin.Payload{RunMillis: 520, Class: "layout"}), hall.expiry(99_000)))
	hall.clock.Advance(700) // progress 200 at half speed, then 240 at four fifths
	report, err := runtime.List(t.Context())
	assertNoError(t, err)
	assertEqual(t, []int{report.Usage[0].Slowdown, int(report.Usage[1].Resources.CPU)}, []int{125, 250})
	hall.clock.Advance(99)
	assertEqual(t, statusOf(t, runtime, task).State, worker.Running)
	hall.clock.Advance(1)
	assertEqual(t, statusOf(t, runtime, task).State, worker.Finished)
	assertEqual(t, standin.IsErrBadPayload(onlyError(standin.ParsePayload(`{"WaveMillis":99}`))), true)
}

func onlyError[Value any](_ Value, err error) error {
	return err
}

// Guards against tasks that can never run, fail by themselves or meet a broken worker being reported
// as anything but failed.
func TestFailures(t *testing.T) {
	hall := newHall(1)
	runtime := hall.workers[0]
	bad := spec(task, 1, standin.Payload{})
	bad.Payload = "{"
	assertEqual(t, worker.IsErrStartFailed(runtime.Start(t.Context(), bad, hall.expiry(100))), true)
	failing := spec(task, 2, standin.Payload{RunMillis: 1_000, FailAfterMillis: 40})
	failing.Kind = worker.Standing
	assertNoError(t, runtime.Start(t.Context(), failing, hall.expiry(100)))
	hall.clock.Advance(50)
	assertEqual(t, statusOf(t, runtime, task).State, worker.Failed)
	assertEqual(t, hall.records.Runs()[0].End, 1_040)
	assertNoError(t, runtime.SetFaults(standin.WorkerFaults{FailEverything: true}))
	assertNoError(t, runtime.Start(t.Context(), spec(task, 3, standin.Payload{RunMillis: 1_000}), hall.expiry(100)))
	assertEqual(t, statusOf(t, runtime, task).Reason, "WorkerFailure")
	assertNoError(t, runtime.SetFaults(standin.WorkerFaults{Unavailable: true}))
	_, err := runtime.List(t.Context())
	assertEqual(t, worker.IsErrUnavailable(err), true)
}

// Guards against a detector of violations that does not fire, or fires on a neighbouring case that is
// allowed.
func TestDetectors(t *testing.T) {
	payload := standin.Payload{RunMillis: 1_000}
	start := func(t *testing.T, hall *hall, place int, spec worker.Spec) {
		t.Helper()
		assertNoError(t, hall.workers[place].Start(t.Context(), spec, hall.expiry(500)))
	}
	check := func(name string, want standin.Violations, act func(t *testing.T, hall *hall)) {
		t.Run(name, func(t *testing.T) {
			hall := newHall(2)
			act(t, hall)
			have := hall.records.Violations()
			assertEqual(t, len(have.Details) > 0, want.Any())
			have.Details = nil
			assertEqual(t, have, want)
		})
	}
	check("TwoPlaces", standin.Violations{TwoPlaces: 1}, func(t *testing.T, hall *hall) {
		t.Helper()
		start(t, hall, 0, spec(task, 1, payload))
		hall.clock.Advance(499)
		start(t, hall, 1, spec(task, 2, payload))
	})
	check("AfterLease", standin.Violations{}, func(t *testing.T, hall *hall) {
		t.Helper()
		start(t, hall, 0, spec(task, 1, payload))
		hall.clock.Advance(500)
		start(t, hall, 1, spec(task, 2, payload))
	})
	check("EpochReused", standin.Violations{EpochReused: 1}, func(t *testing.T, hall *hall) {
		t.Helper()
		start(t, hall, 0, spec(task, 1, payload))
		hall.clock.Advance(500)
		start(t, hall, 1, spec(task, 1, payload))
	})
	check("AfterFinish", standin.Violations{AfterFinish: 1}, func(t *testing.T, hall *hall) {
		t.Helper()
		start(t, hall, 0, spec(task, 1, standin.Payload{RunMillis: 20}))
		hall.clock.Advance(30)
		start(t, hall, 1, spec(task, 2, standin.Payload{RunMillis: 20}))
	})
	check("BehindCheckpoint", standin.Violations{BehindCheckpoint: 1, LostMillis: 300}, func(t *testing.T, hall *hall) {
		t.Helper()
		start(t, hall, 0, spec(task, 1, payload))
		hall.clock.Advance(300)
		_, err := hall.workers[0].Checkpoint(t.Context(), task, 1)
		assertNoError(t, err)
		hall.workers[0].Restart()
		start(t, hall, 1, spec(task, 2, payload))
	})
	check("OverCapacity", standin.Violations{OverCapacity: 1}, func(t *testing.T, hall *hall) {
		t.Helper()
		for index := range 5 {
			start(t, hall, 0, spec(ident.Task{Job: "layout", Index: index}, 1, payload))
		}
	})
}

// Guards against any order of calls and faults that lets a task run beyond its lease or in two
// epochs, makes a resume lose saved work, or gives progress faster than time.
func TestRandomCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hall := newHall(1)
		runtime := hall.workers[0]
		var expiry worker.Instant
		for range rapid.IntRange(1, 60).Draw(rt, "calls") {
			target := ident.Task{Job: "j", Index: rapid.IntRange(0, 2).Draw(rt, "task")}
			epoch := ident.Epoch(rapid.IntRange(1, 6).Draw(rt, "epoch"))
			switch rapid.IntRange(0, 6).Draw(rt, "call") {
			case 0, 1:
				asked := hall.expiry(clock.Millis(rapid.IntRange(-10, 300).Draw(rt, "lease")))
				status := statusOf(rt, runtime, target)
				next := spec(target, epoch, standin.Payload{RunMillis: clock.Millis(rapid.IntRange(0, 400).Draw(rt, "run"))})
				next.Checkpoint = status.Checkpoint
				if runtime.Start(rt.Context(), next, asked) == nil {
					expiry = max(expiry, asked)
				}
			case 2:
				asked := hall.expiry(clock.Millis(rapid.IntRange(-10, 300).Draw(rt, "lease")))
				if _, err := runtime.Renew(rt.Context(), asked); err == nil {
					expiry = max(expiry, asked)
				}
			case 3:
				_, _ = runtime.Checkpoint(rt.Context(), target, epoch)
			case 4:
				_ = runtime.Stop(rt.Context(), target, epoch)
			case 5:
				_ = runtime.Throttle(rt.Context(), target, epoch, rapid.IntRange(0, 120).Draw(rt, "throttle"))
			case 6:
				hall.clock.Advance(clock.Millis(rapid.IntRange(1, 150).Draw(rt, "advance")))
			}
			for _, run := range hall.records.Runs() {
				until := run.End
				if run.State == worker.Running {
					until = hall.clock.Now()
				}
				if elapsed := until.Sub(run.Start); run.ToMillis-run.FromMillis > elapsed {
					rt.Fatalf("run %+v made more progress than %s", run, elapsed)
				}
				if worker.Instant(until.Add(offset)) > expiry {
					rt.Fatalf("run %+v went beyond every lease, the last until %d", run, expiry)
				}
			}
		}
		violations := hall.records.Violations()
		violations.AfterFinish, violations.Details = 0, nil // the calls do restart finished tasks
		assertEqual(rt, violations, standin.Violations{})
	})
}
