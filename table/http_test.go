package table_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopjunction/clock"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
	"hyssopjunction/table"
)

// newHTTP returns a client of a stand-in on loopback and the stand-in's table.
func newHTTP(t *testing.T) (store *table.HTTP, service *standin.Table) {
	t.Helper()
	platform := standin.New(setting.StandIn{}, clock.NewFake(1))
	server := httptest.NewServer(standin.NewServer(platform).Handler())
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.Close()
		platform.Close()
	})
	return table.NewHTTP(server.URL+"/", &http.Client{Transport: transport}), platform.Table
}

func write(value string, key table.Key, revision table.Revision) table.Transaction {
	return table.Transaction{
		Write: "w1", Conditions: []table.Condition{{Key: key, Revision: revision}},
		Operations: []table.Operation{{Key: key, Value: []byte(value)}},
	}
}

// TestHTTPRoundTrip guards against rows, results or errors that are encoded or decoded wrongly.
func TestHTTPRoundTrip(t *testing.T) {
	store, service := newHTTP(t)
	for _, key := range []table.Key{"Job/a", "Job/b", "Team/ü/1"} {
		result, err := store.Commit(t.Context(), write("1", key, 0))
		assertNoError(t, err)
		assertEqual(t, result, table.Result{Revisions: map[table.Key]table.Revision{key: 1}})
	}
	_, err := store.Commit(t.Context(), table.Transaction{Write: "w2", Operations: []table.Operation{{Key: "Job/a", Delete: true}}})
	assertNoError(t, err)
	for _, key := range []table.Key{"Job/a", "Job/b", "Team/ü/1", "missing"} {
		direct, err := service.Get(t.Context(), key)
		assertNoError(t, err)
		row, err := store.Get(t.Context(), key)
		assertNoError(t, err)
		assertEqual(t, row, direct)
	}
	direct, err := service.Range(t.Context(), "Job/", "", 9)
	assertNoError(t, err)
	rows, err := store.Range(t.Context(), "Job/", "", 9)
	assertNoError(t, err)
	assertEqual(t, rows, direct)
	_, err = store.Commit(t.Context(), write("3", "Job/a", 1))
	assertEqual(t, err, error(table.ErrConflict{Key: "Job/a", Want: 1, Have: 2, Winner: "w2"}))
	_, err = store.Commit(t.Context(), write(string(make([]byte, standin.DefaultValueBytes+1)), "Job/c", 0))
	assertEqual(t, err, error(table.ErrTooLarge{Key: "Job/c", Bytes: standin.DefaultValueBytes + 1, Limit: standin.DefaultValueBytes}))
}

// TestHTTPOutcomes guards against a lost response that is reported as ErrUnavailable, so that a retry would
// repeat the effect, and a refusal that is reported as ErrUnknownOutcome.
func TestHTTPOutcomes(t *testing.T) {
	store, service := newHTTP(t)
	assertNoError(t, service.SetFaults(standin.StoreFaults{LoseNext: 1}))
	_, err := store.Commit(t.Context(), write("1", "a", 0))
	assertEqual(t, table.IsErrUnknownOutcome(err), true)
	row, err := store.Get(t.Context(), "a")
	assertNoError(t, err)
	assertEqual(t, row.Revision, 1)

	assertNoError(t, service.SetFaults(standin.StoreFaults{Outage: true}))
	_, err = store.Commit(t.Context(), write("1", "b", 0))
	assertEqual(t, err, error(table.ErrUnavailable{Reason: "stand-in refuses calls", RetryAfter: clock.Second}))
	_, err = store.Get(t.Context(), "a")
	assertEqual(t, table.IsErrUnavailable(err), true)
	_, err = store.Range(t.Context(), "", "", 1)
	assertEqual(t, table.IsErrUnavailable(err), true)
}

// TestHTTPNotSent guards against a commit that was not sent but is reported as ErrUnknownOutcome, which costs
// a needless read.
func TestHTTPNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assertNoError(t, err)
	assertNoError(t, listener.Close())
	store := table.NewHTTP("http://"+listener.Addr().String(), http.DefaultClient)
	_, err = store.Commit(t.Context(), write("1", "a", 0))
	assertEqual(t, table.IsErrUnavailable(err), true)
	reachable, _ := newHTTP(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = reachable.Commit(ctx, write("1", "a", 0))
	assertEqual(t, table.IsErrUnavailable(err), true)
}

// TestHTTPUnexpectedResponses guards against an incomplete response, or one of a proxy, that is taken for the
// outcome of a commit.
func TestHTTPUnexpectedResponses(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"proxy": func(writer http.ResponseWriter, _ *http.Request) {
			http.Error(writer, "bad gateway", http.StatusBadGateway)
		},
		"type": func(writer http.ResponseWriter, _ *http.Request) {
			http.Error(writer, `{"Type":"ErrOther"}`, http.StatusInternalServerError)
		},
		"not JSON":  func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(writer, "welcome") },
		"closed":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"truncated": respondTruncated,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(answer)
			defer server.Close()
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			store := table.NewHTTP(server.URL, &http.Client{Transport: transport})
			_, err := store.Commit(t.Context(), write("1", "a", 0))
			assertEqual(t, table.IsErrUnknownOutcome(err), true)
			_, err = store.Get(t.Context(), "a")
			assertEqual(t, table.IsErrUnavailable(err), true)
		})
	}
}

func respondTruncated(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Length", "100")
	_, _ = fmt.Fprint(writer, `{"Revisions":{"a":1}}`)
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}

func assertNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func assertEqual[Value any](t testing.TB, have, want Value) {
	t.Helper()
	if difference := cmp.Diff(want, have); difference != "" {
		t.Fatalf("differs (-want +have):\n%s", difference)
	}
}
