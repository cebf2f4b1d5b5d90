package placement

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"hyssopjunction/clock"
)

// TestDecisionsAreReproducible guards against decisions that depend on the iteration order of a
// map.
func TestDecisionsAreReproducible(t *testing.T) {
	record := func() []Action {
		var log []Action
		sim := newSimulation(t, Settings{}, Dependencies{}, 9, workerCapacity)
		sim.submit(batchSpec("one", 100, smallTask), smallTask, 20*clock.Second)
		urgent := batchSpec("two", 20, smallTask.Times(2))
		urgent.Urgent = true
		sim.runRounds(2)
		sim.submit(urgent, smallTask.Times(2), 20*clock.Second)
		sim.observe = func(action Action) { log = append(log, action) }
		sim.runRounds(20)
		sim.setDataCentre("gent", false, 10*clock.Second)
		sim.handle(DrainWorker{Worker: "w0001", Drain: true, Bound: 5 * clock.Second})
		sim.runRounds(60)
		return log
	}
	want := record()
	if len(want) < 100 {
		t.Fatalf("only %d actions", len(want))
	}
	for range 5 {
		if have := record(); !reflect.DeepEqual(want, have) {
			t.Fatal("the same events gave different actions")
		}
	}
}

// TestDecisionsMatchGoldenFile guards against unnoticed changes of decisions: it compares the
// decisions of a fixed scenario, one line each, with testdata/decisions.golden. Run it with -update
// after an intended change.
func TestDecisionsMatchGoldenFile(t *testing.T) {
	var log strings.Builder
	sim := newSimulation(t, Settings{}, Dependencies{}, 6, workerCapacity)
	sim.observe = func(action Action) {
		if decision, ok := action.(Decision); ok {
			fmt.Fprintf(&log, "%d %s %s/%d %s %s %s %v of %d\n", sim.now, decision.Kind, decision.Task, decision.Epoch,
				decision.Worker, decision.Size, decision.Reason, decision.Candidates, decision.Considered)
		}
	}
	sim.submit(batchSpec("layout", 27, smallTask.Times(3)), smallTask.Times(3), clock.Minute)
	sim.runRounds(2)
	urgent := batchSpec("urgent", 3, smallTask.Times(6))
	urgent.Urgent = true
	sim.submit(urgent, smallTask.Times(6), 5*clock.Second)
	sim.runRounds(12)
	sim.setDataCentre("gent", false, 5*clock.Second)
	sim.runRounds(20)
	sim.setDataCentre("gent", true, 0)
	sim.handle(Cancel{Job: "layout"})
	sim.runRounds(4)
	goldie.New(t).Assert(t, "decisions", []byte(log.String()))
}
