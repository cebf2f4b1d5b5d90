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

// serviceTable is the immutable view of the services that traffic goroutines read.
type serviceTable struct {
	services map[ident.Service]serviceView
}

type serviceView struct {
	service    dispatch.Service
	candidates *routing.View
}

// Service returns the settings and candidates of a service, or false if there is none.
func (entry *Entry) Service(name ident.Service) (dispatch.Service, *routing.View, bool) {
	if !entry.publisher.Ready() {
		return dispatch.Service{}, nil, false
	}
	known, ok := entry.services.Load().services[name]
	return known.service, known.candidates, ok
}

// publishServices prepares the candidates of each configured service.
func (entry *Entry) publishServices(snapshot *membership.Snapshot, view *config.View, now clock.Time) {
	prepared := &serviceTable{services: map[ident.Service]serviceView{}}
	seen := set.New[ident.Endpoint]()
	for _, name := range view.Services() {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		candidates := make([]routing.Candidate, 0, len(snapshot.Endpoints[name]))
		for _, endpoint := range snapshot.Endpoints[name] {
			seen.Add(endpoint.ID)
			candidates = append(candidates, entry.candidate(endpoint, view, now))
		}
		prepared.services[name] = serviceView{
			service:    dispatch.Service{Idempotent: service.Idempotent, Patience: cmp.Or(service.PatienceMillis, entry.settings.DefaultPatience)},
			candidates: entry.router.NewView(now, name, candidates),
		}
	}
	for endpoint := range entry.since {
		if !seen.Has(endpoint) {
			delete(entry.since, endpoint)
			entry.router.Forget(endpoint)
		}
	}
	entry.services.Store(prepared)
	addresses := set.New[string]()
	for _, worker := range snapshot.Workers {
		addresses.Add(worker.AgentAddress)
	}
	entry.agents.Keep(addresses)
}

func (entry *Entry) candidate(endpoint membership.Endpoint, view *config.View, now clock.Time) routing.Candidate {
	centre, known := view.DataCentre(endpoint.Place.DataCentre)
	return routing.Candidate{
		Endpoint: endpoint.ID, Worker: endpoint.Worker, Address: endpoint.AgentAddress,
		Incarnation: endpoint.Incarnation, DataCentre: endpoint.Place.DataCentre,
		Leaving: endpoint.Leaving, Unhealthy: !endpoint.Healthy, Closed: known && !centre.Open,
		Since: entry.sinceOf(endpoint, now),
		Report: routing.Report{
			At: endpoint.SeenAt, Slots: endpoint.Slots, Connections: endpoint.Connections,
			SlotsUsed: endpoint.SlotsUsed, ConnectionsUsed: endpoint.ConnectionsUsed, Queue: endpoint.Queue,
			Service: endpoint.Latency, SlowdownPercent: endpoint.Slowdown,
		},
	}
}
