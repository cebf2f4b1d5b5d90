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

// Connections provides gRPC clients of other daemons by their control address.
type Connections interface {
	Agent(address string) (controlpb.AgentClient, error)
	Entry(address string) (controlpb.EntryClient, error)
	Discard(address string)
}

// Agents carries callers' requests to agents.
type Agents interface {
	dispatch.Agents
	// KeepOnly closes the connections to agents that are not in addresses.
	KeepOnly(addresses set.Set[string])
}

// Dependencies are the services that an entry uses.
type Dependencies struct {
	Clock clock.Clock
	// Table must be a client that finds out the outcome of calls whose answer was lost, see
	// table.Client.
	Table table.Store
	// Agents carries callers' requests, Control all other calls. They use separate connections, so
	// that closing a silent connection of one kind does not interrupt calls of the other.
	Agents  Agents
	Control Connections
	// Objects stores large answers of keyed submissions and snapshots of the learned models. If it
	// is nil, neither is stored.
	Objects objectstore.Store
	// Runtimes returns the runtime of a worker at the address that its agent announced.
	Runtimes func(address string, name ident.Worker) worker.Runtime
}

// Entry is the daemon that serves callers and operators and schedules jobs. It is safe for
// concurrent use.
type Entry struct {
	controlpb.UnimplementedEntryServer

	settings            Settings
	time                clock.Clock
	store               table.Store
	connections         Connections
	agents              Agents
	objects             objectstore.Store
	runtimes            func(address string, name ident.Worker) worker.Runtime
	configPublisher     *config.Publisher
	reader              *config.Reader
	editor              *config.Editor
	link                *regionLink
	membershipPublisher *membership.Publisher
	services            atomic.Pointer[serviceTable]
	// servicesPublished is set once services holds those of a configuration in force.
	servicesPublished atomic.Bool
	router            *routing.Router
	dispatcher        *dispatch.Dispatcher
	sweeper           *dedup.Sweeper
	control           *loop.Loop
	agentCalls        *callQueues
	idCount           atomic.Uint64
	incarnation       ident.Incarnation
	shuttingDown      atomic.Bool

	// The fields below belong to the control goroutine.
	entries *membership.Entries
	workers *membership.Workers
	granter *lease.Granter
	grants  map[ident.Worker]*workerGrant
	// yieldRevisions holds, per worker, the revision of its row at which another process asked this
	// one to stop granting leases. Answers of the table about an earlier revision don't make this
	// process the granter again.
	yieldRevisions map[ident.Worker]table.Revision
	recentEnds     map[ident.Worker]endedIncarnation
	scheduler      *placement.Scheduler
	models         *learnedModels
	decisions      *decisionLog
	quotas         *teamQuotas
	recordedEnds   map[ident.Task]recordedEnd
	// countedEnds are the reported ends that already count as evidence about workers and jobs.
	// Agents repeat a report each second while the table is unavailable, so the same end arrives
	// many times.
	countedEnds map[ident.Task]recordedEnd
	// waitingReports are the reports that have not been answered yet.
	waitingReports map[*waitingReport]struct{}
	versions       *appliedVersions
	homedJobs      map[ident.Job]bool
	// finalSince is when this entry first saw that a job homed here had ended.
	finalSince map[ident.Job]clock.Time
	// liveNames holds the ids of the live entries, as joinEntryNames returns them.
	liveNames string
	// publishedNames is the value of liveNames at the time of the published snapshot.
	publishedNames string
	refreshedAt    clock.Time
	// exchanging holds the peers with an exchange in flight.
	exchanging map[ident.Entry]bool
	// ackedHealth is, per peer, the number of the last change of the workers' health that the peer
	// acknowledged.
	ackedHealth map[ident.Entry]uint64
	// knownByPeer is, per peer, the incarnation of this entry whose addresses and place the peer
	// has. Exchanges leave them out while it is the current one.
	knownByPeer     map[ident.Entry]ident.Incarnation
	unresponsive    map[ident.Worker]unresponsiveWorker
	presences       map[ident.Endpoint]presence
	publishedConfig *config.View
	// residents are the tasks on the workers homed here.
	residents map[ident.Worker][]resident
	// listings are the tasks of workers homed elsewhere, urgentJobs the urgent jobs homed here.
	listings   map[ident.Worker]taskListing
	urgentJobs map[ident.Job]bool
	// substitutions are the urgent jobs that this entry schedules in place of their home, with the
	// time at which it stops doing so.
	substitutions map[ident.Job]clock.Time
	// random draws candidate workers for urgent work.
	random *rand.Rand
	// presetSlowdownLimitPercent and headroomPercent are those of the preset in force.
	presetSlowdownLimitPercent int
	headroomPercent            int

	// loopCount counts the loops that runEvery started. It belongs to the goroutine that starts the
	// entry.
	loopCount uint64
	// entriesReadAt is when the entries' rows were last read. It belongs to the goroutine that runs
	// renew.
	entriesReadAt clock.Time

	quit chan struct{}
	// wakeScan wakes the loop of scanJobs, and wakeReview that of reviewTeams.
	wakeScan   chan struct{}
	wakeReview chan struct{}
	closeOnce  sync.Once
	spawnMutex sync.Mutex
	goroutines sync.WaitGroup
}

// New starts an entry, which is not ready until it has read the configuration in force. It returns
// an error if the entry's own row cannot be read.
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
		runtimes:        dependencies.Runtimes,
		configPublisher: publisher, membershipPublisher: membership.NewPublisher(), router: routing.New(settings.Routing),
		control: loop.New(), agentCalls: newCallQueues(), incarnation: incarnation,
		entries: entries, workers: membership.NewWorkers(settings.ID, settings.Membership),
		granter: lease.NewGranter(settings.Lease), grants: map[ident.Worker]*workerGrant{}, yieldRevisions: map[ident.Worker]table.Revision{},
		recentEnds: map[ident.Worker]endedIncarnation{}, models: newLearnedModels(), decisions: newDecisionLog(),
		recordedEnds: map[ident.Task]recordedEnd{}, countedEnds: map[ident.Task]recordedEnd{}, waitingReports: map[*waitingReport]struct{}{},
		versions: newAppliedVersions(), homedJobs: map[ident.Job]bool{}, finalSince: map[ident.Job]clock.Time{},
		residents: map[ident.Worker][]resident{}, listings: map[ident.Worker]taskListing{}, urgentJobs: map[ident.Job]bool{},
		substitutions: map[ident.Job]clock.Time{}, random: rand.New(rand.NewPCG(settings.Seed, 3)), presetSlowdownLimitPercent: defaultSlowdownLimitPercent,
		exchanging: map[ident.Entry]bool{}, ackedHealth: map[ident.Entry]uint64{}, knownByPeer: map[ident.Entry]ident.Incarnation{}, unresponsive: map[ident.Worker]unresponsiveWorker{}, presences: map[ident.Endpoint]presence{},
		quit: make(chan struct{}), wakeScan: make(chan struct{}, 1), wakeReview: make(chan struct{}, 1),
	}
	entry.quotas = &teamQuotas{Ledger: quota.New(quota.Defaults()), models: entry.models}
	entry.scheduler = placement.New(settings.Placement, placement.Dependencies{
		Entry: settings.ID, Incarnation: incarnation,
		Sizer: entry.models, Interference: entry.models, Health: entry.models.health, Accounts: entry.quotas,
	})
	entry.services.Store(&serviceTable{})
	entry.reader = config.NewIdleReader(dependencies.Table, publisher)
	entry.editor = config.NewEditor(dependencies.Table, dependencies.Clock, entry.newRandom(2), publisher)
	entry.linkRegions()
	ledger := dedup.New(dependencies.Table, entry.newWrite, dedup.Defaults())
	entry.sweeper = dedup.NewSweeper(dependencies.Table, entry.newWrite, entry.retention)
	if dependencies.Objects != nil {
		ledger = ledger.WithBodies(answerBodies{dependencies.Objects})
		entry.sweeper = entry.sweeper.WithBodies(answerBodies{dependencies.Objects})
	}
	entry.dispatcher = dispatch.New(dependencies.Clock, dependencies.Agents, entry, ledger, retry.NewBudget(settings.Retry),
		admission.NewLimiter(settings.Concurrency, clock.Second), entry.NewRequest, settings.Dispatch)
	return entry
}

// start runs the entry's loops.
func (entry *Entry) start() {
	jitter := entry.newRandom(4)
	schedule := &schedule{
		phase:  clock.Millis(jitter.Int64N(int64(clock.Second))),
		jitter: func(limit clock.Millis) clock.Millis { return clock.Millis(jitter.Int64N(int64(limit))) },
	}
	schedule.addControl(entry.settings.Tick, entry.tick)
	schedule.addControl(entry.settings.Round, entry.scheduleRound)
	schedule.addControl(urgentInterval, entry.listTasksForUrgent)
	schedule.addCall(entry.settings.ConfigPoll, entry.reader.Poll)
	schedule.addCall(clock.Second, entry.renew)
	schedule.addCall(clock.Second, entry.loadPendingJobs)
	schedule.addCall(clock.Second, entry.reviewGrants)
	schedule.addCall(10*clock.Second, entry.sweep)
	entry.goroutines.Go(func() { entry.runSchedule(schedule) })
	entry.runEvery(scanInterval, entry.wakeScan, entry.scanJobs)
	entry.runEvery(20*clock.Second, entry.wakeReview, entry.reviewTeams)
	entry.runEvery(snapshotInterval, nil, func() { entry.saveSnapshot(entry.settings.ObjectTimeout) })
	entry.goroutines.Go(entry.loadSnapshots)
	entry.goroutines.Go(entry.bootstrap)
	entry.goroutines.Go(entry.followConfig)
	if entry.link != nil {
		entry.goroutines.Go(func() { entry.link.run(entry.quit) })
	}
}

// runEvery calls step at each interval, with jitter, and whenever wake receives, until the entry
// closes.
func (entry *Entry) runEvery(interval clock.Millis, wake <-chan struct{}, step func()) {
	entry.loopCount++
	jitter := entry.newRandom(firstLoopPurpose + entry.loopCount)
	entry.goroutines.Go(func() {
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

// spawn runs step on a goroutine that Close waits for, or does nothing if the entry is closing. The
// mutex is needed because WaitGroup.Go must not race with Wait.
func (entry *Entry) spawn(step func()) {
	entry.spawnMutex.Lock()
	defer entry.spawnMutex.Unlock()
	select {
	case <-entry.quit:
	default:
		entry.goroutines.Go(step)
	}
}

// firstLoopPurpose is the lowest purpose of newRandom that loops use.
const firstLoopPurpose = 16

// newRandom returns a separate random source for each purpose, so that goroutines share none.
// Entries with the same seed get different sources.
func (entry *Entry) newRandom(purpose uint64) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(entry.settings.ID))
	return rand.New(rand.NewPCG(entry.settings.Seed, hash.Sum64()+purpose))
}

// callContext returns the context of one call to another daemon or to a store.
func (entry *Entry) callContext(timeout clock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout.Duration())
}

// Ready reports whether the entry serves callers and is not shutting down.
func (entry *Entry) Ready() bool {
	return entry.servicesPublished.Load() && !entry.shuttingDown.Load()
}

// Dispatcher returns the dispatcher of callers' requests.
func (entry *Entry) Dispatcher() *dispatch.Dispatcher {
	return entry.dispatcher
}

// handle passes an event to the scheduler and executes its actions. It runs on the control
// goroutine.
func (entry *Entry) handle(event placement.Event) {
	entry.execute(entry.scheduler.Handle(event, entry.time.Now()))
}

// post passes an event to the scheduler from any goroutine.
func (entry *Entry) post(event placement.Event) {
	entry.control.Post(func() { entry.handle(event) })
}

// scheduleRound runs one round of the scheduler on the control goroutine.
func (entry *Entry) scheduleRound() []func() {
	if entry.configPublisher.Ready() {
		entry.handle(placement.Round{})
	}
	return nil
}

// checkReady returns Unavailable until the configuration is loaded.
func (entry *Entry) checkReady() error {
	if entry.configPublisher.Ready() {
		return nil
	}
	return status.Error(codes.Unavailable, "configuration is not loaded")
}

// Close stops the entry at once, without a handover, as a crash would.
func (entry *Entry) Close() {
	entry.spawnMutex.Lock()
	entry.closeOnce.Do(func() { close(entry.quit) })
	entry.spawnMutex.Unlock()
	// Ends a poll that waits for the table.
	entry.reader.Close()
	entry.goroutines.Wait()
	entry.control.Close()
	entry.agentCalls.close()
}
