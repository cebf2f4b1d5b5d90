package dispatch

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/dedup"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/routing"
)

var (
	droppedReplies = metrics.NewCounter(`hyssopjunction_dispatch_dropped_replies_total`)
	silentAgents   = metrics.NewCounter(`hyssopjunction_dispatch_silent_agents_total`)
	queryCounter   = metrics.NewCounter(`hyssopjunction_dispatch_queries_total`)
)

// result is what is known about one attempt.
type result struct {
	outcome outcome.Outcome
	// reply belongs to an attempt that ran.
	reply *controlpb.ServeReply
	// refusal is the agent's reason for an attempt that was not run.
	refusal    string
	retryAfter clock.Millis
	// pending means that the agent has the request and no answer yet.
	pending bool
	// final means that an unknown outcome will never be resolved.
	final bool
	// failed means that endpoint or agent did not answer properly.
	failed bool
}

// leaving reports whether the endpoint, or its agent's incarnation, takes no more requests.
func (result result) leaving() bool {
	return result.refusal == string(admission.Leaving) || result.refusal == refusalIncarnation
}

type served struct {
	reply *controlpb.ServeReply
	err   error
}

type queried struct {
	reply *controlpb.QueryReply
	err   error
}

// attempt sends the request to the chosen endpoint and resolves a lost answer by asking the agent.
func (dispatcher *Dispatcher) attempt(ctx context.Context, flow *flow, decision routing.Decision, id ident.Request, number int) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := dispatcher.clock.Now()
	request := &controlpb.ServeRequest{
		Request: string(id), Service: string(flow.Service), Endpoint: string(decision.Endpoint),
		Incarnation: uint64(decision.Incarnation), Team: string(flow.Team), Priority: int32(flow.Priority),
		Idempotent:     flow.service.Idempotent,
		PatienceMillis: int64(flow.deadline.Sub(now) - dispatcher.settings.Hop),
		Body:           flow.Body, ContentType: flow.ContentType, Attempt: int32(number),
		Method: flow.service.Method, Path: flow.service.Path,
	}
	replies := make(chan served, 1)
	go func() {
		reply, err := dispatcher.agents.Serve(ctx, decision.Address, request)
		replies <- served{reply: reply, err: err}
	}()
	ended := dispatcher.await(ctx, flow, &decision, id, replies)
	if ended.reply != nil {
		decision.Observe(reportOf(dispatcher.clock.Now(), ended.reply.GetEndpoint()))
	}
	if ended.outcome == outcome.Unknown && !ended.failed {
		// Cancelled or still running, which says nothing about the endpoint.
		decision.Cancel()
		return ended
	}
	decision.Done(dispatcher.clock.Now(), routing.Result{
		Failed: ended.failed, Leaving: ended.leaving(), Answered: ended.outcome == outcome.Ran,
		Latency: clock.Millis(ended.reply.GetServiceMillis()),
	})
	return ended
}

// await waits for the reply. After silence or a lost reply it queries the agent, which refuses the
// request if it never arrived, until the outcome is certain or the deadline has passed.
func (dispatcher *Dispatcher) await(ctx context.Context, flow *flow, decision *routing.Decision, id ident.Request, replies <-chan served) result {
	sent, target := dispatcher.clock.Now(), targetOf(decision)
	// A slow service is not asked about every request.
	patience := max(dispatcher.settings.Silence, 4*decision.Report.Service)
	silence := dispatcher.clock.After(patience)
	deadline := dispatcher.alarm(flow.deadline)
	var queries <-chan queried
	last := result{}
	for {
		ask := false
		select {
		case served := <-replies:
			replies = nil
			last = dispatcher.interpret(id, served)
			if last.outcome != outcome.Unknown || last.final {
				return last
			}
			ask = queries == nil
		case queried := <-queries:
			queries = nil
			last = dispatcher.interpretQuery(id, queried)
			if flow.service.Idempotent && dispatcher.clock.Now().Sub(sent) > dispatcher.settings.QueryTrust {
				// This entry was paused, and the agent may have forgotten that the request ran.
				return result{failed: last.failed}
			}
			if last.outcome != outcome.Unknown || last.final {
				return last
			}
			if !last.pending && flow.service.Idempotent {
				// Another endpoint is a better use of the patience left than this agent.
				return last
			}
			silence = dispatcher.clock.After(patience)
		case <-silence:
			silentAgents.Inc()
			ask = queries == nil
		case <-deadline:
			if !dispatcher.passed(flow.deadline) {
				deadline = dispatcher.alarm(flow.deadline)
				continue
			}
			last.failed = !last.pending
			return last
		case <-ctx.Done():
			return last
		}
		if ask {
			klog.InfoS("Query of agent", "Request", id, "Endpoint", target.Endpoint, "Worker", target.Worker)
			queries = dispatcher.query(ctx, target, id, true)
		}
	}
}

// query asks the agent on another goroutine, bounded by QueryTimeout. With refuse the agent refuses
// the request from now on if it has not arrived.
func (dispatcher *Dispatcher) query(ctx context.Context, target dedup.Target, id ident.Request, refuse bool) <-chan queried {
	queryCounter.Inc()
	results := make(chan queried, 1)
	ctx, cancel := context.WithCancel(ctx)
	timeout := dispatcher.clock.After(dispatcher.settings.QueryTimeout)
	answers := make(chan queried, 1)
	go func() {
		reply, err := dispatcher.agents.Query(ctx, target.Address, &controlpb.QueryRequest{
			Request: string(id), Incarnation: uint64(target.Incarnation), RefuseIfAbsent: refuse,
		})
		answers <- queried{reply: reply, err: err}
	}()
	go func() {
		defer cancel()
		select {
		case answer := <-answers:
			results <- answer
		case <-timeout:
			results <- queried{err: context.DeadlineExceeded}
		case <-ctx.Done():
			results <- queried{err: ctx.Err()}
		}
	}()
	return results
}

func (dispatcher *Dispatcher) interpret(id ident.Request, served served) result {
	if served.err != nil {
		if IsErrNotSent(served.err) {
			return result{outcome: outcome.NotRun, refusal: string(Outage), failed: true}
		}
		return result{failed: true}
	}
	return interpretReply(id, served.reply)
}

func (dispatcher *Dispatcher) interpretQuery(id ident.Request, queried queried) result {
	if queried.err != nil {
		return result{failed: true}
	}
	reply := queried.reply.GetReply()
	if reply.GetRefusal() == refusalIncarnation {
		// The request may have run in the incarnation that is over.
		return result{final: true, failed: true}
	}
	if !queried.reply.GetKnown() {
		return result{failed: true}
	}
	return interpretReply(id, reply)
}

// refusalIncarnation is the agent's refusal of a request to an earlier incarnation.
const refusalIncarnation = "ErrIncarnation"

// interpretReply checks that the reply is complete and belongs to the request. A reply that is not
// is dropped, and the agent is asked.
func interpretReply(id ident.Request, reply *controlpb.ServeReply) result {
	if reply.GetRequest() != string(id) || reply.GetBodyLength() != int64(len(reply.GetBody())) {
		droppedReplies.Inc()
		klog.InfoS("Reply dropped", "Request", id, "Got", reply.GetRequest(),
			"Declared", reply.GetBodyLength(), "Bytes", len(reply.GetBody()))
		return result{failed: true}
	}
	known := result{
		outcome: outcome.Outcome(reply.GetOutcome()), reply: reply, refusal: reply.GetRefusal(),
		retryAfter: clock.Millis(reply.GetRetryAfterMillis()), pending: reply.GetPending(),
	}
	switch known.outcome {
	case outcome.Unknown:
		known.final = !known.pending
		known.failed = known.final
	case outcome.NotRun:
		known.failed = known.refusal == string(admission.EndpointDown)
	case outcome.Ran:
	default:
		return result{failed: true}
	}
	return known
}

func reportOf(now clock.Time, state *controlpb.EndpointState) routing.Report {
	if state == nil {
		return routing.Report{}
	}
	return routing.Report{
		At:    now.Add(-clock.Millis(state.GetAgeMillis())),
		Slots: int(state.GetSlots()), Connections: int(state.GetConnections()),
		SlotsUsed: int(state.GetSlotsUsed()), ConnectionsUsed: int(state.GetConnectionsUsed()),
		Queue: int(state.GetQueue()), Service: clock.Millis(state.GetLatencyMillis()),
		SlowdownPercent: int(state.GetSlowdownPercent()),
	}
}
