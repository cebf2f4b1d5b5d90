package quarantine_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/quarantine"
	"hyssopjunction/set"
)

func TestMain(main *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(main.Run())
}

// rig drives a Tracker with a fake clock.
type rig struct {
	tracker *quarantine.Tracker
	fake    *clock.Fake
	fleet   []ident.Worker
	next    int
}

func newRig(size int) *rig {
	rig := &rig{tracker: quarantine.New(quarantine.Defaults()), fake: clock.NewFake(clock.Time(clock.Minute))}
	for index := range size {
		rig.fleet = append(rig.fleet, ident.Worker(fmt.Sprintf("worker-%03d", index)))
	}
	rig.tracker.SetFleet(rig.fleet)
	return rig
}

func (rig *rig) run(job ident.Job, worker ident.Worker, ok bool) {
	rig.next++
	task := ident.Task{Job: job, Index: rig.next}
	rig.tracker.Started(task, worker, rig.fake.Now())
	if ok {
		rig.tracker.Succeeded(task, worker, rig.fake.Now())
	} else {
		rig.tracker.Failed(task, worker, "exit status 1", rig.fake.Now())
	}
	rig.fake.Advance(100 * clock.Millisecond)
}

func (rig *rig) job(index int) ident.Job { return ident.Job(fmt.Sprintf("job-%d", index)) }

// TestCapHolds guards against more workers out of service than the cap allows, whatever fails,
// succeeds, joins or leaves, and against a quarantine without an end.
func TestCapHolds(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		rig := newRig(rapid.IntRange(1, 30).Draw(check, "fleet"))
		check.Repeat(map[string]func(*rapid.T){
			"run": func(check *rapid.T) {
				worker := rapid.SampledFrom(rig.fleet).Draw(check, "worker")
				// A low index fails more often, so that some workers and jobs become suspect.
				job := rapid.IntRange(0, 20).Draw(check, "job")
				if rig.tracker.Usable(worker, rig.fake.Now()) {
					rig.run(rig.job(job), worker, rapid.IntRange(0, 20).Draw(check, "luck") < job)
				}
			},
			"wave": func(check *rapid.T) {
				for index, worker := range rig.fleet {
					rig.run(rig.job(100+index), worker, false)
				}
			},
			"advance": func(check *rapid.T) {
				rig.fake.Advance(clock.Millis(rapid.IntRange(1, int(20*clock.Minute)).Draw(check, "millis")))
			},
			"shrink": func(check *rapid.T) {
				if len(rig.fleet) > 1 {
					rig.fleet = rig.fleet[:len(rig.fleet)-1]
					rig.tracker.SetFleet(rig.fleet)
				}
			},
			"": func(check *rapid.T) {
				if err := rig.tracker.Check(); err != nil {
					check.Fatal(err)
				}
			},
		})
		rig.fake.Advance(quarantine.Defaults().MaxQuarantineMillis + quarantine.Defaults().WindowMillis)
		for _, worker := range rig.fleet {
			if !rig.tracker.Usable(worker, rig.fake.Now()) {
				check.Fatalf("%s gets no trial task after the longest quarantine", worker)
			}
		}
	})
}

// TestBadWorker guards against a worker that fails every task staying in service, against parking
// the jobs that failed there, and against a return without probation.
func TestBadWorker(t *testing.T) {
	rig := newRig(10)
	for index := range 6 {
		for _, worker := range rig.fleet {
			rig.run(rig.job(index), worker, worker != rig.fleet[3])
		}
	}
	if out := rig.tracker.Quarantined(); len(out) != 1 || out[0] != rig.fleet[3] {
		t.Fatalf("quarantined %v, want only %s", out, rig.fleet[3])
	}
	for index := range 6 {
		if reason, blocked := rig.tracker.Blocked(rig.job(index), rig.fake.Now()); blocked {
			t.Fatalf("job parked for a worker's fault: %s", reason)
		}
	}
	if rig.tracker.Usable(rig.fleet[3], rig.fake.Now()) {
		t.Fatal("worker in quarantine is usable")
	}
	if reason, out := rig.tracker.Explain(rig.fleet[3], rig.fake.Now()); !out || !strings.Contains(reason, "distinct jobs") {
		t.Fatalf("quarantine is explained by %q, %v", reason, out)
	}
	rig.fake.Advance(quarantine.Defaults().QuarantineMillis)
	for trial := range quarantine.Defaults().ProbationTasks {
		if !rig.tracker.Usable(rig.fleet[3], rig.fake.Now()) {
			t.Fatalf("trial %d is refused", trial)
		}
		rig.tracker.Started(ident.Task{Job: "trial", Index: trial}, rig.fleet[3], rig.fake.Now())
	}
	if rig.tracker.Usable(rig.fleet[3], rig.fake.Now()) {
		t.Fatal("probation admits more than its trial tasks")
	}
	for trial := range quarantine.Defaults().ProbationTasks {
		rig.tracker.Succeeded(ident.Task{Job: "trial", Index: trial}, rig.fleet[3], rig.fake.Now())
	}
	if out := rig.tracker.Quarantined(); len(out) != 0 {
		t.Fatalf("%v still out after a passed probation", out)
	}
}

// TestFailedProbationDoubles guards against a bad worker being tried at a constant rate for ever.
func TestFailedProbationDoubles(t *testing.T) {
	rig := newRig(10)
	for index := range 4 {
		rig.run(rig.job(index), rig.fleet[0], false)
	}
	rig.fake.Advance(quarantine.Defaults().QuarantineMillis)
	rig.run("trial-a", rig.fleet[0], false)
	rig.run("trial-b", rig.fleet[0], false)
	rig.fake.Advance(quarantine.Defaults().QuarantineMillis)
	if rig.tracker.Usable(rig.fleet[0], rig.fake.Now()) {
		t.Fatal("the second quarantine is no longer than the first")
	}
}

// TestBadJob guards against a job that can never run being started over and over, and against
// quarantining the workers on which it failed.
func TestBadJob(t *testing.T) {
	rig := newRig(10)
	attempts := 0
	for rig.fake.Now().Before(clock.Time(clock.Hour)) {
		worker := rig.fleet[attempts%len(rig.fleet)]
		if _, blocked := rig.tracker.Blocked("never", rig.fake.Now()); !blocked {
			attempts++
			rig.run("never", worker, false)
		}
		rig.run("fine", worker, true)
		rig.fake.Advance(clock.Second)
	}
	// Terms of 30, 60, 120, ... seconds fit seven times into an hour, after three first attempts.
	if attempts > 10 {
		t.Fatalf("%d attempts of a job that always fails within an hour", attempts)
	}
	reason, blocked := rig.tracker.Blocked("never", rig.fake.Now())
	if !blocked || !strings.Contains(reason, "exit status 1") {
		t.Fatalf("blocked %v, reason %q", blocked, reason)
	}
	if out := rig.tracker.Quarantined(); len(out) != 0 {
		t.Fatalf("%v quarantined for a job's fault", out)
	}
}

// TestPlatformWave guards against a platform fault emptying the fleet or parking healthy jobs for
// long: once the fault is over, every job may start within the first backoff.
func TestPlatformWave(t *testing.T) {
	rig := newRig(100)
	for round := range 10 {
		for index, worker := range rig.fleet {
			rig.run(rig.job((index+round)%40), worker, false)
		}
	}
	if out := len(rig.tracker.Quarantined()); out > 20 {
		t.Fatalf("%d of 100 workers out of service in a platform fault, cap 20", out)
	}
	if !rig.tracker.Wave(rig.fake.Now()) {
		t.Fatal("failures on all workers are not recognised as a platform fault")
	}
	rig.fake.Advance(quarantine.Defaults().BackoffMillis)
	for index := range 40 {
		if reason, blocked := rig.tracker.Blocked(rig.job(index), rig.fake.Now()); blocked {
			t.Fatalf("job parked after the fault: %s", reason)
		}
	}
	for round := range 10 {
		for _, worker := range rig.fleet {
			rig.run(rig.job(200+round), worker, true)
		}
	}
	for index := range 40 {
		rig.run(rig.job(index), rig.fleet[index], false)
		if reason, blocked := rig.tracker.Blocked(rig.job(index), rig.fake.Now()); blocked {
			t.Fatalf("job parked for one failure after the fault: %s", reason)
		}
	}
}

// TestAcquitsJobs guards against a job staying parked for failures on workers that are found faulty
// only afterwards.
func TestAcquitsJobs(t *testing.T) {
	rig := newRig(20)
	bad := rig.fleet[:3]
	for _, worker := range bad {
		rig.run("innocent", worker, false)
	}
	if _, blocked := rig.tracker.Blocked("innocent", rig.fake.Now()); !blocked {
		t.Fatal("job is not parked after failures on three workers without other evidence")
	}
	for _, worker := range bad {
		for index := range 4 {
			rig.run(ident.Job(fmt.Sprintf("%s-%d", worker, index)), worker, false)
		}
	}
	if out := rig.tracker.Quarantined(); len(out) != 3 {
		t.Fatalf("quarantined %v, want %v", out, bad)
	}
	if reason, blocked := rig.tracker.Blocked("innocent", rig.fake.Now()); blocked {
		t.Fatalf("job still parked: %s", reason)
	}
}

// TestActionsMatchState guards against decisions that the log does not show.
func TestActionsMatchState(t *testing.T) {
	rig := newRig(20)
	out := set.New[ident.Worker]()
	for index := range 2000 {
		worker := rig.fleet[index*7%len(rig.fleet)]
		rig.run(rig.job(index%13), worker, index%20 > 2 && worker != rig.fleet[1] && worker != rig.fleet[2])
		for _, action := range rig.tracker.Actions() {
			switch action.Kind {
			case quarantine.Quarantine:
				out.Add(action.Worker)
			case quarantine.Release:
				out.Remove(action.Worker)
			}
		}
		if have := rig.tracker.Quarantined(); fmt.Sprint(have) != fmt.Sprint(set.Sorted(out)) {
			t.Fatalf("step %d: quarantined %v, actions say %v", index, have, set.Sorted(out))
		}
	}
}

// TestSettings guards against shipping settings that Check refuses, and against accepting unsafe ones.
func TestSettings(t *testing.T) {
	settings := quarantine.Defaults()
	if err := settings.Check(); err != nil {
		t.Error(err)
	}
	settings.CapPercent = 80
	if err := settings.Check(); !quarantine.IsErrBadSettings(err) {
		t.Errorf("error %v, want ErrBadSettings", err)
	}
}

// BenchmarkFailed measures one failure in a platform fault at 1,200 workers and 5,100 jobs relative
// to one at a tenth of them.
func BenchmarkFailed(bench *testing.B) {
	measure := func(workers, jobs int) float64 {
		rig := newRig(workers)
		const calls = 50000
		start := time.Now()
		for index := range calls {
			// 530 failures a second.
			if index%53 == 0 {
				rig.fake.Advance(100 * clock.Millisecond)
			}
			task := ident.Task{Job: rig.job(index % jobs), Index: index}
			rig.tracker.Failed(task, rig.fleet[index*7%workers], "exit status 1", rig.fake.Now())
		}
		return float64(time.Since(start).Nanoseconds()) / calls
	}
	full := measure(1200, 5100)
	bench.ReportMetric(full, "ns/failure")
	bench.ReportMetric(full/measure(120, 510), "failure/baseline")
}
