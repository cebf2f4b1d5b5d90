package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"hyssopjunction/clock"
)

// gatedStore applies one commit for each permit. It fails commits with the next of failures, if there is one.
type gatedStore struct {
	permits chan struct{}
	arrived chan struct{}

	mu       sync.Mutex
	failures []error
	commits  []Tx
	rows     map[Ref]Row
}

func newGatedStore() *gatedStore {
	return &gatedStore{permits: make(chan struct{}, 100), arrived: make(chan struct{}, 100), rows: map[Ref]Row{}}
}

func (gated *gatedStore) Commit(ctx context.Context, tx Tx) (Version, error) {
	gated.arrived <- struct{}{}
	select {
	case <-gated.permits:
	case <-ctx.Done():
		return 0, ErrUnknown{Reason: ctx.Err().Error()}
	}
	gated.mu.Lock()
	defer gated.mu.Unlock()
	gated.commits = append(gated.commits, tx)
	if len(gated.failures) > 0 {
		err := gated.failures[0]
		gated.failures = gated.failures[1:]
		if err != nil {
			return 0, err
		}
	}
	var conflict ErrConflict
	failed := false
	for _, condition := range tx.Conditions {
		row := gated.rows[condition.Ref]
		failed = failed || row.Version != condition.Version
		if row.Version != 0 {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if failed {
		return 0, conflict
	}
	version := Version(len(gated.commits))
	for _, put := range tx.Puts {
		gated.rows[put.Ref] = Row{Ref: put.Ref, Value: put.Value, Version: version}
	}
	return version, nil
}

func (gated *gatedStore) List(context.Context, Table, string, string) (Rows, error) {
	return Rows{}, nil
}

func (gated *gatedStore) Changes(context.Context, Table, Version, clock.Millis) (Rows, error) {
	return Rows{}, nil
}

func (gated *gatedStore) Partition(Ref) string { return "" }

func (gated *gatedStore) Now() clock.Time { return 1 }

func (gated *gatedStore) commitCount() int {
	gated.mu.Lock()
	defer gated.mu.Unlock()
	return len(gated.commits)
}

func newTestGroup(gated *gatedStore) *Group {
	return NewGroup(gated)
}

func newRowTx(key string) Tx {
	ref := Ref{Table: "inbox", Key: key}
	return Tx{Conditions: []Condition{{Ref: ref}}, Puts: []Put{{Ref: ref, Value: []byte(key)}}}
}

// commitAsync commits on a goroutine and returns a channel with the error.
func commitAsync(ctx context.Context, group *Group, tx Tx) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := group.Commit(ctx, tx)
		done <- err
	}()
	return done
}

// awaitWaiting waits until a number of transactions wait for the one in progress.
func awaitWaiting(t *testing.T, group *Group, want int) {
	t.Helper()
	for range 2000 {
		group.mu.Lock()
		got := len(group.queues[""].waiting)
		group.mu.Unlock()
		if got == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("no %d transactions wait", want)
}

func assertErrors(t *testing.T, results []<-chan error, check func(error) bool) {
	t.Helper()
	for number, result := range results {
		if err := <-result; !check(err) {
			t.Errorf("transaction %d: unexpected outcome %v", number, err)
		}
	}
}

func isNil(err error) bool { return err == nil }

func isConflict(err error) bool { return errors.As(err, new(ErrConflict)) }

// TestGroupJoinsBurst guards against a burst of small transactions that wait in line at a slow partition until they
// time out, and whose repetitions lengthen the line: 2 of 48 jobs were not stored within 3 s.
func TestGroupJoinsBurst(t *testing.T) {
	t.Parallel()
	gated := newGatedStore()
	group := newTestGroup(gated)
	first := commitAsync(t.Context(), group, newRowTx("first"))
	<-gated.arrived
	const burst = 48
	var results []<-chan error
	for number := range burst {
		results = append(results, commitAsync(t.Context(), group, newRowTx(fmt.Sprint(number))))
	}
	awaitWaiting(t, group, burst)
	for range 2 {
		gated.permits <- struct{}{}
	}
	assertErrors(t, append(results, first), isNil)
	if got := gated.commitCount(); got != 2 {
		t.Errorf("got %d commits, want 2", got)
	}
}

// TestGroupSplitsConflicts guards against a transaction that fails because another one in the same commit does, and
// against one row that is written twice in a commit.
func TestGroupSplitsConflicts(t *testing.T) {
	t.Parallel()
	gated := newGatedStore()
	group := newTestGroup(gated)
	taken := Ref{Table: "inbox", Key: "taken"}
	gated.rows[taken] = Row{Ref: taken, Version: 7}
	first := commitAsync(t.Context(), group, newRowTx("first"))
	<-gated.arrived
	conflicting := commitAsync(t.Context(), group, newRowTx("taken"))
	awaitWaiting(t, group, 1)
	good := []<-chan error{first, commitAsync(t.Context(), group, newRowTx("a")), commitAsync(t.Context(), group, newRowTx("b"))}
	awaitWaiting(t, group, 3)
	repeated := commitAsync(t.Context(), group, newRowTx("a"))
	awaitWaiting(t, group, 4)
	for range 4 {
		gated.permits <- struct{}{}
	}
	assertErrors(t, good, isNil)
	assertErrors(t, []<-chan error{conflicting, repeated}, isConflict)
}

// TestGroupKeepsSize guards against a joined transaction beyond the store's limit of 100 entries.
func TestGroupKeepsSize(t *testing.T) {
	t.Parallel()
	gated := newGatedStore()
	group := newTestGroup(gated)
	results := []<-chan error{commitAsync(t.Context(), group, newRowTx("first"))}
	<-gated.arrived
	const count = 120
	for number := range count {
		results = append(results, commitAsync(t.Context(), group, newRowTx(fmt.Sprint(number))))
	}
	awaitWaiting(t, group, count)
	for range 10 {
		gated.permits <- struct{}{}
	}
	assertErrors(t, results, isNil)
	for _, tx := range gated.commits {
		if tx.entries() > maxGroupEntries {
			t.Errorf("a transaction has %d entries, want at most %d", tx.entries(), maxGroupEntries)
		}
	}
}

// TestGroupLeave guards against a false answer to a caller that gives up: its transaction has certainly had no effect
// only if it was never sent, and the others of its commit go on.
func TestGroupLeave(t *testing.T) {
	t.Parallel()
	gated := newGatedStore()
	group := newTestGroup(gated)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first := commitAsync(t.Context(), group, newRowTx("first"))
	<-gated.arrived
	left := commitAsync(ctx, group, newRowTx("left"))
	awaitWaiting(t, group, 1)
	cancel()
	if err := <-left; !IsErrUnavailable(err) {
		t.Errorf("before it was sent: got %v, want an ErrUnavailable", err)
	}
	ctx, cancel = context.WithCancel(t.Context())
	defer cancel()
	left, kept := commitAsync(ctx, group, newRowTx("in progress")), commitAsync(t.Context(), group, newRowTx("kept"))
	awaitWaiting(t, group, 2)
	gated.permits <- struct{}{}
	<-gated.arrived
	cancel()
	if err := <-left; !IsErrUnknown(err) {
		t.Errorf("in progress: got %v, want an ErrUnknown", err)
	}
	gated.permits <- struct{}{}
	assertErrors(t, []<-chan error{first, kept}, isNil)
	if _, ok := gated.rows[Ref{Table: "inbox", Key: "left"}]; ok {
		t.Error("a transaction whose caller was told that it had no effect was applied")
	}
}

// TestGroupPassesFailures guards against a failure of the store that callers of a joined transaction take for
// something else.
func TestGroupPassesFailures(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		failure error
		check   func(error) bool
	}{
		"unavailable": {ErrUnavailable{Reason: "503"}, IsErrUnavailable},
		"unknown":     {ErrUnknown{Reason: "no answer"}, IsErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gated := newGatedStore()
			group := newTestGroup(gated)
			first := commitAsync(t.Context(), group, newRowTx("first"))
			<-gated.arrived
			results := []<-chan error{commitAsync(t.Context(), group, newRowTx("a")), commitAsync(t.Context(), group, newRowTx("b"))}
			awaitWaiting(t, group, 2)
			gated.permits <- struct{}{}
			if err := <-first; err != nil {
				t.Error(err)
			}
			<-gated.arrived
			gated.mu.Lock()
			gated.failures = []error{test.failure}
			gated.mu.Unlock()
			gated.permits <- struct{}{}
			assertErrors(t, results, test.check)
		})
	}
}

// TestRejectedMemberFailsAlone guards against submissions that fail because the store rejects another one, which shares their
// transaction.
func TestRejectedMemberFailsAlone(t *testing.T) {
	gated := newGatedStore()
	gated.failures = []error{ErrRejected{Reason: "status 400"}, nil, ErrRejected{Reason: "status 400"}}
	for range 3 {
		gated.permits <- struct{}{}
	}
	group := NewGroup(gated)
	var members []*groupMember
	for _, key := range []string{"a", "b"} {
		ref := Ref{Table: "t", Key: key}
		members = append(members, &groupMember{tx: Tx{Conditions: []Condition{{Ref: ref}}, Puts: []Put{{Ref: ref}}}, result: make(chan groupResult, 1)})
	}
	group.commitMembers(t.Context(), members)
	if result := <-members[0].result; result.err != nil {
		t.Errorf("got %v for the first member, want success", result.err)
	}
	if result := <-members[1].result; !IsErrRejected(result.err) {
		t.Errorf("got %v for the second member, want ErrRejected", result.err)
	}
}

// TestGroupKeepsExclusiveTransactionsApart guards against two transactions that are both applied although each requires that the other
// is not, because they were joined: the conditions of a joined transaction are checked before any of its rows is written.
func TestGroupKeepsExclusiveTransactionsApart(t *testing.T) {
	first, second := Ref{Table: "inbox", Key: "a"}, Ref{Table: "ended", Key: "a"}
	conditions := []Condition{{Ref: first}, {Ref: second}}
	for name, txs := range map[string][]Tx{
		"the later one requires": {newRowTx("a"), {Conditions: conditions, Puts: []Put{{Ref: second}}}},
		"the first one requires": {{Conditions: conditions, Puts: []Put{{Ref: second}}}, newRowTx("a")},
		"both require":           {{Conditions: conditions, Puts: []Put{{Ref: first}}}, {Conditions: conditions, Puts: []Put{{Ref: second}}}},
	} {
		t.Run(name, func(t *testing.T) {
			gated := newGatedStore()
			group := newTestGroup(gated)
			inProgress := commitAsync(t.Context(), group, newRowTx("b"))
			<-gated.arrived
			var results []<-chan error
			for number, tx := range txs {
				results = append(results, commitAsync(t.Context(), group, tx))
				awaitWaiting(t, group, number+1)
			}
			for range 10 {
				gated.permits <- struct{}{}
			}
			if err := <-inProgress; err != nil {
				t.Fatal(err)
			}
			if got := gated.commitCount(); got > 3 {
				t.Errorf("%d transactions, want at most 3", got)
			}
			conflicts := 0
			for _, result := range results {
				if err := <-result; IsErrConflict(err) {
					conflicts++
				} else if err != nil {
					t.Errorf("got %v", err)
				}
			}
			if name == "the first one requires" {
				if conflicts != 0 {
					t.Errorf("%d conflicts, want none: the second transaction does not depend on the first", conflicts)
				}
				return
			}
			if conflicts != 1 {
				t.Errorf("%d conflicts, want 1", conflicts)
			}
		})
	}
}
