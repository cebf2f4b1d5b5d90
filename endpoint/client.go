// Package endpoint speaks to the service's endpoint over HTTP. Client checks that each answer is
// complete and belongs to its request; Gate is the shell in which an agent runs the endpoint's
// admission control.
//
// The endpoint must repeat the Request-Id header of the request, and for a stream also
// Stream-Offset, and must declare the Content-Length of answers that are not streams.
package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Header names of the protocol with the endpoint.
const (
	RequestIDHeader    = "Request-Id"
	TeamHeader         = "Team"
	PatienceHeader     = "Patience-Millis"
	StreamOffsetHeader = "Stream-Offset"
)

// ClientSettings of a Client. Zero values are replaced by those of ClientDefaults.
type ClientSettings struct {
	// Address is the endpoint's host and port.
	Address string
	// Connections bounds the open connections, idle ones included.
	Connections int
	// DialTimeout bounds the time to connect.
	DialTimeout clock.Millis
	// ResponseDeadline bounds the time from the written request to the first byte of the answer.
	ResponseDeadline clock.Millis
	// ProgressDeadline bounds the time between two reads of an answer's body.
	ProgressDeadline clock.Millis
	// StreamDeadline bounds the time between two reads of a stream.
	StreamDeadline clock.Millis
	// IdleTime is how long an idle connection is kept.
	IdleTime clock.Millis
	// FreshTime is how recently a connection must have been used to carry a request that is not
	// idempotent: an idle connection may have gone silent, and such a request cannot be repeated.
	FreshTime clock.Millis
	// AnswerBytes bounds an answer's body.
	AnswerBytes int64
}

// ClientDefaults returns the settings of the current deployments.
func ClientDefaults() ClientSettings {
	return ClientSettings{
		Connections:      64,
		DialTimeout:      clock.Second,
		ResponseDeadline: 10 * clock.Second,
		ProgressDeadline: 2 * clock.Second,
		StreamDeadline:   clock.Minute,
		IdleTime:         30 * clock.Second,
		FreshTime:        200 * clock.Millisecond,
		AnswerBytes:      8 << 20,
	}
}

func (settings ClientSettings) withDefaults() ClientSettings {
	defaults := ClientDefaults()
	fill(&settings.Connections, defaults.Connections)
	fill(&settings.DialTimeout, defaults.DialTimeout)
	fill(&settings.ResponseDeadline, defaults.ResponseDeadline)
	fill(&settings.ProgressDeadline, defaults.ProgressDeadline)
	fill(&settings.StreamDeadline, defaults.StreamDeadline)
	fill(&settings.IdleTime, defaults.IdleTime)
	fill(&settings.FreshTime, defaults.FreshTime)
	fill(&settings.AnswerBytes, defaults.AnswerBytes)
	return settings
}

func fill[Value comparable](field *Value, fallback Value) {
	var zero Value
	if *field == zero {
		*field = fallback
	}
}

var (
	crossedAnswers   = metrics.NewCounter(`hyssopjunction_endpoint_dropped_answers_total{reason="crossed"}`)
	truncatedAnswers = metrics.NewCounter(`hyssopjunction_endpoint_dropped_answers_total{reason="truncated"}`)
	surplusAnswers   = metrics.NewCounter(`hyssopjunction_endpoint_dropped_answers_total{reason="surplus"}`)
	oversizedAnswers = metrics.NewCounter(`hyssopjunction_endpoint_dropped_answers_total{reason="oversized"}`)
	silentCount      = metrics.NewCounter(`hyssopjunction_endpoint_silent_connections_total`)
)

// Client sends requests to one endpoint. It is safe for concurrent use.
type Client struct {
	settings ClientSettings
	pool     *pool
}

// NewClient returns a client that dials on demand.
func NewClient(time clock.Clock, settings ClientSettings) *Client {
	settings = settings.withDefaults()
	dialer := &net.Dialer{Timeout: settings.DialTimeout.Duration()}
	return &Client{settings: settings, pool: &pool{
		address: settings.Address, limit: settings.Connections, maxIdle: settings.IdleTime, clock: time,
		dial: dialer.DialContext, freed: make(chan struct{}),
	}}
}

// Call is one request to the endpoint. Method and Path default to POST and /requests.
type Call struct {
	Request     ident.Request
	Team        ident.Team
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Idempotent  bool
	Patience    clock.Millis
	// Suspect is the time after which a connection without an answer counts as silent; 0 stands for
	// the ResponseDeadline, which also bounds it.
	Suspect clock.Millis
}

// Reply is the endpoint's complete answer.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do sends the request and returns the complete answer to it. An idempotent request is sent once
// more on a new connection if the first connection failed. Errors are ErrNotSent, ErrSilent,
// ErrCrossed, ErrTruncated, ErrAnswerTooLarge and ErrLost; after all but the first the request may
// have run.
func (client *Client) Do(ctx context.Context, call Call) (Reply, error) {
	maxAge := client.settings.IdleTime
	if !call.Idempotent {
		maxAge = client.settings.FreshTime
	}
	reply, err := client.exchange(ctx, call, maxAge)
	if err == nil || ctx.Err() != nil || IsErrAnswerTooLarge(err) {
		return reply, err
	}
	if !call.Idempotent && !IsErrNotSent(err) {
		return reply, err
	}
	call.Suspect = 0
	return client.exchange(ctx, call, -1)
}

// probeRequest is the request id of probes.
const probeRequest ident.Request = "probe"

// Probe sends GET /health on a new connection. Any complete answer to it shows that the endpoint
// works, whatever its status.
func (client *Client) Probe(ctx context.Context) error {
	_, err := client.exchange(ctx, Call{
		Request: probeRequest, Method: http.MethodGet, Path: "/health", Suspect: client.settings.ProgressDeadline,
	}, -1)
	return err
}

// Connections returns the number of open connections.
func (client *Client) Connections() int {
	return client.pool.size()
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.pool.close()
}

func (client *Client) exchange(ctx context.Context, call Call, maxAge clock.Millis) (Reply, error) {
	connection, err := client.pool.get(ctx, maxAge)
	if err != nil {
		return Reply{}, ErrNotSent{Address: client.settings.Address, Cause: err}
	}
	// Closing the connection unblocks reads and writes once the caller gives up.
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	reply, reusable, err := client.roundTrip(ctx, connection, call)
	if !stop() || !reusable {
		client.pool.discard(connection)
	} else {
		client.pool.put(connection)
	}
	return reply, err
}

// roundTrip returns the answer and whether the connection can be used again.
func (client *Client) roundTrip(ctx context.Context, connection *connection, call Call) (Reply, bool, error) {
	request, err := client.request(call)
	if err != nil {
		return Reply{}, true, ErrNotSent{Address: client.settings.Address, Cause: err}
	}
	deadline := client.settings.ResponseDeadline
	if call.Suspect > 0 {
		deadline = min(deadline, call.Suspect)
	}
	response, err := client.send(ctx, connection, request, call.Request, deadline) //nolint:bodyclose // Closing would read the rest; a connection with unread data is closed instead.
	if err != nil {
		return Reply{}, false, err
	}
	reply, err := client.read(ctx, connection, response, call.Request)
	if err != nil {
		return Reply{}, false, err
	}
	if connection.reader.Buffered() > 0 {
		// A second answer to the same request; the next request must not receive it.
		surplusAnswers.Inc()
		klog.InfoS("Answer doubled", "Request", call.Request, "Bytes", connection.reader.Buffered())
		return reply, false, nil
	}
	return reply, !response.Close, nil
}

func (client *Client) request(call Call) (*http.Request, error) {
	method, path := call.Method, call.Path
	fill(&method, http.MethodPost)
	fill(&path, "/requests")
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+client.settings.Address+path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("building the request: %w", err)
	}
	request.Header.Set(RequestIDHeader, string(call.Request))
	request.Header.Set(TeamHeader, string(call.Team))
	request.Header.Set(PatienceHeader, strconv.FormatInt(int64(call.Patience), 10))
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	return request, nil
}

// send writes the request and reads the header of the answer.
func (client *Client) send(ctx context.Context, connection *connection, request *http.Request, id ident.Request, deadline clock.Millis) (*http.Response, error) {
	if connection.reader.Buffered() > 0 {
		surplusAnswers.Inc()
		return nil, ErrNotSent{Address: client.settings.Address, Cause: ErrCrossed{Request: id}}
	}
	if err := client.extend(ctx, connection, deadline); err != nil {
		return nil, ErrNotSent{Address: client.settings.Address, Cause: err}
	}
	counter := &countingWriter{Writer: connection}
	if err := request.Write(counter); err != nil {
		if counter.written == 0 {
			return nil, ErrNotSent{Address: client.settings.Address, Cause: err}
		}
		return nil, client.lost(id, err)
	}
	response, err := http.ReadResponse(connection.reader, request)
	if err != nil {
		return nil, client.lost(id, err)
	}
	if got := ident.Request(response.Header.Get(RequestIDHeader)); got != id {
		crossedAnswers.Inc()
		klog.InfoS("Answer crossed", "Request", id, "Got", got)
		return nil, ErrCrossed{Request: id, Got: got}
	}
	return response, nil
}

func (client *Client) read(ctx context.Context, connection *connection, response *http.Response, id ident.Request) (Reply, error) {
	declared := response.ContentLength
	if declared > client.settings.AnswerBytes {
		oversizedAnswers.Inc()
		return Reply{}, ErrAnswerTooLarge{Request: id, Declared: declared, Limit: client.settings.AnswerBytes}
	}
	if declared < 0 {
		truncatedAnswers.Inc()
		return Reply{}, ErrTruncated{Request: id, Declared: declared}
	}
	body := make([]byte, declared)
	for filled := 0; filled < len(body); {
		if err := client.extend(ctx, connection, client.settings.ProgressDeadline); err != nil {
			return Reply{}, client.lost(id, err)
		}
		count, err := response.Body.Read(body[filled:])
		filled += count
		if err != nil && filled < len(body) {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				truncatedAnswers.Inc()
				return Reply{}, ErrTruncated{Request: id, Declared: declared, Got: int64(filled)}
			}
			return Reply{}, client.lost(id, err)
		}
	}
	return Reply{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// extend moves the connection's deadline. It keeps the expired deadline of a cancelled call.
func (client *Client) extend(ctx context.Context, connection *connection, deadline clock.Millis) error {
	if err := connection.SetDeadline(time.Now().Add(deadline.Duration())); err != nil {
		return fmt.Errorf("setting the deadline: %w", err)
	}
	return ctx.Err()
}

func (client *Client) lost(id ident.Request, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		silentCount.Inc()
		return ErrSilent{Request: id}
	}
	return ErrLost{Request: id, Cause: err}
}

type countingWriter struct {
	io.Writer
	written int
}

// Write implements io.Writer.
func (counter *countingWriter) Write(data []byte) (int, error) {
	count, err := counter.Writer.Write(data)
	counter.written += count
	return count, err
}
