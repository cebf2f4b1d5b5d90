package standin_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/standin"
)

// serve starts an endpoint on a free loopback port and returns its address. The endpoint uses the
// returned fake clock, so that requests wait until the test advances it.
func serve(t *testing.T, options standin.EndpointOptions) (endpoint *standin.Endpoint, address string, source *clock.Fake) {
	t.Helper()
	source = clock.NewFake(1_000)
	options.Name, options.Clock = "e1", source
	endpoint = standin.NewEndpoint(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assertNoError(t, err)
	done := make(chan error, 1)
	go func() { done <- endpoint.Serve(listener) }()
	t.Cleanup(func() {
		assertNoError(t, endpoint.Close())
		assertNoError(t, <-done)
	})
	return endpoint, "http://" + listener.Addr().String(), source
}

// caller returns a client whose idle connections are closed at the end of the test.
func caller(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// advanceUntil runs act, and advances the clock a millisecond at a time until act returns.
func advanceUntil(source *clock.Fake, act func()) {
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			default:
				source.Advance(1)
				runtime.Gosched()
			}
		}
	}()
	// Deferred, because a failed assertion in act ends the test's goroutine.
	defer func() {
		close(done)
		<-stopped
	}()
	act()
}

// clientResponse is a response as received by a client.
type clientResponse struct {
	id     string
	status int
	length int64 // Content-Length
	body   []byte
}

func send(client *http.Client, address, id, body string) (clientResponse, error) {
	request, err := http.NewRequest(http.MethodPost, address+"/check", strings.NewReader(body))
	if err != nil {
		return clientResponse{}, err
	}
	request.Header.Set(standin.HeaderRequestID, id)
	response, err := client.Do(request)
	if err != nil {
		return clientResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return clientResponse{
		id: response.Header.Get(standin.HeaderRequestID), status: response.StatusCode, length: response.ContentLength, body: text,
	}, err
}

// TestEndpointAnswersAndCounts guards against responses that their receiver can't check, and
// against uncounted executions, which would hide a request that ran twice.
func TestEndpointAnswersAndCounts(t *testing.T) {
	endpoint, address, _ := serve(t, standin.EndpointOptions{ResponseBytes: 500, RequestIDs: 1})
	client := caller(t)
	for run := 1; run <= 2; run++ {
		response, err := send(client, address, "r1", "roster")
		assertNoError(t, err)
		assertEqual(t, response.id, "r1")
		assertEqual(t, len(response.body), 500)
		var answer standin.Answer
		assertNoError(t, json.Unmarshal(response.body, &answer))
		answer.Padding = ""
		assertEqual(t, answer, standin.Answer{
			Request: "r1", Endpoint: "e1", Run: run, BodyBytes: 6, BodySum: crc32.ChecksumIEEE([]byte("roster")),
		})
	}
	records := endpoint.Records()
	assertEqual(t, records.Executed, 2)
	assertEqual(t, records.DoubledRuns, 1)
	execution, ok := endpoint.Execution("r1")
	assertEqual(t, ok, true)
	assertEqual(t, execution, standin.Execution{Request: "r1", Runs: 2, First: 1_000, Last: 1_000})
	_, err := send(client, address, "r2", "")
	assertNoError(t, err)
	_, ok = endpoint.Execution("r1")
	assertEqual(t, []bool{ok, endpoint.Records().Dropped == 1}, []bool{false, true})
}

// TestEndpointIdempotentService guards against counting a repeated request as a violation although
// the service allows it.
func TestEndpointIdempotentService(t *testing.T) {
	endpoint, address, _ := serve(t, standin.EndpointOptions{Idempotent: true})
	client := caller(t)
	for range 2 {
		_, err := send(client, address, "r1", "")
		assertNoError(t, err)
	}
	records := endpoint.Records()
	assertEqual(t, []int{records.RepeatedRuns, records.DoubledRuns}, []int{1, 0})
}

// TestEndpointLimits guards against exceeded limits that are not recorded, and violations recorded
// within the limits.
func TestEndpointLimits(t *testing.T) {
	endpoint, address, source := serve(t, standin.EndpointOptions{Slots: 2, Connections: 3, MedianMillis: 10})
	client := caller(t)
	var group sync.WaitGroup
	request := func(id int) {
		group.Go(func() { _, _ = send(client, address, fmt.Sprint(id), "") })
	}
	waitForInFlight := func(count int) {
		for endpoint.Records().InFlight < count {
			runtime.Gosched()
		}
	}
	for id := 1; id <= 4; id++ {
		request(id)
		waitForInFlight(id)
		records := endpoint.Records()
		assertEqual(t, records.SlotViolations, max(0, id-2))
		assertEqual(t, records.ConnectionViolations, 0)
	}
	source.Advance(5)
	for endpoint.Records().ConnectionViolations == 0 {
		runtime.Gosched()
	}
	// A handler may begin to wait only after an advance, so the clock advances until all have
	// ended.
	advanceUntil(source, group.Wait)
	records := endpoint.Records()
	assertEqual(t, []int{records.SlotsPeak, records.ConnectionsPeak, records.InFlight}, []int{4, 4, 0})
}

// TestEndpointReconnects guards against a recorded violation when a client closes a connection
// before it opens the next one, and against a cancelled request that keeps its slot.
func TestEndpointReconnects(t *testing.T) {
	endpoint, address, source := serve(t, standin.EndpointOptions{Connections: 1, MedianMillis: 1_000_000, StopOnClose: true})
	for range 100 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(address, "http://"))
		assertNoError(t, err)
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: e\r\nContent-Length: 0\r\n\r\n")
		assertNoError(t, err)
		for endpoint.Records().InFlight == 0 {
			runtime.Gosched()
		}
		assertNoError(t, conn.Close())
		source.Advance(1)
		for endpoint.Records().InFlight > 0 {
			runtime.Gosched()
		}
	}
	assertEqual(t, endpoint.Records().ConnectionViolations, 0)
}

// TestEndpointResponseFaults guards against response faults that do not reach the client.
func TestEndpointResponseFaults(t *testing.T) {
	endpoint, address, source := serve(t, standin.EndpointOptions{})
	setFaults := func(faults standin.EndpointFaults) { assertNoError(t, endpoint.SetFaults(faults)) }
	client := caller(t)
	first, err := send(client, address, "r1", "")
	assertNoError(t, err)

	setFaults(standin.EndpointFaults{CrossedRate: 1})
	response, err := send(client, address, "r2", "")
	assertNoError(t, err)
	assertEqual(t, response.id, "r1")
	assertEqual(t, response.body, first.body)

	setFaults(standin.EndpointFaults{TruncatedRate: 1})
	response, err = send(client, address, "r3", "")
	assertEqual(t, errors.Is(err, io.ErrUnexpectedEOF), true)
	assertEqual(t, int(response.length) > len(response.body), true)

	setFaults(standin.EndpointFaults{ErrorRate: 1})
	response, err = send(client, address, "r4", "")
	assertNoError(t, err)
	assertEqual(t, response.status, http.StatusInternalServerError)

	setFaults(standin.EndpointFaults{Refuse: true})
	response, err = send(client, address, "r5", "")
	assertNoError(t, err)
	assertEqual(t, response.status, http.StatusServiceUnavailable)
	_, executed := endpoint.Execution("r5")
	assertEqual(t, executed, false)

	setFaults(standin.EndpointFaults{LateRate: 1, LateMillis: 70})
	advanceUntil(source, func() { _, err = send(client, address, "r6", "") })
	assertNoError(t, err)
	if source.Now() < 1_070 {
		t.Errorf("late response arrived at %d", source.Now())
	}
}

// TestEndpointDoubledResponse guards against a doubled response that the client does not read as
// the next response on the connection.
func TestEndpointDoubledResponse(t *testing.T) {
	endpoint, address, _ := serve(t, standin.EndpointOptions{})
	assertNoError(t, endpoint.SetFaults(standin.EndpointFaults{DoubledRate: 1}))
	conn, err := net.Dial("tcp", strings.TrimPrefix(address, "http://"))
	assertNoError(t, err)
	defer func() { _ = conn.Close() }()
	exchange := func(id string) {
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: e\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		assertNoError(t, err)
	}
	exchange("r1")
	var ids []string
	buffer := make([]byte, 1)
	var line bytes.Buffer
	for len(ids) < 3 {
		_, err := conn.Read(buffer)
		assertNoError(t, err)
		line.Write(buffer)
		if text := line.String(); strings.HasSuffix(text, "\r\n") {
			if id, ok := strings.CutPrefix(strings.TrimSpace(text), standin.HeaderRequestID+": "); ok {
				ids = append(ids, id)
				if len(ids) == 2 {
					exchange("r2")
				}
			}
			line.Reset()
		}
	}
	assertEqual(t, ids, []string{"r1", "r1", "r2"})
}

// TestEndpointSilentConnections guards against a silent connection that answers, and against new
// connections that are silent too.
func TestEndpointSilentConnections(t *testing.T) {
	endpoint, address, _ := serve(t, standin.EndpointOptions{})
	client := caller(t)
	_, err := send(client, address, "r1", "")
	assertNoError(t, err)
	assertEqual(t, endpoint.SilenceConnections(), 1)
	silent := make(chan error)
	go func() {
		_, err := send(client, address, "r2", "")
		silent <- err
	}()
	newClient := caller(t)
	_, err = send(newClient, address, "r3", "")
	assertNoError(t, err)
	select {
	case err := <-silent:
		t.Errorf("a silent connection answered, error %v", err)
	default:
	}
	assertNoError(t, endpoint.Close())
	if <-silent == nil {
		t.Error("a silent connection answered at its end")
	}
	_, executed := endpoint.Execution("r2")
	assertEqual(t, executed, false)
}

// TestEndpointStream guards against a resumed stream that repeats or skips bytes.
func TestEndpointStream(t *testing.T) {
	_, address, source := serve(t, standin.EndpointOptions{StreamBytes: 300, ChunkBytes: 128, ChunkMillis: 10})
	client := caller(t)
	var whole []byte
	advanceUntil(source, func() {
		for _, part := range []struct{ offset, read int }{{0, 200}, {200, 100}, {300, 0}} {
			response, err := client.Get(fmt.Sprintf("%s/streams/sheet?Offset=%d", address, part.offset))
			assertNoError(t, err)
			assertEqual(t, response.Header.Get(standin.HeaderStreamOffset), fmt.Sprint(part.offset))
			piece := make([]byte, part.read)
			_, err = io.ReadFull(response.Body, piece)
			assertNoError(t, err)
			assertNoError(t, response.Body.Close())
			whole = append(whole, piece...)
		}
	})
	assertEqual(t, string(whole), string(standin.StreamBytes("sheet", 0, 300)))
	response, err := client.Get(address + "/streams/sheet?Offset=301")
	assertNoError(t, err)
	assertNoError(t, response.Body.Close())
	assertEqual(t, response.StatusCode, http.StatusRequestedRangeNotSatisfiable)
}
