// Package endpoint sends requests to the endpoint of a service over HTTP. Client checks that each
// answer is complete and belongs to its request. Gate runs the admission control in front of the
// endpoint inside an agent.
//
// The endpoint must repeat the Request-Id header of the request, and for a stream also
// Stream-Offset. It must declare the Content-Length of answers that are not streams.
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

// ClientSettings are the settings of a Client. Zero values are replaced by those of ClientDefaults.
type ClientSettings struct {
	// Address is the endpoint's host and port.
	Address string
	// Connections is the maximum number of open connections, idle ones included.
	Connections int
	// DialTimeout is the timeout of connecting.
	DialTimeout clock.Millis
	// ResponseDeadline is the maximum time from sending the request to the first byte of the
	// answer.
	ResponseDeadline clock.Millis
	// ProgressDeadline is the maximum time between two reads of an answer's body.
	ProgressDeadline clock.Millis
	// StreamDeadline is the maximum time between two reads of a stream.
	StreamDeadline clock.Millis
	// IdleTime is how long an idle connection stays open.
	IdleTime clock.Millis
	// FreshTime is the maximum idle time of a connection for a request that is not idempotent. An
	// idle connection may be silent, and such a request cannot be repeated.
	FreshTime clock.Millis
	// AnswerBytes is the maximum size of an answer's body.
	AnswerBytes int64
}

// ClientDefaults returns the settings used in production, without an address.
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
	setDefault(&settings.Connections, defaults.Connections)
	setDefault(&settings.DialTimeout, defaults.DialTimeout)
	setDefault(&settings.ResponseDeadline, defaults.ResponseDeadline)
	setDefault(&settings.ProgressDeadline, defaults.ProgressDeadline)
	setDefault(&settings.StreamDeadline, defaults.StreamDeadline)
	setDefault(&settings.IdleTime, defaults.IdleTime)
	setDefault(&settings.FreshTime, defaults.FreshTime)
	setDefault(&settings.AnswerBytes, defaults.AnswerBytes)
	return settings
}

func setDefault[Value comparable](field *Value, fallback Value) {
	var zero Value
	if *field == zero {
		*field = fallback
	}
}

var (
	crossedAnswers    = metrics.NewCounter(`hyssopjunction_endpoint_dropped_answers_total{reason="crossed"}`)
	truncatedAnswers  = metrics.NewCounter(`hyssopjunction_endpoint_dropped_answers_total{reason="truncated"}`)
	surplusAnswers    = metrics.NewCounter(`hyssopjunction_endpoint_dropped_answers_total{reason="surplus"}`)
	oversizedAnswers  = metrics.NewCounter(`hyssopjunction_endpoint_dropped_answers_total{reason="oversized"}`)
	silentConnections = metrics.NewCounter(`hyssopjunction_endpoint_silent_connections_total`)
)

// Client sends requests to one endpoint. It is safe for concurrent use.
type Client struct {
	settings ClientSettings
	pool     *pool
}

// NewClient returns a client that connects when it needs a connection.
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
	// SilenceTimeout is the time after which a connection without an answer counts as silent. 0
	// stands for ResponseDeadline, which is also its maximum.
	SilenceTimeout clock.Millis
}

// Reply is the endpoint's complete answer.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do sends the request and returns its complete answer. After a failure the request is sent once
// more on a new connection if it is idempotent or was not sent; an oversized answer is not
// requested again. Errors are ErrNotSent, ErrSilent, ErrCrossed, ErrTruncated, ErrAnswerTooLarge
// and ErrLost. After all but ErrNotSent the request may have run.
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
	call.SilenceTimeout = 0
	return client.exchange(ctx, call, -1)
}

// probeRequest is the request id of all probes.
const probeRequest ident.Request = "probe"

// Probe sends GET /health on a new connection. A complete answer shows that the endpoint works,
// whatever the status code.
func (client *Client) Probe(ctx context.Context) error {
	_, err := client.exchange(ctx, Call{
		Request: probeRequest, Method: http.MethodGet, Path: "/health", SilenceTimeout: client.settings.ProgressDeadline,
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
	// The expired deadline unblocks reads and writes when the caller gives up.
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	reply, reusable, err := client.roundTrip(ctx, connection, call)
	if !stop() || !reusable {
		client.pool.discard(connection)
	} else {
		client.pool.put(connection)
	}
	return reply, err
}

// roundTrip returns the answer and whether the connection can be reused.
func (client *Client) roundTrip(ctx context.Context, connection *connection, call Call) (Reply, bool, error) {
	request, err := client.request(call)
	if err != nil {
		return Reply{}, true, ErrNotSent{Address: client.settings.Address, Cause: err}
	}
	deadline := client.settings.ResponseDeadline
	if call.SilenceTimeout > 0 {
		deadline = min(deadline, call.SilenceTimeout)
	}
	response, err := client.send(ctx, connection, request, call.Request, deadline) //nolint:bodyclose // Closing would read the rest; a connection with unread data is closed instead.
	if err != nil {
		return Reply{}, false, err
	}
	reply, err := client.readAnswer(ctx, connection, response, call.Request)
	if err != nil {
		return Reply{}, false, err
	}
	if connection.reader.Buffered() > 0 {
		// The endpoint sent a second answer to the same request, which the next request on this
		// connection must not receive.
		surplusAnswers.Inc()
		klog.InfoS("Dropped a duplicate answer", "Request", call.Request, "Bytes", connection.reader.Buffered())
		return reply, false, nil
	}
	return reply, !response.Close, nil
}

func (client *Client) request(call Call) (*http.Request, error) {
	method, path := call.Method, call.Path
	setDefault(&method, http.MethodPost)
	setDefault(&path, "/requests")
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

// send writes the request and reads the headers of the answer.
func (client *Client) send(ctx context.Context, connection *connection, request *http.Request, id ident.Request, deadline clock.Millis) (*http.Response, error) {
	if connection.reader.Buffered() > 0 {
		surplusAnswers.Inc()
		return nil, ErrNotSent{Address: client.settings.Address, Cause: ErrCrossed{Request: id}}
	}
	if err := client.setDeadline(ctx, connection, deadline); err != nil {
		return nil, ErrNotSent{Address: client.settings.Address, Cause: err}
	}
	counter := &countingWriter{Writer: connection}
	if err := request.Write(counter); err != nil {
		if counter.written == 0 {
			return nil, ErrNotSent{Address: client.settings.Address, Cause: err}
		}
		return nil, client.connectionError(id, err)
	}
	response, err := http.ReadResponse(connection.reader, request)
	if err != nil {
		return nil, client.connectionError(id, err)
	}
	if gotID := ident.Request(response.Header.Get(RequestIDHeader)); gotID != id {
		crossedAnswers.Inc()
		klog.InfoS("Dropped the answer to another request", "Request", id, "Got", gotID)
		return nil, ErrCrossed{Request: id, Got: gotID}
	}
	return response, nil
}

func (client *Client) readAnswer(ctx context.Context, connection *connection, response *http.Response, id ident.Request) (Reply, error) {
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
	for received := 0; received < len(body); {
		if err := client.setDeadline(ctx, connection, client.settings.ProgressDeadline); err != nil {
			return Reply{}, client.connectionError(id, err)
		}
		count, err := response.Body.Read(body[received:])
		received += count
		if err != nil && received < len(body) {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				truncatedAnswers.Inc()
				return Reply{}, ErrTruncated{Request: id, Declared: declared, Got: int64(received)}
			}
			return Reply{}, client.connectionError(id, err)
		}
	}
	return Reply{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// setDeadline sets the connection's deadline to the given time from now. This may overwrite the
// expired deadline that a cancellation of ctx has set, so it returns the error of ctx.
func (client *Client) setDeadline(ctx context.Context, connection *connection, deadline clock.Millis) error {
	if err := connection.SetDeadline(time.Now().Add(deadline.Duration())); err != nil {
		return fmt.Errorf("setting the deadline: %w", err)
	}
	return ctx.Err()
}

func (client *Client) connectionError(id ident.Request, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		silentConnections.Inc()
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
