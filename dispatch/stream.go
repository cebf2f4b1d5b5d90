package dispatch

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"hyssopjunction/admission"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/routing"
)

// StreamRequest opens a resumable stream.
type StreamRequest struct {
	ID      ident.Request
	Service ident.Service
	Team    ident.Team
	Stream  string
	// Offset is the number of bytes that the caller already has.
	Offset int64
}

// errStreamEnd marks the regular end of a stream.
type errStreamEnd struct{}

// Error describes the end.
func (errStreamEnd) Error() string { return "stream ended" }

// errChunk reports a chunk that does not continue the stream.
type errChunk struct{ reason string }

// Error describes the chunk.
func (err errChunk) Error() string { return "chunk dropped: " + err.reason }

// errCaller wraps an error of the caller's side, after which the stream is not resumed.
type errCaller struct{ cause error }

// Error describes the cause.
func (err errCaller) Error() string { return err.cause.Error() }

// streamAttempts bounds the consecutive attempts that pass no data on.
const streamAttempts = 5

// Follow passes the stream's data on in order and without gaps. If an endpoint or a connection
// fails or leaves, it resumes at another endpoint from the offset reached. Errors are ErrNotRun if no
// data could be had at all, ErrUnknown if the stream broke off, and the error of pass.
func (dispatcher *Dispatcher) Follow(ctx context.Context, request StreamRequest, pass func(data []byte) error) error {
	_, candidates, ok := dispatcher.view.Service(request.Service)
	if !ok {
		return ErrNotRun{Request: request.ID, Reason: UnknownService}
	}
	if !dispatcher.enter() {
		return ErrNotRun{Request: request.ID, Reason: Stopping, RetryAfter: dispatcher.settings.RetryAfter}
	}
	defer dispatcher.leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-dispatcher.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	offset := request.Offset
	for failures := 0; failures < streamAttempts; failures++ {
		reached, endpoint, err := dispatcher.followOnce(ctx, request, candidates, offset, pass)
		var caller errCaller
		switch {
		case errors.As(err, new(errStreamEnd)):
			return nil
		case errors.As(err, &caller):
			return caller.cause
		case ctx.Err() != nil:
			return ErrUnknown{Request: request.ID, Reason: Stopping, RetryAfter: 1}
		}
		klog.InfoS("Stream interrupted", "Request", request.ID, "Stream", request.Stream, "Endpoint", endpoint,
			"Offset", reached, "Reason", err.Error())
		if reached > offset {
			offset, failures = reached, 0
		}
		select {
		case <-dispatcher.clock.After(pollInterval << failures):
		case <-ctx.Done():
			return ErrUnknown{Request: request.ID, Reason: Stopping, RetryAfter: 1}
		}
		if _, current, ok := dispatcher.view.Service(request.Service); ok {
			candidates = current
		}
	}
	if offset == request.Offset {
		return ErrNotRun{Request: request.ID, Reason: Outage, RetryAfter: dispatcher.settings.RetryAfter}
	}
	return ErrUnknown{Request: request.ID, Reason: Outage, RetryAfter: dispatcher.settings.RetryAfter}
}

// followOnce follows the stream at one endpoint and returns the offset reached.
func (dispatcher *Dispatcher) followOnce(ctx context.Context, request StreamRequest, candidates *routing.View, offset int64,
	pass func(data []byte) error,
) (int64, ident.Endpoint, error) {
	decision, err := candidates.Choose(dispatcher.clock.Now(), nil)
	if err != nil {
		return offset, "", err
	}
	if dispatcher.sampled() {
		klog.InfoS("Endpoint chosen", "Request", request.ID, "Service", request.Service, "Stream", request.Stream,
			"Endpoint", decision.Endpoint, "Why", decision.Why, "Candidates", decision.String())
	}
	start := offset
	err = dispatcher.agents.Follow(ctx, decision.Address, &controlpb.FollowRequest{
		Request: string(request.ID), Service: string(request.Service), Endpoint: string(decision.Endpoint),
		Incarnation: uint64(decision.Incarnation), Team: string(request.Team), Stream: request.Stream, Offset: offset,
	}, func(chunk *controlpb.FollowChunk) error {
		if reason := misplaced(request, chunk, offset); reason != "" {
			droppedReplies.Inc()
			return errChunk{reason: reason}
		}
		if len(chunk.GetData()) > 0 {
			if err := pass(chunk.GetData()); err != nil {
				return errCaller{cause: err}
			}
			offset += int64(len(chunk.GetData()))
		}
		if chunk.GetEnd() {
			return errStreamEnd{}
		}
		return nil
	})
	if err == nil {
		err = errChunk{reason: "stream broke off"}
	}
	leaving := errors.Is(err, errChunk{reason: string(admission.Leaving)})
	ended := leaving || errors.As(err, new(errStreamEnd)) || errors.As(err, new(errCaller)) || ctx.Err() != nil
	decision.Done(dispatcher.clock.Now(), routing.Result{Failed: !ended && offset == start, Leaving: leaving})
	return offset, decision.Endpoint, err
}

func misplaced(request StreamRequest, chunk *controlpb.FollowChunk, offset int64) string {
	switch {
	case chunk.GetRefusal() != "":
		return chunk.GetRefusal()
	case chunk.GetRequest() != string(request.ID):
		return "wrong request id"
	case chunk.GetOffset() != offset:
		return "wrong offset"
	default:
		return ""
	}
}
