package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// HTTP is a client of the table service over HTTP. Each call is one POST with a JSON body to
// /table/get, /table/range or /table/commit. It implements Store and is safe for concurrent use.
type HTTP struct {
	base   string
	client *http.Client
}

// GetRequest is the body of /table/get. The response is a Row.
type GetRequest struct {
	Key Key
}

// RangeRequest is the body of /table/range. The response is an array of Row.
type RangeRequest struct {
	Prefix Key
	After  Key
	Limit  int
}

// ErrorBody is the body of an error response. Type is the name of the error type, such as
// ErrConflict; the other fields are those of that type.
type ErrorBody struct {
	Type       string
	Key        Key          `json:",omitempty"`
	Want       Revision     `json:",omitempty"`
	Have       Revision     `json:",omitempty"`
	Winner     ident.Write  `json:",omitempty"`
	Bytes      int          `json:",omitempty"`
	Limit      int          `json:",omitempty"`
	Reason     string       `json:",omitempty"`
	RetryAfter clock.Millis `json:",omitempty"`
}

// errNoAnswer reports a call without a usable response. sent is true if the service may have received
// the call.
type errNoAnswer struct {
	reason string
	sent   bool
}

// Error describes the failure.
func (err errNoAnswer) Error() string {
	return err.reason
}

// NewHTTP returns a client of the service at the URL base, such as "http://127.0.0.1:7000". The HTTP
// client limits the connections; calls end with their contexts.
func NewHTTP(base string, client *http.Client) *HTTP {
	return &HTTP{base: strings.TrimRight(base, "/"), client: client}
}

// Get implements Store.
func (store *HTTP) Get(ctx context.Context, key Key) (Row, error) {
	var row Row
	err := store.call(ctx, "get", GetRequest{Key: key}, &row)
	return row, asUnavailable(err)
}

// Range implements Store.
func (store *HTTP) Range(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	var rows []Row
	err := store.call(ctx, "range", RangeRequest{Prefix: prefix, After: after, Limit: limit}, &rows)
	return rows, asUnavailable(err)
}

// Commit implements Store. It returns ErrUnavailable only if the transaction was not sent or the
// service reported that it had no effect. If the transaction was sent and the response is missing or
// incomplete, it returns ErrUnknownOutcome.
func (store *HTTP) Commit(ctx context.Context, transaction Transaction) (Result, error) {
	var result Result
	err := store.call(ctx, "commit", transaction, &result)
	var noAnswer errNoAnswer
	if errors.As(err, &noAnswer) && noAnswer.sent {
		return Result{}, ErrUnknownOutcome{Write: transaction.Write, Reason: noAnswer.reason}
	}
	return result, asUnavailable(err)
}

// asUnavailable converts an errNoAnswer of a call that had no effect to ErrUnavailable.
func asUnavailable(err error) error {
	var noAnswer errNoAnswer
	if errors.As(err, &noAnswer) {
		return ErrUnavailable{Reason: noAnswer.reason, RetryAfter: clock.Second}
	}
	return err
}

// call posts the request and reads the response into answer. Its errors are those of ErrorBody and
// errNoAnswer.
func (store *HTTP) call(ctx context.Context, name string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errNoAnswer{reason: err.Error()}
	}
	// A call counts as sent as soon as it has a connection.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, store.base+"/table/"+name, bytes.NewReader(body))
	if err != nil {
		return errNoAnswer{reason: err.Error()}
	}
	post.Header.Set("Content-Type", "application/json")
	// An empty value omits the header.
	post.Header.Set("User-Agent", "")
	response, err := store.client.Do(post)
	if err != nil {
		return errNoAnswer{reason: err.Error(), sent: sent.Load()}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errNoAnswer{reason: err.Error(), sent: true}
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errNoAnswer{reason: err.Error(), sent: true}
	}
	return nil
}

// decodeError returns the error that the service reported. After a response without a known type, such
// as that of a proxy, the call may have taken effect.
func decodeError(status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errNoAnswer{reason: fmt.Sprintf("status %d: %v", status, err), sent: true}
	}
	switch body.Type {
	case "ErrConflict":
		return ErrConflict{Key: body.Key, Want: body.Want, Have: body.Have, Winner: body.Winner}
	case "ErrUnavailable":
		return ErrUnavailable{Reason: body.Reason, RetryAfter: body.RetryAfter}
	case "ErrTooLarge":
		return ErrTooLarge{Key: body.Key, Bytes: body.Bytes, Limit: body.Limit}
	default:
		return errNoAnswer{reason: fmt.Sprintf("status %d: unexpected error %q", status, body.Type), sent: true}
	}
}

// NewErrorBody returns the body and the HTTP status of the response to a Store's error. ok is false for
// an error that is not sent to clients, such as ErrUnknownOutcome.
func NewErrorBody(err error) (body ErrorBody, status int, ok bool) {
	var conflict ErrConflict
	var unavailable ErrUnavailable
	var tooLarge ErrTooLarge
	switch {
	case errors.As(err, &conflict):
		return ErrorBody{
			Type: "ErrConflict", Key: conflict.Key, Want: conflict.Want, Have: conflict.Have, Winner: conflict.Winner,
		}, http.StatusConflict, true
	case errors.As(err, &unavailable):
		return ErrorBody{
			Type: "ErrUnavailable", Reason: unavailable.Reason, RetryAfter: unavailable.RetryAfter,
		}, http.StatusServiceUnavailable, true
	case errors.As(err, &tooLarge):
		return ErrorBody{
			Type: "ErrTooLarge", Key: tooLarge.Key, Bytes: tooLarge.Bytes, Limit: tooLarge.Limit,
		}, http.StatusRequestEntityTooLarge, true
	}
	return ErrorBody{}, 0, false
}
