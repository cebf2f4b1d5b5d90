package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

var (
	smallTask      = unit.Resources{CPU: 1000, Memory: 4000}
	workerCapacity = unit.Resources{CPU: 16_000, Memory: 64_000}
)

func batchSpec(name string, count int, size unit.Resources) job.Spec {
	return job.Spec{Job: ident.Job(name), Team: "a", Region: "flanders", Kind: worker.Batch, Count: count, Declared: size}
}

// runRounds advances by half a second per round.
func (sim *simulation) runRounds(rounds int) {
	for range rounds {
		sim.step(500)
	}
}

// liveTasks returns the number of claimed and running tasks of the job.
func (sim *simulation) liveTasks(name string) int {
	explanation, _ := sim.scheduler.Explain(ident.Job(name))
	return explanation.States[job.Claimed] + explanation.States[job.Running]
}

// TestUrgentStartWithinBound guards the limit of 4.2 s for the start of urgent work on a full
// cluster. Checkpoints of the preempted tasks are immediate, slow, or never complete.
func TestUrgentStartWithinBound(t *testing.T) {
	for _, checkpoint := range []clock.Millis{0, 1400, -1} {
		t.Run(checkpoint.String(), func(t *testing.T) {
			sim := newSimulation(t, Settings{}, Dependencies{}, 9, workerCapacity)
			sim.checkpointTime = checkpoint
			sim.submit(batchSpec("filler", 9*16+50, smallTask), smallTask, clock.Hour)
			sim.runRounds(4)
			urgent := batchSpec("urgent", 12, smallTask.Times(4))
			urgent.Urgent = true
			submitted := sim.now
			sim.submit(urgent, smallTask.Times(4), clock.Hour)
			for sim.liveTasks("urgent") < 12 {
				sim.step(500)
				if waited := sim.now.Sub(submitted); waited > 4200 {
					t.Fatalf("%d of 12 urgent tasks run after %s", sim.liveTasks("urgent"), waited)
				}
			}
		})
	}
}

// TestOrdinaryWorkDoesNotStarve guards against ordinary work that never runs, because urgent work
// keeps arriving or because small tasks take all room that a large one needs.
func TestOrdinaryWorkDoesNotStarve(t *testing.T) {
	settings := Settings{Starvation: clock.Minute}
	t.Run("urgent", func(t *testing.T) {
		sim := newSimulation(t, settings, Dependencies{}, 3, workerCapacity)
		sim.submit(batchSpec("ordinary", 1, smallTask), smallTask, 2*clock.Second)
		for index := range 1200 {
			urgent := batchSpec(fmt.Sprintf("urgent-%04d", index), 12, smallTask.Times(2))
			urgent.Urgent = true
			sim.submit(urgent, smallTask.Times(2), 3*clock.Second)
			sim.step(500)
		}
		if sim.liveTasks("ordinary") == 0 && sim.startedAt["ordinary"] == 0 {
			t.Fatal("ordinary work did not start in 10 minutes")
		}
	})
	t.Run("large", func(t *testing.T) {
		sim := newSimulation(t, settings, Dependencies{}, 3, workerCapacity)
		for index := range 600 {
			for part := range 3 {
				sim.submit(batchSpec(fmt.Sprintf("small-%04d-%d", index, part), 2, smallTask.Times(2)), smallTask.Times(2), clock.Millis(4000+500*(index%7)))
			}
			if index == 10 {
				sim.submit(batchSpec("large", 1, workerCapacity), workerCapacity, clock.Minute)
			}
			sim.step(500)
		}
		if sim.startedAt["large"] == 0 {
			t.Fatal("a large task did not start in 5 minutes")
		}
	})
}

// TestTeamGetsItsShare guards against a team with a long queue keeping another from its share.
func TestTeamGetsItsShare(t *testing.T) {
	sim := newSimulation(t, Settings{}, Dependencies{}, 3, workerCapacity)
	for index := range 50 {
		sim.submit(batchSpec(fmt.Sprintf("first-%02d", index), 20, smallTask), smallTask, clock.Millis(20_000+index*100))
	}
	sim.runRounds(4)
	for index := range 10 {
		spec := batchSpec(fmt.Sprintf("second-%02d", index), 20, smallTask)
		spec.Team = "b"
		sim.submit(spec, smallTask, 20*clock.Second)
	}
	sim.runRounds(100)
	used := sim.scheduler.dependencies.Accounts.Used("b").CPU
	if whole := sim.scheduler.totalCapacity.CPU; used < whole*4/10 {
		t.Fatalf("the second team has %d of %d", used, whole)
	}
}

// TestGangIsPlacedWhole guards against part of a gang occupying workers while there is no room for
// the rest.
func TestGangIsPlacedWhole(t *testing.T) {
	sim := newSimulation(t, Settings{}, Dependencies{}, 3, workerCapacity)
	sim.submit(batchSpec("filler", 40, smallTask), smallTask, clock.Minute)
	sim.runRounds(2)
	gang := batchSpec("gang", 10, smallTask)
	gang.Gang = true
	sim.submit(gang, smallTask, clock.Minute)
	for range 200 {
		sim.step(500)
		if live := sim.liveTasks("gang"); live != 0 && live != 10 {
			t.Fatalf("%d of 10 tasks are placed", live)
		}
	}
	if sim.startedAt["gang"] == 0 {
		t.Fatal("the gang never started")
	}
}

// TestDataCentreDrainAndReturn guards against a drain that misses its deadline or evicts a task
// twice, against starts in a closed data centre, and against a data centre that is filled at once,
// or not at all, when it returns.
func TestDataCentreDrainAndReturn(t *testing.T) {
	sim := newSimulation(t, Settings{Ramp: clock.Minute}, Dependencies{}, 9, workerCapacity)
	sim.submit(batchSpec("long", 60, smallTask), smallTask, clock.Hour)
	sim.runRounds(10)
	tasksInGent := func() (tasks int) {
		for _, machine := range sim.workers {
			if machine.state.DataCentre == "gent" {
				tasks += len(machine.tasks)
			}
		}
		return tasks
	}
	before := tasksInGent()
	if before == 0 {
		t.Fatal("no task runs in the data centre")
	}
	sim.setDataCentre("gent", false, 30*clock.Second)
	previous := before
	for range 60 {
		sim.step(500)
		if tasks := tasksInGent(); tasks > previous {
			t.Fatal("a task started in a closed data centre")
		} else {
			previous = tasks
		}
	}
	if previous != 0 || sim.evictions != before {
		t.Fatalf("%d tasks left, %d evictions of %d tasks", previous, sim.evictions, before)
	}
	if sim.liveTasks("long") != 60 {
		t.Fatalf("%d of 60 tasks run elsewhere", sim.liveTasks("long"))
	}
	sim.setDataCentre("gent", true, 0)
	sim.submit(batchSpec("next", 60, smallTask), smallTask, clock.Hour)
	for second := range 30 {
		sim.runRounds(2)
		// A third of the workers are there. The ramp allows even growth and one twentieth more.
		if allowed := 48 * (second + 1 + 3) / 60; tasksInGent() > allowed+1 {
			t.Fatalf("%d tasks after %d s, %d are allowed", tasksInGent(), second+1, allowed)
		}
	}
	sim.runRounds(100)
	if tasksInGent() < 24 {
		t.Fatalf("%d tasks after the return", tasksInGent())
	}
}

// TestParksJobThatNeverFits guards against jobs that fit on no worker waiting without a reason or
// blocking others, and against jobs that stay parked once they fit.
func TestParksJobThatNeverFits(t *testing.T) {
	sim := newSimulation(t, Settings{ParkAfter: 5 * clock.Second}, Dependencies{}, 3, workerCapacity)
	sim.submit(batchSpec("hopeless", 2, workerCapacity.Times(2)), workerCapacity, clock.Hour)
	sim.submit(batchSpec("possible", 2, smallTask), smallTask, clock.Hour)
	sim.runRounds(20)
	explanation, _ := sim.scheduler.Explain("hopeless")
	if explanation.States[job.Parked] != 2 || !strings.HasPrefix(explanation.Reason, "NeverFits") {
		t.Fatalf("%+v", explanation)
	}
	if reason, ok := sim.scheduler.Fits(batchSpec("another", 1, workerCapacity.Times(2))); ok || reason == "" {
		t.Fatal("a job that fits nowhere would be accepted")
	}
	if sim.liveTasks("possible") != 2 {
		t.Fatal("a parked job blocks another")
	}
	for _, machine := range sim.workers {
		machine.state.Capacity = workerCapacity.Times(2)
	}
	sim.announce()
	sim.runRounds(10)
	if sim.liveTasks("hopeless") == 0 {
		t.Fatal("the job stays parked although it fits")
	}
}

// TestCancellationsShareWrites guards against cancellations that cost a write each, and against
// starts of cancelled tasks.
func TestCancellationsShareWrites(t *testing.T) {
	sim := newSimulation(t, Settings{MaxRows: 256}, Dependencies{}, 30, workerCapacity)
	for index := range 500 {
		sim.submit(batchSpec(fmt.Sprintf("job-%03d", index), 4, smallTask), smallTask, clock.Hour)
	}
	sim.runRounds(4)
	commits, starts := sim.commits, sim.starts
	for index := range 500 {
		sim.handle(Cancel{Job: ident.Job(fmt.Sprintf("job-%03d", index))})
	}
	sim.runRounds(6)
	if sim.starts != starts {
		t.Fatal("a cancelled task started")
	}
	// 500 rows take two transactions; the ends of the live tasks take two more.
	if writes := sim.commits - commits; writes > 6 {
		t.Fatalf("%d writes", writes)
	}
	for index := range 500 {
		explanation, _ := sim.scheduler.Explain(ident.Job(fmt.Sprintf("job-%03d", index)))
		if explanation.States[job.Cancelled] != 4 {
			t.Fatalf("%+v", explanation)
		}
	}
}

// TestStandingTasksAreReplacedAndSpread guards against standing tasks that stay down after the loss
// of their worker, and against their concentration on few racks.
func TestStandingTasksAreReplacedAndSpread(t *testing.T) {
	sim := newSimulation(t, Settings{}, Dependencies{}, 27, workerCapacity)
	spec := batchSpec("standing", 6, smallTask)
	spec.Kind = worker.Standing
	sim.submit(spec, smallTask, clock.Day)
	sim.runRounds(2)
	racks := make(set.Set[ident.Rack])
	var lostMachine *simWorker
	for _, machine := range sim.workers {
		if len(machine.tasks) > 0 {
			racks.Add(machine.state.Rack)
			lostMachine = machine
		}
	}
	if racks.Len() < 3 {
		t.Fatalf("6 tasks on %d of 3 racks", racks.Len())
	}
	clear(lostMachine.tasks)
	clear(lostMachine.holds)
	sim.handle(IncarnationEnded{Worker: lostMachine.state.Worker, Incarnation: 1})
	sim.runRounds(3)
	if sim.liveTasks("standing") != 6 {
		t.Fatalf("%d of 6 tasks run", sim.liveTasks("standing"))
	}
}

// pairInterference is an interference model in which the classes "victim" and "noisy" slow each
// other down.
type pairInterference struct{}

func (pairInterference) Slowdown(class string, residents []string) int {
	for _, resident := range residents {
		if class == "victim" && resident == "noisy" || class == "noisy" && resident == "victim" {
			return 400
		}
	}
	return 100
}

// alwaysInterferes is an interference model in which every pair slows each other down fivefold.
type alwaysInterferes struct{}

func (alwaysInterferes) Slowdown(string, []string) int { return 500 }

// TestInterferenceDelaysWorkOnlyForAWhile guards against ordinary work that waits for ever because
// of a predicted slowdown on every worker. As it runs nowhere, no measurement could correct the
// prediction.
func TestInterferenceDelaysWorkOnlyForAWhile(t *testing.T) {
	sim := newSimulation(t, Settings{DisturbanceWait: 20 * clock.Second}, Dependencies{Interference: alwaysInterferes{}}, 3, workerCapacity)
	sim.submit(batchSpec("disturbing", 6, smallTask), smallTask, clock.Hour)
	sim.runRounds(30)
	if live := sim.liveTasks("disturbing"); live != 0 {
		t.Fatalf("%d tasks run before the wait is over", live)
	}
	sim.runRounds(20)
	if live := sim.liveTasks("disturbing"); live != 6 {
		t.Fatalf("%d of 6 tasks run after the wait", live)
	}
}

// TestSeparatesInterferingClasses guards against tasks placed beside work that they slow down
// according to the interference model.
func TestSeparatesInterferingClasses(t *testing.T) {
	sim := newSimulation(t, Settings{}, Dependencies{Interference: pairInterference{}}, 6, workerCapacity)
	for index, class := range []string{"victim", "noisy", "victim", "noisy"} {
		spec := batchSpec(fmt.Sprintf("%s-%d", class, index), 12, smallTask)
		spec.Class = class
		sim.submit(spec, smallTask, clock.Hour)
		sim.runRounds(2)
	}
	for _, machine := range sim.workers {
		classes := make(set.Set[string])
		for name := range machine.tasks {
			classes.Add(strings.Split(string(name.Job), "-")[0])
		}
		if classes.Len() > 1 {
			t.Fatalf("worker %s runs %v", machine.state.Worker, set.Sorted(classes))
		}
	}
}

// TestTooLargeRowDoesNotBlockOtherJobs guards against a job whose row exceeds the table's limit
// blocking the other jobs for ever.
func TestTooLargeRowDoesNotBlockOtherJobs(t *testing.T) {
	sim := newSimulation(t, Settings{}, Dependencies{}, 9, workerCapacity)
	sim.commitError = func(action Commit) error {
		for _, operation := range action.Transaction.Operations {
			if operation.Key == job.Key("huge") {
				return table.ErrTooLarge{Key: operation.Key, Bytes: 2, Limit: 1}
			}
		}
		return nil
	}
	sim.submit(batchSpec("huge", 4, smallTask), smallTask, clock.Hour)
	for index := range 20 {
		sim.submit(batchSpec(fmt.Sprintf("job-%02d", index), 2, smallTask), smallTask, clock.Hour)
	}
	sim.runRounds(40)
	for index := range 20 {
		if name := fmt.Sprintf("job-%02d", index); sim.liveTasks(name) != 2 {
			t.Fatalf("%s has %d of 2 tasks", name, sim.liveTasks(name))
		}
	}
}

// TestPreemptsTasksOfOtherEntries guards against urgent work that waits although only batch tasks
// of other entries' jobs occupy the workers.
func TestPreemptsTasksOfOtherEntries(t *testing.T) {
	scheduler := New(Settings{}, Dependencies{Entry: "entry"})
	scheduler.Handle(DataCentreChanged{DataCentre: "gent", Open: true, Key: "DataCentre/gent", Revision: 1}, 1000)
	resident := Resident{Task: ident.Task{Job: "other", Index: 3}, Epoch: 7, Size: workerCapacity, Preemptible: true}
	state := WorkerState{Worker: "w", Incarnation: 1, DataCentre: "gent", Rack: "r", Capacity: workerCapacity, Used: workerCapacity, Residents: []Resident{resident}}
	scheduler.Handle(WorkerChanged{State: state}, 1000)
	urgent := batchSpec("urgent", 1, smallTask)
	urgent.Urgent = true
	row, err := job.New(urgent)
	if err != nil {
		t.Fatal(err)
	}
	scheduler.Handle(JobLoaded{Row: table.Row{Key: job.Key("urgent"), Value: row.Encode(), Revision: 1}}, 1000)
	scheduler.Handle(RowsRead{Rows: []table.Row{{Key: TeamKey("a")}}}, 1000)
	ref := TaskRef{Task: resident.Task, Epoch: 7}
	if !slices.ContainsFunc(scheduler.Handle(Round{}, 1500), func(action Action) bool {
		stop, ok := action.(Stop)
		return ok && stop.Checkpoint && slices.Contains(stop.Tasks, ref)
	}) {
		t.Fatal("the other entry's task is not stopped")
	}
	answer := Stopped{Worker: "w", Incarnation: 1, Results: []StopResult{{Task: ref.Task, Epoch: 7, Stopped: true}}}
	if !slices.ContainsFunc(scheduler.Handle(answer, 1600), func(action Action) bool {
		_, ok := action.(Reserve)
		return ok
	}) {
		t.Fatal("the room is not used at once")
	}
}

// TestQueueOrder guards against a queue that ignores priority or the caller's patience, and against
// a late job that is not reported as late.
func TestQueueOrder(t *testing.T) {
	sim := newSimulation(t, Settings{}, Dependencies{}, 1, workerCapacity)
	sim.submit(batchSpec("filler", 16, smallTask), smallTask, 20*clock.Second)
	sim.runRounds(1)
	patient, ranked := batchSpec("patient", 16, smallTask), batchSpec("ranked", 16, smallTask)
	patient.Patience, ranked.Priority = 5*clock.Second, 4
	for _, spec := range []job.Spec{batchSpec("plain", 16, smallTask), ranked, patient} {
		sim.submit(spec, smallTask, 20*clock.Second)
	}
	sim.runRounds(30)
	if explanation, _ := sim.scheduler.Explain("patient"); !explanation.Late || explanation.Reason == "" {
		t.Fatalf("%+v", explanation)
	}
	sim.runRounds(120)
	if first, second, third := sim.startedAt["patient"], sim.startedAt["ranked"], sim.startedAt["plain"]; first >= second || second >= third {
		t.Fatalf("started at %d, %d and %d", first, second, third)
	}
}
