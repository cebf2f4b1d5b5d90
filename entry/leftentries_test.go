package entry

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"
)

// TestLeftRowIsDeletedOnce guards against the row of an entry that left staying in the table,
// against several entries deleting it, and against its deletion while other entries may still wait
// for the entry's end.
func TestLeftRowIsDeletedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, network, memory := clock.NewSystem(), &directNetwork{entries: map[string]*Entry{}}, tabletest.New()
		var settings Settings
		for index, name := range []string{"one", "two", "three"} {
			settings = DefaultSettings()
			settings.ID, settings.Region, settings.DataCentre = ident.Entry(name), "north", ident.DataCentre(name)
			settings.ControlAddress, settings.Seed = name, uint64(index)
			settings.Lease.OutageGrace = clock.Minute
			store := table.NewClient(memory, system, name, rand.New(rand.NewPCG(uint64(index), 3)), table.DefaultSettings())
			defer store.Close()
			entry, err := New(t.Context(), settings, Dependencies{Clock: system, Table: store, Agents: noAgents{}, Control: network})
			if err != nil {
				t.Fatal(err)
			}
			defer entry.Close()
			network.add(name, entry)
		}
		exists := func() bool {
			row, err := memory.Get(context.Background(), membership.EntryKey("three"))
			return err == nil && row.Exists()
		}
		time.Sleep(10 * time.Second)
		if err := network.entries["three"].Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
		earliest := 2 * (settings.withDefaults().Membership.OutageGraceMillis + settings.withDefaults().Membership.LeaseTermMillis)
		time.Sleep(earliest.Duration())
		synctest.Wait()
		if !exists() {
			t.Fatal("the row was deleted too early")
		}
		// Covers both margins and one read of the rows with its answer.
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if exists() {
			t.Fatal("the row is still there")
		}
		deletions := 0
		for _, applied := range memory.Log() {
			for _, operation := range applied.Transaction.Operations {
				if operation.Delete && operation.Key == membership.EntryKey("three") {
					deletions++
				}
			}
		}
		if deletions != 1 {
			t.Fatalf("deleted %d times", deletions)
		}
	})
}
