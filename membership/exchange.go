package membership

import (
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"

	"google.golang.org/protobuf/proto"
)

// maxOutstanding is the maximum number of unacknowledged exchanges to a peer. A reply to an older
// one is ignored.
const maxOutstanding = 16

// peer is the state of the exchanges with another entry in both directions.
type peer struct {
	// ackedIncarnation is the incarnation of the peer that acknowledged the changes up to
	// ackedChange. With needsFull the next exchange has to carry all own workers.
	ackedIncarnation ident.Incarnation
	ackedChange      ident.Sequence
	needsFull        bool
	// sentAt is when the last exchange was sent to the peer, 0 if the next one is due at once.
	// fullAckedAt is when the last full one was acknowledged.
	sentAt      clock.Time
	fullAckedAt clock.Time
	// dueAt is when the next exchange is due, unless an endpoint that leaves makes it due earlier.
	dueAt clock.Time
	// sequence is the number of the last exchange sent to the peer. For each unacknowledged
	// exchange, sentChanges holds the newest change that it carried.
	sequence    ident.Sequence
	sentChanges map[ident.Sequence]ident.Sequence

	// senderIncarnation and receivedSequence identify the newest exchange accepted from the peer,
	// at receivedAt.
	senderIncarnation ident.Incarnation
	receivedSequence  ident.Sequence
	receivedAt        clock.Time
	// expired is set if workers of the peer expired because no exchange arrived in time. Only a
	// full exchange restores them.
	expired bool
}

func (workers *Workers) peer(id ident.Entry) *peer {
	state, ok := workers.peers[id]
	if !ok {
		state = &peer{needsFull: true, sentChanges: make(map[ident.Sequence]ident.Sequence)}
		workers.peers[id] = state
	}
	return state
}

// lastConfirmed returns when the home of the worker last confirmed that the worker is present. Each
// exchange of the home does so, but after a restart of the home only for workers that have
// announced themselves to it since.
func (workers *Workers) lastConfirmed(record *record) clock.Time {
	home, ok := workers.peers[record.home]
	if !ok || home.senderIncarnation != record.homeIncarnation {
		return record.confirmedAt
	}
	return max(record.confirmedAt, home.receivedAt)
}

// Due reports whether an exchange with the peer is due: its interval has passed, or a leaving
// endpoint is not acknowledged and the shorter interval UrgentMillis has passed.
func (workers *Workers) Due(id ident.Entry, now clock.Time) bool {
	peer, ok := workers.peers[id]
	if !ok || peer.sentAt == 0 {
		return true
	}
	if peer.ackedChange < workers.urgentChange {
		// A change that was not sent yet is sent at once.
		return !peer.carried(workers.urgentChange) || now.Sub(peer.sentAt) >= workers.settings.UrgentMillis
	}
	return !now.Before(peer.dueAt)
}

// ExpediteExchange makes the next exchange with the peer due UrgentMillis after the last one, for a
// caller that waits for the reply.
func (workers *Workers) ExpediteExchange(id ident.Entry) {
	if peer, ok := workers.peers[id]; ok {
		peer.dueAt = min(peer.dueAt, peer.sentAt.Add(workers.settings.UrgentMillis))
	}
}

// carried reports whether an unacknowledged exchange carried the change.
func (peer *peer) carried(change ident.Sequence) bool {
	for _, upTo := range peer.sentChanges {
		if upTo >= change {
			return true
		}
	}
	return false
}

// NextExchange returns the next exchange for a peer. It holds the own workers that changed since the
// peer's last acknowledged exchange, or all of them if the peer needs a full exchange. For a worker
// of which only the load changed it holds the load. The caller sets the sender and the pairs.
func (workers *Workers) NextExchange(id ident.Entry, now clock.Time) *controlpb.ExchangeRequest {
	peer := workers.peer(id)
	peer.sequence++
	if now.Sub(peer.fullAckedAt) >= workers.settings.FullMillis {
		peer.needsFull = true
	}
	request := &controlpb.ExchangeRequest{Sequence: uint64(peer.sequence), Full: peer.needsFull}
	for _, worker := range set.SortedKeys(workers.records) {
		record := workers.records[worker]
		if record.home != workers.self || record.summary == nil || !peer.needsFull && record.change <= peer.ackedChange {
			continue
		}
		state := proto.CloneOf(record.summary)
		if !peer.needsFull && record.structureChange <= peer.ackedChange {
			state = loadOf(record.summary)
		}
		state.AgeMillis = int64(now.Sub(record.summaryAt))
		if endpoint := state.GetEndpoint(); endpoint != nil {
			endpoint.AgeMillis = int64(record.summaryAt.Sub(record.summaryEndpointAt))
		}
		request.Workers = append(request.Workers, state)
	}
	if !peer.needsFull {
		for _, worker := range set.SortedKeys(workers.goneChanges) {
			if workers.goneChanges[worker] > peer.ackedChange {
				request.GoneWorkers = append(request.GoneWorkers, string(worker))
			}
		}
	}
	peer.sentAt = now
	peer.dueAt = now.Add(clock.Jittered(workers.settings.exchangeIntervalMillis(len(workers.peers)), workers.random))
	peer.sentChanges[peer.sequence] = workers.change
	if peer.sequence > maxOutstanding {
		delete(peer.sentChanges, peer.sequence-maxOutstanding)
	}
	return request
}

// Acknowledge applies the peer's reply to the exchange with the sequence number.
func (workers *Workers) Acknowledge(id ident.Entry, sequence ident.Sequence, reply *controlpb.ExchangeReply, now clock.Time) {
	peer := workers.peer(id)
	upTo, outstanding := peer.sentChanges[sequence]
	if !outstanding {
		return
	}
	incarnation := ident.Incarnation(reply.GetReceiver().GetIncarnation())
	for sent := range peer.sentChanges {
		if sent <= sequence {
			delete(peer.sentChanges, sent)
		}
	}
	switch {
	case reply.GetWantFull():
		peer.needsFull, peer.ackedChange, peer.ackedIncarnation = true, 0, incarnation
		// Due at once, because the peer does not confirm any worker of this entry until it has a
		// full exchange.
		peer.sentAt = 0
		clear(peer.sentChanges)
		return
	case peer.ackedIncarnation != incarnation && !peer.needsFull:
		peer.needsFull, peer.ackedChange, peer.ackedIncarnation = true, 0, incarnation
		return
	}
	if peer.needsFull {
		peer.fullAckedAt = now
	}
	peer.needsFull, peer.ackedIncarnation = false, incarnation
	peer.ackedChange = max(peer.ackedChange, upTo)
	workers.pruneGone()
}

// RecordExchangeFailure records that an exchange got no reply. The next one repeats its changes.
func (workers *Workers) RecordExchangeFailure(id ident.Entry, sequence ident.Sequence) {
	delete(workers.peer(id).sentChanges, sequence)
}

// pruneGone removes the entries of goneChanges that all peers have acknowledged.
func (workers *Workers) pruneGone() {
	oldest := workers.change
	for _, peer := range workers.peers {
		oldest = min(oldest, peer.ackedChange)
	}
	for worker, change := range workers.goneChanges {
		if change <= oldest {
			delete(workers.goneChanges, worker)
		}
	}
}

// RemovePeer removes the exchange state of an entry that is no longer a peer.
func (workers *Workers) RemovePeer(id ident.Entry) {
	delete(workers.peers, id)
	workers.pruneGone()
}

// ApplyExchange applies an exchange from another entry and returns the reply, to which the caller adds
// the receiver and the configuration.
func (workers *Workers) ApplyExchange(request *controlpb.ExchangeRequest, now clock.Time) *controlpb.ExchangeReply {
	sender := ident.Entry(request.GetSender().GetEntry())
	incarnation := ident.Incarnation(request.GetSender().GetIncarnation())
	sequence := ident.Sequence(request.GetSequence())
	peer := workers.peer(sender)
	switch {
	case sender == "" || sender == workers.self || incarnation < peer.senderIncarnation:
		return &controlpb.ExchangeReply{}
	case incarnation == peer.senderIncarnation && sequence <= peer.receivedSequence:
		// A newer exchange, which repeats these changes, arrived earlier.
		return &controlpb.ExchangeReply{}
	case (incarnation != peer.senderIncarnation || peer.expired) && !request.GetFull():
		return &controlpb.ExchangeReply{WantFull: true}
	}
	if peer.senderIncarnation != incarnation {
		for _, record := range workers.records {
			if record.home == sender {
				record.confirmedAt = workers.lastConfirmed(record)
			}
		}
	}
	peer.senderIncarnation, peer.receivedSequence, peer.receivedAt = incarnation, sequence, now
	peer.expired = false
	listed := set.New[ident.Worker]()
	missing := false
	for _, state := range request.GetWorkers() {
		worker := ident.Worker(state.GetWorker())
		listed.Add(worker)
		if isLoad(state) {
			record, ok := workers.records[worker]
			if !ok || record.state.GetIncarnation() != state.GetIncarnation() {
				missing = missing || !ok || record.state.GetIncarnation() < state.GetIncarnation()
				continue
			}
			state = withLoad(record.state, state)
		}
		workers.update(state, sender, incarnation, now)
		if record, ok := workers.records[worker]; ok && record.home == sender {
			record.homeIncarnation = incarnation
		}
	}
	for _, worker := range request.GetGoneWorkers() {
		workers.removeReported(ident.Worker(worker), sender, incarnation, now)
	}
	if request.GetFull() {
		for _, worker := range set.SortedKeys(workers.records) {
			if !listed.Has(worker) {
				workers.removeReported(worker, sender, incarnation, now)
			}
		}
	}
	return &controlpb.ExchangeReply{WantFull: missing}
}

// removeReported removes a worker that its home reports as gone. Reports from other entries are
// ignored, and so are those of a restarted home to which the worker has not announced itself yet.
func (workers *Workers) removeReported(worker ident.Worker, home ident.Entry, incarnation ident.Incarnation, now clock.Time) {
	if record, ok := workers.records[worker]; ok && record.home == home && record.homeIncarnation == incarnation {
		workers.remove(worker, now)
	}
}
