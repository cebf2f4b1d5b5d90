package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/dedup"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/retry"
	"hyssopjunction/routing"
)

// TestKeyedSubmissionRunsAtMostOnceUnderFaults guards against a keyed submission that runs twice, gets
// another one's answer, or is reported as not run although it ran. Calls are lost, delayed and answered
// with another request's reply, agents restart, entries crash during requests, and the table fails.
func TestKeyedSubmissionRunsAtMostOnceUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 4, 2)
		fixture.agentFaultPercent = 30
		fixture.tableFaultPercent.Store(10)
		entries := []*entry{fixture.entry(1, dispatch.Defaults()), fixture.entry(2, dispatch.Defaults())}
		var callers sync.WaitGroup
		outcomes := map[outcome.Outcome]int{}
		for index := range 300 {
			key := fmt.Sprint("k", index)
			callers.Go(func() {
				time.Sleep(time.Duration(fixture.draw(20_000)) * time.Millisecond)
				ran, mayHaveRun := false, false
				for range 4 {
					ctx, cancel := context.WithCancel(t.Context())
					if fixture.draw(5) == 0 {
						// The entry crashes: all its work for the request ends.
						ctx, cancel = context.WithTimeout(t.Context(), time.Duration(fixture.draw(200))*time.Millisecond)
					}
					answer, err := entries[fixture.draw(2)].send(ctx, key)
					cancel()
					fixture.mu.Lock()
					outcomes[answer.Outcome]++
					fixture.mu.Unlock()
					switch answer.Outcome {
					case outcome.Ran:
						ran = true
						assertAnswer(t, answer, err, key)
					case outcome.Unknown:
						mayHaveRun = true
					case outcome.NotRun:
					}
					time.Sleep(time.Duration(fixture.draw(500)) * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				fixture.mu.Lock()
				defer fixture.mu.Unlock()
				runs := fixture.runs[key]
				if runs > 1 || (ran && runs == 0) || (!ran && !mayHaveRun && runs > 0) {
					t.Errorf("%s ran %d times, answered %v, unknown %v", key, runs, ran, mayHaveRun)
				}
			})
		}
		for range 5 {
			time.Sleep(4 * time.Second)
			fixture.agents[fixture.draw(4)].restart()
		}
		callers.Wait()
		if outcomes[outcome.Ran] < 600 || outcomes[outcome.Unknown] == 0 || outcomes[outcome.NotRun] == 0 {
			t.Fatalf("the faults do not cover all outcomes: %v", outcomes)
		}
	})
}

// TestIdempotentRequestsAreAnsweredUnderFaults guards against idempotent requests that fail although
// another endpoint works, get another request's answer, or are retried beyond the budget.
func TestIdempotentRequestsAreAnsweredUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 6, 4)
		fixture.idempotent, fixture.agentFaultPercent = true, 5
		entry := fixture.entry(1, dispatch.Defaults())
		var callers sync.WaitGroup
		var mu sync.Mutex
		ran := 0
		const requests = 1000
		for index := range requests {
			callers.Go(func() {
				time.Sleep(time.Duration(index*20) * time.Millisecond)
				key := fmt.Sprint("k", index)
				answer, err := entry.send(t.Context(), key)
				mu.Lock()
				defer mu.Unlock()
				if answer.Outcome == outcome.Ran {
					ran++
					assertAnswer(t, answer, err, key)
				}
			})
		}
		callers.Wait()
		// 5% of the first attempts fail, and retries and queries answer nearly all of these.
		if ran < requests*99/100 {
			t.Fatalf("%d of %d requests were answered", ran, requests)
		}
		if fixture.attempts > requests*11/10 {
			t.Fatalf("%d attempts for %d requests", fixture.attempts, requests)
		}
	})
}

// TestSubmissionLeavesSilentConnection guards against submissions that are not answered because their
// agent's connection is silent and the agent never received them.
func TestSubmissionLeavesSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 2, 8)
		entry := fixture.entry(1, dispatch.Defaults())
		for range 20 {
			// Earn the retry budget for the second attempt.
			if _, err := entry.send(t.Context(), fixture.id("k")); err != nil {
				t.Fatal(err)
			}
		}
		fixture.agents[0].silent = true
		for range 4 {
			answer, err := entry.send(t.Context(), "silent")
			assertAnswer(t, answer, err, "silent")
			if answer.Endpoint == "e0" || fixture.runs["silent"] != 1 {
				t.Fatalf("answered by %s after %d runs", answer.Endpoint, fixture.runs["silent"])
			}
		}
	})
}

// TestKeyIsUsableAfterEntryCrash guards against a key that gets no answer, or a submission that runs
// twice, after the entry crashed between its claim and the answer.
func TestKeyIsUsableAfterEntryCrash(t *testing.T) {
	for _, millis := range []int{0, 1, 5, 15, 25} {
		t.Run(fmt.Sprint(millis, "ms"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t, 2, 8)
				first, second := fixture.entry(1, dispatch.Defaults()), fixture.entry(2, dispatch.Defaults())
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(millis)*time.Millisecond)
				defer cancel()
				firstAnswer, _ := first.send(ctx, "k")
				answer, err := second.send(t.Context(), "k")
				assertAnswer(t, answer, err, "k")
				if fixture.runs["k"] != 1 || (firstAnswer.Outcome == outcome.Ran && !answer.Replayed) {
					t.Fatalf("ran %d times, first outcome %s, replayed %v", fixture.runs["k"], firstAnswer.Outcome, answer.Replayed)
				}
			})
		})
	}
}

// TestOneOfTwoRequestsGetsLastSlot guards against two dispatchers that both get an endpoint's last slot,
// and against a refused request without a certain outcome.
func TestOneOfTwoRequestsGetsLastSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 1, 1)
		fixture.serviceTime = 2 * time.Second
		fixture.agents[0].restart()
		var callers sync.WaitGroup
		var mu sync.Mutex
		outcomes := map[outcome.Outcome]int{}
		for index := range 2 {
			entry := fixture.entry(uint64(index+1), dispatch.Defaults())
			callers.Go(func() {
				answer, err := entry.send(t.Context(), fmt.Sprint("k", index))
				mu.Lock()
				defer mu.Unlock()
				outcomes[answer.Outcome]++
				var notRun dispatch.ErrNotRun
				if answer.Outcome == outcome.NotRun && (!errors.As(err, &notRun) || notRun.RetryAfter <= 0) {
					t.Errorf("refusal %v", err)
				}
			})
		}
		callers.Wait()
		if outcomes[outcome.Ran] != 1 || outcomes[outcome.NotRun] != 1 {
			t.Fatalf("outcomes %v", outcomes)
		}
	})
}

// TestConcurrentCallersOfOneKeyAreAnswered guards against dispatchers that refuse each other's requests
// of one key in turn, so that none is answered, and against a key that runs more than once.
func TestConcurrentCallersOfOneKeyAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 3, 8)
		first, second := fixture.entry(1, dispatch.Defaults()), fixture.entry(2, dispatch.Defaults())
		var callers sync.WaitGroup
		for index := range 60 {
			key := fmt.Sprint("k", index/6)
			callers.Go(func() {
				time.Sleep(time.Duration(fixture.draw(4)) * time.Millisecond)
				answer, err := []*entry{first, second}[index%2].send(t.Context(), key)
				assertAnswer(t, answer, err, key)
			})
		}
		callers.Wait()
		for key, runs := range fixture.runs {
			if runs != 1 {
				t.Errorf("%s ran %d times", key, runs)
			}
		}
	})
}

// TestStopWaitsForRequestsInFlight guards against a stop that interrupts requests in flight or accepts
// new ones.
func TestStopWaitsForRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 1, 1)
		entry := fixture.entry(1, dispatch.Defaults())
		sent := make(chan error, 1)
		go func() { _, err := entry.send(t.Context(), "k"); sent <- err }()
		synctest.Wait()
		if err := entry.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := <-sent; err != nil {
			t.Fatal(err)
		}
		if _, err := entry.send(t.Context(), "k2"); !dispatch.IsErrNotRun(err) {
			t.Fatalf("error %v", err)
		}
	})
}

// TestAnswerIsRecordedAfterTableOutage guards against an answer that is lost because the table was
// unavailable when it arrived, and against submissions that run without a claim.
func TestAnswerIsRecordedAfterTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 2, 8)
		entry := fixture.entry(1, dispatch.Defaults())
		sent := make(chan error, 1)
		go func() { _, err := entry.send(t.Context(), "k"); sent <- err }()
		synctest.Wait()
		fixture.tableFaultPercent.Store(200)
		if err := <-sent; err != nil {
			t.Fatal(err)
		}
		// The table does not show whether an earlier request with the key ran, so the outcome is unknown.
		for _, key := range []string{"k", "k2"} {
			var unknown dispatch.ErrUnknown
			if _, err := entry.send(t.Context(), key); !errors.As(err, &unknown) || unknown.RetryAfter != 700 || unknown.Reason != dispatch.Outage {
				t.Fatalf("key %s: error %v", key, err)
			}
		}
		if fixture.runs["k"] != 1 || fixture.runs["k2"] > 0 {
			t.Fatalf("runs %v", fixture.runs)
		}
		if entry.Flush(t.Context()) != 1 {
			t.Fatal("the answer is not kept")
		}
		fixture.tableFaultPercent.Store(0)
		if entry.Flush(t.Context()) != 0 {
			t.Fatal("the answer is not recorded")
		}
		fixture.agents[0].restart()
		fixture.agents[1].restart()
		answer, err := entry.send(t.Context(), "k")
		assertAnswer(t, answer, err, "k")
	})
}

// TestStreamResumesWithoutGaps guards against missing or repeated bytes in a stream whose endpoints fail
// or leave.
func TestStreamResumesWithoutGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 3, 8)
		fixture.agentFaultPercent = 20
		entry := fixture.entry(1, dispatch.Defaults())
		var got []byte
		time.AfterFunc(30*time.Millisecond, fixture.agents[0].gate.Leave)
		err := entry.Follow(t.Context(), dispatch.StreamRequest{ID: "f", Service: "s", Stream: "x", Offset: 10}, func(data []byte) error {
			got = append(got, data...)
			return nil
		})
		if err != nil || len(got) != 90 {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
		for index, value := range got {
			if int(value) != index+10 {
				t.Fatalf("byte %d is %d", index, value)
			}
		}
	})
}

// TestStreamTriesOtherEndpoints guards against a stream that is refused while an endpoint could serve it, because
// its attempts go to the same failing endpoints again.
func TestStreamTriesOtherEndpoints(t *testing.T) {
	const endpoints, seeds = 5, 20
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(t, endpoints, 8)
			for _, agent := range fixture.agents[1:] {
				agent.down = true
			}
			count := 0
			err := fixture.entry(seed+1, dispatch.Defaults()).Follow(t.Context(), dispatch.StreamRequest{ID: "f", Service: "s", Stream: "x"}, func(data []byte) error {
				count += len(data)
				return nil
			})
			if err != nil || count != 100 {
				t.Errorf("seed %d: %d bytes, want 100; %v", seed, count, err)
			}
		})
	}
}

// TestRefusedRequestsHaveReason guards against requests that cannot be dispatched and fail without a
// typed reason.
func TestRefusedRequestsHaveReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 1, 1)
		entry := fixture.entry(1, dispatch.Defaults())
		for reason, request := range map[dispatch.Reason]dispatch.Request{
			dispatch.UnknownService: {Service: "none"},
			dispatch.MissingKey:     {Service: "s"},
		} {
			request.ID = ident.Request(fixture.id("r"))
			answer, err := entry.Dispatch(t.Context(), request)
			var notRun dispatch.ErrNotRun
			if !errors.As(err, &notRun) || notRun.Reason != reason || answer.Outcome != outcome.NotRun {
				t.Errorf("%s: %v", reason, err)
			}
		}
		fixture.agents[0].down = true
		if answer, err := entry.send(t.Context(), "k"); answer.Outcome != outcome.NotRun {
			t.Errorf("agent down: %v", err)
		}
	})
}

// outage is a service with 10 endpoints, the first of which are unreachable. It implements
// dispatch.View and dispatch.Agents.
type outage struct {
	unreachable int
	attempts    atomic.Int64
	view        *routing.View
}

func (outage *outage) Service(ident.Service) (dispatch.Service, *routing.View, bool) {
	return dispatch.Service{Idempotent: true, Patience: 1000}, outage.view, true
}

func (outage *outage) Serve(_ context.Context, address string, request *controlpb.ServeRequest) (*controlpb.ServeReply, error) {
	outage.attempts.Add(1)
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil || index < outage.unreachable {
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

// attemptsPerRequest sends requests one after the other, with the given number of unreachable endpoints,
// and returns the mean number of attempts.
func attemptsPerRequest(unreachable, requests int, budget retry.Settings) float64 {
	outage := &outage{unreachable: unreachable}
	candidates := make([]routing.Candidate, 10)
	for index := range candidates {
		candidates[index] = routing.Candidate{
			Endpoint: ident.Endpoint(fmt.Sprint("e", index)), Address: fmt.Sprint(index),
			Report: routing.Report{Slots: 8, Connections: 64, ServiceTime: 10},
		}
	}
	fake := clock.NewFake(1)
	outage.view = routing.New(routing.Defaults()).NewView(1, "s", candidates)
	dispatcher := dispatch.New(fake, outage, outage, dedup.New(nil, nil, dedup.Defaults()), retry.NewBudget(budget),
		admission.NewLimiter(100, 10), func() ident.Request { return "" }, dispatch.Defaults())
	for index := range requests {
		// Failed requests are expected; only the attempts are counted.
		_, _ = dispatcher.Dispatch(context.Background(), dispatch.Request{ID: ident.Request(fmt.Sprint("r", index)), Service: "s", Team: "t"})
		fake.Advance(1)
	}
	return float64(outage.attempts.Load()) / float64(requests)
}

// BenchmarkAttempts measures the attempts per request during an outage, with a target of at most 1.1,
// and their ratio to retries without a budget.
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

// TestRetryBudgetBoundsAttemptsInOutage guards against retries that multiply the load in an outage.
func TestRetryBudgetBoundsAttemptsInOutage(t *testing.T) {
	for _, down := range []int{3, 10} {
		if attempts := attemptsPerRequest(down, 1000, retry.Defaults()); attempts > 1.1 {
			t.Errorf("%.3f attempts per request with %d of 10 endpoints down", attempts, down)
		}
	}
}
