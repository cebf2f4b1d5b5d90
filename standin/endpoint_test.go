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

// serve starts an endpoint on a free port of loopback and returns its address. The clock of the
// endpoint is a fake, so that requests wait until the test advances it.
func serve(t *testing.T, options standin.EndpointOptions) (endpoint *standin.Endpoint, address string, source *clock.Fake) {
	t.Helper()
	source = clock.NewFake(1_000)
	options.Name, options.Clock = "e1", source
	endpoint = standin.NewEndpoint(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assertNoError(t, err)
	served := make(chan error, 1)
	go func() { served <- endpoint.Serve(listener) }()
	t.Cleanup(func() {
		assertNoError(t, endpoint.Close())
		assertNoError(t, <-served)
	})
	return endpoint, "http://" + listener.Addr().String(), source
}

// caller returns a client whose connections end with the test.
func caller(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// advanceUntil runs act and advances the clock a millisecond at a time until act returns.
func advanceUntil(source *clock.Fake, act func()) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
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
	// Deferred, because act may end the test.
	defer func() {
		close(done)
		<-ended
	}()
	act()
}

// received is what a client saw of a response.
type received struct {
	id     string
	status int
	length int64 // as announced
	body   []byte
}

func send(client *http.Client, address, id, body string) (received, error) {
	request, err := http.NewRequest(http.MethodPost, address+"/check", strings.NewReader(body))
	if err != nil {
		return received{}, err
	}
	request.Header.Set(standin.HeaderRequestID, id)
	response, err := client.Do(request)
	if err != nil {
		return received{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return received{
		id: response.Header.Get(standin.HeaderRequestID), status: response.StatusCode, length: response.ContentLength, body: text,
	}, err
}

// Guards against responses that can't be checked by their receiver and executions that are not
// counted, so that a doubled run would go unnoticed.
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

// Guards against a retry that the service allows being counted as a violation.
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

// Guards against limits that are exceeded without a record, and a record without a violation.
func TestEndpointLimits(t *testing.T) {
	endpoint, address, source := serve(t, standin.EndpointOptions{Slots: 2, Connections: 3, MedianMillis: 10})
	client := caller(t)
	var group sync.WaitGroup
	request := func(id int) {
		group.Go(func() { _, _ = send(client, address, fmt.Sprint(id), "") })
	}
	reach := func(count int) {
		for endpoint.Records().InFlight < count {
			runtime.Gosched()
		}
	}
	for id := 1; id <= 4; id++ {
		request(id)
		reach(id)
		records := endpoint.Records()
		assertEqual(t, records.SlotViolations, max(0, id-2))
		assertEqual(t, records.ConnectionViolations, 0)
	}
	source.Advance(5)
	for endpoint.Records().ConnectionViolations == 0 {
		runtime.Gosched()
	}
	// A handler may start to wait only after an advance, so the clock moves until all have ended.
	advanceUntil(source, group.Wait)
	records := endpoint.Records()
	assertEqual(t, []int{records.SlotsPeak, records.ConnectionsPeak, records.InFlight}, []int{4, 4, 0})
}

// Guards against a client that closes a connection before it opens the next one being accused of
// exceeding the limit, and a request that is stopped but keeps its slot.
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

// Guards against faults of responses that do not reach the client as described.
func TestEndpointResponseFaults(t *testing.T) {
	endpoint, address, source := serve(t, standin.EndpointOptions{})
	fault := func(faults standin.EndpointFaults) { assertNoError(t, endpoint.SetFaults(faults)) }
	client := caller(t)
	first, err := send(client, address, "r1", "")
	assertNoError(t, err)

	fault(standin.EndpointFaults{CrossedRate: 1})
	response, err := send(client, address, "r2", "")
	assertNoError(t, err)
	assertEqual(t, response.id, "r1")
	assertEqual(t, response.body, first.body)

	fault(standin.EndpointFaults{TruncatedRate: 1})
	response, err = send(client, address, "r3", "")
	assertEqual(t, errors.Is(err, io.ErrUnexpectedEOF), true)
	assertEqual(t, int(response.length) > len(response.body), true)

	fault(standin.EndpointFaults{ErrorRate: 1})
	response, err = send(client, address, "r4", "")
	assertNoError(t, err)
	assertEqual(t, response.status, http.StatusInternalServerError)

	fault(standin.EndpointFaults{Refuse: true})
	response, err = send(client, address, "r5", "")
	assertNoError(t, err)
	assertEqual(t, response.status, http.StatusServiceUnavailable)
	_, executed := endpoint.Execution("r5")
	assertEqual(t, executed, false)

	fault(standin.EndpointFaults{LateRate: 1, LateMillis: 70})
	advanceUntil(source, func() { _, err = send(client, address, "r6", "") })
	assertNoError(t, err)
	if source.Now() < 1_070 {
		t.Errorf("late response arrived at %d", source.Now())
	}
}

// Guards against a doubled response that does not arrive on the connection as the next response.
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

// Guards against a silenced connection that answers, and new connections that are silent as well.
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
	fresh := caller(t)
	_, err = send(fresh, address, "r3", "")
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

// Guards against a resumed stream that repeats or skips bytes.
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
