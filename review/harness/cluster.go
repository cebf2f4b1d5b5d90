// Command harness plays the cases of the review: it starts entries and agents as processes, and stands in for the store,
// the runners and the consumers.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const hostName = "desk.example"

// record is the file that lists what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (record *record) printf(format string, values ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, values...))
}

func (record *record) at(moment time.Time) string {
	if moment.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", moment.Sub(record.started).Seconds())
}

// layout is the size of a deployment.
type layout struct {
	entries, runners int
	runnerCPU        int
	runnersPerRack   int
	// linkMbps is the rate of the link of each entry, or 0 for no limit.
	linkMbps float64
}

// route is a queue of the configuration.
type route struct {
	prefix   string
	priority int
	attempts int
}

// cluster is a deployment.
type cluster struct {
	layout  layout
	dir     string
	program string
	subnet  string
	guard   net.Listener
	store   *store
	log     *runLog
	jobs    *jobs
	record  *record
	entries []*daemon
	agents  []*daemon
	runners []*runner

	mu      sync.Mutex
	closing bool

	// lastSent is when the last quick job was sent, in Unix milliseconds.
	lastSent atomic.Int64
}

// daemon is a process of the system.
type daemon struct {
	cluster        *cluster
	name, role, ip string
	zone           string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	// keepDown keeps the process from being started again.
	keepDown bool
}

var zones = []string{"khomas-a", "khomas-b", "khomas-c"}

func newCluster(layout layout, record *record, program string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	cluster := &cluster{layout: layout, dir: dir, program: program, store: newStore(record), log: &runLog{}, jobs: newJobs(), record: record}
	for number := range 60 {
		subnet := fmt.Sprintf("127.%d", 190+(os.Getpid()+number)%60)
		if listener, err := net.Listen("tcp", subnet+".255.1:8150"); err == nil {
			cluster.subnet, cluster.guard = subnet, listener
			break
		}
	}
	if cluster.subnet == "" {
		return nil, fmt.Errorf("no free loopback network")
	}
	for number := range layout.entries {
		cluster.entries = append(cluster.entries, &daemon{
			cluster: cluster, role: "entry", ip: fmt.Sprintf("%s.0.%d", cluster.subnet, 11+number), zone: zones[number%len(zones)],
			name: fmt.Sprintf("edge-%s-%d", zones[number%len(zones)], 1+number/len(zones)),
		})
	}
	for number := range layout.runners {
		zone, ip := zones[number%len(zones)], fmt.Sprintf("%s.1.%d", cluster.subnet, 11+number)
		cluster.agents = append(cluster.agents, &daemon{cluster: cluster, role: "agent", ip: ip, zone: zone, name: fmt.Sprintf("side-%s-%d", zone, 1+number/len(zones))})
		cluster.runners = append(cluster.runners, &runner{
			cluster: cluster, number: number + 1, ip: ip, zone: zone, rack: fmt.Sprintf("r%d-%d", 1+number%len(zones), 1+number/len(zones)/layout.runnersPerRack), address: ip + ":8165", service: "entry-desk",
		})
	}
	return cluster, nil
}

// startAll starts the store, the runners and the daemons.
func (cluster *cluster) startAll(routes []route) error {
	cluster.configure(1, routes)
	for _, daemon := range append(append([]*daemon{}, cluster.entries...), cluster.agents...) {
		listener, err := net.Listen("tcp", daemon.ip+":8170")
		if err != nil {
			return err
		}
		if cluster.layout.linkMbps > 0 && daemon.role == "entry" {
			listener = linkListener{Listener: listener, in: newLink(cluster.layout.linkMbps), out: newLink(cluster.layout.linkMbps)}
		}
		go func() { _ = http.Serve(listener, cluster.store.handlerFor(daemon.name)) }()
		if err := os.WriteFile(daemon.settingsPath(), []byte(daemon.settings()), 0o600); err != nil {
			return err
		}
		if err := daemon.start(); err != nil {
			return err
		}
	}
	for _, runner := range cluster.runners {
		if err := runner.start(false, 0); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the operator's configuration.
func (cluster *cluster) configure(version int, routes []route) {
	var list []any
	for number, route := range routes {
		list = append(list, map[string]any{
			"Name": fmt.Sprintf("route%d", number), "Host": hostName, "PathPrefix": route.prefix, "TimeoutMs": 3000, "TargetLatencyMs": 250,
			"Priority": route.priority, "Service": "entry-desk", "MaxAttempts": route.attempts, "SlackFactor": 1.5,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": list, "Services": []any{map[string]any{"Name": "entry-desk", "EnforceLimits": false}}, "Limits": map[string]any{"MaxBodyBytes": 262144},
	})
	cluster.store.put("op", "config", value)
	cluster.record.printf("operator: configuration %d: %s", version, value)
}

func (daemon *daemon) settingsPath() string {
	return filepath.Join(daemon.cluster.dir, daemon.name+".toml")
}

// settings returns the settings file of the daemon, with the fields and bounds of the site bandentry-nam.
func (daemon *daemon) settings() string {
	class, app, frontend, memory := "edge", "", fmt.Sprintf("Frontend = %q\nReadiness = %q\n", daemon.ip+":8161", daemon.ip+":8167"), 284
	if daemon.role == "agent" {
		class, app, frontend, memory = "side", fmt.Sprintf("app = %q\n", daemon.ip+":8165"), "", 152
	}
	var seeds []string
	for _, entry := range daemon.cluster.entries[:min(3, len(daemon.cluster.entries))] {
		seeds = append(seeds, strconv.Quote(entry.ip+":8166"))
	}
	linkMbps := daemon.cluster.layout.linkMbps
	if linkMbps == 0 {
		linkMbps = 1000
	}
	return fmt.Sprintf(`NodeName = %q
Role = %q
MachineClass = %q
Ip = %q
Zone = %q
Region = "khomas"
InternalPortRange = [7720, 7735]
Seeds = [%s]
Bootstrap = true
ControlMode = "rpc"
HeartbeatMs = 1500
Service = "entry-desk"
%s[BindAddresses]
%sControlPlane = "%s:8166"
[Limits]
LinkMbps = %.1f
MemoryMb = %d
FileDescriptors = 4100
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
HoldMaxMs = 6000
StopTimeoutMs = 200
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
RemoteFactor = 1.5
CheckpointS = 1
RestoreMs = 100
ImpactMs = 4000
[platform]
Address = "%s:8170"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TransactionMs = 5.0
PartitionWritesS = 200
RowBytes = 65536
HistoryS = 20
`, daemon.name, daemon.role, class, daemon.ip, daemon.zone, strings.Join(seeds, ", "), app, frontend, daemon.ip, linkMbps, memory, daemon.ip)
}

// start starts the process, and again 0.3 s after each end.
func (daemon *daemon) start() error {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	daemon.cluster.mu.Lock()
	closing := daemon.cluster.closing
	daemon.cluster.mu.Unlock()
	if closing || daemon.keepDown || daemon.process != nil {
		return nil
	}
	output, err := os.OpenFile(filepath.Join(daemon.cluster.dir, daemon.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	process := exec.Command(daemon.cluster.program, daemon.role)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + daemon.cluster.dir, "HYSSOPJUNCTION_SETTINGS=" + daemon.settingsPath()}
	process.Dir = filepath.Dir(filepath.Dir(daemon.cluster.program))
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	daemon.process, daemon.done = process, make(chan struct{})
	done := daemon.done
	go func() {
		err := process.Wait()
		daemon.mu.Lock()
		daemon.process = nil
		daemon.mu.Unlock()
		close(done)
		daemon.cluster.mu.Lock()
		closing := daemon.cluster.closing
		daemon.cluster.mu.Unlock()
		if closing {
			return
		}
		daemon.cluster.record.printf("process of %s ended: %v", daemon.name, err)
		time.Sleep(300 * time.Millisecond)
		_ = daemon.start()
	}()
	return nil
}

func (daemon *daemon) signal(number syscall.Signal) {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	if daemon.process != nil {
		daemon.cluster.record.printf("%s gets %s", daemon.name, number)
		_ = daemon.process.Process.Signal(number)
	}
}

// leader returns the entry that the store names as the leader.
func (cluster *cluster) leader() *daemon {
	value, _ := cluster.store.get("lead", "main", "term")
	for _, entry := range cluster.entries {
		if strings.Contains(string(value), strconv.Quote(entry.name)) {
			return entry
		}
	}
	return nil
}

// close ends all processes that were started and writes all runs to the record.
func (cluster *cluster) close() {
	cluster.mu.Lock()
	cluster.closing = true
	cluster.mu.Unlock()
	for _, daemon := range append(append([]*daemon{}, cluster.entries...), cluster.agents...) {
		daemon.mu.Lock()
		process, done := daemon.process, daemon.done
		if process != nil {
			_ = process.Process.Signal(syscall.SIGCONT)
			_ = process.Process.Kill()
		}
		daemon.mu.Unlock()
		if process != nil {
			<-done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(cluster.dir)
	} else {
		fmt.Println("logs in", cluster.dir)
	}
}

// writeRuns lists all runs, and those of jobs with very many tasks by their results only.
func (cluster *cluster) writeRuns() {
	const maxRunsPerJob = 300
	counts := map[string]int{}
	for _, item := range cluster.log.all() {
		counts[item.job()]++
	}
	results := map[string]map[string]int{}
	for _, item := range cluster.log.all() {
		how := item.how
		if how == "" {
			how = "in progress"
		}
		if counts[item.job()] > maxRunsPerJob {
			if results[item.job()] == nil {
				results[item.job()] = map[string]int{}
			}
			results[item.job()][how]++
			continue
		}
		cluster.record.printf("run: %s run %d on %s from %s to %s: %s, noted %s", item.task, item.number, item.runner, cluster.record.at(item.started), cluster.record.at(item.ended), how, cluster.record.at(item.noted))
	}
	for id, result := range results {
		cluster.record.printf("runs of job %s by result: %v", id, result)
	}
}

// usage returns the share of the capacity of the runners that is in use.
func (cluster *cluster) usage() float64 {
	used, total := 0, 0
	for _, runner := range cluster.runners {
		if cpu, isUp := runner.usedCPU(); isUp {
			used += cpu
			total += cluster.layout.runnerCPU
		}
	}
	if total == 0 {
		return 1
	}
	return float64(used) / float64(total)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 3 * time.Second}

// call sends a request of a consumer to an entry. The status is 0 without a response.
func (cluster *cluster) call(entry *daemon, method, path string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+entry.ip+":8161"+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Hyssopjunction-Deadline-Ms", "3000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}
