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

// fixture is a Tracker with a fake clock and a fleet of workers.
type fixture struct {
	tracker   *quarantine.Tracker
	fakeClock *clock.Fake
	fleet     []ident.Worker
	lastTask  int
}

func newFixture(size int) *fixture {
	fixture := &fixture{tracker: quarantine.New(quarantine.Defaults()), fakeClock: clock.NewFake(clock.Time(clock.Minute))}
	for index := range size {
		fixture.fleet = append(fixture.fleet, ident.Worker(fmt.Sprintf("worker-%03d", index)))
	}
	fixture.tracker.SetFleet(fixture.fleet)
	return fixture
}

// run starts and ends one task and advances the clock by 100 ms.
func (fixture *fixture) run(job ident.Job, worker ident.Worker, succeeds bool) {
	fixture.lastTask++
	task := ident.Task{Job: job, Index: fixture.lastTask}
	fixture.tracker.Started(task, worker, fixture.fakeClock.Now())
	if succeeds {
		fixture.tracker.Succeeded(task, worker, fixture.fakeClock.Now())
	} else {
		fixture.tracker.Failed(task, worker, "exit status 1", fixture.fakeClock.Now())
	}
	fixture.fakeClock.Advance(100 * clock.Millisecond)
}

func (fixture *fixture) job(index int) ident.Job { return ident.Job(fmt.Sprintf("job-%d", index)) }

// TestCapHolds guards against more workers out of service than the cap allows and against a quarantine
// that never ends, for random sequences of successes, failures and removed workers.
func TestCapHolds(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		fixture := newFixture(rapid.IntRange(1, 30).Draw(check, "fleet"))
		check.Repeat(map[string]func(*rapid.T){
			"run": func(check *rapid.T) {
				worker := rapid.SampledFrom(fixture.fleet).Draw(check, "worker")
				// Jobs with a low index fail more often, so that some workers and jobs become faulty.
				job := rapid.IntRange(0, 20).Draw(check, "job")
				if fixture.tracker.Usable(worker, fixture.fakeClock.Now()) {
					fixture.run(fixture.job(job), worker, rapid.IntRange(0, 20).Draw(check, "luck") < job)
				}
			},
			"wave": func(check *rapid.T) {
				for index, worker := range fixture.fleet {
					fixture.run(fixture.job(100+index), worker, false)
				}
			},
			"advance": func(check *rapid.T) {
				fixture.fakeClock.Advance(clock.Millis(rapid.IntRange(1, int(20*clock.Minute)).Draw(check, "millis")))
			},
			"shrink": func(check *rapid.T) {
				if len(fixture.fleet) > 1 {
					fixture.fleet = fixture.fleet[:len(fixture.fleet)-1]
					fixture.tracker.SetFleet(fixture.fleet)
				}
			},
			"": func(check *rapid.T) {
				if err := fixture.tracker.Check(); err != nil {
					check.Fatal(err)
				}
			},
		})
		fixture.fakeClock.Advance(quarantine.Defaults().MaxQuarantineMillis + quarantine.Defaults().WindowMillis)
		for _, worker := range fixture.fleet {
			if !fixture.tracker.Usable(worker, fixture.fakeClock.Now()) {
				check.Fatalf("%s gets no trial task after the longest quarantine", worker)
			}
		}
	})
}

// TestFaultyWorkerIsQuarantined guards against a worker that fails every task but stays in service,
// against parking the jobs that failed there, and against a return to service without probation.
func TestFaultyWorkerIsQuarantined(t *testing.T) {
	fixture := newFixture(10)
	for index := range 6 {
		for _, worker := range fixture.fleet {
			fixture.run(fixture.job(index), worker, worker != fixture.fleet[3])
		}
	}
	if quarantined := fixture.tracker.Quarantined(); len(quarantined) != 1 || quarantined[0] != fixture.fleet[3] {
		t.Fatalf("quarantined %v, want only %s", quarantined, fixture.fleet[3])
	}
	for index := range 6 {
		if reason, parked := fixture.tracker.Parked(fixture.job(index), fixture.fakeClock.Now()); parked {
			t.Fatalf("job parked for a worker's fault: %s", reason)
		}
	}
	if fixture.tracker.Usable(fixture.fleet[3], fixture.fakeClock.Now()) {
		t.Fatal("worker in quarantine is usable")
	}
	if reason, quarantined := fixture.tracker.Explain(fixture.fleet[3], fixture.fakeClock.Now()); !quarantined || !strings.Contains(reason, "distinct jobs") {
		t.Fatalf("quarantine is explained by %q, %v", reason, quarantined)
	}
	fixture.fakeClock.Advance(quarantine.Defaults().QuarantineMillis)
	for trial := range quarantine.Defaults().ProbationTasks {
		if !fixture.tracker.Usable(fixture.fleet[3], fixture.fakeClock.Now()) {
			t.Fatalf("trial %d is refused", trial)
		}
		fixture.tracker.Started(ident.Task{Job: "trial", Index: trial}, fixture.fleet[3], fixture.fakeClock.Now())
	}
	if fixture.tracker.Usable(fixture.fleet[3], fixture.fakeClock.Now()) {
		t.Fatal("probation admits more than its trial tasks")
	}
	for trial := range quarantine.Defaults().ProbationTasks {
		fixture.tracker.Succeeded(ident.Task{Job: "trial", Index: trial}, fixture.fleet[3], fixture.fakeClock.Now())
	}
	if quarantined := fixture.tracker.Quarantined(); len(quarantined) != 0 {
		t.Fatalf("%v still out after a passed probation", quarantined)
	}
}

// TestFailedProbationDoublesQuarantine guards against trial tasks at a constant rate on a worker that
// stays faulty.
func TestFailedProbationDoublesQuarantine(t *testing.T) {
	fixture := newFixture(10)
	for index := range 4 {
		fixture.run(fixture.job(index), fixture.fleet[0], false)
	}
	fixture.fakeClock.Advance(quarantine.Defaults().QuarantineMillis)
	fixture.run("trial-a", fixture.fleet[0], false)
	fixture.run("trial-b", fixture.fleet[0], false)
	fixture.fakeClock.Advance(quarantine.Defaults().QuarantineMillis)
	if fixture.tracker.Usable(fixture.fleet[0], fixture.fakeClock.Now()) {
		t.Fatal("the second quarantine is no longer than the first")
	}
}

// TestFaultyJobIsParked guards against restarting a job that always fails again and again, and against
// quarantining the workers on which it failed.
func TestFaultyJobIsParked(t *testing.T) {
	fixture := newFixture(10)
	attempts := 0
	for fixture.fakeClock.Now().Before(clock.Time(clock.Hour)) {
		worker := fixture.fleet[attempts%len(fixture.fleet)]
		if _, parked := fixture.tracker.Parked("never", fixture.fakeClock.Now()); !parked {
			attempts++
			fixture.run("never", worker, false)
		}
		fixture.run("fine", worker, true)
		fixture.fakeClock.Advance(clock.Second)
	}
	// After three attempts the job is parked for 30, 60, 120, ... seconds, up to seven times in an hour.
	if attempts > 10 {
		t.Fatalf("%d attempts of a job that always fails within an hour", attempts)
	}
	reason, parked := fixture.tracker.Parked("never", fixture.fakeClock.Now())
	if !parked || !strings.Contains(reason, "exit status 1") {
		t.Fatalf("parked %v, reason %q", parked, reason)
	}
	if quarantined := fixture.tracker.Quarantined(); len(quarantined) != 0 {
		t.Fatalf("%v quarantined for a job's fault", quarantined)
	}
}

// TestPlatformFaultKeepsFleetInService guards against a platform fault that quarantines most of the
// fleet or parks healthy jobs for long: after the fault, every job may start within the first backoff.
func TestPlatformFaultKeepsFleetInService(t *testing.T) {
	fixture := newFixture(100)
	for round := range 10 {
		for index, worker := range fixture.fleet {
			fixture.run(fixture.job((index+round)%40), worker, false)
		}
	}
	if quarantined := len(fixture.tracker.Quarantined()); quarantined > 20 {
		t.Fatalf("%d of 100 workers out of service in a platform fault, cap 20", quarantined)
	}
	if !fixture.tracker.DetectPlatformFault(fixture.fakeClock.Now()) {
		t.Fatal("failures on all workers are not recognised as a platform fault")
	}
	fixture.fakeClock.Advance(quarantine.Defaults().BackoffMillis)
	for index := range 40 {
		if reason, parked := fixture.tracker.Parked(fixture.job(index), fixture.fakeClock.Now()); parked {
			t.Fatalf("job parked after the fault: %s", reason)
		}
	}
	for round := range 10 {
		for _, worker := range fixture.fleet {
			fixture.run(fixture.job(200+round), worker, true)
		}
	}
	for index := range 40 {
		fixture.run(fixture.job(index), fixture.fleet[index], false)
		if reason, parked := fixture.tracker.Parked(fixture.job(index), fixture.fakeClock.Now()); parked {
			t.Fatalf("job parked for one failure after the fault: %s", reason)
		}
	}
}

// TestQuarantineUnparksJobs guards against a job that stays parked because of failures on workers that
// are quarantined only afterwards.
func TestQuarantineUnparksJobs(t *testing.T) {
	fixture := newFixture(20)
	faultyWorkers := fixture.fleet[:3]
	for _, worker := range faultyWorkers {
		fixture.run("healthy", worker, false)
	}
	if _, parked := fixture.tracker.Parked("healthy", fixture.fakeClock.Now()); !parked {
		t.Fatal("job is not parked after failures on three workers without other evidence")
	}
	for _, worker := range faultyWorkers {
		for index := range 4 {
			fixture.run(ident.Job(fmt.Sprintf("%s-%d", worker, index)), worker, false)
		}
	}
	if quarantined := fixture.tracker.Quarantined(); len(quarantined) != 3 {
		t.Fatalf("quarantined %v, want %v", quarantined, faultyWorkers)
	}
	if reason, parked := fixture.tracker.Parked("healthy", fixture.fakeClock.Now()); parked {
		t.Fatalf("job still parked: %s", reason)
	}
}

// TestActionsMatchState guards against quarantines and releases that Actions doesn't return and that
// would be missing from the log.
func TestActionsMatchState(t *testing.T) {
	fixture := newFixture(20)
	quarantined := set.New[ident.Worker]()
	for index := range 2000 {
		worker := fixture.fleet[index*7%len(fixture.fleet)]
		fixture.run(fixture.job(index%13), worker, index%20 > 2 && worker != fixture.fleet[1] && worker != fixture.fleet[2])
		for _, action := range fixture.tracker.Actions() {
			switch action.Kind {
			case quarantine.Quarantine:
				quarantined.Add(action.Worker)
			case quarantine.Release:
				quarantined.Remove(action.Worker)
			}
		}
		if have := fixture.tracker.Quarantined(); fmt.Sprint(have) != fmt.Sprint(set.Sorted(quarantined)) {
			t.Fatalf("step %d: quarantined %v, the actions give %v", index, have, set.Sorted(quarantined))
		}
	}
}

// TestSettings guards against default settings that Check refuses, and against accepting a cap that takes
// most of the fleet out of service.
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

// BenchmarkFailed measures the time of one call of Failed during a platform fault, with 1,200 workers
// and 5,100 jobs, and its ratio to the time with a tenth of them.
func BenchmarkFailed(bench *testing.B) {
	measure := func(workers, jobs int) float64 {
		fixture := newFixture(workers)
		const calls = 50000
		start := time.Now()
		for index := range calls {
			// 530 failures per second of the fake clock.
			if index%53 == 0 {
				fixture.fakeClock.Advance(100 * clock.Millisecond)
			}
			task := ident.Task{Job: fixture.job(index % jobs), Index: index}
			fixture.tracker.Failed(task, fixture.fleet[index*7%workers], "exit status 1", fixture.fakeClock.Now())
		}
		return float64(time.Since(start).Nanoseconds()) / calls
	}
	full := measure(1200, 5100)
	bench.ReportMetric(full, "ns/failure")
	bench.ReportMetric(full/measure(120, 510), "failure/baseline")
}
