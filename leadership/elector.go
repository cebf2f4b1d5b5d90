// Package leadership takes part in the election of the leader for an entry: it observes the present leader,
// takes over when there is none, and forwards queries and agents to the leader.
package leadership

import (
	"context"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/coordinator"
	"hyssopjunction/election"
	"hyssopjunction/session"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// Timeouts of single calls.
const (
	// readTimeout limits one read of the election's rows.
	readTimeout = clock.Second
	// takeOverTimeout limits the transaction of a takeover. After a timeout the rows are read again.
	takeOverTimeout = 2 * clock.Second
	// loadTimeout limits the time in which a new leader loads all jobs. It renews its term meanwhile.
	loadTimeout = 20 * clock.Second
	// queryTimeout limits a query to the leader. After a timeout the caller can read the store.
	queryTimeout = 700 * clock.Millisecond
	// releaseTimeout limits the last write of a leader that stops.
	releaseTimeout = clock.Second
)

// Elector takes part in the election for an entry. While the entry leads, it runs a coordinator. It is safe
// for concurrent use.
type Elector struct {
	deps        coordinator.Dependencies
	candidate   *election.Candidate
	address     string
	workerLease clock.Millis
	// cancelCampaign ends the part in the election, on the goroutine campaigning; cancel ends everything else.
	cancelCampaign context.CancelFunc
	campaigning    sync.WaitGroup
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	// released reports that the entry takes no part in the election any more.
	released   atomic.Bool
	workerEnds workerEnds

	// observedTerm is the newest term that was read or won, or nil before the first.
	observedTerm atomic.Pointer[election.Term]
	// renewalSeenAt is when the last renewal of the leader's lease was first read, a clock.Time.
	renewalSeenAt atomic.Int64
	// backlog is which jobs the observed leader takes no more of, or nil before the first reading.
	backlog atomic.Pointer[backlog.Refusal]
	// coordinator is nil unless this entry leads.
	coordinator atomic.Pointer[coordinator.Coordinator]

	// leaderClient is the connection to another entry that leads, or nil. It is guarded by mu.
	mu                  sync.Mutex
	leaderClient        *session.Client
	leaderClientAddress string
}

// New starts an elector for the node, which serves sessions at address. It runs until Close. workerLease is
// the lease that the coordinator grants to workers.
func New(deps coordinator.Dependencies, node, address string, workerLease clock.Millis) *Elector {
	if deps.Faults == nil {
		deps.Faults = coordinator.NewFaults(deps.Clock)
	}
	ctx, cancel := context.WithCancel(context.Background())
	campaignCtx, cancelCampaign := context.WithCancel(ctx)
	elector := &Elector{
		deps: deps, candidate: election.NewCandidate(node, address), address: address, workerLease: workerLease,
		cancel: cancel, cancelCampaign: cancelCampaign, workerEnds: workerEnds{kept: map[string]*session.WorkerEnd{}},
	}
	elector.campaigning.Go(func() {
		for campaignCtx.Err() == nil {
			leadership, ok := elector.campaign(campaignCtx)
			if !ok {
				continue
			}
			elector.lead(campaignCtx, leadership)
		}
	})
	elector.goroutines.Go(func() { elector.deliverWorkerEnds(ctx) })
	return elector
}

// Release ends the part in the election. If the entry leads, it releases its term. The entry still passes reports of
// workers' ends on to the next leader.
func (elector *Elector) Release() {
	elector.cancelCampaign()
	elector.campaigning.Wait()
	elector.released.Store(true)
}

// Close releases the elector and stops it.
func (elector *Elector) Close() {
	elector.Release()
	elector.cancel()
	elector.goroutines.Wait()
	for _, end := range elector.workerEnds.list() {
		klog.InfoS("End of a worker is given up", "Node", end.Node, "Worker", end.Incarnation)
	}
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.leaderClient != nil {
		_ = elector.leaderClient.Close()
		elector.leaderClient = nil
	}
}

// campaign reads the election once and tries to take over if it may. It returns the term if the entry won one.
func (elector *Elector) campaign(ctx context.Context) (coordinator.Leadership, bool) {
	if !elector.observe(ctx) {
		select {
		case <-elector.deps.Clock.After(election.PollInterval):
		case <-ctx.Done():
		}
		return coordinator.Leadership{}, false
	}
	sent := elector.deps.Clock.Now()
	inherited := elector.candidate.InheritedGrants()
	tx, term, err := elector.candidate.TakeOver(sent)
	if err != nil {
		klog.ErrorS(err, "Cannot take over")
		return coordinator.Leadership{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, takeOverTimeout.Duration())
	defer cancel()
	version, err := store.CommitUntilKnown(callCtx, elector.deps.Store, elector.deps.Clock, tx)
	if err != nil {
		klog.InfoS("Takeover failed", "Term", term.Number, "Reason", err.Error())
		return coordinator.Leadership{}, false
	}
	elector.observedTerm.Store(&term)
	return coordinator.Leadership{Term: term, TermVersion: version, HeartbeatVersion: version, Sent: sent, Inherited: inherited}, true
}

// observe reads the rows of the election and reports whether the entry may take over.
func (elector *Elector) observe(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	rows, err := elector.deps.Store.List(callCtx, election.Table(), "", "")
	if err != nil {
		elector.candidate.ReadFailed(elector.deps.Clock.Now())
		return false
	}
	reading, err := election.Parse(rows.Rows)
	if err != nil {
		klog.ErrorS(err, "Could not decode the rows of the election")
		return false
	}
	now := elector.deps.Clock.Now()
	canTakeOver := elector.candidate.Observe(reading, now)
	if elector.candidate.RenewalSeenAt() == now {
		elector.renewalSeenAt.Store(int64(now))
	}
	refusal := elector.candidate.Backlog()
	elector.backlog.Store(&refusal)
	term := elector.candidate.LastTerm()
	if previous := elector.observedTerm.Load(); previous == nil || previous.Number < term.Number {
		klog.InfoS("Leader observed", "Term", term.Number, "Holder", term.Holder, "Address", term.Address)
		elector.observedTerm.Store(&term)
	}
	return canTakeOver
}

// lead runs a coordinator until its term is lost or ctx ends.
func (elector *Elector) lead(ctx context.Context, leadership coordinator.Leadership) {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	coord, err := coordinator.Start(loadCtx, elector.deps, leadership, elector.workerLease)
	cancel()
	if err != nil {
		klog.ErrorS(err, "Could not load the jobs", "Term", leadership.Term.Number)
		return
	}
	elector.coordinator.Store(coord)
	select {
	case <-coord.Lost():
		elector.coordinator.Store(nil)
		coord.Close()
	case <-ctx.Done():
		elector.coordinator.Store(nil)
		releaseCtx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
		coord.Release(releaseCtx)
		cancel()
	}
}

// Leading reports whether the entry leads.
func (elector *Elector) Leading() bool { return elector.coordinator.Load() != nil }

// Attend serves an agent's session if this entry leads, and otherwise redirects the agent to the leader.
func (elector *Elector) Attend(stream session.Stream) error {
	if coord := elector.coordinator.Load(); coord != nil {
		return coord.Attend(stream)
	}
	return stream.Send(&session.Orders{Redirect: elector.otherLeader()})
}

// otherLeader returns the address of the leader, or "" if it is this entry or not known to be alive.
func (elector *Elector) otherLeader() string {
	term := elector.observedTerm.Load()
	if term == nil || term.Address == elector.address || elector.isLeaderStale() {
		return ""
	}
	return term.Address
}

// leaderStaleAfter is the time without a renewal after which agents are no longer redirected to a leader: two
// renewal intervals and one PollInterval. They keep asking instead, and so find the next leader once it is known.
const leaderStaleAfter = 2*election.RenewalInterval + election.PollInterval

func (elector *Elector) isLeaderStale() bool {
	return elector.deps.Clock.Now().Sub(clock.Time(elector.renewalSeenAt.Load())) > leaderStaleAfter
}

// State serves a query of another entry for the state of a job. Error: session.ErrNotLeading.
func (elector *Elector) State(_ context.Context, request *session.StateRequest) (*session.StateReply, error) {
	coord := elector.coordinator.Load()
	if coord == nil {
		return nil, session.ErrNotLeading{Leader: elector.otherLeader()}
	}
	state, ok := coord.State(request.ID)
	return &session.StateReply{Known: ok, State: state}, nil
}

// Pending serves a query of another entry for the number of jobs that have not started. Error:
// session.ErrNotLeading.
func (elector *Elector) Pending(_ context.Context, request *session.PendingRequest) (*session.PendingReply, error) {
	coord := elector.coordinator.Load()
	if coord == nil {
		return nil, session.ErrNotLeading{Leader: elector.otherLeader()}
	}
	count, ok := coord.Pending(request.Queue)
	if !ok {
		return nil, session.ErrNotLeading{Leader: elector.otherLeader()}
	}
	return &session.PendingReply{Count: count}, nil
}

// ExplainJob serves a query for the explanation of a job's state. Error: session.ErrNotLeading.
func (elector *Elector) ExplainJob(_ context.Context, request *session.ExplainRequest) (*session.ExplainReply, error) {
	coord := elector.coordinator.Load()
	if coord == nil {
		return nil, session.ErrNotLeading{Leader: elector.otherLeader()}
	}
	reply, ok := coord.Explain(request.ID)
	if !ok {
		return nil, session.ErrNotLeading{Leader: elector.otherLeader()}
	}
	return reply, nil
}

// Leader serves queries of other daemons for the leader. The reply is empty if none is known to be alive.
func (elector *Elector) Leader(context.Context, *session.LeaderRequest) (*session.LeaderReply, error) {
	term := elector.observedTerm.Load()
	if term == nil || !elector.Leading() && elector.isLeaderStale() {
		return &session.LeaderReply{}, nil
	}
	return &session.LeaderReply{Term: term.Number, Address: term.Address}, nil
}

// LeaderQueries sends queries to the leader, which may be this entry. It implements intake.Leader.
type LeaderQueries struct {
	elector *Elector
}

// Queries returns the interface through which the entry's intake queries the leader.
func (elector *Elector) Queries() LeaderQueries { return LeaderQueries{elector: elector} }

// State returns the state of a job, or false if the leader does not have the job.
func (queries LeaderQueries) State(ctx context.Context, id workflow.ID) (workflow.State, bool, error) {
	reply, err := query(ctx, queries.elector, &session.StateRequest{ID: id}, (*Elector).State, (*session.Client).State)
	if err != nil {
		return "", false, err
	}
	return reply.State, reply.Known, nil
}

// Pending returns the number of jobs of a queue that have not started.
func (queries LeaderQueries) Pending(ctx context.Context, queue workflow.Queue) (int, error) {
	reply, err := query(ctx, queries.elector, &session.PendingRequest{Queue: queue}, (*Elector).Pending, (*session.Client).Pending)
	if err != nil {
		return 0, err
	}
	return reply.Count, nil
}

// Backlog returns which jobs the leader takes no more of, as far as this entry knows.
func (queries LeaderQueries) Backlog() backlog.Refusal {
	if coord := queries.elector.coordinator.Load(); coord != nil {
		return coord.Refusal()
	}
	if refusal := queries.elector.backlog.Load(); refusal != nil && !queries.elector.isLeaderStale() {
		return *refusal
	}
	return backlog.Refusal{}
}

// query calls local if this entry leads, and otherwise remote with a connection to the leader.
func query[Request, Reply any](ctx context.Context, elector *Elector, request *Request,
	local func(*Elector, context.Context, *Request) (*Reply, error),
	remote func(*session.Client, context.Context, *Request) (*Reply, error),
) (*Reply, error) {
	if elector.Leading() {
		return local(elector, ctx, request)
	}
	client, err := elector.connect()
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancel()
	reply, err := remote(client, callCtx, request)
	if err != nil && !session.IsErrNotLeading(err) {
		elector.disconnect(client)
	}
	return reply, err
}

// connect returns a connection to the leader. Error: session.ErrNotLeading if no other entry is known to lead.
func (elector *Elector) connect() (*session.Client, error) {
	address := elector.otherLeader()
	if address == "" {
		return nil, session.ErrNotLeading{}
	}
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.leaderClient != nil && elector.leaderClientAddress == address {
		return elector.leaderClient, nil
	}
	client, err := session.Dial(address)
	if err != nil {
		return nil, err
	}
	if elector.leaderClient != nil {
		_ = elector.leaderClient.Close()
	}
	elector.leaderClient, elector.leaderClientAddress = client, address
	return client, nil
}

// disconnect closes a connection after a failed call, because it may have become a silent connection.
func (elector *Elector) disconnect(failed *session.Client) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.leaderClient == failed {
		_ = elector.leaderClient.Close()
		elector.leaderClient = nil
	}
}
