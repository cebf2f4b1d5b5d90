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
	// workersPerRack is the size of a full rack. The design page gives no rack size for the design size.
	workersPerRack = 24
	// teamCount is the number of teams that share the workers. One team couldn't fill them, because the
	// largest quota is a quarter of the design size.
	teamCount = 24
	// connectionBufferBytes limits the data in transit on a connection.
	connectionBufferBytes = 16 << 10
	// tableDelay is the time between the execution of a table call and its answer.
	tableDelay = 4 * clock.Millisecond
)

// network carries the gRPC connections of a large fleet within the process, because a process hasn't
// enough file descriptors for 24 entries with 1,200 agents. A node that was cut off neither sends nor
// answers nor resets connections, as after a power failure.
type network struct {
	mu    sync.Mutex
	peers map[string]*networkPeer
}

// networkPeer is a node that can be dialled. lost is closed when the node is cut off.
type networkPeer struct {
	listener *bufconn.Listener
	lost     chan struct{}
}

// peerListener gives a listener the address of its node. All listeners of bufconn have the same one.
type peerListener struct {
	*bufconn.Listener
	address net.Addr
}

// Addr returns the address of the node.
func (listener peerListener) Addr() net.Addr { return listener.address }

// listen adds a node to the network and returns its listener.
func (network *network) listen() net.Listener {
	network.mu.Lock()
	defer network.mu.Unlock()
	number := len(network.peers)
	address := &net.TCPAddr{IP: net.IPv4(10, 0, byte(number/250), byte(number%250)), Port: 7012}
	network.peers[address.String()] = &networkPeer{listener: bufconn.Listen(connectionBufferBytes), lost: make(chan struct{})}
	return peerListener{network.peers[address.String()].listener, address}
}

// cut cuts the node at the address off from the network.
func (network *network) cut(address string) {
	network.mu.Lock()
	defer network.mu.Unlock()
	close(network.peers[address].lost)
}

// dial connects to the node at the address. If the node was cut off, it blocks until the context ends.
func (network *network) dial(ctx context.Context, address string) (net.Conn, error) {
	network.mu.Lock()
	peer := network.peers[address]
	network.mu.Unlock()
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
	return &cuttableConnection{Conn: conn, lost: peer.lost, closed: make(chan struct{})}, nil
}

// options returns the gRPC options of connections between daemons over the network.
func (network *network) options() []grpc.DialOption {
	return append(controlpb.DialOptions(insecure.NewCredentials()), grpc.WithContextDialer(network.dial),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10))
}

// cuttableConnection is a connection that becomes silent when its peer is cut off.
type cuttableConnection struct {
	net.Conn
	lost   <-chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Read reads from the peer. Once the peer is cut off, it blocks until the connection is closed.
func (connection *cuttableConnection) Read(data []byte) (int, error) {
	count, err := connection.Conn.Read(data)
	select {
	case <-connection.lost:
		<-connection.closed
		return 0, net.ErrClosed
	default:
		return count, err
	}
}

// Write writes to the peer. Once the peer is cut off, it discards the data.
func (connection *cuttableConnection) Write(data []byte) (int, error) {
	select {
	case <-connection.lost:
		return len(data), nil
	default:
		return connection.Conn.Write(data)
	}
}

// Close closes the connection and ends a blocked Read.
func (connection *cuttableConnection) Close() error {
	connection.once.Do(func() { close(connection.closed) })
	return connection.Conn.Close()
}

// largeFleet is a fleet whose daemons communicate over a network within the process. They have
// production times and call the workers and the table directly instead of over HTTP. The agents have
// no endpoints.
type largeFleet struct {
	*fleet
	network   *network
	operators *operator.Client
	// entries and agents hide the fields of the embedded fleet, which stay empty.
	entries []*node
	agents  []*node
	// incarnation is increased by each start of a daemon.
	incarnation ident.Incarnation
}

// node is an entry or an agent that can be cut off and started again.
type node struct {
	index           int
	centre          ident.DataCentre
	rack            ident.Rack
	address         string
	operatorAddress string
	daemon          *agent.Agent
	store           *table.Client
	close           func()
	lost            bool
}

// newLargeFleet starts entries and agents, spread over the given number of data centres, and creates
// the teams.
func newLargeFleet(b testing.TB, entries, agents, dataCentres int) *largeFleet {
	b.Helper()
	discardLogs()
	fleet := &largeFleet{
		fleet:   &fleet{tb: b, clock: clock.NewSystem(), waitTimeout: 3 * clock.Minute, heapBefore: heapBytes()},
		network: &network{peers: map[string]*networkPeer{}},
	}
	for index := range dataCentres {
		fleet.centres = append(fleet.centres, ident.DataCentre(fmt.Sprintf("centre-%d", index)))
	}
	settings := setting.StandIn{Simulation: setting.Simulation{Seed: 1, TickMillis: 1000, ValueBytes: 256 << 10, ObjectBytes: 16 << 20}}
	for index := range agents {
		settings.Workers = append(settings.Workers, setting.StandInWorker{Name: workerID(index), CPU: 32_000, Memory: 128_000, UsageLagMillis: 5000})
	}
	fleet.platform = standin.New(settings, fleet.clock)
	fleet.must(fleet.platform.Table.SetFaults(standin.StoreFaults{AnswerDelayMillis: tableDelay}))
	fleet.must(config.NewEditor(fleet.platform.Table, fleet.clock, random(9), config.NewPublisher()).Bootstrap(context.Background(), "benchmark"))
	for index := range entries {
		fleet.entries = append(fleet.entries, &node{index: index, centre: fleet.centres[index%dataCentres]})
		fleet.startEntry(fleet.entries[index])
	}
	for index := range agents {
		centre := fleet.centres[index%dataCentres]
		rack := ident.Rack(fmt.Sprintf("%s-rack-%d", centre, index/dataCentres/workersPerRack))
		fleet.agents = append(fleet.agents, &node{index: index, centre: centre, rack: rack})
		fleet.startAgent(fleet.agents[index])
	}
	fleet.until("all agents hold a lease", fleet.allReady)
	fleet.operators = fleet.operatorClientAt(0)
	fleet.configure(fleet.operators)
	for index := range teamCount {
		_, err := fleet.operators.SetTeam(context.Background(), operator.TeamChange{
			Team: teamID(index), Quota: unit.Resources{CPU: 10_000_000, Memory: 100_000_000},
		})
		fleet.must(err)
	}
	return fleet
}

func entryID(index int) ident.Entry { return ident.Entry(fmt.Sprintf("entry-%02d", index)) }

func teamID(index int) ident.Team { return ident.Team(fmt.Sprintf("team-%d", index%teamCount)) }

func discardLogs() { logging.New(io.Discard, slog.LevelInfo) }

func (fleet *largeFleet) allReady() bool {
	for _, node := range fleet.agents {
		if !node.lost && !node.daemon.Ready() {
			return false
		}
	}
	return true
}

// operatorClientAt returns a client of the entries that aren't lost. The entry it tries first depends
// on preferred, so that calls are spread over the entries as by a load balancer.
func (fleet *largeFleet) operatorClientAt(preferred int) *operator.Client {
	var addresses []string
	for _, node := range fleet.entries {
		if !node.lost {
			addresses = append(addresses, node.operatorAddress)
		}
	}
	first := preferred % len(addresses)
	addresses = append(addresses[first:], addresses[:first]...)
	client, err := operator.NewClient(operator.ClientSettings{Entries: addresses, Token: token, TimeoutMillis: 10 * clock.Second})
	fleet.must(err)
	return client
}

func (fleet *largeFleet) startEntry(node *node) {
	listeners := entry.Listeners{Control: fleet.network.listen(), Caller: new(meter).listen(fleet.tb), Operator: new(meter).listen(fleet.tb)}
	node.address, node.operatorAddress, node.lost = listeners.Control.Addr().String(), listeners.Operator.Addr().String(), false
	tableSettings := table.DefaultSettings()
	tableSettings.Entries = len(fleet.entries)
	fleet.incarnation++
	store := table.NewClient(fleet.platform.Table, fleet.clock, fmt.Sprintf("entry-%d-%d", node.index, fleet.incarnation), random(uint64(node.index)), tableSettings)
	settings := entry.DefaultSettings()
	settings.ID, settings.Region, settings.DataCentre = entryID(node.index), region, node.centre
	settings.ControlAddress, settings.CallerAddress = node.address, listeners.Caller.Addr().String()
	settings.Seed = uint64(node.index + 1)
	pool := controlpb.NewPool(fleet.network.options()...)
	requests := dispatch.NewConnections(fleet.clock, fleet.network.options()...)
	daemon, err := entry.New(context.Background(), settings, entry.Dependencies{
		Clock: fleet.clock, Table: store, Agents: requests, Control: pool, Objects: fleet.platform.Objects,
		Runtimes: func(_ string, name ident.Worker) worker.Runtime { return fleet.platform.Workers[name] },
	})
	fleet.must(err)
	operatorSettings := operator.Defaults()
	operatorSettings.Credentials = []operator.Credential{{Operator: "benchmark", Token: token}}
	operators, err := operator.New(operatorSettings, daemon.Operations(), metrics.NewSet())
	fleet.must(err)
	server := entry.NewServer(daemon, listeners, operators, caller.Defaults(), nil)
	node.store = store
	node.close = func() {
		server.Close()
		requests.Close()
		store.Close()
		pool.Close()
	}
}

func (fleet *largeFleet) startAgent(node *node) {
	listener := fleet.network.listen()
	node.address, node.lost = listener.Addr().String(), false
	settings := agent.DefaultSettings()
	settings.Worker, settings.Region, settings.DataCentre, settings.Rack = workerID(node.index), region, node.centre, node.rack
	settings.RuntimeAddress, settings.Address = "in process", node.address
	for _, other := range fleet.entries {
		if !other.lost {
			settings.Balancer = append(settings.Balancer, other.address)
		}
	}
	fleet.incarnation++
	pool := controlpb.NewPool(fleet.network.options()...)
	node.daemon = agent.New(settings, fleet.clock, fleet.platform.Workers[workerID(node.index)], nil, pool,
		config.NewPublisher(), fleet.incarnation, random(uint64(node.index)))
	server := agent.NewServer(node.daemon, listener)
	node.close = func() {
		server.Close()
		pool.Close()
	}
}

// cutOff cuts daemons off from the network and ends them. If they are agents, their workers restart
// and stay unavailable.
func (fleet *largeFleet) cutOff(nodes []*node, agents bool) {
	for _, node := range nodes {
		fleet.network.cut(node.address)
		node.lost = true
		if agents {
			runtime := fleet.platform.Workers[workerID(node.index)]
			fleet.must(runtime.SetFaults(standin.WorkerFaults{Unavailable: true}))
			runtime.Restart()
		}
	}
	var closing sync.WaitGroup
	for _, node := range nodes {
		closing.Go(node.close)
	}
	closing.Wait()
}

// close ends all daemons.
func (fleet *largeFleet) close() {
	var closing sync.WaitGroup
	for _, nodes := range [][]*node{fleet.agents, fleet.entries} {
		for _, node := range nodes {
			if !node.lost {
				closing.Go(node.close)
			}
		}
		closing.Wait()
	}
	fleet.platform.Close()
}

// fillWorkers submits batch jobs of 100 tasks, each of which uses a thirteenth of a worker.
func (fleet *largeFleet) fillWorkers(tasks int) {
	for index := range tasks / 100 {
		_, err := fleet.operators.SubmitJob(context.Background(), operator.JobSubmission{
			Job: ident.Job(fmt.Sprintf("filling-%03d", index)), Team: teamID(index), Class: "layout", Kind: worker.Batch, Tasks: 100,
			Resources: unit.Resources{CPU: 2400, Memory: 8000}, Payload: standin.Payload{RunMillis: clock.Hour, Class: "layout"}.String(),
		})
		fleet.must(err)
	}
}

// countRunning counts the running tasks in the workers' records.
func (fleet *largeFleet) countRunning() int { return fleet.platform.Records.Counts().Running }

// awaitSteadyLoad waits until at least minimum tasks run and their number hasn't grown for 5 s, and
// returns the number.
func (fleet *largeFleet) awaitSteadyLoad(minimum int) int {
	maxCount, steadySince := 0, fleet.clock.Now()
	fleet.until("the number of running tasks is steady", func() bool {
		<-fleet.clock.After(500 * clock.Millisecond)
		if count := fleet.countRunning(); count > maxCount {
			maxCount, steadySince = count, fleet.clock.Now()
		}
		return maxCount >= minimum && fleet.clock.Now().Sub(steadySince) >= 5*clock.Second
	})
	return maxCount
}
