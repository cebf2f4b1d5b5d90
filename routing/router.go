package routing

import (
	"sync"
	"sync/atomic"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Settings of a Router.
type Settings struct {
	// DataCentre is where the entry runs.
	DataCentre ident.DataCentre
	// Seed makes the draws reproducible.
	Seed uint64
	// RemotePenalty is added to the predicted finish time in another data centre.
	RemotePenalty clock.Millis
	// RampUp is the time in which a cold or recovering endpoint reaches its full share.
	RampUp clock.Millis
	// ReportHalfLife is the time in which a report of other entries' load loses half its weight.
	ReportHalfLife clock.Millis
	// EjectAfter is the number of consecutive failures after which an endpoint is ejected.
	EjectAfter int
	// EjectFor is the time of the first ejection; it doubles with each further one, up to EjectMax.
	EjectFor clock.Millis
	// EjectMax is the longest ejection.
	EjectMax clock.Millis
}

// Defaults returns the settings of the current deployments.
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
	draws    atomic.Uint64
	mu       sync.Mutex
	tracks   map[ident.Endpoint]*track
	// newest holds the newest view of each service, which the limit on ejections refers to.
	newest map[ident.Service]*View
}

// New returns a router without endpoints.
func New(settings Settings) *Router {
	return &Router{settings: settings, tracks: map[ident.Endpoint]*track{}, newest: map[ident.Service]*View{}}
}

// NewView prepares a view of candidates. Endpoints seen for the first time, and those with a new
// incarnation, ramp up from their Since. If the view has shrunk so that more than a third of it
// would be ejected, the ejections that end first are lifted.
func (router *Router) NewView(now clock.Time, service ident.Service, candidates []Candidate) *View {
	router.mu.Lock()
	defer router.mu.Unlock()
	view := &View{service: service, router: router, members: make([]member, 0, len(candidates))}
	for _, candidate := range candidates {
		seen, ok := router.tracks[candidate.Endpoint]
		if !ok {
			seen = &track{}
			router.tracks[candidate.Endpoint] = seen
		}
		if seen.rampFrom.Load() < int64(candidate.Since) {
			seen.rampFrom.Store(int64(candidate.Since))
		}
		// An announcement made before the agent said so does not bring the endpoint back.
		if left := seen.leftAt.Load(); left > 0 && int64(candidate.Report.At) > left {
			seen.leftAt.CompareAndSwap(left, 0)
		}
		seen.report(candidate.Report)
		index := len(view.members)
		view.members = append(view.members, member{Candidate: candidate, track: seen})
		switch {
		case candidate.Leaving || candidate.Unhealthy || candidate.Closed:
		case candidate.DataCentre == router.settings.DataCentre:
			view.local = append(view.local, index)
		default:
			view.remote = append(view.remote, index)
		}
	}
	for ejected := view.Ejected(now); 3*ejected > len(view.members); ejected-- {
		view.lift(now)
	}
	view.median = view.medianService()
	router.newest[service] = view
	return view
}

// Forget drops what was measured of an endpoint that no longer exists.
func (router *Router) Forget(endpoint ident.Endpoint) {
	router.mu.Lock()
	defer router.mu.Unlock()
	delete(router.tracks, endpoint)
}

// report takes over a report unless a newer one is known.
func (seen *track) report(report Report) {
	at := int64(report.At)
	known := seen.othersAt.Load()
	if at < known || (at == known && at != 0) || !seen.othersAt.CompareAndSwap(known, at) {
		return
	}
	others := int64(report.SlotsUsed+report.Queue) - seen.outstanding.Load()
	seen.others.Store(max(0, others))
	seen.service.Store(int64(report.Service))
	seen.slowdown.Store(int64(report.SlowdownPercent))
}

// random returns the next number of the seeded sequence (SplitMix64 of a shared counter), without
// a lock.
func (router *Router) random() uint64 {
	state := router.settings.Seed + router.draws.Add(1)*0x9e3779b97f4a7c15
	state = (state ^ (state >> 30)) * 0xbf58476d1ce4e5b9
	state = (state ^ (state >> 27)) * 0x94d049bb133111eb
	return state ^ (state >> 31)
}
