package endpoint

import (
	"context"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

var (
	requestsRan     = metrics.NewCounter(`hyssopjunction_endpoint_requests_total{outcome="Ran"}`)
	requestsRefused = metrics.NewCounter(`hyssopjunction_endpoint_requests_total{outcome="NotRun"}`)
	requestsUnknown = metrics.NewCounter(`hyssopjunction_endpoint_requests_total{outcome="Unknown"}`)
)

// An idempotent request is repeated on a new connection if its answer takes longer than
// silenceFactor times the mean service time and longer than minSilenceTimeout. With lower values,
// requests that are merely slow would be repeated.
const (
	silenceFactor     = 20
	minSilenceTimeout = 250 * clock.Millisecond
)

// enqueue passes a new request to the admission controller, on the control goroutine.
func (gate *Gate) enqueue(id ident.Request, request *controlpb.ServeRequest, waiter chan *controlpb.ServeReply) {
	now := gate.clock.Now()
	gate.waiters[id] = append(gate.waiters[id], waiter)
	if _, ok := gate.calls[id]; !ok {
		gate.calls[id] = &call{arrived: now, Call: Call{
			Request: id, Team: ident.Team(request.GetTeam()), Method: request.GetMethod(), Path: request.GetPath(),
			ContentType: request.GetContentType(), Body: request.GetBody(), Idempotent: request.GetIdempotent(),
			Patience: clock.Millis(request.GetPatienceMillis()),
		}}
	}
	gate.execute(gate.controller.Arrive(now, admission.Arrival{
		Request: id, Team: ident.Team(request.GetTeam()), Priority: admission.Priority(request.GetPriority()),
		Idempotent: request.GetIdempotent(), Patience: clock.Millis(request.GetPatienceMillis()), Bytes: len(request.GetBody()),
	}))
}

// abandon removes a waiter whose caller has gone. A queued request without waiters is cancelled.
func (gate *Gate) abandon(id ident.Request, waiter chan *controlpb.ServeReply) {
	waiters := gate.waiters[id]
	index := slices.Index(waiters, waiter)
	if index < 0 {
		return
	}
	if len(waiters) > 1 {
		gate.waiters[id] = slices.Delete(waiters, index, index+1)
		return
	}
	gate.execute(gate.controller.Cancel(gate.clock.Now(), id))
	delete(gate.waiters, id)
}

// execute carries out the controller's actions on the control goroutine.
func (gate *Gate) execute(actions []admission.Action) {
	for _, action := range actions {
		switch action.Kind {
		case admission.Run:
			gate.start(gate.calls[action.Request])
		case admission.Refuse:
			requestsRefused.Inc()
			reply := gate.reply(string(action.Request), action.Outcome, string(action.Reason))
			reply.RetryAfterMillis = int64(action.RetryAfter)
			gate.deliver(action.Request, reply)
		case admission.Deliver:
			gate.deliver(action.Request, gate.answer(string(action.Request), action.Answer))
		case admission.Wait:
		}
	}
	gate.signalIdle()
}

func (gate *Gate) deliver(id ident.Request, reply *controlpb.ServeReply) {
	for _, waiter := range gate.waiters[id] {
		waiter <- reply
	}
	delete(gate.waiters, id)
	delete(gate.calls, id)
}

// start sends the request on a traffic goroutine and passes the result to the control goroutine.
func (gate *Gate) start(call *call) {
	request := call.Call
	request.Patience -= gate.clock.Now().Sub(call.arrived)
	if request.Idempotent {
		request.SilenceTimeout = max(minSilenceTimeout, silenceFactor*gate.controller.Load().ServiceTime)
	}
	gate.goroutines.Add(1)
	go func() {
		defer gate.goroutines.Done()
		started := gate.clock.Now()
		reply, err := gate.doer.Do(gate.ctx, request)
		elapsed := gate.clock.Now().Sub(started)
		gate.run(func() { gate.finish(request.Request, reply, err, elapsed) })
	}()
}

// probe starts a probe of an unhealthy endpoint once per ProbeInterval. Entries send such an
// endpoint no requests whose success could show that it has recovered.
func (gate *Gate) probe(now clock.Time) {
	if gate.failures < gate.settings.UnhealthyAfter || now.Sub(gate.probedAt) < gate.settings.ProbeInterval {
		return
	}
	gate.probedAt = now
	gate.goroutines.Add(1)
	go func() {
		defer gate.goroutines.Done()
		if err := gate.doer.Probe(gate.ctx); err != nil {
			klog.V(1).InfoS("Probe failed", "Endpoint", gate.settings.Endpoint, "Reason", err.Error())
			return
		}
		gate.run(func() { gate.failures = 0 })
		klog.InfoS("Endpoint recovered", "Endpoint", gate.settings.Endpoint)
	}()
}

func (gate *Gate) finish(id ident.Request, reply Reply, err error, elapsed clock.Millis) {
	answer := admission.Answer{
		Outcome: outcome.Ran, Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body, ServiceTime: elapsed,
	}
	if err != nil {
		gate.failures++
		answer = admission.Answer{Outcome: outcome.Unknown, ServiceTime: elapsed, Reason: reasonOf(err)}
		if IsErrNotSent(err) {
			answer.Outcome = outcome.NotRun
		}
		klog.InfoS("Request failed at endpoint", "Request", id, "Endpoint", gate.settings.Endpoint,
			"Outcome", answer.Outcome, "Reason", err.Error())
	} else {
		gate.failures = 0
	}
	switch answer.Outcome {
	case outcome.Ran:
		requestsRan.Inc()
	case outcome.Unknown:
		requestsUnknown.Inc()
	case outcome.NotRun:
		// The controller refuses the request, and execute counts the refusal.
	}
	gate.execute(gate.controller.Finish(gate.clock.Now(), id, answer))
}

// ReasonLost is the reason of requests whose endpoint broke off while it had them, as it does when its process ends.
const ReasonLost = "ErrLost"

func reasonOf(err error) admission.Reason {
	switch {
	case IsErrSilent(err):
		return "ErrSilent"
	case IsErrCrossed(err):
		return "ErrCrossed"
	case IsErrTruncated(err):
		return "ErrTruncated"
	case IsErrAnswerTooLarge(err):
		return "ErrAnswerTooLarge"
	default:
		return ReasonLost
	}
}

func (gate *Gate) answer(id string, answer admission.Answer) *controlpb.ServeReply {
	reply := gate.reply(id, answer.Outcome, string(answer.Reason))
	reply.Status = int32(answer.Status)
	reply.ContentType = answer.ContentType
	reply.Body = answer.Body
	reply.BodyLength = int64(len(answer.Body))
	reply.ServiceMillis = int64(answer.ServiceTime)
	if answer.BodyRemoved {
		// The request ran, but its answer was removed to save memory.
		reply.Outcome, reply.Refusal = int32(outcome.Unknown), string(admission.AnswerExpired)
	}
	return reply
}

func (gate *Gate) reply(id string, result outcome.Outcome, refusal string) *controlpb.ServeReply {
	return &controlpb.ServeReply{Request: id, Outcome: int32(result), Refusal: refusal, Endpoint: gate.State()}
}

// Follow forwards the data of a stream in chunks that carry the request id and the offset. It
// returns when the stream ends, ctx ends or pass fails. A refusal is sent as the last chunk. The
// stream can be resumed from the offset after the last chunk.
func (gate *Gate) Follow(ctx context.Context, request *controlpb.FollowRequest, pass func(*controlpb.FollowChunk) error) error {
	last := &controlpb.FollowChunk{Request: request.GetRequest(), Offset: request.GetOffset(), End: true}
	refusal := gate.targetRefusal(&controlpb.ServeRequest{
		Service: request.GetService(), Endpoint: request.GetEndpoint(), Incarnation: request.GetIncarnation(),
	})
	opened := false
	if refusal == "" && !gate.run(func() {
		if opened = gate.controller.OpenStream(); opened {
			gate.goroutines.Add(1)
		}
	}) {
		refusal = "ErrClosed"
	}
	if refusal == "" && !opened {
		refusal = string(admission.Overload)
	}
	if refusal != "" {
		last.Refusal = refusal
		return pass(last)
	}
	defer gate.goroutines.Done()
	defer gate.run(func() {
		gate.controller.CloseStream()
		gate.signalIdle()
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(gate.streams, cancel)()
	offset, err := gate.doer.Stream(ctx, StreamCall{
		Request: ident.Request(request.GetRequest()), Team: ident.Team(request.GetTeam()),
		Stream: request.GetStream(), Offset: request.GetOffset(),
	}, func(offset int64, data []byte) error {
		return pass(&controlpb.FollowChunk{Request: request.GetRequest(), Offset: offset, Data: slices.Clone(data)})
	})
	last.Offset = offset
	if err != nil && gate.streams.Err() != nil && gate.ctx.Err() == nil {
		last.Refusal = string(admission.Leaving)
		return pass(last)
	}
	if err != nil {
		return err
	}
	return pass(last)
}
