package standin

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
)

// Client calls a Server to read and change its faults and to read its records.
type Client struct {
	baseURL string
	client  *http.Client
}

// NewClient returns a Client of the stand-in at baseURL, such as "http://127.0.0.1:7000".
func NewClient(baseURL string, client *http.Client) *Client {
	return &Client{baseURL: strings.TrimRight(baseURL, "/"), client: client}
}

// ErrNoStandIn reports a failed call to a stand-in.
type ErrNoStandIn struct {
	Reason string
}

// Error describes the failure.
func (err ErrNoStandIn) Error() string {
	return "stand-in did not answer: " + err.Reason
}

// IsErrNoStandIn reports whether err is or wraps an ErrNoStandIn.
func IsErrNoStandIn(err error) bool {
	return errors.As(err, new(ErrNoStandIn))
}

// Faults returns the faults in force. It fails with ErrNoStandIn.
func (client *Client) Faults(ctx context.Context) (FaultState, error) {
	var state FaultState
	err := client.call(ctx, http.MethodGet, "/faults", nil, &state)
	return state, err
}

// Change changes the faults and returns those in force afterwards. It fails with ErrBadFault or
// ErrNoStandIn.
func (client *Client) Change(ctx context.Context, change FaultChange) (FaultState, error) {
	var state FaultState
	err := client.call(ctx, http.MethodPost, "/faults", change, &state)
	return state, err
}

// Records returns the counts, with the list of all runs and of all executions on request. It fails
// with ErrNoStandIn.
func (client *Client) Records(ctx context.Context, runs, executions bool) (Report, error) {
	query := url.Values{}
	query.Set("Runs", fmt.Sprint(runs))
	query.Set("Executions", fmt.Sprint(executions))
	var report Report
	err := client.call(ctx, http.MethodGet, "/records?"+query.Encode(), nil, &report)
	return report, err
}

func (client *Client) call(ctx context.Context, method, path string, body, answer any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return ErrBadFault{Reason: err.Error()}
	}
	request, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, bytes.NewReader(text))
	if err != nil {
		return ErrNoStandIn{Reason: err.Error()}
	}
	response, err := client.client.Do(request)
	if err != nil {
		return ErrNoStandIn{Reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	if text, err = io.ReadAll(response.Body); err != nil {
		return ErrNoStandIn{Reason: err.Error()}
	}
	if response.StatusCode == http.StatusBadRequest {
		var failure badRequest
		if json.Unmarshal(text, &failure) == nil {
			return ErrBadFault{Reason: failure.Reason}
		}
	}
	if response.StatusCode != http.StatusOK {
		return ErrNoStandIn{Reason: response.Status}
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return ErrNoStandIn{Reason: err.Error()}
	}
	return nil
}
