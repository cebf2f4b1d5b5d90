package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"hyssopjunction/ident"
)

// HTTP is a client of one worker's runtime over HTTP. Each call is a POST with a JSON body to
// /workers/{Worker}/{Call}, where Call is the name of the method in lower case. It implements Runtime and
// is safe for concurrent use.
type HTTP struct {
	base   string
	client *http.Client
}

// StartRequest is the body of the call start. The response is empty.
type StartRequest struct {
	Spec   Spec
	Expiry Instant
}

// RenewRequest is the body of the call renew.
type RenewRequest struct {
	Expiry Instant
}

// RenewReply is the response to the call renew.
type RenewReply struct {
	Now Instant
}

// TaskRequest is the body of the calls checkpoint, throttle, stop and forget. The response to checkpoint is
// a Checkpoint; the other responses are empty.
type TaskRequest struct {
	Task    ident.Task
	Epoch   ident.Epoch
	Percent int `json:",omitempty"`
}

// ErrorBody is the body of an error response. Type is the name of an error type, such as ErrStaleEpoch, and
// the other fields are those of that type.
type ErrorBody struct {
	Type   string
	Task   ident.Task
	Epoch  ident.Epoch `json:",omitempty"`
	Have   ident.Epoch `json:",omitempty"`
	Expiry Instant     `json:",omitempty"`
	Now    Instant     `json:",omitempty"`
	Reason string      `json:",omitempty"`
}

// NewHTTP returns a client of the runtime of worker name at base, such as "http://127.0.0.1:7000". The
// number of connections is limited by client, and the duration of a call by its context.
func NewHTTP(base string, name ident.Worker, client *http.Client) *HTTP {
	return &HTTP{base: strings.TrimRight(base, "/") + "/workers/" + url.PathEscape(string(name)), client: client}
}

// Start starts the task under a lease until expiry. The task is stopped when the lease lapses.
func (runtime *HTTP) Start(ctx context.Context, spec Spec, expiry Instant) error {
	return runtime.call(ctx, "start", StartRequest{Spec: spec, Expiry: expiry}, nil)
}

// Renew extends the lease of all running tasks to expiry and returns the worker's clock, also with
// ErrLeaseLapsed.
func (runtime *HTTP) Renew(ctx context.Context, expiry Instant) (Instant, error) {
	var reply RenewReply
	err := runtime.call(ctx, "renew", RenewRequest{Expiry: expiry}, &reply)
	var lapsed ErrLeaseLapsed
	if errors.As(err, &lapsed) {
		return lapsed.Now, err
	}
	return reply.Now, err
}

// Checkpoint saves the task's progress.
func (runtime *HTTP) Checkpoint(ctx context.Context, task ident.Task, epoch ident.Epoch) (Checkpoint, error) {
	var checkpoint Checkpoint
	err := runtime.call(ctx, "checkpoint", TaskRequest{Task: task, Epoch: epoch}, &checkpoint)
	return checkpoint, err
}

// Throttle limits the task's processor time to percent of its share.
func (runtime *HTTP) Throttle(ctx context.Context, task ident.Task, epoch ident.Epoch, percent int) error {
	return runtime.call(ctx, "throttle", TaskRequest{Task: task, Epoch: epoch, Percent: percent}, nil)
}

// Stop stops the task and returns once it has ended.
func (runtime *HTTP) Stop(ctx context.Context, task ident.Task, epoch ident.Epoch) error {
	return runtime.call(ctx, "stop", TaskRequest{Task: task, Epoch: epoch}, nil)
}

// Forget removes the worker's record of an ended task.
func (runtime *HTTP) Forget(ctx context.Context, task ident.Task, epoch ident.Epoch) error {
	return runtime.call(ctx, "forget", TaskRequest{Task: task, Epoch: epoch}, nil)
}

// List returns the running tasks and the ended ones whose record was not removed by Forget.
func (runtime *HTTP) List(ctx context.Context) (Report, error) {
	var report Report
	err := runtime.call(ctx, "list", struct{}{}, &report)
	return report, err
}

// call posts the request and decodes the response into reply unless reply is nil. It returns
// ErrUnavailable if there is no complete response.
func (runtime *HTTP) call(ctx context.Context, name string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return ErrUnavailable{Reason: err.Error()}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, runtime.base+"/"+name, bytes.NewReader(body))
	if err != nil {
		return ErrUnavailable{Reason: err.Error()}
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := runtime.client.Do(httpRequest)
	if err != nil {
		return ErrUnavailable{Reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return ErrUnavailable{Reason: err.Error()}
	}
	if response.StatusCode != http.StatusOK {
		return readError(response.StatusCode, text)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return ErrUnavailable{Reason: err.Error()}
	}
	return nil
}

// readError decodes an error response. A body that is not an ErrorBody becomes ErrUnavailable.
func readError(status int, text []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(text, &body); err != nil {
		return ErrUnavailable{Reason: fmt.Sprintf("status %d: %v", status, err)}
	}
	switch body.Type {
	case "ErrStaleEpoch":
		return ErrStaleEpoch{Task: body.Task, Epoch: body.Epoch, Have: body.Have}
	case "ErrLeaseLapsed":
		return ErrLeaseLapsed{Expiry: body.Expiry, Now: body.Now}
	case "ErrStartFailed":
		return ErrStartFailed{Task: body.Task, Reason: body.Reason}
	case "ErrNoSuchTask":
		return ErrNoSuchTask{Task: body.Task, Epoch: body.Epoch}
	case "ErrUnavailable":
		return ErrUnavailable{Reason: body.Reason}
	default:
		return ErrUnavailable{Reason: fmt.Sprintf("status %d: unexpected error %q", status, body.Type)}
	}
}

// NewErrorBody returns the body and the HTTP status with which a server reports an error of a Runtime.
// Errors of other types become ErrUnavailable.
func NewErrorBody(err error) (body ErrorBody, status int) {
	var stale ErrStaleEpoch
	var lapsed ErrLeaseLapsed
	var failed ErrStartFailed
	var missing ErrNoSuchTask
	var unavailable ErrUnavailable
	switch {
	case errors.As(err, &stale):
		return ErrorBody{Type: "ErrStaleEpoch", Task: stale.Task, Epoch: stale.Epoch, Have: stale.Have}, http.StatusConflict
	case errors.As(err, &lapsed):
		return ErrorBody{Type: "ErrLeaseLapsed", Expiry: lapsed.Expiry, Now: lapsed.Now}, http.StatusPreconditionFailed
	case errors.As(err, &failed):
		return ErrorBody{Type: "ErrStartFailed", Task: failed.Task, Reason: failed.Reason}, http.StatusUnprocessableEntity
	case errors.As(err, &missing):
		return ErrorBody{Type: "ErrNoSuchTask", Task: missing.Task, Epoch: missing.Epoch}, http.StatusNotFound
	case errors.As(err, &unavailable):
		return ErrorBody{Type: "ErrUnavailable", Reason: unavailable.Reason}, http.StatusServiceUnavailable
	default:
		return ErrorBody{Type: "ErrUnavailable", Reason: err.Error()}, http.StatusServiceUnavailable
	}
}
