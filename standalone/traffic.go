package standalone

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/standin"
)

// callerTimeout is the timeout of one HTTP call. It exceeds the patience of the sample requests, so
// that the entry answers first.
const callerTimeout = 15 * clock.Second

// Call is one request to the callers' API.
type Call struct {
	Service ident.Service
	Team    ident.Team
	// Key is the request key, required by services that aren't idempotent.
	Key      ident.Key
	Patience clock.Millis
	Body     string
}

// Caller sends requests to the callers' API, as a client behind a load balancer does.
type Caller struct {
	client *http.Client
}

// NewCaller returns a Caller that keeps up to 64 idle connections to each entry.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{
		Timeout:   callerTimeout.Duration(),
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
}

// Close closes the idle connections of the caller.
func (caller *Caller) Close() {
	caller.client.CloseIdleConnections()
}

// Send sends one request to the entry at the address. Without a complete answer the outcome of the
// result is Unknown.
func (caller *Caller) Send(ctx context.Context, address string, call Call) Result {
	result := Result{Key: call.Key}
	url := fmt.Sprintf("http://%s/v1/services/%s/requests", address, call.Service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(call.Body))
	if err != nil {
		return result
	}
	request.Header.Set("Team", string(call.Team))
	if call.Key != "" {
		request.Header.Set("Request-Key", string(call.Key))
	}
	if call.Patience > 0 {
		request.Header.Set("Patience-Millis", fmt.Sprint(int64(call.Patience)))
	}
	response, err := caller.client.Do(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || int64(len(body)) != response.ContentLength {
		return result
	}
	result.Request = ident.Request(response.Header.Get("Request-Id"))
	result.Replayed = response.Header.Get("Replayed") == "true"
	if response.StatusCode >= http.StatusBadRequest {
		result.Refusal = string(body)
	}
	if err := result.Outcome.UnmarshalText([]byte(response.Header.Get("Outcome"))); err != nil {
		return result
	}
	if result.Outcome == outcome.Ran {
		answer, err := standin.ParseAnswer(body)
		result.Crossed = err != nil || !answer.Matches([]byte(call.Body))
		result.Request = answer.Request
	}
	return result
}

// SendAll sends the calls to the addresses round-robin, up to concurrency calls at a time, and returns
// the results in the order of the calls.
func (caller *Caller) SendAll(ctx context.Context, addresses []string, calls []Call, concurrency int) []Result {
	results := make([]Result, len(calls))
	next := make(chan int)
	var senders sync.WaitGroup
	for range concurrency {
		senders.Go(func() {
			for index := range next {
				results[index] = caller.Send(ctx, addresses[index%len(addresses)], calls[index])
			}
		})
	}
	for index := range calls {
		next <- index
	}
	close(next)
	senders.Wait()
	return results
}
