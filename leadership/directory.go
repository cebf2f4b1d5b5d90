package leadership

import (
	"context"
	"sync/atomic"

	"hyssopjunction/election"
	"hyssopjunction/store"
)

// Directory finds the leader for an agent: by the redirections of entries, by the seeds of the
// settings, and by the store if no seed answers.
type Directory struct {
	store store.Store
	seeds atomic.Pointer[[]string]
	next  int
}

// NewDirectory returns a directory. Seeds are the session addresses of machines that may run entries.
func NewDirectory(service store.Store, seeds []string) *Directory {
	directory := &Directory{store: service}
	directory.SetSeeds(seeds)
	return directory
}

// SetSeeds replaces the seeds.
func (directory *Directory) SetSeeds(seeds []string) { directory.seeds.Store(&seeds) }

// Next returns the address to try next. Error: that of the store, if there are no seeds. It is not safe
// for concurrent use.
func (directory *Directory) Next(ctx context.Context, redirect string) (string, error) {
	if redirect != "" {
		return redirect, nil
	}
	seeds := *directory.seeds.Load()
	position := directory.next % (len(seeds) + 1)
	directory.next++
	if position < len(seeds) {
		return seeds[position], nil
	}
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

// ErrNoLeader reports a cluster that never had a leader.
type ErrNoLeader struct{}

// Error describes the state.
func (ErrNoLeader) Error() string { return "no entry has led yet" }
