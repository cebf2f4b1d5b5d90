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
	// SetIncarnation makes the gate refuse requests to earlier incarnations.
	SetIncarnation(incarnation ident.Incarnation)
	Leave()
	Drain(ctx context.Context) error
}

// EntryClients provides connections to entries by control address.
type EntryClients interface {
	Entry(address string) (controlpb.EntryClient, error)
	Discard(address string)
}

// Configuration is the configuration that the agent has applied.
type Configuration interface {
	// Current returns the configuration in force.
	Current() *config.View
	// Apply applies a delta. It never lowers the version.
	Apply(delta *controlpb.ConfigDelta) error
}

// Agent is the daemon that runs on a worker. It is safe for concurrent use.
type Agent struct {
	controlpb.UnimplementedAgentServer

	settings Settings
	time     clock.Clock
	runtime  worker.Runtime
	gate     Gate
	entries  EntryClients
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
	// unrecorded holds the ends of tasks that are not yet recorded in the table.
	unrecorded  map[ident.Task]worker.Status
	usage       []worker.Usage
	filter      *usageFilter
	loadPercent int32
	// acceptedTasksDigest is the digest of the last task list that the home entry accepted.
	acceptedTasksDigest uint64
	// sentTasksDigest is the digest of the tasks in the heartbeat in flight.
	sentTasksDigest uint64
	// sentState is the worker state of the heartbeat in flight. homeState is the one that the
	// entry at homeStateAddress holds, nil if that is not known.
	sentState, homeState *controlpb.WorkerState
	homeStateAddress     string
	// renewedExpiry is the latest lease expiry that the worker confirmed.
	renewedExpiry worker.Instant
	// entryStates is the last list of entries received with a reply, and entriesDigest its digest.
	entryStates   []*controlpb.EntryState
	entriesDigest uint64
	// sendAllTasks makes the next heartbeat list all running tasks.
	sendAllTasks bool
	leaving      bool

	// meter belongs to the watching goroutine.
	meter slowdownMeter

	announceNow chan struct{}
	reportNow   chan struct{}
	quit        chan struct{}
	closeOnce   sync.Once
	spawnMutex  sync.Mutex
	goroutines  sync.WaitGroup
}

// task is a reserved or running task with what is needed to start it.
type task struct {
	spec   worker.Spec
	team   ident.Team
	class  string
	urgent bool
	// starting is set while the call that starts the task is in progress.
	starting bool
	// confirmed is set once the worker listed the task or confirmed its start.
	confirmed bool
	// confirmedAt is when confirmed was set.
	confirmedAt clock.Time
	// peakMemory is the highest memory usage in the worker's samples.
	peakMemory unit.Mebibytes
}

// New starts an agent. Its incarnation must be higher than that of every earlier agent process on
// the worker. A nil gate means that the worker has no endpoint. The agent admits no task before it
// has read the list of tasks from the worker.
func New(settings Settings, time clock.Clock, runtime worker.Runtime, gate Gate, entries EntryClients,
	configuration Configuration, incarnation ident.Incarnation, random *rand.Rand,
) *Agent {
	agent := &Agent{
		settings:     settings,
		time:         time,
		runtime:      runtime,
		gate:         gate,
		entries:      entries,
		config:       configuration,
		control:      loop.New(),
		random:       random,
		incarnation:  incarnation,
		ledger:       capacity.New(capacity.Settings{}),
		holder:       lease.NewHolder(),
		finder:       newHomeFinder(settings.Balancer, random),
		tasks:        map[ident.Task]*task{},
		unrecorded:   map[ident.Task]worker.Status{},
		sendAllTasks: true,
		filter:       newUsageFilter(),
		announceNow:  make(chan struct{}, 1),
		reportNow:    make(chan struct{}, 1),
		quit:         make(chan struct{}),
	}
	jitter := rand.New(rand.NewPCG(random.Uint64(), uint64(incarnation)))
	fixed := func(interval clock.Millis) func() clock.Millis { return func() clock.Millis { return interval } }
	agent.goroutines.Go(func() { agent.runPeriodically(fixed(settings.Watch), nil, agent.watch) })
	agent.goroutines.Go(func() {
		agent.runPeriodically(func() clock.Millis { return clock.Jittered(settings.Heartbeat, jitter) }, agent.announceNow, agent.announce)
	})
	agent.goroutines.Go(func() { agent.runPeriodically(fixed(reportInterval), agent.reportNow, agent.report) })
	klog.InfoS("Agent started", "Worker", settings.Worker, "Incarnation", incarnation, "Address", settings.Address)
	return agent
}

// runPeriodically calls step at once, and then after each interval or wake signal until the agent
// closes.
func (agent *Agent) runPeriodically(interval func() clock.Millis, wake <-chan struct{}, step func()) {
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

// spawn runs step on a goroutine that Close waits for. It does nothing once the agent is closing,
// because WaitGroup.Go must not race with Wait.
func (agent *Agent) spawn(step func()) {
	agent.spawnMutex.Lock()
	defer agent.spawnMutex.Unlock()
	select {
	case <-agent.quit:
	default:
		agent.goroutines.Go(step)
	}
}

// wake makes a loop run its next step without waiting for the interval.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// callContext returns the context of one call to an entry, or of stopping tasks.
func (agent *Agent) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), agent.settings.CallTimeout.Duration())
}

// workerCallContext returns the context of one call to the worker's runtime that takes no
// checkpoint.
func (agent *Agent) workerCallContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), agent.settings.WorkerTimeout.Duration())
}

// Incarnation returns the current incarnation, which increases when the agent is fenced.
func (agent *Agent) Incarnation() ident.Incarnation {
	var incarnation ident.Incarnation
	agent.control.Call(func() { incarnation = agent.incarnation })
	return incarnation
}

// Ready reports whether the agent holds a valid lease and is not shutting down. It asks for a lease
// only after it has read the list of tasks from the worker.
func (agent *Agent) Ready() bool {
	ready := false
	agent.control.Call(func() { ready = agent.holder.Valid(agent.time.Now()) && !agent.leaving })
	return ready
}

// Close ends the agent at once without draining, as a crash would. Running tasks continue on the
// worker until their lease lapses.
func (agent *Agent) Close() {
	agent.spawnMutex.Lock()
	agent.closeOnce.Do(func() { close(agent.quit) })
	agent.spawnMutex.Unlock()
	agent.goroutines.Wait()
	agent.control.Close()
}

// classCounts returns the number of running tasks of each class, in ascending order of the class.
func (agent *Agent) classCounts() []*controlpb.ClassCount {
	counts := map[string]int32{}
	for _, entry := range agent.ledger.Entries() {
		if task := agent.tasks[entry.Task]; task != nil && entry.Running {
			counts[task.class]++
		}
	}
	classes := make([]*controlpb.ClassCount, 0, len(counts))
	for _, class := range set.SortedKeys(counts) {
		classes = append(classes, &controlpb.ClassCount{Class: class, Tasks: counts[class]})
	}
	return classes
}
