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

// maxResponse bounds the responses that a Client reads, in bytes.
const maxResponse = 64 << 20

// ClientSettings tell how a Client reaches the entries.
type ClientSettings struct {
	// Entries are addresses as "host:port" or URLs, tried in order.
	Entries []string
	Token   string
	// TimeoutMillis bounds a call over all entries.
	TimeoutMillis clock.Millis
	// TLS makes "host:port" addresses use TLS; nil stands for plain HTTP.
	TLS *tls.Config
	// Request is the request id of changes; empty stands for a new one per change.
	Request ident.Request
}

// Client calls the operators' API. Its errors are those of this package.
type Client struct {
	settings ClientSettings
	bases    []string
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
		base, err := baseOf(address, settings.TLS != nil)
		if err != nil {
			return nil, err
		}
		client.bases = append(client.bases, base)
	}
	client.http = &http.Client{
		Transport: &http.Transport{TLSClientConfig: settings.TLS, DisableKeepAlives: true},
		// A redirect could send the token elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return client, nil
}

func baseOf(address string, secure bool) (string, error) {
	if !strings.Contains(address, "://") {
		scheme := "http://"
		if secure {
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

// plaintextRefusal starts the answer of net/http's server to plaintext on a port with TLS.
const plaintextRefusal = "Client sent an HTTP request to an HTTPS server"

// certainty tells what is known of an attempt that returned no result.
type certainty int

const (
	// refused attempts were answered with a final error.
	refused certainty = iota
	// unaccepted attempts certainly had no effect.
	unaccepted
	// uncertain attempts may have taken effect.
	uncertain
)

// call tries the entries in turn. The next entry is tried if the call was certainly not accepted, or
// if a repeat is harmless: calls without a request id change nothing, the others are idempotent by it.
func (client *Client) call(ctx context.Context, method, path string, query url.Values, request ident.Request, body, into any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return ErrBadRequest{Reason: err.Error()}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, client.settings.TimeoutMillis.Duration())
	defer cancel()
	var last error
	maybe := false
	for index, base := range client.bases {
		attempt, done := share(ctx, len(client.bases)-index)
		known, err := client.attempt(attempt, method, base+Prefix+path, query, request, encoded, into)
		done()
		if err == nil {
			return nil
		}
		if known == refused {
			return err
		}
		maybe = maybe || known == uncertain
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	if !maybe && IsErrTLS(last) {
		return last
	}
	if maybe && request != "" {
		return ErrUnknownOutcome{Request: request, Reason: last.Error()}
	}
	if !IsErrRetryLater(last) {
		return ErrRetryLater{Reason: last.Error(), RetryAfter: clock.Second}
	}
	return last
}

// share bounds one attempt so that every remaining entry gets its part of the time left.
func share(ctx context.Context, remaining int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || remaining <= 1 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/time.Duration(remaining))
}

func (client *Client) attempt(ctx context.Context, method, target string, query url.Values, request ident.Request, body []byte, into any) (certainty, error) {
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	call, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return refused, ErrBadRequest{Reason: err.Error()}
	}
	call.Header.Set("Authorization", "Bearer "+client.settings.Token)
	if body != nil {
		call.Header.Set("Content-Type", "application/json")
	}
	if request != "" {
		call.Header.Set(RequestKey, string(request))
	}
	// Without a connection, including the TLS handshake, nothing was sent.
	connected := false
	call = call.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	}))
	response, err := client.http.Do(call)
	if err != nil {
		switch {
		case errors.Is(err, http.ErrSchemeMismatch):
			return unaccepted, ErrTLS{Address: call.URL.Host, Reason: "the entry does not use TLS; leave out --ca and --tls"}
		case connected:
			return uncertain, err
		default:
			return unaccepted, err
		}
	}
	defer func() { _ = response.Body.Close() }()
	// Reading one byte more tells a response at the bound from one above it.
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponse+1))
	if err != nil || len(answer) > maxResponse {
		return uncertain, fmt.Errorf("response of %s is incomplete: %w", target, errors.Join(err, ErrTooLarge{Limit: maxResponse}))
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(answer, into); err != nil {
			return uncertain, fmt.Errorf("response of %s is malformed: %w", target, err)
		}
		return refused, nil
	}
	if response.StatusCode == http.StatusBadRequest && strings.HasPrefix(string(answer), plaintextRefusal) {
		return unaccepted, ErrTLS{Address: call.URL.Host, Reason: "the entry uses TLS; give --ca or --tls"}
	}
	var failed Failure
	if err := json.Unmarshal(answer, &failed); err != nil || failed.Error.Type == "" {
		// A balancer or another server answered, so nothing is known of the call.
		return uncertain, fmt.Errorf("%s answered with status %d", target, response.StatusCode)
	}
	err = failed.Error.restore()
	switch {
	case IsErrRetryLater(err):
		return unaccepted, err
	case IsErrUnknownOutcome(err) || IsErrInternal(err):
		return uncertain, err
	default:
		return refused, err
	}
}

// newRequest returns the request id for a change.
func (client *Client) newRequest() ident.Request {
	if client.settings.Request != "" {
		return client.settings.Request
	}
	return ident.Request("ctl-" + rand.Text())
}
