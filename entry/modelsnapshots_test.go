package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/objectstore"
	"hyssopjunction/standin"
	"hyssopjunction/table/tabletest"
	"hyssopjunction/unit"
)

// snapshotFixture is an object store and a table that several entries use one after the other.
type snapshotFixture struct {
	*testing.T
	objects *standin.Objects
	memory  *tabletest.Memory
}

func runSnapshotFixture(t *testing.T, check func(fixture *snapshotFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		check(&snapshotFixture{T: t, objects: standin.NewObjects(standin.ObjectsOptions{Clock: clock.NewSystem()}), memory: tabletest.New()})
	})
}

// runEntry starts an entry, waits until it has read the snapshots, calls use and closes the entry.
func (fixture *snapshotFixture) runEntry(name string, use func(entry *Entry)) {
	fixture.Helper()
	entry := startEntry(fixture.T, name, Dependencies{Table: fixture.memory, Control: noConnections{}, Objects: fixture.objects})
	defer entry.Close()
	time.Sleep(5 * time.Second)
	synctest.Wait()
	use(entry)
}

// fillModels fills the entry's models and saves a snapshot of them.
func fillModels(entry *Entry) {
	entry.control.Call(func() {
		now := entry.time.Now()
		for range 100 {
			entry.models.sizes.RecordUsage("nightly", "layout", unit.Resources{CPU: 3000, Memory: 9000}, now)
			entry.models.sizes.RecordRunTime("nightly", "layout", clock.Hour, now)
		}
		entry.models.sizes.RecordOutOfMemory("hungry", "layout", 20_000, 0)
		for index, job := range []ident.Job{"a", "b"} {
			entry.models.health.Failed(ident.Task{Job: job, Index: index}, "w1", "exit status 1", now)
		}
	})
	entry.saveSnapshot(entry.settings.ObjectTimeout)
}

// wantLearned checks whether the entry has the estimates of fillModels.
func (fixture *snapshotFixture) wantLearned(entry *Entry, want bool) {
	fixture.Helper()
	entry.control.Call(func() {
		sizes := entry.models.sizes
		size, floor := sizes.Size("nightly", "layout", unit.Resources{CPU: 100, Memory: 100}), sizes.Floor("hungry", "layout")
		runTime := sizes.RunTime("nightly", "layout", 0)
		if learned := size.Memory >= 9000 && floor > 20_000 && runTime >= clock.Hour; learned != want {
			fixture.Errorf("size %s, floor %d, run time %s: learned %v, want %v", size, floor, runTime, learned, want)
		}
	})
}

// TestLearnedModelsSurviveReplacement guards against losing sizes, run times and failures of
// workers when an entry is replaced, and against a truncated snapshot that hides the intact one
// before it.
func TestLearnedModelsSurviveReplacement(t *testing.T) {
	runSnapshotFixture(t, func(fixture *snapshotFixture) {
		fixture.runEntry("e1", fillModels)
		truncated := objectstore.Name("Learned/north/e1/00000000000000000009")
		intact := objectstore.Encode(objectstore.Snapshot{Sequence: 9, Payload: make([]byte, 100)})
		if err := fixture.objects.Put(t.Context(), truncated, intact[:60]); err != nil {
			t.Fatal(err)
		}
		fixture.runEntry("e2", func(entry *Entry) {
			fixture.wantLearned(entry, true)
			entry.control.Call(func() {
				health, now := entry.models.health, entry.time.Now()
				health.SetFleet([]ident.Worker{"w1", "w2", "w3", "w4", "w5"})
				health.Failed(ident.Task{Job: "c"}, "w1", "exit status 1", now)
				if health.Usable("w1", now) {
					t.Error("two failures before the replacement and one after do not count together")
				}
			})
		})
		time.Sleep(maxSnapshotAge.Duration())
		fixture.runEntry("e3", func(entry *Entry) { fixture.wantLearned(entry, false) })
	})
}

// TestLearnedSizesFollowJobs guards against new homes of the jobs of an ended entry that lack its
// sizes and memory floors, because they had started before it ended.
func TestLearnedSizesFollowJobs(t *testing.T) {
	runSnapshotFixture(t, func(fixture *snapshotFixture) {
		fixture.runEntry("e1", func(survivor *Entry) {
			fixture.runEntry("e2", func(entry *Entry) {
				// The survivor reads the rows of entries once per renewal.
				time.Sleep(2 * DefaultSettings().Membership.RenewMillis.Duration())
				synctest.Wait()
				fillModels(entry)
			})
			fixture.wantLearned(survivor, false)
			// The last renewal is read up to one interval after the end, and the expiry counts from
			// that read.
			time.Sleep((DefaultSettings().Membership.EntryExpiryMillis + 2*DefaultSettings().Membership.RenewMillis).Duration())
			synctest.Wait()
			fixture.wantLearned(survivor, true)
		})
	})
}

// TestSnapshotFormats guards against older snapshots that cannot be read any more, and against the
// use of a snapshot of an unknown format.
func TestSnapshotFormats(t *testing.T) {
	runSnapshotFixture(t, func(fixture *snapshotFixture) {
		pairs := []*controlpb.PairEstimate{{Victim: "checks", Aggressor: "layout", SlowdownPercent: 180, WeightMilli: 100_000}}
		for author, message := range map[ident.Entry]proto.Message{
			"first": &controlpb.ExchangeRequest{Pairs: pairs},
			"later": &controlpb.Learned{Format: snapshotFormat + 1, SavedUnixMillis: time.Now().UnixMilli(), Floors: []*controlpb.MemoryFloor{{MemoryMib: 1}}},
		} {
			payload, err := proto.Marshal(message)
			if err == nil {
				_, err = objectstore.NewSeries(fixture.objects, objectstore.Name("Learned/north/"+author+"/"), snapshotsPerEntry).Write(t.Context(), payload)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		fixture.runEntry("e1", func(entry *Entry) {
			entry.control.Call(func() {
				if slowdown := entry.models.Slowdown("checks", []string{"layout"}); slowdown < 150 {
					t.Errorf("slowdown %d%% from a snapshot of format 1 with 180%%", slowdown)
				}
				if floor := entry.models.sizes.Floor("any", "any"); floor != 0 {
					t.Errorf("floor %d from a snapshot of an unknown format", floor)
				}
			})
		})
	})
}
