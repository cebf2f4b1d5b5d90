package dispatch

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/dedup"
	"hyssopjunction/endpoint"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/routing"
)

var (
	droppedReplies     = metrics.NewCounter(`hyssopjunction_dispatch_dropped_replies_total`)
	unresponsiveAgents = metrics.NewCounter(`hyssopjunction_dispatch_silent_agents_total`)
	queryCounter       = metrics.NewCounter(`hyssopjunction_dispatch_queries_total`)
)

// attemptResult is the last known state of an attempt.
type attemptResult struct {
	outcome outcome.Outcome
	// reply is set if the request ran.
	reply *controlpb.ServeReply
	// refusal is the agent's reason if the request was not run.
	refusal    string
	retryAfter clock.Millis
	// pending is set if the agent has the request but no answer yet.
	pending bool
	// final is set if the outcome is unknown and can never be resolved.
	final bool
	// failed is set if the endpoint or agent was unreachable or its answer was missing or invalid.
	failed bool
	// endpointLost is set if the endpoint broke off while it had the request, although its agent lives on.
	endpointLost bool
}

// leaving reports whether the endpoint, or its agent's incarnation, accepts no more requests.
func (result attemptResult) leaving() bool {
	return result.refusal == string(admission.Leaving) || result.refusal == refusalIncarnation
}

type serveResponse struct {
	reply *controlpb.ServeReply
	err   error
}

type queryResponse struct {
	reply *controlpb.QueryReply
	err   error
}

// attempt sends the request to the chosen endpoint and reports the result to the router.
func (dispatcher *Dispatcher) attempt(ctx context.Context, state *requestState, decision routing.Decision, id ident.Request, number int) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := dispatcher.clock.Now()
	request := &controlpb.ServeRequest{
		Request: string(id), Service: string(state.Service), Endpoint: string(decision.Endpoint),
		Incarnation: uint64(decision.Incarnation), Team: string(state.Team), Priority: int32(state.Priority),
		Idempotent:     state.service.Idempotent,
		PatienceMillis: int64(state.deadline.Sub(now) - dispatcher.settings.Hop),
		Body:           state.Body, ContentType: state.ContentType, Attempt: int32(number),
		Method: state.service.Method, Path: state.service.Path,
	}
	replies := make(chan serveResponse, 1)
	go func() {
		reply, err := dispatcher.agents.Serve(ctx, decision.Address, request)
		replies <- serveResponse{reply: reply, err: err}
	}()
	result := dispatcher.await(ctx, state, &decision, id, replies)
	dispatcher.recordLosses(state, decision.Endpoint, result)
	if result.reply != nil {
		decision.Observe(routingReport(dispatcher.clock.Now(), result.reply.GetEndpoint()))
	}
	if result.outcome == outcome.Unknown && !result.failed {
		// The request was cancelled or still runs, so the router learns nothing about the endpoint.
		decision.Cancel()
		return result
	}
	decision.Done(dispatcher.clock.Now(), routing.Result{
		Failed: result.failed, Leaving: result.leaving(), Answered: result.outcome == outcome.Ran,
		Latency: clock.Millis(result.reply.GetServiceMillis()),
	})
	return result
}

// await waits for the reply. If none arrives in time or the reply is lost, it queries the agent until
// the outcome is certain or the deadline has passed. A queried agent refuses the request from then on
// if it has not arrived.
func (dispatcher *Dispatcher) await(ctx context.Context, state *requestState, decision *routing.Decision, id ident.Request, replies <-chan serveResponse) attemptResult {
	sentAt, target := dispatcher.clock.Now(), claimTarget(decision)
	// Without the multiple of the service time, agents of slow services would be queried for every request.
	silenceTimeout := max(dispatcher.settings.Silence, 4*decision.Report.ServiceTime)
	silenceTimer := dispatcher.clock.After(silenceTimeout)
	deadlineTimer := dispatcher.deadlineTimer(state.deadline)
	var queries <-chan queryResponse
	last := attemptResult{}
	for {
		sendQuery := false
		select {
		case response := <-replies:
			replies = nil
			last = dispatcher.interpretServe(id, response)
			if last.outcome != outcome.Unknown || last.final {
				return last
			}
			sendQuery = queries == nil
		case response := <-queries:
			queries = nil
			last = dispatcher.interpretQuery(id, response)
			if state.service.Idempotent && dispatcher.clock.Now().Sub(sentAt) > dispatcher.settings.QueryTrust {
				// The process was paused for so long that the agent may have removed its record of the run.
				return attemptResult{failed: last.failed}
			}
			if last.outcome != outcome.Unknown || last.final {
				return last
			}
			if !last.pending && state.service.Idempotent {
				// This agent has no answer, so the remaining patience is better spent on another endpoint.
				return last
			}
			silenceTimer = dispatcher.clock.After(silenceTimeout)
		case <-silenceTimer:
			unresponsiveAgents.Inc()
			sendQuery = queries == nil
		case <-deadlineTimer:
			if !dispatcher.deadlineReached(state.deadline) {
				deadlineTimer = dispatcher.deadlineTimer(state.deadline)
				continue
			}
			last.failed = !last.pending
			return last
		case <-ctx.Done():
			return last
		}
		if sendQuery {
			klog.InfoS("Querying agent", "Request", id, "Endpoint", target.Endpoint, "Worker", target.Worker)
			queries = dispatcher.query(ctx, target, id, true)
		}
	}
}

// query asks the agent on another goroutine for the state of the request, for up to QueryTimeout. With
// refuse, the agent refuses the request from then on if it has not arrived.
func (dispatcher *Dispatcher) query(ctx context.Context, target dedup.Target, id ident.Request, refuse bool) <-chan queryResponse {
	queryCounter.Inc()
	results := make(chan queryResponse, 1)
	ctx, cancel := context.WithCancel(ctx)
	timeout := dispatcher.clock.After(dispatcher.settings.QueryTimeout)
	responses := make(chan queryResponse, 1)
	go func() {
		reply, err := dispatcher.agents.Query(ctx, target.Address, &controlpb.QueryRequest{
			Request: string(id), Incarnation: uint64(target.Incarnation), RefuseIfAbsent: refuse,
		})
		responses <- queryResponse{reply: reply, err: err}
	}()
	go func() {
		defer cancel()
		select {
		case response := <-responses:
			results <- response
		case <-timeout:
			results <- queryResponse{err: context.DeadlineExceeded}
		case <-ctx.Done():
			results <- queryResponse{err: ctx.Err()}
		}
	}()
	return results
}

func (dispatcher *Dispatcher) interpretServe(id ident.Request, response serveResponse) attemptResult {
	if response.err != nil {
		if IsErrNotSent(response.err) {
			return attemptResult{outcome: outcome.NotRun, refusal: string(Outage), failed: true}
		}
		return attemptResult{failed: true}
	}
	return interpretReply(id, response.reply)
}

func (dispatcher *Dispatcher) interpretQuery(id ident.Request, response queryResponse) attemptResult {
	if response.err != nil {
		return attemptResult{failed: true}
	}
	reply := response.reply.GetReply()
	if reply.GetRefusal() == refusalIncarnation {
		// The request may have run in the earlier incarnation, whose records are lost.
		return attemptResult{final: true, failed: true}
	}
	if !response.reply.GetKnown() {
		return attemptResult{failed: true}
	}
	return interpretReply(id, reply)
}

// refusalIncarnation is the agent's reason for refusing a request to an earlier incarnation.
const refusalIncarnation = "ErrIncarnation"

// interpretReply returns the result that the reply states. A reply that is incomplete or belongs to
// another request is dropped, and the attempt counts as failed with an unknown outcome.
func interpretReply(id ident.Request, reply *controlpb.ServeReply) attemptResult {
	if reply.GetRequest() != string(id) || reply.GetBodyLength() != int64(len(reply.GetBody())) {
		droppedReplies.Inc()
		klog.InfoS("Reply dropped", "Request", id, "Got", reply.GetRequest(),
			"Declared", reply.GetBodyLength(), "Bytes", len(reply.GetBody()))
		return attemptResult{failed: true}
	}
	result := attemptResult{
		outcome: outcome.Outcome(reply.GetOutcome()), reply: reply, refusal: reply.GetRefusal(),
		retryAfter: clock.Millis(reply.GetRetryAfterMillis()), pending: reply.GetPending(),
	}
	switch result.outcome {
	case outcome.Unknown:
		result.final = !result.pending
		result.failed = result.final
		result.endpointLost = result.final && result.refusal == endpoint.ReasonLost
	case outcome.NotRun:
		result.failed = result.refusal == string(admission.EndpointDown)
	case outcome.Ran:
	default:
		return attemptResult{failed: true}
	}
	return result
}

func routingReport(now clock.Time, state *controlpb.EndpointState) routing.Report {
	if state == nil {
		return routing.Report{}
	}
	return routing.Report{
		At:    now.Add(-clock.Millis(state.GetAgeMillis())),
		Slots: int(state.GetSlots()), Connections: int(state.GetConnections()),
		SlotsUsed: int(state.GetSlotsUsed()), ConnectionsUsed: int(state.GetConnectionsUsed()),
		Queue: int(state.GetQueue()), ServiceTime: clock.Millis(state.GetLatencyMillis()),
		SlowdownPercent: int(state.GetSlowdownPercent()),
	}
}
