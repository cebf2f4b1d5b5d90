package membership_test

import (
	"context"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"
)

// goneAfter is the time after which an entry without heartbeats and renewals is gone, and
// deletedAfter the time after which the row of an entry that left is deleted.
const (
	goneAfter    = clock.Time(3_700_000 + 20_900)
	deletedAfter = 2 * goneAfter
)

// complete passes all rows to the view as one complete read.
func complete(t *testing.T, memory *tabletest.Memory, entries *membership.Entries, now clock.Time) []ident.Entry {
	t.Helper()
	observe(t, memory, entries, now)
	rows, err := memory.Range(context.Background(), membership.EntryPrefix, "", 100)
	if err != nil {
		t.Fatal(err)
	}
	return entries.ApplyFullRead(rows, now)
}

// leave writes the row of a new process of the entry and marks it as left.
func leave(t *testing.T, memory *tabletest.Memory, id ident.Entry, now clock.Time) *membership.Entries {
	t.Helper()
	leaving := newEntries(t, memory, id, now)
	if err := renew(memory, leaving, now); err != nil {
		t.Fatal(err)
	}
	if err := memory.Write(leaving.Leave()); err != nil {
		t.Fatal(err)
	}
	return leaving
}

func row(t *testing.T, memory *tabletest.Memory, id ident.Entry) table.Row {
	t.Helper()
	entryRow, err := memory.Get(context.Background(), membership.EntryKey(id))
	if err != nil {
		t.Fatal(err)
	}
	return entryRow
}

// TestRowsOfLeftEntries guards against rows of entries that left which are never deleted, are
// deleted while another process may wait for the end of the entry, or are deleted although the
// entry returned.
func TestRowsOfLeftEntries(t *testing.T) {
	memory := tabletest.New()
	observer := newEntries(t, memory, "e9", 1000)
	leave(t, memory, "e1", 1000)
	leave(t, memory, "e2", 1000)
	complete(t, memory, observer, 1000)
	if _, ok := observer.DeleteLeftRows(1000 + deletedAfter - 1).Get(); ok {
		t.Fatal("a row is deleted too early")
	}
	discard, ok := observer.DeleteLeftRows(1000 + deletedAfter).Get()
	if !ok || len(discard.Operations) != 2 {
		t.Fatalf("deletes %v", discard.Operations)
	}
	returned := newEntries(t, memory, "e1", 1000+deletedAfter)
	if err := renew(memory, returned, 1000+deletedAfter); err != nil {
		t.Fatal(err)
	}
	if err := memory.Write(discard); !table.IsErrConflict(err) || !row(t, memory, "e1").Exists() {
		t.Fatalf("the row of an entry that returned was deleted: %v", err)
	}
	complete(t, memory, observer, 2000+deletedAfter)
	if discard, ok = observer.DeleteLeftRows(2000 + deletedAfter).Get(); !ok || len(discard.Operations) != 1 {
		t.Fatalf("deletes %v", discard.Operations)
	}
	if err := memory.Write(discard); err != nil {
		t.Fatal(err)
	}
	if removed := complete(t, memory, observer, 3000+deletedAfter); len(removed) != 1 || removed[0] != "e2" {
		t.Fatalf("removed %v", removed)
	}
	if _, ok := observer.DeleteLeftRows(2 * deletedAfter).Get(); ok {
		t.Fatal("a deleted row is deleted again")
	}
}

// TestIncarnationAfterDeletion guards against a process that gets the incarnation of an earlier one
// whose row was deleted, and against the earlier one continuing after a long pause.
func TestIncarnationAfterDeletion(t *testing.T) {
	memory := tabletest.New()
	stale := newEntries(t, memory, "e1", 1000)
	if err := renew(memory, stale, 1000); err != nil {
		t.Fatal(err)
	}
	observer, now := newEntries(t, memory, "e9", 1000), 1000+goneAfter
	complete(t, memory, observer, 1000)
	for _, transaction := range observer.MarkGone(now) {
		if err := memory.Write(transaction); err != nil {
			t.Fatal(err)
		}
	}
	complete(t, memory, observer, now)
	now += deletedAfter
	discard, _ := observer.DeleteLeftRows(now).Get()
	if err := memory.Write(discard); err != nil {
		t.Fatal(err)
	}
	if err := renew(memory, stale, now); !membership.IsErrSuperseded(err) || !stale.Ended() {
		t.Fatalf("the process continues without its row: %v", err)
	}
	next := newEntries(t, memory, "e1", now)
	if err := renew(memory, next, now); err != nil || next.Self().Incarnation <= stale.Self().Incarnation {
		t.Fatalf("incarnation %d after %d: %v", next.Self().Incarnation, stale.Self().Incarnation, err)
	}
}

// TestDeletionDuringStart guards against an entry that can never write its row because the row of
// its previous process was deleted between its read and its first renewal.
func TestDeletionDuringStart(t *testing.T) {
	memory := tabletest.New()
	previous := leave(t, memory, "e1", 1000)
	next := newEntries(t, memory, "e1", 2000)
	leftRow := row(t, memory, "e1")
	if err := memory.Write(table.Transaction{
		Conditions: []table.Condition{{Key: leftRow.Key, Revision: leftRow.Revision}}, Operations: []table.Operation{{Key: leftRow.Key, Delete: true}},
	}); err != nil {
		t.Fatal(err)
	}
	for now := clock.Time(2000); now <= 4000; now += 1000 {
		if err := renew(memory, next, now); err != nil {
			t.Fatal(err)
		}
	}
	written, err := membership.DecodeEntry(row(t, memory, "e1"))
	if err != nil || written.Incarnation <= previous.Self().Incarnation || written.State != membership.Live {
		t.Fatalf("row is %+v: %v", written, err)
	}
}

// TestGoneWithoutRow guards against tasks that are never placed again because the row of their
// granter was deleted before this process started, and against an entry that is considered gone
// because one read missed its row.
func TestGoneWithoutRow(t *testing.T) {
	memory := tabletest.New()
	observer := newEntries(t, memory, "e9", 1000)
	step := clock.Time(5000)
	for now := clock.Time(1000); now < 1000+goneAfter; now += step {
		complete(t, memory, observer, now)
		if observer.Gone("e1", 3, now) {
			t.Fatalf("gone after %d ms", now-1000)
		}
	}
	now := 1000 + goneAfter
	if observer.Gone("e1", 3, now) {
		t.Fatal("gone without a read of the rows at that time")
	}
	complete(t, memory, observer, now)
	if !observer.Gone("e1", 3, now) || observer.Gone("e2", 1, now) {
		t.Fatal("an entry without a row is gone after it was missing for the outage grace")
	}
	returned := newEntries(t, memory, "e1", now)
	if err := renew(memory, returned, now); err != nil {
		t.Fatal(err)
	}
	complete(t, memory, observer, now+step)
	if observer.Gone("e1", 1, now+step) {
		t.Fatal("an entry that wrote its row is gone")
	}
}

// TestRenewalJitter guards against entries that start together and then always renew their rows at
// the same time, and against renewals later than RenewMillis.
func TestRenewalJitter(t *testing.T) {
	memory, interval := tabletest.New(), membership.DefaultSettings().RenewMillis
	renewals := map[ident.Entry][]clock.Time{}
	for _, id := range []ident.Entry{"e1", "e2"} {
		entries := newEntries(t, memory, id, 1000)
		for now := clock.Time(1000); now < 300_000; now++ {
			if _, ok := entries.NextRenewal(now).Get(); ok {
				renewals[id] = append(renewals[id], now)
				if err := renew(memory, entries, now); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	simultaneous := 0
	for index, at := range renewals["e1"] {
		if index > 0 {
			if elapsed := at.Sub(renewals["e1"][index-1]); elapsed > interval || elapsed < interval*9/10 {
				t.Errorf("renewed after %d ms", elapsed)
			}
		}
		if index < len(renewals["e2"]) && at == renewals["e2"][index] {
			simultaneous++
		}
	}
	// The first renewals are both at the start.
	if simultaneous > len(renewals["e1"])/10 {
		t.Errorf("%d of %d renewals at the same time", simultaneous, len(renewals["e1"]))
	}
}
