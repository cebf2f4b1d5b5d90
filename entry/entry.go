package entry

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/dedup"
	"hyssopjunction/dispatch"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/loop"
	"hyssopjunction/membership"
	"hyssopjunction/objectstore"
	"hyssopjunction/placement"
	"hyssopjunction/quota"
	"hyssopjunction/retry"
	"hyssopjunction/routing"
	"hyssopjunction/set"
	"hyssopjunction/table"
	"hyssopjunction/worker"
)

// Connections gives connections to other daemons by their control address.
type Connections interface {
	Agent(address string) (controlpb.AgentClient, error)
	Entry(address string) (controlpb.EntryClient, error)
	Discard(address string)
}

// Agents carries callers' requests to agents.
type Agents interface {
	dispatch.Agents
	// Keep closes the connections to agents that are not in addresses.
	Keep(addresses set.Set[string])
}

// Dependencies of an entry.
type Dependencies struct {
	Clock clock.Clock
	// Table is a client that resolves lost answers, see table.Client.
	Table table.Store
	// Agents carries callers' requests, Control everything else. They use separate connections, so
	// that giving up a silent connection of one kind does not cut the calls of the other.
	Agents  Agents
	Control Connections
	// Objects keeps large answers of keyed submissions; nil keeps none.
	Objects objectstore.Store
	// Runtimes returns the runtime of a worker at the address that its agent announced.
	Runtimes func(address string, name ident.Worker) worker.Runtime
}

// Entry is the daemon. It is safe for concurrent use.
type Entry struct {
	controlpb.UnimplementedEntryServer

	settings     Settings
	time         clock.Clock
	store        table.Store
	connections  Connections
	agents       Agents
	objects      objectstore.Store
	runtimes     func(address string, name ident.Worker) worker.Runtime
	publisher    *config.Publisher
	reader       *config.Reader
	editor       *config.Editor
	link         *regionLink
	view         *membership.Publisher
	services     atomic.Pointer[serviceTable]
	router       *routing.Router
	dispatcher   *dispatch.Dispatcher
	sweeper      *dedup.Sweeper
	control      *loop.Loop
	lanes        *lanes
	writes       atomic.Uint64
	incarnation  ident.Incarnation
	shuttingDown atomic.Bool

	// The fields below belong to the control goroutine.
	entries *membership.Entries
	workers *membership.Workers
	granter *lease.Granter
	grants  map[ident.Worker]*grant
	// yielded holds the revision of each worker's row at which another process asked this one to grant
	// no more. Answers of the table about an earlier revision make this process granter no more.
	yielded   map[ident.Worker]table.Revision
	ended     map[ident.Worker]endedIncarnation
	scheduler *placement.Scheduler
	learned   *learned
	decisions *decisionLog
	accounts  *accounts
	recorded  map[ident.Task]recordedEnd
	// counted are the reported ends that are evidence about workers and jobs already. An agent repeats a
	// report each second while the table is unavailable.
	counted map[ident.Task]recordedEnd
	// reports are those whose replies wait.
	reports map[*heldReport]struct{}
	inForce *inForce
	homed   map[ident.Job]bool
	// finalSince is when this entry first saw that a job homed here had ended.
	finalSince map[ident.Job]clock.Time
	homes      string
	// publishedHomes are the live entries of the published view.
	publishedHomes string
	refreshedAt    clock.Time
	inExchange     map[ident.Entry]bool
	// healthTold is the change up to which each peer knows the health of workers.
	healthTold map[ident.Entry]uint64
	// knownBy is the incarnation of this entry whose addresses and place the peer said it knows.
	knownBy map[ident.Entry]ident.Incarnation
	silent  map[ident.Worker]silence
	since   map[ident.Endpoint]presence
	applied *config.View
	// residents are the tasks on the workers homed here.
	residents map[ident.Worker][]resident
	// listed are the tasks of workers homed elsewhere, urgent the urgent jobs homed here.
	listed map[ident.Worker]listedResidents
	urgent map[ident.Job]bool
	// substituted are the urgent jobs scheduled here in place of their home, with the end of that.
	substituted map[ident.Job]clock.Time
	// random draws candidates for urgent work.
	random *rand.Rand
	// slowdownTarget and headroom are those of the preset in force, in percent.
	slowdownTarget int
	headroom       int

	// loops counts the loops that every started. It belongs to the goroutine that starts the entry.
	loops uint64
	// readAt is when the entries' rows were last read. It belongs to the renewing goroutine.
	readAt clock.Time

	quit     chan struct{}
	rescan   chan struct{}
	settle   chan struct{}
	closing  sync.Once
	spawning sync.Mutex
	running  sync.WaitGroup
}

// New returns a running entry that is not ready until it has read the configuration in force. It
// returns an error if the entry's own row cannot be read.
func New(ctx context.Context, settings Settings, dependencies Dependencies) (*Entry, error) {
	settings = settings.withDefaults()
	now := dependencies.Clock.Now()
	row, err := dependencies.Table.Get(ctx, membership.EntryKey(settings.ID))
	if err != nil {
		return nil, err
	}
	entries, err := membership.NewEntries(membership.Entry{
		ID: settings.ID, State: membership.Live,
		ControlAddress: settings.ControlAddress, CallerAddress: settings.CallerAddress,
		Region: settings.Region, DataCentre: settings.DataCentre,
	}, row, settings.Membership, now)
	if err != nil {
		return nil, err
	}
	entry := newEntry(settings, dependencies, entries)
	entry.start()
	klog.InfoS("Entry started", "Entry", settings.ID, "Incarnation", entry.incarnation, "Control", settings.ControlAddress)
	return entry, nil
}

func newEntry(settings Settings, dependencies Dependencies, entries *membership.Entries) *Entry {
	publisher := config.NewPublisher()
	incarnation := entries.Self().Incarnation
	entry := &Entry{
		settings: settings, time: dependencies.Clock, store: dependencies.Table, connections: dependencies.Control, agents: dependencies.Agents, objects: dependencies.Objects,
		runtimes:  dependencies.Runtimes,
		publisher: publisher, view: membership.NewPublisher(), router: routing.New(settings.Routing),
		control: loop.New(), lanes: newLanes(), incarnation: incarnation,
		entries: entries, workers: membership.NewWorkers(settings.ID, settings.Membership),
		granter: lease.NewGranter(settings.Lease), grants: map[ident.Worker]*grant{}, yielded: map[ident.Worker]table.Revision{},
		ended: map[ident.Worker]endedIncarnation{}, learned: newLearned(), decisions: newDecisionLog(),
		recorded: map[ident.Task]recordedEnd{}, counted: map[ident.Task]recordedEnd{}, reports: map[*heldReport]struct{}{},
		inForce: newInForce(), homed: map[ident.Job]bool{}, finalSince: map[ident.Job]clock.Time{},
		residents: map[ident.Worker][]resident{}, listed: map[ident.Worker]listedResidents{}, urgent: map[ident.Job]bool{},
		substituted: map[ident.Job]clock.Time{}, random: rand.New(rand.NewPCG(settings.Seed, 3)), slowdownTarget: defaultSlowdownTarget,
		inExchange: map[ident.Entry]bool{}, healthTold: map[ident.Entry]uint64{}, knownBy: map[ident.Entry]ident.Incarnation{}, silent: map[ident.Worker]silence{}, since: map[ident.Endpoint]presence{},
		quit: make(chan struct{}), rescan: make(chan struct{}, 1), settle: make(chan struct{}, 1),
	}
	entry.accounts = &accounts{Ledger: quota.New(quota.Defaults()), learned: entry.learned}
	entry.scheduler = placement.New(settings.Placement, placement.Dependencies{
		Entry: settings.ID, Incarnation: incarnation,
		Sizer: entry.learned, Interference: entry.learned, Health: entry.learned.health, Accounts: entry.accounts,
	})
	entry.services.Store(&serviceTable{})
	entry.reader = config.NewIdleReader(dependencies.Table, publisher)
	entry.editor = config.NewEditor(dependencies.Table, dependencies.Clock, entry.newRandom(2), publisher)
	entry.linkRegions()
	ledger := dedup.New(dependencies.Table, entry.newWrite, dedup.Defaults())
	entry.sweeper = dedup.NewSweeper(dependencies.Table, entry.newWrite, entry.retention)
	if dependencies.Objects != nil {
		ledger = ledger.WithBodies(bodies{dependencies.Objects})
		entry.sweeper = entry.sweeper.WithBodies(bodies{dependencies.Objects})
	}
	entry.dispatcher = dispatch.New(dependencies.Clock, dependencies.Agents, entry, ledger, retry.NewBudget(settings.Retry),
		admission.NewLimiter(settings.Concurrency, clock.Second), entry.NewRequest, settings.Dispatch)
	return entry
}

// start runs the entry's loops.
func (entry *Entry) start() {
	jitter := entry.newRandom(4)
	periodic := &schedule{
		phase:  clock.Millis(jitter.Int64N(int64(clock.Second))),
		jitter: func(bound clock.Millis) clock.Millis { return clock.Millis(jitter.Int64N(int64(bound))) },
	}
	periodic.control(entry.settings.Tick, entry.tick)
	periodic.control(entry.settings.Round, entry.round)
	periodic.control(urgentInterval, entry.assistUrgent)
	periodic.call(entry.settings.ConfigPoll, entry.reader.Poll)
	periodic.call(clock.Second, entry.renew)
	periodic.call(clock.Second, entry.adopt)
	periodic.call(clock.Second, entry.settleGrants)
	periodic.call(10*clock.Second, entry.sweep)
	entry.running.Go(func() { entry.follow(periodic) })
	entry.every(scanInterval, entry.rescan, entry.scanJobs)
	entry.every(20*clock.Second, entry.settle, entry.reviewTeams)
	entry.every(learnedInterval, nil, func() { entry.saveLearned(entry.settings.ObjectTimeout) })
	entry.running.Go(entry.loadLearned)
	entry.running.Go(entry.bootstrap)
	entry.running.Go(entry.followConfig)
	if entry.link != nil {
		entry.running.Go(func() { entry.link.run(entry.quit) })
	}
}

// every calls step at each interval, with jitter, or when woken, until the entry closes.
func (entry *Entry) every(interval clock.Millis, wake <-chan struct{}, step func()) {
	entry.loops++
	jitter := entry.newRandom(loopRandom + entry.loops)
	entry.running.Go(func() {
		for {
			step()
			select {
			case <-entry.time.After(clock.Jittered(interval, jitter)):
			case <-wake:
			case <-entry.quit:
				return
			}
		}
	})
}

// spawn runs step on a goroutine that Close waits for, unless the entry closes. WaitGroup.Go must not
// race with Wait.
func (entry *Entry) spawn(step func()) {
	entry.spawning.Lock()
	defer entry.spawning.Unlock()
	select {
	case <-entry.quit:
	default:
		entry.running.Go(step)
	}
}

// loopRandom is the first purpose of newRandom that loops use.
const loopRandom = 16

// newRandom returns a source of its own for each purpose, so that goroutines share none. Entries with
// the same seed have different ones.
func (entry *Entry) newRandom(purpose uint64) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(entry.settings.ID))
	return rand.New(rand.NewPCG(entry.settings.Seed, hash.Sum64()+purpose))
}

// call bounds one call to another daemon or to the table.
func (entry *Entry) call(bound clock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), bound.Duration())
}

// Ready reports whether the entry knows the configuration in force and is not leaving.
func (entry *Entry) Ready() bool {
	return entry.publisher.Ready() && !entry.shuttingDown.Load()
}

// Dispatcher returns the request flow for the callers' API.
func (entry *Entry) Dispatcher() *dispatch.Dispatcher {
	return entry.dispatcher
}

// handle passes an event to the scheduler and carries out its actions. It runs on the control
// goroutine.
func (entry *Entry) handle(event placement.Event) {
	entry.execute(entry.scheduler.Handle(event, entry.time.Now()))
}

// Post passes an event to the scheduler from any goroutine.
func (entry *Entry) post(event placement.Event) {
	entry.control.Post(func() { entry.handle(event) })
}

// round is the tick of the scheduler. It runs on the control goroutine.
func (entry *Entry) round() []func() {
	if entry.publisher.Ready() {
		entry.handle(placement.Round{})
	}
	return nil
}

// notReady refuses a call before the configuration is known.
func (entry *Entry) notReady() error {
	if entry.publisher.Ready() {
		return nil
	}
	return status.Error(codes.Unavailable, "configuration is not loaded")
}

// Close ends the entry at once without handing anything over, as a crash would.
func (entry *Entry) Close() {
	entry.spawning.Lock()
	entry.closing.Do(func() { close(entry.quit) })
	entry.spawning.Unlock()
	// Ends a poll that waits for the table.
	entry.reader.Close()
	entry.running.Wait()
	entry.control.Close()
	entry.lanes.close()
}
