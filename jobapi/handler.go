// Package jobapi serves the product's own HTTP API for the jobs of a deployment, for operators and for callers that
// do not use the platform's protocol. It has the same functions as the command line.
package jobapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strconv"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/directive"
	"hyssopjunction/httpserver"
	"hyssopjunction/intake"
	"hyssopjunction/workflow"
)

const (
	// callTimeout limits the time of a call. It equals the default deadline of the platform's callers.
	callTimeout = 3 * clock.Second
	// maxBodyBytes limits the body of a submission. 64 steps and a payload of 4,000 bytes take a tenth of it.
	maxBodyBytes = 262_144
)

// Jobs carries out the calls.
type Jobs interface {
	Submit(ctx context.Context, spec workflow.Spec) error
	// Postpone decides the answer to a submission that cannot be taken now. It returns no error if the job is stored already.
	Postpone(ctx context.Context, id workflow.ID, reason string, retryAfter clock.Millis) error
	Job(ctx context.Context, id workflow.ID) (*workflow.Job, error)
	Cancel(ctx context.Context, id workflow.ID) error
	Pending(ctx context.Context, queue workflow.Queue) (int, error)
}

// Submission is the body of a call that submits a job. Unknown fields are refused.
type Submission struct {
	Payload string
	Steps   []workflow.Step
	// Repetitions, StartAt (Unix milliseconds) and Interval (milliseconds) define the schedule of a job that is
	// started later or repeatedly.
	Repetitions int
	StartAt     int64
	Interval    clock.Millis
}

// Spec returns the specification of the submitted job in a queue.
func (submission Submission) Spec(id workflow.ID, queue directive.Queue) workflow.Spec {
	return workflow.Spec{
		ID: id, Queue: queue.Name, Service: queue.Service, Policy: queue.Policy, Payload: submission.Payload, Steps: submission.Steps,
		Repetitions: submission.Repetitions, StartAt: submission.StartAt, Interval: submission.Interval,
	}
}

// Task describes a task in a response.
type Task struct {
	Name     string
	Phase    string
	Run      workflow.Run
	Failures int    `json:",omitempty"`
	Worker   string `json:",omitempty"`
}

// Job is the response to a call that shows a job.
type Job struct {
	ID    workflow.ID
	Queue workflow.Queue
	State workflow.State
	// ObjectiveMillis is the time within which the job should finish after its acceptance.
	ObjectiveMillis clock.Millis
	Steps           []workflow.Step
	Tasks           []Task `json:",omitempty"`
}

// ErrorBody is the response to a failed call. Field names the invalid field of the body, if there is one.
type ErrorBody struct {
	Reason string
	Field  string `json:",omitempty"`
}

// New returns the handler. config returns the configuration in force, or nil if none has been read yet. bodies reads the bodies of
// submissions.
func New(config func() *directive.Config, jobs Jobs, bodies *httpserver.Bodies) http.Handler {
	router := mux.NewRouter()
	api := handler{config: config, jobs: jobs, bodies: bodies}
	router.HandleFunc("/v1/queues/{queue}/jobs/{id}", api.submit).Methods(http.MethodPut)
	router.HandleFunc("/v1/queues/{queue}", api.pending).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", api.show).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", api.cancel).Methods(http.MethodDelete)
	return router
}

type handler struct {
	config func() *directive.Config
	jobs   Jobs
	bodies *httpserver.Bodies
}

func (api handler) submit(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["id"]
	if !workflow.ValidID(id) {
		writeError(writer, workflow.ErrInvalid{Field: "ID", Reason: "is not 16 hexadecimal digits"})
		return
	}
	queue, ok := api.queue(writer, request)
	if !ok {
		return
	}
	if queue.Advised {
		writeJSON(writer, http.StatusNotFound, ErrorBody{Reason: "queues that need advice take no jobs"})
		return
	}
	var submission Submission
	release, err := api.bodies.ReadJSON(writer, request, maxBodyBytes, callTimeout, func(data []byte) error {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		return decoder.Decode(&submission)
	})
	defer release()
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout.Duration())
	defer cancel()
	var busy httpserver.ErrBusy
	switch {
	case errors.As(err, &busy):
		err = api.jobs.Postpone(ctx, workflow.ID(id), err.Error(), busy.RetryAfter)
	case err != nil:
		writeBodyError(writer, err)
		return
	default:
		err = api.jobs.Submit(ctx, submission.Spec(workflow.ID(id), queue))
	}
	if err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, struct{ ID string }{id})
}

// queue returns the queue that the path names. If there is none, it responds with an error and returns false.
func (api handler) queue(writer http.ResponseWriter, request *http.Request) (directive.Queue, bool) {
	config := api.config()
	if config == nil {
		status := http.StatusServiceUnavailable
		if request.Method == http.MethodPut {
			status = http.StatusGatewayTimeout // An earlier call at another entry may have stored the job.
		}
		setRetryAfter(writer, clock.Second)
		writeJSON(writer, status, ErrorBody{Reason: "the configuration is not known yet"})
		return directive.Queue{}, false
	}
	queue, ok := config.Queue(workflow.Queue(mux.Vars(request)["queue"]))
	if !ok {
		writeJSON(writer, http.StatusNotFound, ErrorBody{Reason: "no such queue"})
	}
	return queue, ok
}

func (api handler) pending(writer http.ResponseWriter, request *http.Request) {
	queue, ok := api.queue(writer, request)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout.Duration())
	defer cancel()
	count, err := api.jobs.Pending(ctx, queue.Name)
	if err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, struct{ Pending int }{count})
}

func (api handler) show(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout.Duration())
	defer cancel()
	job, err := api.jobs.Job(ctx, workflow.ID(mux.Vars(request)["id"]))
	if err != nil {
		writeError(writer, err)
		return
	}
	body := Job{ID: job.Spec.ID, Queue: job.Spec.Queue, State: job.State, ObjectiveMillis: job.Spec.Objective(), Steps: job.Spec.Steps}
	job.EachTask(func(name workflow.Name, task *workflow.Task) {
		body.Tasks = append(body.Tasks, Task{
			Name: name.String(), Phase: task.Phase.String(), Run: task.Run, Failures: task.Failures, Worker: task.Workers(),
		})
	})
	writeJSON(writer, http.StatusOK, body)
}

func (api handler) cancel(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout.Duration())
	defer cancel()
	if err := api.jobs.Cancel(ctx, workflow.ID(mux.Vars(request)["id"])); err != nil {
		writeError(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}

// maxReasonBytes limits the reason of a refused body. Errors of decoding quote the body.
const maxReasonBytes = 200

// writeBodyError responds with the status and the ErrorBody that belong to an error of httpserver.Bodies other than
// httpserver.ErrBusy.
func writeBodyError(writer http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch {
	case httpserver.IsErrTooLarge(err):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	}
	reason := err.Error()
	writeJSON(writer, status, ErrorBody{Reason: reason[:min(len(reason), maxReasonBytes)]})
}

// writeError responds with the status and the ErrorBody that belong to an error of Jobs.
func writeError(writer http.ResponseWriter, err error) {
	var invalid workflow.ErrInvalid
	var notAccepted intake.ErrNotAccepted
	var undecided intake.ErrUndecided
	var noAnswer intake.ErrNoAnswer
	switch {
	case errors.As(err, &invalid):
		writeJSON(writer, http.StatusBadRequest, ErrorBody{Reason: invalid.Reason, Field: invalid.Field})
	case intake.IsErrNoJob(err):
		writeJSON(writer, http.StatusNotFound, ErrorBody{Reason: err.Error()})
	case errors.As(err, &notAccepted):
		setRetryAfter(writer, notAccepted.RetryAfter)
		writeJSON(writer, http.StatusServiceUnavailable, ErrorBody{Reason: err.Error()})
	case intake.IsErrCancelled(err):
		writeJSON(writer, http.StatusConflict, ErrorBody{Reason: err.Error()})
	case errors.As(err, &noAnswer):
		setRetryAfter(writer, noAnswer.RetryAfter)
		writeJSON(writer, http.StatusServiceUnavailable, ErrorBody{Reason: err.Error()})
	case errors.As(err, &undecided):
		if undecided.RetryAfter > 0 {
			setRetryAfter(writer, undecided.RetryAfter)
		}
		writeJSON(writer, http.StatusGatewayTimeout, ErrorBody{Reason: err.Error()})
	default:
		klog.ErrorS(err, "Request failed")
		writeJSON(writer, http.StatusInternalServerError, ErrorBody{Reason: err.Error()})
	}
}

// setRetryAfter sets the Retry-After header, rounded up to whole seconds.
func setRetryAfter(writer http.ResponseWriter, retryAfter clock.Millis) {
	writer.Header().Set("Retry-After", strconv.FormatInt(int64((retryAfter+clock.Second-1)/clock.Second), 10))
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		klog.ErrorS(err, "Response could not be encoded")
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if _, err := writer.Write(data); err != nil {
		klog.V(1).InfoS("Response could not be sent", "Reason", err.Error())
	}
}
