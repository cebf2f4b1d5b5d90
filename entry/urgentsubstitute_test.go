package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/membership"
	"hyssopjunction/operator"
	"hyssopjunction/table"
	"hyssopjunction/worker"
)

// remoteHome is an entry that answers calls until it is lost.
type remoteHome struct {
	noConnections
	controlpb.EntryClient
	lost atomic.Bool
}

func (home *remoteHome) Entry(string) (controlpb.EntryClient, error) { return home, nil }

// Notify does not answer once the entry is lost.
func (home *remoteHome) Notify(ctx context.Context, _ *controlpb.NotifyRequest, _ ...grpc.CallOption) (*controlpb.NotifyReply, error) {
	if home.lost.Load() {
		<-ctx.Done()
	}
	return &controlpb.NotifyReply{}, ctx.Err()
}

// Explain does not answer once the entry is lost.
func (home *remoteHome) Explain(ctx context.Context, _ *controlpb.ExplainRequest, _ ...grpc.CallOption) (*controlpb.ExplainReply, error) {
	if home.lost.Load() {
		<-ctx.Done()
	}
	return &controlpb.ExplainReply{Known: true, Reason: "explained by the home"}, ctx.Err()
}

// Exchange always fails.
func (home *remoteHome) Exchange(context.Context, *controlpb.ExchangeRequest, ...grpc.CallOption) (*controlpb.ExchangeReply, error) {
	return nil, errClosed{}
}

// TestUrgentJobOfLostHome guards against urgent work that waits until the other entries count its
// lost home as dead, which takes 8 s or more, and against a job that two entries continue to
// schedule while its home is healthy.
func TestUrgentJobOfLostHome(t *testing.T) {
	cases := []struct {
		name                      string
		urgent                    bool
		lostBefore, lostAfter     bool
		scheduled, scheduledLater bool
	}{
		{"lost before the submission", true, true, true, true, false},
		{"lost after the submission", true, false, true, true, false},
		{"healthy home", true, false, false, false, false},
		{"ordinary work", false, true, true, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			home := &remoteHome{}
			home.lost.Store(test.lostBefore)
			runFixtureWith(t, home, func(fixture *fixture) {
				other := membership.Entry{ID: "e2", State: membership.Live, Incarnation: 1, ControlAddress: "e2", Region: "north", DataCentre: "dc1"}
				heartbeat := func() {
					fixture.entry.control.Call(func() { fixture.entry.entries.ApplyHeartbeat(other, fixture.entry.time.Now()) })
				}
				heartbeat()
				name := fixture.remoteJob()
				submission := operator.JobSubmission{Job: name, Team: "team", Kind: worker.Batch, Tasks: 1, Resources: taskSize, Urgent: test.urgent}
				fixture.submit(submission)
				home.lost.Store(test.lostAfter)
				fixture.advance(3 * time.Second)
				fixture.wantScheduled(name, test.scheduled)
				for range 20 {
					heartbeat()
					fixture.advance(time.Second)
				}
				fixture.wantScheduled(name, test.scheduledLater)
			})
		})
	}
}

// TestUrgentJobOfImpatientClient guards against an urgent job that is not scheduled, because the
// operator's client turned to another entry while the accepting one waited for the lost home.
func TestUrgentJobOfImpatientClient(t *testing.T) {
	home := &remoteHome{}
	home.lost.Store(true)
	runFixtureWith(t, home, func(fixture *fixture) {
		other := membership.Entry{ID: "e2", State: membership.Live, Incarnation: 1, ControlAddress: "e2", Region: "north", DataCentre: "dc1"}
		fixture.entry.control.Call(func() { fixture.entry.entries.ApplyHeartbeat(other, fixture.entry.time.Now()) })
		name := fixture.remoteJob()
		impatient, cancel := context.WithTimeout(fixture.Context(), 400*time.Millisecond)
		defer cancel()
		fixture.submitIn(impatient, operator.JobSubmission{Job: name, Team: "team", Kind: worker.Batch, Tasks: 1, Resources: taskSize, Urgent: true})
		fixture.advance(time.Second)
		fixture.wantScheduled(name, true)
	})
}

// remoteJob returns the name of a job whose home is another entry.
func (fixture *fixture) remoteJob() ident.Job {
	name := ident.Job("j0")
	for index := 1; fixture.entry.homedHere(name); index++ {
		name = ident.Job(fmt.Sprintf("j%d", index))
	}
	return name
}

// submit accepts a job as the operators' API does once its team is known.
func (fixture *fixture) submit(submission operator.JobSubmission) {
	fixture.Helper()
	fixture.submitIn(fixture.Context(), submission)
}

// submitIn is submit with the context of the operator's call.
func (fixture *fixture) submitIn(ctx context.Context, submission operator.JobSubmission) {
	fixture.Helper()
	spec := job.Spec{Job: submission.Job, Team: submission.Team, Kind: submission.Kind, Count: submission.Tasks, Declared: submission.Resources, Urgent: submission.Urgent, Region: "north"}
	transaction, err := job.Submission(spec, "submission")
	if err == nil {
		err = fixture.store.Write(table.Transaction{Write: transaction.Write, Conditions: transaction.Conditions, Operations: transaction.Operations})
	}
	if err != nil {
		fixture.Fatal(err)
	}
	fixture.entry.jobSubmitted(ctx, spec)
}

func (fixture *fixture) wantScheduled(name ident.Job, want bool) {
	fixture.Helper()
	scheduled := false
	fixture.entry.control.Call(func() { _, scheduled = fixture.entry.scheduler.Job(name) })
	if scheduled != want {
		fixture.Fatalf("job is scheduled here: %t, want %t", scheduled, want)
	}
}
