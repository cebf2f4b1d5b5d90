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

var size = unit.Resources{CPU: 1000, Memory: 1024}

// writeJob writes a job row as another daemon, with its task claimed on w1 if claimed is set.
func (world *world) writeJob(name ident.Job, claimed bool) {
	world.Helper()
	row, err := job.New(job.Spec{Job: name, Team: "team", Kind: worker.Batch, Count: 1, Declared: size, Region: "north"})
	if err == nil && claimed {
		err = row.Apply(job.Change{Step: job.StepClaim, Epoch: 1, Size: size, Placement: job.Placement{Worker: "w1", Incarnation: 1, DataCentre: "dc1"}})
	}
	world.write(table.Condition{Key: job.Key(name)}, table.Operation{Key: job.Key(name), Value: row.Encode()}, err)
}

// task returns the only task of a job as the table has it.
func (world *world) task(name ident.Job) (job.Task, bool) {
	world.Helper()
	stored, err := world.store.Memory.Get(context.Background(), job.Key(name))
	if err != nil {
		world.Fatal(err)
	}
	row, err := job.Decode(stored.Value)
	if err != nil {
		world.Fatal(err)
	}
	return row.Tasks[0], row.Cancelled
}

func (world *world) report(state worker.State) *controlpb.ReportReply {
	world.Helper()
	reply, err := world.entry.Report(world.Context(), &controlpb.ReportRequest{Worker: "w1", Incarnation: 1, Ended: []*controlpb.TaskStatus{
		controlpb.FromStatus(worker.Status{Task: run, Epoch: 1, State: state, Reason: "test"}),
	}})
	if err != nil {
		world.Fatal(err)
	}
	return reply
}

// Guards against an end that is taken for recorded before the row of its job was read, and is lost.
func TestReportOfUnreadJob(t *testing.T) {
	inWorld(t, func(world *world) {
		world.writeJob(run.Job, true)
		if len(world.report(worker.Finished).Recorded) != 0 {
			world.Fatal("recorded at once")
		}
		recorded := 0
		for range 90 {
			world.pass(time.Second)
			recorded += len(world.report(worker.Finished).Recorded)
		}
		if task, _ := world.task(run.Job); task.State != job.Finished || recorded == 0 {
			world.Fatalf("task is %+v, %d reports were recorded, want Finished", task, recorded)
		}
	})
}

// Guards against calls that add up without bound for an agent that hangs.
func TestLanesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lanes := newLanes()
		release := make(chan struct{})
		accepted := 0
		for range 10 * maxWaiting {
			if lanes.do("w1", func() { <-release }) {
				accepted++
			}
		}
		if accepted > maxWaiting+1 {
			t.Errorf("%d calls were accepted", accepted)
		}
		if !lanes.do("w2", func() {}) {
			t.Error("an agent that answers was refused")
		}
		close(release)
		lanes.close()
	})
}

// Guards against jobs that are not adopted because the pending rows of another home fill the first
// page.
func TestAdoptionBeyondFirstPage(t *testing.T) {
	inWorld(t, func(world *world) {
		other := membership.Entry{ID: "e2", State: membership.Live, Incarnation: 1, ControlAddress: "e2", Region: "north", DataCentre: "dc1"}
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				world.entry.control.Call(func() { world.entry.entries.Heartbeat(other, world.entry.time.Now()) })
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
		world.pass(2 * time.Second)
		theirs := 0
		mine := ident.Job("")
		for index := 0; mine == "" || theirs <= jobPage; index++ {
			name := ident.Job(fmt.Sprintf("j%04d", index))
			if !world.entry.mine(name) {
				theirs++
				world.write(table.Condition{Key: pendingKey(name)}, table.Operation{Key: pendingKey(name), Value: []byte("1")}, nil)
			} else if theirs >= jobPage {
				mine = name
				world.writeJob(name, false)
				world.write(table.Condition{Key: pendingKey(name)}, table.Operation{Key: pendingKey(name), Value: []byte("1")}, nil)
			}
		}
		world.pass(3 * time.Second)
		reply, err := world.entry.Explain(world.Context(), &controlpb.ExplainRequest{Job: string(mine)})
		if err != nil || !reply.Known {
			world.Fatalf("job is not adopted: %v %v", reply, err)
		}
	})
}

// Guards against entries that never learn of each other because the rows of replaced ones fill the
// first page.
func TestEntryBeyondFirstPage(t *testing.T) {
	inWorld(t, func(world *world) {
		for index := range entryPage + 1 {
			known := membership.Entry{ID: ident.Entry(fmt.Sprintf("d%04d", index)), State: membership.Left, Incarnation: 1, Region: "north"}
			if index == entryPage {
				known.State, known.ID = membership.Live, "z"
			}
			value, err := membership.EncodeEntry(known)
			key := membership.EntryKey(known.ID)
			world.write(table.Condition{Key: key}, table.Operation{Key: key, Value: value}, err)
		}
		world.pass(6 * time.Second)
		world.entry.control.Call(func() {
			if live := world.entry.entries.Live(world.entry.time.Now()); len(live) != 2 {
				world.Errorf("live entries are %v, want e1 and z", live)
			}
		})
	})
}

// Guards against a cancellation that loses a claim committed meanwhile: the claimed task must stay
// live until it is stopped, and nothing is claimed after the cancellation.
func TestCancellationRacesClaim(t *testing.T) {
	inWorld(t, func(world *world) {
		world.writeJob(run.Job, false)
		world.store.hook(func(call string, key table.Key) {
			if call != "Get" || key != job.Key(run.Job) {
				return
			}
			world.store.hook(nil)
			stored, _ := world.store.Memory.Get(context.Background(), key)
			row, err := job.Decode(stored.Value)
			if err == nil {
				err = row.Apply(job.Change{Step: job.StepClaim, Epoch: 1, Size: size, Placement: job.Placement{Worker: "w1", Incarnation: 1, DataCentre: "dc1"}})
			}
			world.write(table.Condition{Key: key, Revision: stored.Revision}, table.Operation{Key: key, Value: row.Encode()}, err)
		})
		if _, err := world.entry.Operations().CancelJob(world.Context(), operator.Call{Operator: "anna", Request: "r1"}, run.Job); err != nil {
			world.Fatal(err)
		}
		if task, cancelled := world.task(run.Job); !cancelled || task.State != job.Claimed || task.Epoch != 1 {
			world.Fatalf("task is %+v, cancelled %t, want claimed and cancelled", task, cancelled)
		}
		world.pass(2 * time.Second)
		world.report(worker.Stopped)
		world.pass(5 * time.Second)
		if task, _ := world.task(run.Job); task.State != job.Cancelled || task.Epoch != 1 {
			world.Fatalf("task is %+v, want cancelled in epoch 1", task)
		}
	})
}

// Guards against an operator who overwrites the change of another one without knowing.
func TestOperatorConflict(t *testing.T) {
	inWorld(t, func(world *world) {
		operations := world.entry.Operations()
		change := operator.DataCentreChange{DataCentre: "dc1", State: operator.In}
		accepted, err := operations.SetDataCentre(world.Context(), operator.Call{Operator: "anna", Request: "r1"}, change)
		if err != nil {
			world.Fatal(err)
		}
		world.pass(2 * time.Second)
		change.State, change.IfVersion = operator.Out, accepted.Version
		if _, err := operations.SetDataCentre(world.Context(), operator.Call{Operator: "bert", Request: "r2"}, change); err != nil {
			world.Fatal(err)
		}
		world.pass(2 * time.Second)
		change.State = operator.In
		if _, err := operations.SetDataCentre(world.Context(), operator.Call{Operator: "anna", Request: "r3"}, change); !operator.IsErrConflict(err) {
			world.Fatalf("got %v, want a conflict", err)
		}
	})
}

// Guards against the statement that a data centre is lost passing over the workers that are silent
// already.
func TestLostDataCentreIncludesSilentWorkers(t *testing.T) {
	inWorld(t, func(world *world) {
		world.wantGrant(world.announce("w1", 1, 0, 1))
		world.takeOver("w1", 1)
		world.pass(15 * time.Second)
		change := operator.DataCentreChange{DataCentre: "dc1", State: operator.Lost}
		if _, err := world.entry.Operations().SetDataCentre(world.Context(), operator.Call{Operator: "anna", Request: "r1"}, change); err != nil {
			world.Fatal(err)
		}
		if record, _ := world.record("w1"); record.Over != 1 || record.Reason != lease.OperatorStatement {
			world.Fatalf("row is %+v, want incarnation 1 over", record)
		}
	})
}

// Guards against the statement that a data centre is lost ending the incarnation of a worker that is
// still heard of, whose tasks would then run twice, and against a worker that falls silent later and
// waits for its lease.
func TestLostDataCentreSparesLiveWorkers(t *testing.T) {
	inWorld(t, func(world *world) {
		operations, call := world.entry.Operations(), operator.Call{Operator: "anna", Request: "r1"}
		revision := world.wantGrant(world.announce("w1", 1, 0, 1))
		if _, err := operations.SetDataCentre(world.Context(), call, operator.DataCentreChange{DataCentre: "dc1", State: operator.Lost}); err != nil {
			world.Fatal(err)
		}
		list, err := operations.DataCentres(world.Context())
		if err != nil || len(list.DataCentres) != 1 || list.DataCentres[0].State != operator.Lost {
			world.Errorf("listed as %+v (%v)", list.DataCentres, err)
		}
		if _, err := operations.DeclareLost(world.Context(), call, operator.WorkerLoss{Worker: "w1", Incarnation: 1}); !operator.IsErrBadRequest(err) {
			world.Errorf("declared lost while it is heard of: %v", err)
		}
		for range 10 {
			world.pass(3 * time.Second)
			world.wantGrant(world.announce("w1", 1, revision, 1))
		}
		if record, _ := world.record("w1"); record.Over != 0 {
			world.Fatalf("row is %+v, want incarnation 1 alive", record)
		}
		world.pass(lease.DefaultTerm.Duration())
		if record, _ := world.record("w1"); record.Over != 1 || record.Reason != lease.OperatorStatement {
			world.Fatalf("row is %+v, want incarnation 1 over by the statement", record)
		}
		world.wantFenced(world.announce("w1", 1, revision, 1))
	})
}

// Guards against a lease for an agent that returns while the end of its incarnation, stated by an
// operator, is on its way to the table.
func TestReturnDuringStatement(t *testing.T) {
	inWorld(t, func(world *world) {
		revision := world.wantGrant(world.announce("w1", 1, 0, 1))
		world.pass(15 * time.Second)
		returned := false
		world.store.hook(func(call string, key table.Key) {
			if record, _ := world.record("w1"); call == "Commit" && key == lease.Key("w1") && record.Over == 1 {
				world.store.hook(nil)
				returned = true
				world.wantFenced(world.announce("w1", 1, revision, 1))
			}
		})
		loss := operator.WorkerLoss{Worker: "w1", Incarnation: 1}
		if _, err := world.entry.Operations().DeclareLost(world.Context(), operator.Call{Operator: "anna", Request: "r1"}, loss); err != nil {
			world.Fatal(err)
		}
		if !returned {
			world.Fatal("the agent did not return during the write")
		}
	})
}

// Guards against a lease that is granted after the entry's row says Left.
func TestShutdownGrantsNoMore(t *testing.T) {
	inWorld(t, func(world *world) {
		world.wantGrant(world.announce("w1", 1, 0, 0))
		asked := false
		world.store.hook(func(call string, key table.Key) {
			row, _ := world.store.Memory.Get(context.Background(), key)
			if left, err := membership.DecodeEntry(row); call != "Commit" || err != nil || left.State != membership.Left {
				return
			}
			world.store.hook(nil)
			asked = true
			if reply := world.announce("w1", 1, 0, 0); reply.LeaseTermMillis != 0 {
				world.Errorf("got %v from an entry that has left", reply)
			}
		})
		if err := world.entry.Shutdown(world.Context()); err != nil {
			world.Fatal(err)
		}
		row, _ := world.store.Memory.Get(context.Background(), membership.EntryKey("e1"))
		if left, err := membership.DecodeEntry(row); err != nil || left.State != membership.Left || !asked {
			world.Fatalf("row is %+v, want Left, asked %t (%v)", left, asked, err)
		}
	})
}
