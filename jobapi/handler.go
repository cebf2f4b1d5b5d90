// Package jobapi is the product's own HTTP interface to the jobs of a deployment, for operators and for
// callers that do not speak the platform's protocol. It offers what the command line does.
package jobapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/directive"
	"hyssopjunction/intake"
	"hyssopjunction/workflow"
)

const (
	// callTime bounds a call. Callers of the platform have as long.
	callTime = 3 * clock.Second
	// bodyBytes bounds a submitted job: 64 steps and a payload of 4,000 bytes take a tenth of it.
	bodyBytes = 262_144
)

// Jobs is what the handler passes calls to.
type Jobs interface {
	Submit(ctx context.Context, spec workflow.Spec) error
	Job(ctx context.Context, id workflow.ID) (*workflow.Job, error)
	Cancel(ctx context.Context, id workflow.ID) error
	Pending(ctx context.Context, queue workflow.Queue) (int, error)
}

// Submission is the body of a submitted job. Unknown fields are refused.
type Submission struct {
	Payload string
	Steps   []workflow.Step
	// Repetitions, StartAt (Unix milliseconds) and Interval (milliseconds) make a scheduled job.
	Repetitions int
	StartAt     int64
	Interval    clock.Millis
}

// Spec returns the job of the submission for a queue.
func (submission Submission) Spec(id workflow.ID, queue directive.Queue) workflow.Spec {
	return workflow.Spec{
		ID: id, Queue: queue.Name, Service: queue.Service, Policy: queue.Policy, Payload: submission.Payload, Steps: submission.Steps,
		Repetitions: submission.Repetitions, StartAt: submission.StartAt, Interval: submission.Interval,
	}
}

// Task is a task in an answer.
type Task struct {
	Name     string
	Phase    string
	Run      workflow.Run
	Failures int    `json:",omitempty"`
	Worker   string `json:",omitempty"`
}

// Job is the answer about a job.
type Job struct {
	ID              workflow.ID
	Queue           workflow.Queue
	State           workflow.State
	ObjectiveMillis clock.Millis
	Steps           []workflow.Step
	Tasks           []Task `json:",omitempty"`
}

// Fault is the answer to a call that failed. Field names the field of the body that is wrong, if one is.
type Fault struct {
	Reason string
	Field  string `json:",omitempty"`
}

// New returns the handler. Config returns the configuration in force, or nil.
func New(config func() *directive.Config, jobs Jobs) http.Handler {
	router := mux.NewRouter()
	api := handler{config: config, jobs: jobs}
	router.HandleFunc("/v1/queues/{queue}/jobs/{id}", api.submit).Methods(http.MethodPut)
	router.HandleFunc("/v1/queues/{queue}", api.pending).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", api.show).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{id}", api.cancel).Methods(http.MethodDelete)
	return router
}

type handler struct {
	config func() *directive.Config
	jobs   Jobs
}

func (api handler) submit(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["id"]
	if !workflow.ValidID(id) {
		fail(writer, workflow.ErrInvalid{Field: "ID", Reason: "is not 16 hexadecimal digits"})
		return
	}
	queue, ok := api.queue(writer, request)
	if !ok {
		return
	}
	if queue.Advised {
		answer(writer, http.StatusNotFound, Fault{Reason: "queues that need advice take no jobs"})
		return
	}
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, bodyBytes))
	decoder.DisallowUnknownFields()
	var submission Submission
	if err := decoder.Decode(&submission); err != nil {
		answer(writer, http.StatusBadRequest, Fault{Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), callTime.Duration())
	defer cancel()
	if err := api.jobs.Submit(ctx, submission.Spec(workflow.ID(id), queue)); err != nil {
		fail(writer, err)
		return
	}
	answer(writer, http.StatusOK, struct{ ID string }{id})
}

// queue returns the queue that the path names, or answers that there is none.
func (api handler) queue(writer http.ResponseWriter, request *http.Request) (directive.Queue, bool) {
	config := api.config()
	if config == nil {
		comeBack(writer, clock.Second)
		answer(writer, http.StatusServiceUnavailable, Fault{Reason: "the configuration is not known yet"})
		return directive.Queue{}, false
	}
	queue, ok := config.Queue(workflow.Queue(mux.Vars(request)["queue"]))
	if !ok {
		answer(writer, http.StatusNotFound, Fault{Reason: "no such queue"})
	}
	return queue, ok
}

func (api handler) pending(writer http.ResponseWriter, request *http.Request) {
	queue, ok := api.queue(writer, request)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), callTime.Duration())
	defer cancel()
	count, err := api.jobs.Pending(ctx, queue.Name)
	if err != nil {
		fail(writer, err)
		return
	}
	answer(writer, http.StatusOK, struct{ Pending int }{count})
}

func (api handler) show(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), callTime.Duration())
	defer cancel()
	job, err := api.jobs.Job(ctx, workflow.ID(mux.Vars(request)["id"]))
	if err != nil {
		fail(writer, err)
		return
	}
	shown := Job{ID: job.Spec.ID, Queue: job.Spec.Queue, State: job.State, ObjectiveMillis: job.Spec.Objective(), Steps: job.Spec.Steps}
	job.Each(func(name workflow.Name, task *workflow.Task) {
		shown.Tasks = append(shown.Tasks, Task{
			Name: name.String(), Phase: task.Phase.String(), Run: task.Run, Failures: task.Failures, Worker: task.Worker,
		})
	})
	answer(writer, http.StatusOK, shown)
}

func (api handler) cancel(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), callTime.Duration())
	defer cancel()
	if err := api.jobs.Cancel(ctx, workflow.ID(mux.Vars(request)["id"])); err != nil {
		fail(writer, err)
		return
	}
	answer(writer, http.StatusOK, struct{}{})
}

// fail answers with the status for a failure of intake.
func fail(writer http.ResponseWriter, err error) {
	var invalid workflow.ErrInvalid
	var refused intake.ErrNotAccepted
	var silent intake.ErrNoAnswer
	switch {
	case errors.As(err, &invalid):
		answer(writer, http.StatusBadRequest, Fault{Reason: invalid.Reason, Field: invalid.Field})
	case intake.IsErrNoJob(err):
		answer(writer, http.StatusNotFound, Fault{Reason: err.Error()})
	case errors.As(err, &refused):
		comeBack(writer, refused.RetryAfter)
		answer(writer, http.StatusServiceUnavailable, Fault{Reason: err.Error()})
	case errors.As(err, &silent):
		comeBack(writer, silent.RetryAfter)
		answer(writer, http.StatusServiceUnavailable, Fault{Reason: err.Error()})
	case intake.IsErrUndecided(err):
		answer(writer, http.StatusGatewayTimeout, Fault{Reason: err.Error()})
	default:
		klog.ErrorS(err, "Request failed")
		answer(writer, http.StatusInternalServerError, Fault{Reason: err.Error()})
	}
}

// comeBack tells the caller when to repeat the call.
func comeBack(writer http.ResponseWriter, after clock.Millis) {
	writer.Header().Set("Retry-After", strconv.FormatInt(int64((after+clock.Second-1)/clock.Second), 10))
}

func answer(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		klog.ErrorS(err, "Answer cannot be encoded")
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if _, err := writer.Write(data); err != nil {
		klog.V(1).InfoS("Answer not delivered", "Reason", err.Error())
	}
}
