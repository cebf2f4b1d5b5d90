package election

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/store"
)

// fakeStore holds the rows of the election in memory.
type fakeStore struct {
	version store.Version
	rows    map[store.Ref]store.Row
}

func (fake *fakeStore) commit(tx store.Tx) (store.Version, bool) {
	for _, condition := range tx.Conditions {
		if fake.rows[condition.Ref].Version != condition.Version {
			return 0, false
		}
	}
	fake.version++
	for _, put := range tx.Puts {
		fake.rows[put.Ref] = store.Row{Ref: put.Ref, Value: put.Value, Version: fake.version}
	}
	return fake.version, true
}

func (fake *fakeStore) read(t *rapid.T) Reading {
	reading, err := Parse([]store.Row{fake.rows[TermRef()], fake.rows[HeartbeatRef()]})
	if err != nil {
		t.Fatal(err)
	}
	return reading
}

// entry is an entry that may lead.
type entry struct {
	candidate        *Candidate
	leads            bool
	term             Term
	termVersion      store.Version
	heartbeatVersion store.Version
	leaseEnd         clock.Time
}

// write is a transaction on its way to the store. It is applied at deliverAt; with lost, its sender gets no
// answer.
type write struct {
	tx        store.Tx
	sender    *entry
	sent      clock.Time
	deliverAt clock.Time
	term      Term
	takeover  bool
	lost      bool
}

// TestAtMostOneLeaderAtATime guards against two leaders at the same time: a takeover that is applied before
// the lease of another leader has ended on that leader's clock. Transactions are delayed, answers lost and
// reads made to fail at random.
func TestAtMostOneLeaderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := &fakeStore{rows: map[store.Ref]store.Row{}}
		now := clock.Time(clock.Minute)
		var entries []*entry
		for _, name := range []string{"a", "b", "c"} {
			entries = append(entries, &entry{candidate: NewCandidate(name, name)})
		}
		var inFlight []write
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			now = now.Add(clock.Millis(rapid.IntRange(0, 900).Draw(t, "passes")))
			var later []write
			for _, item := range inFlight {
				if item.deliverAt.After(now) {
					later = append(later, item)
					continue
				}
				deliver(t, fake, entries, item)
			}
			inFlight = later
			actor := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			item := write{sender: actor, sent: now, deliverAt: now.Add(clock.Millis(rapid.IntRange(0, 6000).Draw(t, "delay"))), lost: rapid.IntRange(0, 3).Draw(t, "lost") == 0}
			switch {
			case actor.leads:
				heartbeat, err := json.Marshal(Heartbeat{Term: actor.term.Number, Count: int64(now)})
				if err != nil {
					t.Fatal(err)
				}
				item.tx = store.Tx{
					Conditions: []store.Condition{{Ref: TermRef(), Version: actor.termVersion}, {Ref: HeartbeatRef(), Version: actor.heartbeatVersion}},
					Puts:       []store.Put{{Ref: HeartbeatRef(), Value: heartbeat}},
				}
				inFlight = append(inFlight, item)
			case rapid.IntRange(0, 4).Draw(t, "fails") == 0:
				actor.candidate.ReadFailed(now)
			case actor.candidate.Observe(fake.read(t), now):
				tx, term, err := actor.candidate.TakeOver(now)
				if err != nil {
					t.Fatal(err)
				}
				item.tx, item.term, item.takeover = tx, term, true
				inFlight = append(inFlight, item)
			}
		}
	})
}

// deliver applies a write at its deliverAt and passes the result to its sender unless the answer is lost.
func deliver(t *rapid.T, fake *fakeStore, entries []*entry, item write) {
	version, applied := fake.commit(item.tx)
	if !applied {
		if item.sender.leads && fake.rows[TermRef()].Version != item.sender.termVersion {
			item.sender.leads = false
		}
		return
	}
	if item.takeover {
		for _, other := range entries {
			if other != item.sender && other.leads && other.leaseEnd.After(item.deliverAt) {
				t.Fatalf("%s takes over at %d while %s leads until %d", item.term.Holder, item.deliverAt, other.term.Holder, other.leaseEnd)
			}
		}
	}
	if item.lost {
		return
	}
	if item.takeover {
		item.sender.leads, item.sender.term, item.sender.termVersion = true, item.term, version
	}
	item.sender.heartbeatVersion = version
	item.sender.leaseEnd = max(item.sender.leaseEnd, item.sent.Add(LeaderLease))
}

// checkObserve checks whether the candidate may take over after a reading.
func checkObserve(t *testing.T, candidate *Candidate, reading Reading, now clock.Time, want bool) {
	t.Helper()
	if got := candidate.Observe(reading, now); got != want {
		t.Errorf("may take over at %d: %t, want %t", now, got, want)
	}
}

// TestTakeOverConditions guards against a needless change of leaders after an outage of the store, and
// against a late takeover after a leader stopped or its process was restarted.
func TestTakeOverConditions(t *testing.T) {
	const start = clock.Time(clock.Minute)
	reading := Reading{Term: Term{Number: 3, Holder: "a", Address: "a:1"}, TermVersion: 5, Heartbeat: Heartbeat{Term: 3, Count: 9}, HeartbeatVersion: 8}
	t.Run("nobody led", func(t *testing.T) {
		checkObserve(t, NewCandidate("b", "b:1"), Reading{}, start, true)
	})
	t.Run("renewals end", func(t *testing.T) {
		candidate := NewCandidate("b", "b:1")
		checkObserve(t, candidate, reading, start, false)
		checkObserve(t, candidate, reading, start.Add(LeaderLease), false)
		checkObserve(t, candidate, reading, start.Add(takeOverWait()), true)
	})
	t.Run("store was unavailable", func(t *testing.T) {
		candidate := NewCandidate("b", "b:1")
		checkObserve(t, candidate, reading, start, false)
		recoveredAt := start.Add(10 * clock.Second)
		candidate.ReadFailed(recoveredAt)
		checkObserve(t, candidate, reading, recoveredAt.Add(clock.Millisecond), false)
		checkObserve(t, candidate, reading, recoveredAt.Add(failedReadDelay), true)
	})
	t.Run("leader stopped", func(t *testing.T) {
		released := reading
		released.Heartbeat.Released = true
		checkObserve(t, NewCandidate("b", "b:1"), released, start, true)
	})
	t.Run("earlier process of the entry led", func(t *testing.T) {
		checkObserve(t, NewCandidate("a", "a:1"), reading, start, true)
		checkObserve(t, NewCandidate("a", "other:1"), reading, start, false)
	})
}
