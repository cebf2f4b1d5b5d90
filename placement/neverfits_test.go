package placement

import (
	"strings"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// classSizer is what was learned from other jobs of the class.
type classSizer struct{ size unit.Resources }

func (sizer *classSizer) Size(ident.Job, string, unit.Resources) unit.Resources { return sizer.size }

// TestHopelessInSmallClass guards against a job that no worker can hold being accepted or started
// because the other jobs of its class are small.
func TestHopelessInSmallClass(t *testing.T) {
	world := newSim(t, Settings{ParkAfter: 5 * clock.Second}, Dependencies{Sizer: &classSizer{small}}, 3, host)
	hopeless := batch("hopeless", 2, host.Times(2))
	if reason, ok := world.scheduler.Fits(hopeless); ok || !strings.HasPrefix(reason, "NeverFits") {
		t.Fatalf("accepted: %q", reason)
	}
	world.submit(hopeless, host, clock.Hour)
	world.submit(batch("possible", 2, small), small, clock.Hour)
	world.run(20)
	explanation, _ := world.scheduler.Explain("hopeless")
	if explanation.States[job.Parked] != 2 || !strings.HasPrefix(explanation.Reason, "NeverFits") {
		t.Fatalf("%+v", explanation)
	}
	if world.live("possible") != 2 {
		t.Fatal("a parked job blocks another")
	}
}

// TestGrowsPastLargestWorker guards against a job that is given up or blocks others while its memory
// grows, and against one that goes on when no worker can hold it any more.
func TestGrowsPastLargestWorker(t *testing.T) {
	sizer := &classSizer{small}
	world := newSim(t, Settings{ParkAfter: 5 * clock.Second}, Dependencies{Sizer: sizer}, 3, host)
	world.submit(batch("grows", 1, small), small, clock.Hour)
	task := ident.Task{Job: "grows"}
	// More failures than end a batch task that fails otherwise.
	for failures := range 12 {
		world.run(140)
		row, _ := world.scheduler.Job("grows")
		if row.Tasks[0].State != job.Running {
			t.Fatalf("%s after running out of memory %d times", row.Tasks[0].State, failures)
		}
		if failures == 11 {
			sizer.size = host.Times(2)
		}
		at := row.Tasks[0].Placement.Worker
		world.leave(world.byName[at], task)
		world.handle(TaskEnded{Worker: at, Status: worker.Status{Task: task, Epoch: row.Tasks[0].Epoch, State: worker.Failed, End: worker.OutOfMemory}})
	}
	world.run(140)
	explanation, _ := world.scheduler.Explain("grows")
	if explanation.States[job.Parked] != 1 || !strings.HasPrefix(explanation.Reason, "NeverFits") {
		t.Fatalf("%+v", explanation)
	}
}
