package agent

import (
	"context"
	"math/rand/v2"
	"sync"

	"k8s.io/klog/v2"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/loop"
	"hyssopjunction/set"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// Gate is the admission control of the agent's endpoint.
type Gate interface {
	Serve(ctx context.Context, request *controlpb.ServeRequest) *controlpb.ServeReply
	Query(ctx context.Context, request *controlpb.QueryRequest) *controlpb.QueryReply
	Follow(ctx context.Context, request *controlpb.FollowRequest, pass func(*controlpb.FollowChunk) error) error
	State() *controlpb.EndpointState
	SetSlowdown(percent int32)
	// SetIncarnation makes requests to earlier incarnations be refused.
	SetIncarnation(incarnation ident.Incarnation)
	Leave()
	Drain(ctx context.Context) error
}

// Entries gives connections to entries by their control address.
type Entries interface {
	Entry(address string) (controlpb.EntryClient, error)
	Discard(address string)
}

// Configuration is the configuration that the agent has applied.
type Configuration interface {
	// Current returns the configuration in force.
	Current() *config.View
	// Apply takes over a delta and never lowers a version.
	Apply(delta *controlpb.ConfigDelta) error
}

// Agent is the daemon. It is safe for concurrent use.
type Agent struct {
	controlpb.UnimplementedAgentServer

	settings Settings
	time     clock.Clock
	runtime  worker.Runtime
	gate     Gate
	entries  Entries
	config   Configuration
	control  *loop.Loop
	random   *rand.Rand

	// The fields below belong to the control goroutine.
	incarnation ident.Incarnation
	sequence    ident.Sequence
	ledger      *capacity.Ledger
	holder      *lease.Holder
	finder      *homeFinder
	tasks       map[ident.Task]*task
	ended       map[ident.Task]worker.Status
	usage       []worker.Usage
	filter      *usageFilter
	load        int32
	// listed is the digest of the task list that the home took last.
	listed uint64
	// announcing is the digest in the heartbeat under way.
	announcing uint64
	// told is the state of the heartbeat under way, and kept the one that the entry at keptBy holds.
	told, kept  *controlpb.WorkerState
	keptBy      string
	renewed     worker.Instant
	known       []*controlpb.EntryState
	knownDigest uint64
	complete    bool
	leaving     bool

	// meter belongs to the watching goroutine.
	meter slowdownMeter

	kick     chan struct{}
	reported chan struct{}
	quit     chan struct{}
	closing  sync.Once
	spawning sync.Mutex
	running  sync.WaitGroup
}

// task is what the agent remembers of a reserved or running task to start it.
type task struct {
	spec   worker.Spec
	team   ident.Team
	class  string
	urgent bool
	// starting is set while a call to the worker is in progress.
	starting bool
	// confirmed is set once the worker's list showed the task, or the worker confirmed the start.
	confirmed bool
	// confirmedAt is when confirmed was set.
	confirmedAt clock.Time
	// peak is the most memory that was measured.
	peak unit.Mebibytes
}

// New returns a running agent. Its incarnation must be higher than that of every earlier process
// on the same worker. A nil gate means that the worker has no endpoint. The agent admits no task
// before it has read the worker's own list of tasks.
func New(settings Settings, time clock.Clock, runtime worker.Runtime, gate Gate, entries Entries,
	configuration Configuration, incarnation ident.Incarnation, random *rand.Rand,
) *Agent {
	agent := &Agent{
		settings:    settings,
		time:        time,
		runtime:     runtime,
		gate:        gate,
		entries:     entries,
		config:      configuration,
		control:     loop.New(),
		random:      random,
		incarnation: incarnation,
		ledger:      capacity.New(capacity.Settings{}),
		holder:      lease.NewHolder(),
		finder:      newHomeFinder(settings.Balancer, random),
		tasks:       map[ident.Task]*task{},
		ended:       map[ident.Task]worker.Status{},
		complete:    true,
		filter:      newUsageFilter(),
		kick:        make(chan struct{}, 1),
		reported:    make(chan struct{}, 1),
		quit:        make(chan struct{}),
	}
	jitter := rand.New(rand.NewPCG(random.Uint64(), uint64(incarnation)))
	always := func(interval clock.Millis) func() clock.Millis { return func() clock.Millis { return interval } }
	agent.running.Go(func() { agent.every(always(settings.Watch), nil, agent.watch) })
	agent.running.Go(func() {
		agent.every(func() clock.Millis { return clock.Jittered(settings.Heartbeat, jitter) }, agent.kick, agent.announce)
	})
	agent.running.Go(func() { agent.every(always(reportInterval), agent.reported, agent.report) })
	klog.InfoS("Agent started", "Worker", settings.Worker, "Incarnation", incarnation, "Address", settings.Address)
	return agent
}

// every calls step at once, then at each interval or when woken, until the agent closes.
func (agent *Agent) every(interval func() clock.Millis, wake <-chan struct{}, step func()) {
	for {
		step()
		select {
		case <-agent.time.After(interval()):
		case <-wake:
		case <-agent.quit:
			return
		}
	}
}

// spawn runs step on a goroutine that Close waits for, unless the agent closes. WaitGroup.Go must not
// race with Wait.
func (agent *Agent) spawn(step func()) {
	agent.spawning.Lock()
	defer agent.spawning.Unlock()
	select {
	case <-agent.quit:
	default:
		agent.running.Go(step)
	}
}

// wake makes a loop take its next step without waiting for its interval.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// call bounds one call to another process.
func (agent *Agent) call() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), agent.settings.CallTimeout.Duration())
}

// workerCall bounds one call to the worker's runtime that needs no checkpoint.
func (agent *Agent) workerCall() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), agent.settings.WorkerTimeout.Duration())
}

// Incarnation returns the number of this process, which rises when the agent was fenced.
func (agent *Agent) Incarnation() ident.Incarnation {
	var incarnation ident.Incarnation
	agent.control.Call(func() { incarnation = agent.incarnation })
	return incarnation
}

// Ready reports whether the agent has read the worker's list and holds a lease.
func (agent *Agent) Ready() bool {
	ready := false
	agent.control.Call(func() { ready = agent.holder.Valid(agent.time.Now()) && !agent.leaving })
	return ready
}

// Close ends the agent at once without draining, as a crash would. Running tasks stay on the
// worker until their lease lapses.
func (agent *Agent) Close() {
	agent.spawning.Lock()
	agent.closing.Do(func() { close(agent.quit) })
	agent.spawning.Unlock()
	agent.running.Wait()
	agent.control.Close()
}

// classes counts the running tasks by class.
func (agent *Agent) classes() []*controlpb.ClassCount {
	counts := map[string]int32{}
	for _, entry := range agent.ledger.Entries() {
		if known := agent.tasks[entry.Task]; known != nil && entry.Running {
			counts[known.class]++
		}
	}
	classes := make([]*controlpb.ClassCount, 0, len(counts))
	for _, class := range set.SortedKeys(counts) {
		classes = append(classes, &controlpb.ClassCount{Class: class, Tasks: counts[class]})
	}
	return classes
}
