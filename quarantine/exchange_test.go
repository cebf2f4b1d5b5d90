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

// group drives the trackers of several entries with one clock.
type group struct {
	names    []ident.Entry
	trackers []*quarantine.Tracker
	// acked holds what each entry knows of each other one.
	acked [][]uint64
	fake  *clock.Fake
	fleet []ident.Worker
	next  int
}

func newGroup(entries, size int) *group {
	group := &group{fake: clock.NewFake(clock.Time(clock.Minute)), fleet: newRig(size).fleet}
	for index := range entries {
		group.names = append(group.names, ident.Entry(fmt.Sprintf("entry-%d", index)))
		group.trackers = append(group.trackers, nil)
		group.acked = append(group.acked, make([]uint64, entries))
	}
	for index := range entries {
		group.restart(index)
	}
	return group
}

// restart replaces an entry by one that knows nothing.
func (group *group) restart(index int) {
	tracker := quarantine.New(quarantine.Defaults())
	tracker.SetEntries(group.names[index], group.names)
	tracker.SetFleet(group.fleet)
	group.trackers[index] = tracker
	for other := range group.names {
		group.acked[other][index], group.acked[index][other] = 0, 0
	}
}

func (group *group) exchange() {
	now := group.fake.Now()
	for from, sender := range group.trackers {
		for to, receiver := range group.trackers {
			if from != to {
				health, upTo := sender.Export(group.acked[from][to], 1000, now)
				receiver.Import(group.names[from], health, sender.PlatformFault(now), now)
				group.acked[from][to] = upTo
			}
		}
	}
}

func (group *group) start(entry int, job ident.Job, worker ident.Worker) ident.Task {
	group.next++
	task := ident.Task{Job: job, Index: group.next}
	group.trackers[entry].Started(task, worker, group.fake.Now())
	return task
}

func (group *group) run(entry int, job ident.Job, worker ident.Worker, ok bool) {
	task := group.start(entry, job, worker)
	if ok {
		group.trackers[entry].Succeeded(task, worker, group.fake.Now())
	} else {
		group.trackers[entry].Failed(task, worker, "exit status 1", group.fake.Now())
	}
}

// TestEntriesShareEvidence guards against entries that each need the whole evidence of their own, and
// against a restarted entry that places on a worker which the others have quarantined.
func TestEntriesShareEvidence(t *testing.T) {
	group := newGroup(3, 10)
	bad := group.fleet[3]
	for entry := range group.trackers {
		group.run(entry, ident.Job(fmt.Sprintf("job-%d", entry)), bad, false)
	}
	group.exchange()
	group.exchange()
	group.restart(1)
	group.exchange()
	for entry, tracker := range group.trackers {
		if tracker.Usable(bad, group.fake.Now()) {
			t.Errorf("%s places on the worker", group.names[entry])
		}
	}
}

// TestGoodWorkerIsNotConvictedByParts guards against a quarantine by the failures at some entries of a
// worker on which most tasks succeed at others.
func TestGoodWorkerIsNotConvictedByParts(t *testing.T) {
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
		if out := tracker.Quarantined(); len(out) != 0 {
			t.Errorf("%s quarantined %v after 3 failures of 23 ends", group.names[entry], out)
		}
	}
}

// TestOneProbation guards against each entry starting as many trial tasks as all of them may, against
// a probation that never ends because one entry has no work, and against a release that the other
// entries do not learn.
func TestOneProbation(t *testing.T) {
	settings := quarantine.Defaults()
	group := newGroup(4, 10)
	bad := group.fleet[3]
	for index := range 3 {
		group.run(0, ident.Job(fmt.Sprintf("job-%d", index)), bad, false)
	}
	group.exchange()
	group.fake.Advance(settings.QuarantineMillis)
	// The last two entries have no work. The trials run until the probation's turns have all passed.
	var trials []ident.Task
	for range 4 * settings.TurnMillis / clock.Second {
		for entry := range 2 {
			for group.trackers[entry].Usable(bad, group.fake.Now()) {
				trials = append(trials, group.start(entry, "trial", bad))
			}
		}
		if group.fake.Now()%clock.Time(2*clock.Second) == 0 {
			group.exchange()
		}
		group.fake.Advance(clock.Second)
	}
	if len(trials) != settings.ProbationTasks {
		t.Fatalf("%d trial tasks started, want %d", len(trials), settings.ProbationTasks)
	}
	for _, task := range trials {
		for entry := range 2 {
			group.trackers[entry].Succeeded(task, bad, group.fake.Now())
		}
	}
	group.exchange()
	for entry, tracker := range group.trackers {
		if out := tracker.Quarantined(); len(out) != 0 {
			t.Errorf("%s still holds %v out after a passed probation", group.names[entry], out)
		}
	}
}

// TestCapOfAllEntries guards against entries that together keep more workers out than the cap allows
// once they have exchanged their decisions.
func TestCapOfAllEntries(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		group := newGroup(rapid.IntRange(2, 4).Draw(check, "entries"), rapid.IntRange(3, 20).Draw(check, "fleet"))
		check.Repeat(map[string]func(*rapid.T){
			"bad worker": func(check *rapid.T) {
				entry := rapid.IntRange(0, len(group.trackers)-1).Draw(check, "entry")
				worker := rapid.SampledFrom(group.fleet).Draw(check, "worker")
				for range 4 {
					group.run(entry, ident.Job(fmt.Sprintf("job-%d", group.next)), worker, false)
				}
			},
			"good worker": func(check *rapid.T) {
				entry := rapid.IntRange(0, len(group.trackers)-1).Draw(check, "entry")
				worker := rapid.SampledFrom(group.fleet).Draw(check, "worker")
				if group.trackers[entry].Usable(worker, group.fake.Now()) {
					group.run(entry, "good", worker, true)
				}
			},
			"restart": func(check *rapid.T) { group.restart(rapid.IntRange(0, len(group.trackers)-1).Draw(check, "entry")) },
			"advance": func(check *rapid.T) {
				group.fake.Advance(clock.Millis(rapid.IntRange(1, int(10*clock.Minute)).Draw(check, "millis")))
			},
			"exchange": func(check *rapid.T) {
				// The second round carries decisions that the evidence of the first one led to.
				group.exchange()
				group.exchange()
				out := set.New[ident.Worker]()
				for _, tracker := range group.trackers {
					for _, worker := range tracker.Quarantined() {
						out.Add(worker)
					}
				}
				if limit := group.trackers[0].Limit(); out.Len() > limit {
					check.Fatalf("%d workers out at all entries together, cap %d", out.Len(), limit)
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

// TestOneWorkerParksNoJob guards against parking a job for failures that were all on one worker, and
// against more failures on workers that the others' evidence makes suspect.
func TestOneWorkerParksNoJob(t *testing.T) {
	rig := newRig(10)
	for range 20 {
		rig.run("alone", rig.fleet[0], false)
	}
	for _, worker := range rig.fleet[1:3] {
		for index := range 3 {
			rig.run(ident.Job(fmt.Sprintf("%s-%d", worker, index)), worker, false)
		}
		rig.run("alone", worker, false)
	}
	if reason, blocked := rig.tracker.Blocked("alone", rig.fake.Now()); blocked {
		t.Fatalf("parked: %s", reason)
	}
	if out := rig.tracker.Quarantined(); !slices.Equal(out, rig.fleet[1:3]) {
		t.Fatalf("quarantined %v, want %v", out, rig.fleet[1:3])
	}
}

// TestOtherEntryAcquits guards against a job that stays parked for failures on workers that another
// entry found faulty.
func TestOtherEntryAcquits(t *testing.T) {
	group := newGroup(2, 20)
	for _, worker := range group.fleet[:3] {
		group.run(0, "innocent", worker, false)
	}
	if _, blocked := group.trackers[0].Blocked("innocent", group.fake.Now()); !blocked {
		t.Fatal("job is not parked after failures on three workers without other evidence")
	}
	for _, worker := range group.fleet[:3] {
		for index := range 4 {
			group.run(1, ident.Job(fmt.Sprintf("%s-%d", worker, index)), worker, false)
		}
	}
	group.exchange()
	if reason, blocked := group.trackers[0].Blocked("innocent", group.fake.Now()); blocked {
		t.Fatalf("job still parked: %s", reason)
	}
}

// TestPardon guards against jobs that keep the long delays of repeated failures once the failures
// turn out to be a fault of the platform.
func TestPardon(t *testing.T) {
	rig := newRig(20)
	// Three parks of 30, 60 and 120 s on a third of the fleet, before anything points to the platform.
	for round := range 3 {
		for _, worker := range rig.fleet[2*round : 2*round+3] {
			rig.run("early", worker, false)
		}
		rig.fake.Advance(31 * clock.Second << round)
		rig.run("early", rig.fleet[2*round], false)
	}
	reason, blocked := rig.tracker.Blocked("early", rig.fake.Now())
	if !blocked || !strings.Contains(reason, "workers in good health") {
		t.Fatalf("blocked %v: %q", blocked, reason)
	}
	rig.fake.Advance(2 * clock.Second)
	for index, worker := range rig.fleet {
		rig.run(rig.job(index), worker, false)
	}
	rig.fake.Advance(quarantine.Defaults().BackoffMillis)
	if reason, blocked := rig.tracker.Blocked("early", rig.fake.Now()); blocked {
		t.Fatalf("still parked after the first backoff of a platform fault: %s", reason)
	}
}
