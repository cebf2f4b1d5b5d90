package standin

import (
	"net/http"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Execution records the executions of one request ID.
type Execution struct {
	Request ident.Request
	// Key is the caller's idempotency key, if the request has one.
	Key ident.Key
	// Runs is the number of times the request was executed.
	Runs int
	// First and Last are the start times of the first and the last execution.
	First clock.Time
	Last  clock.Time
}

// EndpointRecords counts the requests, streams and connections of an endpoint.
type EndpointRecords struct {
	// Executed counts executions, including repeated ones.
	Executed int
	// DoubledRuns counts the executions of a request ID beyond the first, unless the service is
	// idempotent.
	DoubledRuns int
	// RepeatedRuns counts the executions of a request ID beyond the first if the service is
	// idempotent.
	RepeatedRuns int
	// Dropped counts request IDs whose record was removed. Further executions of them are not
	// recognised as repeated.
	Dropped int
	// WithoutID counts executions of requests without a Request-Id header.
	WithoutID int
	// SlotsPeak and ConnectionsPeak are the highest numbers in use at the same time.
	SlotsPeak       int
	ConnectionsPeak int
	// SlotViolations counts requests above the number of slots. ConnectionViolations counts
	// connections above their limit that lasted for longer than excessGrace.
	SlotViolations       int
	ConnectionViolations int
	// Streams counts opened streams.
	Streams int
	// Connections is the number of open connections.
	Connections int
	// InFlight is the number of requests being executed.
	InFlight int
}

// Headers of requests and responses.
const (
	HeaderRequestID  = "Request-Id"
	HeaderRequestKey = "Request-Key"
)

// beginExecution records the start of an execution.
func (endpoint *Endpoint) beginExecution(request *http.Request) Execution {
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
	execution := endpoint.executions[id]
	if execution == nil {
		execution = &Execution{
			Request: id, Key: ident.Key(request.Header.Get(HeaderRequestKey)), First: now,
		}
		endpoint.addExecution(execution)
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

// addExecution adds the record of a new request ID, and removes the oldest record above the limit.
// The caller holds mu.
func (endpoint *Endpoint) addExecution(execution *Execution) {
	endpoint.executions[execution.Request] = execution
	endpoint.requestIDs = append(endpoint.requestIDs, execution.Request)
	if len(endpoint.requestIDs) > endpoint.options.RequestIDs {
		delete(endpoint.executions, endpoint.requestIDs[0])
		endpoint.requestIDs = endpoint.requestIDs[1:]
		endpoint.records.Dropped++
	}
}

// endExecution frees the slot and returns the response to send, which is the previous one if
// responses are crossed.
func (endpoint *Endpoint) endExecution(response response, faults responseFaults) response {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.inFlight--
	result := response
	if faults.crossed && endpoint.previous.body != nil {
		result = endpoint.previous
	}
	endpoint.previous = response
	return result
}

// setOpenConnections records the number of open connections.
func (endpoint *Endpoint) setOpenConnections(open int) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.records.Connections = open
	endpoint.records.ConnectionsPeak = max(endpoint.records.ConnectionsPeak, open)
}

// recordExcess records a connection above the limit.
func (endpoint *Endpoint) recordExcess(open int) {
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

// Execution returns the record of a request ID. ok is false if no execution is recorded.
func (endpoint *Endpoint) Execution(id ident.Request) (execution Execution, ok bool) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if record := endpoint.executions[id]; record != nil {
		return *record, true
	}
	return Execution{}, false
}

// Executions returns the records of all request IDs in no particular order.
func (endpoint *Endpoint) Executions() []Execution {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	executions := make([]Execution, 0, len(endpoint.executions))
	for _, execution := range endpoint.executions {
		executions = append(executions, *execution)
	}
	return executions
}
