package placement

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"hyssopjunction/clock"
)

// TestReproducible guards against decisions that depend on the order of a map.
func TestReproducible(t *testing.T) {
	record := func() []Action {
		var log []Action
		world := newSim(t, Settings{}, Dependencies{}, 9, host)
		world.submit(batch("one", 100, small), small, 20*clock.Second)
		urgent := batch("two", 20, small.Times(2))
		urgent.Urgent = true
		world.run(2)
		world.submit(urgent, small.Times(2), 20*clock.Second)
		world.observe = func(action Action) { log = append(log, action) }
		world.run(20)
		world.centre("gent", false, 10*clock.Second)
		world.handle(DrainWorker{Worker: "w0001", Drain: true, Bound: 5 * clock.Second})
		world.run(60)
		return log
	}
	first := record()
	if len(first) < 100 {
		t.Fatalf("only %d actions", len(first))
	}
	for range 5 {
		if second := record(); !reflect.DeepEqual(first, second) {
			t.Fatal("the same events gave different actions")
		}
	}
}

// TestGolden guards against unnoticed changes of decisions: it compares the decisions of a recorded
// run, one line each, with testdata/decisions.golden. Run with -update after a wanted change.
func TestGolden(t *testing.T) {
	var log strings.Builder
	world := newSim(t, Settings{}, Dependencies{}, 6, host)
	world.observe = func(action Action) {
		if decision, ok := action.(Decision); ok {
			fmt.Fprintf(&log, "%d %s %s/%d %s %s %s %v of %d\n", world.now, decision.Kind, decision.Task, decision.Epoch,
				decision.Worker, decision.Size, decision.Reason, decision.Candidates, decision.Considered)
		}
	}
	world.submit(batch("layout", 27, small.Times(3)), small.Times(3), clock.Minute)
	world.run(2)
	urgent := batch("urgent", 3, small.Times(6))
	urgent.Urgent = true
	world.submit(urgent, small.Times(6), 5*clock.Second)
	world.run(12)
	world.centre("gent", false, 5*clock.Second)
	world.run(20)
	world.centre("gent", true, 0)
	world.handle(Cancel{Job: "layout"})
	world.run(4)
	goldie.New(t).Assert(t, "decisions", []byte(log.String()))
}
