package table

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"hyssopjunction/clock"
	"hyssopjunction/ident"

	"github.com/VictoriaMetrics/metrics"
)

// errDeadline is the cancellation cause of a call that took longer than Settings.CallMillis.
var errDeadline = errors.New("no answer before the deadline of the call")

// rowsPerRead is the number of rows of a Range that are charged as one read.
const rowsPerRead = 100

var (
	readCalls   = metrics.NewCounter("hyssopjunction_table_read_calls_total")
	commitCalls = metrics.NewCounter("hyssopjunction_table_commit_calls_total")
	failedCalls = metrics.NewCounter("hyssopjunction_table_failed_calls_total")
	rateRefused = metrics.NewCounter("hyssopjunction_table_calls_refused_by_rate_total")
)

// Client is a Store that adds write ids, read-back of unknown outcomes, deadlines, retries, group
// commit, a rate limit and a circuit breaker to another Store. It is safe for concurrent use.
//
// A transaction without a write id gets one and may be merged with others that are offered at the
// same time; its rows then carry the id of the merged transaction. A transaction with a write id
// keeps it and is committed alone.
type Client struct {
	store    Store
	clock    clock.Clock
	settings Settings
	reads    *limit
	writes   *limit
	breaker  *breaker
	expiry   *deadlines
	writer   string
	count    atomic.Uint64
	stats    stats

	randomMu sync.Mutex
	random   *rand.Rand

	mu      sync.Mutex
	pending []*offer
	shut    bool
	offered chan struct{}
	// senders holds a token for each commit in flight.
	senders chan struct{}
	batches chan []*offer

	base    context.Context
	cancel  context.CancelFunc
	closed  chan struct{}
	running sync.WaitGroup
}

// NewClient returns a Client of store. Writer names the process in write ids, for example by the
// daemon's id. Random is used for jitter and to make the write ids of successive processes of one
// name different, so it must be seeded differently in each process. The Client runs until Close.
func NewClient(store Store, source clock.Clock, writer string, random *rand.Rand, settings Settings) *Client {
	settings = settings.normal()
	base, cancel := context.WithCancel(context.Background())
	client := &Client{
		store:    store,
		clock:    source,
		settings: settings,
		reads:    newLimit(float64(settings.SystemReads)/float64(settings.Entries), settings.RateWaitMillis),
		writes:   newLimit(float64(settings.SystemWrites)/float64(settings.Entries), settings.RateWaitMillis),
		expiry:   &deadlines{term: settings.CallMillis, wake: make(chan struct{}, 1)},
		writer:   fmt.Sprintf("%s.%016x", writer, random.Uint64()),
		random:   random,
		offered:  make(chan struct{}, 1),
		senders:  make(chan struct{}, settings.Senders),
		batches:  make(chan []*offer, settings.Senders),
		base:     base,
		cancel:   cancel,
		closed:   make(chan struct{}),
	}
	client.breaker = &breaker{limit: settings.BreakerFailures, interval: settings.ProbeMillis, jitter: client.jitter}
	client.running.Go(func() { client.expiry.watch(source, client.closed) })
	client.running.Go(client.dispatch)
	for range settings.Senders {
		client.running.Go(func() {
			for batch := range client.batches {
				client.send(batch, true)
				<-client.senders
			}
		})
	}
	return client
}

// SetEntries tells the Client how many daemons share the system's limits.
func (client *Client) SetEntries(entries int) {
	share := float64(max(entries, 1))
	now := client.clock.Now()
	client.reads.set(now, float64(client.settings.SystemReads)/share)
	client.writes.set(now, float64(client.settings.SystemWrites)/share)
}

// Outage reports whether the circuit breaker is open.
func (client *Client) Outage() bool {
	return client.breaker.isOpen()
}

// Close refuses new calls, ends the calls in progress and waits for the Client's goroutines. A
// commit in progress returns ErrUnknownOutcome unless its outcome is known.
func (client *Client) Close() {
	client.mu.Lock()
	already := client.shut
	client.shut = true
	client.mu.Unlock()
	if !already {
		close(client.closed)
		client.cancel()
	}
	client.running.Wait()
}

// Get returns one row, see Store.
func (client *Client) Get(ctx context.Context, key Key) (Row, error) {
	var row Row
	err := client.read(ctx, func(ctx context.Context) error {
		var err error
		row, err = client.store.Get(ctx, key)
		return err
	})
	return row, err
}

// Range returns rows in order, see Store.
func (client *Client) Range(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	var rows []Row
	err := client.read(ctx, func(ctx context.Context) error {
		var err error
		rows, err = client.store.Range(ctx, prefix, after, limit)
		return err
	})
	if err == nil && len(rows) > rowsPerRead {
		client.reads.charge(client.clock.Now(), (len(rows)-1)/rowsPerRead)
	}
	return rows, err
}

// read makes a call that has no effect until it succeeds, the attempts are used up or the breaker
// is open.
func (client *Client) read(ctx context.Context, call func(context.Context) error) error {
	var last error
	for attempt := range client.settings.Attempts {
		if attempt > 0 {
			if err := client.pause(ctx, client.backoff(attempt)); err != nil {
				return last
			}
		}
		if err := client.admit(ctx, client.reads); err != nil {
			return err
		}
		client.stats.reads.Add(1)
		readCalls.Inc()
		last = client.call(ctx, call)
		if last == nil || IsErrTooLarge(last) {
			return last
		}
		if !IsErrUnavailable(last) {
			last = ErrUnavailable{Reason: last.Error(), RetryAfter: client.settings.BackoffMaxMillis}
		}
	}
	return last
}

// admit waits for the rate limit and asks the breaker. Each admitted call must be followed by call.
// Calls during an outage are not charged, because most of them are refused.
func (client *Client) admit(ctx context.Context, limit *limit) error {
	if client.breaker.isOpen() {
		return client.enter()
	}
	wait, ok := limit.take(client.clock.Now())
	if !ok {
		rateRefused.Inc()
		return ErrUnavailable{Reason: "own rate limit", RetryAfter: wait}
	}
	if err := client.pause(ctx, wait); err != nil {
		return ErrUnavailable{Reason: err.Error()}
	}
	return client.enter()
}

func (client *Client) enter() error {
	if ok, wait := client.breaker.enter(client.clock.Now()); !ok {
		return ErrUnavailable{Reason: "circuit breaker open", RetryAfter: wait}
	}
	return nil
}

// call makes one call within the deadline and tells the breaker how it ended.
func (client *Client) call(ctx context.Context, call func(context.Context) error) error {
	bounded, done := client.expiry.start(ctx, client.clock.Now())
	err := call(bounded)
	if err != nil && errors.Is(context.Cause(bounded), errDeadline) && !answered(err) {
		err = fmt.Errorf("%w: %w", errDeadline, err)
	}
	done()
	switch {
	case answered(err):
		client.breaker.succeed(client.clock.Now())
	case ctx.Err() != nil:
		client.breaker.abandon()
	default:
		failedCalls.Inc()
		client.breaker.fail(client.clock.Now(), err)
	}
	return err
}

// answered reports whether the result shows that the service works.
func answered(err error) bool {
	return err == nil || IsErrConflict(err) || IsErrTooLarge(err)
}

// pause waits for millis. It returns an error if the context or the Client ended first.
func (client *Client) pause(ctx context.Context, millis clock.Millis) error {
	if millis <= 0 {
		return ctx.Err()
	}
	select {
	case <-client.clock.After(millis):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-client.closed:
		return context.Canceled
	}
}

// backoff returns the wait before the given attempt, counted from 1.
func (client *Client) backoff(attempt int) clock.Millis {
	ceiling := client.settings.BackoffMinMillis << min(attempt-1, 20)
	ceiling = min(max(ceiling, 1), client.settings.BackoffMaxMillis)
	return ceiling/2 + client.jitter(ceiling/2+1)
}

// jitter returns a random duration below bound.
func (client *Client) jitter(bound clock.Millis) clock.Millis {
	if bound <= 0 {
		return 0
	}
	client.randomMu.Lock()
	defer client.randomMu.Unlock()
	return clock.Millis(client.random.Int64N(int64(bound)))
}

// nextWrite returns an unused write id.
func (client *Client) nextWrite() ident.Write {
	return ident.Write(fmt.Sprintf("%s.%d", client.writer, client.count.Add(1)))
}
