package quarantine_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/quarantine"
	"hyssopjunction/set"
)

// group holds the trackers of several entries, which share a fake clock.
type group struct {
	names    []ident.Entry
	trackers []*quarantine.Tracker
	// exportedUpTo holds, by sender and receiver, the change number up to which the receiver is informed.
	exportedUpTo [][]uint64
	fakeClock    *clock.Fake
	fleet        []ident.Worker
	lastTask     int
}

func newGroup(entries, size int) *group {
	group := &group{fakeClock: clock.NewFake(clock.Time(clock.Minute)), fleet: newFixture(size).fleet}
	for index := range entries {
		group.names = append(group.names, ident.Entry(fmt.Sprintf("entry-%d", index)))
		group.trackers = append(group.trackers, nil)
		group.exportedUpTo = append(group.exportedUpTo, make([]uint64, entries))
	}
	for index := range entries {
		group.restart(index)
	}
	return group
}

// restart replaces the tracker of an entry by a new one, as after a restart of the process.
func (group *group) restart(index int) {
	tracker := quarantine.New(quarantine.Defaults())
	tracker.SetEntries(group.names[index], group.names)
	tracker.SetFleet(group.fleet)
	group.trackers[index] = tracker
	for other := range group.names {
		group.exportedUpTo[other][index], group.exportedUpTo[index][other] = 0, 0
	}
}

// exchange sends the changes of each tracker to every other one.
func (group *group) exchange() {
	now := group.fakeClock.Now()
	for from, sender := range group.trackers {
		for to, receiver := range group.trackers {
			if from != to {
				health, upTo := sender.Export(group.exportedUpTo[from][to], 1000, now)
				receiver.Import(group.names[from], health, sender.PlatformFault(now), now)
				group.exportedUpTo[from][to] = upTo
			}
		}
	}
}

func (group *group) start(entry int, job ident.Job, worker ident.Worker) ident.Task {
	group.lastTask++
	task := ident.Task{Job: job, Index: group.lastTask}
	group.trackers[entry].Started(task, worker, group.fakeClock.Now())
	return task
}

func (group *group) run(entry int, job ident.Job, worker ident.Worker, succeeds bool) {
	task := group.start(entry, job, worker)
	if succeeds {
		group.trackers[entry].Succeeded(task, worker, group.fakeClock.Now())
	} else {
		group.trackers[entry].Failed(task, worker, "exit status 1", group.fakeClock.Now())
	}
}

// TestEntriesShareEvidence guards against a worker that stays in service because no single entry has
// enough evidence, and against a restarted entry that places tasks on a worker which the others
// quarantined.
func TestEntriesShareEvidence(t *testing.T) {
	group := newGroup(3, 10)
	faultyWorker := group.fleet[3]
	for entry := range group.trackers {
		group.run(entry, ident.Job(fmt.Sprintf("job-%d", entry)), faultyWorker, false)
	}
	group.exchange()
	group.exchange()
	group.restart(1)
	group.exchange()
	for entry, tracker := range group.trackers {
		if tracker.Usable(faultyWorker, group.fakeClock.Now()) {
			t.Errorf("%s may place tasks on the worker", group.names[entry])
		}
	}
}

// TestSuccessesElsewherePreventQuarantine guards against a quarantine because of failures that some
// entries observe, although most tasks of other entries on the worker succeed.
func TestSuccessesElsewherePreventQuarantine(t *testing.T) {
	group := newGroup(3, 10)
	for index := range 20 {
		group.run(2, ident.Job(fmt.Sprintf("fine-%d", index)), group.fleet[3], true)
	}
	for entry := range 2 {
		group.run(entry, ident.Job(fmt.Sprintf("job-%d", entry)), group.fleet[3], false)
		group.exchange()
		group.exchange()
	}
	group.run(0, "job-2", group.fleet[3], false)
	group.exchange()
	for entry, tracker := range group.trackers {
		if quarantined := tracker.Quarantined(); len(quarantined) != 0 {
			t.Errorf("%s quarantined %v after 3 failures of 23 ends", group.names[entry], quarantined)
		}
	}
}

// TestEntriesShareProbation guards against more than ProbationTasks trial tasks over all entries, against
// a probation that never ends because some entries have no tasks, and against a release that the other
// entries don't adopt.
func TestEntriesShareProbation(t *testing.T) {
	settings := quarantine.Defaults()
	group := newGroup(4, 10)
	faultyWorker := group.fleet[3]
	for index := range 3 {
		group.run(0, ident.Job(fmt.Sprintf("job-%d", index)), faultyWorker, false)
	}
	group.exchange()
	group.fakeClock.Advance(settings.QuarantineMillis)
	// The last two entries have no tasks. The trial tasks run until every entry has had its turn.
	var trials []ident.Task
	for range 4 * settings.TurnMillis / clock.Second {
		for entry := range 2 {
			for group.trackers[entry].Usable(faultyWorker, group.fakeClock.Now()) {
				trials = append(trials, group.start(entry, "trial", faultyWorker))
			}
		}
		if group.fakeClock.Now()%clock.Time(2*clock.Second) == 0 {
			group.exchange()
		}
		group.fakeClock.Advance(clock.Second)
	}
	if len(trials) != settings.ProbationTasks {
		t.Fatalf("%d trial tasks started, want %d", len(trials), settings.ProbationTasks)
	}
	for _, task := range trials {
		for entry := range 2 {
			group.trackers[entry].Succeeded(task, faultyWorker, group.fakeClock.Now())
		}
	}
	group.exchange()
	for entry, tracker := range group.trackers {
		if quarantined := tracker.Quarantined(); len(quarantined) != 0 {
			t.Errorf("%s still has %v out of service after a passed probation", group.names[entry], quarantined)
		}
	}
}

// TestCapOfAllEntries guards against entries that together have more workers out of service than the cap
// allows after they exchanged their decisions.
func TestCapOfAllEntries(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		group := newGroup(rapid.IntRange(2, 4).Draw(check, "entries"), rapid.IntRange(3, 20).Draw(check, "fleet"))
		check.Repeat(map[string]func(*rapid.T){
			"bad worker": func(check *rapid.T) {
				entry := rapid.IntRange(0, len(group.trackers)-1).Draw(check, "entry")
				worker := rapid.SampledFrom(group.fleet).Draw(check, "worker")
				for range 4 {
					group.run(entry, ident.Job(fmt.Sprintf("job-%d", group.lastTask)), worker, false)
				}
			},
			"good worker": func(check *rapid.T) {
				entry := rapid.IntRange(0, len(group.trackers)-1).Draw(check, "entry")
				worker := rapid.SampledFrom(group.fleet).Draw(check, "worker")
				if group.trackers[entry].Usable(worker, group.fakeClock.Now()) {
					group.run(entry, "good", worker, true)
				}
			},
			"restart": func(check *rapid.T) { group.restart(rapid.IntRange(0, len(group.trackers)-1).Draw(check, "entry")) },
			"advance": func(check *rapid.T) {
				group.fakeClock.Advance(clock.Millis(rapid.IntRange(1, int(10*clock.Minute)).Draw(check, "millis")))
			},
			"exchange": func(check *rapid.T) {
				// The second exchange carries the decisions caused by the evidence of the first one.
				group.exchange()
				group.exchange()
				quarantined := set.New[ident.Worker]()
				for _, tracker := range group.trackers {
					for _, worker := range tracker.Quarantined() {
						quarantined.Add(worker)
					}
				}
				if limit := group.trackers[0].Limit(); quarantined.Len() > limit {
					check.Fatalf("%d workers out of service at all entries together, cap %d", quarantined.Len(), limit)
				}
			},
			"": func(check *rapid.T) {
				for _, tracker := range group.trackers {
					if err := tracker.Check(); err != nil {
						check.Fatal(err)
					}
				}
			},
		})
	})
}

// TestFailuresOnOneWorkerParkNoJob guards against parking a job whose failures were all on one worker or
// on workers that are faulty according to the failures of other jobs.
func TestFailuresOnOneWorkerParkNoJob(t *testing.T) {
	fixture := newFixture(10)
	for range 20 {
		fixture.run("alone", fixture.fleet[0], false)
	}
	for _, worker := range fixture.fleet[1:3] {
		for index := range 3 {
			fixture.run(ident.Job(fmt.Sprintf("%s-%d", worker, index)), worker, false)
		}
		fixture.run("alone", worker, false)
	}
	if reason, parked := fixture.tracker.Parked("alone", fixture.fakeClock.Now()); parked {
		t.Fatalf("parked: %s", reason)
	}
	if quarantined := fixture.tracker.Quarantined(); !slices.Equal(quarantined, fixture.fleet[1:3]) {
		t.Fatalf("quarantined %v, want %v", quarantined, fixture.fleet[1:3])
	}
}

// TestRemoteQuarantineUnparksJobs guards against a job that stays parked because of failures on workers
// that another entry quarantined.
func TestRemoteQuarantineUnparksJobs(t *testing.T) {
	group := newGroup(2, 20)
	for _, worker := range group.fleet[:3] {
		group.run(0, "healthy", worker, false)
	}
	if _, parked := group.trackers[0].Parked("healthy", group.fakeClock.Now()); !parked {
		t.Fatal("job is not parked after failures on three workers without other evidence")
	}
	for _, worker := range group.fleet[:3] {
		for index := range 4 {
			group.run(1, ident.Job(fmt.Sprintf("%s-%d", worker, index)), worker, false)
		}
	}
	group.exchange()
	if reason, parked := group.trackers[0].Parked("healthy", group.fakeClock.Now()); parked {
		t.Fatalf("job still parked: %s", reason)
	}
}

// TestPlatformFaultShortensBackoffs guards against jobs that keep a long backoff after their failures
// turn out to be caused by a platform fault.
func TestPlatformFaultShortensBackoffs(t *testing.T) {
	fixture := newFixture(20)
	// Park the job three times, for 30, 60 and 120 s, by failures on a third of the fleet, which is not
	// enough to detect a platform fault.
	for round := range 3 {
		for _, worker := range fixture.fleet[2*round : 2*round+3] {
			fixture.run("early", worker, false)
		}
		fixture.fakeClock.Advance(31 * clock.Second << round)
		fixture.run("early", fixture.fleet[2*round], false)
	}
	reason, parked := fixture.tracker.Parked("early", fixture.fakeClock.Now())
	if !parked || !strings.Contains(reason, "workers in good health") {
		t.Fatalf("parked %v: %q", parked, reason)
	}
	fixture.fakeClock.Advance(2 * clock.Second)
	for index, worker := range fixture.fleet {
		fixture.run(fixture.job(index), worker, false)
	}
	fixture.fakeClock.Advance(quarantine.Defaults().BackoffMillis)
	if reason, parked := fixture.tracker.Parked("early", fixture.fakeClock.Now()); parked {
		t.Fatalf("still parked after the first backoff of a platform fault: %s", reason)
	}
}
