package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// HTTPObjects speaks to the object store over HTTP: GET, PUT and DELETE /objects/{Name}, and GET
// /objects?Prefix=P, which returns a JSON array of names. Names are percent-encoded. It is safe for
// concurrent use.
type HTTPObjects struct {
	base   string
	client *http.Client
}

// NewHTTPObjects returns an adapter for the object store at base, such as "http://127.0.0.1:7000".
// The client bounds connections; calls are bounded by their contexts.
func NewHTTPObjects(base string, client *http.Client) *HTTPObjects {
	return &HTTPObjects{base: strings.TrimRight(base, "/") + "/objects", client: client}
}

// Put stores value under name, replacing an older value. Its errors are ErrObjectTooLarge and
// ErrObjectsUnavailable.
func (objects *HTTPObjects) Put(ctx context.Context, name string, value []byte) error {
	_, err := objects.call(ctx, http.MethodPut, name, value)
	return err
}

// Get returns the value stored under name. Its errors are ErrNoSuchObject and
// ErrObjectsUnavailable.
func (objects *HTTPObjects) Get(ctx context.Context, name string) ([]byte, error) {
	return objects.call(ctx, http.MethodGet, name, nil)
}

// Delete removes the object; a missing one is no error. Its error is ErrObjectsUnavailable.
func (objects *HTTPObjects) Delete(ctx context.Context, name string) error {
	_, err := objects.call(ctx, http.MethodDelete, name, nil)
	return err
}

// List returns the names that start with prefix in ascending order. Its error is
// ErrObjectsUnavailable.
func (objects *HTTPObjects) List(ctx context.Context, prefix string) ([]string, error) {
	text, err := objects.send(ctx, http.MethodGet, objects.base+"?Prefix="+url.QueryEscape(prefix), "", nil)
	if err != nil {
		return nil, err
	}
	var names []string
	if err := json.Unmarshal(text, &names); err != nil {
		return nil, ErrObjectsUnavailable{Reason: err.Error()}
	}
	return names, nil
}

func (objects *HTTPObjects) call(ctx context.Context, method, name string, value []byte) ([]byte, error) {
	return objects.send(ctx, method, objects.base+"/"+url.PathEscape(name), name, value)
}

func (objects *HTTPObjects) send(ctx context.Context, method, address, name string, value []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(value))
	if err != nil {
		return nil, ErrObjectsUnavailable{Reason: err.Error()}
	}
	// Writes are idempotent, so whether one that failed has taken effect makes no difference to a
	// retry of the same write.
	unknown := method != http.MethodGet
	response, err := objects.client.Do(request)
	if err != nil {
		return nil, ErrObjectsUnavailable{Reason: err.Error(), Unknown: unknown}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, ErrObjectsUnavailable{Reason: err.Error(), Unknown: unknown}
	}
	if response.StatusCode == http.StatusOK {
		return text, nil
	}
	var failure objectError
	if err := json.Unmarshal(text, &failure); err != nil {
		return nil, ErrObjectsUnavailable{Reason: fmt.Sprintf("status %d: %v", response.StatusCode, err), Unknown: unknown}
	}
	switch failure.Type {
	case "ErrNoSuchObject":
		return nil, ErrNoSuchObject{Name: name}
	case "ErrObjectTooLarge":
		return nil, ErrObjectTooLarge{Name: name, Bytes: failure.Bytes, Limit: failure.Limit}
	case "ErrObjectsUnavailable":
		return nil, ErrObjectsUnavailable{Reason: failure.Reason}
	}
	return nil, ErrObjectsUnavailable{Reason: fmt.Sprintf("status %d: unexpected error %q", response.StatusCode, failure.Type), Unknown: unknown}
}
