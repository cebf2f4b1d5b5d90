package membership

import (
	"math/rand/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"

	"google.golang.org/protobuf/proto"
)

// Workers is the view that one entry has of all workers and endpoints. Own workers are those whose
// agents announce themselves to this entry; the others are reported in the exchanges of their
// homes.
type Workers struct {
	settings Settings
	random   *rand.Rand
	self     ident.Entry
	records  map[ident.Worker]*record
	peers    map[ident.Entry]*peer
	// change is the number of the last change that exchanges have to carry.
	change ident.Sequence
	// goneChanges holds the changes in which own workers were removed, until all peers have
	// acknowledged them.
	goneChanges map[ident.Worker]ident.Sequence
	// tombstones holds the newest incarnation and sequence number of removed workers for
	// MarkMillis, so that a late message does not restore an old state.
	tombstones map[ident.Worker]tombstone
	// urgentChange is the newest change in which an endpoint became leaving.
	urgentChange ident.Sequence
	// ownCount is the number of own workers.
	ownCount int
	// dirty is set if the view changed since the last Snapshot, and joined if a worker was added or began a new
	// incarnation since then.
	dirty  bool
	joined bool
}

// record is the last known state of one worker.
type record struct {
	state *controlpb.WorkerState
	// home is the entry that reported the state, this entry for own workers.
	home ident.Entry
	// homeIncarnation is the incarnation of the home that reported the state, 0 for own workers.
	homeIncarnation ident.Incarnation
	// stateAt and endpointAt are when the worker and its endpoint were in this state, on this
	// process's clock.
	stateAt    clock.Time
	endpointAt clock.Time
	// confirmedAt is when the agent or its home last confirmed that the worker is present.
	confirmedAt clock.Time
	// leaving is the endpoint that is leaving in this incarnation, empty if none.
	leaving string
	// summary is what exchanges report of an own worker, and change the number of its last change.
	// structureChange is the number of the last change of something other than the load.
	summary         *controlpb.WorkerState
	change          ident.Sequence
	structureChange ident.Sequence
	// summaryAt and summaryEndpointAt are when the worker and its endpoint were in the state of
	// the summary. loadChangedAt is when the load in the summary last changed.
	summaryAt         clock.Time
	summaryEndpointAt clock.Time
	loadChangedAt     clock.Time
}

// tombstone is what is stored of a removed worker.
type tombstone struct {
	incarnation uint64
	sequence    uint64
	leaving     string
	// ended is set if the agent of the incarnation reported that it ended.
	ended     bool
	removedAt clock.Time
}

// NewWorkers returns an empty view for the entry self.
func NewWorkers(self ident.Entry, settings Settings) *Workers {
	return &Workers{
		settings:    settings,
		self:        self,
		random:      settings.newRandom(self, 2),
		records:     make(map[ident.Worker]*record),
		peers:       make(map[ident.Entry]*peer),
		goneChanges: make(map[ident.Worker]ident.Sequence),
		tombstones:  make(map[ident.Worker]tombstone),
	}
}

// Freshness is the result of comparing a received state with the last known one.
type Freshness int

// Values of Freshness.
const (
	// Stale is a state older than the stored one. It is ignored.
	Stale Freshness = iota
	// Newer is a newer state of the stored incarnation.
	Newer
	// Restarted is the first state of a higher incarnation or of an unknown worker.
	Restarted
)

// Announce applies the state that an agent announced to this entry as its home.
func (workers *Workers) Announce(state *controlpb.WorkerState, now clock.Time) Freshness {
	freshness := workers.update(state, workers.self, 0, now)
	record := workers.records[ident.Worker(state.GetWorker())]
	if freshness != Stale {
		workers.recordChange(record, now)
	}
	return freshness
}

// update replaces the state of a worker if the received one is newer.
func (workers *Workers) update(
	state *controlpb.WorkerState, home ident.Entry, homeIncarnation ident.Incarnation, now clock.Time,
) Freshness {
	id := ident.Worker(state.GetWorker())
	current, exists := workers.records[id]
	previous, hasPrevious := workers.tombstones[id]
	if exists {
		previous, hasPrevious = current.tombstone(), true
		// A repetition of the current state is stale too.
		previous.sequence++
	}
	incarnation := state.GetIncarnation()
	if id == "" || hasPrevious && (incarnation < previous.incarnation ||
		incarnation == previous.incarnation && (previous.ended || state.GetSequence() < previous.sequence)) {
		workers.keepLeavingMark(state, now)
		return Stale
	}
	freshness := Restarted
	next := &record{state: proto.CloneOf(state), home: home, homeIncarnation: homeIncarnation, confirmedAt: now}
	if hasPrevious && incarnation == previous.incarnation {
		freshness = Newer
		next.leaving = previous.leaving
	}
	delete(workers.tombstones, id)
	if home == workers.self {
		// Kept for another home: entries that missed its exchange must still learn that this
		// entry no longer confirms the worker.
		delete(workers.goneChanges, id)
	}
	switch {
	case exists && current.home == workers.self && home != workers.self:
		// The worker moved to another home, which reports it to the other entries. Those that
		// have not received that report must not treat exchanges of this entry as a confirmation
		// of the worker.
		workers.change++
		workers.goneChanges[id] = workers.change
	case exists:
		next.summary, next.change, next.structureChange = current.summary, current.change, current.structureChange
		next.summaryAt, next.summaryEndpointAt, next.loadChangedAt = current.summaryAt, current.summaryEndpointAt, current.loadChangedAt
	}
	next.stateAt = now.Add(-clock.Millis(max(state.GetAgeMillis(), 0)))
	next.endpointAt = next.stateAt.Add(-clock.Millis(max(state.GetEndpoint().GetAgeMillis(), 0)))
	if state.GetEndpoint().GetLeaving() {
		next.leaving = state.GetEndpoint().GetEndpoint()
	}
	if exists && current.home == workers.self {
		workers.ownCount--
	}
	if home == workers.self {
		workers.ownCount++
	}
	workers.records[id] = next
	workers.dirty = true
	workers.joined = workers.joined || !exists || freshness == Restarted
	return freshness
}

// Leave applies the notice that an endpoint accepts no new work, which holds until the end of the
// incarnation. With AgentGone the worker is removed. Leave returns false if the notice is of
// another incarnation than the stored one.
func (workers *Workers) Leave(request *controlpb.LeaveRequest, now clock.Time) bool {
	id := ident.Worker(request.GetWorker())
	record, ok := workers.records[id]
	if !ok || record.state.GetIncarnation() != request.GetIncarnation() {
		return false
	}
	record.confirmedAt = now
	workers.markLeaving(record, request.GetEndpoint(), now)
	if request.GetAgentGone() {
		workers.remove(id, now)
		last := workers.tombstones[id]
		last.ended = true
		workers.tombstones[id] = last
	}
	return true
}

// keepLeavingMark applies the leaving mark of a state that is otherwise stale, because a Leave
// message marks an endpoint without a new sequence number.
func (workers *Workers) keepLeavingMark(state *controlpb.WorkerState, now clock.Time) {
	record, ok := workers.records[ident.Worker(state.GetWorker())]
	if ok && state.GetEndpoint().GetLeaving() && state.GetIncarnation() == record.state.GetIncarnation() {
		workers.markLeaving(record, state.GetEndpoint().GetEndpoint(), now)
	}
}

func (workers *Workers) markLeaving(record *record, endpoint string, now clock.Time) {
	if endpoint == "" || record.leaving == endpoint {
		return
	}
	record.leaving = endpoint
	workers.dirty = true
	if record.home == workers.self {
		workers.recordChange(record, now)
	}
}

func (record *record) tombstone() tombstone {
	return tombstone{incarnation: record.state.GetIncarnation(), sequence: record.state.GetSequence(), leaving: record.leaving}
}

// recordChange updates the summary of an own worker and gives it a new change number if it differs.
// A change of the load alone is delayed until the interval for loads has passed.
func (workers *Workers) recordChange(record *record, now clock.Time) {
	summary := summarise(record)
	structural := record.summary == nil || !sameStructure(record.summary, summary)
	switch {
	case !structural && sameLoad(record.summary, summary):
		record.summaryAt, record.summaryEndpointAt = record.stateAt, record.endpointAt
		return
	case !structural && now.Sub(record.loadChangedAt) < workers.settings.loadIntervalMillis(workers.ownCount, len(workers.peers)):
		return
	}
	workers.change++
	if structural {
		record.structureChange = workers.change
	}
	if summary.GetEndpoint().GetLeaving() && !record.summary.GetEndpoint().GetLeaving() {
		workers.urgentChange = workers.change
	}
	record.summary, record.change = summary, workers.change
	record.summaryAt, record.summaryEndpointAt, record.loadChangedAt = record.stateAt, record.endpointAt, now
}

// remove removes a worker. The removal of an own worker is reported to the other entries.
func (workers *Workers) remove(id ident.Worker, now clock.Time) {
	record := workers.records[id]
	last := record.tombstone()
	last.removedAt = now
	workers.tombstones[id] = last
	if record.home == workers.self {
		workers.ownCount--
		workers.change++
		workers.goneChanges[id] = workers.change
	}
	delete(workers.records, id)
	workers.dirty = true
}

// Expire removes the workers that were not confirmed in time and returns them in ascending order.
// It also removes expired tombstones.
func (workers *Workers) Expire(now clock.Time) []ident.Worker {
	var expired []ident.Worker
	for _, id := range set.SortedKeys(workers.records) {
		record := workers.records[id]
		switch {
		case record.home == workers.self:
			if now.Sub(record.confirmedAt) < workers.settings.WorkerExpiryMillis {
				continue
			}
		case now.Sub(workers.lastConfirmed(record)) < workers.settings.PeerExpiryMillis:
			continue
		default:
			// The home assumes that its workers are stored here. It has to send all of them
			// again.
			if home, ok := workers.peers[record.home]; ok {
				home.expired = true
			}
		}
		workers.remove(id, now)
		expired = append(expired, id)
	}
	for _, id := range set.SortedKeys(workers.tombstones) {
		if now.Sub(workers.tombstones[id].removedAt) >= workers.settings.MarkMillis {
			delete(workers.tombstones, id)
		}
	}
	return expired
}

// Get returns the last known state of a worker, which must not be changed.
func (workers *Workers) Get(id ident.Worker) (*controlpb.WorkerState, bool) {
	record, ok := workers.records[id]
	if !ok {
		return nil, false
	}
	return record.state, true
}

// IsOwn reports whether the agent of the worker announces itself to this entry.
func (workers *Workers) IsOwn(id ident.Worker) bool {
	record, ok := workers.records[id]
	return ok && record.home == workers.self
}

// Own returns the own workers in ascending order.
func (workers *Workers) Own() []ident.Worker {
	var own []ident.Worker
	for _, id := range set.SortedKeys(workers.records) {
		if workers.records[id].home == workers.self {
			own = append(own, id)
		}
	}
	return own
}
