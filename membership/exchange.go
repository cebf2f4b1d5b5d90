package membership

import (
	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"

	"google.golang.org/protobuf/proto"
)

// outstandingMax bounds the exchanges to one peer whose reply can still count.
const outstandingMax = 16

// peer is the state of the exchanges with another entry, in both directions.
type peer struct {
	// theirs is the incarnation that has acknowledged the changes up to acked. It holds none of them
	// if full is set.
	theirs ident.Incarnation
	acked  ident.Sequence
	full   bool
	// sent is when the last exchange was sent to the peer, fullAt when the last full one was.
	sent   clock.Time
	fullAt clock.Time
	// due is when the next exchange is due unless an endpoint's leaving is to be told.
	due clock.Time
	// sequence numbers the exchanges sent to the peer, and sentChange is the change each carried up
	// to, for those not yet acknowledged.
	sequence   ident.Sequence
	sentChange map[ident.Sequence]ident.Sequence

	// from and received are the incarnation and sequence of the newest exchange that was taken from
	// the peer, at heard.
	from     ident.Incarnation
	received ident.Sequence
	heard    clock.Time
	// lapsed is set if workers of the peer expired because it was silent, so that only a full exchange
	// restores them.
	lapsed bool
}

func (workers *Workers) peer(id ident.Entry) *peer {
	known, have := workers.peers[id]
	if !have {
		known = &peer{full: true, sentChange: make(map[ident.Sequence]ident.Sequence)}
		workers.peers[id] = known
	}
	return known
}

// vouched returns when the worker's home last vouched for it. A home that restarted vouches only for
// the workers that announced themselves to it since.
func (workers *Workers) vouched(known *record) clock.Time {
	home, have := workers.peers[known.home]
	if !have || home.from != known.homeIncarnation {
		return known.heard
	}
	return max(known.heard, home.heard)
}

// Due reports whether an exchange to the peer is due: the interval has passed, or an endpoint's
// leaving is not acknowledged and the shorter interval for that has passed.
func (workers *Workers) Due(id ident.Entry, now clock.Time) bool {
	known, have := workers.peers[id]
	if !have || known.sent == 0 {
		return true
	}
	if known.acked < workers.urgent {
		// If it was not sent yet, nothing is gained by waiting.
		return !known.carried(workers.urgent) || now.Sub(known.sent) >= workers.settings.UrgentMillis
	}
	return !now.Before(known.due)
}

// ExpediteExchange makes the next exchange with the peer due UrgentMillis after the last one, because its reply is
// waited for.
func (workers *Workers) ExpediteExchange(id ident.Entry) {
	if known, have := workers.peers[id]; have {
		known.due = min(known.due, known.sent.Add(workers.settings.UrgentMillis))
	}
}

// carried reports whether an unacknowledged exchange carried the change.
func (known *peer) carried(change ident.Sequence) bool {
	for _, upTo := range known.sentChange {
		if upTo >= change {
			return true
		}
	}
	return false
}

// Delta returns the exchange for a peer: the own workers that changed since the peer's last
// acknowledged exchange, or all of them if the peer holds none or a full one is due. Of a worker
// whose load alone changed it carries the load. The caller sets the sender and the pairs.
func (workers *Workers) Delta(id ident.Entry, now clock.Time) *controlpb.ExchangeRequest {
	known := workers.peer(id)
	known.sequence++
	if now.Sub(known.fullAt) >= workers.settings.FullMillis {
		known.full = true
	}
	request := &controlpb.ExchangeRequest{Sequence: uint64(known.sequence), Full: known.full}
	for _, worker := range set.SortedKeys(workers.records) {
		held := workers.records[worker]
		if held.home != workers.self || held.told == nil || !known.full && held.change <= known.acked {
			continue
		}
		state := proto.CloneOf(held.told)
		if !known.full && held.structure <= known.acked {
			state = loadOf(held.told)
		}
		state.AgeMillis = int64(now.Sub(held.toldAt))
		if endpoint := state.GetEndpoint(); endpoint != nil {
			endpoint.AgeMillis = int64(held.toldAt.Sub(held.toldEndpointAt))
		}
		request.Workers = append(request.Workers, state)
	}
	if !known.full {
		for _, worker := range set.SortedKeys(workers.gone) {
			if workers.gone[worker] > known.acked {
				request.GoneWorkers = append(request.GoneWorkers, string(worker))
			}
		}
	}
	known.sent = now
	known.due = now.Add(clock.Jittered(workers.settings.exchangeMillis(len(workers.peers)), workers.random))
	known.sentChange[known.sequence] = workers.change
	if known.sequence > outstandingMax {
		delete(known.sentChange, known.sequence-outstandingMax)
	}
	return request
}

// Acknowledge takes the peer's reply to the exchange with the sequence number.
func (workers *Workers) Acknowledge(id ident.Entry, sequence ident.Sequence, reply *controlpb.ExchangeReply, now clock.Time) {
	known := workers.peer(id)
	upTo, outstanding := known.sentChange[sequence]
	if !outstanding {
		return
	}
	incarnation := ident.Incarnation(reply.GetReceiver().GetIncarnation())
	for sent := range known.sentChange {
		if sent <= sequence {
			delete(known.sentChange, sent)
		}
	}
	switch {
	case reply.GetWantFull():
		known.full, known.acked, known.theirs = true, 0, incarnation
		// Sent at once: the peer vouches for nothing until it has a full exchange.
		known.sent = 0
		clear(known.sentChange)
		return
	case known.theirs != incarnation && !known.full:
		known.full, known.acked, known.theirs = true, 0, incarnation
		return
	}
	if known.full {
		known.fullAt = now
	}
	known.full, known.theirs = false, incarnation
	known.acked = max(known.acked, upTo)
	workers.forget()
}

// Unanswered records that no reply to an exchange came. The next delta repeats its changes.
func (workers *Workers) Unanswered(id ident.Entry, sequence ident.Sequence) {
	delete(workers.peer(id).sentChange, sequence)
}

// forget drops the disappearances that all peers have acknowledged.
func (workers *Workers) forget() {
	oldest := workers.change
	for _, known := range workers.peers {
		oldest = min(oldest, known.acked)
	}
	for worker, change := range workers.gone {
		if change <= oldest {
			delete(workers.gone, worker)
		}
	}
}

// Forget drops the exchange state of an entry that is no peer any more.
func (workers *Workers) Forget(id ident.Entry) {
	delete(workers.peers, id)
	workers.forget()
}

// Exchange takes another entry's exchange into the view and returns the reply, to which the caller
// adds the receiver and the configuration.
func (workers *Workers) Exchange(request *controlpb.ExchangeRequest, now clock.Time) *controlpb.ExchangeReply {
	sender := ident.Entry(request.GetSender().GetEntry())
	incarnation := ident.Incarnation(request.GetSender().GetIncarnation())
	sequence := ident.Sequence(request.GetSequence())
	known := workers.peer(sender)
	switch {
	case sender == "" || sender == workers.self || incarnation < known.from:
		return &controlpb.ExchangeReply{}
	case incarnation == known.from && sequence <= known.received:
		// Overtaken by a newer exchange, which carried all that this one does.
		return &controlpb.ExchangeReply{}
	case (incarnation != known.from || known.lapsed) && !request.GetFull():
		return &controlpb.ExchangeReply{WantFull: true}
	}
	if known.from != incarnation {
		for _, held := range workers.records {
			if held.home == sender {
				held.heard = workers.vouched(held)
			}
		}
	}
	known.from, known.received, known.heard = incarnation, sequence, now
	known.lapsed = false
	listed := set.New[ident.Worker]()
	missing := false
	for _, state := range request.GetWorkers() {
		worker := ident.Worker(state.GetWorker())
		listed.Add(worker)
		if isLoad(state) {
			held, have := workers.records[worker]
			if !have || held.state.GetIncarnation() != state.GetIncarnation() {
				missing = missing || !have || held.state.GetIncarnation() < state.GetIncarnation()
				continue
			}
			state = withLoad(held.state, state)
		}
		workers.take(state, sender, incarnation, now)
		if held, have := workers.records[worker]; have && held.home == sender {
			held.homeIncarnation = incarnation
		}
	}
	for _, worker := range request.GetGoneWorkers() {
		workers.lose(ident.Worker(worker), sender, incarnation, now)
	}
	if request.GetFull() {
		for _, worker := range set.SortedKeys(workers.records) {
			if !listed.Has(worker) {
				workers.lose(worker, sender, incarnation, now)
			}
		}
	}
	return &controlpb.ExchangeReply{WantFull: missing}
}

// lose removes a worker that its home says is gone. Others cannot say so, and neither can a home
// that restarted and does not know the worker yet.
func (workers *Workers) lose(worker ident.Worker, home ident.Entry, incarnation ident.Incarnation, now clock.Time) {
	if known, have := workers.records[worker]; have && known.home == home && known.homeIncarnation == incarnation {
		workers.remove(worker, now)
	}
}
