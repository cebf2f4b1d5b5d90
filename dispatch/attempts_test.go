package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/dedup"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/retry"
	"hyssopjunction/routing"
)

// outage is a service of 10 endpoints of which the first are unreachable.
type outage struct {
	down     int
	attempts atomic.Int64
	view     *routing.View
}

func (outage *outage) Service(ident.Service) (dispatch.Service, *routing.View, bool) {
	return dispatch.Service{Idempotent: true, Patience: 1000}, outage.view, true
}

func (outage *outage) Serve(_ context.Context, address string, request *controlpb.ServeRequest) (*controlpb.ServeReply, error) {
	outage.attempts.Add(1)
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil || index < outage.down {
		return nil, io.ErrUnexpectedEOF
	}
	return &controlpb.ServeReply{Request: request.GetRequest(), Outcome: 1, Status: 200}, nil
}

func (outage *outage) Query(context.Context, string, *controlpb.QueryRequest) (*controlpb.QueryReply, error) {
	return nil, io.ErrUnexpectedEOF
}

func (outage *outage) Follow(context.Context, string, *controlpb.FollowRequest, func(*controlpb.FollowChunk) error) error {
	return io.ErrUnexpectedEOF
}

// attemptsPerRequest sends requests one after the other and returns the mean number of attempts.
func attemptsPerRequest(down, requests int, budget retry.Settings) float64 {
	outage := &outage{down: down}
	candidates := make([]routing.Candidate, 10)
	for index := range candidates {
		candidates[index] = routing.Candidate{
			Endpoint: ident.Endpoint(fmt.Sprint("e", index)), Address: fmt.Sprint(index),
			Report: routing.Report{Slots: 8, Connections: 64, Service: 10},
		}
	}
	time := clock.NewFake(1)
	outage.view = routing.New(routing.Defaults()).NewView(1, "s", candidates)
	dispatcher := dispatch.New(time, outage, outage, dedup.New(nil, nil, dedup.Defaults()), retry.NewBudget(budget),
		admission.NewLimiter(100, 10), func() ident.Request { return "" }, dispatch.Defaults())
	for index := range requests {
		// Requests that fail are part of the outage; only the attempts count.
		_, _ = dispatcher.Dispatch(context.Background(), dispatch.Request{ID: ident.Request(fmt.Sprint("r", index)), Service: "s", Team: "t"})
		time.Advance(1)
	}
	return float64(outage.attempts.Load()) / float64(requests)
}

// BenchmarkAttempts measures the attempts per request during an outage against retries without a
// budget. The target is at most 1.1.
func BenchmarkAttempts(b *testing.B) {
	for _, down := range []int{1, 3, 5, 10} {
		b.Run(fmt.Sprint(down, "of10"), func(b *testing.B) {
			for range b.N {
				attempts := attemptsPerRequest(down, 5000, retry.Defaults())
				b.ReportMetric(attempts, "attempts/request")
				b.ReportMetric(attempts/attemptsPerRequest(down, 5000, retry.Settings{RatioPermille: 10_000, Burst: 10}), "attempts/baseline")
			}
		})
	}
}

// Guards against retries that multiply the load in an outage.
func TestAttemptsInOutage(t *testing.T) {
	for _, down := range []int{3, 10} {
		if attempts := attemptsPerRequest(down, 1000, retry.Defaults()); attempts > 1.1 {
			t.Errorf("%.3f attempts per request with %d of 10 endpoints down", attempts, down)
		}
	}
}
