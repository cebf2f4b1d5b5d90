package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/lease"
	"hyssopjunction/membership"
	"hyssopjunction/operator"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

var taskSize = unit.Resources{CPU: 1000, Memory: 1024}

// writeJob writes a job's row as another daemon would. If claimed is set, its task is claimed on
// w1.
func (fixture *fixture) writeJob(name ident.Job, claimed bool) {
	fixture.Helper()
	row, err := job.New(job.Spec{Job: name, Team: "team", Kind: worker.Batch, Count: 1, Declared: taskSize, Region: "north"})
	if err == nil && claimed {
		err = row.Apply(job.Change{Step: job.StepClaim, Epoch: 1, Size: taskSize, Placement: job.Placement{Worker: "w1", Incarnation: 1, DataCentre: "dc1"}})
	}
	fixture.writeRow(table.Condition{Key: job.Key(name)}, table.Operation{Key: job.Key(name), Value: row.Encode()}, err)
}

// task returns the only task in a job's row, and whether the job is cancelled.
func (fixture *fixture) task(name ident.Job) (job.Task, bool) {
	fixture.Helper()
	stored, err := fixture.store.Memory.Get(context.Background(), job.Key(name))
	if err != nil {
		fixture.Fatal(err)
	}
	row, err := job.Decode(stored.Value)
	if err != nil {
		fixture.Fatal(err)
	}
	return row.Tasks[0], row.Cancelled
}

// report reports the end of testTask on w1.
func (fixture *fixture) report(state worker.State) *controlpb.ReportReply {
	fixture.Helper()
	reply, err := fixture.entry.Report(fixture.Context(), &controlpb.ReportRequest{Worker: "w1", Incarnation: 1, Ended: []*controlpb.TaskStatus{
		controlpb.FromStatus(worker.Status{Task: testTask, Epoch: 1, State: state, Reason: "test"}),
	}})
	if err != nil {
		fixture.Fatal(err)
	}
	return reply
}

// TestReportOfUnreadJob guards against an end that is lost because it counts as recorded before the
// row of its job was read.
func TestReportOfUnreadJob(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.writeJob(testTask.Job, true)
		if len(fixture.report(worker.Finished).Recorded) != 0 {
			fixture.Fatal("recorded at once")
		}
		recorded := 0
		for range 90 {
			fixture.advance(time.Second)
			recorded += len(fixture.report(worker.Finished).Recorded)
		}
		if task, _ := fixture.task(testTask.Job); task.State != job.Finished || recorded == 0 {
			fixture.Fatalf("task is %+v, %d reports were recorded, want Finished", task, recorded)
		}
	})
}

// TestAgentCallsAreBounded guards against an unlimited number of calls that wait for an agent that
// hangs.
func TestAgentCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := newCallQueues()
		release := make(chan struct{})
		accepted := 0
		for range 10 * maxQueuedCalls {
			if calls.enqueue("w1", func() { <-release }) {
				accepted++
			}
		}
		if accepted > maxQueuedCalls+1 {
			t.Errorf("%d calls were accepted", accepted)
		}
		if !calls.enqueue("w2", func() {}) {
			t.Error("an agent that answers was refused")
		}
		close(release)
		calls.close()
	})
}

// TestPendingJobBeyondFirstPage guards against jobs that are not adopted because pending rows of
// another home fill the first page.
func TestPendingJobBeyondFirstPage(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		other := membership.Entry{ID: "e2", State: membership.Live, Incarnation: 1, ControlAddress: "e2", Region: "north", DataCentre: "dc1"}
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				fixture.entry.control.Call(func() { fixture.entry.entries.ApplyHeartbeat(other, fixture.entry.time.Now()) })
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
		fixture.advance(2 * time.Second)
		remoteCount := 0
		homeJob := ident.Job("")
		for index := 0; homeJob == "" || remoteCount <= rowsPerPage; index++ {
			name := ident.Job(fmt.Sprintf("j%04d", index))
			if !fixture.entry.homedHere(name) {
				remoteCount++
				fixture.writeRow(table.Condition{Key: pendingKey(name)}, table.Operation{Key: pendingKey(name), Value: []byte("1")}, nil)
			} else if remoteCount >= rowsPerPage {
				homeJob = name
				fixture.writeJob(name, false)
				fixture.writeRow(table.Condition{Key: pendingKey(name)}, table.Operation{Key: pendingKey(name), Value: []byte("1")}, nil)
			}
		}
		fixture.advance(3 * time.Second)
		reply, err := fixture.entry.Explain(fixture.Context(), &controlpb.ExplainRequest{Job: string(homeJob)})
		if err != nil || !reply.Known {
			fixture.Fatalf("job is not adopted: %v %v", reply, err)
		}
	})
}

// TestEntryBeyondFirstPage guards against entries that never find each other because the rows of
// entries that left fill the first page.
func TestEntryBeyondFirstPage(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		for index := range entriesPerPage + 1 {
			peer := membership.Entry{ID: ident.Entry(fmt.Sprintf("d%04d", index)), State: membership.Left, Incarnation: 1, Region: "north"}
			if index == entriesPerPage {
				peer.State, peer.ID = membership.Live, "z"
			}
			value, err := membership.EncodeEntry(peer)
			key := membership.EntryKey(peer.ID)
			fixture.writeRow(table.Condition{Key: key}, table.Operation{Key: key, Value: value}, err)
		}
		fixture.advance(6 * time.Second)
		fixture.entry.control.Call(func() {
			if live := fixture.entry.entries.Live(fixture.entry.time.Now()); len(live) != 2 {
				fixture.Errorf("live entries are %v, want e1 and z", live)
			}
		})
	})
}

// TestCancellationRacesClaim guards against a cancellation that overwrites a claim committed at the
// same time: the claimed task must stay live until it is stopped, and nothing may be claimed after
// the cancellation.
func TestCancellationRacesClaim(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.writeJob(testTask.Job, false)
		fixture.store.setHook(func(call string, key table.Key) {
			if call != "Get" || key != job.Key(testTask.Job) {
				return
			}
			fixture.store.setHook(nil)
			stored, _ := fixture.store.Memory.Get(context.Background(), key)
			row, err := job.Decode(stored.Value)
			if err == nil {
				err = row.Apply(job.Change{Step: job.StepClaim, Epoch: 1, Size: taskSize, Placement: job.Placement{Worker: "w1", Incarnation: 1, DataCentre: "dc1"}})
			}
			fixture.writeRow(table.Condition{Key: key, Revision: stored.Revision}, table.Operation{Key: key, Value: row.Encode()}, err)
		})
		if _, err := fixture.entry.Operations().CancelJob(fixture.Context(), operator.Call{Operator: "anna", Request: "r1"}, testTask.Job); err != nil {
			fixture.Fatal(err)
		}
		if task, cancelled := fixture.task(testTask.Job); !cancelled || task.State != job.Claimed || task.Epoch != 1 {
			fixture.Fatalf("task is %+v, cancelled %t, want claimed and cancelled", task, cancelled)
		}
		fixture.advance(2 * time.Second)
		fixture.report(worker.Stopped)
		fixture.advance(5 * time.Second)
		if task, _ := fixture.task(testTask.Job); task.State != job.Cancelled || task.Epoch != 1 {
			fixture.Fatalf("task is %+v, want cancelled in epoch 1", task)
		}
	})
}

// TestOperatorConflict guards against an operator who unknowingly overwrites the change of another
// one.
func TestOperatorConflict(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		operations := fixture.entry.Operations()
		change := operator.DataCentreChange{DataCentre: "dc1", State: operator.In}
		accepted, err := operations.SetDataCentre(fixture.Context(), operator.Call{Operator: "anna", Request: "r1"}, change)
		if err != nil {
			fixture.Fatal(err)
		}
		fixture.advance(2 * time.Second)
		change.State, change.IfVersion = operator.Out, accepted.Version
		if _, err := operations.SetDataCentre(fixture.Context(), operator.Call{Operator: "bert", Request: "r2"}, change); err != nil {
			fixture.Fatal(err)
		}
		fixture.advance(2 * time.Second)
		change.State = operator.In
		if _, err := operations.SetDataCentre(fixture.Context(), operator.Call{Operator: "anna", Request: "r3"}, change); !operator.IsErrConflict(err) {
			fixture.Fatalf("got %v, want a conflict", err)
		}
	})
}

// TestLostDataCentreIncludesUnresponsiveWorkers guards against a declaration that a data centre is
// lost which leaves out workers that are already unresponsive.
func TestLostDataCentreIncludesUnresponsiveWorkers(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.wantGrant(fixture.announce("w1", 1, 0, 1))
		fixture.takeOver("w1", 1)
		fixture.advance(15 * time.Second)
		change := operator.DataCentreChange{DataCentre: "dc1", State: operator.Lost}
		if _, err := fixture.entry.Operations().SetDataCentre(fixture.Context(), operator.Call{Operator: "anna", Request: "r1"}, change); err != nil {
			fixture.Fatal(err)
		}
		if record, _ := fixture.leaseRecord("w1"); record.Over != 1 || record.Reason != lease.OperatorDeclaration {
			fixture.Fatalf("row is %+v, want incarnation 1 over", record)
		}
	})
}

// TestLostDataCentreSparesLiveWorkers guards against a declaration that a data centre is lost which
// ends the incarnation of a worker that still announces itself, so that its tasks would run twice.
// Also guards against a worker that becomes unresponsive later and is ended only when its lease
// lapses.
func TestLostDataCentreSparesLiveWorkers(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		operations, call := fixture.entry.Operations(), operator.Call{Operator: "anna", Request: "r1"}
		revision := fixture.wantGrant(fixture.announce("w1", 1, 0, 1))
		if _, err := operations.SetDataCentre(fixture.Context(), call, operator.DataCentreChange{DataCentre: "dc1", State: operator.Lost}); err != nil {
			fixture.Fatal(err)
		}
		list, err := operations.DataCentres(fixture.Context())
		if err != nil || len(list.DataCentres) != 1 || list.DataCentres[0].State != operator.Lost {
			fixture.Errorf("listed as %+v (%v)", list.DataCentres, err)
		}
		if _, err := operations.DeclareLost(fixture.Context(), call, operator.WorkerLoss{Worker: "w1", Incarnation: 1}); !operator.IsErrBadRequest(err) {
			fixture.Errorf("declared lost while it announces itself: %v", err)
		}
		for range 10 {
			fixture.advance(3 * time.Second)
			fixture.wantGrant(fixture.announce("w1", 1, revision, 1))
		}
		if record, _ := fixture.leaseRecord("w1"); record.Over != 0 {
			fixture.Fatalf("row is %+v, want incarnation 1 to go on", record)
		}
		fixture.advance(lease.DefaultTerm.Duration())
		if record, _ := fixture.leaseRecord("w1"); record.Over != 1 || record.Reason != lease.OperatorDeclaration {
			fixture.Fatalf("row is %+v, want incarnation 1 over by the declaration", record)
		}
		fixture.wantFenced(fixture.announce("w1", 1, revision, 1))
	})
}

// TestAgentReturnsDuringDeclaration guards against a lease for an agent that returns while the end
// of its incarnation, declared by an operator, is being written to the table.
func TestAgentReturnsDuringDeclaration(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		revision := fixture.wantGrant(fixture.announce("w1", 1, 0, 1))
		fixture.advance(15 * time.Second)
		returned := false
		fixture.store.setHook(func(call string, key table.Key) {
			if record, _ := fixture.leaseRecord("w1"); call == "Commit" && key == lease.Key("w1") && record.Over == 1 {
				fixture.store.setHook(nil)
				returned = true
				fixture.wantFenced(fixture.announce("w1", 1, revision, 1))
			}
		})
		loss := operator.WorkerLoss{Worker: "w1", Incarnation: 1}
		if _, err := fixture.entry.Operations().DeclareLost(fixture.Context(), operator.Call{Operator: "anna", Request: "r1"}, loss); err != nil {
			fixture.Fatal(err)
		}
		if !returned {
			fixture.Fatal("the agent did not return during the write")
		}
	})
}

// TestNoGrantAfterShutdown guards against a lease that is granted after the entry's row was marked
// as Left.
func TestNoGrantAfterShutdown(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.wantGrant(fixture.announce("w1", 1, 0, 0))
		announced := false
		fixture.store.setHook(func(call string, key table.Key) {
			row, _ := fixture.store.Memory.Get(context.Background(), key)
			if peer, err := membership.DecodeEntry(row); call != "Commit" || err != nil || peer.State != membership.Left {
				return
			}
			fixture.store.setHook(nil)
			announced = true
			if reply := fixture.announce("w1", 1, 0, 0); reply.LeaseTermMillis != 0 {
				fixture.Errorf("got %v from an entry that has left", reply)
			}
		})
		if err := fixture.entry.Shutdown(fixture.Context()); err != nil {
			fixture.Fatal(err)
		}
		row, _ := fixture.store.Memory.Get(context.Background(), membership.EntryKey("e1"))
		if peer, err := membership.DecodeEntry(row); err != nil || peer.State != membership.Left || !announced {
			fixture.Fatalf("row is %+v, want Left, announced %t (%v)", peer, announced, err)
		}
	})
}
