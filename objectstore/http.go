package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"hyssopjunction/clock"
)

// HTTP is a client of the object store over HTTP. It calls GET, PUT and DELETE /objects/{Name} with a
// percent-encoded name, and GET /objects?Prefix=P&After=A&Limit=N, which returns a JSON array of names. It
// implements Store and is safe for concurrent use.
type HTTP struct {
	base   string
	client *http.Client
}

// ErrorBody is the body of an error response. Type is the name of an error type, such as ErrNotFound, and
// the other fields are those of that type.
type ErrorBody struct {
	Type       string
	Name       Name         `json:",omitempty"`
	Bytes      int          `json:",omitempty"`
	Limit      int          `json:",omitempty"`
	Reason     string       `json:",omitempty"`
	RetryAfter clock.Millis `json:",omitempty"`
}

// NewHTTP returns a client of the store at base, such as "http://127.0.0.1:7000". The number of
// connections is limited by client, and the duration of a call by its context.
func NewHTTP(base string, client *http.Client) *HTTP {
	return &HTTP{base: strings.TrimRight(base, "/") + "/objects", client: client}
}

// Put writes the object, replacing an older one of the same name.
func (store *HTTP) Put(ctx context.Context, name Name, data []byte) error {
	_, err := store.call(ctx, http.MethodPut, store.address(name), data)
	return err
}

// Get returns the object's content.
func (store *HTTP) Get(ctx context.Context, name Name) ([]byte, error) {
	return store.call(ctx, http.MethodGet, store.address(name), nil)
}

// Delete removes the object. Deleting a missing object is no error.
func (store *HTTP) Delete(ctx context.Context, name Name) error {
	_, err := store.call(ctx, http.MethodDelete, store.address(name), nil)
	return err
}

// List returns up to limit names that start with prefix and are greater than after, in ascending
// order.
func (store *HTTP) List(ctx context.Context, prefix, after Name, limit int) ([]Name, error) {
	query := url.Values{"Prefix": {string(prefix)}, "After": {string(after)}, "Limit": {strconv.Itoa(limit)}}
	text, err := store.call(ctx, http.MethodGet, store.base+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	var names []Name
	if err := json.Unmarshal(text, &names); err != nil {
		return nil, noResponse(err.Error())
	}
	return names, nil
}

// address returns the URL of an object.
func (store *HTTP) address(name Name) string {
	return store.base + "/" + url.PathEscape(string(name))
}

// call sends a request and returns the body of the response. It returns ErrUnavailable if there is no
// complete response.
func (store *HTTP) call(ctx context.Context, method, address string, data []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(data))
	if err != nil {
		return nil, noResponse(err.Error())
	}
	response, err := store.client.Do(request)
	if err != nil {
		return nil, noResponse(err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, noResponse(err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return nil, readError(response.StatusCode, text)
	}
	return text, nil
}

// readError decodes an error response. A body that is not an ErrorBody becomes ErrUnavailable.
func readError(status int, text []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(text, &body); err != nil {
		return noResponse(fmt.Sprintf("status %d: %v", status, err))
	}
	switch body.Type {
	case "ErrNotFound":
		return ErrNotFound{Name: body.Name}
	case "ErrTooLarge":
		return ErrTooLarge{Name: body.Name, Bytes: body.Bytes, Limit: body.Limit}
	case "ErrUnavailable":
		return ErrUnavailable{Reason: body.Reason, RetryAfter: body.RetryAfter}
	default:
		return noResponse(fmt.Sprintf("status %d: unexpected error %q", status, body.Type))
	}
}

// noResponse returns the error of a call without a usable response.
func noResponse(reason string) error {
	return ErrUnavailable{Reason: reason, RetryAfter: clock.Second}
}

// NewErrorBody returns the body and the HTTP status with which a server reports an error of a Store.
// Errors of other types become ErrUnavailable.
func NewErrorBody(err error) (body ErrorBody, status int) {
	var missing ErrNotFound
	var tooLarge ErrTooLarge
	var unavailable ErrUnavailable
	switch {
	case errors.As(err, &missing):
		return ErrorBody{Type: "ErrNotFound", Name: missing.Name}, http.StatusNotFound
	case errors.As(err, &tooLarge):
		return ErrorBody{
			Type: "ErrTooLarge", Name: tooLarge.Name, Bytes: tooLarge.Bytes, Limit: tooLarge.Limit,
		}, http.StatusRequestEntityTooLarge
	case errors.As(err, &unavailable):
		return ErrorBody{
			Type: "ErrUnavailable", Reason: unavailable.Reason, RetryAfter: unavailable.RetryAfter,
		}, http.StatusServiceUnavailable
	default:
		return ErrorBody{Type: "ErrUnavailable", Reason: err.Error()}, http.StatusServiceUnavailable
	}
}
