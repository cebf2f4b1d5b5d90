// Package directive holds what operators decide: the queues and services in force and the data centres
// that are out. It follows the operators' rows in the store.
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

// Queue tells where callers submit jobs of a kind and how they are treated.
type Queue struct {
	Name    workflow.Queue
	Host    string
	Prefix  string
	Service workflow.Service
	Policy  workflow.Policy
	// Timeout bounds a caller's request.
	Timeout clock.Millis
	// Advised queues run their steps only where an outside service allows it.
	Advised bool
}

// Limits bound callers' requests.
type Limits struct {
	BodyBytes int64
}

// Config is the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	Limits  Limits
}

// Queue returns the queue with the name, also for a nil Config, which has none.
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

// Match returns the queue with the longest prefix of path for the host, and the rest of the path.
func (config *Config) Match(host, path string) (Queue, string, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	best := -1
	for position, queue := range config.Queues {
		if !strings.EqualFold(queue.Host, host) || !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if best < 0 || len(queue.Prefix) > len(config.Queues[best].Prefix) {
			best = position
		}
	}
	if best < 0 {
		return Queue{}, "", false
	}
	return config.Queues[best], strings.TrimPrefix(path, config.Queues[best].Prefix), true
}

// Change is what one row of the operators says.
type Change struct {
	// Config is a new configuration, or nil.
	Config *Config
	// DataCentre is a data centre that is taken out, or back in if Removed.
	DataCentre ident.DataCentre
	Removed    bool
}

// Source decodes the operators' rows.
type Source interface {
	// Table is the table that holds the rows.
	Table() store.Table
	// Decode returns what the row says, and false for rows of no concern.
	Decode(row store.Row) (Change, bool, error)
}

// Times of following.
const (
	// feedWait bounds the silence of a feed well below the time in which configurations must be in
	// force (2 s).
	feedWait = 900 * clock.Millisecond
	// retry separates attempts while the store does not answer.
	retry = 150 * clock.Millisecond
	// staleAfter is the time without an answer after which the view counts as stale: two feeds.
	staleAfter = 2 * clock.Second
)

// Follower keeps the newest directives. It is safe for concurrent use.
type Follower struct {
	store  store.Store
	clock  clock.Clock
	source Source
	config atomic.Pointer[Config]
	out    atomic.Pointer[set.Set[ident.DataCentre]]
	heard  atomic.Int64
	end    context.CancelFunc
	done   sync.WaitGroup
}

// NewFollower starts following the operators' rows until Close.
func NewFollower(service store.Store, source clock.Clock, rows Source) *Follower {
	ctx, end := context.WithCancel(context.Background())
	follower := &Follower{store: service, clock: source, source: rows, end: end}
	follower.done.Add(1)
	go func() {
		defer follower.done.Done()
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
	follower.end()
	follower.done.Wait()
}

// Config returns the configuration in force, or nil before the first one.
func (follower *Follower) Config() *Config { return follower.config.Load() }

// Out returns the data centres that are out, and false before the operators' rows were read. The set must
// not be changed.
func (follower *Follower) Out() (set.Set[ident.DataCentre], bool) {
	out := follower.out.Load()
	if out == nil {
		return nil, false
	}
	return *out, true
}

// Fresh reports whether there is a configuration and the store confirmed it lately.
func (follower *Follower) Fresh() bool {
	return follower.Config() != nil && follower.clock.Now().Sub(clock.Time(follower.heard.Load())) < staleAfter
}

func (follower *Follower) hear() { follower.heard.Store(int64(follower.clock.Now())) }

// load replaces all directives. It returns false after a failure.
func (follower *Follower) load(ctx context.Context) (store.Version, bool) {
	rows, err := follower.store.List(ctx, follower.source.Table(), "", "")
	if err != nil {
		follower.pause(ctx, err)
		return 0, false
	}
	follower.hear()
	out := set.New[ident.DataCentre]()
	follower.apply(rows.Rows, out)
	return rows.Version, true
}

// follow applies changes until the history is gone or ctx ends.
func (follower *Follower) follow(ctx context.Context, after store.Version) {
	for ctx.Err() == nil {
		changes, err := follower.store.Changes(ctx, follower.source.Table(), after, feedWait)
		switch {
		case err == nil:
			follower.hear()
			after = changes.Version
			if len(changes.Rows) > 0 {
				before, _ := follower.Out()
				follower.apply(changes.Rows, set.New(set.Sorted(before)...))
			}
		case store.IsErrHistoryGone(err):
			return
		default:
			follower.pause(ctx, err)
		}
	}
}

func (follower *Follower) pause(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	klog.V(1).InfoS("Operators' rows not read", "Reason", err.Error())
	select {
	case <-follower.clock.After(retry):
	case <-ctx.Done():
	}
}

// apply takes rows in order, with the data centres that are out before them.
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
			klog.InfoS("Data centre", "DataCentre", change.DataCentre, "Out", !change.Removed)
			if change.Removed {
				out.Remove(change.DataCentre)
			} else {
				out.Add(change.DataCentre)
			}
		}
	}
	follower.out.Store(&out)
}

// install puts a configuration in force unless a newer one is.
func (follower *Follower) install(config *Config) {
	if present := follower.Config(); present != nil && present.Version >= config.Version {
		return
	}
	klog.InfoS("Configuration in force", "Version", config.Version, "Queues", len(config.Queues))
	follower.config.Store(config)
}
