package election

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/store"
)

const modelLease = 6 * clock.Second

// driftingClock is the clock of a machine in the model: its rate is wrong by the given thousandths.
type driftingClock struct {
	offset, thousandths int64
}

func (local driftingClock) now(at clock.Time) clock.Time {
	return clock.Time(local.offset + int64(at)*(1000+local.thousandths)/1000)
}

// modelEntry is an entry of the model. Its process may end; the next one has another clock.
type modelEntry struct {
	name      string
	clock     driftingClock
	candidate *Candidate
	// hasEarlierVersion reports that the process neither reads nor writes Heartbeat.Grants.
	hasEarlierVersion bool
	// attempt numbers the attempts to take over.
	attempt                       int
	leads                         bool
	ledger                        GrantLedger
	term                          Term
	termVersion, heartbeatVersion store.Version
	validUntil                    clock.Time
	// renewal is the heartbeat whose outcome is not known, or nil. It was sent at renewalSent.
	renewal     *store.Tx
	renewalSent clock.Time
}

// modelWrite is a transaction on its way to the store.
type modelWrite struct {
	tx        store.Tx
	deliverAt clock.Time
	// answer passes the result to the sender; it is nil if the answer is lost.
	answer func(version store.Version, applied bool)
}

// grantModel plays leaders that grant leases to nodes. It assumes the worst of agents: they report to any leader, and
// take grants of any term.
type grantModel struct {
	t        *rapid.T
	now      clock.Time
	store    *fakeStore
	entries  []*modelEntry
	inFlight []modelWrite
	nodes    []string
	clocks   map[string]driftingClock
	// leaseEnds holds the end of the lease of each node's worker.
	leaseEnds map[string]clock.Time
}

// TestNoWorkerIsGoneDuringItsLease guards against two runs of one task: a leader that takes a worker for gone while a
// lease that this leader or an earlier one granted still runs. Transactions are late or unanswered, entries end, stop
// and lose their term, and clocks drift.
func TestNoWorkerIsGoneDuringItsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &grantModel{
			t: t, now: clock.Time(clock.Minute), store: &fakeStore{rows: map[store.Ref]store.Row{}}, nodes: []string{"side-1", "side-2"},
			clocks: map[string]driftingClock{}, leaseEnds: map[string]clock.Time{},
		}
		for _, node := range model.nodes {
			model.clocks[node] = driftingClock{thousandths: rapid.Int64Range(-20, 10).Draw(t, "worker clock")}
		}
		for _, name := range []string{"a", "b", "c"} {
			entry := &modelEntry{name: name}
			model.startProcess(entry)
			model.entries = append(model.entries, entry)
		}
		for range rapid.IntRange(50, 300).Draw(t, "events") {
			model.now = model.now.Add(clock.Millis(rapid.SampledFrom([]int{0, 50, 200, 400, 400, 900, 2500}).Draw(t, "passes")))
			model.deliver()
			entry := model.entries[rapid.IntRange(0, len(model.entries)-1).Draw(t, "entry")]
			if entry.leads {
				model.lead(entry)
			} else {
				model.campaign(entry)
			}
		}
	})
}

// startProcess starts a process of the entry.
func (model *grantModel) startProcess(entry *modelEntry) {
	*entry = modelEntry{
		name: entry.name, candidate: NewCandidate(entry.name, entry.name), hasEarlierVersion: rapid.IntRange(0, 5).Draw(model.t, "version") == 5,
		clock: driftingClock{offset: rapid.Int64Range(0, 1_000_000).Draw(model.t, "offset"), thousandths: rapid.Int64Range(-10, 10).Draw(model.t, "drift")},
	}
}

// send sends a transaction, whose answer may be lost.
func (model *grantModel) send(tx store.Tx, answer func(store.Version, bool)) {
	delay := rapid.SampledFrom([]clock.Millis{0, 20, 20, 300, 3000}).Draw(model.t, "delay")
	if rapid.IntRange(0, 3).Draw(model.t, "lost") == 0 {
		answer = nil
	}
	model.inFlight = append(model.inFlight, modelWrite{tx: tx, deliverAt: model.now.Add(delay), answer: answer})
}

// deliver applies the transactions that are due.
func (model *grantModel) deliver() {
	pending := model.inFlight
	model.inFlight = nil
	for _, write := range pending {
		if write.deliverAt.After(model.now) {
			model.inFlight = append(model.inFlight, write)
			continue
		}
		version, applied := model.store.commit(write.tx)
		if !applied {
			version, applied = model.appliedVersion(write.tx)
		}
		if write.answer != nil {
			write.answer(version, applied)
		}
	}
}

// appliedVersion returns the version of an earlier attempt of the transaction, as store.CommitUntilKnown finds it.
func (model *grantModel) appliedVersion(tx store.Tx) (store.Version, bool) {
	version := model.store.rows[tx.Puts[0].Ref].Version
	for _, put := range tx.Puts {
		if row := model.store.rows[put.Ref]; row.Version != version || !bytes.Equal(row.Value, put.Value) {
			return 0, false
		}
	}
	return version, true
}

// campaign lets an entry that does not lead read the rows and take over if it may.
func (model *grantModel) campaign(entry *modelEntry) {
	now := entry.clock.now(model.now)
	if rapid.IntRange(0, 5).Draw(model.t, "fails") == 0 {
		entry.candidate.ReadFailed(now)
		return
	}
	if !entry.candidate.Observe(model.store.read(model.t), now) {
		return
	}
	inherited := entry.candidate.InheritedGrants()
	tx, term, err := entry.candidate.TakeOver(now)
	if err != nil {
		model.t.Fatal(err)
	}
	if entry.hasEarlierVersion {
		tx.Puts[1].Value = model.encode(Heartbeat{Term: term.Number})
	}
	entry.attempt++
	process, attempt := entry.candidate, entry.attempt
	model.send(tx, func(version store.Version, applied bool) {
		if !applied || entry.candidate != process || entry.attempt != attempt {
			return // The elector waits for one attempt at a time.
		}
		entry.leads, entry.term, entry.termVersion, entry.heartbeatVersion, entry.renewal = true, term, version, version, nil
		entry.validUntil = now.Add(LeaderLease)
		entry.ledger = NewGrantLedger(inherited, entry.clock.now(model.now))
	})
}

// lead lets a leader do one thing.
func (model *grantModel) lead(entry *modelEntry) {
	now := entry.clock.now(model.now)
	node := rapid.SampledFrom(model.nodes).Draw(model.t, "node")
	switch action := rapid.IntRange(0, 19).Draw(model.t, "action"); {
	case action == 0:
		model.startProcess(entry)
	case action == 1:
		entry.leads = false
	case action == 2:
		entry.leads = false
		heartbeat := model.heartbeat(entry, now)
		heartbeat.Released = true
		model.send(model.renewalTx(entry, heartbeat), nil)
	case action < 9:
		entry.ledger.RecordReport(node, now)
		if now.Before(entry.validUntil.Add(GrantExtension)) && (entry.hasEarlierVersion || entry.ledger.Grant(node, now)) {
			model.grant(node)
		}
	case action < 17:
		model.renew(entry, now)
	}
	if !entry.leads || entry.hasEarlierVersion || entry.termVersion != model.store.rows[TermRef()].Version {
		return // It can store no placement, or waits as its own version did.
	}
	for _, node := range model.nodes {
		last, _ := entry.ledger.LastGrant(node)
		if now.Sub(last) > WorkerStoppedAfter(modelLease) && model.now.Before(model.leaseEnds[node]) {
			model.t.Fatalf("%s takes %s for gone at %d, %d ms before its lease ends", entry.name, node, model.now, model.leaseEnds[node].Sub(model.now))
		}
	}
}

// grant extends the lease of the node's worker, as measured by the worker.
func (model *grantModel) grant(node string) {
	length := modelLease * 1000 / clock.Millis(1000+model.clocks[node].thousandths)
	model.leaseEnds[node] = max(model.leaseEnds[node], model.now.Add(length))
}

// renew sends a new heartbeat, or again the one whose outcome is not known.
func (model *grantModel) renew(entry *modelEntry, now clock.Time) {
	if entry.renewal == nil {
		tx := model.renewalTx(entry, model.heartbeat(entry, now))
		entry.renewal, entry.renewalSent = &tx, now
	}
	renewal, process, sent := entry.renewal, entry.candidate, entry.renewalSent
	model.send(*renewal, func(version store.Version, applied bool) {
		if entry.candidate != process || entry.renewal != renewal || !entry.leads {
			return
		}
		entry.renewal = nil
		if !applied {
			entry.leads = false
			return
		}
		entry.heartbeatVersion, entry.validUntil = version, sent.Add(LeaderLease)
		entry.ledger.RecordStored()
	})
}

// heartbeat returns the next heartbeat of a leader.
func (model *grantModel) heartbeat(entry *modelEntry, now clock.Time) Heartbeat {
	heartbeat := Heartbeat{Term: entry.term.Number, Count: int64(model.now)}
	if !entry.hasEarlierVersion {
		heartbeat.Grants = entry.ledger.Compose(model.nodes, now)
	}
	return heartbeat
}

func (model *grantModel) renewalTx(entry *modelEntry, heartbeat Heartbeat) store.Tx {
	return store.Tx{
		Conditions: []store.Condition{{Ref: TermRef(), Version: entry.termVersion}, {Ref: HeartbeatRef(), Version: entry.heartbeatVersion}},
		Puts:       []store.Put{{Ref: HeartbeatRef(), Value: model.encode(heartbeat)}},
	}
}

func (model *grantModel) encode(heartbeat Heartbeat) []byte {
	value, err := json.Marshal(heartbeat)
	if err != nil {
		model.t.Fatal(err)
	}
	return value
}

// TestEarlierLeaderGrantsThroughShortTerm guards against two runs of one task: a leader that lost the store grants leases
// until its extension ends, while the term after its own is already over. The third leader must know of these grants.
func TestEarlierLeaderGrantsThroughShortTerm(t *testing.T) {
	const seenAt, node = clock.Time(clock.Minute), "side-1"
	second := NewCandidate("b", "b")
	reading := Reading{Term: Term{Number: 1, Holder: "a"}, TermVersion: 1, Heartbeat: Heartbeat{Term: 1, Grants: &Grants{}}, HeartbeatVersion: 1}
	second.Observe(reading, seenAt)
	startedAt := seenAt.Add(takeOverWait())
	if !second.Observe(reading, startedAt) {
		t.Fatal("the second entry may not take over")
	}
	tx, _, err := second.TakeOver(startedAt)
	if err != nil {
		t.Fatal(err)
	}
	var takeover Heartbeat
	if err := json.Unmarshal(tx.Puts[1].Value, &takeover); err != nil {
		t.Fatal(err)
	}
	ledger := NewGrantLedger(second.InheritedGrants(), startedAt)
	silentAt := startedAt.Add(SilentAfter)
	cases := map[string]struct {
		heartbeat  Heartbeat
		composedAt clock.Time
		// next is the name of the third leader.
		next string
	}{
		"released":                    {Heartbeat{Term: 2, Released: true, Grants: ledger.Compose(nil, startedAt.Add(100))}, startedAt.Add(100), "c"},
		"released by earlier version": {Heartbeat{Term: 2, Released: true}, startedAt, "c"},
		"process restarted":           {takeover, startedAt, "b"},
		"listed as silent":            {Heartbeat{Term: 2, Released: true, Grants: ledger.Compose([]string{node}, silentAt)}, silentAt, "c"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			third := NewCandidate(test.next, test.next)
			reading := Reading{Term: Term{Number: 2, Holder: "b", Address: "b"}, TermVersion: 2, Heartbeat: test.heartbeat, HeartbeatVersion: 3}
			if !third.Observe(reading, test.composedAt) {
				t.Fatal("the third entry may not take over at once")
			}
			want := seenAt.Add(LeaderLease + GrantExtension)
			if got, _ := third.InheritedGrants().Last(node); got.Before(want) {
				t.Errorf("the last grant is taken to be %s before the extension of the first leader ends", want.Sub(got))
			}
			reading.Term.Holder, reading.Term.Address, reading.TermVersion = test.next, test.next, 4
			reading.Heartbeat.Grants = third.InheritedGrants().Compose(test.composedAt.Add(500))
			fourth := NewCandidate(test.next, test.next)
			fourth.Observe(reading, test.composedAt.Add(500))
			if got, _ := fourth.InheritedGrants().Last(node); got.Before(want) {
				t.Errorf("the fourth leader takes the last grant to be %s before the extension of the first leader ends", want.Sub(got))
			}
		})
	}
}

// maxStoreRowBytes is the limit of the platform's store on the value of a row, after encoding in base64.
const maxStoreRowBytes = 65536

// TestHeartbeatFitsOneRow guards against a leader that loses its term because many silent nodes make its heartbeat larger
// than the store accepts.
func TestHeartbeatFitsOneRow(t *testing.T) {
	nodes := make([]string, 5000)
	for number := range nodes {
		nodes[number] = fmt.Sprintf("side-%s-%d", strings.Repeat("x", 50), number)
	}
	var ledger GrantLedger
	value, err := json.Marshal(Heartbeat{Term: 1 << 40, Count: 1 << 40, Grants: ledger.Compose(nodes, clock.Time(clock.Day))})
	if err != nil {
		t.Fatal(err)
	}
	if got := base64.StdEncoding.EncodedLen(len(value)); got > maxStoreRowBytes {
		t.Errorf("the row has %d bytes, want at most %d", got, maxStoreRowBytes)
	}
}
