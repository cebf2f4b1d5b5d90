package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/mechanism"
	"hyssopjunction/set"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// randomCluster is a simulated cluster for random events: jobs with all features, ends of all kinds, workers
// that drain, are lost, lapse, restart, are silent or make no progress, data centres that are out, cancellations and
// changes of leader.
type randomCluster struct {
	scheduler *Scheduler
	now       clock.Time
	// running holds the runs on each worker that follow from the orders.
	running            map[Incarnation]map[workflow.Name]workflow.Run
	steps              map[workflow.Name]workflow.Step
	incarnationNumbers map[string]int
	jobs               []workflow.ID
	finished           map[workflow.Name]bool
	failures           map[workflow.Name]int
	// highestRun holds the highest number of a run of each task, and copies counts the starts of second runs.
	highestRun map[workflow.Name]workflow.Run
	copies     int
	// speculative makes all steps permit copies, also those of gangs, standing and filling tasks, and most of them get some.
	speculative bool
	// disabled holds the mechanisms that are switched off.
	disabled set.Set[mechanism.Name]
}

const nodeCount = 4

func newRandomCluster() *randomCluster {
	cluster := &randomCluster{
		scheduler: New(), now: clock.Time(clock.Minute), running: map[Incarnation]map[workflow.Name]workflow.Run{},
		steps: map[workflow.Name]workflow.Step{}, incarnationNumbers: map[string]int{}, finished: map[workflow.Name]bool{}, failures: map[workflow.Name]int{}, highestRun: map[workflow.Name]workflow.Run{},
	}
	for number := range nodeCount {
		cluster.startWorker(number)
	}
	return cluster
}

func (cluster *randomCluster) nodeName(number int) string { return fmt.Sprintf("node-%d", number) }

func (cluster *randomCluster) incarnation(number int) Incarnation {
	return Incarnation(fmt.Sprintf("i@%d@%s", cluster.incarnationNumbers[cluster.nodeName(number)], cluster.nodeName(number)))
}

func (cluster *randomCluster) profile(number int, draining bool) Profile {
	return Profile{
		Incarnation: cluster.incarnation(number), Node: cluster.nodeName(number), Service: testService, DataCentre: ident.DataCentre(fmt.Sprint("dc-", number%2)),
		Labels: []string{fmt.Sprint("r", number/2)}, Capacity: unit.Resources{CPU: 4000, Memory: 8000}, Draining: draining,
	}
}

// startWorker starts a new incarnation of a node's worker. The runs of the former one are lost.
func (cluster *randomCluster) startWorker(number int) {
	for _, earlier := range cluster.scheduler.OtherIncarnations(cluster.nodeName(number), "") {
		lostRuns := cluster.running[earlier]
		delete(cluster.running, earlier)
		cluster.scheduler.RemoveWorker(earlier)
		cluster.breakGangs(lostRuns)
	}
	cluster.incarnationNumbers[cluster.nodeName(number)]++
	cluster.running[cluster.incarnation(number)] = map[workflow.Name]workflow.Run{}
	cluster.scheduler.UpdateWorker(cluster.profile(number, false), cluster.now)
	cluster.scheduler.SetReachable(cluster.incarnation(number), true)
}

func (cluster *randomCluster) submit(t *rapid.T) {
	id := workflow.ID(fmt.Sprintf("%016x", len(cluster.jobs)))
	spec := workflow.Spec{ID: id, Service: testService, Policy: workflow.Policy{MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Slack: 2}}
	if cluster.speculative {
		spec.Policy.MaxAttempts++
	}
	for number := range rapid.IntRange(1, 3).Draw(t, "steps") {
		step := workflow.Step{
			Count: rapid.IntRange(1, 4).Draw(t, "count"), Estimate: clock.Second,
			Need:      unit.Resources{CPU: unit.MilliCPU(rapid.IntRange(1, 30).Draw(t, "cpu") * 100), Memory: unit.Mebibytes(rapid.IntRange(1, 30).Draw(t, "memory") * 100)},
			PerWorker: rapid.IntRange(0, 2).Draw(t, "per worker"), Gang: rapid.IntRange(0, 4).Draw(t, "gang") == 0,
			Fills: rapid.Bool().Draw(t, "fills"), Checkpoints: rapid.Bool().Draw(t, "checkpoints"), Copies: rapid.Bool().Draw(t, "copies"),
			DataRack: rapid.SampledFrom([]string{"", "r0", "r1", "missing"}).Draw(t, "data rack"),
		}
		if cluster.speculative {
			step.Copies, step.Gang, step.Fills = true, step.Gang && step.Fills, step.Fills && !step.Checkpoints
			step.Need = unit.Resources{CPU: step.Need.CPU / 4, Memory: step.Need.Memory / 4}
		}
		step.Standing = !step.Gang && !step.Fills && rapid.IntRange(0, 4).Draw(t, "standing") == 0
		if step.Standing {
			step.Target, step.Image = 100, "serving"
		}
		if number > 0 && rapid.Bool().Draw(t, "after") {
			step.After = []int{number - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	cluster.jobs = append(cluster.jobs, id)
	cluster.scheduler.Submit(spec, cluster.now)
}

// advance moves the clock, plans, and checks and applies the orders.
func (cluster *randomCluster) advance(t *rapid.T, draining, out set.Set[string]) {
	cluster.now = cluster.now.Add(clock.Millis(rapid.IntRange(1, 3000).Draw(t, "passes")))
	cluster.scheduler.copies.budget.RecordRun(1<<50, cluster.now) // The budget is tested in its package.
	cluster.scheduler.Plan(cluster.now, int64(cluster.now))
	_, orders := cluster.scheduler.TakeChanges()
	for _, order := range orders {
		workerRuns := cluster.running[order.Worker]
		if order.Stop {
			continue // The worker ends it later, see endRun.
		}
		if workerRuns == nil {
			t.Fatalf("start of %s on %s, which is gone", order.Name, order.Worker)
		}
		cluster.checkOtherRuns(t, order)
		worker := cluster.scheduler.workers[order.Worker]
		if draining.Has(string(order.Worker)) || out.Has(string(worker.DataCentre)) {
			t.Fatalf("start of %s on %s, which is draining or in a data centre that is out", order.Name, order.Worker)
		}
		if cluster.finished[order.Name] {
			t.Fatalf("start of %s, which is done", order.Name)
		}
		step := order.Job.Spec.Steps[order.Name.Step]
		if !step.Standing && cluster.failures[order.Name] >= order.Job.Spec.Policy.MaxAttempts {
			t.Fatalf("start of %s after %d failures", order.Name, cluster.failures[order.Name])
		}
		for _, earlier := range step.After {
			for index := range order.Job.Spec.Steps[earlier].Count {
				if !cluster.finished[workflow.Name{Job: order.Name.Job, Step: earlier, Index: index}] {
					t.Fatalf("start of %s before step %d is done", order.Name, earlier)
				}
			}
		}
		cluster.applyStart(order)
	}
	cluster.checkPlacement(t)
	cluster.checkKnownRuns(t)
}

// checkOtherRuns fails the test if the order starts a run beside more other runs of the task than are allowed, on the
// worker of one, or with a number that was given before.
func (cluster *randomCluster) checkOtherRuns(t *rapid.T, order Order) {
	others := 0
	for worker, runs := range cluster.running {
		run, ok := runs[order.Name]
		if !ok {
			continue
		}
		others++
		step := order.Job.Spec.Steps[order.Name.Step]
		if worker == order.Worker || others > 1 || !step.Copies || step.Gang || step.Standing || step.Fills {
			t.Fatalf("start of %s run %d on %s while run %d is on %s, beside %d others", order.Name, order.Run, order.Worker, run, worker, others)
		}
	}
	cluster.copies += others
	if highest := cluster.highestRun[order.Name]; order.Run <= highest {
		t.Fatalf("start of %s run %d after run %d", order.Name, order.Run, highest)
	}
}

// applyStart records a run that follows from an order.
func (cluster *randomCluster) applyStart(order Order) {
	cluster.running[order.Worker][order.Name] = order.Run
	cluster.highestRun[order.Name] = order.Run
	cluster.steps[order.Name] = order.Job.Spec.Steps[order.Name.Step]
}

// checkKnownRuns fails the test unless the scheduler has every run, and stops those of tasks that are done.
func (cluster *randomCluster) checkKnownRuns(t *rapid.T) {
	for worker, runs := range cluster.running {
		for name, number := range runs {
			run, ok := cluster.scheduler.workers[worker].runs[name]
			if !ok || run.number != number {
				t.Fatalf("the scheduler does not have run %d of %s on %s", number, name, worker)
			}
			if cluster.finished[name] && !run.stopping && !cluster.steps[name].Gang {
				t.Fatalf("run %d of %s on %s is not stopped although the task is done", number, name, worker)
			}
		}
	}
}

// reportProgress reports progress of a random part of all runs on reachable workers.
func (cluster *randomCluster) reportProgress(t *rapid.T) {
	percent := rapid.IntRange(0, 100).Draw(t, "percent")
	for number := range nodeCount {
		worker := cluster.incarnation(number)
		var progress []Progress
		for name, run := range cluster.running[worker] {
			progress = append(progress, Progress{Name: name, Run: run, Percent: percent * name.Index % 101})
		}
		cluster.scheduler.RecordProgress(worker, progress, cluster.now)
	}
}

// checkRunsOfJobs fails the test if a job's index of its active runs lacks a run or has one that ended.
func (cluster *randomCluster) checkRunsOfJobs(t *rapid.T) {
	for id, record := range cluster.scheduler.jobs {
		if record.runs.Len() != record.activeRuns {
			t.Fatalf("job %s has %d active runs, %d of them are indexed", id, record.activeRuns, record.runs.Len())
		}
	}
	for incarnation, worker := range cluster.scheduler.workers {
		for name, run := range worker.runs {
			if record, ok := cluster.scheduler.jobs[name.Job]; ok && !record.runs.Has(run) {
				t.Fatalf("run %d of %s on %s is not indexed", run.number, name, incarnation)
			}
		}
	}
}

// checkPlacement fails the test if a worker exceeds its capacity or the limit of tasks per worker, or if the
// active members of a gang belong to different runs.
func (cluster *randomCluster) checkPlacement(t *rapid.T) {
	cluster.checkRunsOfJobs(t)
	for worker, runs := range cluster.running {
		var reserved unit.Resources
		stepCounts := map[string]int{}
		for name := range runs {
			step := cluster.steps[name]
			reserved = reserved.Add(step.Reserved())
			key := fmt.Sprint(name.Job, name.Step)
			stepCounts[key]++
			if step.PerWorker > 0 && stepCounts[key] > step.PerWorker {
				t.Fatalf("%d tasks of %s on %s, at most %d are allowed", stepCounts[key], key, worker, step.PerWorker)
			}
		}
		if !reserved.FitsIn(unit.Resources{CPU: 4000, Memory: 8000}) {
			t.Fatalf("%s has %v reserved, more than its capacity", worker, reserved)
		}
	}
	for _, record := range cluster.scheduler.open {
		for _, occurrence := range record.job.Occurrences {
			for position, step := range record.job.Spec.Steps {
				runs := map[workflow.Run]bool{}
				for _, task := range occurrence.Steps[position] {
					if step.Gang && task.Phase == workflow.Active {
						runs[task.Run] = true
					}
				}
				if len(runs) > 1 {
					t.Fatalf("gang %s.%d has members of runs %v", record.job.Spec.ID, position, runs)
				}
			}
		}
	}
}

// reportThrottled reports the runs of a worker, filling ones as paused, so that the scheduler moves some.
func (cluster *randomCluster) reportThrottled(t *rapid.T) {
	worker := cluster.incarnation(rapid.IntRange(0, nodeCount-1).Draw(t, "throttled"))
	var progress []Progress
	for _, run := range sortedRuns(cluster.scheduler.workers[worker]) {
		if number, ok := cluster.running[worker][run.name]; ok {
			item := Progress{Name: run.name, Run: number, Percent: rapid.IntRange(min(run.progressPercent, 99), 99).Draw(t, "percent"), Sample: 50}
			if run.step.Fills {
				item.ThrottlePercent = 100
			}
			if run.step.Checkpoints {
				item.Saved = workflow.Checkpoint(fmt.Sprint("at-", item.Percent))
			}
			progress = append(progress, item)
		}
	}
	cluster.scheduler.RecordProgress(worker, progress, cluster.now)
}

// endRun reports the end of a random run of a random worker.
func (cluster *randomCluster) endRun(t *rapid.T) {
	number := rapid.IntRange(0, nodeCount-1).Draw(t, "node")
	worker := cluster.incarnation(number)
	var names []workflow.Name
	for _, run := range sortedRuns(cluster.scheduler.workers[worker]) {
		if _, ok := cluster.running[worker][run.name]; ok {
			names = append(names, run.name)
		}
	}
	if len(names) == 0 {
		return
	}
	name := rapid.SampledFrom(names).Draw(t, "task")
	cause := rapid.SampledFrom([]workflow.Cause{workflow.Finished, workflow.Finished, workflow.Faulted, workflow.Interrupted}).Draw(t, "cause")
	step := cluster.steps[name]
	if step.Gang {
		cluster.endGang(name, cause)
		return
	}
	cluster.reportEnd(worker, name, cause)
}

// endGang reports the end of all members of a gang: all finished, or the named one with the cause and the
// others as interrupted.
func (cluster *randomCluster) endGang(name workflow.Name, cause workflow.Cause) {
	for worker, runs := range cluster.running {
		for other := range runs {
			if other.Job != name.Job || other.Step != name.Step {
				continue
			}
			if cause == workflow.Finished || other == name {
				cluster.reportEnd(worker, other, cause)
			} else {
				cluster.reportEnd(worker, other, workflow.Interrupted)
			}
		}
	}
}

// breakGangs reports the end of the remaining members of gangs that lost members with a worker.
func (cluster *randomCluster) breakGangs(lostRuns map[workflow.Name]workflow.Run) {
	for name := range lostRuns {
		if cluster.steps[name].Gang {
			cluster.endGang(name, workflow.Interrupted)
		}
	}
}

func (cluster *randomCluster) reportEnd(worker Incarnation, name workflow.Name, cause workflow.Cause) {
	run := cluster.running[worker][name]
	delete(cluster.running[worker], name)
	switch {
	case cause == workflow.Finished && !cluster.steps[name].Standing:
		cluster.finished[name] = true
	case cause == workflow.Faulted:
		cluster.failures[name]++
	}
	cluster.scheduler.RecordEnd(worker, End{Name: name, Run: run, Cause: cause}, cluster.now)
}

// changeLeader replaces the scheduler as a new leader does: it restores the stored jobs while the workers
// keep their runs.
func (cluster *randomCluster) changeLeader(t *rapid.T, draining set.Set[string]) {
	cluster.scheduler.Plan(cluster.now, int64(cluster.now))
	_, orders := cluster.scheduler.TakeChanges()
	for _, order := range orders {
		if !order.Stop { // The job is stored, so the new leader repeats the order if it was not sent.
			cluster.checkOtherRuns(t, order)
			cluster.applyStart(order)
		}
	}
	next := New()
	next.Disable(cluster.disabled)
	for _, id := range cluster.jobs {
		job := cluster.scheduler.jobs[id].job
		data, err := workflow.EncodeState(job)
		if err != nil {
			t.Fatal(err)
		}
		restored, err := workflow.Restore(job.Spec, data)
		if err != nil {
			t.Fatal(err)
		}
		next.Restore(restored, cluster.now)
	}
	cluster.scheduler = next
	for number := range nodeCount {
		incarnation := cluster.incarnation(number)
		next.UpdateWorker(cluster.profile(number, draining.Has(string(incarnation))), cluster.now)
		next.SetReachable(incarnation, true)
		var progress []Progress
		for name, run := range cluster.running[incarnation] {
			progress = append(progress, Progress{Name: name, Run: run})
		}
		next.RecordProgress(incarnation, progress, cluster.now)
	}
}

// TestRandomCluster guards against wrong starts under any order of events, also across changes of leader: a
// second run of a task whose step has no copies, a third run of any task, two runs of a task on one worker, a number that
// was given before, runs that the scheduler loses or does not stop, a start after the task finished, before the steps it depends on, after its last
// attempt, beyond a worker's capacity or limit of tasks, on a draining worker or in a data centre that is out,
// and a partly started gang.
func TestRandomCluster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playRandomCluster(t, newRandomCluster()) })
}

// TestRandomClusterWithCopies guards against the same faults where most tasks may have two runs.
func TestRandomClusterWithCopies(t *testing.T) {
	copies := 0
	rapid.Check(t, func(t *rapid.T) {
		cluster := newRandomCluster()
		cluster.speculative = true
		playRandomCluster(t, cluster)
		copies += cluster.copies
	})
	if copies == 0 {
		t.Error("no task got a copy")
	}
}

// TestRandomClusterWithoutMechanisms guards against the same faults where some mechanisms are switched off: none of them may hold
// a promise to callers.
func TestRandomClusterWithoutMechanisms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newRandomCluster()
		cluster.disabled = set.New(rapid.SliceOfDistinct(rapid.SampledFrom(mechanism.All()), rapid.ID).Draw(t, "disabled")...)
		cluster.scheduler.Disable(cluster.disabled)
		playRandomCluster(t, cluster)
	})
}

// playRandomCluster plays random events.
func playRandomCluster(t *rapid.T, cluster *randomCluster) {
	draining, out := set.New[string](), set.New[string]()
	for range rapid.IntRange(5, 60).Draw(t, "events") {
		switch rapid.IntRange(0, 13).Draw(t, "event") {
		case 0, 1:
			cluster.submit(t)
		case 2, 3, 4:
			cluster.endRun(t)
		case 5:
			number := rapid.IntRange(0, nodeCount-1).Draw(t, "crashed")
			draining.Remove(string(cluster.incarnation(number)))
			cluster.startWorker(number)
		case 6:
			number := rapid.IntRange(0, nodeCount-1).Draw(t, "drained")
			draining.Add(string(cluster.incarnation(number)))
			cluster.scheduler.UpdateWorker(cluster.profile(number, true), cluster.now)
		case 7:
			worker := cluster.incarnation(rapid.IntRange(0, nodeCount-1).Draw(t, "lapsed"))
			lostRuns := cluster.running[worker]
			cluster.running[worker] = map[workflow.Name]workflow.Run{}
			cluster.scheduler.RecordLeaseLapse(worker)
			cluster.breakGangs(lostRuns)
			cluster.scheduler.SetReachable(worker, true)
		case 8:
			if len(cluster.jobs) > 0 && rapid.Bool().Draw(t, "cancel") {
				cluster.scheduler.Cancel(rapid.SampledFrom(cluster.jobs).Draw(t, "job"))
			} else {
				centres := set.New[ident.DataCentre]()
				out = set.New[string]()
				if rapid.Bool().Draw(t, "out") {
					centres.Add("dc-0")
					out.Add("dc-0")
				}
				cluster.scheduler.SetOut(centres)
			}
		case 9:
			cluster.changeLeader(t, draining)
			out = set.New[string]()
		case 10:
			cluster.reportProgress(t)
		case 11:
			worker := cluster.incarnation(rapid.IntRange(0, nodeCount-1).Draw(t, "silent"))
			cluster.scheduler.SetOverdue(worker, rapid.Bool().Draw(t, "overdue"))
			cluster.scheduler.SetReachable(worker, rapid.Bool().Draw(t, "reachable"))
		case 12, 13:
			cluster.reportThrottled(t)
		}
		cluster.advance(t, draining, out)
	}
}
