package standin_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/objectstore"
	"hyssopjunction/standin"
	"hyssopjunction/table"
)

func TestMain(m *testing.M) {
	// A fixed seed makes each run check the same cases; -rapid.seed=0 draws a random one.
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

func newTable(seed uint64) *standin.Table {
	return standin.NewTable(standin.TableOptions{
		Clock: clock.NewFake(1), Seed: seed, ValueBytes: 8, TransactionBytes: 30, HistoryCommits: 2,
	})
}

func put(write ident.Write, key table.Key, revision table.Revision, value string) table.Transaction {
	return table.Transaction{
		Write:      write,
		Conditions: []table.Condition{{Key: key, Revision: revision}},
		Operations: []table.Operation{{Key: key, Value: []byte(value)}},
	}
}

// TestTableMatchesModel guards against transactions that are applied in part, lost answers of
// transactions without effect, and revisions that skip or repeat. It compares all rows with a model
// kept in a map.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := newTable(rapid.Uint64().Draw(rt, "seed"))
		model := make(map[table.Key]table.Row)
		key := rapid.Map(rapid.IntRange(0, 4), func(index int) table.Key { return table.Key(fmt.Sprint("k", index)) })
		for write := range rapid.IntRange(1, 40).Draw(rt, "writes") {
			transaction := table.Transaction{Write: ident.Write(fmt.Sprint("w", write))}
			holds := true
			for range rapid.IntRange(0, 2).Draw(rt, "conditions") {
				condition := table.Condition{Key: key.Draw(rt, "condition"), Revision: table.Revision(rapid.IntRange(0, 3).Draw(rt, "revision"))}
				transaction.Conditions = append(transaction.Conditions, condition)
				holds = holds && model[condition.Key].Revision == condition.Revision
			}
			for range rapid.IntRange(1, 3).Draw(rt, "operations") {
				transaction.Operations = append(transaction.Operations, table.Operation{
					Key: key.Draw(rt, "key"), Value: []byte(fmt.Sprint(write)), Delete: rapid.Bool().Draw(rt, "delete"),
				})
			}
			faults := standin.StoreFaults{Outage: rapid.Bool().Draw(rt, "outage"), LoseNext: rapid.IntRange(0, 1).Draw(rt, "lose")}
			assertNoError(rt, store.SetFaults(faults))
			_, err := store.Commit(rt.Context(), transaction)
			assertEqual(rt, table.IsErrUnavailable(err), faults.Outage)
			assertEqual(rt, table.IsErrConflict(err), !faults.Outage && !holds)
			assertEqual(rt, table.IsErrUnknownOutcome(err), !faults.Outage && holds && faults.LoseNext > 0)
			if holds && !faults.Outage {
				apply(model, transaction)
			}
			assertNoError(rt, store.SetFaults(standin.StoreFaults{}))
			assertModel(rt, store, model)
		}
	})
}

func apply(model map[table.Key]table.Row, transaction table.Transaction) {
	for _, operation := range transaction.Operations {
		row := table.Row{
			Key: operation.Key, Value: operation.Value, Revision: model[operation.Key].Revision + 1,
			Write: transaction.Write, Deleted: operation.Delete,
		}
		if operation.Delete {
			row.Value = nil
		}
		model[operation.Key] = row
	}
}

func assertModel(t rapid.TB, store table.Store, model map[table.Key]table.Row) {
	t.Helper()
	existing := make(map[table.Key]table.Row)
	for key, want := range model {
		row, err := store.Get(context.Background(), key)
		assertNoError(t, err)
		assertEqual(t, row, want)
		if want.Exists() {
			existing[key] = want
		}
	}
	ranged := make(map[table.Key]table.Row)
	for after := table.Key(""); ; {
		rows, err := store.Range(context.Background(), "k", after, 2)
		assertNoError(t, err)
		for _, row := range rows {
			if row.Key <= after {
				t.Fatalf("range is not in order: %s after %s", row.Key, after)
			}
			after, ranged[row.Key] = row.Key, row
		}
		if len(rows) < 2 {
			break
		}
	}
	if !maps.EqualFunc(ranged, existing, func(left, right table.Row) bool { return cmp.Equal(left, right) }) {
		t.Fatalf("range gives %v, not %v", ranged, existing)
	}
}

// TestTableSizeLimits guards against a limit that is not enforced, or that is enforced after a part
// of the transaction took effect.
func TestTableSizeLimits(t *testing.T) {
	store := newTable(1)
	_, err := store.Commit(t.Context(), put("w1", "a", 0, "123456789"))
	assertEqual(t, err, error(table.ErrTooLarge{Key: "a", Bytes: 9, Limit: 8}))
	var transaction table.Transaction
	for _, key := range []table.Key{"a", "b", "c", "d"} {
		transaction.Operations = append(transaction.Operations, table.Operation{Key: key, Value: []byte("12345678")})
	}
	_, err = store.Commit(t.Context(), transaction)
	assertEqual(t, err, error(table.ErrTooLarge{Key: "d", Bytes: 36, Limit: 30}))
	assertModel(t, store, map[table.Key]table.Row{"a": {Key: "a"}})
}

// TestTableHistoryKeepsNewestCommits guards against a history that loses the newest commits or
// grows without bound.
func TestTableHistoryKeepsNewestCommits(t *testing.T) {
	store := newTable(1)
	for revision := range table.Revision(3) {
		_, err := store.Commit(t.Context(), put(ident.Write(fmt.Sprint("w", revision+1)), "a", revision, "v"))
		assertNoError(t, err)
	}
	assertEqual(t, store.History("a"), []standin.Commit{
		{At: 1, Write: "w2", Revision: 2, Value: []byte("v")},
		{At: 1, Write: "w3", Revision: 3, Value: []byte("v")},
	})
}

// TestTableDelayRateAndSeed guards against a delayed call that takes effect although its caller has
// given up, calls above the rate limit that are served or not counted, and faults that do not
// depend on the seed alone.
func TestTableDelayRateAndSeed(t *testing.T) {
	store := newTable(1)
	assertNoError(t, store.SetFaults(standin.StoreFaults{DelayMillis: 50}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := store.Commit(ctx, put("w1", "a", 0, "v"))
	assertEqual(t, table.IsErrUnavailable(err), true)
	assertEqual(t, store.Counts(), standin.TableCounts{})
	assertNoError(t, store.SetFaults(standin.StoreFaults{WritesPerSecond: 1}))
	_, err = store.Commit(t.Context(), put("w1", "a", 0, "v"))
	assertNoError(t, err)
	_, err = store.Commit(t.Context(), put("w2", "b", 0, "v"))
	assertEqual(t, err, error(table.ErrUnavailable{Reason: "rate limit", RetryAfter: clock.Second}))
	assertEqual(t, store.Counts(), standin.TableCounts{Commits: 1, Refused: 1, PeakCommits: 1})

	outcomes := func(seed uint64) string {
		store, pattern := newTable(seed), ""
		assertNoError(t, store.SetFaults(standin.StoreFaults{ErrorRate: 0.3, LoseRate: 0.3}))
		for index := range 40 {
			_, err := store.Commit(t.Context(), put("w", table.Key(fmt.Sprint(index)), 0, "v"))
			pattern += map[bool]string{true: "u", false: "-"}[table.IsErrUnavailable(err)]
			pattern += map[bool]string{true: "l", false: "-"}[table.IsErrUnknownOutcome(err)]
		}
		return pattern
	}
	assertEqual(t, outcomes(7), outcomes(7))
	if outcomes(7) == outcomes(8) {
		t.Error("different seeds give the same faults")
	}
	assertEqual(t, standin.IsErrBadFault(store.SetFaults(standin.StoreFaults{LoseRate: 1.1})), true)
}

// TestObjects guards against an object store that loses acknowledged objects, and against a lost
// answer to a write without effect.
func TestObjects(t *testing.T) {
	objects := standin.NewObjects(standin.ObjectsOptions{Clock: clock.NewFake(1), ObjectBytes: 4})
	assertNoError(t, objects.Put(t.Context(), "b/2", []byte("two")))
	assertNoError(t, objects.SetFaults(standin.StoreFaults{LoseNext: 1}))
	assertEqual(t, objectstore.IsErrUnavailable(objects.Put(t.Context(), "b/1", []byte("one"))), true)
	assertEqual(t, objectstore.IsErrTooLarge(objects.Put(t.Context(), "c", []byte("12345"))), true)
	names, err := objects.List(t.Context(), "b/", "b/0", 2)
	assertNoError(t, err)
	assertEqual(t, names, []objectstore.Name{"b/1", "b/2"})
	names, err = objects.List(t.Context(), "b/", "b/1", 2)
	assertNoError(t, err)
	assertEqual(t, names, []objectstore.Name{"b/2"})
	names, err = objects.List(t.Context(), "", "", 1)
	assertNoError(t, err)
	assertEqual(t, names, []objectstore.Name{"b/1"})
	assertNoError(t, objects.Delete(t.Context(), "b/2"))
	_, err = objects.Get(t.Context(), "b/2")
	assertEqual(t, err, error(objectstore.ErrNotFound{Name: "b/2"}))
	assertNoError(t, objects.SetFaults(standin.StoreFaults{Outage: true}))
	_, err = objects.Get(t.Context(), "b/1")
	assertEqual(t, objectstore.IsErrUnavailable(err), true)
}

func assertNoError(t rapid.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func assertEqual[Value any](t rapid.TB, got, want Value) {
	t.Helper()
	if difference := cmp.Diff(want, got); difference != "" {
		t.Fatalf("differs (-want +have):\n%s", difference)
	}
}
