package leadership

import (
	"context"
	"sync/atomic"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/session"
	"hyssopjunction/store"
)

// seedsTimeout limits the concurrent queries to all seeds. Running entries answer within 10 ms; a machine that
// is gone does not answer.
const seedsTimeout = 400 * clock.Millisecond

// attemptsPerStoreRead is the number of attempts of which the last one reads the store instead of querying the
// seeds, because the list of seeds may be outdated.
const attemptsPerStoreRead = 4

// Directory finds the leader for an agent: from redirections by entries, from the seeds of the settings, and
// from the store at every fourth attempt.
type Directory struct {
	store store.Store
	seeds atomic.Pointer[[]string]
	// attempts counts the calls of NextEntry without a redirection.
	attempts atomic.Int64
}

// NewDirectory returns a directory. Seeds are the session addresses (host:port) of machines that may run
// entries.
func NewDirectory(leaderStore store.Store, seeds []string) *Directory {
	directory := &Directory{store: leaderStore}
	directory.SetSeeds(seeds)
	return directory
}

// SetSeeds replaces the seeds.
func (directory *Directory) SetSeeds(seeds []string) { directory.seeds.Store(&seeds) }

// NextEntry returns the address to connect to next: redirect if it is not empty, and otherwise the address of the
// leader. Errors: ErrNoLeader, or the error of the store. It is not safe for concurrent use.
func (directory *Directory) NextEntry(ctx context.Context, redirect string) (string, error) {
	if redirect != "" {
		return redirect, nil
	}
	if directory.attempts.Add(1)%attemptsPerStoreRead != 0 {
		if address, ok := directory.LeaderAfter(ctx, 0); ok {
			return address, nil
		}
		return "", ErrNoLeader{}
	}
	return directory.readStore(ctx)
}

// readStore reads the address of the leader from the store.
func (directory *Directory) readStore(ctx context.Context) (string, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	rows, err := directory.store.List(callCtx, election.Table(), "", "")
	if err != nil {
		return "", err
	}
	reading, err := election.Parse(rows.Rows)
	if err != nil {
		return "", err
	}
	if reading.Term.Address == "" {
		return "", ErrNoLeader{}
	}
	return reading.Term.Address, nil
}

// LeaderAfter queries all seeds concurrently and returns the address of the leader of a term after the given one,
// or false if no seed reports such a term.
func (directory *Directory) LeaderAfter(ctx context.Context, term int64) (string, bool) {
	callCtx, cancel := context.WithTimeout(ctx, seedsTimeout.Duration())
	defer cancel()
	seeds := *directory.seeds.Load()
	replies := make(chan session.LeaderReply, len(seeds))
	for _, seed := range seeds {
		go func() {
			reply, err := queryLeader(callCtx, seed)
			if err != nil {
				klog.V(1).InfoS("Could not query an entry for the leader", "Address", seed, "Reason", err.Error())
			}
			replies <- reply
		}()
	}
	for range seeds {
		if reply := <-replies; reply.Term > term && reply.Address != "" {
			return reply.Address, true
		}
	}
	return "", false
}

// EndWorker reports the end of a worker to the leader at the given address, if it is known, and to all seeds if that
// leader does not store it. It reports whether a leader has stored it. Error: ErrNotKept if no entry keeps the report.
func (directory *Directory) EndWorker(ctx context.Context, leader string, end *session.WorkerEnd) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancel()
	kept := false
	if leader != "" {
		reply, err := endWorker(callCtx, leader, end)
		if err == nil && reply.Stored {
			return true, nil
		}
		kept = err == nil
	}
	seedsCtx, cancelSeeds := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancelSeeds()
	seeds := *directory.seeds.Load()
	replies := make(chan *session.WorkerEndReply, len(seeds))
	for _, seed := range seeds {
		go func() {
			reply, err := endWorker(seedsCtx, seed, end)
			if err != nil {
				klog.V(1).InfoS("Could not report the end of the worker", "Address", seed, "Reason", err.Error())
			}
			replies <- reply
		}()
	}
	stored := false
	for range seeds {
		if reply := <-replies; reply != nil {
			kept, stored = true, stored || reply.Stored
		}
	}
	if !kept {
		return false, ErrNotKept{}
	}
	return stored, nil
}

// endWorker reports the end of a worker to the entry at the address.
func endWorker(ctx context.Context, address string, end *session.WorkerEnd) (*session.WorkerEndReply, error) {
	client, err := session.Dial(address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	return client.EndWorker(ctx, end)
}

// ErrNotKept reports that no entry has taken the report of a worker's end.
type ErrNotKept struct{}

// Error returns the message.
func (ErrNotKept) Error() string { return "no entry keeps the end of the worker" }

// queryLeader asks the entry at the address for the leader of the newest term that it has seen.
func queryLeader(ctx context.Context, address string) (session.LeaderReply, error) {
	client, err := session.Dial(address)
	if err != nil {
		return session.LeaderReply{}, err
	}
	defer func() { _ = client.Close() }()
	reply, err := client.Leader(ctx)
	if err != nil {
		return session.LeaderReply{}, err
	}
	return *reply, nil
}

// ErrNoLeader reports that no leader could be found.
type ErrNoLeader struct{}

// Error returns the message.
func (ErrNoLeader) Error() string { return "no leader is known" }
