package standin

import (
	"net/http"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Execution is the record of the executions of one request id.
type Execution struct {
	Request ident.Request
	// Key is the caller's idempotency key, if the request has one.
	Key ident.Key
	// Runs is the number of times the request was executed.
	Runs int
	// First and Last are the starts of the first and of the last execution.
	First clock.Time
	Last  clock.Time
}

// EndpointRecords count what an endpoint did.
type EndpointRecords struct {
	// Executed counts executions, including repeated ones.
	Executed int
	// DoubledRuns counts executions beyond the first of a request id, unless the service is
	// idempotent.
	DoubledRuns int
	// RepeatedRuns counts executions beyond the first of a request id of an idempotent service.
	RepeatedRuns int
	// Dropped counts request ids whose record was dropped; their repetition goes unnoticed.
	Dropped int
	// WithoutID counts executions of requests without a Request-Id.
	WithoutID int
	// SlotsPeak and ConnectionsPeak are the most used at the same time.
	SlotsPeak       int
	ConnectionsPeak int
	// SlotViolations counts requests above the limit, and ConnectionViolations connections above it
	// that lasted for more than an instant.
	SlotViolations       int
	ConnectionViolations int
	// Streams counts opened streams.
	Streams int
	// Connections is the number of open connections.
	Connections int
	// InFlight is the number of requests in execution.
	InFlight int
}

// Headers of requests to an endpoint and of its responses.
const (
	HeaderRequestID  = "Request-Id"
	HeaderRequestKey = "Request-Key"
)

// begin records the start of an execution.
func (endpoint *Endpoint) begin(request *http.Request) Execution {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	records := &endpoint.records
	records.Executed++
	endpoint.inFlight++
	records.SlotsPeak = max(records.SlotsPeak, endpoint.inFlight)
	if endpoint.inFlight > endpoint.options.Slots {
		records.SlotViolations++
	}
	now := endpoint.options.Clock.Now()
	id := ident.Request(request.Header.Get(HeaderRequestID))
	if id == "" {
		records.WithoutID++
		return Execution{Runs: 1, First: now, Last: now}
	}
	execution := endpoint.byID[id]
	if execution == nil {
		execution = &Execution{
			Request: id, Key: ident.Key(request.Header.Get(HeaderRequestKey)), First: now,
		}
		endpoint.remember(execution)
	}
	execution.Runs++
	execution.Last = now
	switch {
	case execution.Runs == 1:
	case endpoint.options.Idempotent:
		records.RepeatedRuns++
	default:
		records.DoubledRuns++
	}
	return *execution
}

// remember adds the record of a new request id and drops the oldest one above the limit. The caller
// holds mu.
func (endpoint *Endpoint) remember(execution *Execution) {
	endpoint.byID[execution.Request] = execution
	endpoint.order = append(endpoint.order, execution.Request)
	if len(endpoint.order) > endpoint.options.RequestIDs {
		delete(endpoint.byID, endpoint.order[0])
		endpoint.order = endpoint.order[1:]
		endpoint.records.Dropped++
	}
}

// finish frees the slot and returns the response to send.
func (endpoint *Endpoint) finish(own response, drawn fate) response {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.inFlight--
	answer := own
	if drawn.crossed && endpoint.previous.body != nil {
		answer = endpoint.previous
	}
	endpoint.previous = own
	return answer
}

// opened records a change of the number of open connections.
func (endpoint *Endpoint) opened(open int) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.records.Connections = open
	endpoint.records.ConnectionsPeak = max(endpoint.records.ConnectionsPeak, open)
}

// exceeded records an excess of connections.
func (endpoint *Endpoint) exceeded(open int) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.records.ConnectionViolations++
	klog.InfoS("Endpoint stand-in has too many connections", "Endpoint", endpoint.options.Name, "Connections", open)
}

// Records returns the counts so far.
func (endpoint *Endpoint) Records() EndpointRecords {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	records := endpoint.records
	records.InFlight = endpoint.inFlight
	return records
}

// Execution returns the record of a request id; ok is false if it was never executed.
func (endpoint *Endpoint) Execution(id ident.Request) (execution Execution, ok bool) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if found := endpoint.byID[id]; found != nil {
		return *found, true
	}
	return Execution{}, false
}

// Executions returns the records of all request ids in no particular order.
func (endpoint *Endpoint) Executions() []Execution {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	executions := make([]Execution, 0, len(endpoint.byID))
	for _, execution := range endpoint.byID {
		executions = append(executions, *execution)
	}
	return executions
}
