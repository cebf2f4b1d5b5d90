package entry

import (
	"cmp"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/routing"
	"hyssopjunction/set"
)

// serviceTable is an immutable table of the services, which request goroutines read without locks.
type serviceTable struct {
	services map[ident.Service]serviceView
}

type serviceView struct {
	service    dispatch.Service
	candidates *routing.View
}

// Service returns the settings and candidate endpoints of a service, or false if there is none.
func (entry *Entry) Service(name ident.Service) (dispatch.Service, *routing.View, bool) {
	if !entry.servicesPublished.Load() {
		return dispatch.Service{}, nil, false
	}
	view, ok := entry.services.Load().services[name]
	return view.service, view.candidates, ok
}

// publishServices publishes the candidate endpoints of each configured service.
func (entry *Entry) publishServices(snapshot *membership.Snapshot, view *config.View, now clock.Time) {
	services := &serviceTable{services: map[ident.Service]serviceView{}}
	endpoints := set.New[ident.Endpoint]()
	for _, name := range view.Services() {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		candidates := make([]routing.Candidate, 0, len(snapshot.Endpoints[name]))
		for _, endpoint := range snapshot.Endpoints[name] {
			endpoints.Add(endpoint.ID)
			candidates = append(candidates, entry.candidate(endpoint, view, now))
		}
		services.services[name] = serviceView{
			service:    dispatch.Service{Idempotent: service.Idempotent, Patience: cmp.Or(service.PatienceMillis, entry.settings.DefaultPatience)},
			candidates: entry.router.NewView(now, name, candidates),
		}
	}
	for endpoint := range entry.presences {
		if !endpoints.Has(endpoint) {
			delete(entry.presences, endpoint)
			entry.router.Remove(endpoint)
		}
	}
	entry.services.Store(services)
	addresses := set.New[string]()
	for _, worker := range snapshot.Workers {
		addresses.Add(worker.AgentAddress)
	}
	entry.agents.KeepOnly(addresses)
}

// candidate converts an endpoint for routing.
func (entry *Entry) candidate(endpoint membership.Endpoint, view *config.View, now clock.Time) routing.Candidate {
	centre, configured := view.DataCentre(endpoint.Place.DataCentre)
	return routing.Candidate{
		Endpoint: endpoint.ID, Worker: endpoint.Worker, Address: endpoint.AgentAddress,
		Incarnation: endpoint.Incarnation, DataCentre: endpoint.Place.DataCentre,
		Leaving: endpoint.Leaving, Unhealthy: !endpoint.Healthy, Closed: configured && !centre.Open,
		Since: entry.presentSince(endpoint, now),
		Report: routing.Report{
			At: endpoint.SeenAt, Slots: endpoint.Slots, Connections: endpoint.Connections,
			SlotsUsed: endpoint.SlotsUsed, ConnectionsUsed: endpoint.ConnectionsUsed, Queue: endpoint.Queue,
			ServiceTime: endpoint.Latency, SlowdownPercent: endpoint.Slowdown,
		},
	}
}
