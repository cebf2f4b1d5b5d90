// Package routing chooses the endpoint of a request. A Router draws two random endpoints and takes the
// one with the lower predicted time to the answer (power of two choices). It draws from a View, an
// immutable list of endpoints: request goroutines read it while the control goroutine builds the next.
package routing

import (
	"sync/atomic"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Candidate is an endpoint as last announced by its agent.
type Candidate struct {
	Endpoint    ident.Endpoint
	Worker      ident.Worker
	Address     string
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	// Leaving and unhealthy endpoints are never chosen.
	Leaving   bool
	Unhealthy bool
	Report    Report
	// Since is when the endpoint first announced itself or recovered; its ramp-up starts then.
	Since clock.Time
	// Closed is set while operators have taken the endpoint's data centre out of service.
	Closed bool
}

// Report is the load of an endpoint, from a heartbeat or from a reply.
type Report struct {
	// At is when the report was made, on the receiver's clock.
	At              clock.Time
	Slots           int
	Connections     int
	SlotsUsed       int
	ConnectionsUsed int
	Queue           int
	// ServiceTime is the mean service time.
	ServiceTime clock.Millis
	// SlowdownPercent is the service time in percent of that without interference from colocated tasks;
	// 100 means that there is no interference.
	SlowdownPercent int
}

// endpointState holds the load and the failures of an endpoint as seen by this entry. All views that
// contain the endpoint share it. Times are of type clock.Time.
type endpointState struct {
	// outstanding is the number of this entry's requests that the endpoint has not answered.
	outstanding atomic.Int64
	// latencyMicros is the mean time of an attempt in microseconds, 0 before the first.
	latencyMicros atomic.Int64
	// The next four fields come from the newest report. otherRequests is the number of requests that
	// run or wait there, without those of this entry.
	otherRequests   atomic.Int64
	reportedAt      atomic.Int64
	serviceMillis   atomic.Int64
	slowdownPercent atomic.Int64
	// failures counts consecutive failures.
	failures atomic.Int64
	// ejections determines the length of the next ejection. Each ejection adds 1, and each answer after
	// its end subtracts 1.
	ejections    atomic.Int64
	ejectedUntil atomic.Int64
	rampUpStart  atomic.Int64
	// leavingSince is when the agent reported that the endpoint is leaving, 0 if it is not.
	leavingSince atomic.Int64
}

// member is a candidate of a view with its state.
type member struct {
	Candidate
	state *endpointState
}

// View is an immutable list of the candidates of one service.
type View struct {
	service ident.Service
	members []member
	// local and remote are the indices of the usable members inside and outside the entry's data centre.
	local, remote []int
	// medianMillis is the members' median service time when the view was built.
	medianMillis float64
	router       *Router
}

// Len returns the number of candidates, usable or not.
func (view *View) Len() int {
	return len(view.members)
}

// Usable returns the number of candidates that are neither leaving, unhealthy nor closed.
func (view *View) Usable() int {
	return len(view.local) + len(view.remote)
}

// Service returns the service that the candidates belong to.
func (view *View) Service() ident.Service {
	return view.service
}

// Find returns the candidate with the given endpoint id, and false if there is none.
func (view *View) Find(endpoint ident.Endpoint) (Candidate, bool) {
	for index := range view.members {
		if view.members[index].Endpoint == endpoint {
			return view.members[index].Candidate, true
		}
	}
	return Candidate{}, false
}
