package lease

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/worker"
)

// driftingClock is a clock with an offset in milliseconds and a drift rate in parts per ten thousand.
type driftingClock struct{ offset, rate int64 }

func (clock driftingClock) at(now int64) int64 { return clock.offset + now + now*clock.rate/10_000 }

// TestWorkerStopsBeforeLeaseLapses guards against a task that runs in two places (I2), with drifting
// clocks and with heartbeats and replies that are delayed or lost: when the lease lapses on the home
// entry's clock, the worker must already have stopped its tasks.
func TestWorkerStopsBeforeLeaseLapses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) driftingClock {
			return driftingClock{offset: rapid.Int64Range(0, 1_000_000).Draw(t, name+" offset"), rate: rapid.Int64Range(-50, 50).Draw(t, name+" rate")}
		}
		homeClock, agentClock, workerClock := draw("home"), draw("agent"), draw("worker")
		granter, holder := NewGranter(Settings{}), NewHolder()
		if err := granter.Record("w", 1, 1, nil, clock.Time(homeClock.at(0))); err != nil {
			t.Fatal(err)
		}
		var expiry worker.Instant
		now := int64(0)
		heartbeats := rapid.IntRange(1, 12).Draw(t, "beats")
		for heartbeat := range heartbeats {
			now += rapid.Int64Range(0, 15_000).Draw(t, "gap")
			holder.Sent(ident.Sequence(heartbeat), clock.Time(agentClock.at(now)))
			now += rapid.Int64Range(0, 10_000).Draw(t, "request")
			if granter.Lapsed("w", 1, clock.Time(homeClock.at(now))) {
				break
			}
			term, err := granter.Grant("w", 1, 0, clock.Time(homeClock.at(now)))
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			repliedAt := now + rapid.Int64Range(0, 30_000).Draw(t, "reply")
			holder.Granted(ident.Sequence(heartbeat), term, 1, clock.Time(agentClock.at(repliedAt)))
			readAt := repliedAt + rapid.Int64Range(0, 2000).Draw(t, "sample")
			receivedAt := readAt + rapid.Int64Range(0, 2000).Draw(t, "answer")
			holder.SetWorkerClock(clock.Time(agentClock.at(repliedAt)), clock.Time(agentClock.at(receivedAt)), worker.Instant(workerClock.at(readAt)))
			// The agent passes the expiry on to the worker only while it has a lease.
			if instant, ok := holder.WorkerExpiry(clock.Time(agentClock.at(receivedAt))); ok && holder.Valid(clock.Time(agentClock.at(receivedAt))) {
				expiry = max(expiry, instant)
			}
		}
		// Find the true time at which the lease first lapses on the home entry's clock.
		for !granter.Lapsed("w", 1, clock.Time(homeClock.at(now))) {
			now += 10
		}
		if expiry != 0 && worker.Instant(workerClock.at(now)) < expiry {
			t.Fatalf("home declares the lease over %d ms before the worker stops", expiry-worker.Instant(workerClock.at(now)))
		}
		if holder.Valid(clock.Time(agentClock.at(now))) {
			t.Fatal("home declares the lease over while the agent holds it")
		}
	})
}

// TestOldRepliesDoNotExtendLease guards against a lease that changes after a reply that is late,
// repeated or older than the last one, and against a lease without a heartbeat.
func TestOldRepliesDoNotExtendLease(t *testing.T) {
	holder := NewHolder()
	if holder.Valid(0) || holder.Granted(1, DefaultTerm, 1, 10) {
		t.Fatal("lease without a heartbeat")
	}
	holder.Sent(1, 1000)
	holder.Sent(2, 2000)
	if !holder.Granted(2, DefaultTerm, 1, 2500) || holder.Expiry() != 22_000 {
		t.Fatalf("expiry %d", holder.Expiry())
	}
	if holder.Granted(1, DefaultTerm, 1, 2600) || holder.Expiry() != 22_000 {
		t.Fatal("an older grant changed the lease")
	}
	if holder.Granted(2, DefaultTerm, 1, 3000) {
		t.Fatal("a copy of a reply changed the lease")
	}
	holder.Sent(3, 22_000)
	if holder.Granted(3, DefaultTerm, 1, 42_000) || holder.Valid(22_000) {
		t.Fatal("a reply after the term revived the lease")
	}
}

// TestGrantsNeedRecord guards against grants by an entry that is not the recorded granter, grants to an
// incarnation that is over, and leases that lapse at an entry that is not the granter.
func TestGrantsNeedRecord(t *testing.T) {
	granter := NewGranter(Settings{})
	wait := DefaultTerm + Margin(DefaultTerm)
	if _, err := granter.Grant("w", 1, 0, 1000); !IsErrNotGranter(err) {
		t.Fatalf("got %v", err)
	}
	if err := granter.Record("w", 1, 1, nil, 1000); err != nil {
		t.Fatal(err)
	}
	if granter.Lapsed("w", 1, clock.Time(999).Add(wait)) || !granter.Lapsed("w", 1, clock.Time(1000).Add(wait)) {
		t.Fatal("the lease lapses at another time than term plus margin")
	}
	granter.Suspend("w")
	if granter.Lapsed("w", 1, 900_000) || len(granter.LapsedWorkers(900_000)) != 0 {
		t.Fatal("the lease lapsed at an entry that is not the granter")
	}
	if err := granter.Record("w", 1, 1, nil, 2000); err != nil {
		t.Fatal(err)
	}
	if err := granter.MarkOver("w", 1, 2001); !IsErrNotOver(err) {
		t.Fatalf("got %v", err)
	}
	if err := granter.MarkOver("w", 1, clock.Time(2000).Add(wait)); err != nil {
		t.Fatal(err)
	}
	if _, err := granter.Grant("w", 1, 0, 50_000); !IsErrFenced(err) {
		t.Fatalf("got %v", err)
	}
	if err := granter.Record("w", 2, 1, nil, 50_000); err != nil {
		t.Fatal(err)
	}
	if _, err := granter.Grant("w", 1, 0, 50_001); !IsErrFenced(err) {
		t.Fatalf("got %v", err)
	}
}

// TestCertainConditions guards against declaring an incarnation over too early or too late, under each
// of the conditions (a) to (d).
func TestCertainConditions(t *testing.T) {
	wait := DefaultTerm + Margin(DefaultTerm)
	grace := DefaultOutageGrace + DefaultOutageGrace*2/100
	for name, test := range map[string]struct {
		evidence Evidence
		now      clock.Time
		reason   Reason
	}{
		"nothing":            {Evidence{Newest: 3, HomeRenewedAt: 1}, 5000, ""},
		"lapsed":             {Evidence{Lapsed: true}, 1, LeaseLapsed},
		"newer":              {Evidence{Newest: 4}, 1, NewerIncarnation},
		"left too early":     {Evidence{HomeLeft: true, HomeLeftAt: 1}, clock.Time(0).Add(wait), ""},
		"left":               {Evidence{HomeLeft: true, HomeLeftAt: 1}, clock.Time(1).Add(wait), HomeLeft},
		"unresponsive early": {Evidence{HomeRenewedAt: 1}, clock.Time(0).Add(grace + wait), ""},
		"unresponsive":       {Evidence{HomeRenewedAt: 1}, clock.Time(1).Add(grace + wait), HomeUnresponsive},
		"declared lost":      {Evidence{Declared: true}, 1, OperatorDeclaration},
	} {
		t.Run(name, func(t *testing.T) {
			reason, over := Settings{}.Certain(3, test.evidence, test.now)
			if reason != test.reason || over != (test.reason != "") {
				t.Fatalf("got %q %t, want %q", reason, over, test.reason)
			}
		})
	}
}

// TestRowFencesFormerGranter guards against a former granter that declares an incarnation over while
// the new granter still grants leases to it, and against granters for an incarnation that is over.
func TestRowFencesFormerGranter(t *testing.T) {
	row := table.Row{Key: Key("w")}
	commit := func(condition table.Condition, operation table.Operation, err error) {
		t.Helper()
		if err != nil || condition.Revision != row.Revision || condition.Key != operation.Key {
			t.Fatalf("%v %+v", err, condition)
		}
		row = table.Row{Key: operation.Key, Value: operation.Value, Revision: row.Revision + 1}
	}
	assertRefused := func(is func(error) bool) func(table.Condition, table.Operation, error) {
		return func(_ table.Condition, _ table.Operation, err error) {
			t.Helper()
			if !is(err) {
				t.Fatalf("got %v", err)
			}
		}
	}
	commit(Takeover(row, "w", 1, Process{Entry: "first"}))
	commit(Takeover(row, "w", 1, Process{Entry: "second"}))
	assertRefused(IsErrNotGranter)(End(row, "w", 1, Process{Entry: "first"}, LeaseLapsed))
	commit(End(row, "w", 1, Process{Entry: "second"}, LeaseLapsed))
	assertRefused(IsErrFenced)(Takeover(row, "w", 1, Process{Entry: "first"}))
	commit(Takeover(row, "w", 2, Process{Entry: "first"}))
	assertRefused(IsErrFenced)(Takeover(row, "w", 1, Process{Entry: "second"}))
	commit(End(row, "w", 2, Process{Entry: "third"}, OperatorDeclaration))
	record, err := DecodeRecord(row)
	if want := (Record{Granter: Process{Entry: "first"}, Incarnation: 2, Over: 2, Reason: OperatorDeclaration}); err != nil || !reflect.DeepEqual(record, want) {
		t.Fatalf("%+v %v", record, err)
	}
	row.Value = []byte("{")
	assertRefused(IsErrBadRecord)(Takeover(row, "w", 3, Process{Entry: "first"}))
}

// entry is one of two entries that may both act as the home entry of the worker.
type entry struct {
	process Process
	granter *Granter
	// lastRow is the worker's row as this entry last read it.
	lastRow table.Row
}

// TestTwoGranters guards against a task that runs in two places (I2) when two entries both act as the
// home entry of an agent and each reaches the agent and the table only now and then. Once the table
// says that the incarnation is over, the agent must have no lease.
func TestTwoGranters(t *testing.T) {
	ends := 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		row := table.Row{Key: Key("w")}
		entries := []*entry{{process: Process{Entry: "a"}, granter: NewGranter(Settings{})}, {process: Process{Entry: "b"}, granter: NewGranter(Settings{})}}
		holder := NewHolder()
		write := func(entry *entry, condition table.Condition, operation table.Operation, err error) bool {
			if err != nil || condition.Revision != row.Revision {
				entry.lastRow = row
				return false
			}
			row = table.Row{Key: row.Key, Value: operation.Value, Revision: row.Revision + 1}
			entry.lastRow = row
			return true
		}
		now := clock.Time(1000)
		for sequence := range ident.Sequence(150) {
			now = now.Add(clock.Millis(random.IntN(4000)))
			entry := entries[random.IntN(2)]
			if random.IntN(6) != 0 {
				holder.Sent(sequence, now)
				term, err := entry.granter.Grant("w", 1, holder.Revision(), now)
				if IsErrNotGranter(err) && random.IntN(2) == 0 {
					condition, operation, err := Takeover(entry.lastRow, "w", 1, entry.process)
					if write(entry, condition, operation, err) {
						record, err := DecodeRecord(row)
						if err == nil {
							err = entry.granter.Record("w", 1, row.Revision, record.Former, now)
						}
						if err != nil {
							t.Fatal(err)
						}
					}
				}
				if err == nil {
					holder.Granted(sequence, term, entry.granter.Revision("w"), now)
				}
			}
			for index, other := range entries {
				if former := entries[1-index]; random.IntN(20) == 0 && len(other.granter.Former("w")) > 0 {
					former.granter.Suspend("w")
					other.granter.RemoveFormer("w", former.process, now)
				}
				if !other.granter.Lapsed("w", 1, now) || random.IntN(3) == 0 {
					continue
				}
				condition, operation, err := End(other.lastRow, "w", 1, other.process, LeaseLapsed)
				if other.granter.MarkOver("w", 1, now) == nil && write(other, condition, operation, err) {
					ends++
					if holder.Valid(now) {
						t.Fatalf("%v ends the incarnation, the agent holds a lease until %d at %d", other.process, holder.Expiry(), now)
					}
					return
				}
			}
		}
	})
	if ends == 0 {
		t.Fatal("no incarnation ended, so the test checks nothing")
	}
}

// TestResumeAfterRefusedEnd guards against fencing an incarnation whose end was decided here but
// refused by the table, because another entry became the granter, and against grants based on an old
// copy of the row.
func TestResumeAfterRefusedEnd(t *testing.T) {
	granter := NewGranter(Settings{})
	lapsed := clock.Time(1000).Add(DefaultTerm + Margin(DefaultTerm))
	if err := granter.Record("w", 1, 5, nil, 1000); err != nil {
		t.Fatal(err)
	}
	if err := granter.MarkOver("w", 1, lapsed); err != nil {
		t.Fatal(err)
	}
	// A row that is older than this entry's record is ignored.
	granter.UnmarkOver("w", 1, 4)
	if err := granter.Record("w", 1, 6, nil, lapsed); !IsErrFenced(err) {
		t.Fatalf("got %v", err)
	}
	granter.UnmarkOver("w", 1, 6)
	if _, err := granter.Grant("w", 1, 0, lapsed); !IsErrNotGranter(err) {
		t.Fatalf("granted while another entry is the granter: %v", err)
	}
	if err := granter.Record("w", 1, 5, nil, lapsed); !IsErrNotGranter(err) {
		t.Fatalf("recorded from an old copy: %v", err)
	}
	if err := granter.Record("w", 1, 7, nil, lapsed); err != nil {
		t.Fatal(err)
	}
	if _, err := granter.Grant("w", 1, 0, lapsed); err != nil {
		t.Fatal(err)
	}
	granter.Declare("w", 1)
	granter.UnmarkOver("w", 1, 9)
	if _, err := granter.Grant("w", 1, 0, lapsed); !IsErrFenced(err) {
		t.Fatalf("an incarnation that the table declared over goes on: %v", err)
	}
}

// TestSuspensionDoesNotExtendLease guards against tasks that outlast the agent's lease: the machine was suspended between a
// reading of the worker's clock, which did not count that time, and the renewal on the worker.
func TestSuspensionDoesNotExtendLease(t *testing.T) {
	const suspension = 8 * clock.Second
	holder := NewHolder()
	holder.Sent(1, 1000)
	if !holder.Granted(1, DefaultTerm, 1, 1010) {
		t.Fatal("no lease granted")
	}
	holder.SetWorkerClock(2000, 2010, 500)
	now := clock.Time(2020).Add(suspension)
	expiry, ok := holder.WorkerExpiry(now)
	if left := clock.Millis(expiry - 500); !ok || left > holder.Remaining(now) {
		t.Errorf("the worker's lease ends in %s, want at most the %s that the agent's lease has left", left, holder.Remaining(now))
	}
}
