// Package coordinator runs the leader of a cluster: it loads the jobs from the store, keeps sessions
// with all agents, schedules, and stores every decision before it has an effect.
package coordinator

import (
	"context"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/ident"
	"hyssopjunction/intake"
	"hyssopjunction/loop"
	"hyssopjunction/scheduler"
	"hyssopjunction/set"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// Times of the control loop.
const (
	// tick bounds the age of what the periodic checks see.
	tick = 100 * clock.Millisecond
	// countInterval is how often the tasks that wait are logged.
	countInterval = 2 * clock.Second
	// roundGap separates the transactions of the leader, so that a busy second takes at most 40 of the
	// 200 transactions that one partition of the store applies.
	roundGap = 25 * clock.Millisecond
	// entriesPerTx is what a transaction may hold: conditions, puts and removals together.
	entriesPerTx = 100
	// entriesPerJob is what a job adds: a condition and a put.
	entriesPerJob = 2
	// bytesPerTx stays below the 1 MB that a transaction may hold in the store's encoding.
	bytesPerTx = 500_000
)

// Dependencies are what a Coordinator uses.
type Dependencies struct {
	Store store.Store
	Clock clock.Clock
	// TimeOfDay returns Unix milliseconds, for scheduled jobs.
	TimeOfDay func() int64
	// Out returns the data centres that get no new tasks, and false while that is not known.
	Out func() (set.Set[ident.DataCentre], bool)
	// Retention is how long what is known of jobs that ended is kept.
	Retention Retention
}

// Leadership is a term that was won.
type Leadership struct {
	Term             election.Term
	TermVersion      store.Version
	HeartbeatVersion store.Version
	// Sent is when the transaction that won the term was sent.
	Sent clock.Time
}

// Coordinator is the leader for one term. Create it with Start.
type Coordinator struct {
	need  Dependencies
	won   Leadership
	lease clock.Millis
	loop  *loop.Loop
	base  context.Context
	end   context.CancelFunc
	lost  chan struct{}
	over  sync.Once
	tasks sync.WaitGroup

	counters counters

	// validUntil is the end of the leader's lease.
	validUntil atomic.Int64

	// The rest belongs to the control loop.
	book     *scheduler.Scheduler
	sessions map[string]*attached
	// granted is when a worker's lease was last granted, by node.
	granted map[string]grant
	rows    map[workflow.ID]store.Version
	// inbox holds the versions of the rows of jobs that are not archived.
	inbox map[workflow.ID]intake.Versions
	// endedAt is when the end of a job was stored.
	endedAt map[workflow.ID]clock.Time
	// dropped are jobs that are archived, in the order in which they were.
	dropped    []archived
	archiving  bool
	archivedAt clock.Time
	// roundTook is how long the last round of writes took.
	roundTook clock.Millis
	beat      election.Heartbeat
	// beatVersion is the version of the beat row.
	beatVersion store.Version
	// lessonVersion is the version of the row of lessons, stored last at lessonAt.
	lessonVersion store.Version
	lessonAt      clock.Time
	writing       bool
	renewedAt     clock.Time
	wroteAt       clock.Time
	// waiting holds what may be done once the state in the book is stored.
	waiting []func()
	started clock.Time
	out     set.Set[ident.DataCentre]
	// countedAt is when waiting tasks were last counted.
	countedAt clock.Time

	shownMu sync.Mutex
	shown   map[workflow.ID]workflow.State
}

// grant remembers the last lease of a node's worker.
type grant struct {
	incarnation scheduler.Incarnation
	at          clock.Time
	lapsed      bool
}

// Start loads the state of the cluster and returns its leader. The lease is the longest that workers
// keep tasks without being renewed. It fails if the store cannot be read before ctx ends.
func Start(ctx context.Context, need Dependencies, won Leadership, lease clock.Millis) (*Coordinator, error) {
	base, end := context.WithCancel(context.Background())
	leader := &Coordinator{
		need: need, won: won, lease: lease, loop: loop.New(), base: base, end: end, lost: make(chan struct{}),
		book: scheduler.New(), sessions: map[string]*attached{}, granted: map[string]grant{},
		rows: map[workflow.ID]store.Version{}, inbox: map[workflow.ID]intake.Versions{}, endedAt: map[workflow.ID]clock.Time{}, beat: election.Heartbeat{Term: won.Term.Number}, beatVersion: won.HeartbeatVersion,
		counters: newCounters(), renewedAt: won.Sent, started: need.Clock.Now(), shown: map[workflow.ID]workflow.State{},
	}
	leader.validUntil.Store(int64(won.Sent.Add(election.Lease)))
	version, err := leader.load(ctx)
	if err != nil {
		end()
		leader.loop.Close()
		return nil, err
	}
	leader.background(func() { leader.follow(version) })
	leader.background(func() {
		leader.remember()
		leader.sweep()
	})
	leader.background(func() {
		for {
			select {
			case <-leader.need.Clock.After(tick):
				leader.post(leader.periodic)
			case <-base.Done():
				return
			}
		}
	})
	leader.counters.terms.Inc()
	klog.InfoS("Leading", "Term", won.Term.Number, "Jobs", len(leader.rows), "LoadMillis", int64(need.Clock.Now().Sub(leader.started)))
	return leader, nil
}

// background runs work until Close waits for it.
func (leader *Coordinator) background(work func()) {
	leader.tasks.Add(1)
	go func() {
		defer leader.tasks.Done()
		work()
	}()
}

// post runs event on the control loop and then acts on what changed.
func (leader *Coordinator) post(event func()) {
	leader.loop.Post(func() {
		event()
		leader.pump()
	})
}

// Lost is closed when another entry leads.
func (leader *Coordinator) Lost() <-chan struct{} { return leader.lost }

// Close ends the term without a word to the store.
func (leader *Coordinator) Close() {
	leader.end()
	leader.loop.Close()
	leader.tasks.Wait()
}

// Release ends the term and tells the other entries, so that one takes over at once.
func (leader *Coordinator) Release(ctx context.Context) {
	// Once the loop is closed nothing grants a lease any more.
	leader.Close()
	beat := leader.beat
	beat.Count++
	beat.Released = true
	tx, err := leader.renewal(beat)
	if err == nil {
		_, err = leader.need.Store.Commit(ctx, tx)
	}
	if err != nil {
		klog.ErrorS(err, "Could not release the leadership; others take over when its lease ends", "Term", leader.won.Term.Number)
		return
	}
	klog.InfoS("Released the leadership", "Term", leader.won.Term.Number)
}

// stepDown ends the term because another entry leads or the store holds what this one did not write.
func (leader *Coordinator) stepDown(reason string) {
	leader.over.Do(func() {
		klog.InfoS("Leadership lost", "Term", leader.won.Term.Number, "Reason", reason)
		close(leader.lost)
		leader.end()
	})
}

// mayGrant reports whether leases may still be granted: within the own lease, and for a while after
// it if the store could not be reached, which every successor allows for.
func (leader *Coordinator) mayGrant() bool {
	if leader.base.Err() != nil {
		return false
	}
	until := clock.Time(leader.validUntil.Load()).Add(election.Extension)
	return leader.need.Clock.Now().Before(until)
}

// periodic judges what depends on the time alone.
func (leader *Coordinator) periodic() {
	now := leader.need.Clock.Now()
	if now.Sub(leader.countedAt) >= countInterval {
		leader.countedAt = now
		if waiting := leader.book.Waiting(now); waiting != (scheduler.Waiting{}) {
			klog.InfoS("Tasks wait", "Quick", waiting.Quick, "Standing", waiting.Standing, "Filling", waiting.Filling, "Late", waiting.Late)
		}
	}
	leader.archive(now)
	for node, last := range leader.granted {
		if last.lapsed || now.Sub(last.at) <= election.WorkerTerm(leader.lease) {
			continue
		}
		klog.InfoS("Worker lapsed", "Node", node, "Worker", last.incarnation, "SilentMillis", int64(now.Sub(last.at)))
		last.lapsed = true
		leader.granted[node] = last
		leader.book.Lapsed(last.incarnation)
	}
	if now.Sub(leader.started) > election.InheritedLeaseWait(leader.lease) {
		for _, incarnation := range leader.book.Orphans() {
			klog.InfoS("Worker never returned", "Worker", incarnation, "Term", leader.won.Term.Number)
			leader.book.Lost(incarnation)
		}
	}
}

// heed takes the data centres that are out and reports whether they are known. Nothing is placed before
// they are.
func (leader *Coordinator) heed() bool {
	out, known := leader.need.Out()
	if known && !equal(out, leader.out) {
		klog.InfoS("Data centres out", "DataCentres", set.Sorted(out))
		leader.out = out
		leader.book.SetOut(out)
	}
	return known
}

func equal(left, right set.Set[ident.DataCentre]) bool {
	if left.Len() != right.Len() {
		return false
	}
	for name := range left {
		if !right.Has(name) {
			return false
		}
	}
	return true
}

// State returns the stored state of a job and whether the leader has the job.
func (leader *Coordinator) State(id workflow.ID) (workflow.State, bool) {
	leader.shownMu.Lock()
	defer leader.shownMu.Unlock()
	state, ok := leader.shown[id]
	return state, ok
}

// Pending returns the number of jobs of a queue that have not started, and false if the term ended.
func (leader *Coordinator) Pending(queue workflow.Queue) (int, bool) {
	count := 0
	ok := leader.loop.Call(func() { count = leader.book.Pending(queue) })
	return count, ok
}

func (leader *Coordinator) show(id workflow.ID, state workflow.State) {
	leader.shownMu.Lock()
	defer leader.shownMu.Unlock()
	leader.shown[id] = state
}
