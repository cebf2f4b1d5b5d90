package jobapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/directive"
	"hyssopjunction/httpserver"
	"hyssopjunction/intake"
	"hyssopjunction/workflow"
)

// newBodies returns a reader of bodies with a memory of 8 MiB.
func newBodies() *httpserver.Bodies {
	return httpserver.NewBodies(httpserver.NewMemory(8<<20, clock.NewSystem()))
}

// fakeJobs keeps jobs in memory. If err is set, every call fails with it.
type fakeJobs struct {
	jobs map[workflow.ID]*workflow.Job
	err  error
	// postponed is the answer to a submission that cannot be taken now.
	postponed error
}

func (fake *fakeJobs) Postpone(context.Context, workflow.ID, string, clock.Millis) error {
	return fake.postponed
}

func (fake *fakeJobs) Submit(_ context.Context, spec workflow.Spec) error {
	if fake.err != nil {
		return fake.err
	}
	if err := spec.Check(); err != nil {
		return err
	}
	fake.jobs[spec.ID] = workflow.New(spec)
	fake.jobs[spec.ID].AddDueOccurrences(0)
	return nil
}

func (fake *fakeJobs) Job(_ context.Context, id workflow.ID) (*workflow.Job, error) {
	if job, ok := fake.jobs[id]; ok && fake.err == nil {
		return job, nil
	}
	if fake.err != nil {
		return nil, fake.err
	}
	return nil, intake.ErrNoJob{ID: id}
}

func (fake *fakeJobs) Cancel(ctx context.Context, id workflow.ID) error {
	job, err := fake.Job(ctx, id)
	if err == nil {
		job.State = workflow.Cancelled
	}
	return err
}

func (fake *fakeJobs) Pending(context.Context, workflow.Queue) (int, error) {
	return len(fake.jobs), fake.err
}

const (
	jobPath        = "/v1/queues/r-1/jobs/0123456789abcdef"
	statePath      = "/v1/jobs/0123456789abcdef"
	submissionBody = `{"Payload":"x","Steps":[{"Count":2,"Need":{"CPU":500},"Estimate":100}]}`
)

// call makes a request and checks the status and that the response contains all contents.
func call(t *testing.T, api http.Handler, method, path, body string, want int, contents ...string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	api.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	if recorder.Code != want {
		t.Errorf("%s %s: status %d, want %d; %s", method, path, recorder.Code, want, recorder.Body)
	}
	for _, content := range contents {
		if !strings.Contains(recorder.Body.String(), content) {
			t.Errorf("%s %s: response lacks %q: %s", method, path, content, recorder.Body)
		}
	}
	return recorder
}

func testConfig() *directive.Config {
	return &directive.Config{Queues: []directive.Queue{
		{Name: "r-1", Service: "desk", Policy: workflow.Policy{MaxAttempts: 2, Slack: 2}}, {Name: "advised", Advised: true},
	}}
}

func newAPI(fake *fakeJobs) http.Handler { return New(testConfig, fake, newBodies()) }

// TestJobFromSubmissionToCancellation guards against a call that fails between the submission of a job and its
// cancellation, and against a state that is shown wrongly.
func TestJobFromSubmissionToCancellation(t *testing.T) {
	api := newAPI(&fakeJobs{jobs: map[workflow.ID]*workflow.Job{}})
	call(t, api, http.MethodGet, statePath, "", http.StatusNotFound, "no job")
	call(t, api, http.MethodPut, jobPath, submissionBody, http.StatusOK, "0123456789abcdef")
	call(t, api, http.MethodGet, statePath, "", http.StatusOK, `"State":"queued"`, `"0123456789abcdef.0.0.1"`, `"ObjectiveMillis":200`)
	call(t, api, http.MethodGet, "/v1/queues/r-1", "", http.StatusOK, `"Pending":1`)
	call(t, api, http.MethodDelete, statePath, "", http.StatusOK)
	call(t, api, http.MethodGet, statePath, "", http.StatusOK, `"State":"cancelled"`)
}

// TestInvalidInput guards against invalid input that is accepted or refused without the name of the field, and
// unknown queues that are not reported.
func TestInvalidInput(t *testing.T) {
	api := newAPI(&fakeJobs{jobs: map[workflow.ID]*workflow.Job{}})
	call(t, api, http.MethodPut, "/v1/queues/r-1/jobs/short", submissionBody, http.StatusBadRequest, `"Field":"ID"`)
	call(t, api, http.MethodPut, jobPath, `{"Steps":[{"Count":0}]}`, http.StatusBadRequest, `"Field":"Steps[0].Count"`)
	call(t, api, http.MethodPut, jobPath, `{"Colour":1}`, http.StatusBadRequest, "Colour")
	call(t, api, http.MethodPut, "/v1/queues/none/jobs/0123456789abcdef", submissionBody, http.StatusNotFound)
	call(t, api, http.MethodPut, "/v1/queues/advised/jobs/0123456789abcdef", submissionBody, http.StatusNotFound)
	call(t, api, http.MethodGet, "/v1/queues/none", "", http.StatusNotFound)
}

// holdMemory reads a body whose end does not come, so that 4 KiB are left of 40, until the returned function is called.
func holdMemory(t *testing.T, bodies *httpserver.Bodies) (end func()) {
	t.Helper()
	reader, writer := io.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		release, _ := bodies.ReadJSON(httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, "/", reader), 40<<10, clock.Minute, func([]byte) error { return nil })
		release()
	}()
	if _, err := writer.Write([]byte(strings.Repeat(" ", 36<<10))); err != nil { // It returns once all of it is read.
		t.Fatal(err)
	}
	return func() {
		_ = writer.Close() // Never returns an error.
		<-ended
	}
}

// TestRefusedBodyIsNoRefusalOfTheJob guards against the status 503 for a job that an earlier call has stored or may still store,
// because there is no memory for the body.
func TestRefusedBodyIsNoRefusalOfTheJob(t *testing.T) {
	for name, test := range map[string]struct {
		postponed error
		want      int
	}{
		"stored":    {nil, http.StatusOK},
		"not known": {intake.ErrUndecided{Reason: "no memory", RetryAfter: clock.Second}, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			bodies := httpserver.NewBodies(httpserver.NewMemory(40<<10, clock.NewFake(1)))
			defer holdMemory(t, bodies)()
			api := New(testConfig, &fakeJobs{postponed: test.postponed}, bodies)
			call(t, api, http.MethodPut, jobPath, submissionBody+strings.Repeat(" ", 36<<10), test.want)
		})
	}
}

// TestErrorResponses guards against errors that are mapped to the wrong status: 503 with Retry-After promises
// that nothing was stored, so an undecided submission must not get it.
func TestErrorResponses(t *testing.T) {
	refused := newAPI(&fakeJobs{err: intake.ErrNotAccepted{Reason: "503", RetryAfter: 1500 * clock.Millisecond}})
	if got := call(t, refused, http.MethodPut, jobPath, submissionBody, http.StatusServiceUnavailable).Header().Get("Retry-After"); got != "2" {
		t.Errorf("Retry-After %q, want 2", got)
	}
	call(t, newAPI(&fakeJobs{err: intake.ErrUndecided{Reason: "reset"}}), http.MethodPut, jobPath, submissionBody, http.StatusGatewayTimeout)
	refusedByStore := newAPI(&fakeJobs{err: intake.ErrUndecided{Reason: "503", RetryAfter: clock.Second}})
	if got := call(t, refusedByStore, http.MethodPut, jobPath, submissionBody, http.StatusGatewayTimeout).Header().Get("Retry-After"); got != "1" {
		t.Errorf("got Retry-After %q for a submission that the store refused, want 1", got)
	}
	call(t, newAPI(&fakeJobs{err: intake.ErrCancelled{}}), http.MethodPut, jobPath, submissionBody, http.StatusConflict)
	call(t, newAPI(&fakeJobs{err: intake.ErrNoAnswer{Reason: "away"}}), http.MethodGet, statePath, "", http.StatusServiceUnavailable)
	unconfigured := New(func() *directive.Config { return nil }, &fakeJobs{}, newBodies())
	call(t, unconfigured, http.MethodPut, jobPath, submissionBody, http.StatusGatewayTimeout)
	call(t, unconfigured, http.MethodGet, "/v1/queues/r-1", "", http.StatusServiceUnavailable)
}
