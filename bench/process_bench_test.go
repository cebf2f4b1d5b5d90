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
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/cmd"
	"hyssopjunction/operator"
)

// runEnv makes the test binary run the program, so that one daemon can be measured as a process of
// its own without another build.
const runEnv = "HYSSOPJUNCTION_BENCH_RUN"

// loopbackToken is accepted by an entry without a tokens file.
const loopbackToken = "loopback-operators-need-no-secret"

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is an entry daemon as a process with production times.
type process struct {
	control, operator, metrics string
}

// startProcess starts an entry as a process on a loopback address of its own.
func (fleet *fleet) startProcess() process {
	const host = "127.77.7.7"
	started := process{control: host + ":7012", operator: host + ":7011", metrics: host + ":7013"}
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
PollMillis = 1000
[Metrics]
Listen = %q
[Log]
Level = "Info"
`, region, centres[0], host, started.operator, started.control, fleet.address, started.metrics)
	name := filepath.Join(fleet.b.TempDir(), "entry.toml")
	fleet.check(os.WriteFile(name, []byte(settings), 0o600))
	binary, err := os.Executable()
	fleet.check(err)
	daemon := exec.Command(binary, "entry", "--config", name)
	daemon.Env = append(os.Environ(), runEnv+"=1")
	fleet.check(daemon.Start())
	fleet.stop = append(fleet.stop, func() {
		_ = daemon.Process.Signal(syscall.SIGKILL)
		_ = daemon.Wait()
	})
	fleet.until("entry process listens", func() bool {
		conn, err := net.Dial("tcp", started.control)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	return started
}

// used returns the processor seconds and resident bytes of the process from its metrics page.
func (process process) used(b testing.TB) (seconds, resident float64) {
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

// BenchmarkEntryProcess measures processor time and resident memory of one entry as a process of its
// own, at rest with 12 tasks a worker, against the number of agents. The baselines are the targets
// of 1.1% of a core and 128 MB.
func BenchmarkEntryProcess(b *testing.B) {
	for _, agents := range []int{10, 25, 50} {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			for range b.N {
				fleet := newFleet(b, agents)
				started := fleet.startProcess()
				for range agents {
					fleet.startAgent([]string{started.control})
				}
				fleet.ready()
				operators, err := operator.NewClient(operator.ClientSettings{
					Entries: []string{started.operator}, Token: loopbackToken, TimeoutMillis: 10 * clock.Second,
				})
				fleet.check(err)
				fleet.configure(operators)
				fleet.submit(operators, "standing", agents*tasksPerWorker)
				fleet.until("all tasks run", func() bool { return fleet.tasks() == agents*tasksPerWorker })
				<-fleet.time.After(5 * clock.Second)
				before, _ := started.used(b)
				began := time.Now()
				<-fleet.time.After(window)
				after, resident := started.used(b)
				core := 100 * (after - before) / time.Since(began).Seconds()
				b.ReportMetric(core, "%core")
				b.ReportMetric(resident/1e6, "resident-MB")
				b.ReportMetric(core/1.1, "core/target/baseline")
				b.ReportMetric(resident/128e6, "memory/target/baseline")
				// What a start adds includes its share of the submission and its end.
				const starts = 1000
				began = time.Now()
				before, _ = started.used(b)
				fleet.runShort(operators, starts)
				<-fleet.time.After(12 * clock.Second)
				after, _ = started.used(b)
				rest := core / 100 * time.Since(began).Seconds()
				fleet.finished(operators, starts/10)
				b.ReportMetric((after-before-rest)*1e6/starts, "us/start")
				fleet.close()
			}
		})
	}
}

// runShort submits batch tasks of 500 ms in jobs of 10.
func (fleet *fleet) runShort(operators *operator.Client, tasks int) {
	for index := range tasks / 10 {
		_, err := operators.SubmitJob(context.Background(), shortJob(fmt.Sprintf("short-%d", index)))
		fleet.check(err)
	}
}
