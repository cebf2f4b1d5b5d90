package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/set"
)

const (
	// maxPairs bounds the interference estimates in one exchange.
	maxPairs = 32
	// maxSuspects bounds the workers with failures but without a decision in one exchange. Each takes
	// about 25 bytes, a quarantined worker about 85.
	maxSuspects = 16
)

// outgoing is one exchange to send.
type outgoing struct {
	peer     membership.Entry
	sequence ident.Sequence
	request  *controlpb.ExchangeRequest
	// healthTo is the change up to which the request tells of the health of workers.
	healthTo uint64
}

// exchange returns the calls that tell what changed to the peers that are due. It runs on the control
// goroutine.
func (entry *Entry) exchange() []func() {
	var due []func()
	now := entry.time.Now()
	fault := false
	var pairs []*controlpb.PairEstimate
	for _, peer := range entry.entries.Peers(now) {
		if entry.inExchange[peer.ID] || !entry.workers.Due(peer.ID, now) {
			continue
		}
		if pairs == nil {
			// Counting the fleet in each tick, of which few send an exchange, would cost most of it.
			fault = entry.learned.health.PlatformFault(now)
			pairs = entry.learned.pairs.Export(maxPairs, false)
		}
		request := entry.workers.Delta(peer.ID, now)
		request.ReceiverIncarnation = uint64(peer.Incarnation)
		request.Sender = entry.selfMessageFor(request.Full, entry.knownBy[peer.ID])
		request.Pairs = pairs
		for _, worker := range set.SortedKeys(entry.ended) {
			request.Ended = append(request.Ended, &controlpb.EndedIncarnation{
				Worker: string(worker), Incarnation: uint64(entry.ended[worker].incarnation),
			})
		}
		if request.Full {
			delete(entry.healthTold, peer.ID)
		}
		message := outgoing{peer: peer, sequence: ident.Sequence(request.Sequence), request: request}
		request.Health, message.healthTo = entry.learned.health.Export(entry.healthTold[peer.ID], maxSuspects, now)
		request.PlatformFault = fault
		entry.inExchange[peer.ID] = true
		due = append(due, func() { entry.sendExchange(message) })
	}
	return due
}

func (entry *Entry) sendExchange(message outgoing) {
	reply, err := entry.callExchange(message)
	entry.control.Call(func() {
		delete(entry.inExchange, message.peer.ID)
		now := entry.time.Now()
		if err != nil {
			delete(entry.knownBy, message.peer.ID)
			entry.workers.Unanswered(message.peer.ID, message.sequence)
			return
		}
		entry.workers.Acknowledge(message.peer.ID, message.sequence, reply, now)
		if !reply.GetWantFull() {
			entry.healthTold[message.peer.ID] = message.healthTo
		}
		entry.knownBy[message.peer.ID] = ident.Incarnation(reply.GetSenderIncarnation())
		entry.heard(reply.GetReceiver())
	})
	if err != nil {
		klog.V(1).InfoS("Exchange had no answer", "Peer", message.peer.ID, "Reason", err.Error())
		entry.connections.Discard(message.peer.ControlAddress)
		return
	}
	if delta := reply.GetConfig(); delta != nil {
		entry.applyPeerConfig(delta)
	}
}

func (entry *Entry) callExchange(message outgoing) (*controlpb.ExchangeReply, error) {
	client, err := entry.connections.Entry(message.peer.ControlAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	return client.Exchange(ctx, message.request)
}

// applyPeerConfig takes over newer configuration from a peer, which reaches this entry also while
// it cannot read the table itself.
func (entry *Entry) applyPeerConfig(delta *controlpb.ConfigDelta) {
	if err := entry.publisher.Apply(delta); err != nil {
		klog.V(1).InfoS("Peer's configuration was not applied", "Reason", err.Error())
	}
}

// heard takes the state that a peer told of itself and returns the incarnation whose addresses and place
// are known afterwards, 0 for none.
func (entry *Entry) heard(message *controlpb.EntryState) ident.Incarnation {
	if message.GetEntry() == "" || message.GetEntry() == string(entry.settings.ID) {
		return 0
	}
	peer, known := entry.entries.Restore(membership.FromMessage(message))
	if !known {
		return 0
	}
	entry.entries.Heartbeat(peer, entry.time.Now())
	entry.inForce.homes[ident.Entry(message.GetEntry())] = homeVersion{
		lowest: ident.Version(message.GetAgentsVersion()), agents: int(message.GetAgents()),
	}
	return peer.Incarnation
}

// Exchange takes the heartbeat of another entry.
func (entry *Entry) Exchange(_ context.Context, request *controlpb.ExchangeRequest) (*controlpb.ExchangeReply, error) {
	var reply *controlpb.ExchangeReply
	entry.control.Call(func() {
		now := entry.time.Now()
		known := entry.heard(request.GetSender())
		reply = entry.workers.Exchange(request, now)
		reply.SenderIncarnation = uint64(known)
		reply.Receiver = entry.selfMessageFor(false, ident.Incarnation(request.GetReceiverIncarnation()))
		for _, state := range request.GetWorkers() {
			entry.workerSeen(ident.Worker(state.GetWorker()))
		}
		sender := ident.Entry(request.GetSender().GetEntry())
		entry.learned.pairs.Import(sender, request.GetPairs())
		entry.learned.health.Import(sender, request.GetHealth(), request.GetPlatformFault(), now)
		for _, over := range request.GetEnded() {
			entry.incarnationEndedElsewhere(ident.Worker(over.GetWorker()), ident.Incarnation(over.GetIncarnation()))
		}
		view := entry.publisher.Current()
		if from := ident.Version(request.GetSender().GetConfigVersion()); view.Version() > from {
			if delta, err := view.Delta(from); err == nil {
				reply.Config = delta
			}
		}
	})
	if reply == nil {
		return nil, errClosed{}
	}
	return reply, nil
}

// errClosed reports a call to an entry that has ended.
type errClosed struct{}

// Error describes the state.
func (errClosed) Error() string { return "entry is closed" }
