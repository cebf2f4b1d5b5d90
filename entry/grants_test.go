package entry

import (
	"context"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/lease"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

var testTask = ident.Task{Job: "run", Index: 0}

// TestReturningWorkerGetsLease guards against an agent that never gets a lease again: it moved to
// another entry while this one was disconnected, and returned after its lease had lapsed here.
func TestReturningWorkerGetsLease(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.wantGrant(fixture.announce("w1", 1, 0, 0))
		revision := fixture.takeOver("w1", 1)
		fixture.advance(30 * time.Second)
		if record, _ := fixture.leaseRecord("w1"); record.Over != 0 {
			fixture.Fatalf("row is %+v, want the incarnation to go on", record)
		}
		fixture.wantGrant(fixture.announce("w1", 1, revision, 0))
	})
}

// TestAgentReturnsDuringEndDecision guards against ending an incarnation whose agent returns and
// gets a new lease while its row is being read for the decision.
func TestAgentReturnsDuringEndDecision(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.wantGrant(fixture.announce("w1", 1, 0, 0))
		// The row of an unresponsive worker is also read, up to half a second before the lease
		// lapses.
		fixture.advance((lease.DefaultTerm + lease.Margin(lease.DefaultTerm)).Duration() - 400*time.Millisecond)
		returned := false
		fixture.store.setHook(func(call string, key table.Key) {
			if call != "Get" || key != lease.Key("w1") {
				return
			}
			fixture.store.setHook(nil)
			fixture.wantGrant(fixture.announce("w1", 1, fixture.takeOver("w1", 1), 0))
			returned = true
		})
		fixture.advance(5 * time.Second)
		if record, _ := fixture.leaseRecord("w1"); record.Over != 0 || !returned {
			fixture.Fatalf("row is %+v while the agent has a lease, returned %t", record, returned)
		}
	})
}

// TestTakeoverDuringEnd guards against an agent that is neither fenced nor granted a lease after
// another entry takes over between the decision that its incarnation is over and the write of the
// end.
func TestTakeoverDuringEnd(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.wantGrant(fixture.announce("w1", 1, 0, 0))
		fixture.mu.Lock()
		fixture.listTasks = func(context.Context) (worker.Report, error) {
			if record, _ := fixture.leaseRecord("w1"); record.Granter.Entry == "e1" {
				fixture.takeOver("w1", 1)
			}
			return worker.Report{}, nil
		}
		fixture.mu.Unlock()
		fixture.advance(30 * time.Second)
		_, row := fixture.leaseRecord("w1")
		reply := fixture.announce("w1", 1, uint64(row.Revision), 0)
		if reply.LeaseTermMillis == 0 && !reply.Fenced {
			fixture.Fatalf("got %v", reply)
		}
	})
}

// TestRefusedEndIsDiscarded guards against a returning agent that is fenced although its
// incarnation is not over, so that its tasks are stopped and resumed for nothing: this entry
// decided the end, but another entry became the granter before it was written.
func TestRefusedEndIsDiscarded(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.wantGrant(fixture.announce("w1", 1, 0, 0))
		fixture.mu.Lock()
		fixture.listTasks = func(context.Context) (worker.Report, error) {
			if record, _ := fixture.leaseRecord("w1"); record.Granter.Entry == "e1" {
				fixture.takeOver("w1", 1)
			}
			return worker.Report{}, nil
		}
		fixture.mu.Unlock()
		fixture.advance(30 * time.Second)
		record, row := fixture.leaseRecord("w1")
		if record.Granter.Entry == "e1" || record.Over != 0 {
			fixture.Fatalf("row is %+v", record)
		}
		fixture.wantGrant(fixture.announce("w1", 1, uint64(row.Revision), 0))
	})
}

// TestOldTaskListingsExpire guards against task listings that stay in memory when no urgent work
// waits any more.
func TestOldTaskListingsExpire(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.entry.control.Call(func() {
			fixture.entry.listings["w1"] = taskListing{at: fixture.entry.time.Now()}
		})
		fixture.advance((listingTTL + 2*clock.Second).Duration())
		fixture.entry.control.Call(func() {
			if count := len(fixture.entry.listings); count > 0 {
				fixture.Errorf("%d old listings remain", count)
			}
		})
	})
}

// TestNoGrantAfterYield guards against a lease that is granted after this entry yielded, because
// the answer to its own takeover arrives after the request of the next granter, which relies on the
// yield.
func TestNoGrantAfterYield(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.store.setHook(func(call string, key table.Key) {
			if call != "Commit" || key != lease.Key("w1") {
				return
			}
			fixture.store.setHook(nil)
			revision := fixture.takeOver("w1", 1)
			reply, err := fixture.entry.Yield(context.Background(), &controlpb.YieldRequest{
				Worker: "w1", GrantRevision: revision, Incarnation: uint64(fixture.entry.incarnation),
			})
			if err != nil || !reply.Yielded {
				fixture.Errorf("%v %v", reply, err)
			}
		})
		if reply := fixture.announce("w1", 1, 0, 0); reply.LeaseTermMillis != 0 {
			fixture.Fatalf("got a lease %v after the yield", reply)
		}
		fixture.wantGrant(fixture.announce("w1", 1, 0, 0))
	})
}

// TestOlderIncarnationFencesOnlyItself guards against a healthy incarnation that is fenced because
// an older one announced itself here.
func TestOlderIncarnationFencesOnlyItself(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.takeOver("w1", 5)
		fixture.wantFenced(fixture.announce("w1", 4, 0, 0))
		fixture.wantGrant(fixture.announce("w1", 5, 0, 0))
		fixture.wantFenced(fixture.announce("w2", 0, 0, 0))
	})
}

// TestTasksOfEndedIncarnationAreFenced guards against a restarted agent that keeps tasks of an
// incarnation that was declared over, although they may have been placed elsewhere.
func TestTasksOfEndedIncarnationAreFenced(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.takeOver("w1", 1)
		_, row := fixture.leaseRecord("w1")
		fixture.writeRow(lease.End(row, "w1", 1, lease.Process{Entry: "e2", Incarnation: 1}, lease.OperatorDeclaration))
		fixture.wantFenced(fixture.announce("w1", 2, 0, 1))
		fixture.wantFenced(fixture.announce("w1", 2, 0, 1))
		fixture.wantGrant(fixture.announce("w1", 3, 0, 0))
	})
}

// TestGrantDuringTableFaults guards against leases of a wrong granter after any fault of the table
// in the first write: an agent gets a lease only while the row names this process, and gets one
// once the table answers.
func TestGrantDuringTableFaults(t *testing.T) {
	for fault := range tabletest.FaultCount {
		runFixture(t, func(fixture *fixture) {
			failed := false
			fixture.store.SetFault(func(call tabletest.Call) tabletest.Fault {
				if call.Commit && !failed {
					failed = true
					return fault
				}
				return tabletest.None
			})
			for range 3 {
				reply := fixture.announce("w1", 1, 0, 0)
				if record, _ := fixture.leaseRecord("w1"); reply.LeaseTermMillis != 0 && record.Granter != fixture.entry.process() {
					fixture.Fatalf("fault %d: lease while the row is %+v", fault, record)
				}
				fixture.advance(4 * time.Second)
			}
			fixture.wantGrant(fixture.announce("w1", 1, 0, 0))
		})
	}
}

// TestIncarnationWithRunningTaskIsNotEnded guards against a task that runs in two places: the agent
// is unresponsive, but the worker's runtime still runs the task.
func TestIncarnationWithRunningTaskIsNotEnded(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.wantGrant(fixture.announce("w1", 1, 0, 1))
		fixture.setRunningTasks(worker.Status{Task: testTask, Epoch: 1, State: worker.Running})
		fixture.advance(2 * time.Minute)
		if record, _ := fixture.leaseRecord("w1"); record.Over != 0 {
			fixture.Fatalf("row is %+v while the task runs", record)
		}
		fixture.wantFenced(fixture.announce("w1", 1, 0, 1))
		fixture.setRunningTasks()
		fixture.advance(5 * time.Second)
		if record, _ := fixture.leaseRecord("w1"); record.Over != 1 {
			fixture.Fatalf("row is %+v, want incarnation 1 over", record)
		}
	})
}

// TestEndOfUnreadJobIsRecorded guards against a finished task that is placed again, because its end
// was read from the runtime of an unresponsive worker before this entry had read the job's row.
func TestEndOfUnreadJobIsRecorded(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.wantGrant(fixture.announce("w1", 1, 0, 1))
		fixture.setRunningTasks(worker.Status{Task: testTask, Epoch: 1, State: worker.Finished})
		fixture.advance(time.Second)
		size := unit.Resources{CPU: 1000, Memory: 1024}
		row, err := job.New(job.Spec{Job: testTask.Job, Team: "team", Kind: worker.Batch, Count: 1, Declared: size, Region: "north"})
		if err == nil {
			err = row.Apply(job.Change{Step: job.StepClaim, Epoch: 1, Size: size, Placement: job.Placement{Worker: "w1", Incarnation: 1, DataCentre: "dc1"}})
		}
		fixture.writeRow(table.Condition{Key: job.Key(testTask.Job)}, table.Operation{Key: job.Key(testTask.Job), Value: row.Encode()}, err)
		fixture.advance(2 * time.Minute)
		stored, err := fixture.store.Memory.Get(fixture.Context(), job.Key(testTask.Job))
		if err == nil {
			row, err = job.Decode(stored.Value)
		}
		if err != nil || row.Tasks[0].State != job.Finished {
			fixture.Fatalf("task is %+v, want Finished (%v)", row.Tasks[0], err)
		}
		if record, _ := fixture.leaseRecord("w1"); record.Over != 1 {
			fixture.Fatalf("row is %+v, want incarnation 1 over", record)
		}
	})
}

// TestIncarnationsEndInParallel guards against the workers of a lost data centre waiting for each
// other's timeouts: their tasks must be placed again within one more lease term.
func TestIncarnationsEndInParallel(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.mu.Lock()
		fixture.listTasks = func(ctx context.Context) (worker.Report, error) {
			<-ctx.Done()
			return worker.Report{}, worker.ErrUnavailable{Reason: "test"}
		}
		fixture.mu.Unlock()
		for _, name := range fixture.workerNames(50) {
			fixture.wantGrant(fixture.announce(name, 1, 0, 1))
		}
		fixture.advance((lease.DefaultTerm + lease.Margin(lease.DefaultTerm) + lease.DefaultTerm).Duration())
		for _, name := range fixture.workerNames(50) {
			if record, _ := fixture.leaseRecord(name); record.Over != 1 {
				fixture.Fatalf("row of %s is %+v, want incarnation 1 over", name, record)
			}
		}
	})
}

// TestRepeatedReportCountsOnce guards against a worker that is quarantined for one failure, because
// its agent repeated the report while the table was unavailable.
func TestRepeatedReportCountsOnce(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.store.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Refuse })
		for range 100 {
			_, err := fixture.entry.Report(fixture.Context(), &controlpb.ReportRequest{Worker: "w1", Incarnation: 1, Ended: []*controlpb.TaskStatus{
				controlpb.FromStatus(worker.Status{Task: testTask, Epoch: 1, State: worker.Failed, Reason: "test"}),
			}})
			if err != nil {
				fixture.Fatal(err)
			}
			fixture.advance(time.Second)
		}
		fixture.entry.control.Call(func() {
			if reason, parked := fixture.entry.models.health.Parked(testTask.Job, fixture.entry.time.Now()); parked {
				fixture.Errorf("job is parked after one failure: %s", reason)
			}
			if !fixture.entry.models.health.Usable("w1", fixture.entry.time.Now()) {
				fixture.Error("worker is not usable after one failure")
			}
		})
	})
}

// TestNothingStartsAfterClose guards against a goroutine that starts while Close waits for the
// others.
func TestNothingStartsAfterClose(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.entry.Close()
		fixture.entry.spawn(func() { fixture.Error("goroutine started after Close") })
	})
}
