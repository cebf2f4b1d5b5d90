// Package tabletest implements the table service in memory with fault injection, for tests of packages
// that keep state in the table.
package tabletest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing/synctest"

	"hyssopjunction/clock"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// Fault is a fault of one call.
type Fault int

// Faults of a call. A read with a fault that only applies to commits is refused.
const (
	// None carries the call out and responds.
	None Fault = iota
	// Refuse responds that the service is unavailable. The call has no effect.
	Refuse
	// LoseRequest loses the call before it has an effect.
	LoseRequest
	// LoseAnswer loses the response after the call took effect.
	LoseAnswer
	// Late loses the response, and the commit takes effect only with the next commit that
	// arrives or with Deliver.
	Late
	// Hang returns only when the caller's context ends. The call has no effect.
	Hang
	// HangApplied returns only when the caller's context ends, after the call took effect.
	HangApplied
	// Stale returns rows from the state before the newest write. It does not affect commits.
	Stale
	// FaultCount is the number of kinds of faults, None included.
	FaultCount
)

// Call describes a call to the service.
type Call struct {
	// Number counts the calls from 1, this one included, and Commits the commits among them.
	Number  int
	Commits int
	Commit  bool
}

// Applied is a transaction that took effect.
type Applied struct {
	Transaction table.Transaction
}

// Memory is a table service in memory. It is safe for concurrent use.
type Memory struct {
	mu             sync.Mutex
	rows           map[table.Key]table.Row
	previous       map[table.Key]table.Row
	log            []Applied
	lateCommits    []table.Transaction
	calls          int
	commits        int
	returnedRows   int
	maxWrittenRows int
	fault          func(Call) Fault
}

// New returns an empty Memory without faults.
func New() *Memory {
	return &Memory{
		rows:     make(map[table.Key]table.Row),
		previous: make(map[table.Key]table.Row),
		fault:    func(Call) Fault { return None },
	}
}

// SetFault makes fault choose the fault of each call from now on. fault is called with a lock held, so
// it must not use the Memory.
func (memory *Memory) SetFault(fault func(Call) Fault) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.fault = fault
}

// SetLimit sets the maximum number of rows that a transaction may write; 0 means no limit.
func (memory *Memory) SetLimit(rows int) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.maxWrittenRows = rows
}

// Log returns the transactions that took effect, in the order of their commits.
func (memory *Memory) Log() []Applied {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return slices.Clone(memory.log)
}

// Calls returns the numbers of calls, of commits among them, and of rows returned.
func (memory *Memory) Calls() (calls, commits, rows int) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.calls, memory.commits, memory.returnedRows
}

// Deliver makes the late commits take effect now.
func (memory *Memory) Deliver() {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.deliver()
}

func (memory *Memory) deliver() {
	for _, transaction := range memory.lateCommits {
		_, _ = memory.apply(transaction)
	}
	memory.lateCommits = nil
}

// Write commits a transaction without faults, as another daemon could. It does not count as a call.
func (memory *Memory) Write(transaction table.Transaction) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	_, err := memory.apply(transaction)
	return err
}

// nextFault counts a call and returns its fault.
func (memory *Memory) nextFault(commit bool) Fault {
	memory.calls++
	if commit {
		memory.commits++
	}
	return memory.fault(Call{Number: memory.calls, Commits: memory.commits, Commit: commit})
}

// Get implements table.Store.
func (memory *Memory) Get(ctx context.Context, key table.Key) (table.Row, error) {
	rows, err := memory.read(ctx)
	if err != nil {
		return table.Row{}, err
	}
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.returnedRows++
	row, ok := rows[key]
	if !ok {
		row.Key = key
	}
	return row, nil
}

// Range implements table.Store.
func (memory *Memory) Range(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	rows, err := memory.read(ctx)
	if err != nil {
		return nil, err
	}
	memory.mu.Lock()
	defer memory.mu.Unlock()
	var selected []table.Row
	for _, key := range set.SortedKeys(rows) {
		if strings.HasPrefix(string(key), string(prefix)) && key > after && rows[key].Exists() && len(selected) < limit {
			selected = append(selected, rows[key])
		}
	}
	memory.returnedRows += len(selected)
	return selected, nil
}

func (memory *Memory) read(ctx context.Context) (map[table.Key]table.Row, error) {
	memory.mu.Lock()
	fault := memory.nextFault(false)
	rows := memory.rows
	if fault == Stale {
		rows = memory.previous
	}
	memory.mu.Unlock()
	switch fault {
	case None, Stale:
		return rows, nil
	case Hang, HangApplied:
		<-ctx.Done()
		return nil, ctx.Err()
	default:
		return nil, table.ErrUnavailable{Reason: "fault"}
	}
}

// Commit implements table.Store.
func (memory *Memory) Commit(ctx context.Context, transaction table.Transaction) (table.Result, error) {
	memory.mu.Lock()
	fault := memory.nextFault(true)
	var result table.Result
	var err error
	switch fault {
	case None, Stale, LoseAnswer, HangApplied:
		result, err = memory.apply(transaction)
		memory.deliver()
	case Late:
		memory.deliver()
		memory.lateCommits = append(memory.lateCommits, transaction)
	}
	memory.mu.Unlock()
	switch fault {
	case None, Stale:
		return result, err
	case Refuse:
		return table.Result{}, table.ErrUnavailable{Reason: "fault"}
	case Hang, HangApplied:
		<-ctx.Done()
		return table.Result{}, ctx.Err()
	default:
		return table.Result{}, table.ErrUnknownOutcome{Write: transaction.Write, Reason: "fault"}
	}
}

func (memory *Memory) apply(transaction table.Transaction) (table.Result, error) {
	if rows := len(transaction.Operations); memory.maxWrittenRows > 0 && rows > memory.maxWrittenRows {
		return table.Result{}, table.ErrTooLarge{Key: transaction.Operations[0].Key, Bytes: rows, Limit: memory.maxWrittenRows}
	}
	for _, condition := range transaction.Conditions {
		row := memory.rows[condition.Key]
		if row.Revision != condition.Revision {
			return table.Result{}, table.ErrConflict{
				Key: condition.Key, Want: condition.Revision, Have: row.Revision, Winner: row.Write,
			}
		}
	}
	previous := make(map[table.Key]table.Row, len(memory.rows))
	for key, row := range memory.rows {
		previous[key] = row
	}
	memory.previous = previous
	rows := make(map[table.Key]table.Row, len(memory.rows)+len(transaction.Operations))
	for key, row := range memory.rows {
		rows[key] = row
	}
	result := table.Result{Revisions: make(map[table.Key]table.Revision)}
	for _, operation := range transaction.Operations {
		row := table.Row{
			Key: operation.Key, Value: slices.Clone(operation.Value), Write: transaction.Write,
			Revision: rows[operation.Key].Revision + 1, Deleted: operation.Delete,
		}
		if operation.Delete {
			row.Value = nil
		}
		rows[operation.Key] = row
		result.Revisions[operation.Key] = row.Revision
	}
	memory.rows = rows
	memory.log = append(memory.log, Applied{Transaction: transaction})
	return result, nil
}

// Drive runs work in a goroutine and advances the clock by step whenever all goroutines are blocked,
// until work returns. It must be called inside a synctest bubble.
func Drive(fake *clock.Fake, step clock.Millis, work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for {
		synctest.Wait()
		select {
		case <-done:
			return
		default:
			fake.Advance(step)
		}
	}
}
