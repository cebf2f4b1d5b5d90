package membership

import (
	"math/rand/v2"

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
	random   *rand.Rand
	self     ident.Entry
	records  map[ident.Worker]*record
	peers    map[ident.Entry]*peer
	// change numbers the changes that exchanges must carry.
	change ident.Sequence
	// gone holds the change at which an own worker disappeared, until all peers know.
	gone map[ident.Worker]ident.Sequence
	// past holds what must not be forgotten of removed workers for a while, so that a late message
	// does not bring an old state back.
	past map[ident.Worker]mark
	// urgent is the newest change that marks an endpoint as leaving.
	urgent ident.Sequence
	// own is the number of workers that announce themselves here.
	own   int
	dirty bool
}

// record is what is known of one worker.
type record struct {
	state *controlpb.WorkerState
	// home is the entry that the state came from; the own id if the agent announced itself here.
	home ident.Entry
	// homeIncarnation is that of the home when it sent the state, 0 if the agent announced itself here.
	homeIncarnation ident.Incarnation
	// at is when the worker was in that state and endpointAt when its endpoint was, both on this
	// process's clock.
	at         clock.Time
	endpointAt clock.Time
	// heard is when the agent or its home last vouched for the worker.
	heard clock.Time
	// leaving is the endpoint that leaves in the state's incarnation, empty if none.
	leaving string
	// told is the summary in the newest change, and change its number. Structure is the number of the
	// newest change that altered more than the load.
	told      *controlpb.WorkerState
	change    ident.Sequence
	structure ident.Sequence
	// toldAt and toldEndpointAt are when the worker and its endpoint were in the told state, and
	// loadAt is when the told load was last changed.
	toldAt         clock.Time
	toldEndpointAt clock.Time
	loadAt         clock.Time
}

// mark is what is kept of a removed worker.
type mark struct {
	incarnation uint64
	sequence    uint64
	leaving     string
	// over marks an incarnation whose agent said that it is gone.
	over bool
	at   clock.Time
}

// NewWorkers returns the empty view of the entry self.
func NewWorkers(self ident.Entry, settings Settings) *Workers {
	return &Workers{
		settings: settings,
		self:     self,
		random:   settings.newRandom(self, 2),
		records:  make(map[ident.Worker]*record),
		peers:    make(map[ident.Entry]*peer),
		gone:     make(map[ident.Worker]ident.Sequence),
		past:     make(map[ident.Worker]mark),
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
	freshness := workers.take(state, workers.self, 0, now)
	known := workers.records[ident.Worker(state.GetWorker())]
	if freshness != Stale {
		workers.note(known, now)
	}
	return freshness
}

// take replaces the known state of a worker by a newer one.
func (workers *Workers) take(
	state *controlpb.WorkerState, home ident.Entry, homeIncarnation ident.Incarnation, now clock.Time,
) Freshness {
	id := ident.Worker(state.GetWorker())
	known, have := workers.records[id]
	before, past := workers.past[id]
	if have {
		before, past = known.mark(), true
		// The held state itself is no news.
		before.sequence++
	}
	incarnation := state.GetIncarnation()
	if id == "" || past && (incarnation < before.incarnation ||
		incarnation == before.incarnation && (before.over || state.GetSequence() < before.sequence)) {
		workers.keepLeaving(state, now)
		return Stale
	}
	freshness := Restarted
	next := &record{state: proto.CloneOf(state), home: home, homeIncarnation: homeIncarnation, heard: now}
	if past && incarnation == before.incarnation {
		freshness = Newer
		next.leaving = before.leaving
	}
	delete(workers.past, id)
	if home == workers.self {
		// Otherwise entries that have not heard from the other home are still told that this one no longer
		// vouches for the worker.
		delete(workers.gone, id)
	}
	switch {
	case have && known.home == workers.self && home != workers.self:
		// The worker moved to another home, which tells the other entries about it. Entries that
		// have not heard from the new home yet must not let this one vouch for the worker.
		workers.change++
		workers.gone[id] = workers.change
	case have:
		next.told, next.change, next.structure = known.told, known.change, known.structure
		next.toldAt, next.toldEndpointAt, next.loadAt = known.toldAt, known.toldEndpointAt, known.loadAt
	}
	next.at = now.Add(-clock.Millis(max(state.GetAgeMillis(), 0)))
	next.endpointAt = next.at.Add(-clock.Millis(max(state.GetEndpoint().GetAgeMillis(), 0)))
	if state.GetEndpoint().GetLeaving() {
		next.leaving = state.GetEndpoint().GetEndpoint()
	}
	if have && known.home == workers.self {
		workers.own--
	}
	if home == workers.self {
		workers.own++
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
	workers.markLeaving(known, request.GetEndpoint(), now)
	if request.GetAgentGone() {
		workers.remove(id, now)
		last := workers.past[id]
		last.over = true
		workers.past[id] = last
	}
	return true
}

// keepLeaving takes the leaving mark of a state that is otherwise no news. A Leave message marks an
// endpoint without a new sequence number.
func (workers *Workers) keepLeaving(state *controlpb.WorkerState, now clock.Time) {
	known, have := workers.records[ident.Worker(state.GetWorker())]
	if have && state.GetEndpoint().GetLeaving() && state.GetIncarnation() == known.state.GetIncarnation() {
		workers.markLeaving(known, state.GetEndpoint().GetEndpoint(), now)
	}
}

func (workers *Workers) markLeaving(known *record, endpoint string, now clock.Time) {
	if endpoint == "" || known.leaving == endpoint {
		return
	}
	known.leaving = endpoint
	workers.dirty = true
	if known.home == workers.self {
		workers.note(known, now)
	}
}

func (known *record) mark() mark {
	return mark{incarnation: known.state.GetIncarnation(), sequence: known.state.GetSequence(), leaving: known.leaving}
}

// note gives the worker a change number if its summary differs from what the exchanges carry. A
// change of the load alone waits until the interval for loads has passed.
func (workers *Workers) note(known *record, now clock.Time) {
	summary := summarise(known)
	structural := known.told == nil || !sameStructure(known.told, summary)
	switch {
	case !structural && sameLoad(known.told, summary):
		known.toldAt, known.toldEndpointAt = known.at, known.endpointAt
		return
	case !structural && now.Sub(known.loadAt) < workers.settings.loadMillis(workers.own, len(workers.peers)):
		return
	}
	workers.change++
	if structural {
		known.structure = workers.change
	}
	if summary.GetEndpoint().GetLeaving() && !known.told.GetEndpoint().GetLeaving() {
		workers.urgent = workers.change
	}
	known.told, known.change = summary, workers.change
	known.toldAt, known.toldEndpointAt, known.loadAt = known.at, known.endpointAt, now
}

// remove drops a worker; other entries are told if it was an own one.
func (workers *Workers) remove(id ident.Worker, now clock.Time) {
	known := workers.records[id]
	last := known.mark()
	last.at = now
	workers.past[id] = last
	if known.home == workers.self {
		workers.own--
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
		switch {
		case known.home == workers.self:
			if now.Sub(known.heard) < workers.settings.WorkerExpiryMillis {
				continue
			}
		case now.Sub(workers.vouched(known)) < workers.settings.PeerExpiryMillis:
			continue
		default:
			// The home takes its workers for known here, so it must send all of them again.
			if home, have := workers.peers[known.home]; have {
				home.lapsed = true
			}
		}
		workers.remove(id, now)
		expired = append(expired, id)
	}
	for _, id := range set.SortedKeys(workers.past) {
		if now.Sub(workers.past[id].at) >= workers.settings.MarkMillis {
			delete(workers.past, id)
		}
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

// IsOwn reports whether the worker's agent announces itself here.
func (workers *Workers) IsOwn(id ident.Worker) bool {
	known, have := workers.records[id]
	return have && known.home == workers.self
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
