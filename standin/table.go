// Package standin replaces the platform in development and tests. It has the table service, the
// object store, worker runtimes and endpoints, in process and over HTTP. Faults can be changed at
// run time, and records show violations.
package standin

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// Default limits of the table.
const (
	DefaultValueBytes       = 256 << 10
	DefaultTransactionBytes = 1 << 20
)

// outageRetry is the RetryAfter of a refused call. The platform gives no better estimate.
const outageRetry = clock.Second

// TableOptions configures a Table. Limits of zero take the defaults.
type TableOptions struct {
	Clock clock.Clock
	// Seed determines which calls fail or lose their answer.
	Seed uint64
	// ValueBytes is the largest value of a row.
	ValueBytes int
	// TransactionBytes is the largest total size of the keys and values in a transaction.
	TransactionBytes int
	// HistoryCommits is the number of commits recorded per row, the newest ones; 0 records none.
	HistoryCommits int
}

// Commit records one write to one row.
type Commit struct {
	At       clock.Time
	Write    ident.Write
	Revision table.Revision
	Value    []byte
	Deleted  bool
}

// TableCounts counts the calls of a Table.
type TableCounts struct {
	Gets      int
	Ranges    int
	Commits   int
	Conflicts int
	Refused   int
	Lost      int
	// PeakReads and PeakCommits are the highest numbers of admitted reads and commits in one
	// second.
	PeakReads   int
	PeakCommits int
}

// Table is an in-memory table.Store. It is safe for concurrent use.
type Table struct {
	options  TableOptions
	injector *injector

	mu      sync.Mutex
	rows    map[table.Key]table.Row
	keys    []table.Key // sorted, including keys of deleted rows
	history map[table.Key][]Commit
	counts  TableCounts
	second  clock.Time // start of the second in which reads and commits are counted
	reads   int
	commits int
}

// NewTable returns an empty, healthy Table.
func NewTable(options TableOptions) *Table {
	if options.ValueBytes == 0 {
		options.ValueBytes = DefaultValueBytes
	}
	if options.TransactionBytes == 0 {
		options.TransactionBytes = DefaultTransactionBytes
	}
	return &Table{
		options:  options,
		injector: newInjector(options.Clock, options.Seed),
		rows:     make(map[table.Key]table.Row),
		history:  make(map[table.Key][]Commit),
	}
}

// Faults returns the faults in force.
func (store *Table) Faults() StoreFaults {
	return store.injector.get()
}

// SetFaults replaces the faults in force. It returns ErrBadFault.
func (store *Table) SetFaults(faults StoreFaults) error {
	return store.injector.update(replaceWith(faults))
}

// UpdateFaults changes the faults in force. If change returns an error or the result is out of
// range, the faults stay as they are.
func (store *Table) UpdateFaults(change func(faults *StoreFaults) error) error {
	return store.injector.update(change)
}

// Get returns one row. A missing row is a Row with Revision 0 and no error.
func (store *Table) Get(ctx context.Context, key table.Key) (table.Row, error) {
	if err := store.admit(ctx, false); err != nil {
		return table.Row{}, err
	}
	store.mu.Lock()
	store.counts.Gets++
	row, ok := store.rows[key]
	store.mu.Unlock()
	if !ok {
		row = table.Row{Key: key}
	}
	return copyRow(row), store.answerRead(ctx)
}

// Range returns up to limit existing rows whose keys start with prefix and are greater than after,
// in ascending order of key. A limit of zero or less returns no rows.
func (store *Table) Range(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	if err := store.admit(ctx, false); err != nil {
		return nil, err
	}
	return store.scan(prefix, after, limit), store.answerRead(ctx)
}

func (store *Table) scan(prefix, after table.Key, limit int) []table.Row {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.counts.Ranges++
	from, _ := slices.BinarySearch(store.keys, max(prefix, after))
	var rows []table.Row
	for _, key := range store.keys[from:] {
		if len(rows) >= limit || !strings.HasPrefix(string(key), string(prefix)) {
			break
		}
		if row := store.rows[key]; key > after && row.Exists() {
			rows = append(rows, copyRow(row))
		}
	}
	return rows
}

// Commit applies the transaction if all its conditions hold.
func (store *Table) Commit(ctx context.Context, transaction table.Transaction) (table.Result, error) {
	if err := store.admit(ctx, true); err != nil {
		return table.Result{}, err
	}
	if err := store.checkSize(transaction); err != nil {
		return table.Result{}, err
	}
	result, err := store.apply(transaction)
	if store.injector.afterCall(ctx, err == nil) {
		store.updateCounts(func(counts *TableCounts) { counts.Lost++ })
		return table.Result{}, table.ErrUnknownOutcome{Write: transaction.Write, Reason: "answer lost"}
	}
	return result, err
}

// admit applies the faults in force before a call takes effect.
func (store *Table) admit(ctx context.Context, commit bool) error {
	switch store.injector.beforeCall(ctx) {
	case refused:
		store.updateCounts(func(counts *TableCounts) { counts.Refused++ })
		return table.ErrUnavailable{Reason: "stand-in refuses calls", RetryAfter: outageRetry}
	case cancelled:
		return table.ErrUnavailable{Reason: context.Cause(ctx).Error(), RetryAfter: outageRetry}
	}
	if !store.withinRate(commit) {
		store.updateCounts(func(counts *TableCounts) { counts.Refused++ })
		return table.ErrUnavailable{Reason: "rate limit", RetryAfter: outageRetry}
	}
	return nil
}

// withinRate counts the call against the current second, and returns false if the rate limit is
// reached.
func (store *Table) withinRate(commit bool) bool {
	faults := store.injector.get()
	store.mu.Lock()
	defer store.mu.Unlock()
	now := store.options.Clock.Now()
	if second := now - now%clock.Time(clock.Second); second != store.second {
		store.second, store.reads, store.commits = second, 0, 0
	}
	used, peak, limit := &store.reads, &store.counts.PeakReads, faults.ReadsPerSecond
	if commit {
		used, peak, limit = &store.commits, &store.counts.PeakCommits, faults.WritesPerSecond
	}
	if limit > 0 && *used >= limit {
		return false
	}
	*used++
	*peak = max(*peak, *used)
	return true
}

// answerRead delays the answer to a read. If ctx ends before the answer, it fails with ErrUnavailable
// rather than ErrUnknownOutcome, because a read has no effect.
func (store *Table) answerRead(ctx context.Context) error {
	if wait(ctx, store.options.Clock, store.injector.get().AnswerDelayMillis) {
		return nil
	}
	return table.ErrUnavailable{Reason: context.Cause(ctx).Error(), RetryAfter: outageRetry}
}

func (store *Table) checkSize(transaction table.Transaction) error {
	total := 0
	for _, operation := range transaction.Operations {
		if len(operation.Value) > store.options.ValueBytes {
			return table.ErrTooLarge{Key: operation.Key, Bytes: len(operation.Value), Limit: store.options.ValueBytes}
		}
		total += len(operation.Key) + len(operation.Value)
		if total > store.options.TransactionBytes {
			return table.ErrTooLarge{Key: operation.Key, Bytes: total, Limit: store.options.TransactionBytes}
		}
	}
	return nil
}

func (store *Table) apply(transaction table.Transaction) (table.Result, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, condition := range transaction.Conditions {
		row := store.rows[condition.Key]
		if row.Revision != condition.Revision {
			store.counts.Conflicts++
			return table.Result{}, table.ErrConflict{
				Key: condition.Key, Want: condition.Revision, Have: row.Revision, Winner: row.Write,
			}
		}
	}
	store.counts.Commits++
	result := table.Result{Revisions: make(map[table.Key]table.Revision, len(transaction.Operations))}
	for _, operation := range transaction.Operations {
		result.Revisions[operation.Key] = store.write(transaction.Write, operation)
	}
	return result, nil
}

// write applies one operation and returns the new revision. The caller holds mu.
func (store *Table) write(write ident.Write, operation table.Operation) table.Revision {
	row := table.Row{
		Key:      operation.Key,
		Revision: store.rows[operation.Key].Revision + 1,
		Write:    write,
		Deleted:  operation.Delete,
	}
	if !operation.Delete {
		row.Value = bytes.Clone(operation.Value)
	}
	if row.Revision == 1 {
		at, _ := slices.BinarySearch(store.keys, row.Key)
		store.keys = slices.Insert(store.keys, at, row.Key)
	}
	store.rows[row.Key] = row
	store.recordCommit(row)
	return row.Revision
}

// recordCommit adds the write to the row's history. The caller holds mu.
func (store *Table) recordCommit(row table.Row) {
	limit := store.options.HistoryCommits
	if limit == 0 {
		return
	}
	commits := store.history[row.Key]
	commits = append(commits, Commit{
		At: store.options.Clock.Now(), Write: row.Write, Revision: row.Revision, Value: row.Value, Deleted: row.Deleted,
	})
	store.history[row.Key] = commits[max(0, len(commits)-limit):]
}

// History returns the recorded commits of a row, oldest first.
func (store *Table) History(key table.Key) []Commit {
	store.mu.Lock()
	defer store.mu.Unlock()
	return slices.Clone(store.history[key])
}

// Counts returns the number of calls so far.
func (store *Table) Counts() TableCounts {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.counts
}

func (store *Table) updateCounts(change func(counts *TableCounts)) {
	store.mu.Lock()
	defer store.mu.Unlock()
	change(&store.counts)
}

func copyRow(row table.Row) table.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
