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

// drifting is a clock that runs fast or slow by up to 1%, in parts per ten thousand.
type drifting struct{ offset, rate int64 }

func (drift drifting) at(millis int64) int64 { return drift.offset + millis + millis*drift.rate/10_000 }

// TestNoOverlap guards I2 against drifting clocks, delayed and lost heartbeats and replies: when the
// home says that the lease lapsed, the worker must already have stopped its tasks.
func TestNoOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) drifting {
			return drifting{offset: rapid.Int64Range(0, 1_000_000).Draw(t, name+" offset"), rate: rapid.Int64Range(-50, 50).Draw(t, name+" rate")}
		}
		home, agent, runtime := draw("home"), draw("agent"), draw("worker")
		granter, holder := NewGranter(Settings{}), NewHolder()
		if err := granter.Record("w", 1, 1, nil, clock.Time(home.at(0))); err != nil {
			t.Fatal(err)
		}
		var expiry worker.Instant
		now := int64(0)
		beats := rapid.IntRange(1, 12).Draw(t, "beats")
		for beat := range beats {
			now += rapid.Int64Range(0, 15_000).Draw(t, "gap")
			holder.Sent(ident.Sequence(beat), clock.Time(agent.at(now)))
			now += rapid.Int64Range(0, 10_000).Draw(t, "request")
			if granter.Lapsed("w", 1, clock.Time(home.at(now))) {
				break
			}
			term, err := granter.Grant("w", 1, 0, clock.Time(home.at(now)))
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			reply := now + rapid.Int64Range(0, 30_000).Draw(t, "reply")
			holder.Granted(ident.Sequence(beat), term, 1, clock.Time(agent.at(reply)))
			sampled := reply + rapid.Int64Range(0, 2000).Draw(t, "sample")
			received := sampled + rapid.Int64Range(0, 2000).Draw(t, "answer")
			holder.Sampled(clock.Time(agent.at(reply)), clock.Time(agent.at(received)), worker.Instant(runtime.at(sampled)))
			// The agent passes the expiry on only while it holds the lease.
			if instant, ok := holder.WorkerExpiry(); ok && holder.Valid(clock.Time(agent.at(received))) {
				expiry = max(expiry, instant)
			}
		}
		// Find when the home first says so, on the true time line.
		for !granter.Lapsed("w", 1, clock.Time(home.at(now))) {
			now += 10
		}
		if expiry != 0 && worker.Instant(runtime.at(now)) < expiry {
			t.Fatalf("home declares the lease over %d ms before the worker stops", expiry-worker.Instant(runtime.at(now)))
		}
		if holder.Valid(clock.Time(agent.at(now))) {
			t.Fatal("home declares the lease over while the agent holds it")
		}
	})
}

// TestHolder guards against leases that a late reply, a lost request or a shorter grant changes.
func TestHolder(t *testing.T) {
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

// TestGranter guards against two granters of one worker, grants after the end was declared, and
// statements about workers that are not this entry's.
func TestGranter(t *testing.T) {
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
	granter.Lose("w")
	if granter.Lapsed("w", 1, 900_000) || len(granter.Due(900_000)) != 0 {
		t.Fatal("statement about a worker with another granter")
	}
	if err := granter.Record("w", 1, 1, nil, 2000); err != nil {
		t.Fatal(err)
	}
	if err := granter.Over("w", 1, 2001); !IsErrNotOver(err) {
		t.Fatalf("got %v", err)
	}
	if err := granter.Over("w", 1, clock.Time(2000).Add(wait)); err != nil {
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

// TestCertain guards the four conditions of the design for placing again, at their exact times.
func TestCertain(t *testing.T) {
	wait := DefaultTerm + Margin(DefaultTerm)
	grace := DefaultOutageGrace + DefaultOutageGrace*2/100
	for name, known := range map[string]struct {
		evidence Evidence
		now      clock.Time
		reason   Reason
	}{
		"nothing":         {Evidence{Newest: 3, HomeRenewedAt: 1}, 5000, ""},
		"lapsed":          {Evidence{Lapsed: true}, 1, LeaseLapsed},
		"newer":           {Evidence{Newest: 4}, 1, NewerIncarnation},
		"left too early":  {Evidence{HomeLeft: true, HomeLeftAt: 1}, clock.Time(0).Add(wait), ""},
		"left":            {Evidence{HomeLeft: true, HomeLeftAt: 1}, clock.Time(1).Add(wait), HomeLeft},
		"silent early":    {Evidence{HomeRenewedAt: 1}, clock.Time(0).Add(grace + wait), ""},
		"silent":          {Evidence{HomeRenewedAt: 1}, clock.Time(1).Add(grace + wait), HomeSilent},
		"operator states": {Evidence{Stated: true}, 1, OperatorStatement},
	} {
		t.Run(name, func(t *testing.T) {
			reason, over := Settings{}.Certain(3, known.evidence, known.now)
			if reason != known.reason || over != (known.reason != "") {
				t.Fatalf("got %q %t, want %q", reason, over, known.reason)
			}
		})
	}
}

// TestRecord guards against an entry that lost the worker to another one, without knowing, declaring
// its incarnation over while the other one grants leases, and against leases after the end.
func TestRecord(t *testing.T) {
	row := table.Row{Key: Key("w")}
	commit := func(condition table.Condition, operation table.Operation, err error) {
		t.Helper()
		if err != nil || condition.Revision != row.Revision || condition.Key != operation.Key {
			t.Fatalf("%v %+v", err, condition)
		}
		row = table.Row{Key: operation.Key, Value: operation.Value, Revision: row.Revision + 1}
	}
	refused := func(is func(error) bool) func(table.Condition, table.Operation, error) {
		return func(_ table.Condition, _ table.Operation, err error) {
			t.Helper()
			if !is(err) {
				t.Fatalf("got %v", err)
			}
		}
	}
	commit(Takeover(row, "w", 1, Process{Entry: "first"}))
	commit(Takeover(row, "w", 1, Process{Entry: "second"}))
	refused(IsErrNotGranter)(End(row, "w", 1, Process{Entry: "first"}, LeaseLapsed))
	commit(End(row, "w", 1, Process{Entry: "second"}, LeaseLapsed))
	refused(IsErrFenced)(Takeover(row, "w", 1, Process{Entry: "first"}))
	commit(Takeover(row, "w", 2, Process{Entry: "first"}))
	refused(IsErrFenced)(Takeover(row, "w", 1, Process{Entry: "second"}))
	commit(End(row, "w", 2, Process{Entry: "third"}, OperatorStatement))
	record, err := DecodeRecord(row)
	if want := (Record{Granter: Process{Entry: "first"}, Incarnation: 2, Over: 2, Reason: OperatorStatement}); err != nil || !reflect.DeepEqual(record, want) {
		t.Fatalf("%+v %v", record, err)
	}
	row.Value = []byte("{")
	refused(IsErrBadRecord)(Takeover(row, "w", 3, Process{Entry: "first"}))
}

// entry is one of several that may believe to be home of the worker.
type entry struct {
	name    Process
	granter *Granter
	// known is the row as this entry last read it.
	known table.Row
}

// TestTwoGranters guards I2 against entries that both believe to be the home of an agent which moves
// between them, while each reaches the agent and the table only at times: once the table says that
// the incarnation is over, the agent must hold no lease.
func TestTwoGranters(t *testing.T) {
	ends := 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		row := table.Row{Key: Key("w")}
		entries := []*entry{{name: Process{Entry: "a"}, granter: NewGranter(Settings{})}, {name: Process{Entry: "b"}, granter: NewGranter(Settings{})}}
		holder := NewHolder()
		write := func(by *entry, condition table.Condition, operation table.Operation, err error) bool {
			if err != nil || condition.Revision != row.Revision {
				by.known = row
				return false
			}
			row = table.Row{Key: row.Key, Value: operation.Value, Revision: row.Revision + 1}
			by.known = row
			return true
		}
		now := clock.Time(1000)
		for sequence := range ident.Sequence(150) {
			now = now.Add(clock.Millis(random.IntN(4000)))
			by := entries[random.IntN(2)]
			if random.IntN(6) != 0 {
				holder.Sent(sequence, now)
				term, err := by.granter.Grant("w", 1, holder.Revision(), now)
				if IsErrNotGranter(err) && random.IntN(2) == 0 {
					condition, operation, err := Takeover(by.known, "w", 1, by.name)
					if write(by, condition, operation, err) {
						record, err := DecodeRecord(row)
						if err == nil {
							err = by.granter.Record("w", 1, row.Revision, record.Former, now)
						}
						if err != nil {
							t.Fatal(err)
						}
					}
				}
				if err == nil {
					holder.Granted(sequence, term, by.granter.Revision("w"), now)
				}
			}
			for index, other := range entries {
				if former := entries[1-index]; random.IntN(20) == 0 && len(other.granter.Former("w")) > 0 {
					former.granter.Lose("w")
					other.granter.Stopped("w", former.name, now)
				}
				if !other.granter.Lapsed("w", 1, now) || random.IntN(3) == 0 {
					continue
				}
				condition, operation, err := End(other.known, "w", 1, other.name, LeaseLapsed)
				if other.granter.Over("w", 1, now) == nil && write(other, condition, operation, err) {
					ends++
					if holder.Valid(now) {
						t.Fatalf("%v ends the incarnation, the agent holds a lease until %d at %d", other.name, holder.Expiry(), now)
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

// TestRefusedEndIsTakenBack guards against an incarnation that is fenced needlessly because this entry
// decided its end and another entry became its granter, and against grants from old copies of the row.
func TestRefusedEndIsTakenBack(t *testing.T) {
	granter := NewGranter(Settings{})
	lapsed := clock.Time(1000).Add(DefaultTerm + Margin(DefaultTerm))
	if err := granter.Record("w", 1, 5, nil, 1000); err != nil {
		t.Fatal(err)
	}
	if err := granter.Over("w", 1, lapsed); err != nil {
		t.Fatal(err)
	}
	// The row as it was before this entry became the granter proves nothing.
	granter.Resume("w", 1, 4)
	if err := granter.Record("w", 1, 6, nil, lapsed); !IsErrFenced(err) {
		t.Fatalf("got %v", err)
	}
	granter.Resume("w", 1, 6)
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
	granter.Resume("w", 1, 9)
	if _, err := granter.Grant("w", 1, 0, lapsed); !IsErrFenced(err) {
		t.Fatalf("an incarnation that the table declared over goes on: %v", err)
	}
}
