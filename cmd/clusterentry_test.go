package cmd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx/fxtest"

	"hyssopjunction/clock"
	"hyssopjunction/cluster"
	"hyssopjunction/standin/platformtest"
)

// clusterEntry is an entry of a deployment without workers, beside a stand-in of the store.
type clusterEntry struct {
	t         *testing.T
	lifecycle *fxtest.Lifecycle
	address   string
	silent    atomic.Bool
	grace     clock.Millis
}

// newClusterEntry starts an entry and waits until it serves callers. Its store answers unless silent is set.
func newClusterEntry(t *testing.T, grace clock.Millis) *clusterEntry {
	t.Helper()
	entry := &clusterEntry{t: t, lifecycle: fxtest.NewLifecycle(t), address: freeAddress(t), grace: grace}
	store := platformtest.NewStore()
	store.Put("op", "", "config", []byte(`{"Version":1,"Routes":[{"Name":"route","Host":"desk.example","PathPrefix":"/quick/","TimeoutMs":3000,
		"TargetLatencyMs":250,"Priority":0,"Service":"desk","MaxAttempts":2,"SlackFactor":1.5}],"Limits":{"MaxBodyBytes":262144}}`))
	store.SetFault(func(*http.Request) platformtest.Fault {
		if entry.silent.Load() {
			return platformtest.Silent
		}
		return platformtest.None
	})
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	_, port, err := net.SplitHostPort(freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	settings := cluster.Settings{
		Node: "edge-1", Address: "127.0.0.1", Callers: entry.address, Store: strings.TrimPrefix(server.URL, "http://"), Lease: 10 * clock.Second, Grace: grace,
	}
	if _, err := fmt.Sscan(port, &settings.SessionPort); err != nil {
		t.Fatal(err)
	}
	if err := startClusterEntry(entry.lifecycle, settings, "no-such-file", nil); err != nil {
		t.Fatal(err)
	}
	entry.lifecycle.RequireStart()
	for range 500 {
		if status, _ := entry.call(http.MethodGet, "1111111111111111"); status == http.StatusGone {
			return entry
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the entry does not serve")
	return nil
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// callResult is the outcome of a call: a status and whether the entry closes the connection, or an error.
type callResult struct {
	status     int
	closes     bool
	err        error
	answeredAt time.Time
}

// call sends a request for a job on a connection of its own and returns its status, or 0 and an error without a response.
func (entry *clusterEntry) call(method, id string) (int, error) {
	conn, err := net.Dial("tcp", entry.address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	result := entry.callOn(conn, bufio.NewReader(conn), method, id)
	return result.status, result.err
}

// callOn sends a request on an open connection. It never repeats it.
func (*clusterEntry) callOn(conn net.Conn, reader *bufio.Reader, method, id string) callResult {
	body := ""
	if method == http.MethodPost {
		body = `{"Spec":"text","Steps":[{"Count":1,"Cpu":500,"MemoryLimitMb":100}]}`
	}
	request, err := http.NewRequest(method, "http://desk.example/quick/"+id, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set("Hyssopjunction-Deadline-Ms", "3000")
	if err := request.Write(conn); err != nil {
		return callResult{err: err}
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return callResult{err: err}
	}
	_ = response.Body.Close()
	return callResult{status: response.StatusCode, closes: response.Close}
}

// stop sends the entry the signal to stop and returns a channel that receives the time at which it has stopped.
func (entry *clusterEntry) stop() <-chan time.Time {
	stopped := make(chan time.Time, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := entry.lifecycle.Stop(ctx); err != nil {
			entry.t.Errorf("shutdown: %v", err)
		}
		stopped <- time.Now()
	}()
	return stopped
}

// TestRequestsAreAnsweredWhileEntryStops guards against requests whose connection is ended without an answer: an entry that
// stopped beside a store that did not answer cut them after half of its grace, while their callers still waited.
func TestRequestsAreAnsweredWhileEntryStops(t *testing.T) {
	t.Parallel()
	for _, grace := range []clock.Millis{2 * clock.Second, 4 * clock.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			entry := newClusterEntry(t, grace)
			entry.silent.Store(true)
			begun, stopped := time.Now(), entry.stop()
			var results []chan callResult
			for number := range 8 {
				time.Sleep((grace / 20).Duration()) // The last one is sent after two fifths of the grace, while the entry still accepts connections.
				result := make(chan callResult, 1)
				results = append(results, result)
				go func() {
					method := []string{http.MethodPost, http.MethodGet}[number%2]
					status, err := entry.call(method, fmt.Sprintf("%016x", number))
					result <- callResult{status: status, err: err, answeredAt: time.Now()}
				}()
			}
			stoppedAt := <-stopped
			if took := stoppedAt.Sub(begun); took >= grace.Duration() {
				t.Errorf("the shutdown took %s, want less than the grace of %s", took, grace)
			}
			for number, result := range results {
				got := <-result
				if got.answeredAt.After(stoppedAt) {
					t.Errorf("request %d: answered %s after the process would have ended", number, got.answeredAt.Sub(stoppedAt))
				}
				want := []int{http.StatusGatewayTimeout, http.StatusServiceUnavailable}[number%2]
				if got.err != nil || got.status != want {
					t.Errorf("request %d: got status %d and error %v, want %d", number, got.status, got.err, want)
				}
			}
		})
	}
}

// TestIdleConnectionIsServedWhileEntryStops guards against a request whose connection is ended without an answer, because
// the entry closes idle connections when it begins to stop, in the moment at which a caller sends its next request.
func TestIdleConnectionIsServedWhileEntryStops(t *testing.T) {
	t.Parallel()
	entry := newClusterEntry(t, 4*clock.Second)
	conn, err := net.Dial("tcp", entry.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if got := entry.callOn(conn, reader, http.MethodGet, "1111111111111111"); got.err != nil || got.closes {
		t.Fatalf("got %+v, want an answer that leaves the connection open", got)
	}
	stopped := entry.stop()
	time.Sleep(500 * time.Millisecond)
	got := entry.callOn(conn, reader, http.MethodGet, "1111111111111111")
	if got.err != nil || got.status != http.StatusGone || !got.closes {
		t.Errorf("got %+v, want an answer that announces the end of the connection", got)
	}
	<-stopped
}
