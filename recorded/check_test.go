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

// newCheckedDeployment returns a deployment with a claimed task that has not started.
func newCheckedDeployment(t *testing.T) (*deployment, *agent, placement.TaskSpec) {
	t.Helper()
	timeline := newTimeline()
	deployment := &deployment{
		timeline: timeline, session: ContestDay(), log: newLog(timeline), measures: &Measures{},
		profiles: make(map[ident.Task]*profile), checkpointedWork: make(map[string]clock.Millis),
		taskAgents: make(map[ident.Task]*agent), connections: make(map[connectionKey]*connection), closedAt: make(map[ident.DataCentre]clock.Time),
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

func assertViolation(t *testing.T, deployment *deployment, want string) {
	t.Helper()
	violations := strings.Join(deployment.checks.violations, "\n")
	if want == "" && violations != "" || !strings.Contains(violations, want) {
		t.Errorf("violations %q, want %q", violations, want)
	}
}

// TestStartChecksDetectViolations guards against checks at a task's start that miss a violation.
func TestStartChecksDetectViolations(t *testing.T) {
	cases := []struct {
		name, want string
		prepare    func(deployment *deployment, agent *agent, spec *placement.TaskSpec)
	}{
		{"claimed", "", func(*deployment, *agent, *placement.TaskSpec) {}},
		{"too large", "I1: ", func(_ *deployment, agent *agent, spec *placement.TaskSpec) { spec.Size = agent.capacity.Times(2) }},
		{"runs elsewhere", "I2: ", func(deployment *deployment, _ *agent, spec *placement.TaskSpec) {
			deployment.taskAgents[spec.Task] = deployment.agents[1]
		}},
		{"started before", "I3: ", func(deployment *deployment, _ *agent, spec *placement.TaskSpec) {
			deployment.checks.starts[spec.Task] = []taskStart{{epoch: 1}}
		}},
		{"old checkpoint", "I3: ", func(_ *deployment, _ *agent, spec *placement.TaskSpec) {
			spec.Checkpoint = worker.Checkpoint{Epoch: 1, Name: "old"}
		}},
		{"closed", "I4: ", func(deployment *deployment, agent *agent, _ *placement.TaskSpec) {
			deployment.closedAt[agent.centre] = deployment.now().Add(-maxClosedStartDelay - 1)
		}},
		{"just closed", "", func(deployment *deployment, agent *agent, _ *placement.TaskSpec) {
			deployment.closedAt[agent.centre] = deployment.now().Add(-maxClosedStartDelay)
		}},
		{"lapsed lease", "without a lease", func(_ *deployment, agent *agent, _ *placement.TaskSpec) { agent.runtime.expiry-- }},
		{"no claim", "without a claim", func(_ *deployment, _ *agent, spec *placement.TaskSpec) { spec.Epoch = 2 }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			deployment, agent, spec := newCheckedDeployment(t)
			test.prepare(deployment, agent, &spec)
			deployment.checks.taskStarted(agent, spec, placement.TaskRef{Task: spec.Task, Epoch: spec.Epoch})
			assertViolation(t, deployment, test.want)
		})
	}
}

// TestRequestChecksDetectViolations guards against checks of requests that miss a violation.
func TestRequestChecksDetectViolations(t *testing.T) {
	keyedAttempt := func(id ident.Request) *attempt {
		return &attempt{call: &call{request: &request{key: "key"}, attemptIDs: []ident.Request{id}}, id: id}
	}
	t.Run("not run and then run", func(t *testing.T) {
		deployment, agent, _ := newCheckedDeployment(t)
		attempt := keyedAttempt("r1-1")
		deployment.checks.outcomeReported(attempt.call, outcome.NotRun)
		deployment.checks.attemptExecuted(agent, attempt)
		assertViolation(t, deployment, "I6: ")
	})
	t.Run("run and then not run", func(t *testing.T) {
		deployment, agent, _ := newCheckedDeployment(t)
		attempt := keyedAttempt("r1-1")
		deployment.checks.attemptExecuted(agent, attempt)
		deployment.checks.outcomeReported(attempt.call, outcome.NotRun)
		assertViolation(t, deployment, "I6: ")
	})
	t.Run("key run twice", func(t *testing.T) {
		deployment, agent, _ := newCheckedDeployment(t)
		deployment.checks.attemptExecuted(agent, keyedAttempt("r1-1"))
		deployment.checks.attemptExecuted(agent, keyedAttempt("r1-2"))
		assertViolation(t, deployment, "I7: ")
	})
	t.Run("answer without a run", func(t *testing.T) {
		deployment, _, _ := newCheckedDeployment(t)
		deployment.checks.outcomeReported(keyedAttempt("r1-1").call, outcome.Ran)
		assertViolation(t, deployment, "is reported as run")
	})
	t.Run("too many at an endpoint", func(t *testing.T) {
		deployment, agent, _ := newCheckedDeployment(t)
		agent.runningRequests = 8
		deployment.checks.checkEndpointLimits(agent)
		assertViolation(t, deployment, "")
		agent.runningRequests++
		deployment.checks.checkEndpointLimits(agent)
		assertViolation(t, deployment, "on 8 slots")
	})
	t.Run("leaving endpoint", func(t *testing.T) {
		deployment, agent, _ := newCheckedDeployment(t)
		agent.leftAt = deployment.now().Add(-maxLeavingRequestDelay)
		deployment.checks.requestArrived(agent)
		assertViolation(t, deployment, "")
		agent.leftAt--
		deployment.checks.requestArrived(agent)
		assertViolation(t, deployment, "I8: ")
	})
}

// TestRecountDetectsViolations guards against a recount that accepts an eviction without a resume,
// a second run after the task finished, or more tasks on a worker than its capacity allows.
func TestRecountDetectsViolations(t *testing.T) {
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
			deployment, agent, spec := newCheckedDeployment(t)
			for _, epoch := range test.starts {
				deployment.checks.starts[spec.Task] = append(deployment.checks.starts[spec.Task], taskStart{epoch: epoch, worker: agent.name, at: deployment.now()})
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
			assertViolation(t, deployment, test.want)
		})
	}
	t.Run("overlapping", func(t *testing.T) {
		deployment, agent, spec := newCheckedDeployment(t)
		deployment.checks.starts[spec.Task] = []taskStart{{epoch: 1, worker: agent.name, at: 5}, {epoch: 2, worker: "worker-01", at: 9}}
		deployment.checks.endTimes[spec.Task] = []clock.Time{9}
		deployment.checks.recountTimes()
		assertViolation(t, deployment, "")
		deployment.checks.endTimes[spec.Task] = []clock.Time{10}
		deployment.checks.recountTimes()
		assertViolation(t, deployment, "before its former run ended")
	})
	t.Run("executions", func(t *testing.T) {
		for want, prepare := range map[string]func(checks *checks){
			"records have r1-1 on": func(checks *checks) { checks.executions["b"] = []execution{{id: "r1-1"}} },
			"records have key key": func(checks *checks) { checks.executions["b"] = []execution{{id: "r1-2", key: "key"}} },
			"reported as not run":  func(checks *checks) { checks.notRun["r1-1"] = true },
			"no endpoint has it":   func(checks *checks) { checks.answeredKeys["other"] = true },
		} {
			deployment, _, _ := newCheckedDeployment(t)
			deployment.checks.executions["a"] = []execution{{id: "r1-1", key: "key"}}
			deployment.checks.recountExecutions()
			assertViolation(t, deployment, "")
			prepare(deployment.checks)
			deployment.checks.recountExecutions()
			assertViolation(t, deployment, want)
		}
	})
	t.Run("overcommitted", func(t *testing.T) {
		deployment, agent, _ := newCheckedDeployment(t)
		deployment.checks.sizeChanges[agent.name] = []unit.Resources{agent.capacity, {CPU: 1}}
		deployment.checks.recount()
		assertViolation(t, deployment, "I1: ")
	})
}
