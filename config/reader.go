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
	// PollMillis is the mean interval between two reads of the head. A change must be in force
	// everywhere within 7 s; with the default jitter, the next poll comes after at most 1.2 intervals.
	PollMillis clock.Millis
	// JitterPercent is the largest deviation from the interval in either direction, so that daemons that
	// started together do not poll together.
	JitterPercent int
}

// DefaultReaderSettings returns a mean interval of one second with a jitter of 20 percent.
func DefaultReaderSettings() ReaderSettings {
	return ReaderSettings{PollMillis: clock.Second, JitterPercent: 20}
}

// Reader keeps a Publisher up to date with the table. An outdated response of the table never lowers a
// version, and after a failed read the current configuration stays in force.
type Reader struct {
	settings  ReaderSettings
	clock     clock.Clock
	publisher *Publisher
	random    *rand.Rand

	mu     sync.Mutex
	loader *loader

	closed    chan struct{}
	closeOnce sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
	poller    sync.WaitGroup
	// failing is whether the last Poll failed. Only Poll accesses it, without the lock.
	failing bool
}

// NewReader returns a Reader that loads the configuration and then polls until Close. Store should be a
// table.Client, because the Reader relies on its deadlines and retries. Random is used for jitter only.
func NewReader(
	store table.Store, source clock.Clock, random *rand.Rand, publisher *Publisher, settings ReaderSettings,
) *Reader {
	reader := NewIdleReader(store, publisher)
	reader.settings, reader.clock, reader.random = settings, source, random
	reader.poller.Go(func() {
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

// NewIdleReader returns a Reader that reads only when Poll or Refresh is called, for daemons that call
// them from a loop of their own.
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

// Poll calls Refresh and logs the first of several consecutive failures. It must not be called
// concurrently.
func (reader *Reader) Poll() {
	err := reader.Refresh(reader.ctx)
	if err != nil && !reader.failing && reader.ctx.Err() == nil {
		klog.ErrorS(err, "configuration not read", "Version", uint64(reader.publisher.Version()))
	}
	reader.failing = err != nil
}

// Refresh reads the head now and puts the configuration in force if it changed. Failures are counted.
func (reader *Reader) Refresh(ctx context.Context) error {
	reader.mu.Lock()
	defer reader.mu.Unlock()
	// Changes that another daemon delivered meanwhile need not be read from the table.
	if current := reader.publisher.Current(); reader.loader.loaded && current.version > reader.loader.view.version {
		reader.loader.view = current
	}
	if err := reader.loader.refresh(ctx); err != nil {
		failedPolls.Inc()
		return err
	}
	return reader.publisher.Publish(reader.loader.view)
}

// Close stops polling and waits until the polling goroutine has ended.
func (reader *Reader) Close() {
	reader.closeOnce.Do(func() {
		close(reader.closed)
		reader.cancel()
	})
	reader.poller.Wait()
}

// interval returns the time until the next poll with jitter, at least 1 ms.
func (reader *Reader) interval() clock.Millis {
	spread := int64(reader.settings.PollMillis) * int64(reader.settings.JitterPercent) / 100
	if spread <= 0 {
		return max(reader.settings.PollMillis, 1)
	}
	return max(reader.settings.PollMillis-clock.Millis(spread)+clock.Millis(reader.random.Int64N(2*spread+1)), 1)
}

// asVersion converts an index to a distance between versions.
func asVersion(index int) ident.Version {
	return ident.Version(index)
}
