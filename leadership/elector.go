// Package leadership runs an entry's part in the election: it observes the leader, takes over when
// there is none, and passes questions and sessions to whoever leads.
package leadership

import (
	"context"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/coordinator"
	"hyssopjunction/election"
	"hyssopjunction/session"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// Bounds of single calls.
const (
	// readTimeout bounds one reading of the election.
	readTimeout = clock.Second
	// takeOverTimeout bounds the transaction of a takeover; after it the rows are read again.
	takeOverTimeout = 2 * clock.Second
	// loadTimeout bounds the reading of all jobs.
	loadTimeout = 10 * clock.Second
	// askTimeout bounds a question to the leader. The store is asked after it.
	askTimeout = 700 * clock.Millisecond
	// releaseTimeout bounds the last write of a leader that stops.
	releaseTimeout = clock.Second
)

// Elector is an entry's part in the election. It is safe for concurrent use.
type Elector struct {
	need      coordinator.Dependencies
	candidate *election.Candidate
	address   string
	lease     clock.Millis
	end       context.CancelFunc
	done      sync.WaitGroup

	leader atomic.Pointer[election.Term]
	// renewed is when a new renewal of the leader was seen.
	renewed atomic.Int64
	leading atomic.Pointer[coordinator.Coordinator]

	mu     sync.Mutex
	peer   *session.Client
	peerAt string
}

// New starts taking part until Close. The node serves sessions at address.
func New(need coordinator.Dependencies, node, address string, lease clock.Millis) *Elector {
	ctx, end := context.WithCancel(context.Background())
	keeper := &Elector{
		need: need, candidate: election.NewCandidate(node, address), address: address, lease: lease, end: end,
	}
	keeper.done.Add(1)
	go func() {
		defer keeper.done.Done()
		for ctx.Err() == nil {
			won, ok := keeper.await(ctx)
			if !ok {
				continue
			}
			keeper.lead(ctx, won)
		}
	}()
	return keeper
}

// Close ends the part of the entry. A leader releases its term.
func (keeper *Elector) Close() {
	keeper.end()
	keeper.done.Wait()
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if keeper.peer != nil {
		_ = keeper.peer.Close()
		keeper.peer = nil
	}
}

// await observes the election once and returns a term if the entry won one.
func (keeper *Elector) await(ctx context.Context) (coordinator.Leadership, bool) {
	if !keeper.observe(ctx) {
		select {
		case <-keeper.need.Clock.After(election.Poll):
		case <-ctx.Done():
		}
		return coordinator.Leadership{}, false
	}
	tx, term, err := keeper.candidate.TakeOver()
	if err != nil {
		klog.ErrorS(err, "Cannot take over")
		return coordinator.Leadership{}, false
	}
	bounded, cancel := context.WithTimeout(ctx, takeOverTimeout.Duration())
	defer cancel()
	sent := keeper.need.Clock.Now()
	version, err := store.CommitUntilKnown(bounded, keeper.need.Store, keeper.need.Clock, tx)
	if err != nil {
		klog.InfoS("Takeover failed", "Term", term.Number, "Reason", err.Error())
		return coordinator.Leadership{}, false
	}
	keeper.leader.Store(&term)
	return coordinator.Leadership{Term: term, TermVersion: version, HeartbeatVersion: version, Sent: sent}, true
}

// observe reads the election and reports whether the entry may take over.
func (keeper *Elector) observe(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	rows, err := keeper.need.Store.List(bounded, election.Table(), "", "")
	if err != nil {
		keeper.candidate.Failed(keeper.need.Clock.Now())
		return false
	}
	reading, err := election.Parse(rows.Rows)
	if err != nil {
		klog.ErrorS(err, "Election cannot be read")
		return false
	}
	now := keeper.need.Clock.Now()
	may := keeper.candidate.Observe(reading, now)
	if keeper.candidate.Since() == now {
		keeper.renewed.Store(int64(now))
	}
	term := keeper.candidate.Leader()
	if previous := keeper.leader.Load(); previous == nil || previous.Number < term.Number {
		klog.InfoS("Leader observed", "Term", term.Number, "Holder", term.Holder, "Address", term.Address)
		keeper.leader.Store(&term)
	}
	return may
}

// lead serves a term until it is lost or ctx ends.
func (keeper *Elector) lead(ctx context.Context, won coordinator.Leadership) {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	leader, err := coordinator.Start(bounded, keeper.need, won, keeper.lease)
	cancel()
	if err != nil {
		klog.ErrorS(err, "Could not load the jobs", "Term", won.Term.Number)
		return
	}
	keeper.leading.Store(leader)
	select {
	case <-leader.Lost():
		keeper.leading.Store(nil)
		leader.Close()
	case <-ctx.Done():
		keeper.leading.Store(nil)
		release, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
		leader.Release(release)
		cancel()
	}
}

// Leading reports whether the entry leads.
func (keeper *Elector) Leading() bool { return keeper.leading.Load() != nil }

// Attend serves an agent's session, or tells the agent where the leader is.
func (keeper *Elector) Attend(stream session.Stream) error {
	if leader := keeper.leading.Load(); leader != nil {
		return leader.Attend(stream)
	}
	return stream.Send(&session.Orders{Redirect: keeper.elsewhere()})
}

// elsewhere returns the address of the leader if it is another entry.
func (keeper *Elector) elsewhere() string {
	term := keeper.leader.Load()
	if term == nil || term.Address == keeper.address || keeper.isOverdue() {
		return ""
	}
	return term.Address
}

// overdue is the time without a renewal after which agents are not sent to a leader: two renewals and a
// reading. They ask again then, and find the next leader as soon as it is known.
const overdue = 2*election.Renewal + election.Poll

func (keeper *Elector) isOverdue() bool {
	return keeper.need.Clock.Now().Sub(clock.Time(keeper.renewed.Load())) > overdue
}

// State serves another entry. Error: session.ErrNotLeading.
func (keeper *Elector) State(_ context.Context, request *session.StateRequest) (*session.StateReply, error) {
	leader := keeper.leading.Load()
	if leader == nil {
		return nil, session.ErrNotLeading{Leader: keeper.elsewhere()}
	}
	state, known := leader.State(request.ID)
	return &session.StateReply{Known: known, State: state}, nil
}

// Pending serves another entry. Error: session.ErrNotLeading.
func (keeper *Elector) Pending(_ context.Context, request *session.PendingRequest) (*session.PendingReply, error) {
	leader := keeper.leading.Load()
	if leader == nil {
		return nil, session.ErrNotLeading{Leader: keeper.elsewhere()}
	}
	count, ok := leader.Pending(request.Queue)
	if !ok {
		return nil, session.ErrNotLeading{Leader: keeper.elsewhere()}
	}
	return &session.PendingReply{Count: count}, nil
}

// Leader serves other daemons.
func (keeper *Elector) Leader(context.Context, *session.LeaderRequest) (*session.LeaderReply, error) {
	term := keeper.leader.Load()
	if term == nil || !keeper.Leading() && keeper.isOverdue() {
		return &session.LeaderReply{}, nil
	}
	return &session.LeaderReply{Term: term.Number, Address: term.Address}, nil
}

// LeaderQueries asks whoever leads. It implements what package intake needs.
type LeaderQueries struct {
	keeper *Elector
}

// Queries returns the way to the leader for this entry's callers.
func (keeper *Elector) Queries() LeaderQueries { return LeaderQueries{keeper: keeper} }

// State returns the state of a job and whether the leader has it.
func (questions LeaderQueries) State(ctx context.Context, id workflow.ID) (workflow.State, bool, error) {
	reply, err := ask(ctx, questions.keeper, &session.StateRequest{ID: id}, (*Elector).State, (*session.Client).State)
	if err != nil {
		return "", false, err
	}
	return reply.State, reply.Known, nil
}

// Pending returns the number of jobs of a queue that have not started.
func (questions LeaderQueries) Pending(ctx context.Context, queue workflow.Queue) (int, error) {
	reply, err := ask(ctx, questions.keeper, &session.PendingRequest{Queue: queue}, (*Elector).Pending, (*session.Client).Pending)
	if err != nil {
		return 0, err
	}
	return reply.Count, nil
}

// ask puts a question to this entry if it leads, and otherwise to the leader.
func ask[Request, Reply any](ctx context.Context, keeper *Elector, request *Request,
	local func(*Elector, context.Context, *Request) (*Reply, error),
	remote func(*session.Client, context.Context, *Request) (*Reply, error),
) (*Reply, error) {
	if keeper.Leading() {
		return local(keeper, ctx, request)
	}
	peer, err := keeper.connect()
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	reply, err := remote(peer, bounded, request)
	if err != nil && !session.IsErrNotLeading(err) {
		keeper.disconnect(peer)
	}
	return reply, err
}

// connect returns a connection to the leader. Error: session.ErrNotLeading if there is none.
func (keeper *Elector) connect() (*session.Client, error) {
	address := keeper.elsewhere()
	if address == "" {
		return nil, session.ErrNotLeading{}
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if keeper.peer != nil && keeper.peerAt == address {
		return keeper.peer, nil
	}
	peer, err := session.Dial(address)
	if err != nil {
		return nil, err
	}
	if keeper.peer != nil {
		_ = keeper.peer.Close()
	}
	keeper.peer, keeper.peerAt = peer, address
	return peer, nil
}

// disconnect drops a connection that failed, because it may have gone silent.
func (keeper *Elector) disconnect(failed *session.Client) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if keeper.peer == failed {
		_ = keeper.peer.Close()
		keeper.peer = nil
	}
}
