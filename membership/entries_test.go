package membership_test

import (
	"context"
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/table"
	"hyssopjunction/table/tabletest"
)

func newEntries(t *testing.T, memory *tabletest.Memory, id ident.Entry, now clock.Time) *membership.Entries {
	t.Helper()
	row, err := memory.Get(context.Background(), membership.EntryKey(id))
	if err != nil {
		t.Fatal(err)
	}
	entries, err := membership.NewEntries(membership.Entry{ID: id, Region: "flanders", DataCentre: "gent"}, row, membership.DefaultSettings(), now)
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// renew sends a renewal if it is due and returns its error.
func renew(memory *tabletest.Memory, entries *membership.Entries, now clock.Time) error {
	transaction, ok := entries.NextRenewal(now).Get()
	if !ok {
		return nil
	}
	result, err := memory.Commit(context.Background(), transaction)
	entries.RecordRenewal(result, err, now, now)
	if err != nil {
		row, _ := memory.Get(context.Background(), membership.EntryKey(entries.Self().ID))
		return entries.Observe(row, now)
	}
	return nil
}

// observe passes all entry rows to the view.
func observe(t *testing.T, memory *tabletest.Memory, entries *membership.Entries, now clock.Time) {
	t.Helper()
	rows, err := memory.Range(context.Background(), membership.EntryPrefix, "", 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if err := entries.Observe(row, now); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStaleEntryEnds guards against an entry that continues after it was considered gone, for
// example after a long pause: it must stop granting leases before others act on that, and end when
// it reads its row.
func TestStaleEntryEnds(t *testing.T) {
	memory := tabletest.New()
	stale, other := newEntries(t, memory, "e1", 1000), newEntries(t, memory, "e2", 1000)
	if err := renew(memory, stale, 1000); err != nil {
		t.Fatal(err)
	}
	observe(t, memory, other, 2000)
	if live := other.Live(2000); len(live) != 2 {
		t.Fatalf("live: %v", live)
	}
	if live := other.Live(2000 + 16_000); len(live) != 1 {
		t.Fatalf("an entry without heartbeats is live: %v", live)
	}
	goneAt := clock.Time(0)
	for now := clock.Time(2000); goneAt == 0; now = now.Add(100) {
		if other.Gone("e1", 1, now) {
			goneAt = now
		}
		if transactions := other.MarkGone(now); (len(transactions) > 0) != (goneAt != 0) {
			t.Fatalf("transactions %v at %d, gone at %d", transactions, now, goneAt)
		}
	}
	// The clock of the stale entry may run 1% slower than the observer's.
	if stale.MayGrant(clock.Time(float64(goneAt-20_200) * 0.99)) {
		t.Fatal("an entry grants leases that others consider over")
	}
	if !stale.MayGrant(1000 + 3600_000) {
		t.Fatal("an entry stops granting within an outage of an hour")
	}
	if err := memory.Write(other.MarkGone(goneAt)[0]); err != nil {
		t.Fatal(err)
	}
	if err := renew(memory, stale, goneAt); !membership.IsErrSuperseded(err) || !stale.Ended() || stale.MayGrant(goneAt) {
		t.Fatalf("the stale entry continues: %v", err)
	}
}

// TestNewerIncarnationSupersedes guards against two processes of one id that both continue, and
// against an older one that hides a newer one.
func TestNewerIncarnationSupersedes(t *testing.T) {
	memory := tabletest.New()
	first, observer := newEntries(t, memory, "e1", 1000), newEntries(t, memory, "e9", 1000)
	if err := renew(memory, first, 1000); err != nil {
		t.Fatal(err)
	}
	second := newEntries(t, memory, "e1", 2000)
	if err := renew(memory, second, 2000); err != nil || second.Self().Incarnation != 2 {
		t.Fatalf("incarnation %d: %v", second.Self().Incarnation, err)
	}
	observe(t, memory, observer, 2000)
	observer.ApplyHeartbeat(first.Self(), 3000)
	if entry, _ := observer.Get("e1"); entry.Incarnation != 2 {
		t.Fatalf("observer has incarnation %d", entry.Incarnation)
	}
	if observer.Gone("e1", 1, 60_000) {
		t.Fatal("the older process may still grant leases, because it does not know of the newer one")
	}
	if err := renew(memory, first, 10_000); !membership.IsErrSuperseded(err) {
		t.Fatalf("the older process continues: %v", err)
	}
}

// TestLeavingEntry guards against a leaving entry that is chosen as a home or considered gone too
// early.
func TestLeavingEntry(t *testing.T) {
	memory := tabletest.New()
	leaving, observer := newEntries(t, memory, "e1", 1000), newEntries(t, memory, "e2", 1000)
	_ = renew(memory, leaving, 1000)
	observe(t, memory, observer, 1000)
	leaving.Drain()
	observer.ApplyHeartbeat(membership.FromMessage(leaving.Self().Message()), 2000)
	if len(observer.Live(2000)) != 1 || len(observer.Peers(2000)) != 1 || observer.Gone("e1", 1, 1_000_000) {
		t.Fatal("a leaving entry must be a peer but no home, and is not gone")
	}
	_ = renew(memory, leaving, 6000)
	observe(t, memory, observer, 6000)
	if len(observer.Live(6000)) != 1 {
		t.Fatal("a renewal made a leaving entry a home again")
	}
	if err := memory.Write(leaving.Leave()); err != nil {
		t.Fatal(err)
	}
	observe(t, memory, observer, 10_000)
	if observer.Gone("e1", 1, 10_000+20_899) || !observer.Gone("e1", 1, 10_000+20_900) {
		t.Fatal("an entry that left is gone one term and margin later")
	}
}

// TestHomesStayWhenOthersLeave guards against agents that move although their home stays, and
// against homes in their own data centre or in another region while there are others.
func TestHomesStayWhenOthersLeave(t *testing.T) {
	var entries []membership.Entry
	for index := range 24 {
		entries = append(entries, membership.Entry{
			ID: ident.Entry(fmt.Sprint("e", index)), State: membership.Live,
			Region: ident.Region(fmt.Sprint("r", index%2)), DataCentre: ident.DataCentre(fmt.Sprint("d", index%8)),
		})
	}
	const agents = 1200
	homes := func(entries []membership.Entry) map[ident.Worker]membership.Entry {
		chosen := make(map[ident.Worker]membership.Entry)
		for index := range agents {
			worker := ident.Worker(fmt.Sprint("w", index))
			place := membership.Place{Region: ident.Region(fmt.Sprint("r", index%2)), DataCentre: ident.DataCentre(fmt.Sprint("d", index%8))}
			home, ok := membership.Home(worker, place, entries).Get()
			if !ok || home.Region != place.Region || home.DataCentre == place.DataCentre {
				t.Fatalf("home of %s at %v is %v", worker, place, home)
			}
			chosen[worker] = home
		}
		return chosen
	}
	all := homes(entries)
	load := make(map[ident.Entry]int)
	for _, home := range all {
		load[home.ID]++
	}
	for removed := range entries {
		var rest []membership.Entry
		rest = append(append(rest, entries[:removed]...), entries[removed+1:]...)
		for worker, home := range homes(rest) {
			if home != all[worker] && all[worker].ID != entries[removed].ID {
				t.Fatalf("%s moved from %s although %s left", worker, all[worker].ID, entries[removed].ID)
			}
		}
		// The average is 50 agents per entry; more than twice as many overload an entry.
		if load[entries[removed].ID] > 2*agents/len(entries) {
			t.Fatalf("%s is home of %d agents", entries[removed].ID, load[entries[removed].ID])
		}
	}
	if _, ok := membership.JobHome("j", "r7", entries).Get(); ok {
		t.Fatal("a job got a home outside its region")
	}
}

// TestRenewalFaults guards against an entry that ends or does not renew its row for more than 8 s
// after a fault of the table.
func TestRenewalFaults(t *testing.T) {
	for fault := range tabletest.FaultCount {
		if fault == tabletest.Hang || fault == tabletest.HangApplied {
			continue
		}
		memory := tabletest.New()
		entries := newEntries(t, memory, "e1", 1000)
		memory.SetFault(func(call tabletest.Call) tabletest.Fault {
			if call.Commit && call.Commits%3 == 2 {
				return fault
			}
			return tabletest.None
		})
		for now := clock.Time(1000); now < 60_000; now = now.Add(500) {
			if err := renew(memory, entries, now); err != nil {
				t.Fatalf("fault %d: %v", fault, err)
			}
			if age, ok := entries.RenewedAge(now); ok && age > 8*clock.Second {
				t.Fatalf("fault %d: not renewed for %s", fault, age)
			}
		}
	}
	if _, err := membership.DecodeEntry(table.Row{Key: "Entry/x", Value: []byte("{")}); !membership.IsErrBadEntry(err) {
		t.Fatal(err)
	}
}

// TestLateRowDoesNotKeepEntryLive guards against an entry that stays a home for seconds after its
// death because a row that it wrote earlier is read then. It also guards against an entry that
// never becomes live again although only its heartbeats are lost.
func TestLateRowDoesNotKeepEntryLive(t *testing.T) {
	memory := tabletest.New()
	entry, observer := newEntries(t, memory, "e1", 1000), newEntries(t, memory, "e2", 1000)
	_ = renew(memory, entry, 1000)
	observe(t, memory, observer, 1000)
	observer.ApplyHeartbeat(entry.Self(), 5000)
	_ = renew(memory, entry, 6000)
	observe(t, memory, observer, 11_000)
	if live := observer.Live(13_000); len(live) != 1 {
		t.Fatalf("live 8 s after the last heartbeat: %v", live)
	}
	if observer.Gone("e1", 1, 11_000+3_720_899) {
		t.Fatal("gone earlier than the row allows")
	}
	for now := clock.Time(11_000); now <= 30_000; now += 5000 {
		_ = renew(memory, entry, now)
		observe(t, memory, observer, now)
	}
	if live := observer.Live(31_000); len(live) != 2 {
		t.Fatalf("an entry that renews its row is not live: %v", live)
	}
}
