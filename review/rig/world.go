package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: the stand-in of the store, machines with the project's own programs, and runners.
type world struct {
	root    string
	folder  string
	block   string
	trouble bool
	store   *store
	entries []*machine
	agents  []*machine
	runners []*runner
	plan    func(task string) plan

	// proxied is the number of the side machine with proxies, from 1 on, or 0.
	proxied int
	proxies *proxies
	mu      sync.Mutex
	begun   time.Time
	out     *os.File
	runs    []*runRecord
	broken  []string
	pairs   map[string]bool
}

// runRecord is a run as its runner saw it.
type runRecord struct {
	task    string
	run     int
	runner  *runner
	life    string
	at      time.Time
	endedAt time.Time
	how     string
	// number is that of the end in the runner's list, and notedAt when LastSeen reached it.
	notedAt time.Time
}

// machine is one of the system's machines with its process.
type machine struct {
	world    *world
	name     string
	role     string
	ip       string
	settings string
	// store is the address of the store that the machine sees.
	store   string
	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
}

const (
	sessionPort = 7720
	callerPort  = 8161
	readyPort   = 8167
	controlPort = 8166
	runnerPort  = 8165
	storePort   = 8169
	metricsPort = 9180
	hostName    = "desk.example"
)

// newWorld finds a free block of loopback addresses and prepares the store.
func newWorld(root, recordFile string, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{root: root, folder: folder, trouble: trouble, store: newStore(), out: out, begun: time.Now()}
	for attempt := 0; attempt < 50; attempt++ {
		w.block = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 100+rand.IntN(90))
		if w.isFree() {
			break
		}
	}
	if err := w.store.serve(net.JoinHostPort(w.block+".250", fmt.Sprint(storePort))); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *world) isFree() bool {
	for last := 1; last < 40; last++ {
		for _, port := range []int{sessionPort, callerPort, readyPort, controlPort, runnerPort, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.block, last, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// record writes a line to record.txt.
func (w *world) record(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, values...))
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	w.record("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

func (w *world) started(r *runner, item *execution) {
	w.mu.Lock()
	w.runs = append(w.runs, &runRecord{task: item.task, run: item.run, runner: r, life: r.id, at: item.at})
	w.mu.Unlock()
	w.record("runner %s starts %s run %d", r.name, item.task, item.run)
}

func (w *world) find(r *runner, task string, run int) *runRecord {
	for position := len(w.runs) - 1; position >= 0; position-- {
		if item := w.runs[position]; item.runner == r && item.life == r.id && item.task == task && item.run == run {
			return item
		}
	}
	return nil
}

func (w *world) ended(r *runner, item *execution, how string) {
	w.mu.Lock()
	if found := w.find(r, item.task, item.run); found != nil {
		found.endedAt, found.how = time.Now(), how
	}
	w.mu.Unlock()
	w.record("runner %s: %s run %d ends %s", r.name, item.task, item.run, how)
}

// noted records that LastSeen has reached an end.
func (w *world) noted(r *runner, end []any) {
	w.mu.Lock()
	if found := w.find(r, end[1].(string), end[2].(int)); found != nil && found.notedAt.IsZero() {
		found.notedAt = time.Now()
	}
	w.mu.Unlock()
	w.record("runner %s: end of %s run %d is taken note of", r.name, end[1], end[2])
}

// reported tells whether a pair of runs was recorded before, and records it.
func (w *world) reported(task string, first, second int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pairs == nil {
		w.pairs = map[string]bool{}
	}
	key := fmt.Sprintf("%s %d %d", task, first, second)
	known := w.pairs[key]
	w.pairs[key] = true
	return known
}

// running returns the runs of tasks with the prefix that are on now.
func (w *world) running(prefix string) []*runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*runRecord
	for _, item := range w.runs {
		if item.endedAt.IsZero() && strings.HasPrefix(item.task, prefix) {
			list = append(list, item)
		}
	}
	return list
}

func (w *world) allRuns(prefix string) []runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []runRecord
	for _, item := range w.runs {
		if strings.HasPrefix(item.task, prefix) {
			list = append(list, *item)
		}
	}
	return list
}

// setUp adds entries, one to a zone, and agents with their runners, and starts all.
func (w *world) setUp(entries, agents, cpu, memory, perRack int) error {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var seeds []string
	for number := range entries {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", w.block, 1+number, controlPort)))
	}
	for number := range entries {
		item := &machine{world: w, name: fmt.Sprintf("edge-%d", number+1), role: "entry", ip: fmt.Sprintf("%s.%d", w.block, 1+number)}
		if err := item.write(zones[number%3], seeds, ""); err != nil {
			return err
		}
		w.entries = append(w.entries, item)
	}
	for number := range agents {
		zone := zones[number%3]
		ip := fmt.Sprintf("%s.%d", w.block, 11+number)
		r := &runner{
			world: w, name: fmt.Sprintf("r%d", number+1), address: fmt.Sprintf("%s:%d", ip, runnerPort), control: fmt.Sprintf("%s:%d", ip, controlPort),
			zone: zone, labels: []string{"a", fmt.Sprintf("rack-%d", number/perRack)}, cpu: cpu, memory: memory,
		}
		item := &machine{world: w, name: fmt.Sprintf("side-%d", number+1), role: "agent", ip: ip}
		machineSeeds := seeds
		if w.proxied == number+1 {
			// This machine reaches the entries and the store by way of proxies.
			var err error
			if w.proxies, err = newProxies(w, number, entries); err != nil {
				return err
			}
			machineSeeds = nil
			for _, seed := range seeds {
				machineSeeds = append(machineSeeds, strings.ReplaceAll(seed, w.proxies.from, w.proxies.to))
			}
			item.store = w.proxies.to + "250"
		}
		if err := item.write(zone, machineSeeds, r.address); err != nil {
			return err
		}
		w.agents, w.runners = append(w.agents, item), append(w.runners, r)
	}
	for _, item := range append(append([]*machine{}, w.entries...), w.agents...) {
		if err := item.start(); err != nil {
			return err
		}
	}
	for _, r := range w.runners {
		if err := r.begin(); err != nil {
			return err
		}
	}
	return nil
}

// route is a queue of the configuration.
type route struct {
	Name, Host, PathPrefix, Type, Service string
	TimeoutMs, TargetLatencyMs            int
	Priority, MaxAttempts                 int
	SlackFactor                           float64
}

func newRoute(name string, priority, attempts int) route {
	return route{
		Name: name, Host: hostName, PathPrefix: "/" + name + "/", Type: "non_idempotent", Service: "desk", TimeoutMs: 3000, TargetLatencyMs: 1000,
		Priority: priority, MaxAttempts: attempts, SlackFactor: 2,
	}
}

func (w *world) configure(version int, routes ...route) {
	w.store.put("op", "", "config", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": "desk", "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1", "EnforceLimits": false, "Standby": false}},
		"Limits":   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	w.record("configuration %d is in the store", version)
}

// write writes the settings file of a machine.
func (m *machine) write(zone string, seeds []string, app string) error {
	m.settings = filepath.Join(m.world.folder, m.name+".toml")
	if m.store == "" {
		m.store = m.world.block + ".250"
	}
	text := &strings.Builder{}
	fmt.Fprintf(text, "NodeName = %q\nRole = %q\nIp = %q\nZone = %q\nRegion = \"region\"\nInternalPortRange = [%d,%d]\nSeeds = [%s]\n",
		m.name, m.role, m.ip, zone, sessionPort, sessionPort+15, strings.Join(seeds, ","))
	fmt.Fprintf(text, "Bootstrap = true\nDiscovery = \"local\"\nEntry = \"vip\"\nHeartbeatMs = 1500\nControlMode = \"rpc\"\n")
	memory := 284
	if app != "" {
		memory = 152
		fmt.Fprintf(text, "app = %q\nService = \"desk\"\n", app)
	}
	fmt.Fprintf(text, "[Zones]\nzone-a = \"region\"\nzone-b = \"region\"\nzone-c = \"region\"\n[BindAddresses]\nControlPlane = \"%s:%d\"\n", m.ip, controlPort)
	if app == "" {
		fmt.Fprintf(text, "Frontend = \"%s:%d\"\nReadiness = \"%s:%d\"\n", m.ip, callerPort, m.ip, readyPort)
	}
	fmt.Fprintf(text, "[Limits]\nMemoryMb = %d\n[Bounds]\nContactMs = 3000\nAckMs = 4000\nDrainMs = 2000\nGraceS = 6\nHoldMaxMs = %d\nStopTimeoutMs = 200\ncancel_ms = 3000\nvisible_ms = 3000\nRemoteFactor = 1.5\nRestoreMs = 100\nImpactMs = 4000\n",
		memory, holdMax.Milliseconds())
	fmt.Fprintf(text, "[platform]\nAddress = \"%s:%d\"\nform = \"table\"\nWritesPerS = 800\nReadsPerS = 2000\nTransactionMs = 5.0\nPartitionWritesS = 200\nRowBytes = 65536\nCrossShard = false\nHistoryS = 20\n",
		m.store, storePort)
	return os.WriteFile(m.settings, []byte(text.String()), 0o600)
}

// start starts the program of the machine as the deploy file says.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.world.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.process = exec.Command("target/hyssopjunction", m.role)
	m.process.Dir, m.process.Stdout, m.process.Stderr = m.world.root, log, log
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "HYSSOPJUNCTION_SETTINGS=" + m.settings}
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	m.world.record("%s starts", m.name)
	process, done := m.process, make(chan struct{})
	m.done = done
	go func() {
		_ = process.Wait()
		close(done)
	}()
	return nil
}

func (m *machine) signal(signal syscall.Signal) {
	m.world.record("%s gets %s", m.name, signal)
	_ = m.process.Process.Signal(signal)
}

// kill kills the process and starts it again after a pause.
func (m *machine) kill(pause time.Duration) {
	m.signal(syscall.SIGKILL)
	<-m.done
	time.Sleep(pause)
	if err := m.start(); err != nil {
		m.world.record("%s: %v", m.name, err)
	}
}

// end ends all processes.
func (w *world) end() {
	for _, m := range append(append([]*machine{}, w.entries...), w.agents...) {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			<-m.done
		}
	}
	for _, r := range w.runners {
		r.crash()
	}
	_ = w.out.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
}

// leader returns the machine that leads, by the term row in the store.
func (w *world) leader() *machine {
	value, ok := w.store.get("lead", "main", "term")
	if !ok {
		return nil
	}
	var term struct{ Holder string }
	_ = json.Unmarshal(value, &term)
	for _, m := range w.entries {
		if m.name == term.Holder {
			return m
		}
	}
	return nil
}

// step is a step of a job, as consumers submit it.
type step map[string]any

var callerClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ask sends one request of a consumer to a machine and returns the status, 0 without a whole answer, and the body.
func (w *world) ask(m *machine, method, path string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, callerPort, path), bytes.NewReader(data))
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Hyssopjunction-Deadline-Ms", "3000")
	response, err := callerClient.Do(request)
	if err != nil {
		w.record("%s %s %s: no answer (%v)", m.name, method, path, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		w.record("%s %s %s: no whole answer", m.name, method, path)
		return 0, ""
	}
	w.record("%s %s %s: %d %s", m.name, method, path, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, string(text)
}

// submit hands a job in, again until it is accepted.
func (w *world) submit(queue, id string, steps ...step) bool {
	for attempt := 0; attempt < 12; attempt++ {
		status, _ := w.ask(w.entries[attempt%len(w.entries)], http.MethodPost, "/"+queue+"/"+id, map[string]any{"Spec": "work of " + id, "Steps": steps})
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns what is shown of a job, or an empty text.
func (w *world) state(m *machine, queue, id string) (int, string) {
	status, text := w.ask(m, http.MethodGet, "/"+queue+"/"+id, nil)
	var form struct{ State string }
	_ = json.Unmarshal([]byte(text), &form)
	return status, form.State
}

// await waits until the condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady() bool {
	return await(15*time.Second, func() bool {
		for _, m := range w.entries {
			response, err := callerClient.Get(fmt.Sprintf("http://%s:%d/api/readyz", m.ip, readyPort))
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return w.leader() != nil
	})
}

// id returns the id of the job with the number.
func id(number int) string { return fmt.Sprintf("%016x", 0xc0de000000000000+uint64(number)) }

func sortedKeys[V any](values map[string]V) []string {
	var keys []string
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// agentOf returns the machine of a runner.
func (w *world) agentOf(r *runner) *machine {
	for position, other := range w.runners {
		if other == r {
			return w.agents[position]
		}
	}
	return nil
}
