package coordinator

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// otherWorker is a worker beside testWorker.
const otherWorker scheduler.Incarnation = "i-2@1@side-2"

// restoreCopiedRun adds a job with a task that has run 1 on testWorker and run 2 on otherWorker.
func (coordinator *Coordinator) restoreCopiedRun() *workflow.Job {
	job := workflow.New(workflow.Spec{
		ID: "0123456789abcdef", Queue: "queue", Service: "desk", Policy: workflow.Policy{MaxAttempts: 3},
		Steps: []workflow.Step{{Count: 1, Copies: true, Need: unit.Resources{CPU: 1000, Memory: 1000}}},
	})
	job.AddDueOccurrences(0)
	name := workflow.Name{Job: job.Spec.ID}
	job.Place(name, 1, string(testWorker))
	job.Place(name, 2, string(otherWorker))
	coordinator.scheduler.Restore(job, coordinator.startedAt)
	return job
}

func newOtherWorkerReport() *session.Report {
	report := newWorkerReport()
	report.Node, report.Worker.Incarnation = "side-2", string(otherWorker)
	return report
}

// TestStartOfCopyTellsAgeOfReport guards against starts of tasks with two runs that agents attempt for too long, because
// they cannot tell when the order was sent, or of which they have only one after a change of leaders.
func TestStartOfCopyTellsAgeOfReport(t *testing.T) {
	coordinator, source := newTestLeader(t)
	coordinator.restoreCopiedRun()
	runs := map[string]workflow.Run{"side-1": 1, "side-2": 2}
	for _, report := range []*session.Report{newWorkerReport(), newOtherWorkerReport()} {
		agent := newTestSession(report.Node)
		coordinator.sessions[agent.node] = agent
		coordinator.handleReport(agent, report)
		agent.takeMessages()
		source.Advance(300)
		coordinator.finishRound(nil, coordinator.takeOnceStored())
		messages := agent.takeMessages()
		if len(messages) != 1 || len(messages[0].Starts) != 1 {
			t.Fatalf("got messages %+v, want one with a start", messages)
		}
		if start := messages[0].Starts[0]; start.Run != runs[agent.node] || !start.Copies || messages[0].ReportAge != 300 {
			t.Errorf("got run %d, copies %v, after a report of %s ago, want run %d, true and 300ms", start.Run, start.Copies, messages[0].ReportAge, runs[agent.node])
		}
	}
}

// TestLapseOfOneOfTwoWorkers guards against a task that is lost or placed a third time because the worker of one of its two
// runs lapsed, did not return to a new leader, or ended.
func TestLapseOfOneOfTwoWorkers(t *testing.T) {
	cases := map[string]func(coordinator *Coordinator, source *clock.Fake){
		"worker lapses": func(coordinator *Coordinator, source *clock.Fake) {
			coordinator.handleReport(newTestSession("side-1"), newWorkerReport())
			coordinator.lapseTestWorker(source)
		},
		"worker does not return": func(coordinator *Coordinator, source *clock.Fake) { coordinator.lapseTestWorker(source) },
		"worker ends": func(coordinator *Coordinator, _ *clock.Fake) {
			coordinator.endWorker(&session.WorkerEnd{Node: "side-1", Incarnation: string(testWorker)})
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			coordinator, source := newLapseLeader(t, nil)
			job := coordinator.restoreCopiedRun()
			lose(coordinator, source)
			agent := newTestSession("side-2")
			coordinator.sessions[agent.node] = agent
			coordinator.handleReport(agent, newOtherWorkerReport())
			coordinator.finishRound(nil, coordinator.takeOnceStored())
			coordinator.scheduler.Plan(source.Now(), 0)
			if _, orders := coordinator.scheduler.TakeChanges(); len(orders) != 0 {
				t.Errorf("got orders %+v, want none", orders)
			}
			task := job.Task(workflow.Name{Job: job.Spec.ID})
			if runs := task.ActiveRuns(); len(runs) != 1 || runs[0].Run != 2 || task.Failures != 0 {
				t.Errorf("got task %+v, want run 2 and no failure", task)
			}
		})
	}
}

// lapseTestWorker lets the lease of testWorker lapse, while otherWorker is granted leases.
func (coordinator *Coordinator) lapseTestWorker(source *clock.Fake) {
	other := newTestSession("side-2")
	coordinator.handleReport(other, newOtherWorkerReport())
	for passed := clock.Millis(0); passed < election.GrantExtension+2*election.WorkerStoppedAfter(testLease); passed += clock.Second {
		source.Advance(clock.Second)
		coordinator.keepLeading(source)
		other.takeMessages()
		coordinator.handleReport(other, &session.Report{Sequence: uint64(2 + passed), Node: "side-2"})
		coordinator.runPeriodicChecks()
	}
}
