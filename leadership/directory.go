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

// seekTimeout bounds the asking of all seeds. Entries answer within 10 ms; those that are gone do not.
const seekTimeout = 400 * clock.Millisecond

// storeTurn is how often the store is asked instead of the seeds: every fourth time, because seeds may be stale.
const storeTurn = 4

// Directory finds the leader for an agent: by the redirections of entries, by the seeds of the
// settings, and by the store if no seed answers.
type Directory struct {
	store store.Store
	seeds atomic.Pointer[[]string]
	tries int
}

// NewDirectory returns a directory. Seeds are the session addresses of machines that may run entries.
func NewDirectory(service store.Store, seeds []string) *Directory {
	directory := &Directory{store: service}
	directory.SetSeeds(seeds)
	return directory
}

// SetSeeds replaces the seeds.
func (directory *Directory) SetSeeds(seeds []string) { directory.seeds.Store(&seeds) }

// Next returns the address to try next. Errors: ErrNoLeader, or that of the store. It is not safe for
// concurrent use.
func (directory *Directory) Next(ctx context.Context, redirect string) (string, error) {
	if redirect != "" {
		return redirect, nil
	}
	directory.tries++
	if directory.tries%storeTurn != 0 {
		if address, ok := directory.Later(ctx, 0); ok {
			return address, nil
		}
		return "", ErrNoLeader{}
	}
	return directory.stored(ctx)
}

// stored reads the address of the leader from the store.
func (directory *Directory) stored(ctx context.Context) (string, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	rows, err := directory.store.List(bounded, election.Table(), "", "")
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

// Later asks all seeds at the same time for the leader of a later term than the given one.
func (directory *Directory) Later(ctx context.Context, term int64) (string, bool) {
	bounded, cancel := context.WithTimeout(ctx, seekTimeout.Duration())
	defer cancel()
	seeds := *directory.seeds.Load()
	replies := make(chan session.LeaderReply, len(seeds))
	for _, seed := range seeds {
		go func() {
			reply, err := askLeader(bounded, seed)
			if err != nil {
				klog.V(1).InfoS("Entry not asked for the leader", "Address", seed, "Reason", err.Error())
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

func askLeader(ctx context.Context, address string) (session.LeaderReply, error) {
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

// ErrNoLeader reports that no leader is known.
type ErrNoLeader struct{}

// Error describes the state.
func (ErrNoLeader) Error() string { return "no leader is known" }
