package recorded

import (
	"strings"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/outcome"
	"hyssopjunction/placement"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// newChecked returns a deployment with a claimed task that was not started.
func newChecked(t *testing.T) (*deployment, *agent, placement.TaskSpec) {
	t.Helper()
	line := newTimeline()
	deployment := &deployment{
		timeline: line, session: ContestDay(), log: newLog(line), measures: &Measures{},
		profiles: make(map[ident.Task]*profile), saved: make(map[string]clock.Millis),
		places: make(map[ident.Task]*agent), connections: make(map[ends]*connection), closedAt: make(map[ident.DataCentre]clock.Time),
	}
	deployment.checks = newChecks(deployment)
	deployment.store = newStore(deployment)
	for index := range 2 {
		deployment.agents = append(deployment.agents, newAgent(deployment, index))
	}
	size := unit.Resources{CPU: 1000, Memory: 1000}
	row, err := job.New(job.Spec{Job: "claimed", Team: "Omaruru", Region: "khomas", Kind: worker.Batch, Count: 1, Declared: size})
	if err != nil {
		t.Fatal(err)
	}
	first := deployment.agents[0]
	err = row.Apply(job.Change{Step: job.StepClaim, Epoch: 1, Size: size, Placement: job.Placement{Worker: first.name, Incarnation: 1, DataCentre: first.centre}})
	if err != nil {
		t.Fatal(err)
	}
	deployment.put(t, job.Key("claimed"), row.Encode())
	first.runtime.expiry = first.runtime.now() + 1
	return deployment, first, placement.TaskSpec{Task: ident.Task{Job: "claimed"}, Epoch: 1, Kind: worker.Batch, Size: size}
}

func (deployment *deployment) put(t *testing.T, key table.Key, value []byte) {
	t.Helper()
	if _, err := deployment.store.Commit(background, table.Transaction{Write: "test", Operations: []table.Operation{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

func assertBroken(t *testing.T, deployment *deployment, want string) {
	t.Helper()
	all := strings.Join(deployment.checks.faults, "\n")
	if want == "" && all != "" || !strings.Contains(all, want) {
		t.Errorf("got faults %q, want %q", all, want)
	}
}

// TestStartChecks guards against checks of a start that let a violation pass.
func TestStartChecks(t *testing.T) {
	cases := []struct {
		name, want string
		prepare    func(deployment *deployment, at *agent, spec *placement.TaskSpec)
	}{
		{"claimed", "", func(*deployment, *agent, *placement.TaskSpec) {}},
		{"too large", "I1: ", func(_ *deployment, at *agent, spec *placement.TaskSpec) { spec.Size = at.capacity.Times(2) }},
		{"runs elsewhere", "I2: ", func(deployment *deployment, _ *agent, spec *placement.TaskSpec) {
			deployment.places[spec.Task] = deployment.agents[1]
		}},
		{"started before", "I3: ", func(deployment *deployment, _ *agent, spec *placement.TaskSpec) {
			deployment.checks.starts[spec.Task] = []placed{{epoch: 1}}
		}},
		{"old checkpoint", "I3: ", func(_ *deployment, _ *agent, spec *placement.TaskSpec) {
			spec.Checkpoint = worker.Checkpoint{Epoch: 1, Name: "old"}
		}},
		{"closed", "I4: ", func(deployment *deployment, at *agent, _ *placement.TaskSpec) {
			deployment.closedAt[at.centre] = deployment.now().Add(-closedBound - 1)
		}},
		{"just closed", "", func(deployment *deployment, at *agent, _ *placement.TaskSpec) {
			deployment.closedAt[at.centre] = deployment.now().Add(-closedBound)
		}},
		{"lapsed lease", "without a lease", func(_ *deployment, at *agent, _ *placement.TaskSpec) { at.runtime.expiry-- }},
		{"no claim", "without a claim", func(_ *deployment, _ *agent, spec *placement.TaskSpec) { spec.Epoch = 2 }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			deployment, at, spec := newChecked(t)
			test.prepare(deployment, at, &spec)
			deployment.checks.started(at, spec, placement.TaskRef{Task: spec.Task, Epoch: spec.Epoch})
			assertBroken(t, deployment, test.want)
		})
	}
}

// TestRequestChecks guards against checks of requests that let a violation pass.
func TestRequestChecks(t *testing.T) {
	keyed := func(id ident.Request) *attempt {
		return &attempt{try: &try{request: &request{key: "key"}, ids: []ident.Request{id}}, id: id}
	}
	t.Run("not run and then run", func(t *testing.T) {
		deployment, at, _ := newChecked(t)
		next := keyed("r1-1")
		deployment.checks.reported(next.try, outcome.NotRun)
		deployment.checks.executed(at, next)
		assertBroken(t, deployment, "I6: ")
	})
	t.Run("run and then not run", func(t *testing.T) {
		deployment, at, _ := newChecked(t)
		next := keyed("r1-1")
		deployment.checks.executed(at, next)
		deployment.checks.reported(next.try, outcome.NotRun)
		assertBroken(t, deployment, "I6: ")
	})
	t.Run("key run twice", func(t *testing.T) {
		deployment, at, _ := newChecked(t)
		deployment.checks.executed(at, keyed("r1-1"))
		deployment.checks.executed(at, keyed("r1-2"))
		assertBroken(t, deployment, "I7: ")
	})
	t.Run("answer without a run", func(t *testing.T) {
		deployment, _, _ := newChecked(t)
		deployment.checks.reported(keyed("r1-1").try, outcome.Ran)
		assertBroken(t, deployment, "is reported as run")
	})
	t.Run("too many at an endpoint", func(t *testing.T) {
		deployment, at, _ := newChecked(t)
		at.running = 8
		deployment.checks.occupied(at)
		assertBroken(t, deployment, "")
		at.running++
		deployment.checks.occupied(at)
		assertBroken(t, deployment, "on 8 slots")
	})
	t.Run("leaving endpoint", func(t *testing.T) {
		deployment, at, _ := newChecked(t)
		at.leftAt = deployment.now().Add(-leavingBound)
		deployment.checks.arrived(at)
		assertBroken(t, deployment, "")
		at.leftAt--
		deployment.checks.arrived(at)
		assertBroken(t, deployment, "I8: ")
	})
}

// TestRecount guards against a recount that accepts an eviction without a resume, a second run after
// the end, or more on a worker than it holds.
func TestRecount(t *testing.T) {
	cases := []struct {
		name, want string
		starts     []ident.Epoch
		ends       []worker.State
		final      bool
	}{
		{"resumed", "", []ident.Epoch{1, 2}, []worker.State{worker.Stopped, worker.Finished}, true},
		{"not resumed", "was not resumed", []ident.Epoch{1}, []worker.State{worker.Stopped}, true},
		{"run again", "after it finished", []ident.Epoch{1, 2}, []worker.State{worker.Finished, worker.Finished}, true},
		{"two places", "I2: ", []ident.Epoch{1, 2}, nil, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			deployment, at, spec := newChecked(t)
			for _, epoch := range test.starts {
				deployment.checks.starts[spec.Task] = append(deployment.checks.starts[spec.Task], placed{epoch: epoch, worker: at.name, at: deployment.now()})
			}
			for index, state := range test.ends {
				deployment.checks.ends[spec.Task] = append(deployment.checks.ends[spec.Task], worker.Status{Task: spec.Task, Epoch: test.starts[index], State: state})
				deployment.checks.endTimes[spec.Task] = append(deployment.checks.endTimes[spec.Task], deployment.now())
			}
			if test.final {
				_, row := deployment.store.task(spec.Task)
				if err := row.Apply(job.Change{Step: job.StepFinish, Epoch: 1}); err != nil {
					t.Fatal(err)
				}
				deployment.put(t, job.Key("claimed"), row.Encode())
			}
			deployment.checks.recount()
			assertBroken(t, deployment, test.want)
		})
	}
	t.Run("overlapping", func(t *testing.T) {
		deployment, at, spec := newChecked(t)
		deployment.checks.starts[spec.Task] = []placed{{epoch: 1, worker: at.name, at: 5}, {epoch: 2, worker: "worker-01", at: 9}}
		deployment.checks.endTimes[spec.Task] = []clock.Time{9}
		deployment.checks.recountTimes()
		assertBroken(t, deployment, "")
		deployment.checks.endTimes[spec.Task] = []clock.Time{10}
		deployment.checks.recountTimes()
		assertBroken(t, deployment, "before its former run ended")
	})
	t.Run("executions", func(t *testing.T) {
		for want, prepare := range map[string]func(checks *checks){
			"records have r1-1 on": func(checks *checks) { checks.executions["b"] = []execution{{id: "r1-1"}} },
			"records have key key": func(checks *checks) { checks.executions["b"] = []execution{{id: "r1-2", key: "key"}} },
			"reported as not run":  func(checks *checks) { checks.notRun["r1-1"] = true },
			"no endpoint has it":   func(checks *checks) { checks.keyAnswers["other"] = true },
		} {
			deployment, _, _ := newChecked(t)
			deployment.checks.executions["a"] = []execution{{id: "r1-1", key: "key"}}
			deployment.checks.recountExecutions()
			assertBroken(t, deployment, "")
			prepare(deployment.checks)
			deployment.checks.recountExecutions()
			assertBroken(t, deployment, want)
		}
	})
	t.Run("overcommitted", func(t *testing.T) {
		deployment, at, _ := newChecked(t)
		deployment.checks.occupancy[at.name] = []unit.Resources{at.capacity, {CPU: 1}}
		deployment.checks.recount()
		assertBroken(t, deployment, "I1: ")
	})
}
