package bench

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"hyssopjunction/agent"
	"hyssopjunction/caller"
	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/dispatch"
	"hyssopjunction/entry"
	"hyssopjunction/ident"
	"hyssopjunction/logging"
	"hyssopjunction/operator"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

const (
	// workersPerRack is a full rack; the design page names none for the design size.
	workersPerRack = 24
	// teams share the workers, because the largest quota is a quarter of the design size.
	teams = 24
	// pipeBytes bounds what is under way on a connection.
	pipeBytes = 16 << 10
	// tableDelay is the time between the effect of a table call and its answer.
	tableDelay = 4 * clock.Millisecond
)

// switchboard carries the gRPC connections of a large fleet inside the process, because the file
// descriptors of a process do not suffice for 24 entries with 1,200 agents. A node that was cut off
// neither sends nor answers nor resets, as after a loss of power.
type switchboard struct {
	mu    sync.Mutex
	peers map[string]*peer
}

// peer is a node that can be dialled.
type peer struct {
	listener *bufconn.Listener
	lost     chan struct{}
}

// address makes the listeners of nodes differ, which bufconn does not.
type addressed struct {
	*bufconn.Listener
	address net.Addr
}

// Addr returns the address of the node.
func (listener addressed) Addr() net.Addr { return listener.address }

// listen adds a node.
func (board *switchboard) listen() net.Listener {
	board.mu.Lock()
	defer board.mu.Unlock()
	number := len(board.peers)
	address := &net.TCPAddr{IP: net.IPv4(10, 0, byte(number/250), byte(number%250)), Port: 7012}
	board.peers[address.String()] = &peer{listener: bufconn.Listen(pipeBytes), lost: make(chan struct{})}
	return addressed{board.peers[address.String()].listener, address}
}

// cut separates the node at the address.
func (board *switchboard) cut(address string) {
	board.mu.Lock()
	defer board.mu.Unlock()
	close(board.peers[address].lost)
}

// dial connects to a node. A node that was cut off does not even refuse.
func (board *switchboard) dial(ctx context.Context, address string) (net.Conn, error) {
	board.mu.Lock()
	peer := board.peers[address]
	board.mu.Unlock()
	select {
	case <-peer.lost:
		<-ctx.Done()
		return nil, ctx.Err()
	default:
	}
	conn, err := peer.listener.DialContext(ctx)
	if err != nil {
		return nil, err
	}
	return &cable{Conn: conn, lost: peer.lost, closed: make(chan struct{})}, nil
}

// options returns the options of connections between daemons over the switchboard.
func (board *switchboard) options() []grpc.DialOption {
	return append(controlpb.DialOptions(insecure.NewCredentials()), grpc.WithContextDialer(board.dial),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10))
}

// cable is a connection that goes silent when its peer is cut off.
type cable struct {
	net.Conn
	lost   <-chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Read waits for the end of the connection once the peer is lost.
func (cable *cable) Read(data []byte) (int, error) {
	count, err := cable.Conn.Read(data)
	select {
	case <-cable.lost:
		<-cable.closed
		return 0, net.ErrClosed
	default:
		return count, err
	}
}

// Write loses the data once the peer is lost.
func (cable *cable) Write(data []byte) (int, error) {
	select {
	case <-cable.lost:
		return len(data), nil
	default:
		return cable.Conn.Write(data)
	}
}

// Close ends the connection at this end.
func (cable *cable) Close() error {
	cable.once.Do(func() { close(cable.closed) })
	return cable.Conn.Close()
}

// site is a large fleet. Its daemons have production times, its workers and its table are called
// without HTTP, and its agents have no endpoint.
type site struct {
	*fleet
	board     *switchboard
	operators *operator.Client
	entries   []*member
	agents    []*member
	// incarnation rises with each start of an agent.
	incarnation ident.Incarnation
}

// member is a daemon that can be lost and started again.
type member struct {
	index    int
	centre   ident.DataCentre
	rack     ident.Rack
	address  string
	operator string
	daemon   *agent.Agent
	store    *table.Client
	close    func()
	gone     bool
}

// newSite starts entries and agents in the given number of data centres.
func newSite(b testing.TB, entries, agents, places int) *site {
	b.Helper()
	quiet()
	site := &site{
		fleet: &fleet{b: b, time: clock.NewSystem(), patience: 3 * clock.Minute, heapBefore: heap()},
		board: &switchboard{peers: map[string]*peer{}},
	}
	for index := range places {
		site.centres = append(site.centres, ident.DataCentre(fmt.Sprintf("centre-%d", index)))
	}
	settings := setting.StandIn{Simulation: setting.Simulation{Seed: 1, TickMillis: 1000, ValueBytes: 256 << 10, ObjectBytes: 16 << 20}}
	for index := range agents {
		settings.Workers = append(settings.Workers, setting.StandInWorker{Name: workerID(index), CPU: 32_000, Memory: 128_000, UsageLagMillis: 5000})
	}
	site.platform = standin.New(settings, site.time)
	site.check(site.platform.Table.SetFaults(standin.StoreFaults{AnswerDelayMillis: tableDelay}))
	site.check(config.NewEditor(site.platform.Table, site.time, random(9), config.NewPublisher()).Bootstrap(context.Background(), "benchmark"))
	for index := range entries {
		site.entries = append(site.entries, &member{index: index, centre: site.centres[index%places]})
		site.startEntry(site.entries[index])
	}
	for index := range agents {
		centre := site.centres[index%places]
		rack := ident.Rack(fmt.Sprintf("%s-rack-%d", centre, index/places/workersPerRack))
		site.agents = append(site.agents, &member{index: index, centre: centre, rack: rack})
		site.startAgent(site.agents[index])
	}
	site.until("all agents hold a lease", site.ready)
	site.operators = site.operator(0)
	site.configure(site.operators)
	for index := range teams {
		_, err := site.operators.SetTeam(context.Background(), operator.TeamChange{
			Team: teamID(index), Quota: unit.Resources{CPU: 10_000_000, Memory: 100_000_000},
		})
		site.check(err)
	}
	return site
}

func entryID(index int) ident.Entry { return ident.Entry(fmt.Sprintf("entry-%02d", index)) }

func teamID(index int) ident.Team { return ident.Team(fmt.Sprintf("team-%d", index%teams)) }

func quiet() { logging.New(io.Discard, slog.LevelInfo) }

func (site *site) ready() bool {
	for _, member := range site.agents {
		if !member.gone && !member.daemon.Ready() {
			return false
		}
	}
	return true
}

// operator returns a client of the entries that are present. Like a balancer it prefers another entry
// for each number.
func (site *site) operator(number int) *operator.Client {
	var addresses []string
	for _, member := range site.entries {
		if !member.gone {
			addresses = append(addresses, member.operator)
		}
	}
	first := number % len(addresses)
	addresses = append(addresses[first:], addresses[:first]...)
	client, err := operator.NewClient(operator.ClientSettings{Entries: addresses, Token: token, TimeoutMillis: 10 * clock.Second})
	site.check(err)
	return client
}

func (site *site) startEntry(member *member) {
	listeners := entry.Listeners{Control: site.board.listen(), Caller: new(meter).listen(site.b), Operator: new(meter).listen(site.b)}
	member.address, member.operator, member.gone = listeners.Control.Addr().String(), listeners.Operator.Addr().String(), false
	limits := table.DefaultSettings()
	limits.Entries = len(site.entries)
	site.incarnation++
	store := table.NewClient(site.platform.Table, site.time, fmt.Sprintf("entry-%d-%d", member.index, site.incarnation), random(uint64(member.index)), limits)
	settings := entry.DefaultSettings()
	settings.ID, settings.Region, settings.DataCentre = entryID(member.index), region, member.centre
	settings.ControlAddress, settings.CallerAddress = member.address, listeners.Caller.Addr().String()
	settings.Seed = uint64(member.index + 1)
	pool := controlpb.NewPool(site.board.options()...)
	requests := dispatch.NewConnections(site.time, site.board.options()...)
	daemon, err := entry.New(context.Background(), settings, entry.Dependencies{
		Clock: site.time, Table: store, Agents: requests, Control: pool, Objects: site.platform.Objects,
		Runtimes: func(_ string, name ident.Worker) worker.Runtime { return site.platform.Workers[name] },
	})
	site.check(err)
	access := operator.Defaults()
	access.Credentials = []operator.Credential{{Operator: "benchmark", Token: token}}
	operators, err := operator.New(access, daemon.Operations(), metrics.NewSet())
	site.check(err)
	server := entry.NewServer(daemon, listeners, operators, caller.Defaults(), nil)
	member.store = store
	member.close = func() {
		server.Close()
		requests.Close()
		store.Close()
		pool.Close()
	}
}

func (site *site) startAgent(member *member) {
	listener := site.board.listen()
	member.address, member.gone = listener.Addr().String(), false
	settings := agent.DefaultSettings()
	settings.Worker, settings.Region, settings.DataCentre, settings.Rack = workerID(member.index), region, member.centre, member.rack
	settings.RuntimeAddress, settings.Address = "in process", member.address
	for _, known := range site.entries {
		if !known.gone {
			settings.Balancer = append(settings.Balancer, known.address)
		}
	}
	site.incarnation++
	pool := controlpb.NewPool(site.board.options()...)
	member.daemon = agent.New(settings, site.time, site.platform.Workers[workerID(member.index)], nil, pool,
		config.NewPublisher(), site.incarnation, random(uint64(member.index)))
	server := agent.NewServer(member.daemon, listener)
	member.close = func() {
		server.Close()
		pool.Close()
	}
}

// lose ends daemons at once and without a sign, and with agents also their workers.
func (site *site) lose(lost []*member, agents bool) {
	for _, member := range lost {
		site.board.cut(member.address)
		member.gone = true
		if agents {
			runtime := site.platform.Workers[workerID(member.index)]
			site.check(runtime.SetFaults(standin.WorkerFaults{Unavailable: true}))
			runtime.Restart()
		}
	}
	var closing sync.WaitGroup
	for _, member := range lost {
		closing.Go(member.close)
	}
	closing.Wait()
}

// close ends all daemons.
func (site *site) close() {
	var closing sync.WaitGroup
	for _, members := range [][]*member{site.agents, site.entries} {
		for _, member := range members {
			if !member.gone {
				closing.Go(member.close)
			}
		}
		closing.Wait()
	}
	site.platform.Close()
}

// fill submits batch jobs of 100 tasks that use a thirteenth of a worker each.
func (site *site) fill(tasks int) {
	for index := range tasks / 100 {
		_, err := site.operators.SubmitJob(context.Background(), operator.JobSubmission{
			Job: ident.Job(fmt.Sprintf("filling-%03d", index)), Team: teamID(index), Class: "layout", Kind: worker.Batch, Tasks: 100,
			Resources: unit.Resources{CPU: 2400, Memory: 8000}, Payload: standin.Payload{RunMillis: clock.Hour, Class: "layout"}.String(),
		})
		site.check(err)
	}
}

// running counts the tasks that run.
func (site *site) running() int { return site.platform.Records.Counts().Running }

// steady waits until the number of running tasks has not grown for some seconds and returns it.
func (site *site) steady(least int) int {
	last, since := 0, site.time.Now()
	site.until("the number of running tasks is steady", func() bool {
		<-site.time.After(500 * clock.Millisecond)
		if count := site.running(); count > last {
			last, since = count, site.time.Now()
		}
		return last >= least && site.time.Now().Sub(since) >= 5*clock.Second
	})
	return last
}
