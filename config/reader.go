package config

import (
	"context"
	"math/rand/v2"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

var failedPolls = metrics.NewCounter("hyssopjunction_config_failed_polls_total")

// ReaderSettings are the intervals of a Reader.
type ReaderSettings struct {
	// PollMillis is the mean interval at which the head is read. A change must be in force
	// everywhere within 7 s, of which the poll takes at most 1.2 of these intervals.
	PollMillis clock.Millis
	// JitterPercent is how much the interval varies to either side, so that daemons that started
	// together do not read together.
	JitterPercent int
}

// DefaultReaderSettings returns a poll each second, give or take a fifth.
func DefaultReaderSettings() ReaderSettings {
	return ReaderSettings{PollMillis: clock.Second, JitterPercent: 20}
}

// Reader keeps a Publisher up to date with the table. An old answer of the table never lowers a
// version, and a failed read leaves the configuration in force.
type Reader struct {
	settings  ReaderSettings
	clock     clock.Clock
	publisher *Publisher
	random    *rand.Rand

	mu     sync.Mutex
	loader *loader

	closed  chan struct{}
	closing sync.Once
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// failing belongs to the caller of Poll.
	failing bool
}

// NewReader returns a Reader that loads the configuration and then polls until Close. Store should
// be a table.Client, whose deadlines and retries the Reader relies on. Random is used for jitter
// only.
func NewReader(
	store table.Store, source clock.Clock, random *rand.Rand, publisher *Publisher, settings ReaderSettings,
) *Reader {
	reader := NewIdleReader(store, publisher)
	reader.settings, reader.clock, reader.random = settings, source, random
	reader.running.Go(func() {
		for {
			reader.Poll()
			select {
			case <-reader.clock.After(reader.interval()):
			case <-reader.closed:
				return
			}
		}
	})
	return reader
}

// NewIdleReader returns a Reader that reads only when Poll or Refresh is called, for daemons that
// read at the times of their other periodic work.
func NewIdleReader(store table.Store, publisher *Publisher) *Reader {
	ctx, cancel := context.WithCancel(context.Background())
	return &Reader{
		publisher: publisher,
		loader:    newLoader(store),
		closed:    make(chan struct{}),
		ctx:       ctx,
		cancel:    cancel,
	}
}

// Poll reads the head and logs the first failure of a series. It must not be called concurrently.
func (reader *Reader) Poll() {
	// Refresh counts the failures.
	err := reader.Refresh(reader.ctx)
	if err != nil && !reader.failing && reader.ctx.Err() == nil {
		klog.ErrorS(err, "configuration not read", "Version", uint64(reader.publisher.Version()))
	}
	reader.failing = err != nil
}

// Refresh reads the head now and puts the configuration in force if it changed.
func (reader *Reader) Refresh(ctx context.Context) error {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	// What other daemons sent meanwhile need not be read again.
	if current := reader.publisher.Current(); reader.loader.loaded && current.version > reader.loader.view.version {
		reader.loader.view = current
	}
	if err := reader.loader.refresh(ctx); err != nil {
		failedPolls.Inc()
		return err
	}
	return reader.publisher.Publish(reader.loader.view)
}

// Close ends the polling and waits for its end.
func (reader *Reader) Close() {
	reader.closing.Do(func() {
		close(reader.closed)
		reader.cancel()
	})
	reader.running.Wait()
}

func (reader *Reader) interval() clock.Millis {
	spread := int64(reader.settings.PollMillis) * int64(reader.settings.JitterPercent) / 100
	if spread <= 0 {
		return max(reader.settings.PollMillis, 1)
	}
	return max(reader.settings.PollMillis-clock.Millis(spread)+clock.Millis(reader.random.Int64N(2*spread+1)), 1)
}

// asVersion converts an index.
func asVersion(index int) ident.Version {
	return ident.Version(index)
}
