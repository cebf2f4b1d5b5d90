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

// classSizer is a Sizer that returns one size learned from other jobs of the class.
type classSizer struct{ size unit.Resources }

func (sizer *classSizer) Size(ident.Job, string, unit.Resources) unit.Resources { return sizer.size }

// TestParksLargeJobOfSmallClass guards against accepting or starting a job that no worker can hold
// because the other jobs of its class are small.
func TestParksLargeJobOfSmallClass(t *testing.T) {
	sim := newSimulation(t, Settings{ParkAfter: 5 * clock.Second}, Dependencies{Sizer: &classSizer{smallTask}}, 3, workerCapacity)
	hopeless := batchSpec("hopeless", 2, workerCapacity.Times(2))
	if reason, ok := sim.scheduler.Fits(hopeless); ok || !strings.HasPrefix(reason, "NeverFits") {
		t.Fatalf("accepted: %q", reason)
	}
	sim.submit(hopeless, workerCapacity, clock.Hour)
	sim.submit(batchSpec("possible", 2, smallTask), smallTask, clock.Hour)
	sim.runRounds(20)
	explanation, _ := sim.scheduler.Explain("hopeless")
	if explanation.States[job.Parked] != 2 || !strings.HasPrefix(explanation.Reason, "NeverFits") {
		t.Fatalf("%+v", explanation)
	}
	if sim.liveTasks("possible") != 2 {
		t.Fatal("a parked job blocks another")
	}
}

// TestParksTaskThatOutgrowsWorkers guards against giving up a task that runs out of memory
// repeatedly while a larger size still fits on a worker, and against placing it once none can hold
// it.
func TestParksTaskThatOutgrowsWorkers(t *testing.T) {
	sizer := &classSizer{smallTask}
	sim := newSimulation(t, Settings{ParkAfter: 5 * clock.Second}, Dependencies{Sizer: sizer}, 3, workerCapacity)
	sim.submit(batchSpec("grows", 1, smallTask), smallTask, clock.Hour)
	task := ident.Task{Job: "grows"}
	// More failures than the limit for a batch task that fails for another cause.
	for failures := range 12 {
		sim.runRounds(140)
		row, _ := sim.scheduler.Job("grows")
		if row.Tasks[0].State != job.Running {
			t.Fatalf("%s after running out of memory %d times", row.Tasks[0].State, failures)
		}
		if failures == 11 {
			sizer.size = workerCapacity.Times(2)
		}
		workerName := row.Tasks[0].Placement.Worker
		sim.removeTask(sim.byName[workerName], task)
		sim.handle(TaskEnded{Worker: workerName, Status: worker.Status{Task: task, Epoch: row.Tasks[0].Epoch, State: worker.Failed, End: worker.OutOfMemory}})
	}
	sim.runRounds(140)
	explanation, _ := sim.scheduler.Explain("grows")
	if explanation.States[job.Parked] != 1 || !strings.HasPrefix(explanation.Reason, "NeverFits") {
		t.Fatalf("%+v", explanation)
	}
}
