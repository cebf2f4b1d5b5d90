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
	// maxExchangedPairs bounds the interference estimates in one exchange.
	maxExchangedPairs = 32
	// maxExchangedSuspects bounds the workers in one exchange that have failures but are not
	// quarantined. Each takes about 25 bytes, a quarantined worker about 85.
	maxExchangedSuspects = 16
)

// outgoingExchange is an exchange to send to a peer.
type outgoingExchange struct {
	peer     membership.Entry
	sequence ident.Sequence
	request  *controlpb.ExchangeRequest
	// healthSequence is the number of the last change of the workers' health in the request.
	healthSequence uint64
}

// startExchanges returns the calls that send changes to the peers whose exchange is due. It runs on
// the control goroutine.
func (entry *Entry) startExchanges() []func() {
	var calls []func()
	now := entry.time.Now()
	platformFault := false
	var pairs []*controlpb.PairEstimate
	for _, peer := range entry.entries.Peers(now) {
		if entry.exchanging[peer.ID] || !entry.workers.Due(peer.ID, now) {
			continue
		}
		if pairs == nil {
			// These are computed only if an exchange is sent: few ticks send one, and going through
			// the whole fleet in each would take most of a tick's time.
			platformFault = entry.models.health.PlatformFault(now)
			pairs = entry.models.interference.Export(maxExchangedPairs, false)
		}
		request := entry.workers.NextExchange(peer.ID, now)
		request.ReceiverIncarnation = uint64(peer.Incarnation)
		request.Sender = entry.ownStateFor(request.Full, entry.knownByPeer[peer.ID])
		request.Pairs = pairs
		for _, worker := range set.SortedKeys(entry.recentEnds) {
			request.Ended = append(request.Ended, &controlpb.EndedIncarnation{
				Worker: string(worker), Incarnation: uint64(entry.recentEnds[worker].incarnation),
			})
		}
		if request.Full {
			delete(entry.ackedHealth, peer.ID)
		}
		message := outgoingExchange{peer: peer, sequence: ident.Sequence(request.Sequence), request: request}
		request.Health, message.healthSequence = entry.models.health.Export(entry.ackedHealth[peer.ID], maxExchangedSuspects, now)
		request.PlatformFault = platformFault
		entry.exchanging[peer.ID] = true
		calls = append(calls, func() { entry.sendExchange(message) })
	}
	return calls
}

// sendExchange sends an exchange and applies the reply.
func (entry *Entry) sendExchange(message outgoingExchange) {
	reply, err := entry.callExchange(message)
	entry.control.Call(func() {
		delete(entry.exchanging, message.peer.ID)
		now := entry.time.Now()
		if err != nil {
			delete(entry.knownByPeer, message.peer.ID)
			entry.workers.RecordExchangeFailure(message.peer.ID, message.sequence)
			return
		}
		entry.workers.Acknowledge(message.peer.ID, message.sequence, reply, now)
		if !reply.GetWantFull() {
			entry.ackedHealth[message.peer.ID] = message.healthSequence
		}
		entry.knownByPeer[message.peer.ID] = ident.Incarnation(reply.GetSenderIncarnation())
		entry.recordPeer(reply.GetReceiver())
	})
	if err != nil {
		klog.V(1).InfoS("Exchange was not answered", "Peer", message.peer.ID, "Reason", err.Error())
		entry.connections.Discard(message.peer.ControlAddress)
		return
	}
	if delta := reply.GetConfig(); delta != nil {
		entry.applyPeerConfig(delta)
	}
}

func (entry *Entry) callExchange(message outgoingExchange) (*controlpb.ExchangeReply, error) {
	client, err := entry.connections.Entry(message.peer.ControlAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := entry.callContext(entry.settings.CallTimeout)
	defer cancel()
	return client.Exchange(ctx, message.request)
}

// applyPeerConfig applies newer configuration from a peer, which also reaches an entry that cannot
// read the table itself.
func (entry *Entry) applyPeerConfig(delta *controlpb.ConfigDelta) {
	if err := entry.configPublisher.Apply(delta); err != nil {
		klog.V(1).InfoS("Peer's configuration was not applied", "Reason", err.Error())
	}
}

// recordPeer stores the state that a peer sent of itself. It returns the incarnation of the peer
// whose addresses and place are stored afterwards, or 0 if none are.
func (entry *Entry) recordPeer(message *controlpb.EntryState) ident.Incarnation {
	if message.GetEntry() == "" || message.GetEntry() == string(entry.settings.ID) {
		return 0
	}
	peer, ok := entry.entries.FillIn(membership.FromMessage(message))
	if !ok {
		return 0
	}
	entry.entries.ApplyHeartbeat(peer, entry.time.Now())
	entry.versions.homes[ident.Entry(message.GetEntry())] = homeVersion{
		lowest: ident.Version(message.GetAgentsVersion()), agents: int(message.GetAgents()),
	}
	return peer.Incarnation
}

// Exchange receives the heartbeat of another entry.
func (entry *Entry) Exchange(_ context.Context, request *controlpb.ExchangeRequest) (*controlpb.ExchangeReply, error) {
	var reply *controlpb.ExchangeReply
	entry.control.Call(func() {
		now := entry.time.Now()
		senderIncarnation := entry.recordPeer(request.GetSender())
		reply = entry.workers.ApplyExchange(request, now)
		reply.SenderIncarnation = uint64(senderIncarnation)
		reply.Receiver = entry.ownStateFor(false, ident.Incarnation(request.GetReceiverIncarnation()))
		for _, state := range request.GetWorkers() {
			entry.updateWorker(ident.Worker(state.GetWorker()))
		}
		sender := ident.Entry(request.GetSender().GetEntry())
		entry.models.interference.Import(sender, request.GetPairs())
		entry.models.health.Import(sender, request.GetHealth(), request.GetPlatformFault(), now)
		for _, ended := range request.GetEnded() {
			entry.incarnationEndedElsewhere(ident.Worker(ended.GetWorker()), ident.Incarnation(ended.GetIncarnation()))
		}
		view := entry.configPublisher.Current()
		if version := ident.Version(request.GetSender().GetConfigVersion()); view.Version() > version {
			if delta, err := view.Delta(version); err == nil {
				reply.Config = delta
			}
		}
	})
	if reply == nil {
		return nil, errClosed{}
	}
	return reply, nil
}

// errClosed reports a call to an entry that has been closed.
type errClosed struct{}

// Error describes the state.
func (errClosed) Error() string { return "entry is closed" }
