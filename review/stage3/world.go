package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// layout describes a deployment.
type layout struct {
	entries int
	// workers holds the labels of each worker.
	workers                                [][]string
	holdMax, stopTimeout, cancel, visible  int
	graceS, heartbeat, contact, coresMilli int
}

// world is a deployment on loopback addresses: entries, agents, runners and the stand-in of the store.
type world struct {
	layout
	trouble bool
	folder  string
	temp    string
	begun   time.Time
	prefix  string // the first two bytes of all addresses
	store   *rowStore
	server  *http.Server

	mu        sync.Mutex
	record    *os.File
	processes map[string]*exec.Cmd
	ended     map[string]chan struct{}
	events    []runnerEvent
	lives     map[int]int
	// proxied is the agent whose channels to the entries run through links, or a negative number.
	proxied int
	links   []*link
}

const (
	service = "entry-desk"
	host    = "band.example"
	prefix  = "/sheets/"
	checks  = "/checks/"
)

var zones = []string{"khomas-a", "khomas-b", "khomas-c"}

// errCannotRun reports that a case could not run.
type errCannotRun struct{ reason string }

func (err errCannotRun) Error() string { return err.reason }

func cannotRun(format string, arguments ...any) {
	panic(errCannotRun{fmt.Sprintf(format, arguments...)})
}

func newWorld(layout layout, folder string, trouble bool) *world {
	world := &world{
		layout: layout, trouble: trouble, folder: folder, begun: time.Now(), processes: map[string]*exec.Cmd{}, ended: map[string]chan struct{}{},
		lives: map[int]int{}, proxied: -1,
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	world.record = record
	if world.temp, err = os.MkdirTemp("", "stage3-"); err != nil {
		cannotRun("%v", err)
	}
	world.prefix = freePrefix()
	world.store = newRowStore()
	return world
}

// freePrefix returns the first two bytes of loopback addresses on which nothing listens.
func freePrefix() string {
	for range 50 {
		candidate := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		listener, err := net.Listen("tcp", candidate+".0.1:8161")
		if err != nil {
			continue
		}
		_ = listener.Close()
		return candidate
	}
	cannotRun("no free loopback addresses")
	return ""
}

// note writes a line to the record.
func (world *world) note(format string, arguments ...any) {
	line := fmt.Sprintf("%7.3f %s\n", time.Since(world.begun).Seconds(), fmt.Sprintf(format, arguments...))
	world.mu.Lock()
	defer world.mu.Unlock()
	_, _ = world.record.WriteString(line)
}

func (world *world) entryAddress(number int) string {
	return fmt.Sprintf("%s.0.%d", world.prefix, number+1)
}

func (world *world) agentAddress(number int) string {
	return fmt.Sprintf("%s.1.%d", world.prefix, number+1)
}
func (world *world) storeAddress() string   { return world.prefix + ".2.1:8169" }
func (world *world) zone(number int) string { return zones[number%len(zones)] }

// start starts the store, the entries, the agents and the runners.
func (world *world) start(skippedRunners ...int) {
	listener, err := net.Listen("tcp", world.storeAddress())
	if err != nil {
		cannotRun("%v", err)
	}
	world.server = &http.Server{Handler: world.store, ErrorLog: nil}
	go func() { _ = world.server.Serve(listener) }()
	world.store.put("op", "", "config", map[string]any{
		"Version": 3,
		"Routes": []map[string]any{
			{
				"Name": "sheets", "Host": host, "PathPrefix": prefix, "TimeoutMs": 5000, "TargetLatencyMs": 2500, "Priority": 0, "Service": service,
				"MaxAttempts": 4, "SlackFactor": 3.0,
			},
			{
				"Name": "checks", "Host": host, "PathPrefix": checks, "TimeoutMs": 5000, "TargetLatencyMs": 250, "Priority": 0, "Service": service,
				"MaxAttempts": 1, "SlackFactor": 3.0,
			},
		},
		"Services": []map[string]any{{"Name": service, "EnforceLimits": false}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	for number := range world.entries {
		world.startDaemon("entry", number)
	}
	if world.proxied >= 0 {
		world.startLinks()
	}
	for number := range world.workers {
		world.startDaemon("agent", number)
	}
	for number := range world.workers {
		skip := false
		for _, skipped := range skippedRunners {
			skip = skip || skipped == number
		}
		if !skip {
			world.startRunner(number, 0)
		}
	}
}

// settings returns the settings file of a daemon.
func (world *world) settings(role string, number int) string {
	ip, class, memory, descriptors := world.entryAddress(number), "edge", 284, 4100
	bind := fmt.Sprintf("Frontend = \"%s:8161\"\nReadiness = \"%s:8167\"\nControlPlane = \"%s:8166\"\n", ip, ip, ip)
	extra := ""
	if role == "agent" {
		ip, class, memory, descriptors = world.agentAddress(number), "side", 152, 4096
		bind = fmt.Sprintf("ControlPlane = \"%s:8166\"\n", ip)
		extra = fmt.Sprintf("app = \"%s:8080\"\nService = %q\n", ip, service)
	}
	var seeds []string
	store := world.storeAddress()
	for entry := range min(world.entries, 3) {
		address := world.entryAddress(entry)
		if role == "agent" && number == world.proxied {
			address, store = world.linkAddress(entry), world.linkedStoreAddress()
		}
		seeds = append(seeds, fmt.Sprintf("%q", address+":8166"))
	}
	return fmt.Sprintf(`NodeName = "%s-%d"
Role = "%s"
MachineClass = "%s"
Ip = "%s"
Zone = "%s"
Region = "khomas"
InternalPortRange = [7720,7735]
Seeds = [%s]
Bootstrap = true
HeartbeatMs = %d
ControlMode = "rpc"
%s[BindAddresses]
%s[Limits]
MemoryMb = %d
FileDescriptors = %d
[Bounds]
ContactMs = %d
GraceS = %d
HoldMaxMs = %d
StopTimeoutMs = %d
ImpactMs = 4000
RemoteFactor = 1.5
RestoreMs = 100
[platform]
Address = "%s"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TransactionMs = 5.0
PartitionWritesS = 200
RowBytes = 65536
`, class, number, role, class, ip, world.zone(number), strings.Join(seeds, ","), world.heartbeat, extra, bind, memory, descriptors,
		world.contact, world.graceS, world.holdMax, world.stopTimeout, store)
}

func (world *world) startDaemon(role string, number int) {
	name := fmt.Sprintf("%s-%d", role, number)
	path := filepath.Join(world.temp, name+".toml")
	if err := os.WriteFile(path, []byte(world.settings(role, number)), 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(world.temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	command := exec.Command("target/hyssopjunction", role)
	command.Env = []string{"HYSSOPJUNCTION_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + world.temp}
	command.Stdout, command.Stderr = log, log
	world.launch(name, command)
	_ = log.Close()
}

func (world *world) launch(name string, command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannotRun("%s: %v", name, err)
	}
	ended := make(chan struct{})
	world.mu.Lock()
	world.processes[name], world.ended[name] = command, ended
	world.mu.Unlock()
	world.note("%s: started", name)
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// signal sends a signal to a process that the test started.
func (world *world) signal(name string, signal syscall.Signal) {
	world.mu.Lock()
	command, ended := world.processes[name], world.ended[name]
	world.mu.Unlock()
	world.note("%s: %s", name, signal)
	_ = command.Process.Signal(signal)
	if signal == syscall.SIGKILL {
		<-ended
	}
}

// startRunner starts the runner beside an agent. Its time of day differs by clockStep milliseconds.
func (world *world) startRunner(number, clockStep int) {
	world.mu.Lock()
	world.lives[number]++
	life := world.lives[number]
	world.mu.Unlock()
	name := fmt.Sprintf("runner-%d", number)
	executable, err := os.Executable()
	if err != nil {
		cannotRun("%v", err)
	}
	command := exec.Command(executable, "runner", "-id", fmt.Sprintf("i-%d-%d", number, life), "-service", service, "-zone", world.zone(number),
		"-listen", world.agentAddress(number)+":8080", "-control", world.agentAddress(number)+":8166", "-labels", strings.Join(world.workers[number], ","),
		"-hold-max", fmt.Sprint(world.holdMax), "-stop-timeout", fmt.Sprint(world.stopTimeout), "-beat", fmt.Sprint(world.heartbeat),
		"-cpu", fmt.Sprint(world.coresMilli), "-clock-step", fmt.Sprint(clockStep), fmt.Sprintf("-suspends=%t", number == world.proxied))
	output, err := command.StdoutPipe()
	if err != nil {
		cannotRun("%v", err)
	}
	command.Stderr = os.Stderr
	world.launch(name, command)
	go func() {
		scanner := bufio.NewScanner(output)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			var event runnerEvent
			if json.Unmarshal(scanner.Bytes(), &event) != nil {
				continue
			}
			world.mu.Lock()
			world.events = append(world.events, event)
			world.mu.Unlock()
			switch event.Event {
			case "start":
				world.note("%s (%s): started %s run %d", name, event.Runner, event.Task, event.Run)
			case "end":
				world.note("%s (%s): run %d of %s ended %s (end %d)", name, event.Runner, event.Run, event.Task, event.How, event.Seen)
			case "up":
				world.note("%s (%s): up, born %d", name, event.Runner, event.Born)
			case "noted":
				world.note("%s (%s): ends up to %d noted", name, event.Runner, event.Seen)
			default:
				world.note("%s (%s): %s %s", name, event.Runner, event.Event, event.Detail)
			}
		}
	}()
}

// recorded returns the events of runners so far.
func (world *world) recorded() []runnerEvent {
	world.mu.Lock()
	defer world.mu.Unlock()
	return append([]runnerEvent(nil), world.events...)
}

// answer is the answer to a caller.
type answer struct {
	status int
	body   string
	err    error
}

func (answer answer) String() string {
	if answer.err != nil {
		return "no answer: " + answer.err.Error()
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", answer.status, answer.body))
}

// pathOf returns the path of a job: its id in the queue sheets, or a whole path.
func pathOf(id string) string {
	if strings.HasPrefix(id, "/") {
		return id
	}
	return prefix + id
}

var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of a consumer at an entry.
func (world *world) call(entry int, method, id, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+world.entryAddress(entry)+":8161"+pathOf(id), bytes.NewReader([]byte(body)))
	if err != nil {
		cannotRun("%v", err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Hyssopjunction-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	world.note("consumer: %s %s at entry-%d %s", method, id, entry, body)
	result := answer{}
	response, err := callers.Do(request)
	if err != nil {
		result.err = err
	} else {
		data, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		result.status, result.body = response.StatusCode, string(data)
	}
	world.note("consumer: %s %s at entry-%d: %s", method, id, entry, result)
	return result
}

// insist repeats a call at one entry after the other until one answers with success, as consumers do after no answer.
func (world *world) insist(method, id, body string, patience time.Duration) answer {
	deadline := time.Now().Add(patience)
	last := answer{err: errors.New("not sent")}
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		last = world.call(attempt%world.entries, method, id, body, 3*time.Second)
		if last.err == nil && last.status/100 == 2 {
			return last
		}
		time.Sleep(300 * time.Millisecond)
	}
	return last
}

// state returns the state of a job as an entry shows it.
func (world *world) state(id string) string {
	shown := world.insist(http.MethodGet, id, "", 6*time.Second)
	var body struct{ State string }
	_ = json.Unmarshal([]byte(shown.body), &body)
	return body.State
}

func (world *world) sleep(duration time.Duration) { time.Sleep(duration) }

// waitFor waits until a condition holds and reports whether it does.
func (world *world) waitFor(limit time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if holds() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return holds()
}

// started returns the starts of tasks of a job.
func (world *world) started(id string) []runnerEvent {
	var starts []runnerEvent
	for _, event := range world.recorded() {
		if event.Event == "start" && strings.HasPrefix(event.Task, id+".") {
			starts = append(starts, event)
		}
	}
	return starts
}

// await submits a first job and waits until it is complete, so that the deployment is known to work.
func (world *world) await() {
	const id = "00000000000000aa"
	body := `{"Spec":"100","Steps":[{"Count":1,"Cpu":500,"MemoryLimitMb":64,"EstimatedMs":100}]}`
	if accepted := world.insist(http.MethodPost, id, body, 20*time.Second); accepted.status/100 != 2 {
		cannotRun("the first job was not accepted: %s", accepted)
	}
	if !world.waitFor(20*time.Second, func() bool { return world.state(id) == "completed" }) {
		cannotRun("the first job was not completed")
	}
}

// close ends all processes and returns when they have ended.
func (world *world) close() {
	world.mu.Lock()
	processes, ended := world.processes, world.ended
	world.mu.Unlock()
	for _, command := range processes {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
	}
	for _, channel := range ended {
		<-channel
	}
	if world.server != nil {
		_ = world.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(world.temp)
	} else {
		fmt.Println("logs:", world.temp)
	}
	_ = world.record.Close()
}
