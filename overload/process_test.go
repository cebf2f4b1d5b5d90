package overload

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hyssopjunction/standin/platformtest"
)

const (
	host = "desk.example"
	// maxBodyBytes and maxHeaderBytes are the limits of the operators' configuration.
	maxBodyBytes   = 262_144
	maxHeaderBytes = 16_384
	// entryIP and agentIP are the addresses of the processes. Their connections are found by them.
	entryIP = "127.49.0.11"
	agentIP = "127.49.0.31"
	// sampleInterval is the pause between two readings of a process's use.
	sampleInterval = 25 * time.Millisecond
	// patience bounds the wait for something that does not depend on the verdict.
	patience = 60 * time.Second
)

// limits are the limits of a process, as its settings state them.
type limits struct {
	memoryMb    int64
	descriptors int
}

// programPath is the path of the program that TestMain builds.
var programPath string //nolint:gochecknoglobals // TestMain builds it once for all tests.

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "overload")
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

// use is the highest use of memory and descriptors that was seen.
type use struct {
	bytes       int64
	descriptors int
}

// process is a daemon under test whose use is sampled.
type process struct {
	t       *testing.T
	ip      string
	limits  limits
	command *exec.Cmd
	logPath string
	// ended is closed when the process has ended.
	ended chan struct{}

	mu   sync.Mutex
	peak use
}

// platformFixture is the platform of a process under test: a store with a configuration.
type platformFixture struct {
	store   *platformtest.Store
	address string
}

func newPlatform(t *testing.T) *platformFixture {
	t.Helper()
	fixture := &platformFixture{store: platformtest.NewStore()}
	server := httptest.NewServer(fixture.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	fixture.address = strings.TrimPrefix(server.URL, "http://")
	return fixture
}

// configure writes the operators' configuration.
func (fixture *platformFixture) configure(t *testing.T, version, bodyBytes int) {
	t.Helper()
	value, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "route", "Host": host, "PathPrefix": "/quick/", "TimeoutMs": 3000, "TargetLatencyMs": 250, "Priority": 0,
			"Service": "desk", "MaxAttempts": 2, "SlackFactor": 1.5,
		}},
		"Limits": map[string]any{"MaxBodyBytes": bodyBytes, "MaxHeaderBytes": maxHeaderBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		t.Fatal(err)
	}
	fixture.store.Put("op", "", "config", value)
}

// newEntry starts an entry with the limits and a configuration, and waits until it serves callers.
func newEntry(t *testing.T, limits limits) *process {
	t.Helper()
	fixture := newPlatform(t)
	fixture.configure(t, 1, maxBodyBytes)
	entry := start(t, "entry", entryIP, fixture.address, limits)
	entry.assertServes(t)
	return entry
}

// start starts a process with a role on an address.
func start(t *testing.T, role, ip, storeAddress string, limits limits) *process {
	t.Helper()
	dir := t.TempDir()
	frontend := ""
	if role == "entry" {
		frontend = fmt.Sprintf("Frontend = \"%s:8161\"\n", ip)
	}
	settings := fmt.Sprintf(`NodeName = "%s-1"
Ip = %q
Zone = "zone-1"
Region = "region"
InternalPortRange = [7720, 7735]
Seeds = ["%s:8166"]
ControlMode = "rpc"
app = "127.0.0.1:9"
Service = "desk"
[BindAddresses]
%sReadiness = "%s:8167"
ControlPlane = "%s:8166"
[Limits]
MemoryMb = %d
FileDescriptors = %d
[Bounds]
GraceS = 6
HoldMaxMs = 6000
ImpactMs = 4000
[platform]
Address = %q
WritesPerS = 4000
ReadsPerS = 4000
`, role, ip, entryIP, frontend, ip, ip, limits.memoryMb, limits.descriptors, storeAddress)
	settingsPath := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(settingsPath, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	started := &process{t: t, ip: ip, limits: limits, logPath: filepath.Join(dir, "log"), ended: make(chan struct{})}
	output, err := os.Create(started.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	started.command = exec.Command(programPath, role)
	started.command.Env = append(os.Environ(), "HYSSOPJUNCTION_SETTINGS="+settingsPath)
	started.command.Stdout, started.command.Stderr = output, output
	if err := started.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = started.command.Wait() // Killed processes end with an error.
		close(started.ended)
	}()
	go started.sample()
	t.Cleanup(func() {
		_ = started.command.Process.Kill() // It may have ended.
		<-started.ended
	})
	return started
}

// sample records the highest use until the process ends.
func (process *process) sample() {
	for {
		select {
		case <-process.ended:
			return
		case <-time.After(sampleInterval):
		}
		now := process.use()
		process.mu.Lock()
		process.peak.bytes = max(process.peak.bytes, now.bytes)
		process.peak.descriptors = max(process.peak.descriptors, now.descriptors)
		process.mu.Unlock()
	}
}

// use returns the present use. Received bytes that the process has not read count as its memory, as on the platform.
func (process *process) use() use {
	now := use{bytes: unreadBytes(process.ip)}
	id := process.command.Process.Pid
	if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id)); err == nil {
		if fields := strings.Fields(string(data)); len(fields) > 1 {
			pages, _ := strconv.ParseInt(fields[1], 10, 64) // The kernel writes a number.
			now.bytes += pages * int64(os.Getpagesize())
		}
	}
	now.bytes = max(now.bytes, highestResident(id))
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", id)); err == nil {
		now.descriptors = len(entries)
	}
	return now
}

// highestResident returns the highest resident memory of a process so far, as the kernel recorded it.
func highestResident(id int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64) // The kernel writes a number.
			return kilobytes << 10
		}
	}
	return 0
}

// listenState is the state of listening sockets in /proc/net/tcp, whose queue is not one of bytes.
const listenState = "0A"

// unreadBytes returns the bytes that the kernel holds for sockets on an address of this machine until they are read.
func unreadBytes(ip string) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	parsed := net.ParseIP(ip).To4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", parsed[3], parsed[2], parsed[1], parsed[0])
	total := int64(0)
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], prefix) || fields[3] == listenState {
			continue
		}
		if _, received, ok := strings.Cut(fields[4], ":"); ok {
			count, _ := strconv.ParseInt(received, 16, 64) // The kernel writes a number.
			total += count
		}
	}
	return total
}

// peakUse returns the highest use since the start.
func (process *process) peakUse() use {
	now := process.use()
	process.mu.Lock()
	defer process.mu.Unlock()
	return use{bytes: max(now.bytes, process.peak.bytes), descriptors: max(now.descriptors, process.peak.descriptors)}
}

// callersAddress returns the address at which an entry serves callers.
func (process *process) callersAddress() string { return process.ip + ":8161" }

// metricsAddress returns the address that serves metrics and the product's job API.
func (process *process) metricsAddress() string { return process.ip + ":9180" }

// workersAddress returns the address on which an agent serves its worker.
func (process *process) workersAddress() string { return process.ip + ":8166" }

// call sends a request on a connection of its own and returns the status, or 0 without a response.
func call(address, method, path, body string) int {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // Fails only on a closed connection.
	request, err := http.NewRequest(method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Hyssopjunction-Deadline-Ms", "3000")
	if err := request.Write(conn); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// jobPath returns the path of the numbered job.
func jobPath(number int) string { return fmt.Sprintf("/quick/%016x", number) }

// ordinaryJob is the body of a job of a few kilobytes.
func ordinaryJob() string {
	return `{"Spec":"` + strings.Repeat("s", 3000) + `","Steps":[{"Count":4,"Cpu":500,"MemoryLimitMb":100}]}`
}

// ordinaryNumber is the number of the job that assertServes submits.
const ordinaryNumber = 0xf000_0000_0000

// assertServes fails the test unless an ordinary caller, who repeats a request that got no answer or was refused, gets a job
// stored and its state shown.
func (process *process) assertServes(t *testing.T) {
	t.Helper()
	process.assertAnswer(t, http.MethodPost, ordinaryJob())
	process.assertAnswer(t, http.MethodGet, "")
}

// assertAnswer repeats a request for the ordinary job until it succeeds.
func (process *process) assertAnswer(t *testing.T, method, body string) {
	t.Helper()
	status := 0
	for begun := time.Now(); time.Since(begun) < patience; time.Sleep(100 * time.Millisecond) {
		if status = call(process.callersAddress(), method, jobPath(ordinaryNumber), body); status == http.StatusOK {
			return
		}
	}
	t.Errorf("%s: got status %d at last, want %d", method, status, http.StatusOK)
}

// assertWithinLimits fails the test unless the process lives and has kept to its memory and descriptors.
func (process *process) assertWithinLimits(t *testing.T) {
	t.Helper()
	select {
	case <-process.ended:
		t.Errorf("the process has ended: %s", process.command.ProcessState)
	default:
	}
	peak := process.peakUse()
	t.Logf("peak: %.1f MB of %d, %d descriptors of %d", float64(peak.bytes)/(1<<20), process.limits.memoryMb, peak.descriptors, process.limits.descriptors)
	if want := process.limits.memoryMb << 20; peak.bytes > want {
		t.Errorf("memory: got %d bytes at the peak, want at most %d", peak.bytes, want)
	}
	if peak.descriptors > process.limits.descriptors {
		t.Errorf("descriptors: got %d at the peak, want at most %d", peak.descriptors, process.limits.descriptors)
	}
	if t.Failed() {
		if data, err := os.ReadFile(process.logPath); err == nil {
			lines := strings.Split(string(data), "\n")
			t.Logf("end of its log:\n%s", strings.Join(lines[max(0, len(lines)-12):], "\n"))
		}
	}
}

// stop asks the process to stop.
func (process *process) stop(t *testing.T) {
	t.Helper()
	if err := process.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
}
