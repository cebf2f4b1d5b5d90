package endpoint_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/endpoint"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

// fakeDoer is an endpoint with random service times that fails at random if failing is set. It uses
// the clock of the synctest bubble.
type fakeDoer struct {
	mu          sync.Mutex
	random      *rand.Rand
	serviceTime time.Duration
	failing     bool
	down        atomic.Bool
	running     atomic.Int32
	maxRunning  atomic.Int32
	runs        map[ident.Request]int
}

func (doer *fakeDoer) randomInt(limit int) int {
	doer.mu.Lock()
	defer doer.mu.Unlock()
	return doer.random.IntN(limit)
}

func (doer *fakeDoer) Do(ctx context.Context, call endpoint.Call) (endpoint.Reply, error) {
	if doer.down.Load() || (doer.failing && doer.randomInt(5) == 0) {
		return endpoint.Reply{}, endpoint.ErrNotSent{}
	}
	doer.mu.Lock()
	doer.runs[call.Request]++
	doer.maxRunning.Store(max(doer.maxRunning.Load(), doer.running.Add(1)))
	doer.mu.Unlock()
	defer doer.running.Add(-1)
	select {
	case <-time.After(doer.serviceTime * time.Duration(1+doer.randomInt(3)) / 2):
	case <-ctx.Done():
		return endpoint.Reply{}, endpoint.ErrLost{Request: call.Request, Cause: ctx.Err()}
	}
	if doer.failing && doer.randomInt(5) == 0 {
		return endpoint.Reply{}, endpoint.ErrSilent{Request: call.Request}
	}
	return endpoint.Reply{Status: 200, Body: []byte("answer to " + call.Request)}, nil
}

func (doer *fakeDoer) Stream(ctx context.Context, call endpoint.StreamCall, pass func(int64, []byte) error) (int64, error) {
	for offset := call.Offset; offset < 100; offset += 10 {
		if err := pass(offset, make([]byte, 10)); err != nil {
			return offset, err
		}
		select {
		case <-time.After(doer.serviceTime):
		case <-ctx.Done():
			return offset + 10, ctx.Err()
		}
	}
	return 100, nil
}

func (doer *fakeDoer) Probe(context.Context) error {
	if doer.down.Load() {
		return endpoint.ErrNotSent{}
	}
	return nil
}

func newGate(service time.Duration) (*endpoint.Gate, *fakeDoer) {
	doer := &fakeDoer{random: rand.New(rand.NewPCG(1, 2)), serviceTime: service, runs: map[ident.Request]int{}}
	settings := endpoint.GateDefaults()
	settings.Endpoint, settings.Service, settings.Incarnation = "e1", "s", 7
	return endpoint.NewGate(clock.NewSystem(), doer, settings), doer
}

func request(id string, patience int64) *controlpb.ServeRequest {
	return &controlpb.ServeRequest{Request: id, Service: "s", Endpoint: "e1", Incarnation: 7, Team: "t", Priority: 1, PatienceMillis: patience}
}

func assertReply(t *testing.T, reply *controlpb.ServeReply, want outcome.Outcome, refusal string) {
	t.Helper()
	if outcome.Outcome(reply.GetOutcome()) != want || reply.GetRefusal() != refusal {
		t.Fatalf("reply %+v, want %s %q", reply, want, refusal)
	}
	if want == outcome.Ran && string(reply.GetBody()) != "answer to "+reply.GetRequest() {
		t.Fatalf("%s has body %q", reply.GetRequest(), reply.GetBody())
	}
}

// TestGateUnderLoad guards against more than 8 concurrent requests at the endpoint, wrong or
// missing replies, and requests that ran although they were reported as not run, while callers give
// up or repeat requests.
func TestGateUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, doer := newGate(20 * time.Millisecond)
		doer.failing = true
		var callers sync.WaitGroup
		var notRun sync.Map
		for index := range 2000 {
			callers.Go(func() {
				time.Sleep(time.Duration(doer.randomInt(3000)) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+doer.randomInt(200))*time.Millisecond)
				defer cancel()
				id := fmt.Sprint("r", index/2)
				reply := gate.Serve(ctx, request(id, int64(1+doer.randomInt(200))))
				switch outcome.Outcome(reply.GetOutcome()) {
				case outcome.Ran:
					assertReply(t, reply, outcome.Ran, "")
				case outcome.NotRun:
					notRun.Store(id, true)
				case outcome.Unknown:
				}
			})
		}
		callers.Wait()
		if err := gate.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		gate.Close()
		if doer.maxRunning.Load() > 8 {
			t.Fatalf("%d requests at the endpoint at once", doer.maxRunning.Load())
		}
		for id, runs := range doer.runs {
			if _, refused := notRun.Load(string(id)); refused || runs > 1 {
				t.Fatalf("%s ran %d times, refused %v", id, runs, refused)
			}
		}
	})
}

// TestDrain guards against a drain that interrupts running requests, admits new ones, or waits for
// an open stream, which can be resumed at another endpoint from the returned offset.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, _ := newGate(100 * time.Millisecond)
		replies := make(chan *controlpb.ServeReply, 9)
		for index := range 9 {
			go func() { replies <- gate.Serve(t.Context(), request(fmt.Sprint("r", index), 5000)) }()
		}
		var lastChunk *controlpb.FollowChunk
		received := int64(0)
		follow := make(chan error, 1)
		go func() {
			follow <- gate.Follow(t.Context(), &controlpb.FollowRequest{Request: "f", Service: "s", Endpoint: "e1", Incarnation: 7},
				func(chunk *controlpb.FollowChunk) error {
					lastChunk, received = chunk, received+int64(len(chunk.GetData()))
					return nil
				})
		}()
		time.Sleep(20 * time.Millisecond)
		if err := gate.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		gate.Close()
		if err := <-follow; err != nil || lastChunk.GetRefusal() != "ErrLeaving" || lastChunk.GetOffset() != received || received != 10 {
			t.Fatalf("stream ended after %d bytes with %+v, %v", received, lastChunk, err)
		}
		counts := map[outcome.Outcome]int{}
		for range 9 {
			counts[outcome.Outcome((<-replies).GetOutcome())]++
		}
		if counts[outcome.Ran] != 8 || counts[outcome.NotRun] != 1 {
			t.Fatalf("outcomes %v", counts)
		}
	})
}

// TestUnhealthyEndpointRecovers guards against an endpoint that stays unhealthy forever because no
// requests are sent to it.
func TestUnhealthyEndpointRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, doer := newGate(time.Millisecond)
		defer gate.Close()
		doer.down.Store(true)
		for index := range 3 {
			assertReply(t, gate.Serve(t.Context(), request(fmt.Sprint("r", index), 100)), outcome.NotRun, string(admission.EndpointDown))
		}
		time.Sleep(5 * time.Second)
		if gate.State().GetHealthy() {
			t.Fatal("an unreachable endpoint is announced as healthy")
		}
		doer.down.Store(false)
		time.Sleep(2 * time.Second)
		if !gate.State().GetHealthy() {
			t.Fatal("the endpoint is still announced as unhealthy")
		}
	})
}

// TestQuery guards against an answer that cannot be queried after its reply was lost, and against a
// request that runs after a query refused it.
func TestQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, doer := newGate(50 * time.Millisecond)
		defer gate.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		lost := gate.Serve(ctx, request("r1", 1000))
		if !lost.GetPending() || lost.GetOutcome() != int32(outcome.Unknown) {
			t.Fatalf("reply %+v", lost)
		}
		query := func(id string, incarnation uint64) *controlpb.QueryReply {
			return gate.Query(t.Context(), &controlpb.QueryRequest{Request: id, Incarnation: incarnation, RefuseIfAbsent: true})
		}
		if reply := query("r1", 7); !reply.GetKnown() || !reply.GetReply().GetPending() {
			t.Fatalf("reply %+v", reply)
		}
		time.Sleep(time.Second)
		assertReply(t, query("r1", 7).GetReply(), outcome.Ran, "")
		assertReply(t, query("r2", 7).GetReply(), outcome.NotRun, string(admission.Refused))
		assertReply(t, gate.Serve(t.Context(), request("r2", 1000)), outcome.NotRun, string(admission.Refused))
		if reply := query("r1", 6); reply.GetKnown() || reply.GetReply().GetRefusal() != "ErrIncarnation" {
			t.Fatalf("reply %+v", reply)
		}
		stale := request("r3", 1000)
		stale.Incarnation = 6
		assertReply(t, gate.Serve(t.Context(), stale), outcome.NotRun, "ErrIncarnation")
		if doer.runs["r2"]+doer.runs["r3"] > 0 {
			t.Fatal("a refused request ran")
		}
	})
}
