package membership

import (
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"

	"google.golang.org/protobuf/proto"
)

// Workers is one entry's view of all workers and endpoints. Workers whose agents announce
// themselves here are its own; others are known through their home's exchanges.
type Workers struct {
	settings Settings
	self     ident.Entry
	records  map[ident.Worker]*record
	peers    map[ident.Entry]*peer
	// change numbers the changes that exchanges must carry.
	change ident.Sequence
	// gone holds the change at which an own worker disappeared, until all peers know.
	gone map[ident.Worker]ident.Sequence
	// urgent is the newest change that marks an endpoint as leaving.
	urgent ident.Sequence
	dirty  bool
}

// record is what is known of one worker.
type record struct {
	state *controlpb.WorkerState
	// home is the entry that the state came from; the own id if the agent announced itself here.
	home ident.Entry
	// at is when the worker was in that state and endpointAt when its endpoint was, both on this
	// process's clock.
	at         clock.Time
	endpointAt clock.Time
	// heard is when the agent or its home last vouched for the worker.
	heard clock.Time
	// leaving is the endpoint that leaves in the state's incarnation, empty if none.
	leaving string
	// told is the summary in the newest change, and change its number.
	told   *controlpb.WorkerState
	change ident.Sequence
}

// NewWorkers returns the empty view of the entry self.
func NewWorkers(self ident.Entry, settings Settings) *Workers {
	return &Workers{
		settings: settings,
		self:     self,
		records:  make(map[ident.Worker]*record),
		peers:    make(map[ident.Entry]*peer),
		gone:     make(map[ident.Worker]ident.Sequence),
	}
}

// Freshness tells how a received state relates to the known one.
type Freshness int

// Kinds of freshness.
const (
	// Stale states are older than the known one and were ignored.
	Stale Freshness = iota
	// Newer states are of the known incarnation.
	Newer
	// Restarted states are the first of a higher incarnation, or of an unknown worker.
	Restarted
)

// Announce takes the state that an agent announced to this entry as its home.
func (workers *Workers) Announce(state *controlpb.WorkerState, now clock.Time) Freshness {
	freshness := workers.take(state, workers.self, now)
	known := workers.records[ident.Worker(state.GetWorker())]
	if freshness != Stale {
		workers.note(known)
	}
	return freshness
}

// take replaces the known state of a worker by a newer one.
func (workers *Workers) take(state *controlpb.WorkerState, home ident.Entry, now clock.Time) Freshness {
	id := ident.Worker(state.GetWorker())
	known, have := workers.records[id]
	if have {
		held := known.state
		if state.GetIncarnation() < held.GetIncarnation() ||
			state.GetIncarnation() == held.GetIncarnation() && state.GetSequence() <= held.GetSequence() {
			return Stale
		}
	}
	freshness := Newer
	next := &record{state: proto.CloneOf(state), home: home, heard: now}
	if !have || state.GetIncarnation() > known.state.GetIncarnation() {
		freshness = Restarted
	} else {
		next.leaving = known.leaving
	}
	delete(workers.gone, id)
	switch {
	case have && known.home == workers.self && home != workers.self:
		// The worker moved to another home, which tells the other entries about it. Entries that
		// have not heard from the new home yet must not let this one vouch for the worker.
		workers.change++
		workers.gone[id] = workers.change
	case have:
		next.told, next.change = known.told, known.change
	}
	next.at = now.Add(-clock.Millis(max(state.GetAgeMillis(), 0)))
	next.endpointAt = next.at.Add(-clock.Millis(max(state.GetEndpoint().GetAgeMillis(), 0)))
	if state.GetEndpoint().GetLeaving() {
		next.leaving = state.GetEndpoint().GetEndpoint()
	}
	workers.records[id] = next
	workers.dirty = true
	return freshness
}

// Leave takes the message that an endpoint takes no new work. The mark holds for the incarnation.
// With agentGone the worker is removed from the view. It returns false if the message is of another
// incarnation than the known one.
func (workers *Workers) Leave(request *controlpb.LeaveRequest, now clock.Time) bool {
	id := ident.Worker(request.GetWorker())
	known, have := workers.records[id]
	if !have || known.state.GetIncarnation() != request.GetIncarnation() {
		return false
	}
	known.heard = now
	if request.GetEndpoint() != "" && known.leaving != request.GetEndpoint() {
		known.leaving = request.GetEndpoint()
		workers.dirty = true
	}
	if known.home == workers.self {
		workers.note(known)
	}
	if request.GetAgentGone() {
		workers.remove(id)
	}
	return true
}

// note gives the worker a change number if its summary differs from what the exchanges carry.
func (workers *Workers) note(known *record) {
	summary := summarise(known)
	if known.told != nil && same(known.told, summary) {
		return
	}
	left := summary.GetEndpoint().GetLeaving() && !known.told.GetEndpoint().GetLeaving()
	workers.change++
	known.told, known.change = summary, workers.change
	if left {
		workers.urgent = workers.change
	}
}

// remove drops a worker; other entries are told if it was an own one.
func (workers *Workers) remove(id ident.Worker) {
	known := workers.records[id]
	if known.home == workers.self {
		workers.change++
		workers.gone[id] = workers.change
	}
	delete(workers.records, id)
	workers.dirty = true
}

// Expire removes the workers that were not heard of in time and returns them in ascending order.
func (workers *Workers) Expire(now clock.Time) []ident.Worker {
	var expired []ident.Worker
	for _, id := range set.SortedKeys(workers.records) {
		known := workers.records[id]
		if known.home == workers.self {
			if now.Sub(known.heard) < workers.settings.WorkerExpiryMillis {
				continue
			}
		} else if now.Sub(max(known.heard, workers.vouched(known.home))) < workers.settings.PeerExpiryMillis {
			continue
		}
		workers.remove(id)
		expired = append(expired, id)
	}
	return expired
}

// Get returns what is known of a worker. The state must not be changed.
func (workers *Workers) Get(id ident.Worker) (*controlpb.WorkerState, bool) {
	known, have := workers.records[id]
	if !have {
		return nil, false
	}
	return known.state, true
}

// Own returns the workers whose agents announce themselves here, in ascending order.
func (workers *Workers) Own() []ident.Worker {
	var own []ident.Worker
	for _, id := range set.SortedKeys(workers.records) {
		if workers.records[id].home == workers.self {
			own = append(own, id)
		}
	}
	return own
}
