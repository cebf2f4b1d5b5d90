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

var run = ident.Task{Job: "run", Index: 0}

// Guards against an agent without a lease for ever: it moved to another entry while this one was cut
// off, and returned after its lease had lapsed here.
func TestReturningWorkerGetsLease(t *testing.T) {
	inWorld(t, func(world *world) {
		world.wantGrant(world.announce("w1", 1, 0, 0))
		revision := world.takeOver("w1", 1)
		world.pass(30 * time.Second)
		if record, _ := world.record("w1"); record.Over != 0 {
			world.Fatalf("row is %+v, want the incarnation to go on", record)
		}
		world.wantGrant(world.announce("w1", 1, revision, 0))
	})
}

// Guards against the end of an incarnation whose agent returned and got a new lease while the row was
// read to decide the end.
func TestReturnDuringDecision(t *testing.T) {
	inWorld(t, func(world *world) {
		world.wantGrant(world.announce("w1", 1, 0, 0))
		// The silent worker's row is also read, up to half a second before the lease lapses.
		world.pass((lease.DefaultTerm + lease.Margin(lease.DefaultTerm)).Duration() - 400*time.Millisecond)
		returned := false
		world.store.hook(func(call string, key table.Key) {
			if call != "Get" || key != lease.Key("w1") {
				return
			}
			world.store.hook(nil)
			world.wantGrant(world.announce("w1", 1, world.takeOver("w1", 1), 0))
			returned = true
		})
		world.pass(5 * time.Second)
		if record, _ := world.record("w1"); record.Over != 0 || !returned {
			world.Fatalf("row is %+v while the agent has a lease, returned %t", record, returned)
		}
	})
}

// Guards against an agent that is neither fenced nor granted a lease when another entry takes over
// between the decision that its incarnation is over and the write of the end.
func TestTakeoverDuringEnd(t *testing.T) {
	inWorld(t, func(world *world) {
		world.wantGrant(world.announce("w1", 1, 0, 0))
		world.mu.Lock()
		world.list = func(context.Context) (worker.Report, error) {
			if record, _ := world.record("w1"); record.Granter.Entry == "e1" {
				world.takeOver("w1", 1)
			}
			return worker.Report{}, nil
		}
		world.mu.Unlock()
		world.pass(30 * time.Second)
		_, row := world.record("w1")
		reply := world.announce("w1", 1, uint64(row.Revision), 0)
		if reply.LeaseTermMillis == 0 && !reply.Fenced {
			world.Fatalf("got %v", reply)
		}
	})
}

// Guards against a returning agent that is fenced needlessly, so that its tasks are checkpointed and
// resumed: this entry decided the end of its incarnation, and another one became its granter before.
func TestRefusedEndIsTakenBack(t *testing.T) {
	inWorld(t, func(world *world) {
		world.wantGrant(world.announce("w1", 1, 0, 0))
		world.mu.Lock()
		world.list = func(context.Context) (worker.Report, error) {
			if record, _ := world.record("w1"); record.Granter.Entry == "e1" {
				world.takeOver("w1", 1)
			}
			return worker.Report{}, nil
		}
		world.mu.Unlock()
		world.pass(30 * time.Second)
		record, row := world.record("w1")
		if record.Granter.Entry == "e1" || record.Over != 0 {
			world.Fatalf("row is %+v", record)
		}
		world.wantGrant(world.announce("w1", 1, uint64(row.Revision), 0))
	})
}

// Guards against lists of the tasks of workers that are kept for ever once nobody asks for them.
func TestOldListsAreDropped(t *testing.T) {
	inWorld(t, func(world *world) {
		world.entry.control.Call(func() {
			world.entry.listed["w1"] = listedResidents{at: world.entry.time.Now()}
		})
		world.pass((residentsFresh + 2*clock.Second).Duration())
		world.entry.control.Call(func() {
			if count := len(world.entry.listed); count > 0 {
				world.Errorf("%d lists are kept", count)
			}
		})
	})
}

// Guards against a lease after this entry yielded: the answer to its own takeover came later than the
// request of the next granter, which counts on no grant since.
func TestNoGrantAfterYield(t *testing.T) {
	inWorld(t, func(world *world) {
		world.store.hook(func(call string, key table.Key) {
			if call != "Commit" || key != lease.Key("w1") {
				return
			}
			world.store.hook(nil)
			revision := world.takeOver("w1", 1)
			reply, err := world.entry.Yield(context.Background(), &controlpb.YieldRequest{
				Worker: "w1", GrantRevision: revision, Incarnation: uint64(world.entry.incarnation),
			})
			if err != nil || !reply.Yielded {
				world.Errorf("%v %v", reply, err)
			}
		})
		if reply := world.announce("w1", 1, 0, 0); reply.LeaseTermMillis != 0 {
			world.Fatalf("got a lease %v after the yield", reply)
		}
		world.wantGrant(world.announce("w1", 1, 0, 0))
	})
}

// Guards against a healthy incarnation that is fenced because an older one announced itself here.
func TestOlderIncarnationFencesOnlyItself(t *testing.T) {
	inWorld(t, func(world *world) {
		world.takeOver("w1", 5)
		world.wantFenced(world.announce("w1", 4, 0, 0))
		world.wantGrant(world.announce("w1", 5, 0, 0))
		world.wantFenced(world.announce("w2", 0, 0, 0))
	})
}

// Guards against a restarted agent that keeps tasks of an incarnation that was declared over: they may
// have been placed elsewhere.
func TestTasksOfEndedIncarnationAreFenced(t *testing.T) {
	inWorld(t, func(world *world) {
		world.takeOver("w1", 1)
		_, row := world.record("w1")
		world.write(lease.End(row, "w1", 1, lease.Process{Entry: "e2", Incarnation: 1}, lease.OperatorStatement))
		world.wantFenced(world.announce("w1", 2, 0, 1))
		world.wantFenced(world.announce("w1", 2, 0, 1))
		world.wantGrant(world.announce("w1", 3, 0, 0))
	})
}

// Guards against a wrong granter after each fault of the table in the first write: an agent gets a
// lease only while the row names this process, and gets one once the table answers.
func TestGrantThroughFaults(t *testing.T) {
	for fault := range tabletest.Faults {
		inWorld(t, func(world *world) {
			failed := false
			world.store.SetFault(func(call tabletest.Call) tabletest.Fault {
				if call.Commit && !failed {
					failed = true
					return fault
				}
				return tabletest.None
			})
			for range 3 {
				reply := world.announce("w1", 1, 0, 0)
				if record, _ := world.record("w1"); reply.LeaseTermMillis != 0 && record.Granter != world.entry.process() {
					world.Fatalf("fault %d: lease while the row is %+v", fault, record)
				}
				world.pass(4 * time.Second)
			}
			world.wantGrant(world.announce("w1", 1, 0, 0))
		})
	}
}

// Guards against a task in two places: the runtime of the silent agent answers that it still runs one.
func TestRunningTaskIsNotOver(t *testing.T) {
	inWorld(t, func(world *world) {
		world.wantGrant(world.announce("w1", 1, 0, 1))
		world.runs(worker.Status{Task: run, Epoch: 1, State: worker.Running})
		world.pass(2 * time.Minute)
		if record, _ := world.record("w1"); record.Over != 0 {
			world.Fatalf("row is %+v while the task runs", record)
		}
		world.wantFenced(world.announce("w1", 1, 0, 1))
		world.runs()
		world.pass(5 * time.Second)
		if record, _ := world.record("w1"); record.Over != 1 {
			world.Fatalf("row is %+v, want incarnation 1 over", record)
		}
	})
}

// Guards against a finished run that is placed again, because its end was read from the runtime of the
// silent agent before this entry had read the row of the job.
func TestEndOfUnreadJobIsKept(t *testing.T) {
	inWorld(t, func(world *world) {
		world.wantGrant(world.announce("w1", 1, 0, 1))
		world.runs(worker.Status{Task: run, Epoch: 1, State: worker.Finished})
		world.pass(time.Second)
		size := unit.Resources{CPU: 1000, Memory: 1024}
		row, err := job.New(job.Spec{Job: run.Job, Team: "team", Kind: worker.Batch, Count: 1, Declared: size, Region: "north"})
		if err == nil {
			err = row.Apply(job.Change{Step: job.StepClaim, Epoch: 1, Size: size, Placement: job.Placement{Worker: "w1", Incarnation: 1, DataCentre: "dc1"}})
		}
		world.write(table.Condition{Key: job.Key(run.Job)}, table.Operation{Key: job.Key(run.Job), Value: row.Encode()}, err)
		world.pass(2 * time.Minute)
		stored, err := world.store.Memory.Get(world.Context(), job.Key(run.Job))
		if err == nil {
			row, err = job.Decode(stored.Value)
		}
		if err != nil || row.Tasks[0].State != job.Finished {
			world.Fatalf("task is %+v, want Finished (%v)", row.Tasks[0], err)
		}
		if record, _ := world.record("w1"); record.Over != 1 {
			world.Fatalf("row is %+v, want incarnation 1 over", record)
		}
	})
}

// Guards against the workers of a lost data centre that wait for each other's timeouts: their tasks
// must be placed again within one more term of the lease.
func TestLostDataCentreEndsTogether(t *testing.T) {
	inWorld(t, func(world *world) {
		world.mu.Lock()
		world.list = func(ctx context.Context) (worker.Report, error) {
			<-ctx.Done()
			return worker.Report{}, worker.ErrUnavailable{Reason: "test"}
		}
		world.mu.Unlock()
		for _, name := range world.workers(50) {
			world.wantGrant(world.announce(name, 1, 0, 1))
		}
		world.pass((lease.DefaultTerm + lease.Margin(lease.DefaultTerm) + lease.DefaultTerm).Duration())
		for _, name := range world.workers(50) {
			if record, _ := world.record(name); record.Over != 1 {
				world.Fatalf("row of %s is %+v, want incarnation 1 over", name, record)
			}
		}
	})
}

// Guards against a worker that is quarantined for one failure, because its agent repeated the report
// while the table was unavailable.
func TestRepeatedReportIsOneFailure(t *testing.T) {
	inWorld(t, func(world *world) {
		world.store.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Refuse })
		for range 100 {
			_, err := world.entry.Report(world.Context(), &controlpb.ReportRequest{Worker: "w1", Incarnation: 1, Ended: []*controlpb.TaskStatus{
				controlpb.FromStatus(worker.Status{Task: run, Epoch: 1, State: worker.Failed, Reason: "test"}),
			}})
			if err != nil {
				world.Fatal(err)
			}
			world.pass(time.Second)
		}
		world.entry.control.Call(func() {
			if reason, blocked := world.entry.learned.health.Blocked(run.Job, world.entry.time.Now()); blocked {
				world.Errorf("job is blocked after one failure: %s", reason)
			}
			if !world.entry.learned.health.Usable("w1", world.entry.time.Now()) {
				world.Error("worker is not usable after one failure")
			}
		})
	})
}

// Guards against a goroutine that starts while Close waits for the others.
func TestNothingStartsAfterClose(t *testing.T) {
	inWorld(t, func(world *world) {
		world.entry.Close()
		world.entry.spawn(func() { world.Error("goroutine started after Close") })
	})
}
