package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/lease"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// harness runs schedulers against a fake table, real ledgers and leases, and a fake worker runtime
// that records every start. Messages are delayed, lost and reordered.
type harness struct {
	t        testing.TB
	seed     uint64
	random   *rand.Rand
	now      clock.Time
	table    *fakeTable
	agents   []*fakeAgent
	entries  []*homeEntry
	granter  *lease.Granter
	messages []delivery
	sequence int
	// newestEpoch is the newest epoch of each task that was ever started; running is the agent on
	// which each task runs now.
	newestEpoch map[ident.Task]ident.Epoch
	running     map[ident.Task]*fakeAgent
	// closedAt is when a data centre's row was closed, or 0 while it is open.
	closedAt map[ident.DataCentre]clock.Time
	// lossRate is the probability that a message or an outcome of a commit is lost.
	lossRate float64
	// faultsOver turns off all random faults.
	faultsOver        bool
	starts            int
	endedIncarnations map[ident.Worker]ident.Incarnation
	jobs              []ident.Job
	entryCount        int
}

// delivery is a message in transit. Messages due at the same time arrive in order of sequence.
type delivery struct {
	at       clock.Time
	sequence int
	run      func()
}

// homeEntry is an entry that acts as the home of all jobs.
type homeEntry struct {
	harness   *harness
	scheduler *Scheduler
	alive     bool
	nextRound clock.Time
}

var centreNames = []ident.DataCentre{"gent", "kortrijk", "aalst"}

func centreKey(name ident.DataCentre) table.Key { return table.Key("DataCentre/" + string(name)) }

func newHarness(t testing.TB, seed uint64, workers int) *harness {
	t.Helper()
	harness := &harness{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), now: 100_000,
		granter: lease.NewGranter(lease.Settings{}), newestEpoch: make(map[ident.Task]ident.Epoch),
		running: make(map[ident.Task]*fakeAgent), closedAt: make(map[ident.DataCentre]clock.Time),
		endedIncarnations: make(map[ident.Worker]ident.Incarnation),
	}
	harness.table = newFakeTable(harness)
	for _, name := range centreNames {
		harness.table.put(centreKey(name), []byte("open"))
	}
	for index := range workers {
		agent := &fakeAgent{
			harness: harness, name: ident.Worker(fmt.Sprintf("worker-%02d", index)), dataCentre: centreNames[index%len(centreNames)],
			rack: ident.Rack(fmt.Sprintf("rack-%d", index/3)), capacity: unit.Resources{CPU: 16000, Memory: 60000, Accelerators: unit.Accelerators(index % 2)},
			clockOffset: worker.Instant(harness.random.IntN(1_000_000)), tasks: make(map[ident.Task]*fakeTask), ended: make(map[ident.Task]worker.Status),
		}
		harness.agents = append(harness.agents, agent)
		agent.restart()
	}
	harness.addEntry()
	return harness
}

func (harness *harness) failf(format string, arguments ...any) {
	harness.t.Helper()
	harness.t.Fatalf("seed %d at %d: %s", harness.seed, harness.now, fmt.Sprintf(format, arguments...))
}

// chance returns true with the given probability, and never once faults are over.
func (harness *harness) chance(probability float64) bool {
	return !harness.faultsOver && harness.random.Float64() < probability
}

// deliver runs the function after a delay; lossy messages may be lost.
func (harness *harness) deliver(lossy bool, run func()) {
	if lossy && harness.chance(harness.lossRate) {
		return
	}
	delay := clock.Millis(harness.random.IntN(20) + 1)
	if harness.chance(0.02) {
		delay += clock.Millis(harness.random.IntN(4000))
	}
	harness.after(delay, run)
}

func (harness *harness) after(delay clock.Millis, run func()) {
	harness.sequence++
	harness.messages = append(harness.messages, delivery{at: harness.now.Add(delay), sequence: harness.sequence, run: run})
}

// advance advances the clock, delivers the messages that are due in order, and runs heartbeats,
// lease expiry and rounds.
func (harness *harness) advance(millis clock.Millis) {
	until := harness.now.Add(millis)
	for {
		next := -1
		for index, message := range harness.messages {
			if message.at.After(until) {
				continue
			}
			if next < 0 || message.at < harness.messages[next].at || (message.at == harness.messages[next].at && message.sequence < harness.messages[next].sequence) {
				next = index
			}
		}
		if next < 0 {
			break
		}
		message := harness.messages[next]
		harness.messages[next] = harness.messages[len(harness.messages)-1]
		harness.messages = harness.messages[:len(harness.messages)-1]
		harness.now = max(harness.now, message.at)
		harness.stopExpiredWorkers()
		message.run()
	}
	harness.now = until
	harness.stopExpiredWorkers()
	for _, agent := range harness.agents {
		agent.tick()
	}
	for _, name := range harness.granter.LapsedWorkers(harness.now) {
		harness.endIncarnation(name)
	}
	for _, entry := range harness.entries {
		if entry.alive && !harness.now.Before(entry.nextRound) {
			entry.nextRound = harness.now.Add(500)
			entry.handle(Round{})
		}
	}
}

func (harness *harness) stopExpiredWorkers() {
	for _, agent := range harness.agents {
		agent.stopIfLeaseExpired()
	}
}

// endIncarnation declares that a worker's incarnation is over, because its lease has expired, and
// notifies all entries.
func (harness *harness) endIncarnation(name ident.Worker) {
	agent := harness.agent(name)
	if err := harness.granter.MarkOver(name, agent.grantedIncarnation, harness.now); err != nil {
		harness.failf("worker %s cannot be declared over although its lease expired: %v", name, err)
	}
	harness.endedIncarnations[name] = agent.grantedIncarnation
	incarnation := agent.grantedIncarnation
	for _, entry := range harness.entries {
		harness.deliver(false, func() { entry.handle(IncarnationEnded{Worker: name, Incarnation: incarnation}) })
	}
}

func (harness *harness) agent(name ident.Worker) *fakeAgent {
	for _, agent := range harness.agents {
		if agent.name == name {
			return agent
		}
	}
	harness.failf("no worker %s", name)
	return nil
}

// addEntry starts an entry that takes over all jobs from the table.
func (harness *harness) addEntry() *homeEntry {
	harness.entryCount++
	entry := &homeEntry{harness: harness, alive: true, nextRound: harness.now, scheduler: New(Settings{
		ParkAfter: 2 * clock.Second, Starvation: 20 * clock.Second, Ramp: 5 * clock.Second, MaxRows: 8,
	}, Dependencies{Entry: "entry", Incarnation: ident.Incarnation(harness.entryCount), Quotas: &teamLimits{used: make(map[ident.Team]unit.Resources)}})}
	harness.entries = append(harness.entries, entry)
	for _, name := range set.SortedKeys(harness.endedIncarnations) {
		entry.handle(IncarnationEnded{Worker: name, Incarnation: harness.endedIncarnations[name]})
	}
	for _, name := range centreNames {
		entry.configure(name)
	}
	for _, name := range harness.jobs {
		entry.handle(JobLoaded{Row: harness.table.rows[job.Key(name)]})
	}
	return entry
}

// configure sends the entry the state of a data centre's row.
func (entry *homeEntry) configure(name ident.DataCentre) {
	row := entry.harness.table.rows[centreKey(name)]
	entry.handle(DataCentreChanged{
		DataCentre: name, Open: string(row.Value) == "open", Key: row.Key, Revision: row.Revision, Bound: 10 * clock.Second,
	})
}

func (entry *homeEntry) handle(event Event) {
	if !entry.alive {
		return
	}
	for _, action := range entry.scheduler.Handle(event, entry.harness.now) {
		entry.perform(action)
	}
}

func (entry *homeEntry) perform(action Action) {
	harness := entry.harness
	switch action := action.(type) {
	case Reserve:
		harness.call(entry, action.Worker, func(agent *fakeAgent) Event { return agent.reserve(action) })
	case Start:
		harness.call(entry, action.Worker, func(agent *fakeAgent) Event { return agent.start(action) })
	case Stop:
		harness.call(entry, action.Worker, func(agent *fakeAgent) Event { return agent.stop(action) })
	case Release:
		harness.call(entry, action.Worker, func(agent *fakeAgent) Event {
			for _, ref := range action.Tasks {
				agent.ledger.Release(action.Reservation, ref.Task)
			}
			return nil
		})
	case Recorded:
		harness.call(entry, action.Worker, func(agent *fakeAgent) Event {
			for _, ref := range action.Tasks {
				agent.removeEnded(ref)
			}
			return nil
		})
	case Commit:
		if harness.chance(0.02) {
			entry.alive = false // crash before the write
			return
		}
		harness.deliver(false, func() { entry.commit(action.Transaction) })
	case Read:
		harness.deliver(false, func() {
			if harness.table.down {
				entry.handle(ReadFailed(action))
				return
			}
			rows := make([]table.Row, 0, len(action.Keys))
			for _, key := range action.Keys {
				row := harness.table.rows[key]
				row.Key = key
				rows = append(rows, row)
			}
			harness.deliver(true, func() { entry.handle(RowsRead{Rows: rows}) })
		})
	}
}

// call sends a message to an agent and returns its answer to the entry.
func (harness *harness) call(entry *homeEntry, name ident.Worker, serve func(agent *fakeAgent) Event) {
	agent := harness.agent(name)
	if harness.chance(0.01) {
		// The message is duplicated.
		harness.deliver(true, func() {
			if agent.reachable() {
				serve(agent)
			}
		})
	}
	harness.deliver(true, func() {
		if !agent.reachable() {
			return
		}
		answer := serve(agent)
		if answer == nil {
			return
		}
		harness.deliver(true, func() {
			if agent.isolated {
				return
			}
			entry.handle(answer)
		})
	})
}

func (entry *homeEntry) commit(transaction table.Transaction) {
	harness := entry.harness
	if harness.chance(harness.lossRate) {
		// The request is delayed in the network: it may take effect after the entry has read back
		// the rows.
		harness.after(clock.Millis(harness.random.IntN(3000)), func() { _, _ = harness.table.commit(transaction) })
		entry.deliverOutcome(transaction, CommitFailed{Write: transaction.Write, Err: table.ErrUnknownOutcome{Write: transaction.Write}})
		return
	}
	result, err := harness.table.commit(transaction)
	if err != nil {
		entry.deliverOutcome(transaction, CommitFailed{Write: transaction.Write, Err: err})
		return
	}
	if harness.chance(0.01) {
		entry.alive = false // crash after the write
		return
	}
	if harness.chance(harness.lossRate) {
		entry.deliverOutcome(transaction, CommitFailed{Write: transaction.Write, Err: table.ErrUnknownOutcome{Write: transaction.Write}})
		return
	}
	entry.deliverOutcome(transaction, Committed{Write: transaction.Write, Result: result})
}

func (entry *homeEntry) deliverOutcome(_ table.Transaction, event Event) {
	entry.harness.deliver(false, func() { entry.handle(event) })
}

func sortedTasks[Value any](tasks map[ident.Task]Value) []ident.Task {
	names := make([]ident.Task, 0, len(tasks))
	for name := range tasks {
		names = append(names, name)
	}
	slices.SortFunc(names, compareTasks)
	return names
}
