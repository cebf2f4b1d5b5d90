// Package directive follows the rows of the store in which operators declare the configuration of queues and the
// data centres that are out.
package directive

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// Queue configures a queue: the host and path prefix at which callers submit its jobs, the service that runs
// them, and their policy.
type Queue struct {
	Name    workflow.Queue
	Host    string
	Prefix  string
	Service workflow.Service
	Policy  workflow.Policy
	// Timeout limits a caller's request.
	Timeout clock.Millis
	// Advised reports that the steps of the queue's jobs may run only where an external service allows it.
	Advised bool
}

// Limits holds the limits of callers' requests; 0 means the default.
type Limits struct {
	// BodyBytes and HeaderBytes are the sizes of a body and a header, in bytes.
	BodyBytes   int64
	HeaderBytes int64
	// HeaderTimeout is how long a header may take, and IdleTimeout how long a connection may be idle.
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Config is the configuration by operators.
type Config struct {
	Version int64
	Queues  []Queue
	Limits  Limits
}

// Queue returns the queue with the name, or false if there is none. A nil Config has no queues.
func (config *Config) Queue(name workflow.Queue) (Queue, bool) {
	if config == nil {
		return Queue{}, false
	}
	for _, queue := range config.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}

// Match returns the queue of the host with the longest prefix of path, and the rest of the path after the prefix.
// The host may include a port. It returns false if no queue matches.
func (config *Config) Match(host, path string) (Queue, string, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	longest := -1
	for position, queue := range config.Queues {
		if !strings.EqualFold(queue.Host, host) || !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if longest < 0 || len(queue.Prefix) > len(config.Queues[longest].Prefix) {
			longest = position
		}
	}
	if longest < 0 {
		return Queue{}, "", false
	}
	return config.Queues[longest], strings.TrimPrefix(path, config.Queues[longest].Prefix), true
}

// Change is the decoded content of one row of the operators.
type Change struct {
	// Config is a new configuration, or nil.
	Config *Config
	// DataCentre is a data centre that is declared out, or no longer out if BackInService.
	DataCentre    ident.DataCentre
	BackInService bool
}

// Source decodes the operators' rows.
type Source interface {
	// Table returns the table that holds the rows.
	Table() store.Table
	// Decode decodes a row. It returns false for a row that holds neither a configuration nor a data centre.
	Decode(row store.Row) (Change, bool, error)
}

// Times of following the rows.
const (
	// changesWait is how long a call to the change feed waits for changes. It is well below the 2 s within
	// which a configuration must be in force, so that a dead connection is noticed in time.
	changesWait = 900 * clock.Millisecond
	// retryPause is the pause between attempts while the store does not answer.
	retryPause = 150 * clock.Millisecond
	// staleAfter is the time without an answer of the store after which the configuration counts as stale:
	// two calls to the change feed.
	staleAfter = 2 * clock.Second
)

// Follower holds the newest configuration and the data centres that are out. It is safe for concurrent use.
type Follower struct {
	store  store.Store
	clock  clock.Clock
	source Source
	config atomic.Pointer[Config]
	out    atomic.Pointer[set.Set[ident.DataCentre]]
	// confirmedAt is when the store last answered, a clock.Time.
	confirmedAt atomic.Int64
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
}

// NewFollower starts following the operators' rows, which source decodes, until Close.
func NewFollower(rowStore store.Store, timeSource clock.Clock, source Source) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	follower := &Follower{store: rowStore, clock: timeSource, source: source, cancel: cancel}
	follower.goroutines.Add(1)
	go func() {
		defer follower.goroutines.Done()
		for ctx.Err() == nil {
			if version, ok := follower.load(ctx); ok {
				follower.follow(ctx, version)
			}
		}
	}()
	return follower
}

// Close stops following.
func (follower *Follower) Close() {
	follower.cancel()
	follower.goroutines.Wait()
}

// Config returns the configuration in force, or nil before the first one.
func (follower *Follower) Config() *Config { return follower.config.Load() }

// Out returns the data centres that are out, or false before the operators' rows were read. The caller must not
// change the set.
func (follower *Follower) Out() (set.Set[ident.DataCentre], bool) {
	out := follower.out.Load()
	if out == nil {
		return nil, false
	}
	return *out, true
}

// Fresh reports whether there is a configuration and the store answered within staleAfter.
func (follower *Follower) Fresh() bool {
	return follower.Config() != nil && follower.clock.Now().Sub(clock.Time(follower.confirmedAt.Load())) < staleAfter
}

// setConfirmed records an answer of the store.
func (follower *Follower) setConfirmed() { follower.confirmedAt.Store(int64(follower.clock.Now())) }

// load reads all rows and returns the version after which changes must be followed, or false after a failure.
func (follower *Follower) load(ctx context.Context) (store.Version, bool) {
	rows, err := follower.store.List(ctx, follower.source.Table(), "", "")
	if err != nil {
		follower.pause(ctx, err)
		return 0, false
	}
	follower.setConfirmed()
	out := set.New[ident.DataCentre]()
	follower.apply(rows.Rows, out)
	return rows.Version, true
}

// follow applies changes until the change history is gone or ctx ends.
func (follower *Follower) follow(ctx context.Context, after store.Version) {
	for ctx.Err() == nil {
		changes, err := follower.store.Changes(ctx, follower.source.Table(), after, changesWait)
		switch {
		case err == nil:
			follower.setConfirmed()
			after = changes.Version
			if len(changes.Rows) > 0 {
				out, _ := follower.Out()
				follower.apply(changes.Rows, set.New(set.Sorted(out)...))
			}
		case store.IsErrHistoryGone(err):
			return
		default:
			follower.pause(ctx, err)
		}
	}
}

// pause logs a failure and waits for retryPause.
func (follower *Follower) pause(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	klog.V(1).InfoS("Operators' rows not read", "Reason", err.Error())
	select {
	case <-follower.clock.After(retryPause):
	case <-ctx.Done():
	}
}

// apply applies rows in order. out holds the data centres that are out before the first row.
func (follower *Follower) apply(rows []store.Row, out set.Set[ident.DataCentre]) {
	for _, row := range rows {
		change, ok, err := follower.source.Decode(row)
		if err != nil {
			klog.ErrorS(err, "Operators' row ignored", "Key", row.Key)
			continue
		}
		if !ok {
			continue
		}
		if change.Config != nil {
			follower.install(change.Config)
		}
		if change.DataCentre != "" {
			klog.InfoS("Data centre", "DataCentre", change.DataCentre, "Out", !change.BackInService)
			if change.BackInService {
				out.Remove(change.DataCentre)
			} else {
				out.Add(change.DataCentre)
			}
		}
	}
	follower.out.Store(&out)
}

// install puts a configuration in force unless the present one is at least as new.
func (follower *Follower) install(config *Config) {
	if current := follower.Config(); current != nil && current.Version >= config.Version {
		return
	}
	klog.InfoS("Configuration in force", "Version", config.Version, "Queues", len(config.Queues))
	follower.config.Store(config)
}
