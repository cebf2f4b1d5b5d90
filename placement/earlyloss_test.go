package placement

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/worker"
)

// lossRounds is the number of rounds of 500 ms between two ends of workers under the same task.
const lossRounds = 4

// loseTask ends the running task of a job with its worker's process after it has run for a while.
func loseTask(sim *simulation, name ident.Job, ran clock.Millis) bool {
	row, _ := sim.scheduler.Job(name)
	task := row.Tasks[0]
	if task.State != job.Running {
		return false
	}
	sim.removeTask(sim.byName[task.Placement.Worker], ident.Task{Job: name})
	sim.handle(TaskEnded{Worker: task.Placement.Worker, Status: worker.Status{
		Task: ident.Task{Job: name}, Epoch: task.Epoch, State: worker.Stopped, End: worker.Lost, Ran: ran,
	}})
	return true
}

// TestTaskThatEndsItsWorkers guards against a task that is placed again at once, without limit, although each worker's process
// ends under it, and against a job that fails because of that: another task may be the cause.
func TestTaskThatEndsItsWorkers(t *testing.T) {
	cases := map[string]struct {
		ran          clock.Millis
		fewest, most int
	}{
		// Placed again after 1, 2, 4, 8, 16, 32 and then 60 s, in 200 s.
		"shortly after its start": {ran: 100 * clock.Millisecond, fewest: 6, most: 9},
		"after an hour":           {ran: clock.Hour, fewest: 30, most: 1000},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, Settings{}, Dependencies{}, 3, workerCapacity)
			sim.submit(batchSpec("crashing", 1, smallTask), smallTask, clock.Hour)
			losses := 0
			for range 100 {
				sim.runRounds(lossRounds)
				if loseTask(sim, "crashing", test.ran) {
					losses++
				}
			}
			if losses < test.fewest || losses > test.most {
				t.Errorf("got %d losses, want %d to %d", losses, test.fewest, test.most)
			}
			row, _ := sim.scheduler.Job("crashing")
			if state := row.Tasks[0].State; state == job.Failed || state == job.Parked {
				t.Errorf("got state %s, want a task that is tried again", state)
			}
		})
	}
}
