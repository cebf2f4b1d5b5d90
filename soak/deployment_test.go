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
	// beatGap separates a worker's announcements.
	beatGap = 250 * time.Millisecond
	// leaseMillis is the longest lease that workers accept.
	leaseMillis = 3000
	// firstOctet of the loopback addresses that a deployment uses; each test process has its own range.
	firstOctet = 50
	octets     = 150
)

// program is the built binary.
var program string //nolint:gochecknoglobals // TestMain builds it once for all tests.

// TestMain builds the program.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "hyssopjunction")
	build := exec.Command("go", "build", "-o", program, "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// node is a daemon with its link to the store.
type node struct {
	name string
	role string
	ip   string
	link *proxy

	mu      sync.Mutex
	process *exec.Cmd
}

// deskWorker is a worker with its link to the agent beside it.
type deskWorker struct {
	agent *node
	link  *proxy

	mu     sync.Mutex
	life   int
	runner *platformtest.Runner
}

// deployment is one run of the programs.
type deployment struct {
	t       *testing.T
	dir     string
	store   *platformtest.Store
	log     *platformtest.Log
	entries []*node
	workers []*deskWorker
	length  func(task string) (time.Duration, bool)
	end     context.CancelFunc
	ctx     context.Context
}

func newDeployment(t *testing.T, length func(task string) (time.Duration, bool)) *deployment {
	t.Helper()
	ctx, end := context.WithCancel(context.Background())
	world := &deployment{t: t, dir: t.TempDir(), store: platformtest.NewStore(), log: &platformtest.Log{}, length: length, ctx: ctx, end: end}
	t.Cleanup(world.close)
	server := httptest.NewServer(world.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	subnet := fmt.Sprintf("127.%d.0.", firstOctet+os.Getpid()%octets)
	var seeds []string
	for number := range entryCount {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:8166", subnet, 11+number)))
	}
	storeAddress := strings.TrimPrefix(server.URL, "http://")
	for number := range entryCount {
		world.entries = append(world.entries, world.newNode("entry", fmt.Sprintf("%s%d", subnet, 11+number), storeAddress))
	}
	for number := range workerCount {
		world.newWorker(world.newNode("agent", fmt.Sprintf("%s%d", subnet, 31+number), storeAddress))
	}
	world.configure(1)
	for _, added := range world.nodes() {
		app := ""
		for _, worker := range world.workers {
			if worker.agent == added {
				app = worker.link.address()
			}
		}
		world.writeSettings(added, seeds, app)
		world.start(added)
	}
	for _, worker := range world.workers {
		go world.announce(worker)
	}
	return world
}

func (world *deployment) newNode(role, ip, storeAddress string) *node {
	return &node{name: role + "-" + ip, role: role, ip: ip, link: newProxy(world.t, ip+":8170", storeAddress)}
}

func (world *deployment) newWorker(agent *node) {
	worker := &deskWorker{agent: agent}
	worker.reborn(world)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		worker.mu.Lock()
		runner := worker.runner
		worker.mu.Unlock()
		runner.ServeHTTP(writer, request)
	}))
	world.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	worker.link = newProxy(world.t, agent.ip+":8165", strings.TrimPrefix(server.URL, "http://"))
	world.workers = append(world.workers, worker)
}

// reborn ends the worker's life and begins the next one.
func (worker *deskWorker) reborn(world *deployment) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.runner != nil {
		worker.runner.Crash()
	}
	worker.life++
	worker.runner = platformtest.NewRunner(worker.id(), worker.born(), world.log, world.length)
}

func (worker *deskWorker) id() string  { return fmt.Sprintf("i-%s-%d", worker.agent.ip, worker.life) }
func (worker *deskWorker) born() int64 { return 1000 + int64(worker.life) }

// announce lets a worker announce itself until the deployment ends.
func (world *deployment) announce(worker *deskWorker) {
	for sequence := 1; world.ctx.Err() == nil; sequence++ {
		worker.mu.Lock()
		id := worker.id()
		body := fmt.Sprintf(`{"Service":"desk","Address":"10.0.0.1:1","Zone":"zone-a","State":"ready","Capacity":{"Cpu":4000,"MemoryLimitMb":8000,"Gpu":0},"Labels":["a","r1"],"Sequence":%d,"born":%d}`, sequence, worker.born())
		worker.mu.Unlock()
		_, _ = world.call(http.MethodPut, "http://"+worker.agent.ip+":8166/api/instances/"+id, body) // The agent may be down.
		time.Sleep(beatGap)
	}
}

func (world *deployment) nodes() []*node {
	all := append([]*node{}, world.entries...)
	for _, worker := range world.workers {
		all = append(all, worker.agent)
	}
	return all
}

func (world *deployment) settings(of *node) string { return filepath.Join(world.dir, of.name+".toml") }

func (world *deployment) writeSettings(of *node, seeds []string, app string) {
	world.t.Helper()
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
`, of.name, of.ip, strings.Join(seeds, ", "), app, of.ip, of.ip, of.ip, leaseMillis, of.link.address())
	if of.role == "agent" {
		text = strings.ReplaceAll(text, fmt.Sprintf("Frontend = \"%s:8161\"\n", of.ip), "")
	}
	if err := os.WriteFile(world.settings(of), []byte(text), 0o600); err != nil {
		world.t.Fatal(err)
	}
}

// configure writes the operators' configuration.
func (world *deployment) configure(version int) {
	value, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "route", "Host": host, "PathPrefix": "/quick/", "TimeoutMs": 3000, "TargetLatencyMs": 250,
			"Priority": 0, "Service": "desk", "MaxAttempts": jobAttempts, "SlackFactor": 1.5,
		}},
		"Limits": map[string]any{"MaxBodyBytes": 262144},
	})
	if err != nil {
		world.t.Error(err)
	}
	world.store.Put("op", "", "config", value)
}

// start starts a node's process unless it runs.
func (world *deployment) start(of *node) {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.process != nil || world.ctx.Err() != nil {
		return
	}
	output, err := os.OpenFile(filepath.Join(world.dir, of.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		world.t.Error(err)
		return
	}
	defer func() { _ = output.Close() }()
	process := exec.Command(program, of.role)
	process.Env = append(os.Environ(), "HYSSOPJUNCTION_SETTINGS="+world.settings(of))
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		world.t.Error(err)
		return
	}
	of.process = process
	go func() {
		_ = process.Wait() // Killed processes end with an error.
		of.mu.Lock()
		of.process = nil
		of.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		world.start(of)
	}()
}

// signal sends a signal to a node's process, if it runs.
func (of *node) signal(number syscall.Signal) {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.process != nil {
		_ = of.process.Process.Signal(number) // It may have ended.
	}
}

func (world *deployment) close() {
	world.end()
	for _, of := range world.nodes() {
		of.signal(syscall.SIGKILL)
	}
	for _, of := range world.nodes() {
		for range 100 {
			of.mu.Lock()
			gone := of.process == nil
			of.mu.Unlock()
			if gone {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// call makes a request to the host of the callers, and returns status 0 without an answer.
func (world *deployment) call(method, url, body string) (int, string) {
	ctx, cancel := context.WithTimeout(world.ctx, 3*time.Second)
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
