package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

const (
	writerToken = "writer-token-of-32-bytes-length!"
	readerToken = "reader-token-of-32-bytes-length!"
)

// control is a fake Control. It records all changes and answers with err if it is set.
type control struct {
	operator.Control
	mu    sync.Mutex
	err   error
	calls []operator.Call
	jobs  map[ident.Request]operator.JobSubmission
}

func (control *control) record(call operator.Call) error {
	control.mu.Lock()
	defer control.mu.Unlock()
	control.calls = append(control.calls, call)
	return control.err
}

func (control *control) Status(context.Context) (operator.Status, error) {
	return operator.Status{Entry: "entry-1"}, control.err
}

func (control *control) SetPreset(_ context.Context, call operator.Call, change operator.PresetChange) (operator.Accepted, error) {
	return operator.Accepted{Document: "Preset", Version: 7}, control.record(call)
}

func (control *control) SetDataCentre(_ context.Context, call operator.Call, _ operator.DataCentreChange) (operator.Accepted, error) {
	return operator.Accepted{}, control.record(call)
}

func (control *control) SetService(_ context.Context, call operator.Call, _ operator.ServiceChange) (operator.Accepted, error) {
	return operator.Accepted{}, control.record(call)
}

func (control *control) SetTeam(_ context.Context, call operator.Call, _ operator.TeamChange) (operator.Accepted, error) {
	return operator.Accepted{}, control.record(call)
}

func (control *control) DeclareLost(_ context.Context, call operator.Call, _ operator.WorkerLoss) (operator.Accepted, error) {
	return operator.Accepted{}, control.record(call)
}

func (control *control) CancelJob(_ context.Context, call operator.Call, job ident.Job) (operator.JobState, error) {
	return operator.JobState{JobSubmission: operator.JobSubmission{Job: job}}, control.record(call)
}

func (control *control) Jobs(_ context.Context, filter operator.JobFilter) (operator.JobList, error) {
	return operator.JobList{More: filter.Limit == 1}, control.err
}

func (control *control) SubmitJob(_ context.Context, call operator.Call, submission operator.JobSubmission) (operator.JobState, error) {
	if err := control.record(call); err != nil {
		return operator.JobState{}, err
	}
	control.mu.Lock()
	defer control.mu.Unlock()
	if control.jobs == nil {
		control.jobs = make(map[ident.Request]operator.JobSubmission)
	}
	control.jobs[call.Request] = submission
	return operator.JobState{JobSubmission: submission, State: "Waiting"}, nil
}

func newServer(t testing.TB, control operator.Control) *operator.Server {
	t.Helper()
	settings := operator.Defaults()
	settings.Credentials = []operator.Credential{
		{Operator: "ada", Token: writerToken}, {Operator: "ben", Token: readerToken, ReadOnly: true},
	}
	server, err := operator.New(settings, control, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// send makes one call and returns the response and the decoded error, if any. An error response without a
// typed error fails the test.
func send(t testing.TB, server http.Handler, method, path, token, key, body string) (*httptest.ResponseRecorder, operator.FailureError) {
	t.Helper()
	request := httptest.NewRequest(method, operator.Prefix+path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	if key != "" {
		request.Header.Set(operator.RequestKeyHeader, key)
	}
	response := httptest.NewRecorder()
	server.ServeHTTP(response, request)
	var failed operator.Failure
	if response.Code != http.StatusOK {
		if err := json.Unmarshal(response.Body.Bytes(), &failed); err != nil || failed.Error.Type == "" || failed.Error.Reason == "" {
			t.Fatalf("%s %s: status %d without an error body: %q", method, path, response.Code, response.Body)
		}
	}
	return response, failed.Error
}

// TestAuthentication guards against calls that are accepted without a valid token and changes that are
// accepted with a read-only one.
func TestAuthentication(t *testing.T) {
	fake := &control{}
	server := newServer(t, fake)
	for _, scenario := range []struct {
		name, method, path, token string
		status                    int
	}{
		{"no token", http.MethodGet, "/status", "", http.StatusUnauthorized},
		{"unknown token", http.MethodGet, "/status", writerToken + "x", http.StatusUnauthorized},
		{"prefix of a token", http.MethodGet, "/status", writerToken[:31], http.StatusUnauthorized},
		{"unknown path without token", http.MethodGet, "/nothing", "", http.StatusUnauthorized},
		{"reader reads", http.MethodGet, "/status", readerToken, http.StatusOK},
		{"reader changes", http.MethodPut, "/preset", readerToken, http.StatusForbidden},
		{"writer changes", http.MethodPut, "/preset", writerToken, http.StatusOK},
		{"unknown path", http.MethodGet, "/nothing", readerToken, http.StatusNotFound},
		{"unknown method", http.MethodDelete, "/preset", writerToken, http.StatusBadRequest},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			response, failed := send(t, server, scenario.method, scenario.path, scenario.token, "key-1", `{"Preset":"Peak"}`)
			if response.Code != scenario.status {
				t.Fatalf("status %d (%+v), want %d", response.Code, failed, scenario.status)
			}
		})
	}
	if len(fake.calls) != 1 || fake.calls[0] != (operator.Call{Operator: "ada", Request: "key-1"}) {
		t.Fatalf("calls %+v, want the writer's change only", fake.calls)
	}
	if _, err := operator.New(operator.Defaults(), fake, metrics.NewSet()); !operator.IsErrBadRequest(err) {
		t.Fatalf("server without credentials: %v", err)
	}
}

const goodJob = `{"Job":"nightly","Team":"amber","Kind":"Batch","Tasks":2,"Resources":{"CPU":500,"Memory":256}}`

// TestRefusesBadBodies guards against malformed, ambiguous or oversized requests that reach Control.
func TestRefusesBadBodies(t *testing.T) {
	fake := &control{}
	server := newServer(t, fake)
	for _, scenario := range []struct {
		name, method, path, key, body string
		status                        int
	}{
		{"empty", "POST", "/jobs", "k", "", 400},
		{"not JSON", "POST", "/jobs", "k", "{", 400},
		{"unknown field", "POST", "/jobs", "k", `{"Jobs":"x"}`, 400},
		{"two values", "POST", "/jobs", "k", goodJob + goodJob, 400},
		{"oversized", "POST", "/jobs", "k", `{"Job":"` + strings.Repeat("x", 1<<20) + `"}`, 413},
		{"oversized by trailing spaces", "POST", "/jobs", "k", goodJob + strings.Repeat(" ", 1<<20), 413},
		{"no request key", "POST", "/jobs", "", goodJob, 400},
		{"bad request key", "POST", "/jobs", "a b", goodJob, 400},
		{"no tasks", "POST", "/jobs", "k", strings.Replace(goodJob, `"Tasks":2`, `"Tasks":0`, 1), 400},
		{"too many tasks", "POST", "/jobs", "k", strings.Replace(goodJob, `"Tasks":2`, `"Tasks":1000000`, 1), 400},
		{"negative size", "POST", "/jobs", "k", strings.Replace(goodJob, `500`, `-500`, 1), 400},
		{"huge size", "POST", "/jobs", "k", strings.Replace(goodJob, `500`, `9000000000000000000`, 1), 400},
		{"bad kind", "POST", "/jobs", "k", strings.Replace(goodJob, `Batch`, `Cron`, 1), 400},
		{"bad name", "POST", "/jobs", "k", strings.Replace(goodJob, `nightly`, `../x`, 1), 400},
		{"names differ", "PUT", "/teams/amber", "k", `{"Team":"birch","Quota":{"CPU":1}}`, 400},
		{"bad state", "PUT", "/datacentres/gent", "k", `{"State":"Away"}`, 400},
		{"drain on return", "PUT", "/datacentres/gent", "k", `{"State":"In","DrainMillis":5}`, 400},
		{"no patience", "PUT", "/services/checks", "k", `{"Team":"amber"}`, 400},
		{"no incarnation", "POST", "/workers/w1/lost", "k", `{}`, 400},
		{"bad page", "GET", "/jobs?Limit=0", "", "", 400},
		{"endless wait", "GET", "/config/wait?Version=1&PatienceMillis=99999999", "", "", 400},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			response, failed := send(t, server, scenario.method, scenario.path, writerToken, scenario.key, scenario.body)
			if response.Code != scenario.status {
				t.Fatalf("status %d (%+v), want %d", response.Code, failed, scenario.status)
			}
		})
	}
	if len(fake.calls) != 0 {
		t.Fatalf("calls %+v reached Control", fake.calls)
	}
}

// newClient returns a Client for the addresses.
func newClient(t testing.TB, token string, addresses ...string) *operator.Client {
	t.Helper()
	client, err := operator.NewClient(operator.ClientSettings{Entries: addresses, Token: token, TimeoutMillis: 5 * clock.Second})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// TestClientRestoresErrorTypes guards against errors that reach the client without their type or fields.
func TestClientRestoresErrorTypes(t *testing.T) {
	fake := &control{}
	server := httptest.NewServer(newServer(t, fake))
	defer server.Close()
	client := newClient(t, writerToken, server.URL)
	conflict := operator.ErrConflict{Document: "Preset", Winner: "ben", Version: 9}
	for _, scenario := range []struct{ cause, want error }{
		{conflict, conflict},
		{operator.ErrElsewhere{Document: "Preset", Region: "gent"}, operator.ErrElsewhere{Document: "Preset", Region: "gent"}},
		{operator.ErrNotFound{Kind: "preset", Name: "Peak"}, operator.ErrNotFound{Kind: "preset", Name: "Peak"}},
		{operator.ErrRetryLater{Reason: "starting", RetryAfter: 1500}, operator.ErrRetryLater{Reason: "starting", RetryAfter: 1500}},
		{operator.ErrBadRequest{Field: "Preset", Reason: "no such"}, operator.ErrBadRequest{Field: "Preset", Reason: "no such"}},
		{operator.ErrTooLarge{Limit: 4096}, operator.ErrTooLarge{Limit: 4096}},
		{operator.ErrDenied{Reason: "read only", Known: true}, operator.ErrDenied{Reason: "read only", Known: true}},
		{table.ErrConflict{Key: "Preset", Winner: "ben", Have: 9}, conflict},
		{table.ErrUnavailable{Reason: "down", RetryAfter: 200}, operator.ErrRetryLater{Reason: "table service unavailable: down", RetryAfter: 200}},
	} {
		fake.err = scenario.cause
		if _, err := client.SetPreset(t.Context(), operator.PresetChange{Preset: "Peak"}); !errors.Is(err, scenario.want) {
			t.Errorf("%#v arrives as %#v, want %#v", scenario.cause, err, scenario.want)
		}
	}
	for _, cause := range []error{table.ErrUnknownOutcome{Write: "w"}, context.DeadlineExceeded, errors.New("fault")} {
		fake.err = cause
		if _, err := client.SetPreset(t.Context(), operator.PresetChange{Preset: "Peak"}); !operator.IsErrUnknownOutcome(err) {
			t.Errorf("%v arrives as %v, want ErrUnknownOutcome", cause, err)
		}
	}
	if _, err := newClient(t, "wrong", server.URL).Status(t.Context()); !operator.IsErrDenied(err) {
		t.Errorf("wrong token: %v", err)
	}
}

// TestClientTriesNextEntry guards against a client that gives up while another entry could answer, repeats
// a change under another request id, or reports a change as not accepted that may have been accepted.
func TestClientTriesNextEntry(t *testing.T) {
	fake := &control{}
	healthy := httptest.NewServer(newServer(t, fake))
	defer healthy.Close()
	// This server closes the connection after it has read the call.
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	starting := httptest.NewServer(newServer(t, &control{err: operator.ErrRetryLater{Reason: "starting", RetryAfter: 1}}))
	defer starting.Close()
	submission := operator.JobSubmission{
		Job: "nightly", Team: "amber", Kind: worker.Batch, Tasks: 1, Resources: unit.Resources{CPU: 1, Memory: 1},
	}
	untrusted := httptest.NewTLSServer(newServer(t, fake))
	defer untrusted.Close()
	for name, first := range map[string]string{"closed": closed, "untrusted": untrusted.URL, "cutting": aborting.URL, "starting": starting.URL} {
		if _, err := newClient(t, writerToken, first, healthy.URL).SubmitJob(t.Context(), submission); err != nil {
			t.Errorf("%s entry first: %v", name, err)
		}
	}
	if _, err := newClient(t, writerToken, closed, untrusted.URL, starting.URL).SubmitJob(t.Context(), submission); !operator.IsErrRetryLater(err) {
		t.Errorf("no entry accepts: %v, want ErrRetryLater", err)
	}
	var unknown operator.ErrUnknownOutcome
	_, err = newClient(t, writerToken, aborting.URL, starting.URL).SubmitJob(t.Context(), submission)
	if !errors.As(err, &unknown) || unknown.Request == "" {
		t.Errorf("first entry may have accepted: %v, want ErrUnknownOutcome with the request key", err)
	}
	undecided := &control{err: table.ErrUnknownOutcome{}}
	left, right := httptest.NewServer(newServer(t, undecided)), httptest.NewServer(newServer(t, undecided))
	defer left.Close()
	defer right.Close()
	_, _ = newClient(t, writerToken, left.URL, right.URL).SubmitJob(t.Context(), submission)
	if len(undecided.calls) != 2 || undecided.calls[0].Request != undecided.calls[1].Request {
		t.Errorf("calls %+v, want the same request at both entries", undecided.calls)
	}
}

// TestTLSMismatch guards against ErrRetryLater for an entry that the client can never reach with its TLS
// settings, and against a client that gives up while another entry would answer.
func TestTLSMismatch(t *testing.T) {
	plain, secure := httptest.NewServer(newServer(t, &control{})), httptest.NewTLSServer(newServer(t, &control{}))
	defer plain.Close()
	defer secure.Close()
	mismatched := []string{
		strings.Replace(secure.URL, "https://", "http://", 1),
		strings.Replace(plain.URL, "http://", "https://", 1),
	}
	for _, address := range mismatched {
		client := newClient(t, writerToken, address)
		if _, err := client.Status(t.Context()); !operator.IsErrTLS(err) {
			t.Errorf("%s: %v, want ErrTLS", address, err)
		}
		if _, err := client.SetPreset(t.Context(), operator.PresetChange{Preset: "Peak"}); !operator.IsErrTLS(err) {
			t.Errorf("%s: %v for a change, want ErrTLS", address, err)
		}
		if _, err := newClient(t, writerToken, address, plain.URL).Status(t.Context()); err != nil {
			t.Errorf("%s first: %v", address, err)
		}
	}
}

// FuzzBodies guards against bodies that crash the server, get no typed error, or reach Control although
// they are invalid.
func FuzzBodies(fuzz *testing.F) {
	for _, body := range []string{goodJob, `{"Preset":"Peak","IfVersion":3}`, `{"State":"Out","DrainMillis":60000}`, `{"Quota":{"CPU":1000,"Memory":1024}}`, `{"Incarnation":4,"Reason":"off"}`, `{"Team":"amber","PatienceMillis":500}`, `[]`, `null`, `{"Tasks":1e9}`} {
		for route := range 6 {
			fuzz.Add(route, []byte(body))
		}
	}
	routes := [][2]string{{"POST", "/jobs"}, {"PUT", "/preset"}, {"PUT", "/datacentres/gent"}, {"PUT", "/teams/amber"}, {"POST", "/workers/w1/lost"}, {"PUT", "/services/checks"}}
	fuzz.Fuzz(func(t *testing.T, route int, body []byte) {
		if route < 0 || route >= len(routes) {
			return
		}
		fake := &control{}
		response, _ := send(t, newServer(t, fake), routes[route][0], routes[route][1], writerToken, "key", string(body))
		if (response.Code == http.StatusOK) != (len(fake.calls) == 1) {
			t.Fatalf("status %d with %d calls", response.Code, len(fake.calls))
		}
		if response.Code >= 500 {
			t.Fatalf("status %d: %s", response.Code, response.Body)
		}
		for _, submission := range fake.jobs {
			if !ident.Valid(submission.Job) || submission.Tasks < 1 || submission.Resources.Negative() || submission.Resources.Times(int64(submission.Tasks)).Negative() {
				t.Fatalf("accepted %+v", submission)
			}
		}
		if response.Code == http.StatusOK && bytes.Count(response.Body.Bytes(), []byte("\n")) != 1 {
			t.Fatalf("response is not one line: %q", response.Body)
		}
	})
}
