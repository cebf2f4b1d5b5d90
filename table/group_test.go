package table_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"

	"k8s.io/klog/v2"
)

// commitAll commits the transactions at the same time and returns their errors.
func commitAll(store table.Store, transactions []table.Transaction) []error {
	errors := make([]error, len(transactions))
	var group sync.WaitGroup
	for index, transaction := range transactions {
		group.Go(func() { _, errors[index] = store.Commit(context.Background(), transaction) })
	}
	group.Wait()
	return errors
}

// TestGroupCommit guards against independent transactions that are not merged, and against a conflict
// that fails the other transactions of a merged one.
func TestGroupCommit(t *testing.T) {
	failure := inBubble(t, testSettings(), func(fixture fixture) string {
		var transactions []table.Transaction
		for index := range 20 {
			key := table.Key(fmt.Sprintf("Row/%02d", index))
			transactions = append(transactions, put(key, 0, fmt.Sprint(index)))
		}
		for _, err := range commitAll(fixture.client, transactions) {
			if err != nil {
				return err.Error()
			}
		}
		if _, commits, _ := fixture.memory.Calls(); commits != 1 {
			return fmt.Sprintf("%d commits for 20 independent transactions, not 1", commits)
		}
		for index := range transactions {
			transactions[index].Conditions[0].Revision = 1
		}
		transactions[7].Conditions[0].Revision = 5
		for index, err := range commitAll(fixture.client, transactions) {
			if (index == 7) != table.IsErrConflict(err) || index != 7 && err != nil {
				return fmt.Sprintf("transaction %d: %v", index, err)
			}
		}
		// One before; then the merged transaction, the one in conflict alone, and the others merged again.
		if _, commits, _ := fixture.memory.Calls(); commits != 4 {
			return fmt.Sprintf("%d commits, not 4", commits)
		}
		return ""
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// TestConflictOnSharedCondition guards against a separate commit for each of many transactions that require
// the same changed row, for example claims in a data centre that was just taken out of service.
func TestConflictOnSharedCondition(t *testing.T) {
	failure := inBubble(t, testSettings(), func(fixture fixture) string {
		if err := fixture.memory.Write(put("Shared", 0, "closed")); err != nil {
			return err.Error()
		}
		var transactions []table.Transaction
		for index := range 30 {
			transaction := put(table.Key(fmt.Sprint("Row/", index)), 0, "x")
			if index%3 > 0 {
				transaction.Conditions = append(transaction.Conditions, table.Condition{Key: "Shared"})
			}
			transactions = append(transactions, transaction)
		}
		for index, err := range commitAll(fixture.client, transactions) {
			if (index%3 > 0) != table.IsErrConflict(err) || index%3 == 0 && err != nil {
				return fmt.Sprintf("transaction %d: %v", index, err)
			}
		}
		if _, commits, _ := fixture.memory.Calls(); commits != 2 {
			return fmt.Sprintf("%d commits, not 2", commits)
		}
		return ""
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// TestTooLargeMergeIsHalved guards against a separate commit for each transaction of a merged one that is
// too large.
func TestTooLargeMergeIsHalved(t *testing.T) {
	failure := inBubble(t, testSettings(), func(fixture fixture) string {
		fixture.memory.SetLimit(8)
		var transactions []table.Transaction
		for index := range 32 {
			transactions = append(transactions, put(table.Key(fmt.Sprint("Row/", index)), 0, "x"))
		}
		for _, err := range commitAll(fixture.client, transactions) {
			if err != nil {
				return err.Error()
			}
		}
		// One commit of 32 rows, two of 16 and four of 8.
		if _, commits, _ := fixture.memory.Calls(); commits != 7 {
			return fmt.Sprintf("%d commits, not 7", commits)
		}
		return ""
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// TestOverlapIsNotMerged guards against merging transactions that depend on each other.
func TestOverlapIsNotMerged(t *testing.T) {
	failure := inBubble(t, testSettings(), func(fixture fixture) string {
		first := put("Row/a", 0, "first")
		second := table.Transaction{
			Conditions: []table.Condition{{Key: "Row/a", Revision: 0}, {Key: "Row/b", Revision: 0}},
			Operations: []table.Operation{{Key: "Row/b", Value: []byte("second")}},
		}
		named := put("Row/c", 0, "named")
		named.Write = "caller.1"
		errors := commitAll(fixture.client, []table.Transaction{first, second, named})
		log := fixture.memory.Log()
		for _, applied := range log {
			if len(applied.Transaction.Operations) != 1 {
				return fmt.Sprintf("merged: %v", applied)
			}
		}
		row, err := fixture.client.Get(context.Background(), "Row/c")
		if err != nil || row.Write != "caller.1" || errors[2] != nil {
			return fmt.Sprintf("caller's write id lost: %v %v", row, err)
		}
		return ""
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// TestOutage guards against calls that reach the service during an outage other than one probe per
// interval, a breaker that stays open afterwards, and a log line for each refused call.
func TestOutage(t *testing.T) {
	var lines bytes.Buffer
	klog.SetOutput(&lines)
	settings := testSettings()
	failure := inBubble(t, settings, func(fixture fixture) string {
		fixture.memory.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Refuse })
		for range 20 {
			if _, err := fixture.client.Get(context.Background(), "Row/a"); !table.IsErrUnavailable(err) {
				return fmt.Sprintf("outage answered %v", err)
			}
		}
		if !fixture.client.Outage() {
			return "breaker is closed"
		}
		// While a probe waits for a response, no other call may be made.
		fixture.memory.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Hang })
		before, _, _ := fixture.memory.Calls()
		start := fixture.clock.Now()
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() {
				for fixture.clock.Now().Sub(start) < 10*clock.Second {
					_, _ = fixture.client.Get(context.Background(), "Row/a")
					<-fixture.clock.After(20)
				}
			})
		}
		callers.Wait()
		after, _, _ := fixture.memory.Calls()
		if probes := after - before; probes < 1 || probes > 10 {
			return fmt.Sprintf("%d probes in 10 intervals", probes)
		}
		fixture.memory.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.None })
		<-fixture.clock.After(2 * settings.ProbeMillis)
		if _, err := fixture.client.Commit(context.Background(), put("Row/a", 0, "y")); err != nil || fixture.client.Outage() {
			return fmt.Sprintf("outage did not end: %v", err)
		}
		return ""
	})
	klog.Flush()
	if failure != "" {
		t.Fatal(failure)
	}
	if entered, left := strings.Count(lines.String(), "outage entered"), strings.Count(lines.String(), "outage left"); entered != 1 || left != 1 {
		t.Fatalf("%d lines on entering and %d on leaving", entered, left)
	}
}

// TestSilentService guards against transactions that wait without limit behind calls that get no response:
// each must end in time with ErrUnavailable or ErrUnknownOutcome, and the breaker must open.
func TestSilentService(t *testing.T) {
	settings := testSettings()
	settings.CallMillis = 2 * clock.Second
	failure := inBubble(t, settings, func(fixture fixture) string {
		fixture.memory.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Hang })
		var group sync.WaitGroup
		var failure string
		start := fixture.clock.Now()
		for index := range 30 {
			group.Go(func() {
				<-fixture.clock.After(clock.Millis(index * 400))
				requestedAt := fixture.clock.Now()
				transaction := put(table.Key(fmt.Sprint("Row/", index)), 0, fmt.Sprint(index))
				_, err := fixture.client.Commit(context.Background(), transaction)
				if !table.IsErrUnavailable(err) && !table.IsErrUnknownOutcome(err) {
					failure = fmt.Sprintf("transaction %d: %v", index, err)
				}
				// Four calls of 2 s, the waits between them and the wait for a sender.
				if elapsed := fixture.clock.Now().Sub(requestedAt); elapsed > 12*clock.Second {
					failure = fmt.Sprintf("transaction %d took %s", index, elapsed)
				}
				if requestedAt.Sub(start) > 10*clock.Second && !fixture.client.Outage() {
					failure = "the breaker is closed"
				}
			})
		}
		group.Wait()
		return failure
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// TestRateLimit guards against more calls than the daemon's share of SystemReads and SystemWrites, and
// against a share that does not change with the number of entries.
func TestRateLimit(t *testing.T) {
	settings := testSettings()
	settings.SystemWrites, settings.SystemReads, settings.Entries = 100, 400, 10
	settings.GroupRows = 1
	failure := inBubble(t, settings, func(fixture fixture) string {
		count := func(entries int) (int, int) {
			fixture.client.SetEntries(entries)
			allBefore, commitsBefore, _ := fixture.memory.Calls()
			end := fixture.clock.Now().Add(10 * clock.Second)
			var group sync.WaitGroup
			for worker := range 8 {
				group.Go(func() {
					for step := 0; fixture.clock.Now().Before(end); step++ {
						key := table.Key(fmt.Sprintf("Row/%d/%d/%d", entries, worker, step))
						_, _ = fixture.client.Commit(context.Background(), put(key, 0, "x"))
						for range 4 {
							_, _ = fixture.client.Get(context.Background(), key)
						}
					}
				})
			}
			group.Wait()
			all, commits, _ := fixture.memory.Calls()
			return all - allBefore - (commits - commitsBefore), commits - commitsBefore
		}
		// The bound is ten seconds of calls, one second's burst and the calls that still waited at the end.
		for _, entries := range []int{10, 5} {
			reads, commits := count(entries)
			if writeBound, readBound := 11*100/entries+9, 11*400/entries+33; commits > writeBound || reads > readBound {
				return fmt.Sprintf("%d entries: %d commits and %d reads, bounds %d and %d", entries, commits, reads, writeBound, readBound)
			}
			if commits < 5*100/entries {
				return fmt.Sprintf("%d entries: only %d commits", entries, commits)
			}
		}
		return ""
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// BenchmarkGroupCommit compares the commits of 40 concurrent writers on independent rows, each of which
// commits once per round, with one commit per transaction.
func BenchmarkGroupCommit(b *testing.B) {
	memory := tabletest.New()
	settings := testSettings()
	settings.SystemWrites, settings.SystemReads = 1_000_000, 1_000_000
	client := table.NewClient(memory, clock.NewSystem(), "w1", newRandom(1), settings)
	defer client.Close()
	for b.Loop() {
		var writers sync.WaitGroup
		for writer := range 40 {
			writers.Go(func() {
				key := table.Key(fmt.Sprintf("Row/%d", writer))
				row, _ := client.Get(context.Background(), key)
				_, _ = client.Commit(context.Background(), put(key, row.Revision, "x"))
			})
		}
		writers.Wait()
	}
	stats := client.Stats()
	b.ReportMetric(float64(stats.Commits)/float64(stats.Requests), "commits/baseline")
	b.ReportMetric(100*float64(stats.Saved)/float64(stats.Requests), "%saved")
}
