package routing

import (
	"sync"
	"sync/atomic"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Settings configures a Router.
type Settings struct {
	// DataCentre is the data centre of the entry.
	DataCentre ident.DataCentre
	// Seed is the seed of the random draws. The same seed gives the same draws.
	Seed uint64
	// RemotePenalty is added to the cost of endpoints in other data centres.
	RemotePenalty clock.Millis
	// RampUp is the time after which a new or recovered endpoint gets its full share of requests.
	RampUp clock.Millis
	// ReportHalfLife is the age at which a report of other entries' load has half its weight.
	ReportHalfLife clock.Millis
	// EjectAfter is the number of consecutive failures after which an endpoint is ejected.
	EjectAfter int
	// EjectFor is the length of the first ejection. It doubles with each further one, up to EjectMax.
	EjectFor clock.Millis
	// EjectMax is the maximum length of an ejection.
	EjectMax clock.Millis
}

// Defaults returns the default settings, which the deployments use.
func Defaults() Settings {
	return Settings{
		Seed:           1,
		RemotePenalty:  2 * clock.Millisecond,
		RampUp:         10 * clock.Second,
		ReportHalfLife: 500 * clock.Millisecond,
		EjectAfter:     5,
		EjectFor:       5 * clock.Second,
		EjectMax:       5 * clock.Minute,
	}
}

// Router chooses endpoints. It is safe for concurrent use.
type Router struct {
	settings Settings
	// draws counts the random numbers drawn so far.
	draws atomic.Uint64
	// mu guards states and newest.
	mu     sync.Mutex
	states map[ident.Endpoint]*endpointState
	// newest is the newest view of each service. The limit on ejections refers to it.
	newest map[ident.Service]*View
}

// New returns a router without endpoints.
func New(settings Settings) *Router {
	return &Router{settings: settings, states: map[ident.Endpoint]*endpointState{}, newest: map[ident.Service]*View{}}
}

// NewView builds a view of the candidates of a service. The ramp-up of an endpoint starts, or starts
// again, when its Since advances. A view can have fewer candidates than the one before. If more than a
// third of them are ejected, the ejections with the least time left end at once.
func (router *Router) NewView(now clock.Time, service ident.Service, candidates []Candidate) *View {
	router.mu.Lock()
	defer router.mu.Unlock()
	view := &View{service: service, router: router, members: make([]member, 0, len(candidates))}
	for _, candidate := range candidates {
		state, ok := router.states[candidate.Endpoint]
		if !ok {
			state = &endpointState{}
			router.states[candidate.Endpoint] = state
		}
		if state.rampUpStart.Load() < int64(candidate.Since) {
			state.rampUpStart.Store(int64(candidate.Since))
		}
		// Only a newer announcement cancels a report that the endpoint is leaving.
		if leavingSince := state.leavingSince.Load(); leavingSince > 0 && int64(candidate.Report.At) > leavingSince {
			state.leavingSince.CompareAndSwap(leavingSince, 0)
		}
		state.applyReport(candidate.Report)
		index := len(view.members)
		view.members = append(view.members, member{Candidate: candidate, state: state})
		switch {
		case candidate.Leaving || candidate.Unhealthy || candidate.Closed:
		case candidate.DataCentre == router.settings.DataCentre:
			view.local = append(view.local, index)
		default:
			view.remote = append(view.remote, index)
		}
	}
	for ejected := view.Ejected(now); 3*ejected > len(view.members); ejected-- {
		view.endEarliestEjection(now)
	}
	view.medianMillis = view.medianService()
	router.newest[service] = view
	return view
}

// Remove removes the state of an endpoint that no longer exists.
func (router *Router) Remove(endpoint ident.Endpoint) {
	router.mu.Lock()
	defer router.mu.Unlock()
	delete(router.states, endpoint)
}

// applyReport stores a report unless the stored one is as new or newer.
func (state *endpointState) applyReport(report Report) {
	reportedAt := int64(report.At)
	lastReportedAt := state.reportedAt.Load()
	if reportedAt < lastReportedAt || (reportedAt == lastReportedAt && reportedAt != 0) || !state.reportedAt.CompareAndSwap(lastReportedAt, reportedAt) {
		return
	}
	otherRequests := int64(report.SlotsUsed+report.Queue) - state.outstanding.Load()
	state.otherRequests.Store(max(0, otherRequests))
	state.serviceMillis.Store(int64(report.ServiceTime))
	state.slowdownPercent.Store(int64(report.SlowdownPercent))
}

// random returns the next number of the seeded sequence: SplitMix64 of a shared counter, which needs
// no lock.
func (router *Router) random() uint64 {
	state := router.settings.Seed + router.draws.Add(1)*0x9e3779b97f4a7c15
	state = (state ^ (state >> 30)) * 0xbf58476d1ce4e5b9
	state = (state ^ (state >> 27)) * 0x94d049bb133111eb
	return state ^ (state >> 31)
}
