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
	// runEnv makes the test binary run the program instead of the tests, so that tests can start
	// daemons as processes without another build.
	runEnv = "HYSSOPJUNCTION_RUN"
	// processBound ends a test whose system does not reach the awaited state.
	processBound = 150 * time.Second
	// agentCount is the number of agents of defaultShape.
	agentCount = 6
	token      = operator.LoopbackToken
)

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// shape is what a system consists of.
type shape struct {
	entries, agents int
	// section returns additional settings of a daemon.
	section func(name string) string
	// authority issues the certificates; without one the daemons do not encrypt.
	authority *authority
	// token is the operators' token; empty is the one of loopback.
	token string
}

// defaultShape is a small system without encryption.
var defaultShape = shape{entries: 2, agents: agentCount}

// system is a stand-in, entries and agents as processes on loopback.
type system struct {
	shape
	t        *testing.T
	ctx      context.Context
	dir      string
	platform string
	callers  []string
	// controls and agentControls are the gRPC addresses of the entries and agents.
	controls      []string
	agentControls []string
	operators     []string
	processes     map[string]*exec.Cmd
	client        *operator.Client
	caller        *standalone.Caller
	standIn       *standin.Client
	results       []standalone.Result
	addresses     int
	// last is the last error met while waiting, for the message of a test that gives up.
	last error
}

func newSystem(t *testing.T, shape shape) *system {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), processBound)
	t.Cleanup(cancel)
	if shape.token == "" {
		shape.token = token
	}
	made := &system{shape: shape, t: t, ctx: ctx, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, caller: standalone.NewCaller()}
	t.Cleanup(made.caller.Close)
	t.Cleanup(made.stopAll)
	made.writeSettings()
	made.start("standin", "standin", "serve")
	made.standIn = standin.NewClient("http://"+made.platform, &http.Client{Timeout: 10 * time.Second})
	made.await("the stand-in", func() bool {
		_, err := made.standIn.Faults(ctx)
		return err == nil
	})
	for index := range made.entries {
		made.start(fmt.Sprintf("entry-%d", index), "entry")
	}
	for index := range made.agents {
		made.start(fmt.Sprintf("agent-%d", index), "agent")
	}
	made.client = made.operatorClient(made.operators...)
	made.configure()
	return made
}

// operatorClient returns a client of the operators' API at the addresses.
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

// await polls until the state is reached. Verdicts never depend on how long it takes.
func (system *system) await(awaited string, reached func() bool) {
	system.t.Helper()
	for !reached() {
		if system.ctx.Err() != nil {
			system.t.Fatalf("timed out waiting for %s; last error: %v", awaited, system.last)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// freeAddress returns an address of its own in the loopback range. Ports of 127.0.0.1 that were free
// a moment ago are taken now and then by outgoing connections, which use that address.
func (system *system) freeAddress() string {
	const port = 7000
	system.addresses++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>8&0x7f, pid&0xff, system.addresses, port)
}

// run runs a subcommand to its end and returns its outputs and exit code.
func (system *system) run(args ...string) (out, log string, code int) {
	system.t.Helper()
	return runProgram(system.ctx, system.t, args...)
}

// runProgram runs the program as a process to its end.
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

// start runs a daemon whose settings and log are named like it.
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

// kill ends a process without notice.
func (system *system) kill(name string) {
	process := system.processes[name]
	delete(system.processes, name)
	_ = process.Process.Kill()
	_ = process.Wait()
}

// terminate ends a process gracefully and returns its exit error.
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
	const kept = 2000
	for name := range system.processes {
		text, err := os.ReadFile(filepath.Join(system.dir, name+".log"))
		if err == nil {
			system.t.Logf("%s: %s", name, text[max(0, len(text)-kept):])
		}
	}
}

// configure makes the operators' settings and waits until all daemons are present.
func (system *system) configure() {
	system.await("the configuration to be accepted", func() bool {
		for index := range 3 {
			change := operator.DataCentreChange{DataCentre: ident.DataCentre(fmt.Sprintf("khomas-%d", index)), State: operator.In}
			if _, err := system.client.SetDataCentre(system.ctx, change); err != nil {
				system.last = err
				return false
			}
		}
		quota := unit.Resources{CPU: 96_000, Memory: 360 << 10}
		if _, err := system.client.SetTeam(system.ctx, operator.TeamChange{Team: "contest", Quota: quota}); err != nil {
			system.last = err
			return false
		}
		for service, idempotent := range map[ident.Service]bool{"checks": true, "entries": false} {
			change := operator.ServiceChange{Service: service, Team: "contest", Idempotent: idempotent, PatienceMillis: 5000}
			if _, err := system.client.SetService(system.ctx, change); err != nil {
				system.last = err
				return false
			}
		}
		return true
	})
	system.await("all agents at both entries", func() bool {
		for _, address := range system.operators {
			status, err := system.operatorClient(address).Status(system.ctx)
			if err != nil || status.Workers != system.agents || status.Services != 2 {
				return false
			}
		}
		return true
	})
}

// setTable replaces the faults of the stand-in's table.
func (system *system) setTable(faults standin.StoreFaults) {
	system.t.Helper()
	text, err := json.Marshal(faults)
	system.must(err)
	_, err = system.standIn.Change(system.ctx, standin.FaultChange{Table: text})
	system.must(err)
}

func (system *system) submit(name ident.Job, tasks int, run clock.Millis) {
	system.t.Helper()
	system.await("job "+string(name)+" to be accepted", func() bool {
		_, err := system.client.SubmitJob(system.ctx, operator.JobSubmission{
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
		state, err := system.client.Job(system.ctx, name)
		return err == nil && state.State == "Finished"
	})
}

// send sends keyed submissions and checks in turn to the addresses.
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

// assertClean checks what callers received against what the stand-in's processes recorded.
func (system *system) assertClean() {
	system.t.Helper()
	report, err := system.standIn.Records(system.ctx, false, false)
	system.must(err)
	if report.Any() {
		text, _ := json.MarshalIndent(report, "", " ")
		system.t.Errorf("the records show violations: %s", text)
	}
	for _, result := range system.results {
		if result.Crossed {
			system.t.Errorf("request %s received another request's answer", result.Request)
		}
	}
}

// get returns the status of a GET request with a bearer token.
func (system *system) get(t *testing.T, url, token string) int {
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

// listens reports whether a server accepts connections at address.
func (system *system) listens(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		system.last = err
		return false
	}
	system.must(connection.Close())
	return true
}
