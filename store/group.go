package store

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"hyssopjunction/set"
)

// Limits of a joined transaction, below those of the store: 100 entries and 1 MB after encoding.
const (
	maxGroupEntries = 99
	maxGroupBytes   = 500_000
)

// Group is a Store that joins concurrent transactions of one partition. A partition applies one transaction after
// another, so a burst of small ones would wait in line at a slow store and time out there. While a transaction is in
// progress, further ones of its partition wait here and are committed together. Create it with NewGroup.
type Group struct {
	Store
	joined *metrics.Counter

	mu     sync.Mutex
	queues map[string]*groupQueue
}

// groupQueue holds the transactions of one partition. It is guarded by Group.mu.
type groupQueue struct {
	waiting []*groupMember
	// committing reports that a goroutine commits the transactions of the queue.
	committing bool
}

// groupMember is a transaction of one caller.
type groupMember struct {
	tx Tx
	// batch is the joined transaction that includes tx, or nil while it waits.
	batch  *groupBatch
	result chan groupResult
}

// groupBatch is a joined transaction in progress. Its context ends when no caller waits for it any more.
type groupBatch struct {
	cancel  context.CancelFunc
	callers int
}

// groupResult is the outcome of a member.
type groupResult struct {
	version Version
	err     error
}

// NewGroup returns a Group that commits to inner.
func NewGroup(inner Store) *Group {
	return &Group{
		Store: inner, queues: map[string]*groupQueue{}, joined: metrics.GetOrCreateCounter("hyssopjunction_store_joined_transactions_total"),
	}
}

// Commit implements Store. The transaction must have a condition. If its context ends before it is sent, it fails with
// ErrUnavailable and has no effect.
func (group *Group) Commit(ctx context.Context, tx Tx) (Version, error) {
	partition := group.Partition(tx.Conditions[0].Ref)
	member := &groupMember{tx: tx, result: make(chan groupResult, 1)}
	group.enqueue(partition, member) //nolint:contextcheck // A joined transaction outlives the context of each of its callers.
	select {
	case result := <-member.result:
		return result.version, result.err
	case <-ctx.Done():
		return group.leave(ctx, partition, member)
	}
}

// maxCommits limits the transactions that CommitAll commits at the same time.
const maxCommits = 64

// CommitAll commits transactions that do not depend on each other, joined where they share a partition, and returns the error of each.
func (group *Group) CommitAll(ctx context.Context, txs []Tx) []error {
	errs := make([]error, len(txs))
	var workers errgroup.Group
	workers.SetLimit(maxCommits)
	for position, tx := range txs {
		workers.Go(func() error {
			_, errs[position] = group.Commit(ctx, tx)
			return nil
		})
	}
	_ = workers.Wait() // The functions return no errors.
	return errs
}

// enqueue adds a member to the queue of its partition, and starts to commit the queue unless that is in progress.
func (group *Group) enqueue(partition string, member *groupMember) {
	group.mu.Lock()
	defer group.mu.Unlock()
	queue, ok := group.queues[partition]
	if !ok {
		queue = &groupQueue{}
		group.queues[partition] = queue
	}
	queue.waiting = append(queue.waiting, member)
	if !queue.committing {
		queue.committing = true
		go group.commitQueue(queue)
	}
}

// leave returns the outcome for a caller whose context has ended.
func (group *Group) leave(ctx context.Context, partition string, member *groupMember) (Version, error) {
	group.mu.Lock()
	defer group.mu.Unlock()
	select {
	case result := <-member.result:
		return result.version, result.err
	default:
	}
	if member.batch == nil {
		queue := group.queues[partition]
		queue.waiting = slices.DeleteFunc(queue.waiting, func(other *groupMember) bool { return other == member })
		return 0, ErrUnavailable{Reason: "not sent: " + ctx.Err().Error()}
	}
	if member.batch.callers--; member.batch.callers == 0 {
		member.batch.cancel()
	}
	return 0, ErrUnknown{Reason: ctx.Err().Error()}
}

// commitQueue commits the members of a queue until none waits.
func (group *Group) commitQueue(queue *groupQueue) {
	for {
		ctx, cancel := context.WithCancel(context.Background())
		members := group.takeBatch(queue, &groupBatch{cancel: cancel})
		if len(members) > 0 {
			group.joined.Add(len(members) - 1)
			group.commitMembers(ctx, members)
		}
		cancel()
		if len(members) == 0 {
			return
		}
	}
}

// takeBatch removes members from the front of the queue that fit in one transaction and write no rows on which another one depends:
// the conditions of a transaction are checked before its rows are written, so each member would see the rows as if it came first. If
// there are none, the queue is no longer being committed.
func (group *Group) takeBatch(queue *groupQueue, batch *groupBatch) []*groupMember {
	group.mu.Lock()
	defer group.mu.Unlock()
	entries, size, count := 0, 0, 0
	written, required := set.New[Ref](), set.New[Ref]()
	for _, member := range queue.waiting {
		entries += member.tx.entries()
		size += member.tx.size()
		if count > 0 && (entries > maxGroupEntries || size > maxGroupBytes || member.tx.writesAny(written) || member.tx.writesAny(required) || member.tx.requiresAny(written)) {
			break
		}
		member.tx.addWritten(written)
		member.tx.addRequired(required)
		member.batch = batch
		count++
	}
	members := slices.Clone(queue.waiting[:count])
	queue.waiting = slices.Delete(queue.waiting, 0, count)
	batch.callers, queue.committing = count, count > 0
	return members
}

// commitMembers commits members as one transaction. Those whose own conditions do not hold get an ErrConflict, and
// the others are committed again without them.
func (group *Group) commitMembers(ctx context.Context, members []*groupMember) {
	for len(members) > 0 {
		version, err := group.Store.Commit(ctx, joinMembers(members))
		var conflict ErrConflict
		if IsErrRejected(err) && len(members) > 1 {
			group.commitSingly(ctx, members)
			return
		}
		if !errors.As(err, &conflict) || len(members) == 1 {
			for _, member := range members {
				member.result <- groupResult{version, err}
			}
			return
		}
		rest := slices.DeleteFunc(slices.Clone(members), func(member *groupMember) bool {
			own, holds := member.tx.check(conflict)
			if !holds {
				member.result <- groupResult{0, own}
			}
			return !holds
		})
		if len(rest) == len(members) {
			// The rows changed again before the conflict was returned.
			group.commitSingly(ctx, members)
			return
		}
		members = rest
	}
}

// commitSingly commits each member as a transaction of its own.
func (group *Group) commitSingly(ctx context.Context, members []*groupMember) {
	for _, member := range members {
		version, err := group.Store.Commit(ctx, member.tx)
		member.result <- groupResult{version, err}
	}
}

// joinMembers returns one transaction with the entries of all members. A condition that several members have is
// included once.
func joinMembers(members []*groupMember) Tx {
	if len(members) == 1 {
		return members[0].tx
	}
	var joined Tx
	seen := map[Condition]struct{}{}
	for _, member := range members {
		for _, condition := range member.tx.Conditions {
			if _, ok := seen[condition]; !ok {
				seen[condition] = struct{}{}
				joined.Conditions = append(joined.Conditions, condition)
			}
		}
		joined.Puts = append(joined.Puts, member.tx.Puts...)
		joined.Removes = append(joined.Removes, member.tx.Removes...)
	}
	return joined
}

// entries returns the number of entries of tx as the store counts them.
func (tx Tx) entries() int { return len(tx.Conditions) + len(tx.Puts) + len(tx.Removes) }

// writesAny reports whether tx writes or removes a row of the set.
func (tx Tx) writesAny(rows set.Set[Ref]) bool {
	return slices.ContainsFunc(tx.Puts, func(put Put) bool { return rows.Has(put.Ref) }) || slices.ContainsFunc(tx.Removes, rows.Has)
}

// requiresAny reports whether tx has a condition on a row of the set.
func (tx Tx) requiresAny(rows set.Set[Ref]) bool {
	return slices.ContainsFunc(tx.Conditions, func(condition Condition) bool { return rows.Has(condition.Ref) })
}

// addRequired adds the rows on which tx has conditions to the set.
func (tx Tx) addRequired(rows set.Set[Ref]) {
	for _, condition := range tx.Conditions {
		rows.Add(condition.Ref)
	}
}

// addWritten adds the rows that tx writes or removes to the set.
func (tx Tx) addWritten(rows set.Set[Ref]) {
	for _, put := range tx.Puts {
		rows.Add(put.Ref)
	}
	for _, ref := range tx.Removes {
		rows.Add(ref)
	}
}

// size returns the number of bytes of the values of tx.
func (tx Tx) size() int {
	size := 0
	for _, put := range tx.Puts {
		size += len(put.Value)
	}
	return size
}

// check reports whether the conditions of tx hold in the rows of a conflict, and returns the conflict with the rows of
// tx alone.
func (tx Tx) check(conflict ErrConflict) (ErrConflict, bool) {
	var own ErrConflict
	holds := true
	for _, condition := range tx.Conditions {
		row := conflict.Row(condition.Ref)
		holds = holds && row.Version == condition.Version
		if row.Version != 0 {
			own.Rows = append(own.Rows, row)
		}
	}
	return own, holds
}
