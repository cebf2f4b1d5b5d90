package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hyssopjunction/standin/platformtest"
)

const (
	entryCount  = 3
	workerCount = 4
	host        = "desk.example"
	// announcementInterval is the time between two announcements of a worker.
	announcementInterval = 250 * time.Millisecond
	// leaseMillis is the longest lease that workers accept.
	leaseMillis = 3000
	// firstSubnet and subnetCount define the loopback networks 127.N.0.0 of deployments. The process id chooses
	// N, so that tests in parallel processes rarely share addresses.
	firstSubnet = 50
	subnetCount = 150
)

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
	storeLink *proxy

	mu      sync.Mutex
	process *exec.Cmd
}

// testWorker is a worker that the agent beside it reaches through a proxy.
type testWorker struct {
	agent     *node
	agentLink *proxy

	mu          sync.Mutex
	incarnation int
	runner      *platformtest.Runner
}

// deployment runs entries and agents as processes, and workers and the store in the test process.
type deployment struct {
	t       *testing.T
	dir     string
	store   *platformtest.Store
	log     *platformtest.Log
	entries []*node
	workers []*testWorker
	runPlan func(task string) (time.Duration, bool)
	cancel  context.CancelFunc
	ctx     context.Context
}

func newDeployment(t *testing.T, runPlan func(task string) (time.Duration, bool)) *deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	deployment := &deployment{t: t, dir: t.TempDir(), store: platformtest.NewStore(), log: &platformtest.Log{}, runPlan: runPlan, ctx: ctx, cancel: cancel}
	t.Cleanup(deployment.close)
	server := httptest.NewServer(deployment.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	subnet := fmt.Sprintf("127.%d.0.", firstSubnet+os.Getpid()%subnetCount)
	var seeds []string
	for number := range entryCount {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:8166", subnet, 11+number)))
	}
	storeAddress := strings.TrimPrefix(server.URL, "http://")
	for number := range entryCount {
		deployment.entries = append(deployment.entries, deployment.newNode("entry", fmt.Sprintf("%s%d", subnet, 11+number), storeAddress))
	}
	for number := range workerCount {
		deployment.newWorker(deployment.newNode("agent", fmt.Sprintf("%s%d", subnet, 31+number), storeAddress))
	}
	deployment.configure(1)
	for _, node := range deployment.nodes() {
		app := ""
		for _, worker := range deployment.workers {
			if worker.agent == node {
				app = worker.agentLink.address()
			}
		}
		deployment.writeSettings(node, seeds, app)
		deployment.start(node)
	}
	for _, worker := range deployment.workers {
		go deployment.announce(worker)
	}
	return deployment
}

func (deployment *deployment) newNode(role, ip, storeAddress string) *node {
	return &node{name: role + "-" + ip, role: role, ip: ip, storeLink: newProxy(deployment.t, ip+":8170", storeAddress)}
}

func (deployment *deployment) newWorker(agent *node) {
	worker := &testWorker{agent: agent}
	worker.restart(deployment)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		worker.mu.Lock()
		runner := worker.runner
		worker.mu.Unlock()
		runner.ServeHTTP(writer, request)
	}))
	deployment.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	worker.agentLink = newProxy(deployment.t, agent.ip+":8165", strings.TrimPrefix(server.URL, "http://"))
	deployment.workers = append(deployment.workers, worker)
}

// restart crashes the worker and starts its next incarnation.
func (worker *testWorker) restart(deployment *deployment) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.runner != nil {
		worker.runner.Crash()
	}
	worker.incarnation++
	worker.runner = platformtest.NewRunner(worker.id(), worker.startedAt(), deployment.log, deployment.runPlan)
}

func (worker *testWorker) id() string {
	return fmt.Sprintf("i-%s-%d", worker.agent.ip, worker.incarnation)
}
func (worker *testWorker) startedAt() int64 { return 1000 + int64(worker.incarnation) }

// announce sends a worker's announcements to its agent until the deployment ends.
func (deployment *deployment) announce(worker *testWorker) {
	for sequence := 1; deployment.ctx.Err() == nil; sequence++ {
		worker.mu.Lock()
		id := worker.id()
		body := fmt.Sprintf(`{"Service":"desk","Address":"10.0.0.1:1","Zone":"zone-a","State":"ready","Capacity":{"Cpu":4000,"MemoryLimitMb":8000,"Gpu":0},"Labels":["a","r1"],"Sequence":%d,"born":%d}`, sequence, worker.startedAt())
		worker.mu.Unlock()
		_, _ = deployment.call(http.MethodPut, "http://"+worker.agent.ip+":8166/api/instances/"+id, body) // The agent may be down.
		time.Sleep(announcementInterval)
	}
}

func (deployment *deployment) nodes() []*node {
	all := append([]*node{}, deployment.entries...)
	for _, worker := range deployment.workers {
		all = append(all, worker.agent)
	}
	return all
}

func (deployment *deployment) settingsPath(node *node) string {
	return filepath.Join(deployment.dir, node.name+".toml")
}

func (deployment *deployment) writeSettings(node *node, seeds []string, app string) {
	deployment.t.Helper()
	text := fmt.Sprintf(`NodeName = %q
Ip = %q
Zone = "zone-a"
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
GraceS = 2
HoldMaxMs = %d
ImpactMs = 4000
[platform]
Address = %q
WritesPerS = 800
ReadsPerS = 2000
`, node.name, node.ip, strings.Join(seeds, ", "), app, node.ip, node.ip, node.ip, leaseMillis, node.storeLink.address())
	if node.role == "agent" {
		text = strings.ReplaceAll(text, fmt.Sprintf("Frontend = \"%s:8161\"\n", node.ip), "")
	}
	if err := os.WriteFile(deployment.settingsPath(node), []byte(text), 0o600); err != nil {
		deployment.t.Fatal(err)
	}
}

// configure writes the operators' configuration.
func (deployment *deployment) configure(version int) {
	value, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "route", "Host": host, "PathPrefix": "/quick/", "TimeoutMs": 3000, "TargetLatencyMs": 250,
			"Priority": 0, "Service": "desk", "MaxAttempts": taskAttempts, "SlackFactor": 1.5,
		}},
		"Limits": map[string]any{"MaxBodyBytes": 262144},
	})
	if err != nil {
		deployment.t.Error(err)
	}
	deployment.store.Put("op", "", "config", value)
}

// start starts a node's process unless it is running, and restarts it whenever it ends.
func (deployment *deployment) start(node *node) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.process != nil || deployment.ctx.Err() != nil {
		return
	}
	output, err := os.OpenFile(filepath.Join(deployment.dir, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		deployment.t.Error(err)
		return
	}
	defer func() { _ = output.Close() }()
	process := exec.Command(programPath, node.role)
	process.Env = append(os.Environ(), "HYSSOPJUNCTION_SETTINGS="+deployment.settingsPath(node))
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		deployment.t.Error(err)
		return
	}
	node.process = process
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

func (deployment *deployment) close() {
	deployment.cancel()
	for _, node := range deployment.nodes() {
		node.signal(syscall.SIGKILL)
	}
	for _, node := range deployment.nodes() {
		for range 100 {
			node.mu.Lock()
			gone := node.process == nil
			node.mu.Unlock()
			if gone {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
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
