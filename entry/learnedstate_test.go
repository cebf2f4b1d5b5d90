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
	"hyssopjunction/worker"
)

// savedWorld is an object store and the entries that use it one after the other.
type savedWorld struct {
	*testing.T
	objects *standin.Objects
	memory  *tabletest.Memory
}

func inSavedWorld(t *testing.T, check func(world *savedWorld)) {
	synctest.Test(t, func(t *testing.T) {
		check(&savedWorld{T: t, objects: standin.NewObjects(standin.ObjectsOptions{Clock: clock.NewSystem()}), memory: tabletest.New()})
	})
}

// run starts an entry of the name, waits until it has read the snapshots, and closes it after use.
func (world *savedWorld) run(name ident.Entry, use func(entry *Entry)) {
	world.Helper()
	settings := DefaultSettings()
	settings.ID, settings.Region, settings.DataCentre, settings.ControlAddress = name, "north", "dc1", string(name)
	entry, err := New(world.Context(), settings, Dependencies{
		Clock: clock.NewSystem(), Table: world.memory, Agents: noRequests{}, Control: noConnections{}, Objects: world.objects,
		Runtimes: func(string, ident.Worker) worker.Runtime { return nil },
	})
	if err != nil {
		world.Fatal(err)
	}
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
	entry.saveLearned()
}

func knows(entry *Entry) (size unit.Resources, floor unit.Mebibytes, runTime clock.Millis) {
	entry.control.Call(func() {
		size = entry.learned.sizes.Size("nightly", "layout", unit.Resources{CPU: 100, Memory: 100})
		floor = entry.learned.sizes.Floor("hungry", "layout")
		runTime = entry.learned.sizes.RunTime("nightly", "layout", 0)
	})
	return size, floor, runTime
}

func (world *savedWorld) wantKnown(entry *Entry, want bool) {
	world.Helper()
	size, floor, runTime := knows(entry)
	if known := size.Memory >= 9000 && floor > 20_000 && runTime >= clock.Hour; known != want {
		world.Errorf("size %s, floor %d, run time %s: known %v, want %v", size, floor, runTime, known, want)
	}
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
