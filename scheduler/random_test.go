package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// machine is a cluster under random events: jobs with all features, ends of all kinds, workers that
// drain, are lost, lapse and live again, data centres that go out, cancellations and new leaders.
type machine struct {
	book *Scheduler
	now  clock.Time
	// running holds what workers run by the orders that were sent.
	running map[Incarnation]map[workflow.Name]workflow.Run
	needs   map[workflow.Name]workflow.Step
	lives   map[string]int
	jobs    []workflow.ID
	done    map[workflow.Name]bool
	failed  map[workflow.Name]int
}

const nodes = 4

func newMachine() *machine {
	m := &machine{
		book: New(), now: clock.Time(clock.Minute), running: map[Incarnation]map[workflow.Name]workflow.Run{},
		needs: map[workflow.Name]workflow.Step{}, lives: map[string]int{}, done: map[workflow.Name]bool{}, failed: map[workflow.Name]int{},
	}
	for number := range nodes {
		m.live(number)
	}
	return m
}

func (m *machine) node(number int) string { return fmt.Sprintf("node-%d", number) }

func (m *machine) incarnation(number int) Incarnation {
	return Incarnation(fmt.Sprintf("i@%d@%s", m.lives[m.node(number)], m.node(number)))
}

func (m *machine) profile(number int, draining bool) Profile {
	return Profile{
		Incarnation: m.incarnation(number), Node: m.node(number), Service: testService, DataCentre: ident.DataCentre(fmt.Sprint("dc-", number%2)),
		Labels: []string{"r1"}, Capacity: unit.Resources{CPU: 4000, Memory: 8000}, Draining: draining,
	}
}

// live starts a new life of a node's worker. What ran on the former one is gone.
func (m *machine) live(number int) {
	for _, earlier := range m.book.OtherIncarnations(m.node(number), "") {
		gone := m.running[earlier]
		delete(m.running, earlier)
		m.book.Lost(earlier)
		m.breakGangs(gone)
	}
	m.lives[m.node(number)]++
	m.running[m.incarnation(number)] = map[workflow.Name]workflow.Run{}
	m.book.Update(m.profile(number, false), m.now)
	m.book.SetReachable(m.incarnation(number), true)
}

func (m *machine) submit(t *rapid.T) {
	id := workflow.ID(fmt.Sprintf("%016x", len(m.jobs)))
	spec := workflow.Spec{ID: id, Service: testService, Policy: workflow.Policy{MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Slack: 2}}
	for number := range rapid.IntRange(1, 3).Draw(t, "steps") {
		step := workflow.Step{
			Count: rapid.IntRange(1, 4).Draw(t, "count"), Estimate: clock.Second,
			Need:      unit.Resources{CPU: unit.MilliCPU(rapid.IntRange(1, 30).Draw(t, "cpu") * 100), Memory: unit.Mebibytes(rapid.IntRange(1, 30).Draw(t, "memory") * 100)},
			PerWorker: rapid.IntRange(0, 2).Draw(t, "per worker"), Gang: rapid.IntRange(0, 4).Draw(t, "gang") == 0,
			Fills: rapid.Bool().Draw(t, "fills"), Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
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
	m.jobs = append(m.jobs, id)
	m.book.Submit(spec, m.now)
}

// pass lets time pass, plans, and carries out the orders while it checks them.
func (m *machine) pass(t *rapid.T, draining, out set.Set[string]) {
	m.now = m.now.Add(clock.Millis(rapid.IntRange(1, 3000).Draw(t, "passes")))
	m.book.Plan(m.now, int64(m.now))
	_, orders := m.book.TakeChanges()
	for _, order := range orders {
		there := m.running[order.Worker]
		if order.Stop {
			continue // The worker ends it later, see end.
		}
		if there == nil {
			t.Fatalf("start of %s on %s, which is gone", order.Name, order.Worker)
		}
		for worker, runs := range m.running {
			if run, ok := runs[order.Name]; ok {
				t.Fatalf("start of %s run %d on %s while run %d is on %s", order.Name, order.Run, order.Worker, run, worker)
			}
		}
		target := m.book.workers[order.Worker]
		if draining.Has(string(order.Worker)) || out.Has(string(target.DataCentre)) {
			t.Fatalf("start of %s on %s, which is leaving or out", order.Name, order.Worker)
		}
		if m.done[order.Name] {
			t.Fatalf("start of %s, which is done", order.Name)
		}
		step := order.Job.Spec.Steps[order.Name.Step]
		if !step.Standing && m.failed[order.Name] >= order.Job.Spec.Policy.MaxAttempts {
			t.Fatalf("start of %s after %d failures", order.Name, m.failed[order.Name])
		}
		for _, earlier := range step.After {
			for index := range order.Job.Spec.Steps[earlier].Count {
				if !m.done[workflow.Name{Job: order.Name.Job, Step: earlier, Index: index}] {
					t.Fatalf("start of %s before step %d is done", order.Name, earlier)
				}
			}
		}
		there[order.Name] = order.Run
		m.needs[order.Name] = step
	}
	m.check(t)
}

// check wants no worker overfilled and no gang half placed.
func (m *machine) check(t *rapid.T) {
	for worker, runs := range m.running {
		var reserved unit.Resources
		spread := map[string]int{}
		for name := range runs {
			step := m.needs[name]
			reserved = reserved.Add(step.Reserved())
			key := fmt.Sprint(name.Job, name.Step)
			spread[key]++
			if step.PerWorker > 0 && spread[key] > step.PerWorker {
				t.Fatalf("%d tasks of %s on %s, at most %d are allowed", spread[key], key, worker, step.PerWorker)
			}
		}
		if !reserved.FitsIn(unit.Resources{CPU: 4000, Memory: 8000}) {
			t.Fatalf("%s holds %v", worker, reserved)
		}
	}
	for _, found := range m.book.open {
		for _, occurrence := range found.job.Occurrences {
			for position, step := range found.job.Spec.Steps {
				runs := map[workflow.Run]bool{}
				for _, task := range occurrence.Steps[position] {
					if step.Gang && task.Phase == workflow.Active {
						runs[task.Run] = true
					}
				}
				if len(runs) > 1 {
					t.Fatalf("gang %s.%d has members of runs %v", found.job.Spec.ID, position, runs)
				}
			}
		}
	}
}

// end lets a worker list the end of one of its runs.
func (m *machine) end(t *rapid.T) {
	number := rapid.IntRange(0, nodes-1).Draw(t, "node")
	worker := m.incarnation(number)
	var names []workflow.Name
	for _, active := range sortedRuns(m.book.workers[worker]) {
		if _, ok := m.running[worker][active.name]; ok {
			names = append(names, active.name)
		}
	}
	if len(names) == 0 {
		return
	}
	name := rapid.SampledFrom(names).Draw(t, "task")
	cause := rapid.SampledFrom([]workflow.Cause{workflow.Finished, workflow.Finished, workflow.Faulted, workflow.Interrupted}).Draw(t, "cause")
	step := m.needs[name]
	if step.Gang {
		m.endGang(name, cause)
		return
	}
	m.finish(worker, name, cause)
}

// endGang ends all members of a gang: as done together, or broken with the one that ended otherwise.
func (m *machine) endGang(name workflow.Name, cause workflow.Cause) {
	for worker, runs := range m.running {
		for other := range runs {
			if other.Job != name.Job || other.Step != name.Step {
				continue
			}
			if cause == workflow.Finished || other == name {
				m.finish(worker, other, cause)
			} else {
				m.finish(worker, other, workflow.Interrupted)
			}
		}
	}
}

// breakGangs ends the members of gangs that lost some with a worker, as workers do.
func (m *machine) breakGangs(gone map[workflow.Name]workflow.Run) {
	for name := range gone {
		if m.needs[name].Gang {
			m.endGang(name, workflow.Interrupted)
		}
	}
}

func (m *machine) finish(worker Incarnation, name workflow.Name, cause workflow.Cause) {
	run := m.running[worker][name]
	delete(m.running[worker], name)
	switch {
	case cause == workflow.Finished && !m.needs[name].Standing:
		m.done[name] = true
	case cause == workflow.Faulted:
		m.failed[name]++
	}
	m.book.Ended(worker, End{Name: name, Run: run, Cause: cause}, m.now)
}

// succeed replaces the book as a new leader does: from the stored jobs, while all workers go on.
func (m *machine) succeed(t *rapid.T, draining set.Set[string]) {
	m.book.Plan(m.now, int64(m.now))
	_, orders := m.book.TakeChanges()
	for _, order := range orders {
		if !order.Stop { // Stored, and sent or not: the new leader sends it again.
			m.running[order.Worker][order.Name] = order.Run
			m.needs[order.Name] = order.Job.Spec.Steps[order.Name.Step]
		}
	}
	next := New()
	for _, id := range m.jobs {
		job := m.book.jobs[id].job
		data, err := workflow.EncodeState(job)
		if err != nil {
			t.Fatal(err)
		}
		restored, err := workflow.Restore(job.Spec, data)
		if err != nil {
			t.Fatal(err)
		}
		next.Restore(restored, m.now)
	}
	m.book = next
	for number := range nodes {
		incarnation := m.incarnation(number)
		next.Update(m.profile(number, draining.Has(string(incarnation))), m.now)
		next.SetReachable(incarnation, true)
		var listed []Progress
		for name, run := range m.running[incarnation] {
			listed = append(listed, Progress{Name: name, Run: run})
		}
		next.Progress(incarnation, listed, m.now)
	}
}

// Guards against doubled, early, excess and lost starts under any order of events: two runs of a task,
// a start after it was done, before its turn, beyond its attempts, beyond a worker's capacity or spread,
// on a worker that leaves, and gangs that are placed in part; also over changes of leaders.
func TestRandomCluster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		draining, out := set.New[string](), set.New[string]()
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				m.submit(t)
			case 2, 3, 4:
				m.end(t)
			case 5:
				number := rapid.IntRange(0, nodes-1).Draw(t, "crashed")
				draining.Remove(string(m.incarnation(number)))
				m.live(number)
			case 6:
				number := rapid.IntRange(0, nodes-1).Draw(t, "drained")
				draining.Add(string(m.incarnation(number)))
				m.book.Update(m.profile(number, true), m.now)
			case 7:
				worker := m.incarnation(rapid.IntRange(0, nodes-1).Draw(t, "lapsed"))
				gone := m.running[worker]
				m.running[worker] = map[workflow.Name]workflow.Run{}
				m.book.Lapsed(worker)
				m.breakGangs(gone)
				m.book.SetReachable(worker, true)
			case 8:
				if len(m.jobs) > 0 && rapid.Bool().Draw(t, "cancel") {
					m.book.Cancel(rapid.SampledFrom(m.jobs).Draw(t, "job"))
				} else {
					centres := set.New[ident.DataCentre]()
					out = set.New[string]()
					if rapid.Bool().Draw(t, "out") {
						centres.Add("dc-0")
						out.Add("dc-0")
					}
					m.book.SetOut(centres)
				}
			case 9:
				m.succeed(t, draining)
				out = set.New[string]()
			}
			m.pass(t, draining, out)
		}
	})
}
