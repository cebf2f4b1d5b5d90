package bench

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/pprof"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/cmd"
	"hyssopjunction/operator"
)

// runEnv is the environment variable that makes the test binary run the program, so that a daemon can
// be measured as a separate process without another build.
const runEnv = "HYSSOPJUNCTION_BENCH_RUN"

// profileEnv is the environment variable with the name of a file to which that process writes a CPU
// profile. The profile covers 15 s and begins profileDelay after the start, when the load is steady.
const (
	profileEnv   = "HYSSOPJUNCTION_BENCH_PROFILE"
	profileDelay = 12 * time.Second
)

// extraVariableEnv is the environment variable with an additional variable for that process, such as
// "GOMAXPROCS=2".
const extraVariableEnv = "HYSSOPJUNCTION_BENCH_ENV"

// loopbackToken is the operators' token that an entry without a tokens file accepts.
const loopbackToken = "loopback-operators-need-no-secret"

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		if name := os.Getenv(profileEnv); name != "" {
			go profileProcess(name)
		}
		os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// profileProcess writes the CPU profile of this process to the file.
func profileProcess(name string) {
	time.Sleep(profileDelay)
	file, err := os.Create(name)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	if pprof.StartCPUProfile(file) == nil {
		time.Sleep(15 * time.Second)
		pprof.StopCPUProfile()
	}
}

// process is an entry that runs as a separate process with production times.
type process struct {
	control, operator, metrics string
	pid                        int
}

// startProcess starts an entry as a separate process on its own loopback address.
func (fleet *fleet) startProcess() process {
	// The address depends on the process ID, so that two versions can be measured at the same time.
	pid := os.Getpid()
	host := fmt.Sprintf("127.77.%d.%d", pid>>8&0xff, pid&0xff)
	process := process{control: host + ":7012", operator: host + ":7011", metrics: host + ":7013"}
	settings := fmt.Sprintf(`[Identity]
Name = "entry-00"
Region = %q
DataCentre = %q
[Listen]
Caller = "%s:7010"
Operator = %q
Control = %q
[Table]
URL = %q
GroupMillis = 3
[Tasks]
RoundMillis = 250
HeartbeatMillis = 4000
[Config]
PollMillis = 2000
[Metrics]
Listen = %q
[Log]
Level = "Info"
`, region, centres[0], host, process.operator, process.control, fleet.platformAddress, process.metrics)
	name := filepath.Join(fleet.tb.TempDir(), "entry.toml")
	fleet.must(os.WriteFile(name, []byte(settings), 0o600))
	binary, err := os.Executable()
	fleet.must(err)
	daemon := exec.Command(binary, "entry", "--config", name)
	daemon.Env = append(os.Environ(), runEnv+"=1")
	if extra := os.Getenv(extraVariableEnv); extra != "" {
		daemon.Env = append(daemon.Env, extra)
	}
	fleet.must(daemon.Start())
	process.pid = daemon.Process.Pid
	fleet.stop = append(fleet.stop, func() {
		_ = daemon.Process.Signal(syscall.SIGKILL)
		_ = daemon.Wait()
	})
	fleet.until("entry process listens", func() bool {
		conn, err := net.Dial("tcp", process.control)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	return process
}

// resourceUsage returns the processor time in seconds and the resident memory in bytes of the process,
// both from its metrics page.
func (process process) resourceUsage(b testing.TB) (seconds, resident float64) {
	b.Helper()
	response, err := http.Get("http://" + process.metrics + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value, _ := strconv.ParseFloat(text, 64)
		switch name {
		case "process_cpu_seconds_total":
			seconds = value
		case "process_resident_memory_bytes":
			resident = value
		}
	}
	return seconds, resident
}

// voluntarySwitches returns how often threads of the process have gone to sleep, which measures the
// cost of wakeups. Other load on the machine affects it less than the processor time.
func (process process) voluntarySwitches(b testing.TB) float64 {
	b.Helper()
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", process.pid))
	if err != nil {
		b.Fatal(err)
	}
	total := 0.0
	for _, name := range names {
		data, _ := os.ReadFile(name)
		_, text, _ := strings.Cut(string(data), "\nvoluntary_ctxt_switches:")
		text, _, _ = strings.Cut(text, "\n")
		count, _ := strconv.ParseFloat(strings.TrimSpace(text), 64)
		total += count
	}
	return total
}

// BenchmarkEntryProcess measures the processor time and resident memory of one entry in a separate
// process, with 12 standing tasks per worker, against the number of agents. The baselines are the
// targets of 1.1% of a core and 128 MB.
func BenchmarkEntryProcess(b *testing.B) {
	for _, agents := range selectSizes(1, 10, 25, 50) {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			for range b.N {
				fleet := newFleet(b, agents)
				process := fleet.startProcess()
				for range agents {
					fleet.startAgent([]string{process.control})
				}
				fleet.awaitLeases()
				operators, err := operator.NewClient(operator.ClientSettings{
					Entries: []string{process.operator}, Token: loopbackToken, TimeoutMillis: 10 * clock.Second,
				})
				fleet.must(err)
				fleet.configure(operators)
				fleet.submit(operators, "standing", agents*tasksPerWorker)
				fleet.until("all tasks run", func() bool { return fleet.countTasks() == agents*tasksPerWorker })
				<-fleet.clock.After(5 * clock.Second)
				before, _ := process.resourceUsage(b)
				voluntarySwitches := process.voluntarySwitches(b)
				start := time.Now()
				<-fleet.clock.After(observationTime())
				after, resident := process.resourceUsage(b)
				b.ReportMetric((process.voluntarySwitches(b)-voluntarySwitches)/time.Since(start).Seconds(), "sleeps/s")
				core := 100 * (after - before) / time.Since(start).Seconds()
				b.ReportMetric(core, "%core")
				b.ReportMetric(resident/1e6, "resident-MB")
				b.ReportMetric(core/1.1, "core/target/baseline")
				b.ReportMetric(resident/128e6, "memory/target/baseline")
				// The cost of a start includes its share of the submission and the end of the task.
				const starts = 1000
				start = time.Now()
				before, _ = process.resourceUsage(b)
				fleet.runShort(operators, starts)
				<-fleet.clock.After(12 * clock.Second)
				after, _ = process.resourceUsage(b)
				restSeconds := core / 100 * time.Since(start).Seconds()
				fleet.assertFinished(operators, starts/10)
				b.ReportMetric((after-before-restSeconds)*1e6/starts, "us/start")
				fleet.close()
			}
		})
	}
}

// runShort submits batch tasks that run 500 ms, in jobs of 10 tasks.
func (fleet *fleet) runShort(operators *operator.Client, tasks int) {
	for index := range tasks / 10 {
		_, err := operators.SubmitJob(context.Background(), shortJob(fmt.Sprintf("short-%d", index)))
		fleet.must(err)
	}
}
