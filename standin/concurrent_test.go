package standin_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"hyssopjunction/ident"
	"hyssopjunction/standin"
	"hyssopjunction/table"
)

// TestTableConcurrentWriters guards against updates of concurrent writers to one row that are lost
// or applied twice.
func TestTableConcurrentWriters(t *testing.T) {
	store := newTable(3)
	var group sync.WaitGroup
	var conflicts atomic.Int64
	for writer := range 4 {
		group.Go(func() {
			for count := 0; count < 50; {
				row, _ := store.Get(t.Context(), "a")
				_, err := store.Commit(t.Context(), put(ident.Write(fmt.Sprint(writer)), "a", row.Revision, "v"))
				if table.IsErrConflict(err) {
					conflicts.Add(1)
				} else {
					count++
				}
			}
		})
	}
	group.Wait()
	row, err := store.Get(t.Context(), "a")
	assertNoError(t, err)
	assertEqual(t, row.Revision, 200)
	counts := store.Counts()
	assertEqual(t, []int{counts.Commits, counts.Conflicts}, []int{200, int(conflicts.Load())})
}

// TestWorkerConcurrentCalls guards against data races and deadlocks between calls, faults, ticks
// and readers of the records, and against several concurrent starts of an epoch that take effect.
func TestWorkerConcurrentCalls(t *testing.T) {
	fixture := newFixture(2)
	var group sync.WaitGroup
	for caller := range 4 {
		runtime := fixture.workers[caller%2]
		group.Go(func() {
			for index := range 50 {
				name := ident.Task{Job: ident.Job(fmt.Sprint("job", caller%2)), Index: index}
				if err := runtime.Start(t.Context(), spec(name, 1, standin.Payload{RunMillis: 40}), fixture.expiry(90)); err != nil {
					t.Error(err)
				}
				_, _ = runtime.Checkpoint(t.Context(), name, 1)
				_, _ = runtime.Renew(t.Context(), fixture.expiry(90))
				_, _ = runtime.List(t.Context())
				_ = runtime.SetFaults(standin.WorkerFaults{UsageLagMillis: 5})
				runtime.Tick(t.Context())
			}
		})
	}
	group.Go(func() {
		for range 50 {
			fixture.clock.Advance(1)
			_ = fixture.records.Violations()
		}
	})
	group.Wait()
	fixture.clock.Advance(1_000)
	counts := fixture.records.Counts()
	assertEqual(t, []int{counts.Started, counts.Running}, []int{100, 0})
	violations := fixture.records.Violations()
	assertEqual(t, []int{violations.TwoPlaces, violations.EpochReused, violations.AfterFinish}, []int{0, 0, 0})
}
