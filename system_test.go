package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/cmd"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
	"hyssopjunction/standalone"
	"hyssopjunction/standin"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

const (
	// runEnv is the environment variable that makes the test binary run the program instead of the
	// tests, so that tests can start daemons as processes without another build.
	runEnv = "HYSSOPJUNCTION_RUN"
	// testTimeout ends a test whose system doesn't reach an awaited state.
	testTimeout = 150 * time.Second
	// agentCount is the number of agents in defaultLayout.
	agentCount    = 6
	loopbackToken = operator.LoopbackToken
)

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// layout describes the daemons of a system.
type layout struct {
	entries, agents int
	// extraSection returns additional settings for the daemon with the name, and may be nil.
	extraSection func(name string) string
	// authority issues the certificates. If it is nil, the daemons don't encrypt.
	authority *authority
	// token is the operators' token. If it is empty, loopbackToken is used.
	token string
}

// defaultLayout is the layout of a small system without encryption.
var defaultLayout = layout{entries: 2, agents: agentCount}

// system runs a stand-in, entries and agents as processes on loopback.
type system struct {
	layout
	t   *testing.T
	ctx context.Context
	// dir holds the settings and log files.
	dir string
	// platformAddress is the address of the stand-in.
	platformAddress string
	// callerAPIs and operatorAPIs are the addresses of the entries' APIs.
	callerAPIs []string
	// entryControls and agentControls are the gRPC addresses of the entries and agents.
	entryControls []string
	agentControls []string
	operatorAPIs  []string
	processes     map[string]*exec.Cmd
	operators     *operator.Client
	caller        *standalone.Caller
	standInClient *standin.Client
	results       []standalone.Result
	// addressCount is the number of addresses that freeAddress has returned.
	addressCount int
	// lastError is the last error seen while waiting. It is printed if the test times out.
	lastError error
}

// newSystem starts and configures a system with the layout, and stops it at the end of the test.
func newSystem(t *testing.T, layout layout) *system {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	if layout.token == "" {
		layout.token = loopbackToken
	}
	system := &system{layout: layout, t: t, ctx: ctx, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, caller: standalone.NewCaller()}
	t.Cleanup(system.caller.Close)
	t.Cleanup(system.stopAll)
	system.writeSettings()
	system.start("standin", "standin", "serve")
	system.standInClient = standin.NewClient("http://"+system.platformAddress, &http.Client{Timeout: 10 * time.Second})
	system.await("the stand-in", func() bool {
		_, err := system.standInClient.Faults(ctx)
		return err == nil
	})
	for index := range system.entries {
		system.start(fmt.Sprintf("entry-%d", index), "entry")
	}
	for index := range system.agents {
		system.start(fmt.Sprintf("agent-%d", index), "agent")
	}
	system.operators = system.operatorClient(system.operatorAPIs...)
	system.configure()
	return system
}

// operatorClient returns a client of the operators' API of the entries at the addresses.
func (system *system) operatorClient(addresses ...string) *operator.Client {
	system.t.Helper()
	settings := operator.ClientSettings{Entries: addresses, Token: system.token, TimeoutMillis: 5 * clock.Second}
	if system.authority != nil {
		settings.TLS = system.authority.clientConfig()
	}
	client, err := operator.NewClient(settings)
	system.must(err)
	return client
}

func (system *system) must(err error) {
	system.t.Helper()
	if err != nil {
		system.t.Fatal(err)
	}
}

// await polls until the condition holds. Only testTimeout limits how long that takes, so that results
// don't depend on the speed of the machine.
func (system *system) await(state string, condition func() bool) {
	system.t.Helper()
	for !condition() {
		if system.ctx.Err() != nil {
			system.t.Fatalf("timed out waiting for %s; last error: %v", state, system.lastError)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// freeAddress returns a new address in the loopback range. It doesn't return free ports of 127.0.0.1,
// because outgoing connections use that address and could take such a port in the meantime.
func (system *system) freeAddress() string {
	const port = 7000
	system.addressCount++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>8&0x7f, pid&0xff, system.addressCount, port)
}

// run runs a subcommand to its end and returns its two outputs and its exit code.
func (system *system) run(args ...string) (out, log string, code int) {
	system.t.Helper()
	return runProgram(system.ctx, system.t, args...)
}

// runProgram runs the program as a process to its end and returns its two outputs and its exit code.
func runProgram(ctx context.Context, t *testing.T, args ...string) (out, log string, code int) {
	t.Helper()
	process := exec.CommandContext(ctx, os.Args[0], args...)
	process.Env = append(os.Environ(), runEnv+"=1")
	var outText, logText bytes.Buffer
	process.Stdout, process.Stderr = &outText, &logText
	if err := process.Run(); err != nil && process.ProcessState == nil {
		t.Fatal(err)
	}
	return outText.String(), logText.String(), process.ProcessState.ExitCode()
}

// start starts a daemon with the settings file and the log file of its name.
func (system *system) start(name string, command ...string) {
	system.t.Helper()
	log, err := os.OpenFile(filepath.Join(system.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	system.must(err)
	defer func() { _ = log.Close() }()
	process := exec.Command(os.Args[0], append(command, "--config", filepath.Join(system.dir, name+".toml"))...)
	process.Env = append(os.Environ(), runEnv+"=1")
	process.Stdout, process.Stderr = log, log
	system.must(process.Start())
	system.processes[name] = process
}

func (system *system) signal(name string, signal syscall.Signal) {
	system.t.Helper()
	system.must(system.processes[name].Process.Signal(signal))
}

// kill ends a process with SIGKILL.
func (system *system) kill(name string) {
	process := system.processes[name]
	delete(system.processes, name)
	_ = process.Process.Kill()
	_ = process.Wait()
}

// terminate ends a process with SIGTERM and returns its exit error.
func (system *system) terminate(name string) error {
	process := system.processes[name]
	delete(system.processes, name)
	_ = process.Process.Signal(syscall.SIGTERM)
	return process.Wait()
}

func (system *system) stopAll() {
	if system.t.Failed() {
		system.printLogs()
	}
	for name := range system.processes {
		_ = system.processes[name].Process.Signal(syscall.SIGCONT)
		system.kill(name)
	}
}

// printLogs prints the end of each daemon's log.
func (system *system) printLogs() {
	const maxLogBytes = 2000
	for name := range system.processes {
		text, err := os.ReadFile(filepath.Join(system.dir, name+".log"))
		if err == nil {
			system.t.Logf("%s: %s", name, text[max(0, len(text)-maxLogBytes):])
		}
	}
}

// configure takes the data centres in, creates the team and the services, and waits until all entries
// know all agents.
func (system *system) configure() {
	system.await("the configuration to be accepted", func() bool {
		for index := range 3 {
			change := operator.DataCentreChange{DataCentre: ident.DataCentre(fmt.Sprintf("khomas-%d", index)), State: operator.In}
			if _, err := system.operators.SetDataCentre(system.ctx, change); err != nil {
				system.lastError = err
				return false
			}
		}
		quota := unit.Resources{CPU: 96_000, Memory: 360 << 10}
		if _, err := system.operators.SetTeam(system.ctx, operator.TeamChange{Team: "contest", Quota: quota}); err != nil {
			system.lastError = err
			return false
		}
		for service, idempotent := range map[ident.Service]bool{"checks": true, "entries": false} {
			change := operator.ServiceChange{Service: service, Team: "contest", Idempotent: idempotent, PatienceMillis: 5000}
			if _, err := system.operators.SetService(system.ctx, change); err != nil {
				system.lastError = err
				return false
			}
		}
		return true
	})
	system.await("all agents at all entries", func() bool {
		for _, address := range system.operatorAPIs {
			status, err := system.operatorClient(address).Status(system.ctx)
			if err != nil || status.Workers != system.agents || status.Services != 2 {
				return false
			}
		}
		return true
	})
}

// setTableFaults replaces the faults of the stand-in's table.
func (system *system) setTableFaults(faults standin.StoreFaults) {
	system.t.Helper()
	text, err := json.Marshal(faults)
	system.must(err)
	_, err = system.standInClient.Change(system.ctx, standin.FaultChange{Table: text})
	system.must(err)
}

func (system *system) submit(name ident.Job, tasks int, run clock.Millis) {
	system.t.Helper()
	system.await("job "+string(name)+" to be accepted", func() bool {
		_, err := system.operators.SubmitJob(system.ctx, operator.JobSubmission{
			Job: name, Team: "contest", Class: "layout", Kind: worker.Batch, Tasks: tasks,
			Resources: unit.Resources{CPU: 1000, Memory: 1024},
			Payload:   standin.Payload{RunMillis: run, Class: "layout"}.String(),
		})
		return err == nil
	})
}

func (system *system) awaitJob(name ident.Job) {
	system.t.Helper()
	system.await("job "+string(name)+" to finish", func() bool {
		state, err := system.operators.Job(system.ctx, name)
		return err == nil && state.State == "Finished"
	})
}

// send sends requests to the addresses round-robin, alternating between those with a key and those
// without, and returns their results.
func (system *system) send(prefix string, count int, addresses []string) []standalone.Result {
	var calls []standalone.Call
	for index := range count {
		call := standalone.Call{Service: "checks", Team: "contest", Patience: 5000, Body: fmt.Sprintf("%s %d", prefix, index)}
		if index%2 == 0 {
			call.Service, call.Key = "entries", ident.Key(fmt.Sprintf("%s-%d", prefix, index))
		}
		calls = append(calls, call)
	}
	results := system.caller.SendAll(system.ctx, addresses, calls, 8)
	system.results = append(system.results, results...)
	return results
}

// assertClean checks the stand-in's records for violations and the results for answers that belong to
// a different request.
func (system *system) assertClean() {
	system.t.Helper()
	report, err := system.standInClient.Records(system.ctx, false, false)
	system.must(err)
	if report.HasViolations() {
		text, _ := json.MarshalIndent(report, "", " ")
		system.t.Errorf("the records show violations: %s", text)
	}
	for _, result := range system.results {
		if result.Crossed {
			system.t.Errorf("request %s received another request's answer", result.Request)
		}
	}
}

// getStatus sends a GET request with a bearer token and returns the HTTP status.
func (system *system) getStatus(t *testing.T, url, token string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(system.ctx, http.MethodGet, url, nil)
	system.must(err)
	request.Header.Set("Authorization", "Bearer "+token)
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	system.must(err)
	system.must(response.Body.Close())
	return response.StatusCode
}

// listens reports whether a server accepts connections at the address.
func (system *system) listens(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		system.lastError = err
		return false
	}
	system.must(connection.Close())
	return true
}
