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

// world runs schedulers against a fake table, real ledgers and leases, and a fake worker runtime
// that records every start. Messages are delayed, lost and reordered.
type world struct {
	t        testing.TB
	seed     uint64
	random   *rand.Rand
	now      clock.Time
	table    *fakeTable
	agents   []*fakeAgent
	homes    []*home
	granter  *lease.Granter
	messages []delivery
	sequence int
	// started is the newest epoch that ever started of each task, running where each runs now.
	started map[ident.Task]ident.Epoch
	running map[ident.Task]*fakeAgent
	// closedAt is when a data centre's row was last closed.
	closedAt map[ident.DataCentre]clock.Time
	loss     float64
	calm     bool
	starts   int
	gone     map[ident.Worker]ident.Incarnation
	jobs     []ident.Job
	next     int
}

type delivery struct {
	at       clock.Time
	sequence int
	run      func()
}

// home is one entry that believes to be the home of all jobs.
type home struct {
	world     *world
	scheduler *Scheduler
	alive     bool
	nextRound clock.Time
}

var centreNames = []ident.DataCentre{"gent", "kortrijk", "aalst"}

func centreKey(name ident.DataCentre) table.Key { return table.Key("DataCentre/" + string(name)) }

func newWorld(t testing.TB, seed uint64, workers int) *world {
	t.Helper()
	world := &world{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), now: 100_000,
		granter: lease.NewGranter(lease.Settings{}), started: make(map[ident.Task]ident.Epoch),
		running: make(map[ident.Task]*fakeAgent), closedAt: make(map[ident.DataCentre]clock.Time),
		gone: make(map[ident.Worker]ident.Incarnation),
	}
	world.table = newFakeTable(world)
	for _, name := range centreNames {
		world.table.put(centreKey(name), []byte("open"))
	}
	for index := range workers {
		agent := &fakeAgent{
			world: world, name: ident.Worker(fmt.Sprintf("worker-%02d", index)), centre: centreNames[index%len(centreNames)],
			rack: ident.Rack(fmt.Sprintf("rack-%d", index/3)), capacity: unit.Resources{CPU: 16000, Memory: 60000, Accelerators: unit.Accelerators(index % 2)},
			skew: worker.Instant(world.random.IntN(1_000_000)), tasks: make(map[ident.Task]*fakeTask), ended: make(map[ident.Task]worker.Status),
		}
		world.agents = append(world.agents, agent)
		agent.boot()
	}
	world.addHome()
	return world
}

func (world *world) failf(format string, arguments ...any) {
	world.t.Helper()
	world.t.Fatalf("seed %d at %d: %s", world.seed, world.now, fmt.Sprintf(format, arguments...))
}

// chance reports true with the probability, and never once faults are over.
func (world *world) chance(probability float64) bool {
	return !world.calm && world.random.Float64() < probability
}

// later runs the function after a delay; lossy messages may be lost.
func (world *world) later(lossy bool, run func()) {
	if lossy && world.chance(world.loss) {
		return
	}
	delay := clock.Millis(world.random.IntN(20) + 1)
	if world.chance(0.02) {
		delay += clock.Millis(world.random.IntN(4000))
	}
	world.after(delay, run)
}

func (world *world) after(delay clock.Millis, run func()) {
	world.sequence++
	world.messages = append(world.messages, delivery{at: world.now.Add(delay), sequence: world.sequence, run: run})
}

// advance moves time and delivers what is due in order.
func (world *world) advance(millis clock.Millis) {
	until := world.now.Add(millis)
	for {
		due := -1
		for index, message := range world.messages {
			if message.at.After(until) {
				continue
			}
			if due < 0 || message.at < world.messages[due].at || (message.at == world.messages[due].at && message.sequence < world.messages[due].sequence) {
				due = index
			}
		}
		if due < 0 {
			break
		}
		message := world.messages[due]
		world.messages[due] = world.messages[len(world.messages)-1]
		world.messages = world.messages[:len(world.messages)-1]
		world.now = max(world.now, message.at)
		world.expireWorkers()
		message.run()
	}
	world.now = until
	world.expireWorkers()
	for _, agent := range world.agents {
		agent.tick()
	}
	for _, name := range world.granter.Due(world.now) {
		world.declareOver(name)
	}
	for _, home := range world.homes {
		if home.alive && !world.now.Before(home.nextRound) {
			home.nextRound = world.now.Add(500)
			home.handle(Round{})
		}
	}
}

func (world *world) expireWorkers() {
	for _, agent := range world.agents {
		agent.expire()
	}
}

// declareOver ends an incarnation whose lease lapsed, and tells all homes.
func (world *world) declareOver(name ident.Worker) {
	agent := world.agent(name)
	if err := world.granter.Over(name, agent.granted, world.now); err != nil {
		world.failf("worker %s is due and not over: %v", name, err)
	}
	world.gone[name] = agent.granted
	incarnation := agent.granted
	for _, home := range world.homes {
		world.later(false, func() { home.handle(WorkerGone{Worker: name, Incarnation: incarnation}) })
	}
}

func (world *world) agent(name ident.Worker) *fakeAgent {
	for _, agent := range world.agents {
		if agent.name == name {
			return agent
		}
	}
	world.failf("no worker %s", name)
	return nil
}

// addHome starts an entry that takes over all jobs from the table.
func (world *world) addHome() *home {
	world.next++
	added := &home{world: world, alive: true, nextRound: world.now, scheduler: New(Settings{
		ParkAfter: 2 * clock.Second, Starvation: 20 * clock.Second, Ramp: 5 * clock.Second, MaxRows: 8,
	}, Dependencies{Entry: "entry", Incarnation: ident.Incarnation(world.next), Quotas: &limits{used: make(map[ident.Team]unit.Resources)}})}
	world.homes = append(world.homes, added)
	for _, name := range set.SortedKeys(world.gone) {
		added.handle(WorkerGone{Worker: name, Incarnation: world.gone[name]})
	}
	for _, name := range centreNames {
		added.configure(name)
	}
	for _, name := range world.jobs {
		added.handle(JobLoaded{Row: world.table.rows[job.Key(name)]})
	}
	return added
}

// configure tells the home what the row of a data centre says.
func (home *home) configure(name ident.DataCentre) {
	row := home.world.table.rows[centreKey(name)]
	home.handle(DataCentreChanged{
		DataCentre: name, Open: string(row.Value) == "open", Key: row.Key, Revision: row.Revision, Bound: 10 * clock.Second,
	})
}

func (home *home) handle(event Event) {
	if !home.alive {
		return
	}
	for _, action := range home.scheduler.Handle(event, home.world.now) {
		home.perform(action)
	}
}

func (home *home) perform(action Action) {
	world := home.world
	switch action := action.(type) {
	case Reserve:
		world.call(home, action.Worker, func(agent *fakeAgent) Event { return agent.reserve(action) })
	case Start:
		world.call(home, action.Worker, func(agent *fakeAgent) Event { return agent.start(action) })
	case Stop:
		world.call(home, action.Worker, func(agent *fakeAgent) Event { return agent.stop(action) })
	case Release:
		world.call(home, action.Worker, func(agent *fakeAgent) Event {
			for _, ref := range action.Tasks {
				agent.ledger.Release(action.Reservation, ref.Task)
			}
			return nil
		})
	case Recorded:
		world.call(home, action.Worker, func(agent *fakeAgent) Event {
			for _, ref := range action.Tasks {
				agent.forget(ref)
			}
			return nil
		})
	case Commit:
		if world.chance(0.02) {
			home.alive = false // crash before the write
			return
		}
		world.later(false, func() { home.commit(action.Transaction) })
	case Read:
		world.later(false, func() {
			if world.table.down {
				home.handle(ReadFailed(action))
				return
			}
			rows := make([]table.Row, 0, len(action.Keys))
			for _, key := range action.Keys {
				row := world.table.rows[key]
				row.Key = key
				rows = append(rows, row)
			}
			world.later(true, func() { home.handle(RowsRead{Rows: rows}) })
		})
	}
}

// call sends a message to an agent and its answer back.
func (world *world) call(from *home, to ident.Worker, serve func(agent *fakeAgent) Event) {
	agent := world.agent(to)
	if world.chance(0.01) {
		// The message is sent again although the first copy arrives.
		world.later(true, func() {
			if agent.reachable() {
				serve(agent)
			}
		})
	}
	world.later(true, func() {
		if !agent.reachable() {
			return
		}
		answer := serve(agent)
		if answer == nil {
			return
		}
		world.later(true, func() {
			if agent.cut {
				return
			}
			from.handle(answer)
		})
	})
}

func (home *home) commit(transaction table.Transaction) {
	world := home.world
	if world.chance(world.loss) {
		// The request is delayed in the network: it may take effect after the home has read back.
		world.after(clock.Millis(world.random.IntN(3000)), func() { _, _ = world.table.commit(transaction) })
		home.answer(transaction, CommitFailed{Write: transaction.Write, Err: table.ErrUnknownOutcome{Write: transaction.Write}})
		return
	}
	result, err := world.table.commit(transaction)
	if err != nil {
		home.answer(transaction, CommitFailed{Write: transaction.Write, Err: err})
		return
	}
	if world.chance(0.01) {
		home.alive = false // crash after the write
		return
	}
	if world.chance(world.loss) {
		home.answer(transaction, CommitFailed{Write: transaction.Write, Err: table.ErrUnknownOutcome{Write: transaction.Write}})
		return
	}
	home.answer(transaction, Committed{Write: transaction.Write, Result: result})
}

func (home *home) answer(_ table.Transaction, event Event) {
	home.world.later(false, func() { home.handle(event) })
}

func sortedTasks[Value any](tasks map[ident.Task]Value) []ident.Task {
	names := make([]ident.Task, 0, len(tasks))
	for name := range tasks {
		names = append(names, name)
	}
	slices.SortFunc(names, compareTasks)
	return names
}
