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

// doer is an endpoint that takes a random time and fails now and then. All its time is that of the
// synctest bubble.
type doer struct {
	mu      sync.Mutex
	random  *rand.Rand
	service time.Duration
	failing bool
	down    atomic.Bool
	running atomic.Int32
	peak    atomic.Int32
	runs    map[ident.Request]int
}

func (doer *doer) draw(limit int) int {
	doer.mu.Lock()
	defer doer.mu.Unlock()
	return doer.random.IntN(limit)
}

func (doer *doer) Do(ctx context.Context, call endpoint.Call) (endpoint.Reply, error) {
	if doer.down.Load() || (doer.failing && doer.draw(5) == 0) {
		return endpoint.Reply{}, endpoint.ErrNotSent{}
	}
	doer.mu.Lock()
	doer.runs[call.Request]++
	doer.peak.Store(max(doer.peak.Load(), doer.running.Add(1)))
	doer.mu.Unlock()
	defer doer.running.Add(-1)
	select {
	case <-time.After(doer.service * time.Duration(1+doer.draw(3)) / 2):
	case <-ctx.Done():
		return endpoint.Reply{}, endpoint.ErrLost{Request: call.Request, Cause: ctx.Err()}
	}
	if doer.failing && doer.draw(5) == 0 {
		return endpoint.Reply{}, endpoint.ErrSilent{Request: call.Request}
	}
	return endpoint.Reply{Status: 200, Body: []byte("answer to " + call.Request)}, nil
}

func (doer *doer) Stream(ctx context.Context, call endpoint.StreamCall, pass func(int64, []byte) error) (int64, error) {
	for offset := call.Offset; offset < 100; offset += 10 {
		if err := pass(offset, make([]byte, 10)); err != nil {
			return offset, err
		}
		select {
		case <-time.After(doer.service):
		case <-ctx.Done():
			return offset + 10, ctx.Err()
		}
	}
	return 100, nil
}

func (doer *doer) Probe(context.Context) error {
	if doer.down.Load() {
		return endpoint.ErrNotSent{}
	}
	return nil
}

func newGate(service time.Duration) (*endpoint.Gate, *doer) {
	doer := &doer{random: rand.New(rand.NewPCG(1, 2)), service: service, runs: map[ident.Request]int{}}
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

// Guards against more than 8 requests at the endpoint, wrong or missing replies and requests
// reported as not run that ran, under concurrent callers of whom some give up or repeat.
func TestGateUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, doer := newGate(20 * time.Millisecond)
		doer.failing = true
		var callers sync.WaitGroup
		var notRun sync.Map
		for index := range 2000 {
			callers.Go(func() {
				time.Sleep(time.Duration(doer.draw(3000)) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+doer.draw(200))*time.Millisecond)
				defer cancel()
				id := fmt.Sprint("r", index/2)
				reply := gate.Serve(ctx, request(id, int64(1+doer.draw(200))))
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
		if doer.peak.Load() > 8 {
			t.Fatalf("%d requests at the endpoint at once", doer.peak.Load())
		}
		for id, runs := range doer.runs {
			if _, refused := notRun.Load(string(id)); refused || runs > 1 {
				t.Fatalf("%s ran %d times, refused %v", id, runs, refused)
			}
		}
	})
}

// Guards against a stop that interrupts running requests, lets new ones in, or waits for a stream
// that stays open and can be resumed elsewhere from the offset it names.
func TestGateDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, _ := newGate(100 * time.Millisecond)
		replies := make(chan *controlpb.ServeReply, 9)
		for index := range 9 {
			go func() { replies <- gate.Serve(t.Context(), request(fmt.Sprint("r", index), 5000)) }()
		}
		var last *controlpb.FollowChunk
		reached := int64(0)
		follow := make(chan error, 1)
		go func() {
			follow <- gate.Follow(t.Context(), &controlpb.FollowRequest{Request: "f", Service: "s", Endpoint: "e1", Incarnation: 7},
				func(chunk *controlpb.FollowChunk) error {
					last, reached = chunk, reached+int64(len(chunk.GetData()))
					return nil
				})
		}()
		time.Sleep(20 * time.Millisecond)
		if err := gate.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		gate.Close()
		if err := <-follow; err != nil || last.GetRefusal() != "ErrLeaving" || last.GetOffset() != reached || reached != 10 {
			t.Fatalf("stream ended after %d bytes with %+v, %v", reached, last, err)
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

// Guards against an endpoint that stays unhealthy for ever because nobody sends it requests.
func TestGateRecovery(t *testing.T) {
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

// Guards against answers that cannot be had after a lost reply, and against a request that runs
// after a query refused it.
func TestGateQuery(t *testing.T) {
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
