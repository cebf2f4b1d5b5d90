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
	small = unit.Resources{CPU: 1000, Memory: 4000}
	host  = unit.Resources{CPU: 16_000, Memory: 64_000}
)

func batch(name string, count int, size unit.Resources) job.Spec {
	return job.Spec{Job: ident.Job(name), Team: "a", Region: "flanders", Kind: worker.Batch, Count: count, Declared: size}
}

func (world *sim) run(rounds int) {
	for range rounds {
		world.step(500)
	}
}

func (world *sim) live(name string) int {
	explanation, _ := world.scheduler.Explain(ident.Job(name))
	return explanation.States[job.Claimed] + explanation.States[job.Running]
}

// TestUrgentStart guards the stated bound of 4.2 s for the start of urgent work on a full cluster,
// with checkpoints that are fast, slow, or never end.
func TestUrgentStart(t *testing.T) {
	for _, checkpoint := range []clock.Millis{0, 1400, -1} {
		t.Run(checkpoint.String(), func(t *testing.T) {
			world := newSim(t, Settings{}, Dependencies{}, 9, host)
			world.checkpointTime = checkpoint
			world.submit(batch("filler", 9*16+50, small), small, clock.Hour)
			world.run(4)
			urgent := batch("urgent", 12, small.Times(4))
			urgent.Urgent = true
			submitted := world.now
			world.submit(urgent, small.Times(4), clock.Hour)
			for world.live("urgent") < 12 {
				world.step(500)
				if waited := world.now.Sub(submitted); waited > 4200 {
					t.Fatalf("%d of 12 urgent tasks run after %s", world.live("urgent"), waited)
				}
			}
		})
	}
}

// TestStarvation guards against ordinary work that never runs: because urgent work keeps coming, or
// because small tasks fill every gap that a large one waits for.
func TestStarvation(t *testing.T) {
	settings := Settings{Starvation: clock.Minute}
	t.Run("urgent", func(t *testing.T) {
		world := newSim(t, settings, Dependencies{}, 3, host)
		world.submit(batch("ordinary", 1, small), small, 2*clock.Second)
		for index := range 1200 {
			urgent := batch(fmt.Sprintf("urgent-%04d", index), 12, small.Times(2))
			urgent.Urgent = true
			world.submit(urgent, small.Times(2), 3*clock.Second)
			world.step(500)
		}
		if world.live("ordinary") == 0 && world.startedAt["ordinary"] == 0 {
			t.Fatal("ordinary work did not start in 10 minutes")
		}
	})
	t.Run("large", func(t *testing.T) {
		world := newSim(t, settings, Dependencies{}, 3, host)
		for index := range 600 {
			for part := range 3 {
				world.submit(batch(fmt.Sprintf("small-%04d-%d", index, part), 2, small.Times(2)), small.Times(2), clock.Millis(4000+500*(index%7)))
			}
			if index == 10 {
				world.submit(batch("large", 1, host), host, clock.Minute)
			}
			world.step(500)
		}
		if world.startedAt["large"] == 0 {
			t.Fatal("a large task did not start in 5 minutes")
		}
	})
}

// TestFairness guards against a team with a long queue keeping another from its share.
func TestFairness(t *testing.T) {
	world := newSim(t, Settings{}, Dependencies{}, 3, host)
	for index := range 50 {
		world.submit(batch(fmt.Sprintf("first-%02d", index), 20, small), small, clock.Millis(20_000+index*100))
	}
	world.run(4)
	for index := range 10 {
		spec := batch(fmt.Sprintf("second-%02d", index), 20, small)
		spec.Team = "b"
		world.submit(spec, small, 20*clock.Second)
	}
	world.run(100)
	used := world.scheduler.dependencies.Accounts.Used("b").CPU
	if whole := world.scheduler.total.CPU; used < whole*4/10 {
		t.Fatalf("the second team has %d of %d", used, whole)
	}
}

// TestGang guards against a part of a gang holding workers while the rest has no room.
func TestGang(t *testing.T) {
	world := newSim(t, Settings{}, Dependencies{}, 3, host)
	world.submit(batch("filler", 40, small), small, clock.Minute)
	world.run(2)
	gang := batch("gang", 10, small)
	gang.Gang = true
	world.submit(gang, small, clock.Minute)
	for range 200 {
		world.step(500)
		if live := world.live("gang"); live != 0 && live != 10 {
			t.Fatalf("%d of 10 tasks are placed", live)
		}
	}
	if world.startedAt["gang"] == 0 {
		t.Fatal("the gang never started")
	}
}

// TestDataCentre guards against a drain that misses its bound or stops tasks twice, new work in a
// closed data centre, a return at full load, and tasks that stay crowded after it.
func TestDataCentre(t *testing.T) {
	world := newSim(t, Settings{Ramp: clock.Minute}, Dependencies{}, 9, host)
	world.submit(batch("long", 60, small), small, clock.Hour)
	world.run(10)
	inside := func() (tasks int) {
		for _, at := range world.workers {
			if at.state.DataCentre == "gent" {
				tasks += len(at.tasks)
			}
		}
		return tasks
	}
	before := inside()
	if before == 0 {
		t.Fatal("nothing runs there")
	}
	world.centre("gent", false, 30*clock.Second)
	last := before
	for range 60 {
		world.step(500)
		if now := inside(); now > last {
			t.Fatal("a task started in a closed data centre")
		} else {
			last = now
		}
	}
	if last != 0 || world.evictions != before {
		t.Fatalf("%d tasks left, %d evictions of %d tasks", last, world.evictions, before)
	}
	if world.live("long") != 60 {
		t.Fatalf("%d of 60 tasks run elsewhere", world.live("long"))
	}
	world.centre("gent", true, 0)
	world.submit(batch("next", 60, small), small, clock.Hour)
	for second := range 30 {
		world.run(2)
		// A third of the workers are there; the ramp allows an even growth and one twentieth more.
		if allowed := 48 * (second + 1 + 3) / 60; inside() > allowed+1 {
			t.Fatalf("%d tasks after %d s, %d are allowed", inside(), second+1, allowed)
		}
	}
	world.run(100)
	if inside() < 24 {
		t.Fatalf("%d tasks after the return", inside())
	}
}

// TestHopeless guards against jobs that fit nowhere staying without a reason, or blocking others,
// and against parking that outlives its reason.
func TestHopeless(t *testing.T) {
	world := newSim(t, Settings{ParkAfter: 5 * clock.Second}, Dependencies{}, 3, host)
	world.submit(batch("hopeless", 2, host.Times(2)), host, clock.Hour)
	world.submit(batch("possible", 2, small), small, clock.Hour)
	world.run(20)
	explanation, _ := world.scheduler.Explain("hopeless")
	if explanation.States[job.Parked] != 2 || !strings.HasPrefix(explanation.Reason, "NeverFits") {
		t.Fatalf("%+v", explanation)
	}
	if reason, ok := world.scheduler.Fits(batch("another", 1, host.Times(2))); ok || reason == "" {
		t.Fatal("a job that fits nowhere would be accepted")
	}
	if world.live("possible") != 2 {
		t.Fatal("a parked job blocks another")
	}
	for _, at := range world.workers {
		at.state.Capacity = host.Times(2)
	}
	world.announce()
	world.run(10)
	if world.live("hopeless") == 0 {
		t.Fatal("the job stays parked although it fits")
	}
}

// TestCancelWave guards against cancellations that cost a write or a message each, and against
// cancelled tasks that start.
func TestCancelWave(t *testing.T) {
	world := newSim(t, Settings{MaxRows: 256}, Dependencies{}, 30, host)
	for index := range 500 {
		world.submit(batch(fmt.Sprintf("job-%03d", index), 4, small), small, clock.Hour)
	}
	world.run(4)
	commits, starts := world.commits, world.starts
	for index := range 500 {
		world.handle(Cancel{Job: ident.Job(fmt.Sprintf("job-%03d", index))})
	}
	world.run(6)
	if world.starts != starts {
		t.Fatal("a cancelled task started")
	}
	// 500 rows take two transactions; the ends of the live tasks take two more.
	if writes := world.commits - commits; writes > 6 {
		t.Fatalf("%d writes", writes)
	}
	for index := range 500 {
		explanation, _ := world.scheduler.Explain(ident.Job(fmt.Sprintf("job-%03d", index)))
		if explanation.States[job.Cancelled] != 4 {
			t.Fatalf("%+v", explanation)
		}
	}
}

// TestStanding guards against long-standing tasks that stay down after their worker is gone, and
// against their concentration on few racks.
func TestStanding(t *testing.T) {
	world := newSim(t, Settings{}, Dependencies{}, 27, host)
	spec := batch("standing", 6, small)
	spec.Kind = worker.Standing
	world.submit(spec, small, clock.Day)
	world.run(2)
	racks := make(set.Set[ident.Rack])
	var lost *simWorker
	for _, at := range world.workers {
		if len(at.tasks) > 0 {
			racks.Add(at.state.Rack)
			lost = at
		}
	}
	if racks.Len() < 3 {
		t.Fatalf("6 tasks on %d of 3 racks", racks.Len())
	}
	clear(lost.tasks)
	clear(lost.holds)
	world.handle(WorkerGone{Worker: lost.state.Worker, Incarnation: 1})
	world.run(3)
	if world.live("standing") != 6 {
		t.Fatalf("%d of 6 tasks run", world.live("standing"))
	}
}

// pairs is an interference model in which one class disturbs another.
type pairs struct{}

func (pairs) Slowdown(class string, residents []string) int {
	for _, resident := range residents {
		if class == "victim" && resident == "noisy" || class == "noisy" && resident == "victim" {
			return 400
		}
	}
	return 100
}

// disturbed predicts that every pair slows each other down fivefold.
type disturbed struct{}

func (disturbed) Slowdown(string, []string) int { return 500 }

// TestDisturbanceWait guards against ordinary work that waits for ever because an estimate keeps it
// away from every worker, where nothing could ever correct the estimate.
func TestDisturbanceWait(t *testing.T) {
	world := newSim(t, Settings{DisturbanceWait: 20 * clock.Second}, Dependencies{Interference: disturbed{}}, 3, host)
	world.submit(batch("disturbing", 6, small), small, clock.Hour)
	world.run(30)
	if live := world.live("disturbing"); live != 0 {
		t.Fatalf("%d tasks run before the wait is over", live)
	}
	world.run(20)
	if live := world.live("disturbing"); live != 6 {
		t.Fatalf("%d of 6 tasks run after the wait", live)
	}
}

// TestInterference guards against tasks placed beside work that the model says they disturb.
func TestInterference(t *testing.T) {
	world := newSim(t, Settings{}, Dependencies{Interference: pairs{}}, 6, host)
	for index, class := range []string{"victim", "noisy", "victim", "noisy"} {
		spec := batch(fmt.Sprintf("%s-%d", class, index), 12, small)
		spec.Class = class
		world.submit(spec, small, clock.Hour)
		world.run(2)
	}
	for _, at := range world.workers {
		classes := make(set.Set[string])
		for name := range at.tasks {
			classes.Add(strings.Split(string(name.Job), "-")[0])
		}
		if classes.Len() > 1 {
			t.Fatalf("worker %s runs %v", at.state.Worker, set.Sorted(classes))
		}
	}
}

// TestTooLarge guards against a row that the table refuses holding up the other jobs for ever.
func TestTooLarge(t *testing.T) {
	world := newSim(t, Settings{}, Dependencies{}, 9, host)
	world.refuse = func(action Commit) error {
		for _, operation := range action.Transaction.Operations {
			if operation.Key == job.Key("huge") {
				return table.ErrTooLarge{Key: operation.Key, Bytes: 2, Limit: 1}
			}
		}
		return nil
	}
	world.submit(batch("huge", 4, small), small, clock.Hour)
	for index := range 20 {
		world.submit(batch(fmt.Sprintf("job-%02d", index), 2, small), small, clock.Hour)
	}
	world.run(40)
	for index := range 20 {
		if name := fmt.Sprintf("job-%02d", index); world.live(name) != 2 {
			t.Fatalf("%s has %d of 2 tasks", name, world.live(name))
		}
	}
}

// TestForeignVictims guards against urgent work that waits because the batch tasks on the workers
// belong to the jobs of other entries.
func TestForeignVictims(t *testing.T) {
	scheduler := New(Settings{}, Dependencies{Entry: "entry"})
	scheduler.Handle(DataCentreChanged{DataCentre: "gent", Open: true, Key: "DataCentre/gent", Revision: 1}, 1000)
	resident := Resident{Task: ident.Task{Job: "other", Index: 3}, Epoch: 7, Size: host, Preemptible: true}
	state := WorkerState{Worker: "w", Incarnation: 1, DataCentre: "gent", Rack: "r", Capacity: host, Used: host, Residents: []Resident{resident}}
	scheduler.Handle(WorkerChanged{State: state}, 1000)
	urgent := batch("urgent", 1, small)
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

// TestOrder guards against a queue that ignores priority or the caller's patience, and against a late
// job that is not shown as such.
func TestOrder(t *testing.T) {
	world := newSim(t, Settings{}, Dependencies{}, 1, host)
	world.submit(batch("filler", 16, small), small, 20*clock.Second)
	world.run(1)
	patient, ranked := batch("patient", 16, small), batch("ranked", 16, small)
	patient.Patience, ranked.Priority = 5*clock.Second, 4
	for _, spec := range []job.Spec{batch("plain", 16, small), ranked, patient} {
		world.submit(spec, small, 20*clock.Second)
	}
	world.run(30)
	if explanation, _ := world.scheduler.Explain("patient"); !explanation.Late || explanation.Reason == "" {
		t.Fatalf("%+v", explanation)
	}
	world.run(120)
	if first, second, third := world.startedAt["patient"], world.startedAt["ranked"], world.startedAt["plain"]; first >= second || second >= third {
		t.Fatalf("started at %d, %d and %d", first, second, third)
	}
}
