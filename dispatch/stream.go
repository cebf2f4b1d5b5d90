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
	// Offset is the number of bytes that the caller has already received.
	Offset int64
}

// errStreamEnd reports the regular end of a stream.
type errStreamEnd struct{}

// Error implements error.
func (errStreamEnd) Error() string { return "stream ended" }

// errChunk reports a refusal, a chunk that does not continue the stream, or a missing end.
type errChunk struct{ reason string }

// Error returns the reason.
func (err errChunk) Error() string { return "chunk dropped: " + err.reason }

// errCaller wraps an error that onData returned, after which the stream is not resumed.
type errCaller struct{ cause error }

// Error returns the cause.
func (err errCaller) Error() string { return err.cause.Error() }

// maxStreamAttempts is the number of consecutive attempts without data after which a stream fails.
const maxStreamAttempts = 5

// Follow calls onData with the stream's data in order and without gaps. If the endpoint or the
// connection fails, or the endpoint leaves, it resumes from the offset reached with a new choice of
// endpoint. Errors are ErrNotRun if no data was received, ErrUnknown if the stream was interrupted, and
// the error of onData.
func (dispatcher *Dispatcher) Follow(ctx context.Context, request StreamRequest, onData func(data []byte) error) error {
	_, candidates, ok := dispatcher.view.Service(request.Service)
	if !ok {
		return ErrNotRun{Request: request.ID, Reason: UnknownService}
	}
	if !dispatcher.beginRequest() {
		return ErrNotRun{Request: request.ID, Reason: Stopping, RetryAfter: dispatcher.settings.RetryAfter}
	}
	defer dispatcher.endRequest()
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
	// failed holds the endpoints that were tried since the last data.
	var failed []ident.Endpoint
	for failures := 0; failures < maxStreamAttempts; failures++ {
		reached, endpoint, err := dispatcher.followOnce(ctx, request, candidates, failed, offset, onData)
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
			offset, failures, failed = reached, 0, nil
		}
		if endpoint != "" {
			failed = append(failed, endpoint)
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

// followOnce follows the stream at one endpoint and returns the offset reached. Endpoints in failed are chosen only if
// there are no others.
func (dispatcher *Dispatcher) followOnce(ctx context.Context, request StreamRequest, candidates *routing.View, failed []ident.Endpoint, offset int64,
	onData func(data []byte) error,
) (int64, ident.Endpoint, error) {
	decision, err := candidates.Choose(dispatcher.clock.Now(), failed)
	if err != nil && len(failed) > 0 {
		decision, err = candidates.Choose(dispatcher.clock.Now(), nil)
	}
	if err != nil {
		return offset, "", err
	}
	if dispatcher.shouldLogDecision() {
		klog.InfoS("Endpoint chosen", "Request", request.ID, "Service", request.Service, "Stream", request.Stream,
			"Endpoint", decision.Endpoint, "Why", decision.Reason, "Candidates", decision.String())
	}
	startOffset := offset
	err = dispatcher.agents.Follow(ctx, decision.Address, &controlpb.FollowRequest{
		Request: string(request.ID), Service: string(request.Service), Endpoint: string(decision.Endpoint),
		Incarnation: uint64(decision.Incarnation), Team: string(request.Team), Stream: request.Stream, Offset: offset,
	}, func(chunk *controlpb.FollowChunk) error {
		if reason := rejectionReason(request, chunk, offset); reason != "" {
			droppedReplies.Inc()
			return errChunk{reason: reason}
		}
		if len(chunk.GetData()) > 0 {
			if err := onData(chunk.GetData()); err != nil {
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
	endedRegularly := leaving || errors.As(err, new(errStreamEnd)) || errors.As(err, new(errCaller)) || ctx.Err() != nil
	decision.Done(dispatcher.clock.Now(), routing.Result{Failed: !endedRegularly && offset == startOffset, Leaving: leaving})
	return offset, decision.Endpoint, err
}

func rejectionReason(request StreamRequest, chunk *controlpb.FollowChunk, offset int64) string {
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
