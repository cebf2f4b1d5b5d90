package intake

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// TombstoneRetention is how long a tombstone stays in the store. It must exceed the time for which a submission may be on its way: in a
// machine that is suspended, in a write that the store carries out late, or in the caller's repetitions.
const TombstoneRetention = 2 * clock.Minute

// Limits of the tombstones of an entry: clients may cancel any id.
const (
	// tombstonesPerSecond is the rate at which an entry may write them all the time.
	tombstonesPerSecond = 4
	// tombstoneBurst covers the jobs that callers submitted to an entry that stood still, and cancel together.
	tombstoneBurst = 100
	// maxTombstones limits the rows while the store does not let the entry remove them. Otherwise the limits above do.
	maxTombstones = 640
	// removalInterval is the time between two removals, each of which joins the rows of a partition in one transaction.
	removalInterval = 5 * clock.Second
	// removalTimeout limits the duration of a removal.
	removalTimeout = 10 * clock.Second
)

// tombstone is a stored tombstone.
type tombstone struct {
	id      workflow.ID
	version store.Version
	// storedAt is when the store had confirmed it.
	storedAt clock.Time
}

// tombstones writes the tombstones of an entry, within its limits, and removes them after TombstoneRetention. It is safe for
// concurrent use.
type tombstones struct {
	store   *store.Group
	retrier *store.Retrier
	clock   clock.Clock
	limiter *rate.Limiter
	removed *metrics.Counter

	mu sync.Mutex
	// rows holds the stored tombstones, in the order in which they expire, and writing counts those that are being written.
	rows    []tombstone
	writing int

	// added receives a value when there may be rows to remove.
	added  chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
}

func newTombstones(group *store.Group, timeSource clock.Clock) *tombstones {
	ctx, cancel := context.WithCancel(context.Background())
	tombs := &tombstones{
		store: group, retrier: store.NewRetrier(group, timeSource), clock: timeSource,
		limiter: rate.NewLimiter(tombstonesPerSecond, tombstoneBurst),
		removed: metrics.GetOrCreateCounter("hyssopjunction_intake_tombstones_removed_total"),
		added:   make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(tombs.done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-tombs.added:
			}
			select {
			case <-ctx.Done():
				return
			case <-timeSource.After(removalInterval):
				tombs.removeExpired(ctx)
			}
		}
	}()
	return tombs
}

// close stops the removal and waits until it has ended.
func (tombs *tombstones) close() {
	tombs.cancel()
	<-tombs.done
}

// write stores a tombstone in the place of the row with the version, or as a new row if the version is 0. If a limit is reached, it
// returns at once with the outcome Limited and when a further one may be written.
func (tombs *tombstones) write(ctx context.Context, id workflow.ID, version store.Version) (decision, clock.Millis) {
	now := tombs.clock.Now()
	if retryAfter := tombs.reserve(now); retryAfter > 0 {
		countTombstone(Limited)
		return decision{outcome: Limited, reason: "too many cancellations of jobs that are not stored"}, retryAfter
	}
	var stored *tombstone
	defer func() { tombs.endWrite(stored) }()
	at := tombs.store.Now()
	if at == 0 {
		return decision{outcome: Refused, reason: "the time of the store is not known"}, 0
	}
	value, err := json.Marshal(Ended{State: workflow.Cancelled, At: at, Tombstone: true})
	if err != nil {
		return decision{outcome: Refused, reason: err.Error()}, 0
	}
	decided := commitUntilDecided(ctx, tombs.retrier, store.Tx{
		Conditions: []store.Condition{{Ref: ref(Submission, id)}, {Ref: endedRef(id), Version: version}},
		Puts:       []store.Put{{Ref: endedRef(id), Value: value}},
	})
	countTombstone(decided.outcome)
	if decided.outcome == Stored {
		stored = &tombstone{id: id, version: decided.version, storedAt: tombs.clock.Now()}
	}
	return decided, 0
}

// reserve counts a tombstone as being written and returns 0, or returns when a further one may be written.
func (tombs *tombstones) reserve(now clock.Time) clock.Millis {
	tombs.mu.Lock()
	defer tombs.mu.Unlock()
	if len(tombs.rows)+tombs.writing >= maxTombstones {
		if len(tombs.rows) == 0 {
			return clock.Second
		}
		return max(removalInterval, tombs.rows[0].storedAt.Add(TombstoneRetention).Sub(now))
	}
	instant := time.UnixMilli(int64(now))
	reservation := tombs.limiter.ReserveN(instant, 1)
	if delay := reservation.DelayFrom(instant); delay > 0 {
		reservation.CancelAt(instant)
		return max(1, clock.FromDuration(delay))
	}
	tombs.writing++
	return 0
}

// endWrite records the end of a write, and the tombstone if it was stored.
func (tombs *tombstones) endWrite(stored *tombstone) {
	tombs.mu.Lock()
	defer tombs.mu.Unlock()
	tombs.writing--
	if stored == nil {
		return
	}
	tombs.rows = append(tombs.rows, *stored)
	tombs.scheduleRemoval()
}

// scheduleRemoval makes the next removal happen. An entry without tombstones does not wake up for them.
func (tombs *tombstones) scheduleRemoval() {
	select {
	case tombs.added <- struct{}{}:
	default:
	}
}

// takeExpired removes the tombstones from the list whose retention has passed, and returns them.
func (tombs *tombstones) takeExpired() []tombstone {
	tombs.mu.Lock()
	defer tombs.mu.Unlock()
	now, count := tombs.clock.Now(), 0
	for count < len(tombs.rows) && now.Sub(tombs.rows[count].storedAt) >= TombstoneRetention {
		count++
	}
	expired := append([]tombstone(nil), tombs.rows[:count]...)
	tombs.rows = append([]tombstone(nil), tombs.rows[count:]...)
	if len(tombs.rows) > 0 {
		tombs.scheduleRemoval()
	}
	return expired
}

// putBack returns tombstones to the list that could not be removed.
func (tombs *tombstones) putBack(failed []tombstone) {
	if len(failed) == 0 {
		return
	}
	tombs.mu.Lock()
	defer tombs.mu.Unlock()
	tombs.rows = append(failed, tombs.rows...)
	tombs.scheduleRemoval()
}

// removeExpired removes the rows whose retention has passed. Those that another process has removed or replaced are forgotten.
func (tombs *tombstones) removeExpired(ctx context.Context) {
	expired := tombs.takeExpired()
	if len(expired) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removalTimeout.Duration())
	defer cancel()
	txs := make([]store.Tx, 0, len(expired))
	for _, row := range expired {
		txs = append(txs, RemoveEndedTx(store.Row{Ref: endedRef(row.id), Version: row.version}))
	}
	var failed []tombstone
	var lastErr error
	for position, err := range tombs.store.CommitAll(ctx, txs) {
		if err != nil && !store.IsErrConflict(err) {
			failed, lastErr = append(failed, expired[position]), err
		}
	}
	tombs.removed.Add(len(expired) - len(failed))
	klog.InfoS("Tombstones removed", "Count", len(expired)-len(failed), "Of", len(expired), "Error", lastErr)
	tombs.putBack(failed)
}

func countTombstone(outcome Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_intake_tombstones_total{outcome=%q}`, outcome)).Inc()
}
