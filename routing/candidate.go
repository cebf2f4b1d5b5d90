// Package routing chooses the endpoint of a request. A Router compares two randomly drawn endpoints
// by predicted finish time; the endpoints it draws from are an immutable View, which traffic
// goroutines read while the control goroutine prepares the next one.
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
	// Leaving endpoints and unhealthy ones are never chosen.
	Leaving   bool
	Unhealthy bool
	Report    Report
	// Since is when the endpoint announced itself, or recovered; it ramps up from then on.
	Since clock.Time
	// Closed marks a candidate in a data centre that operators have taken out.
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
	// Service is the mean service time.
	Service clock.Millis
	// SlowdownPercent is 100 if colocated tasks do not disturb the endpoint.
	SlowdownPercent int
}

// track is what this entry itself measured of an endpoint. It outlives views.
type track struct {
	outstanding atomic.Int64
	// latency is the mean time of an attempt in microseconds, 0 before the first.
	latency atomic.Int64
	// slots, others, othersAt, service and slowdown are the newest report; others excludes this entry's own requests.
	others   atomic.Int64
	othersAt atomic.Int64
	service  atomic.Int64
	slowdown atomic.Int64
	// failures counts consecutive failures; samples and faults are decayed counts.
	failures     atomic.Int64
	ejections    atomic.Int64
	ejectedUntil atomic.Int64
	rampFrom     atomic.Int64
	// leftAt is when the agent said that the endpoint leaves, 0 if it does not.
	leftAt atomic.Int64
}

// member is a candidate of a view with its track.
type member struct {
	Candidate
	track *track
}

// View is an immutable set of candidates of one service.
type View struct {
	service ident.Service
	members []member
	// local and remote are indices of usable members in and outside the entry's data centre.
	local, remote []int
	// median is the median service time in milliseconds when the view was made.
	median float64
	router *Router
}

// Len returns the number of candidates, including those not usable.
func (view *View) Len() int {
	return len(view.members)
}

// Usable returns the number of candidates that are neither leaving, unhealthy nor closed.
func (view *View) Usable() int {
	return len(view.local) + len(view.remote)
}

// Service returns the service the view belongs to.
func (view *View) Service() ident.Service {
	return view.service
}

// Find returns the candidate of an endpoint.
func (view *View) Find(endpoint ident.Endpoint) (Candidate, bool) {
	for index := range view.members {
		if view.members[index].Endpoint == endpoint {
			return view.members[index].Candidate, true
		}
	}
	return Candidate{}, false
}
