package election

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/store"
)

// rows is a store that holds the rows of the election.
type rows struct {
	version store.Version
	held    map[store.Ref]store.Row
}

func (held *rows) commit(tx store.Tx) (store.Version, bool) {
	for _, condition := range tx.Conditions {
		if held.held[condition.Ref].Version != condition.Version {
			return 0, false
		}
	}
	held.version++
	for _, put := range tx.Puts {
		held.held[put.Ref] = store.Row{Ref: put.Ref, Value: put.Value, Version: held.version}
	}
	return held.version, true
}

func (held *rows) read(t *rapid.T) Reading {
	reading, err := Parse([]store.Row{held.held[TermRef()], held.held[HeartbeatRef()]})
	if err != nil {
		t.Fatal(err)
	}
	return reading
}

// entry is an entry that may lead.
type entry struct {
	candidate   *Candidate
	leads       bool
	term        Term
	termVersion store.Version
	beatVersion store.Version
	until       clock.Time
}

// write is a transaction on its way to the store, which may be slow or lose the answer.
type write struct {
	tx       store.Tx
	sender   *entry
	sent     clock.Time
	due      clock.Time
	term     Term
	takeover bool
	lost     bool
}

// Guards against two leaders at the same time: a takeover is applied while the lease of another leader,
// as that one counts it, has not ended, whatever delays, losses and pauses there are.
func TestOneLeaderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := &rows{held: map[store.Ref]store.Row{}}
		now := clock.Time(clock.Minute)
		var entries []*entry
		for _, name := range []string{"a", "b", "c"} {
			entries = append(entries, &entry{candidate: NewCandidate(name, name)})
		}
		var flying []write
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			now = now.Add(clock.Millis(rapid.IntRange(0, 900).Draw(t, "passes")))
			var later []write
			for _, item := range flying {
				if item.due.After(now) {
					later = append(later, item)
					continue
				}
				deliver(t, held, entries, item)
			}
			flying = later
			actor := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			item := write{sender: actor, sent: now, due: now.Add(clock.Millis(rapid.IntRange(0, 6000).Draw(t, "delay"))), lost: rapid.IntRange(0, 3).Draw(t, "lost") == 0}
			switch {
			case actor.leads:
				beat, err := json.Marshal(Heartbeat{Term: actor.term.Number, Count: int64(now)})
				if err != nil {
					t.Fatal(err)
				}
				item.tx = store.Tx{
					Conditions: []store.Condition{{Ref: TermRef(), Version: actor.termVersion}, {Ref: HeartbeatRef(), Version: actor.beatVersion}},
					Puts:       []store.Put{{Ref: HeartbeatRef(), Value: beat}},
				}
				flying = append(flying, item)
			case rapid.IntRange(0, 4).Draw(t, "fails") == 0:
				actor.candidate.Failed(now)
			case actor.candidate.Observe(held.read(t), now):
				tx, term, err := actor.candidate.TakeOver()
				if err != nil {
					t.Fatal(err)
				}
				item.tx, item.term, item.takeover = tx, term, true
				flying = append(flying, item)
			}
		}
	})
}

// deliver applies a write at its due time and tells its sender, unless the answer is lost.
func deliver(t *rapid.T, held *rows, entries []*entry, item write) {
	version, applied := held.commit(item.tx)
	if !applied {
		if item.sender.leads && held.held[TermRef()].Version != item.sender.termVersion {
			item.sender.leads = false
		}
		return
	}
	if item.takeover {
		for _, other := range entries {
			if other != item.sender && other.leads && other.until.After(item.due) {
				t.Fatalf("%s takes over at %d while %s leads until %d", item.term.Holder, item.due, other.term.Holder, other.until)
			}
		}
	}
	if item.lost {
		return
	}
	if item.takeover {
		item.sender.leads, item.sender.term, item.sender.termVersion = true, item.term, version
	}
	item.sender.beatVersion = version
	item.sender.until = max(item.sender.until, item.sent.Add(Lease))
}

func observe(t *testing.T, candidate *Candidate, reading Reading, now clock.Time, want bool) {
	t.Helper()
	if got := candidate.Observe(reading, now); got != want {
		t.Errorf("may take over at %d: %t, want %t", now, got, want)
	}
}

// Guards against a needless change of leaders after an outage of the store, and against a slow one
// after a leader that stopped or whose machine started again.
func TestWhenToTakeOver(t *testing.T) {
	const start = clock.Time(clock.Minute)
	led := Reading{Term: Term{Number: 3, Holder: "a", Address: "a:1"}, TermVersion: 5, Heartbeat: Heartbeat{Term: 3, Count: 9}, HeartbeatVersion: 8}
	t.Run("nobody led", func(t *testing.T) {
		observe(t, NewCandidate("b", "b:1"), Reading{}, start, true)
	})
	t.Run("renewals end", func(t *testing.T) {
		candidate := NewCandidate("b", "b:1")
		observe(t, candidate, led, start, false)
		observe(t, candidate, led, start.Add(Lease), false)
		observe(t, candidate, led, start.Add(wait()), true)
	})
	t.Run("store was away", func(t *testing.T) {
		candidate := NewCandidate("b", "b:1")
		observe(t, candidate, led, start, false)
		back := start.Add(10 * clock.Second)
		candidate.Failed(back)
		observe(t, candidate, led, back.Add(clock.Millisecond), false)
		observe(t, candidate, led, back.Add(settlePause), true)
	})
	t.Run("leader stopped", func(t *testing.T) {
		released := led
		released.Heartbeat.Released = true
		observe(t, NewCandidate("b", "b:1"), released, start, true)
	})
	t.Run("own machine led", func(t *testing.T) {
		observe(t, NewCandidate("a", "a:1"), led, start, true)
		observe(t, NewCandidate("a", "other:1"), led, start, false)
	})
}
