package placement

import (
	"flag"
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

var (
	runs      = flag.Int("placement.runs", 1000, "number of randomised runs")
	firstSeed = flag.Uint64("placement.seed", 1, "seed of the first randomised run")
)

// TestRandomisedRuns guards the invariants I1 to I4, final cancellation, exact team counters and
// quotas, and the eventual end of all work, against lost answers, late writes, conflicts, outages,
// crashes before and after a write, pauses past a lease, two homes of the same jobs, racing
// operators and the loss of a data centre.
func TestRandomisedRuns(t *testing.T) {
	count := *runs
	if testing.Short() {
		count = min(count, 100)
	}
	for shard := range 8 {
		t.Run(fmt.Sprintf("shard-%d", shard), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed + uint64(shard); seed < *firstSeed+uint64(count); seed += 8 {
				runWorld(t, seed)
			}
		})
	}
}

func runWorld(t *testing.T, seed uint64) {
	t.Helper()
	world := newWorld(t, seed, 6)
	world.loss = []float64{0, 0.02, 0.1}[world.random.IntN(3)]
	for range 500 {
		world.fault()
		world.work()
		world.advance(clock.Millis(20 + world.random.IntN(230)))
	}
	world.settle()
}

// work submits and cancels jobs and ends tasks.
func (world *world) work() {
	if world.random.IntN(12) == 0 && len(world.jobs) < 40 {
		world.submit()
	}
	if world.random.IntN(60) == 0 && len(world.jobs) > 0 {
		name := world.jobs[world.random.IntN(len(world.jobs))]
		for _, home := range world.homes {
			home.handle(Cancel{Job: name})
		}
	}
	world.endSome(0.01, 0.002)
}

func (world *world) endSome(finish, fail float64) {
	for _, name := range sortedTasks(world.running) {
		agent := world.running[name]
		if agent == nil {
			continue
		}
		_, row := world.table.task(name)
		switch draw := world.random.Float64(); {
		case draw < finish && row.Spec.Kind == worker.Batch:
			agent.end(name, worker.Finished)
		case draw > 1-fail:
			agent.end(name, worker.Failed)
		}
	}
}

func (world *world) submit() {
	name := ident.Job(fmt.Sprintf("job-%03d", len(world.jobs)))
	spec := job.Spec{
		Job: name, Team: ident.Team([]string{"a", "b", "c"}[world.random.IntN(3)]), Kind: worker.Batch, Region: "flanders",
		Count: 1 + world.random.IntN(8), Priority: world.random.IntN(10), Urgent: world.random.IntN(6) == 0,
		Declared: unit.Resources{CPU: unit.MilliCPU(500 * (1 + world.random.IntN(8))), Memory: unit.Mebibytes(1000 * (1 + world.random.IntN(8)))},
	}
	switch world.random.IntN(10) {
	case 0:
		spec.Kind = worker.Standing
	case 1:
		spec.Gang, spec.Count = true, 1+world.random.IntN(3)
	case 2:
		spec.Declared.Accelerators, spec.Count = 1, 1
	case 3:
		spec.Declared.CPU = 99_000 // fits on no worker
	case 4:
		spec.DataCentres = []ident.DataCentre{"gent"}
	}
	submission, err := job.Submission(spec, ident.Write("submit-"+string(name)))
	if err != nil {
		world.failf("submission: %v", err)
	}
	if _, err := world.table.commit(submission); err != nil {
		if !table.IsErrUnavailable(err) {
			world.failf("submission: %v", err)
		}
		return
	}
	world.jobs = append(world.jobs, name)
	row := world.table.rows[job.Key(name)]
	for _, home := range world.homes {
		home.handle(JobLoaded{Row: row})
	}
}

// fault lets something go wrong now and then.
func (world *world) fault() {
	agent := world.agents[world.random.IntN(len(world.agents))]
	switch world.random.IntN(300) {
	case 0: // the machine dies and is replaced
		world.kill(agent, clock.Millis(1000+world.random.IntN(40_000)))
	case 1: // the agent restarts beside its running tasks
		if !agent.dead() {
			agent.boot()
		}
	case 2: // the agent pauses, possibly past its lease
		agent.pauseUntil = world.now.Add(clock.Millis(world.random.IntN(45_000)))
	case 3: // the agent is cut off from everyone
		agent.cut = true
		world.after(clock.Millis(world.random.IntN(45_000)), func() { agent.cut = false })
	case 4: // a whole data centre is lost for a while
		for _, lost := range world.agents {
			if lost.centre == agent.centre {
				lost.cut = true
				world.after(35*clock.Second, func() { lost.cut = false })
			}
		}
	case 5, 6: // the table is out of service
		world.table.down = true
		world.after(clock.Millis(world.random.IntN(10_000)), func() { world.table.down = false })
	case 7, 8: // another entry believes to be home as well
		if len(world.homes) < 4 {
			world.addHome()
		}
	case 9: // a home crashes
		world.homes[world.random.IntN(len(world.homes))].alive = false
	case 10, 11, 12: // two operators race
		world.operate(agent.centre, "closed")
		world.operate(agent.centre, "open")
	case 13, 14: // a home hands jobs over and gets some back
		home := world.homes[world.random.IntN(len(world.homes))]
		for _, name := range world.jobs {
			home.handle(JobDropped{Job: name})
			if world.random.IntN(2) == 0 {
				home.handle(JobLoaded{Row: world.table.rows[job.Key(name)]})
			}
		}
	case 15: // an operator drains a worker for a while
		for _, home := range world.homes {
			home.handle(DrainWorker{Worker: agent.name, Drain: true, Bound: 5 * clock.Second})
			world.after(10*clock.Second, func() { home.handle(DrainWorker{Worker: agent.name}) })
		}
	case 16, 17: // tasks disturb others and are throttled and evicted
		for _, name := range sortedTasks(agent.tasks) {
			for _, home := range world.homes {
				home.handle(Relieve{Task: name, Epoch: agent.tasks[name].epoch, Percent: 50, Evict: world.random.IntN(2) == 0})
			}
		}
	case 18: // a worker is not heard of
		for _, home := range world.homes {
			home.handle(WorkerSilent{Worker: agent.name})
		}
	}
	alive := 0
	for _, home := range world.homes {
		if home.alive {
			alive++
		}
	}
	if alive == 0 || world.homes[len(world.homes)-1] == nil {
		world.homes = nil
		world.addHome()
	}
}

func (world *world) kill(agent *fakeAgent, down clock.Millis) {
	agent.deadUntil = world.now.Add(down)
	for _, name := range sortedTasks(agent.tasks) {
		delete(world.running, name)
		delete(agent.tasks, name)
	}
	clear(agent.ended)
}

// operate is an operator's compare-and-set of a data centre's row, and the news of it, which reach
// each home on their own.
func (world *world) operate(name ident.DataCentre, value string) {
	revision := world.table.rows[centreKey(name)].Revision
	world.after(clock.Millis(world.random.IntN(3000)), func() {
		if world.table.down || world.table.rows[centreKey(name)].Revision != revision {
			return // lost the race
		}
		world.table.put(centreKey(name), []byte(value))
		world.closedAt[name] = 0
		if value == "closed" {
			world.closedAt[name] = world.now
		}
		for _, home := range world.homes {
			world.after(clock.Millis(world.random.IntN(7000)), func() { home.configure(name) })
		}
	})
}

// settle ends all faults and checks that all work ends, except standing tasks, which must run, and
// jobs that fit nowhere, which must be parked with a reason.
func (world *world) settle() {
	world.calm = true
	world.loss = 0
	world.table.down = false
	world.homes = nil
	world.addHome()
	for _, agent := range world.agents {
		agent.cut, agent.pauseUntil = false, 0
		agent.deadUntil = min(agent.deadUntil, world.now)
	}
	for _, name := range centreNames {
		world.after(8*clock.Second, func() {
			world.table.put(centreKey(name), []byte("open"))
			world.closedAt[name] = 0
			for _, home := range world.homes {
				home.configure(name)
			}
		})
	}
	// Standing tasks may hold a team's whole quota, or the only data centre another job may use, for
	// ever, which is allowed (seed 719). One small standing job is left, which cannot.
	standing := false
	for _, name := range world.jobs {
		row, err := job.Decode(world.table.rows[job.Key(name)].Value)
		if err != nil {
			world.failf("row: %v", err)
		}
		if row.Spec.Kind != worker.Standing {
			continue
		}
		if standing || row.Spec.Declared.CPU*unit.MilliCPU(row.Spec.Count) > 4000 {
			world.homes[0].handle(Cancel{Job: name})
			continue
		}
		standing = true
	}
	left := ""
	for range 1200 {
		world.advance(500)
		world.endSome(0.2, 0)
		if left = world.unfinished(); left == "" {
			return
		}
	}
	world.failf("not settled: %s", left)
}

// unfinished names a task that should have ended or run, according to the table.
func (world *world) unfinished() string {
	for _, name := range world.jobs {
		row, err := job.Decode(world.table.rows[job.Key(name)].Value)
		if err != nil {
			world.failf("row: %v", err)
		}
		for index, task := range row.Tasks {
			running := world.running[ident.Task{Job: name, Index: index}] != nil
			switch {
			case task.State.Final():
				if running {
					world.failf("final task %s/%d runs: %+v", name, index, task)
				}
			case row.Spec.Kind == worker.Standing && task.State == job.Running && running:
			case row.Spec.Declared.CPU == 99_000 && task.State == job.Parked && task.Reason != "":
			default:
				explanation, _ := world.homes[len(world.homes)-1].scheduler.Explain(name)
				return fmt.Sprintf("%s/%d %+v running %t explained %q", name, index, task, running, explanation.Reason)
			}
		}
	}
	return ""
}
