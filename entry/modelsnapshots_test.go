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

// snapshotFixture is an object store and the entries that use it one after the other.
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

// runEntry starts an entry of the name, waits until it has read the snapshots, and closes it after use.
func (fixture *snapshotFixture) runEntry(name string, use func(entry *Entry)) {
	fixture.Helper()
	entry := startEntry(fixture.T, name, Dependencies{Table: fixture.memory, Control: noConnections{}, Objects: fixture.objects})
	defer entry.Close()
	time.Sleep(5 * time.Second)
	synctest.Wait()
	use(entry)
}

// fillModels fills all that an entry learns and saves it.
func fillModels(entry *Entry) {
	entry.control.Call(func() {
		now := entry.time.Now()
		for range 100 {
			entry.models.sizes.Usage("nightly", "layout", unit.Resources{CPU: 3000, Memory: 9000}, now)
			entry.models.sizes.Finished("nightly", "layout", clock.Hour, now)
		}
		entry.models.sizes.OutOfMemory("hungry", "layout", 20_000, 0)
		for index, job := range []ident.Job{"a", "b"} {
			entry.models.health.Failed(ident.Task{Job: job, Index: index}, "w1", "exit status 1", now)
		}
	})
	entry.saveSnapshot(entry.settings.ObjectTimeout)
}

func (fixture *snapshotFixture) wantLearned(entry *Entry, want bool) {
	fixture.Helper()
	entry.control.Call(func() {
		sizes := entry.models.sizes
		size, floor := sizes.Size("nightly", "layout", unit.Resources{CPU: 100, Memory: 100}), sizes.Floor("hungry", "layout")
		runTime := sizes.RunTime("nightly", "layout", 0)
		if learned := size.Memory >= 9000 && floor > 20_000 && runTime >= clock.Hour; learned != want {
			fixture.Errorf("size %s, floor %d, run time %s: known %v, want %v", size, floor, runTime, learned, want)
		}
	})
}

// TestLearnedModelsSurviveReplacement guards against sizes, run times and failures on workers that are
// lost when an entry is replaced, and against a torn snapshot that hides the whole one before it.
func TestLearnedModelsSurviveReplacement(t *testing.T) {
	runSnapshotFixture(t, func(fixture *snapshotFixture) {
		fixture.runEntry("e1", fillModels)
		torn := objectstore.Name("Learned/north/e1/00000000000000000009")
		whole := objectstore.Encode(objectstore.Snapshot{Sequence: 9, Payload: make([]byte, 100)})
		if err := fixture.objects.Put(t.Context(), torn, whole[:60]); err != nil {
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

// TestLearnedSizesFollowJobs guards against sizes and floors that the new homes of the jobs of an
// ended entry do not know, because they started before it ended.
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
			// The last renewal is read up to an interval after the end, and the expiry counts from there.
			time.Sleep((DefaultSettings().Membership.EntryExpiryMillis + 2*DefaultSettings().Membership.RenewMillis).Duration())
			synctest.Wait()
			fixture.wantLearned(survivor, true)
		})
	})
}

// TestSnapshotFormats guards against an older snapshot that cannot be read any more, and against using
// one whose format is not known.
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
