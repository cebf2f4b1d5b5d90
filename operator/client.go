package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// maxResponseBytes limits the size of a response that a Client reads.
const maxResponseBytes = 64 << 20

// ClientSettings configure a Client.
type ClientSettings struct {
	// Entries are the addresses of entries as "host:port" or URL, tried in this order.
	Entries []string
	// Token is the operator's bearer token.
	Token string
	// TimeoutMillis limits the time of a call over all entries.
	TimeoutMillis clock.Millis
	// TLS configures TLS for "host:port" addresses; nil selects plain HTTP.
	TLS *tls.Config
	// Request is the request id of changes; if empty, each change gets a new one.
	Request ident.Request
}

// Client calls the operators' API. Its methods return the error types of this package.
type Client struct {
	settings ClientSettings
	baseURLs []string
	http     *http.Client
}

// NewClient returns a Client. It fails with ErrBadRequest if an address is malformed.
func NewClient(settings ClientSettings) (*Client, error) {
	if len(settings.Entries) == 0 {
		return nil, ErrBadRequest{Field: "Entries", Reason: "at least one address is needed"}
	}
	if settings.TimeoutMillis <= 0 {
		return nil, ErrBadRequest{Field: "TimeoutMillis", Reason: "must be positive"}
	}
	if settings.Request != "" && !ident.Valid(settings.Request) {
		return nil, ErrBadRequest{Field: "Request", Reason: fmt.Sprintf("%q is not an identifier", settings.Request)}
	}
	client := &Client{settings: settings}
	for _, address := range settings.Entries {
		baseURL, err := parseBaseURL(address, settings.TLS != nil)
		if err != nil {
			return nil, err
		}
		client.baseURLs = append(client.baseURLs, baseURL)
	}
	client.http = &http.Client{
		Transport: &http.Transport{TLSClientConfig: settings.TLS, DisableKeepAlives: true},
		// Following a redirect could send the token to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return client, nil
}

// parseBaseURL returns the URL of an address without a trailing slash. It fails with ErrBadRequest.
func parseBaseURL(address string, useTLS bool) (string, error) {
	if !strings.Contains(address, "://") {
		scheme := "http://"
		if useTLS {
			scheme = "https://"
		}
		address = scheme + address
	}
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return "", ErrBadRequest{Field: "Entries", Reason: fmt.Sprintf("%q is not an address", address)}
	}
	return strings.TrimSuffix(parsed.Scheme+"://"+parsed.Host+parsed.Path, "/"), nil
}

// plaintextRefusal is the start of the response of a net/http server to plaintext on a TLS port.
const plaintextRefusal = "Client sent an HTTP request to an HTTPS server"

// attemptOutcome is the outcome of one attempt of a call. It decides whether the next entry is tried.
type attemptOutcome int

const (
	// outcomeFinal means that the entry answered with a result or with a final error.
	outcomeFinal attemptOutcome = iota
	// outcomeNotAccepted means that the attempt had no effect.
	outcomeNotAccepted
	// outcomeUnknown means that the attempt may have taken effect.
	outcomeUnknown
)

// call tries the entries in order until one gives a final answer. Trying the next entry after an unknown
// outcome is safe, because a call either has no request id and changes nothing, or is idempotent by its
// request id.
func (client *Client) call(ctx context.Context, method, path string, query url.Values, requestID ident.Request, body, result any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return ErrBadRequest{Reason: err.Error()}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, client.settings.TimeoutMillis.Duration())
	defer cancel()
	var lastErr error
	mayBeAccepted := false
	for index, baseURL := range client.baseURLs {
		attemptCtx, cancelAttempt := attemptContext(ctx, len(client.baseURLs)-index)
		outcome, err := client.attempt(attemptCtx, method, baseURL+Prefix+path, query, requestID, encoded, result)
		cancelAttempt()
		if err == nil {
			return nil
		}
		if outcome == outcomeFinal {
			return err
		}
		mayBeAccepted = mayBeAccepted || outcome == outcomeUnknown
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	if !mayBeAccepted && IsErrTLS(lastErr) {
		return lastErr
	}
	if mayBeAccepted && requestID != "" {
		return ErrUnknownOutcome{Request: requestID, Reason: lastErr.Error()}
	}
	if !IsErrRetryLater(lastErr) {
		return ErrRetryLater{Reason: lastErr.Error(), RetryAfter: clock.Second}
	}
	return lastErr
}

// attemptContext limits an attempt to an equal share of the time left for the remaining entries.
func attemptContext(ctx context.Context, remaining int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || remaining <= 1 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/time.Duration(remaining))
}

// attempt sends the call to one entry and decodes the response into result.
func (client *Client) attempt(ctx context.Context, method, address string, query url.Values, requestID ident.Request, body []byte, result any) (attemptOutcome, error) {
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return outcomeFinal, ErrBadRequest{Reason: err.Error()}
	}
	httpRequest.Header.Set("Authorization", "Bearer "+client.settings.Token)
	if body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	if requestID != "" {
		httpRequest.Header.Set(RequestKeyHeader, string(requestID))
	}
	// Until a connection is established, including the TLS handshake, nothing is sent.
	connected := false
	httpRequest = httpRequest.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	}))
	response, err := client.http.Do(httpRequest)
	if err != nil {
		switch {
		case errors.Is(err, http.ErrSchemeMismatch):
			return outcomeNotAccepted, ErrTLS{Address: httpRequest.URL.Host, Reason: "the entry does not use TLS; leave out --ca and --tls"}
		case connected:
			return outcomeUnknown, err
		default:
			return outcomeNotAccepted, err
		}
	}
	defer func() { _ = response.Body.Close() }()
	// Reading one byte more distinguishes a response at the limit from one above it.
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || len(content) > maxResponseBytes {
		return outcomeUnknown, fmt.Errorf("response of %s is incomplete: %w", address, errors.Join(err, ErrTooLarge{Limit: maxResponseBytes}))
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(content, result); err != nil {
			return outcomeUnknown, fmt.Errorf("response of %s is malformed: %w", address, err)
		}
		return outcomeFinal, nil
	}
	if response.StatusCode == http.StatusBadRequest && strings.HasPrefix(string(content), plaintextRefusal) {
		return outcomeNotAccepted, ErrTLS{Address: httpRequest.URL.Host, Reason: "the entry uses TLS; give --ca or --tls"}
	}
	var failure Failure
	if err := json.Unmarshal(content, &failure); err != nil || failure.Error.Type == "" {
		// A load balancer or another server answered, so the entry may have accepted the call.
		return outcomeUnknown, fmt.Errorf("%s answered with status %d", address, response.StatusCode)
	}
	err = failure.Error.typedError()
	switch {
	case IsErrRetryLater(err):
		return outcomeNotAccepted, err
	case IsErrUnknownOutcome(err) || IsErrInternal(err):
		return outcomeUnknown, err
	default:
		return outcomeFinal, err
	}
}

// newRequestID returns the request id of the settings, or a random one.
func (client *Client) newRequestID() ident.Request {
	if client.settings.Request != "" {
		return client.settings.Request
	}
	return ident.Request("ctl-" + rand.Text())
}
