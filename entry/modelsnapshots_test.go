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

// savedWorld is an object store and the entries that use it one after the other.
type savedWorld struct {
	*testing.T
	objects *standin.Objects
	memory  *tabletest.Memory
}

func inSavedWorld(t *testing.T, check func(world *savedWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		check(&savedWorld{T: t, objects: standin.NewObjects(standin.ObjectsOptions{Clock: clock.NewSystem()}), memory: tabletest.New()})
	})
}

// run starts an entry of the name, waits until it has read the snapshots, and closes it after use.
func (world *savedWorld) run(name string, use func(entry *Entry)) {
	world.Helper()
	entry := startEntry(world.T, name, Dependencies{Table: world.memory, Control: noConnections{}, Objects: world.objects})
	defer entry.Close()
	time.Sleep(5 * time.Second)
	synctest.Wait()
	use(entry)
}

// teach fills all that an entry learns and saves it.
func teach(entry *Entry) {
	entry.control.Call(func() {
		now := entry.time.Now()
		for range 100 {
			entry.learned.sizes.Usage("nightly", "layout", unit.Resources{CPU: 3000, Memory: 9000}, now)
			entry.learned.sizes.Finished("nightly", "layout", clock.Hour, now)
		}
		entry.learned.sizes.OutOfMemory("hungry", "layout", 20_000, 0)
		for index, job := range []ident.Job{"a", "b"} {
			entry.learned.health.Failed(ident.Task{Job: job, Index: index}, "w1", "exit status 1", now)
		}
	})
	entry.saveLearned(entry.settings.ObjectTimeout)
}

func (world *savedWorld) wantKnown(entry *Entry, want bool) {
	world.Helper()
	entry.control.Call(func() {
		sizes := entry.learned.sizes
		size, floor := sizes.Size("nightly", "layout", unit.Resources{CPU: 100, Memory: 100}), sizes.Floor("hungry", "layout")
		runTime := sizes.RunTime("nightly", "layout", 0)
		if known := size.Memory >= 9000 && floor > 20_000 && runTime >= clock.Hour; known != want {
			world.Errorf("size %s, floor %d, run time %s: known %v, want %v", size, floor, runTime, known, want)
		}
	})
}

// TestLearnedSurvivesReplacement guards against sizes, run times and failures on workers that are
// lost when an entry is replaced, and against a torn snapshot that hides the whole one before it.
func TestLearnedSurvivesReplacement(t *testing.T) {
	inSavedWorld(t, func(world *savedWorld) {
		world.run("e1", teach)
		torn := objectstore.Name("Learned/north/e1/00000000000000000009")
		whole := objectstore.Encode(objectstore.Snapshot{Sequence: 9, Payload: make([]byte, 100)})
		if err := world.objects.Put(t.Context(), torn, whole[:60]); err != nil {
			t.Fatal(err)
		}
		world.run("e2", func(entry *Entry) {
			world.wantKnown(entry, true)
			entry.control.Call(func() {
				health, now := entry.learned.health, entry.time.Now()
				health.SetFleet([]ident.Worker{"w1", "w2", "w3", "w4", "w5"})
				health.Failed(ident.Task{Job: "c"}, "w1", "exit status 1", now)
				if health.Usable("w1", now) {
					t.Error("two failures before the replacement and one after do not count together")
				}
			})
		})
		time.Sleep(learnedAge.Duration())
		world.run("e3", func(entry *Entry) { world.wantKnown(entry, false) })
	})
}

// TestLearnedMovesWithTheJobs guards against sizes and floors that the new homes of the jobs of an
// ended entry do not know, because they started before it ended.
func TestLearnedMovesWithTheJobs(t *testing.T) {
	inSavedWorld(t, func(world *savedWorld) {
		world.run("e1", func(survivor *Entry) {
			world.run("e2", func(entry *Entry) {
				// The survivor reads the rows of entries once per renewal.
				time.Sleep(2 * DefaultSettings().Membership.RenewMillis.Duration())
				synctest.Wait()
				teach(entry)
			})
			world.wantKnown(survivor, false)
			// The last renewal is read up to an interval after the end, and the expiry counts from there.
			time.Sleep((DefaultSettings().Membership.EntryExpiryMillis + 2*DefaultSettings().Membership.RenewMillis).Duration())
			synctest.Wait()
			world.wantKnown(survivor, true)
		})
	})
}

// TestLearnedFormats guards against an older snapshot that cannot be read any more, and against using
// one whose format is not known.
func TestLearnedFormats(t *testing.T) {
	inSavedWorld(t, func(world *savedWorld) {
		pairs := []*controlpb.PairEstimate{{Victim: "checks", Aggressor: "layout", SlowdownPercent: 180, WeightMilli: 100_000}}
		for author, message := range map[ident.Entry]proto.Message{
			"first": &controlpb.ExchangeRequest{Pairs: pairs},
			"later": &controlpb.Learned{Format: learnedFormat + 1, SavedUnixMillis: time.Now().UnixMilli(), Floors: []*controlpb.MemoryFloor{{MemoryMib: 1}}},
		} {
			payload, err := proto.Marshal(message)
			if err == nil {
				_, err = objectstore.NewSeries(world.objects, objectstore.Name("Learned/north/"+author+"/"), learnedKept).Write(t.Context(), payload)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		world.run("e1", func(entry *Entry) {
			entry.control.Call(func() {
				if slowdown := entry.learned.Slowdown("checks", []string{"layout"}); slowdown < 150 {
					t.Errorf("slowdown %d%% from a snapshot of format 1 with 180%%", slowdown)
				}
				if floor := entry.learned.sizes.Floor("any", "any"); floor != 0 {
					t.Errorf("floor %d from a snapshot of an unknown format", floor)
				}
			})
		})
	})
}
