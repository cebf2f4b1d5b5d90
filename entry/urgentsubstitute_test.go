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

// otherHome is an entry that answers notifications until it is lost.
type otherHome struct {
	noConnections
	controlpb.EntryClient
	lost atomic.Bool
}

func (home *otherHome) Entry(string) (controlpb.EntryClient, error) { return home, nil }

// Notify does not answer once the entry is lost.
func (home *otherHome) Notify(ctx context.Context, _ *controlpb.NotifyRequest, _ ...grpc.CallOption) (*controlpb.NotifyReply, error) {
	if home.lost.Load() {
		<-ctx.Done()
	}
	return &controlpb.NotifyReply{}, ctx.Err()
}

// Explain does not answer once the entry is lost.
func (home *otherHome) Explain(ctx context.Context, _ *controlpb.ExplainRequest, _ ...grpc.CallOption) (*controlpb.ExplainReply, error) {
	if home.lost.Load() {
		<-ctx.Done()
	}
	return &controlpb.ExplainReply{Known: true, Reason: "told by the home"}, ctx.Err()
}

// Exchange has no answer.
func (home *otherHome) Exchange(context.Context, *controlpb.ExchangeRequest, ...grpc.CallOption) (*controlpb.ExchangeReply, error) {
	return nil, errClosed{}
}

// Guards against urgent work that waits until the other entries count its lost home as dead, 8 s and
// more, and against a job that two entries go on scheduling while its home is well.
func TestUrgentJobOfLostHome(t *testing.T) {
	cases := []struct {
		name             string
		urgent           bool
		before, after    bool
		scheduled, later bool
	}{
		{"lost before the submission", true, true, true, true, false},
		{"lost after the submission", true, false, true, true, false},
		{"well", true, false, false, false, false},
		{"ordinary work", false, true, true, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			home := &otherHome{}
			home.lost.Store(test.before)
			inWorldWith(t, home, func(world *world) {
				other := membership.Entry{ID: "e2", State: membership.Live, Incarnation: 1, ControlAddress: "e2", Region: "north", DataCentre: "dc1"}
				heard := func() {
					world.entry.control.Call(func() { world.entry.entries.Heartbeat(other, world.entry.time.Now()) })
				}
				heard()
				name := world.theirs()
				submission := operator.JobSubmission{Job: name, Team: "team", Kind: worker.Batch, Tasks: 1, Resources: size, Urgent: test.urgent}
				world.submit(submission)
				home.lost.Store(test.after)
				world.pass(3 * time.Second)
				world.wantScheduled(name, test.scheduled)
				for range 20 {
					heard()
					world.pass(time.Second)
				}
				world.wantScheduled(name, test.later)
			})
		})
	}
}

// Guards against an urgent job that is not scheduled, because the operator's client turned to another
// entry while the accepting one waited for the lost home.
func TestUrgentJobOfImpatientClient(t *testing.T) {
	home := &otherHome{}
	home.lost.Store(true)
	inWorldWith(t, home, func(world *world) {
		other := membership.Entry{ID: "e2", State: membership.Live, Incarnation: 1, ControlAddress: "e2", Region: "north", DataCentre: "dc1"}
		world.entry.control.Call(func() { world.entry.entries.Heartbeat(other, world.entry.time.Now()) })
		name := world.theirs()
		impatient, cancel := context.WithTimeout(world.Context(), 400*time.Millisecond)
		defer cancel()
		world.submitIn(impatient, operator.JobSubmission{Job: name, Team: "team", Kind: worker.Batch, Tasks: 1, Resources: size, Urgent: true})
		world.pass(time.Second)
		world.wantScheduled(name, true)
	})
}

// theirs returns the name of a job whose home is another entry.
func (world *world) theirs() ident.Job {
	name := ident.Job("j0")
	for index := 1; world.entry.mine(name); index++ {
		name = ident.Job(fmt.Sprintf("j%d", index))
	}
	return name
}

// submit accepts a job as the operators' API does once its team is known.
func (world *world) submit(submission operator.JobSubmission) {
	world.Helper()
	world.submitIn(world.Context(), submission)
}

// submitIn is submit with the context of the operator's call.
func (world *world) submitIn(ctx context.Context, submission operator.JobSubmission) {
	world.Helper()
	spec := job.Spec{Job: submission.Job, Team: submission.Team, Kind: submission.Kind, Count: submission.Tasks, Declared: submission.Resources, Urgent: submission.Urgent, Region: "north"}
	transaction, err := job.Submission(spec, "submission")
	if err == nil {
		err = world.store.Write(table.Transaction{Write: transaction.Write, Conditions: transaction.Conditions, Operations: transaction.Operations})
	}
	if err != nil {
		world.Fatal(err)
	}
	world.entry.submitted(ctx, spec)
}

func (world *world) wantScheduled(name ident.Job, want bool) {
	world.Helper()
	known := false
	world.entry.control.Call(func() { _, known = world.entry.scheduler.Job(name) })
	if known != want {
		world.Fatalf("job is scheduled here: %t, want %t", known, want)
	}
}
