package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/goleak"

	"hyssopjunction/caller"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// dispatcher is a fake Dispatcher. It returns answer, chunks and err, and records the last request.
type dispatcher struct {
	mu     sync.Mutex
	last   dispatch.Request
	answer dispatch.Answer
	err    error
	chunks []string
	// If block is set, Dispatch sends on entered and waits until block is closed.
	entered chan struct{}
	block   chan struct{}
}

func (dispatcher *dispatcher) Dispatch(ctx context.Context, request dispatch.Request) (dispatch.Answer, error) {
	if dispatcher.block != nil {
		dispatcher.entered <- struct{}{}
		select {
		case <-dispatcher.block:
		case <-ctx.Done():
			return dispatch.Answer{}, dispatch.ErrUnknown{Reason: dispatch.Cancelled}
		}
	}
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	dispatcher.last = request
	return dispatcher.answer, dispatcher.err
}

func (dispatcher *dispatcher) Follow(_ context.Context, request dispatch.StreamRequest, pass func([]byte) error) error {
	for _, chunk := range dispatcher.chunks {
		if err := pass([]byte(chunk)[request.Offset:]); err != nil {
			return err
		}
	}
	return dispatcher.err
}

func newServer(t *testing.T, dispatcher *dispatcher, settings caller.Settings) *httptest.Server {
	t.Helper()
	router := mux.NewRouter()
	count := 0
	var mu sync.Mutex
	caller.New(dispatcher, func() ident.Request {
		mu.Lock()
		defer mu.Unlock()
		count++
		return ident.Request(fmt.Sprint("r", count))
	}, settings).Register(router)
	server := httptest.NewUnstartedServer(nil)
	server.Config = caller.NewServer(router, settings)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// received is a response without its body.
type received struct {
	StatusCode int
	Header     http.Header
}

func post(t *testing.T, server *httptest.Server, body io.Reader, headers ...string) (received, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/services/checks/requests", body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Team", "omaruru")
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return received{StatusCode: response.StatusCode, Header: response.Header}, string(text)
}

// assertError checks the status, type, outcome and retry-after of an error response.
func assertError(t *testing.T, response received, text string, status int, errorType string, result outcome.Outcome, hasRetryAfter bool) {
	t.Helper()
	var body caller.ErrorBody
	if err := json.Unmarshal([]byte(text), &body); err != nil {
		t.Fatalf("body %q: %v", text, err)
	}
	if response.StatusCode != status || body.Error.Type != errorType || body.Outcome != result {
		t.Fatalf("status %d, body %s; want %d %s %s", response.StatusCode, text, status, errorType, result)
	}
	if response.Header.Get("Outcome") != result.String() || response.Header.Get("Request-Id") == "" {
		t.Fatalf("header %v", response.Header)
	}
	if got := response.Header.Get("Retry-After") != ""; got != hasRetryAfter || got != (body.Error.RetryAfterMillis > 0) {
		t.Fatalf("retry-after %v, body %s", response.Header, text)
	}
}

// TestMalformedRequests guards against malformed requests that are dispatched or get an untyped error.
func TestMalformedRequests(t *testing.T) {
	settings := caller.Defaults()
	settings.BodyBytes = 100
	fake := &dispatcher{}
	server := newServer(t, fake, settings)
	cases := []struct {
		name, header, value, errorType string
		status                         int
	}{
		{"no team", "Team", "", "MalformedTeam", 400},
		{"malformed key", "Request-Key", "a/b", "MalformedKey", 400},
		{"empty key", "Request-Key", "", "MalformedKey", 400},
		{"negative patience", "Patience-Millis", "-5", "MalformedPatience", 400},
		{"patience is no number", "Patience-Millis", "soon", "MalformedPatience", 400},
		{"endless patience", "Patience-Millis", "99999999999", "MalformedPatience", 400},
		{"unknown priority", "Priority", "Now", "MalformedPriority", 400},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			response, text := post(t, server, strings.NewReader("{}"), test.header, test.value)
			assertError(t, response, text, test.status, test.errorType, outcome.NotRun, false)
		})
	}
	t.Run("declared body too large", func(t *testing.T) {
		response, text := post(t, server, strings.NewReader(strings.Repeat("x", 101)))
		assertError(t, response, text, 413, "TooLarge", outcome.NotRun, false)
	})
	t.Run("chunked body too large", func(t *testing.T) {
		response, text := post(t, server, io.MultiReader(strings.NewReader(strings.Repeat("x", 101))))
		assertError(t, response, text, 413, "TooLarge", outcome.NotRun, false)
	})
	t.Run("header too large", func(t *testing.T) {
		response, _ := post(t, server, nil, "Padding", strings.Repeat("x", 64<<10))
		if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Fatalf("status %d", response.StatusCode)
		}
	})
	if fake.last.ID != "" {
		t.Fatalf("dispatched %+v", fake.last)
	}
}

// TestDispatchErrors guards against an error of package dispatch that reaches the caller with the wrong
// status or outcome.
func TestDispatchErrors(t *testing.T) {
	cases := []struct {
		err           error
		errorType     string
		status        int
		result        outcome.Outcome
		hasRetryAfter bool
	}{
		{dispatch.ErrNotRun{Reason: dispatch.UnknownService}, "UnknownService", 404, outcome.NotRun, false},
		{dispatch.ErrNotRun{Reason: dispatch.MissingKey}, "MissingKey", 400, outcome.NotRun, false},
		{dispatch.ErrNotRun{Reason: dispatch.KeyReused}, "KeyReused", 422, outcome.NotRun, false},
		{dispatch.ErrNotRun{Reason: dispatch.Overload, RetryAfter: 10}, "Overload", 429, outcome.NotRun, true},
		{dispatch.ErrNotRun{Reason: dispatch.Patience, RetryAfter: 10}, "Patience", 503, outcome.NotRun, true},
		{dispatch.ErrNotRun{Reason: dispatch.Outage, RetryAfter: 1500}, "Outage", 503, outcome.NotRun, true},
		{dispatch.ErrUnknown{Reason: dispatch.StillRunning, RetryAfter: 10}, "StillRunning", 409, outcome.Unknown, true},
		{dispatch.ErrUnknown{Reason: dispatch.Patience, RetryAfter: 10}, "Patience", 504, outcome.Unknown, true},
		{dispatch.ErrUnknown{Reason: dispatch.Lost}, "Lost", 502, outcome.Unknown, false},
		{dispatch.ErrAnswerUnavailable{Bytes: 5}, "NotKept", 410, outcome.Ran, false},
		{dispatch.ErrAnswerUnavailable{Bytes: 5, RetryAfter: 10}, "NotKept", 503, outcome.Ran, true},
		{io.ErrUnexpectedEOF, "Internal", 500, outcome.Unknown, false},
	}
	fake := &dispatcher{}
	server := newServer(t, fake, caller.Defaults())
	for _, test := range cases {
		t.Run(fmt.Sprint(test.errorType, test.result), func(t *testing.T) {
			fake.err = test.err
			response, text := post(t, server, strings.NewReader("{}"))
			assertError(t, response, text, test.status, test.errorType, test.result, test.hasRetryAfter)
		})
	}
}

// TestRequestAndAnswerArePassedOn guards against request headers that are not dispatched and answers that
// reach the caller changed.
func TestRequestAndAnswerArePassedOn(t *testing.T) {
	fake := &dispatcher{answer: dispatch.Answer{Status: 201, Body: []byte("ok"), ContentType: "text/x", Replayed: true}}
	settings := caller.Defaults()
	settings.MinPatience = 20
	server := newServer(t, fake, settings)
	if post(t, server, strings.NewReader("{}"), "Patience-Millis", "3"); fake.last.Patience != settings.MinPatience {
		t.Fatalf("patience below the least is dispatched as %d", fake.last.Patience)
	}
	response, text := post(t, server, strings.NewReader("{}"), "Request-Key", "k1", "Patience-Millis", "250", "Priority", "High")
	if response.StatusCode != 201 || text != "ok" || response.Header.Get("Content-Type") != "text/x" ||
		response.Header.Get("Outcome") != "Ran" || response.Header.Get("Replayed") != "true" {
		t.Fatalf("%d %q %v", response.StatusCode, text, response.Header)
	}
	last := fake.last
	if last.Service != "checks" || last.Team != "omaruru" || last.Key != "k1" || last.Patience != 250 ||
		last.Priority != 2 || string(last.Body) != "{}" || string(last.ID) != response.Header.Get("Request-Id") {
		t.Fatalf("dispatched %+v", last)
	}
}

// TestBodyMemoryIsLimited guards against memory for bodies that grows with the number of callers, and
// against memory that is not released when a request ends.
func TestBodyMemoryIsLimited(t *testing.T) {
	settings := caller.Defaults()
	settings.TotalBytes = 10
	fake := &dispatcher{block: make(chan struct{}), entered: make(chan struct{}, 2)}
	server := newServer(t, fake, settings)
	var first sync.WaitGroup
	first.Go(func() { post(t, server, strings.NewReader("12345678")) })
	<-fake.entered
	response, text := post(t, server, strings.NewReader("123"))
	assertError(t, response, text, 429, "Overload", outcome.NotRun, true)
	close(fake.block)
	first.Wait()
	if response, _ := post(t, server, strings.NewReader("123")); response.StatusCode != http.StatusOK {
		t.Fatalf("status %d after the memory was given back", response.StatusCode)
	}
}

// TestSlowBodyTimesOut guards against a caller who sends its body so slowly that it occupies memory for
// ever.
func TestSlowBodyTimesOut(t *testing.T) {
	settings := caller.Defaults()
	settings.ReadTimeout = 20
	server := newServer(t, &dispatcher{}, settings)
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, "POST /v1/services/checks/requests HTTP/1.1\r\nHost: x\r\nTeam: t\r\nContent-Length: 10\r\n\r\nabc"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	assertError(t, received{StatusCode: response.StatusCode, Header: response.Header}, string(text), 408, "IncompleteBody", outcome.NotRun, false)
}

// TestReadTimeoutDoesNotCancelRequest guards against a running request that is cancelled when the timeout
// for reading its body passes.
func TestReadTimeoutDoesNotCancelRequest(t *testing.T) {
	settings := caller.Defaults()
	settings.ReadTimeout = 30
	fake := &dispatcher{block: make(chan struct{}), entered: make(chan struct{}, 1)}
	server := newServer(t, fake, settings)
	time.AfterFunc(4*settings.ReadTimeout.Duration(), func() { close(fake.block) })
	if response, text := post(t, server, strings.NewReader("{}")); response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %s", response.StatusCode, text)
	}
}

// TestBrokenStreamIsNotComplete guards against a broken stream that looks complete to the caller, and
// against a stream that does not start at the requested offset.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	fake := &dispatcher{chunks: []string{"0123456789"}}
	server := newServer(t, fake, caller.Defaults())
	get := func(query string) (received, string, error) {
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/v1/services/checks/streams/sheet"+query, nil)
		request.Header.Set("Team", "t")
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return received{StatusCode: response.StatusCode, Header: response.Header}, string(text), err
	}
	response, text, err := get("?Offset=4")
	if err != nil || text != "456789" || response.Header.Get("Stream-Offset") != "4" {
		t.Fatalf("%q %v %v", text, response.Header, err)
	}
	response, text, _ = get("?Offset=-1")
	assertError(t, response, text, 400, "MalformedOffset", outcome.NotRun, false)
	fake.err = dispatch.ErrUnknown{Reason: dispatch.Outage}
	if _, text, err = get(""); !errors.Is(err, io.ErrUnexpectedEOF) || text != "0123456789" {
		t.Fatalf("%q %v", text, err)
	}
	fake.chunks = nil
	response, text, _ = get("")
	assertError(t, response, text, 503, "Outage", outcome.Unknown, false)
}
