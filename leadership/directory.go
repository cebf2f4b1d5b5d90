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
	// attempts counts the searches for a leader, except redirections.
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
		if address, ok := directory.querySeeds(ctx, 0); ok {
			return address, nil
		}
		return "", ErrNoLeader{}
	}
	term, err := directory.readStore(ctx)
	return term.Address, err
}

// readStore reads the term of the leader from the store. Errors: ErrNoLeader, or the error of the store.
func (directory *Directory) readStore(ctx context.Context) (election.Term, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	rows, err := directory.store.List(callCtx, election.Table(), "", "")
	if err != nil {
		return election.Term{}, err
	}
	reading, err := election.Parse(rows.Rows)
	if err != nil {
		return election.Term{}, err
	}
	if reading.Term.Address == "" {
		return election.Term{}, ErrNoLeader{}
	}
	return reading.Term, nil
}

// LeaderAfter queries all seeds and, at every fourth attempt, the store, because the list of seeds may be outdated. It
// returns the address of the leader of a term after the given one, or false if there is none.
func (directory *Directory) LeaderAfter(ctx context.Context, term int64) (string, bool) {
	if address, ok := directory.querySeeds(ctx, term); ok {
		return address, true
	}
	if directory.attempts.Add(1)%attemptsPerStoreRead != 0 {
		return "", false
	}
	latest, err := directory.readStore(ctx)
	if err != nil {
		klog.V(1).InfoS("Could not read the leader from the store", "Reason", err.Error())
	}
	return latest.Address, err == nil && latest.Number > term
}

// querySeeds queries all seeds concurrently and returns the address of the leader of a term after the given one, or
// false if no seed reports such a term.
func (directory *Directory) querySeeds(ctx context.Context, term int64) (string, bool) {
	callCtx, cancel := context.WithTimeout(ctx, seedsTimeout.Duration())
	defer cancel()
	seeds := *directory.seeds.Load()
	replies := askAll(callCtx, seeds, (*session.Client).Leader)
	for range seeds {
		if reply := <-replies; reply != nil && reply.Term > term && reply.Address != "" {
			return reply.Address, true
		}
	}
	return "", false
}

// EndWorker reports the end of a worker to the leader at the given address, if it is known, and to all seeds if that
// leader does not store it. It reports whether a leader has stored it. Error: ErrNotKept if no entry keeps the report.
func (directory *Directory) EndWorker(ctx context.Context, leader string, end *session.WorkerEnd) (bool, error) {
	call := func(client *session.Client, ctx context.Context) (*session.WorkerEndReply, error) {
		return client.EndWorker(ctx, end)
	}
	kept, stored := false, false
	for _, addresses := range [][]string{{leader}, *directory.seeds.Load()} {
		callCtx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
		replies := askAll(callCtx, addresses, call)
		for range addresses {
			if reply := <-replies; reply != nil {
				kept, stored = true, stored || reply.Stored
			}
		}
		cancel()
		if stored {
			return true, nil
		}
	}
	if !kept {
		return false, ErrNotKept{}
	}
	return false, nil
}

// askAll makes a call to all entries at the addresses concurrently. The channel gets one reply for each of them, nil
// after an error or for an empty address.
func askAll[Reply any](ctx context.Context, addresses []string, call func(*session.Client, context.Context) (*Reply, error)) <-chan *Reply {
	replies := make(chan *Reply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := ask(ctx, address, call)
			if err != nil {
				klog.V(1).InfoS("Could not call an entry", "Address", address, "Reason", err.Error())
				reply = nil
			}
			replies <- reply
		}()
	}
	return replies
}

// ask makes a call to the entry at the address over a connection of its own. It does nothing for an empty address.
func ask[Reply any](ctx context.Context, address string, call func(*session.Client, context.Context) (*Reply, error)) (*Reply, error) {
	if address == "" {
		return nil, nil
	}
	client, err := session.Dial(address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	return call(client, ctx)
}

// ErrNotKept reports that no entry has taken the report of a worker's end.
type ErrNotKept struct{}

// Error returns the message.
func (ErrNotKept) Error() string { return "no entry keeps the end of the worker" }

// ErrNoLeader reports that no leader could be found.
type ErrNoLeader struct{}

// Error returns the message.
func (ErrNoLeader) Error() string { return "no leader is known" }
