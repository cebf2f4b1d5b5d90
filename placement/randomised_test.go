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

// TestRandomisedRuns guards the invariants I1 to I4 of fakeAgent.run, final cancellation, exact
// team usage and quotas, and the eventual end of all work. Faults are lost answers, late writes,
// conflicts, outages, crashes before and after a write, pauses longer than a lease, two homes of
// the same jobs, racing operators and the loss of a data centre.
func TestRandomisedRuns(t *testing.T) {
	count := *runs
	if testing.Short() {
		count = min(count, 100)
	}
	for shard := range 8 {
		t.Run(fmt.Sprintf("shard-%d", shard), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed + uint64(shard); seed < *firstSeed+uint64(count); seed += 8 {
				runScenario(t, seed)
			}
		})
	}
}

func runScenario(t *testing.T, seed uint64) {
	t.Helper()
	harness := newHarness(t, seed, 6)
	harness.lossRate = []float64{0, 0.02, 0.1}[harness.random.IntN(3)]
	for range 500 {
		harness.injectFault()
		harness.submitCancelAndEnd()
		harness.advance(clock.Millis(20 + harness.random.IntN(230)))
	}
	harness.checkAllWorkEnds()
}

// submitCancelAndEnd submits and cancels jobs and ends tasks at random.
func (harness *harness) submitCancelAndEnd() {
	if harness.random.IntN(12) == 0 && len(harness.jobs) < 40 {
		harness.submit()
	}
	if harness.random.IntN(60) == 0 && len(harness.jobs) > 0 {
		name := harness.jobs[harness.random.IntN(len(harness.jobs))]
		for _, entry := range harness.entries {
			entry.handle(Cancel{Job: name})
		}
	}
	harness.endTasks(0.01, 0.002)
}

// endTasks ends each running task with the given probabilities of finishing and failing.
func (harness *harness) endTasks(finish, fail float64) {
	for _, name := range sortedTasks(harness.running) {
		agent := harness.running[name]
		if agent == nil {
			continue
		}
		_, row := harness.table.task(name)
		switch draw := harness.random.Float64(); {
		case draw < finish && row.Spec.Kind == worker.Batch:
			agent.endTask(name, worker.Finished)
		case draw > 1-fail:
			agent.endTask(name, worker.Failed)
		}
	}
}

// submit submits a random job to the table and loads it at all entries.
func (harness *harness) submit() {
	name := ident.Job(fmt.Sprintf("job-%03d", len(harness.jobs)))
	spec := job.Spec{
		Job: name, Team: ident.Team([]string{"a", "b", "c"}[harness.random.IntN(3)]), Kind: worker.Batch, Region: "flanders",
		Count: 1 + harness.random.IntN(8), Priority: harness.random.IntN(10), Urgent: harness.random.IntN(6) == 0,
		Declared: unit.Resources{CPU: unit.MilliCPU(500 * (1 + harness.random.IntN(8))), Memory: unit.Mebibytes(1000 * (1 + harness.random.IntN(8)))},
	}
	switch harness.random.IntN(10) {
	case 0:
		spec.Kind = worker.Standing
	case 1:
		spec.Gang, spec.Count = true, 1+harness.random.IntN(3)
	case 2:
		spec.Declared.Accelerators, spec.Count = 1, 1
	case 3:
		spec.Declared.CPU = 99_000 // fits on no worker
	case 4:
		spec.DataCentres = []ident.DataCentre{"gent"}
	}
	submission, err := job.Submission(spec, ident.Write("submit-"+string(name)))
	if err != nil {
		harness.failf("submission: %v", err)
	}
	if _, err := harness.table.commit(submission); err != nil {
		if !table.IsErrUnavailable(err) {
			harness.failf("submission: %v", err)
		}
		return
	}
	harness.jobs = append(harness.jobs, name)
	row := harness.table.rows[job.Key(name)]
	for _, entry := range harness.entries {
		entry.handle(JobLoaded{Row: row})
	}
}

// injectFault brings about a random fault from time to time, and makes sure that an entry is alive.
func (harness *harness) injectFault() {
	agent := harness.agents[harness.random.IntN(len(harness.agents))]
	switch harness.random.IntN(300) {
	case 0: // the machine dies and is replaced
		harness.kill(agent, clock.Millis(1000+harness.random.IntN(40_000)))
	case 1: // the agent restarts while its tasks keep running
		if !agent.dead() {
			agent.restart()
		}
	case 2: // the agent pauses, possibly past its lease
		agent.pauseUntil = harness.now.Add(clock.Millis(harness.random.IntN(45_000)))
	case 3: // the agent is isolated from all entries
		agent.isolated = true
		harness.after(clock.Millis(harness.random.IntN(45_000)), func() { agent.isolated = false })
	case 4: // a whole data centre is lost for a while
		for _, other := range harness.agents {
			if other.dataCentre == agent.dataCentre {
				other.isolated = true
				harness.after(35*clock.Second, func() { other.isolated = false })
			}
		}
	case 5, 6: // the table is unavailable
		harness.table.down = true
		harness.after(clock.Millis(harness.random.IntN(10_000)), func() { harness.table.down = false })
	case 7, 8: // another entry acts as home as well
		if len(harness.entries) < 4 {
			harness.addEntry()
		}
	case 9: // an entry crashes
		harness.entries[harness.random.IntN(len(harness.entries))].alive = false
	case 10, 11, 12: // two operators race
		harness.setDataCentre(agent.dataCentre, "closed")
		harness.setDataCentre(agent.dataCentre, "open")
	case 13, 14: // an entry hands all jobs over and gets some back
		entry := harness.entries[harness.random.IntN(len(harness.entries))]
		for _, name := range harness.jobs {
			entry.handle(JobRemoved{Job: name})
			if harness.random.IntN(2) == 0 {
				entry.handle(JobLoaded{Row: harness.table.rows[job.Key(name)]})
			}
		}
	case 15: // an operator drains a worker for a while
		for _, entry := range harness.entries {
			entry.handle(DrainWorker{Worker: agent.name, Drain: true, Bound: 5 * clock.Second})
			harness.after(10*clock.Second, func() { entry.handle(DrainWorker{Worker: agent.name}) })
		}
	case 16, 17: // tasks interfere with others and are throttled or evicted
		for _, name := range sortedTasks(agent.tasks) {
			for _, entry := range harness.entries {
				entry.handle(ReduceInterference{Task: name, Epoch: agent.tasks[name].epoch, Percent: 50, Evict: harness.random.IntN(2) == 0})
			}
		}
	case 18: // a worker sends nothing for some time
		for _, entry := range harness.entries {
			entry.handle(WorkerUnresponsive{Worker: agent.name})
		}
	}
	alive := 0
	for _, entry := range harness.entries {
		if entry.alive {
			alive++
		}
	}
	if alive == 0 || harness.entries[len(harness.entries)-1] == nil {
		harness.entries = nil
		harness.addEntry()
	}
}

// kill takes a machine down with all its tasks and their records.
func (harness *harness) kill(agent *fakeAgent, down clock.Millis) {
	agent.deadUntil = harness.now.Add(down)
	for _, name := range sortedTasks(agent.tasks) {
		delete(harness.running, name)
		delete(agent.tasks, name)
	}
	clear(agent.ended)
}

// setDataCentre writes a data centre's row as an operator does, unless another operator has written
// it meanwhile. Each entry receives the new row with its own delay.
func (harness *harness) setDataCentre(name ident.DataCentre, value string) {
	revision := harness.table.rows[centreKey(name)].Revision
	harness.after(clock.Millis(harness.random.IntN(3000)), func() {
		if harness.table.down || harness.table.rows[centreKey(name)].Revision != revision {
			return // lost the race
		}
		harness.table.put(centreKey(name), []byte(value))
		harness.closedAt[name] = 0
		if value == "closed" {
			harness.closedAt[name] = harness.now
		}
		for _, entry := range harness.entries {
			harness.after(clock.Millis(harness.random.IntN(7000)), func() { entry.configure(name) })
		}
	})
}

// checkAllWorkEnds ends all faults and checks that all work ends. Exceptions are standing tasks,
// which must run, and jobs that fit on no worker, which must be parked with a reason.
func (harness *harness) checkAllWorkEnds() {
	harness.faultsOver = true
	harness.lossRate = 0
	harness.table.down = false
	harness.entries = nil
	harness.addEntry()
	for _, agent := range harness.agents {
		agent.isolated, agent.pauseUntil = false, 0
		agent.deadUntil = min(agent.deadUntil, harness.now)
	}
	for _, name := range centreNames {
		harness.after(8*clock.Second, func() {
			harness.table.put(centreKey(name), []byte("open"))
			harness.closedAt[name] = 0
			for _, entry := range harness.entries {
				entry.configure(name)
			}
		})
	}
	// Standing tasks may occupy a team's whole quota, or the only data centre that another job may
	// use, for ever, which is allowed (seed 719). One small standing job is kept, which cannot.
	standingKept := false
	for _, name := range harness.jobs {
		row, err := job.Decode(harness.table.rows[job.Key(name)].Value)
		if err != nil {
			harness.failf("row: %v", err)
		}
		if row.Spec.Kind != worker.Standing {
			continue
		}
		if standingKept || row.Spec.Declared.CPU*unit.MilliCPU(row.Spec.Count) > 4000 {
			harness.entries[0].handle(Cancel{Job: name})
			continue
		}
		standingKept = true
	}
	unfinished := ""
	for range 1200 {
		harness.advance(500)
		harness.endTasks(0.2, 0)
		if unfinished = harness.unfinished(); unfinished == "" {
			return
		}
	}
	harness.failf("work did not end: %s", unfinished)
}

// unfinished describes a task that should have ended or should run, according to the table, or
// returns "" if there is none.
func (harness *harness) unfinished() string {
	for _, name := range harness.jobs {
		row, err := job.Decode(harness.table.rows[job.Key(name)].Value)
		if err != nil {
			harness.failf("row: %v", err)
		}
		for index, task := range row.Tasks {
			running := harness.running[ident.Task{Job: name, Index: index}] != nil
			switch {
			case task.State.Final():
				if running {
					harness.failf("final task %s/%d runs: %+v", name, index, task)
				}
			case row.Spec.Kind == worker.Standing && task.State == job.Running && running:
			case row.Spec.Declared.CPU == 99_000 && task.State == job.Parked && task.Reason != "":
			default:
				explanation, _ := harness.entries[len(harness.entries)-1].scheduler.Explain(name)
				return fmt.Sprintf("%s/%d %+v running %t explained %q", name, index, task, running, explanation.Reason)
			}
		}
	}
	return ""
}
