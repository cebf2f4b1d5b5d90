package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hyssopjunction/standin/platformtest"
)

const (
	host = "desk.example"
	// announcementInterval is the time between two announcements of a worker.
	announcementInterval = 250 * time.Millisecond
	// workerCPU is the capacity of a worker in thousandths of a processor.
	workerCPU = 4000
	// leaveTimeout limits how long a worker that leaves waits for the acknowledgement.
	leaveTimeout = 200 * time.Millisecond
	// firstSubnet and subnetCount define the loopback networks 127.N.0.0 of deployments.
	firstSubnet = 50
	subnetCount = 150
	// subnetGuard is the port that reserves a network for a deployment.
	subnetGuard = 8150
	// addressesPerNetwork is the number of nodes that share the first three bytes of their addresses.
	addressesPerNetwork = 200
	// firstWorkerNumber is the number of the address of the first worker, if there are not more entries.
	firstWorkerNumber = 20
)

// layout is the size of a deployment. Its nodes take the zones in turn.
type layout struct {
	entries, workers int
	zones            []string
	// lease is the longest lease that workers accept.
	lease time.Duration
	// grace is the time between the signal to stop and the kill.
	grace time.Duration
	// submitInterval is the time between two submissions for each worker.
	submitInterval time.Duration
	// program is the path of the program that the nodes run at first, or empty for the one under test.
	program string
	// hasEntryLinks reports that agents reach the entries through proxies.
	hasEntryLinks bool
}

// programPath is the path of the program that TestMain builds.
var programPath string //nolint:gochecknoglobals // TestMain builds it once for all tests.

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(dir, "hyssopjunction")
	build := exec.Command("go", "build", "-o", programPath, "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// node is a daemon that reaches the store through a proxy.
type node struct {
	name      string
	role      string
	ip        string
	zone      string
	grace     time.Duration
	storeLink *proxy
	// seeds holds the seeds of its settings, or is nil for those of the deployment.
	seeds []string

	mu      sync.Mutex
	process *exec.Cmd
	// program is the path of the program that the next process runs, or empty for the one under test.
	program string
	// isRetired is set if the process must not be started again.
	isRetired bool
}

// testWorker is a worker that the agent beside it reaches through a proxy.
type testWorker struct {
	agent     *node
	agentLink *proxy
	// entryLinks carry the connections from the agent to the entries if the layout has them.
	entryLinks entryLinks
	// isSuspending reserves the worker for a suspension.
	isSuspending atomic.Bool

	mu          sync.Mutex
	incarnation int
	// idNumber is the number of the incarnation from which the id has not changed.
	idNumber int
	runner   *platformtest.Runner
	// cpu is the capacity in thousandths of a processor.
	cpu int
	// isLeaving is set once it is certain that the worker leaves, endsAt when it drains, and hasLeft when it has
	// ended for good.
	isLeaving bool
	endsAt    time.Time
	hasLeft   bool
}

// deployment runs entries and agents as processes, and workers and the store in the test process.
type deployment struct {
	t       *testing.T
	dir     string
	store   *platformtest.Store
	log     *platformtest.Log
	layout  layout
	entries []*node
	seeds   []string
	runPlan func(task string) (time.Duration, bool)
	cancel  context.CancelFunc
	ctx     context.Context
	// subnet holds the first two bytes of all addresses, and storeAddress is that behind the links to the store.
	subnet, storeAddress string

	mu      sync.Mutex
	workers []*testWorker
	// disturbedAt is when a fault last began or ended, or a process started, and faults counts those in progress.
	disturbedAt time.Time
	faults      int
}

func newDeployment(t *testing.T, layout layout, runPlan func(task string) (time.Duration, bool)) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	deployment := &deployment{t: t, dir: t.TempDir(), store: platformtest.NewStore(), log: &platformtest.Log{}, layout: layout, runPlan: runPlan, ctx: ctx, cancel: cancel}
	t.Cleanup(deployment.close)
	server := httptest.NewServer(deployment.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	deployment.subnet = reserveSubnet(t)
	deployment.storeAddress = strings.TrimPrefix(server.URL, "http://")
	for number := range layout.entries {
		deployment.entries = append(deployment.entries, deployment.newNode("entry", number))
		deployment.seeds = append(deployment.seeds, fmt.Sprintf("%q", deployment.entries[number].ip+":8166"))
	}
	for range layout.workers {
		deployment.newWorker()
	}
	deployment.configure(1)
	for _, entry := range deployment.entries {
		deployment.writeSettings(entry, "")
		deployment.start(entry)
	}
	for _, worker := range deployment.workers {
		deployment.join(worker)
	}
	return deployment
}

// reserveSubnet returns the first two bytes of addresses that no other deployment uses, also of tests in other processes.
func reserveSubnet(t *testing.T) string {
	t.Helper()
	var lastErr error
	for number := range subnetCount {
		subnet := fmt.Sprintf("127.%d", firstSubnet+(os.Getpid()+number)%subnetCount)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.255.1:%d", subnet, subnetGuard))
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return subnet
		}
		lastErr = err
	}
	t.Fatalf("no free network: %s", lastErr)
	return ""
}

func (deployment *deployment) newNode(role string, number int) *node {
	ip := fmt.Sprintf("%s.%d.%d", deployment.subnet, number/addressesPerNetwork, 11+number%addressesPerNetwork)
	return &node{
		program: deployment.layout.program, name: role + "-" + ip, role: role, ip: ip, grace: deployment.layout.grace, zone: deployment.layout.zones[number%len(deployment.layout.zones)],
		storeLink: newProxy(deployment.t, ip+":8170", deployment.storeAddress),
	}
}

// newWorker prepares a worker and its agent for join. Only the test's own goroutine may call it.
func (deployment *deployment) newWorker() *testWorker {
	number := max(firstWorkerNumber, deployment.layout.entries) + len(deployment.workers)
	worker := &testWorker{agent: deployment.newNode("agent", number), cpu: workerCPU}
	worker.restart(deployment)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		worker.mu.Lock()
		runner := worker.runner
		worker.mu.Unlock()
		runner.ServeHTTP(writer, request)
	}))
	deployment.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	worker.agentLink = newProxy(deployment.t, worker.agent.ip+":8165", strings.TrimPrefix(server.URL, "http://"))
	if deployment.layout.hasEntryLinks {
		worker.entryLinks = deployment.newEntryLinks(len(deployment.workers) + 1)
		worker.agent.seeds = worker.entryLinks.seeds
		worker.agent.storeLink.close() // Agents need the store only to find entries that are not in the settings.
	}
	deployment.writeSettings(worker.agent, worker.agentLink.address())
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.workers = append(deployment.workers, worker)
	return worker
}

// join starts a worker and its agent.
func (deployment *deployment) join(worker *testWorker) {
	deployment.start(worker.agent)
	go deployment.announce(worker)
}

// leave drains the worker for a while and ends it for good. It returns before its agent ends.
func (deployment *deployment) leave(worker *testWorker, notice time.Duration) {
	worker.mu.Lock()
	worker.endsAt = time.Now().Add(notice)
	worker.mu.Unlock()
	time.Sleep(notice)
	acknowledged := make(chan struct{})
	go func() {
		defer close(acknowledged)
		_, _ = deployment.call(http.MethodDelete, "http://"+worker.agent.ip+":8166/api/instances/"+worker.id(), "") // The agent may be down.
	}()
	select {
	case <-acknowledged:
	case <-time.After(leaveTimeout):
	}
	worker.mu.Lock()
	worker.hasLeft = true
	worker.runner.Crash()
	worker.mu.Unlock()
	worker.agentLink.close()
}

// restart crashes the worker and starts its next incarnation under another id.
func (worker *testWorker) restart(deployment *deployment) { worker.startNext(deployment, false) }

// startNext crashes the worker and starts its next incarnation.
func (worker *testWorker) startNext(deployment *deployment, keepsID bool) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.runner != nil {
		worker.runner.Crash()
	}
	worker.incarnation++
	if !keepsID {
		worker.idNumber = worker.incarnation
	}
	worker.runner = platformtest.NewRunner(worker.id(), worker.startedAt(), deployment.log, deployment.runPlan)
	worker.arm(deployment)
}

func (worker *testWorker) id() string {
	return fmt.Sprintf("i-%s-%d", worker.agent.ip, worker.idNumber)
}
func (worker *testWorker) startedAt() int64 { return 1000 + int64(worker.incarnation) }

// announce sends a worker's announcements to its agent until the worker leaves or the deployment ends.
func (deployment *deployment) announce(worker *testWorker) {
	for sequence := 1; deployment.ctx.Err() == nil; sequence++ {
		worker.mu.Lock()
		if worker.hasLeft {
			worker.mu.Unlock()
			return
		}
		id := worker.id()
		body := worker.announcement(sequence)
		worker.mu.Unlock()
		_, _ = deployment.call(http.MethodPut, "http://"+worker.agent.ip+":8166/api/instances/"+id, body) // The agent may be down.
		time.Sleep(announcementInterval)
	}
}

// announcement returns the body of an announcement. The caller must hold the lock.
func (worker *testWorker) announcement(sequence int) string {
	state := `"ready"`
	if !worker.endsAt.IsZero() {
		state = fmt.Sprintf(`"draining","RemainingMs":%d`, max(0, time.Until(worker.endsAt).Milliseconds()))
	}
	return fmt.Sprintf(`{"Service":"desk","Address":"10.0.0.1:1","Zone":%q,"Version":"v1","Slots":8,"ColdRemainingMs":0,"ClockMs":5,"State":%s,"Capacity":{"Cpu":%d,"MemoryLimitMb":8000,"Gpu":0},"Labels":["a","r1"],"Sequence":%d,"born":%d}`,
		worker.agent.zone, state, worker.cpu, sequence, worker.startedAt())
}

// reserve keeps the worker from being chosen for another fault before it leaves.
func (worker *testWorker) reserve() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.isLeaving = true
}

func (worker *testWorker) current() *platformtest.Runner {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.runner
}

// readyWorkers returns the workers that are there to stay.
func (deployment *deployment) readyWorkers() []*testWorker {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(deployment.workers), func(worker *testWorker) bool {
		worker.mu.Lock()
		defer worker.mu.Unlock()
		return worker.isLeaving
	})
}

// nodes returns the nodes that are there to stay.
func (deployment *deployment) nodes() []*node {
	all := slices.Clone(deployment.entries)
	for _, worker := range deployment.readyWorkers() {
		all = append(all, worker.agent)
	}
	return all
}

// disturb records that a fault begins, ends or takes place, by the change in the number of faults in progress.
func (deployment *deployment) disturb(change int) {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.disturbedAt = time.Now()
	deployment.faults += change
}

// calmTime returns for how long nothing was disturbed.
func (deployment *deployment) calmTime() time.Duration {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	if deployment.faults > 0 {
		return 0
	}
	return time.Since(deployment.disturbedAt)
}

// leader returns the entry that the store names as the leader, or the first one.
func (deployment *deployment) leader() *node {
	value, _ := deployment.store.Row("lead", "main", "term")
	for _, entry := range deployment.entries {
		if strings.Contains(string(value), fmt.Sprintf("%q", entry.name)) {
			return entry
		}
	}
	return deployment.entries[0]
}

func (deployment *deployment) settingsPath(node *node) string {
	return filepath.Join(deployment.dir, node.name+".toml")
}

func (deployment *deployment) writeSettings(node *node, app string) {
	deployment.t.Helper()
	seeds := deployment.seeds
	if node.seeds != nil {
		seeds = node.seeds
	}
	text := fmt.Sprintf(`NodeName = %q
Ip = %q
Zone = %q
Region = "region"
InternalPortRange = [7720, 7735]
Seeds = [%s]
ControlMode = "rpc"
app = %q
Service = "desk"
[BindAddresses]
Frontend = "%s:8161"
Readiness = "%s:8167"
ControlPlane = "%s:8166"
[Limits]
MemoryMb = 152
[Bounds]
GraceS = %d
HoldMaxMs = %d
ImpactMs = 4000
[platform]
Address = %q
WritesPerS = 800
ReadsPerS = 2000
`, node.name, node.ip, node.zone, strings.Join(seeds, ", "), app, node.ip, node.ip, node.ip, int(node.grace.Seconds()), deployment.layout.lease.Milliseconds(), node.storeLink.address())
	if node.role == "agent" {
		text = strings.ReplaceAll(text, fmt.Sprintf("Frontend = \"%s:8161\"\n", node.ip), "")
	}
	if err := os.WriteFile(deployment.settingsPath(node), []byte(text), 0o600); err != nil {
		deployment.t.Fatal(err)
	}
}

// configure writes the operators' configuration. Those with odd versions have another route.
func (deployment *deployment) configure(version int) {
	prefixes := []string{"/quick/", "/spare/"}
	var routes []any
	for number, prefix := range prefixes[:1+version%2] {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("route%d", number), "Host": host, "PathPrefix": prefix, "TimeoutMs": 3000, "TargetLatencyMs": 250,
			"Priority": 0, "Service": "desk", "MaxAttempts": taskAttempts, "SlackFactor": 1.5,
		})
	}
	value, err := json.Marshal(map[string]any{"Version": version, "Routes": routes, "Limits": map[string]any{"MaxBodyBytes": 262144}})
	if err != nil {
		deployment.t.Error(err)
	}
	deployment.store.Put("op", "", "config", value)
}

// start starts a node's process unless it is running, and restarts it whenever it ends.
func (deployment *deployment) start(node *node) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.process != nil || node.isRetired || deployment.ctx.Err() != nil {
		return
	}
	output, err := os.OpenFile(filepath.Join(deployment.dir, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		deployment.t.Error(err)
		return
	}
	defer func() { _ = output.Close() }()
	process := exec.Command(cmp.Or(node.program, programPath), node.role)
	process.Env = append(os.Environ(), "HYSSOPJUNCTION_SETTINGS="+deployment.settingsPath(node))
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		deployment.t.Error(err)
		return
	}
	node.process = process
	deployment.disturb(0)
	go func() {
		_ = process.Wait() // Killed processes end with an error.
		node.mu.Lock()
		node.process = nil
		node.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		deployment.start(node)
	}()
}

// signal sends a signal to the node's process if it is running.
func (node *node) signal(number syscall.Signal) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.process != nil {
		_ = node.process.Process.Signal(number) // It may have ended.
	}
}

// terminate asks the node's process to stop and kills it after the grace period, as the platform does.
func (node *node) terminate() {
	node.mu.Lock()
	process := node.process
	node.mu.Unlock()
	node.signal(syscall.SIGTERM)
	if !node.awaitEnd(process, node.grace) {
		node.signal(syscall.SIGKILL)
	}
}

// awaitEnd waits until the process is not the node's any more. It returns false after the timeout.
func (node *node) awaitEnd(process *exec.Cmd, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		node.mu.Lock()
		hasEnded := process == nil || node.process != process
		node.mu.Unlock()
		if hasEnded || time.Now().After(deadline) {
			return hasEnded
		}
	}
}

// retire keeps the node's process from being started again.
func (node *node) retire() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.isRetired = true
}

func (deployment *deployment) close() {
	deployment.cancel()
	all := slices.Clone(deployment.entries)
	for _, worker := range deployment.workers {
		all = append(all, worker.agent)
	}
	for _, node := range all {
		node.signal(syscall.SIGKILL)
	}
	for _, node := range all {
		node.mu.Lock()
		process := node.process
		node.mu.Unlock()
		node.awaitEnd(process, time.Second)
	}
}

// call sends a request with the callers' host name. It returns the status, or 0 without a response, and the
// body or the error.
func (deployment *deployment) call(method, url, body string) (int, string) {
	ctx, cancel := context.WithTimeout(deployment.ctx, 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Hyssopjunction-Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}
