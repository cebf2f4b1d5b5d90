package cmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"hyssopjunction/clock"
	"hyssopjunction/cmd"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

const token = "writer-token-of-32-bytes-length!"

// control is a fake Control that answers all calls. It records changes and answers them with err if it is
// set.
type control struct {
	operator.Control
	err   error
	calls []operator.Call
	last  any
}

func (control *control) change(call operator.Call, change any) (operator.Accepted, error) {
	control.calls, control.last = append(control.calls, call), change
	return operator.Accepted{Document: "Document", Version: 42}, control.err
}

func (control *control) Presets(context.Context) (operator.PresetList, error) {
	return operator.PresetList{InForce: "Ordinary", Version: 3, Operator: "ada", Presets: []operator.PresetState{{Preset: "Ordinary"}, {Preset: "Peak"}}}, control.err
}

func (control *control) SetPreset(_ context.Context, call operator.Call, change operator.PresetChange) (operator.Accepted, error) {
	return control.change(call, change)
}

func (control *control) DataCentres(context.Context) (operator.DataCentreList, error) {
	return operator.DataCentreList{DataCentres: []operator.DataCentreState{{DataCentre: "gent", State: operator.Out, Workers: 3}}}, nil
}

func (control *control) SetDataCentre(_ context.Context, call operator.Call, change operator.DataCentreChange) (operator.Accepted, error) {
	return control.change(call, change)
}

func (control *control) Services(context.Context) (operator.ServiceList, error) {
	return operator.ServiceList{Services: []operator.ServiceState{{ServiceChange: operator.ServiceChange{Service: "checks"}}}}, nil
}

func (control *control) SetService(_ context.Context, call operator.Call, change operator.ServiceChange) (operator.Accepted, error) {
	return control.change(call, change)
}

func (control *control) Teams(context.Context) (operator.TeamList, error) {
	return operator.TeamList{Teams: []operator.TeamState{{Team: "amber"}}}, nil
}

func (control *control) SetTeam(_ context.Context, call operator.Call, change operator.TeamChange) (operator.Accepted, error) {
	return control.change(call, change)
}

func (control *control) SubmitJob(_ context.Context, call operator.Call, submission operator.JobSubmission) (operator.JobState, error) {
	_, err := control.change(call, submission)
	return operator.JobState{JobSubmission: submission, State: "Waiting"}, err
}

// Jobs returns two pages of one job each.
func (control *control) Jobs(_ context.Context, filter operator.JobFilter) (operator.JobList, error) {
	name, more := ident.Job("first"), true
	if filter.After == "first" {
		name, more = "second", false
	}
	return operator.JobList{Jobs: []operator.JobState{{JobSubmission: operator.JobSubmission{Job: name}, State: "Running"}}, More: more}, nil
}

func (control *control) Job(_ context.Context, job ident.Job) (operator.JobState, error) {
	return operator.JobState{}, operator.ErrNotFound{Kind: "job", Name: string(job)}
}

func (control *control) ExplainJob(_ context.Context, job ident.Job) (operator.Explanation, error) {
	return operator.Explanation{Job: job, Summary: "no worker has a free accelerator", Refusals: []operator.Refusal{{Reason: "NoAccelerator", Workers: 9}}}, nil
}

func (control *control) CancelJob(_ context.Context, call operator.Call, job ident.Job) (operator.JobState, error) {
	_, err := control.change(call, job)
	return operator.JobState{JobSubmission: operator.JobSubmission{Job: job}, State: "Cancelled"}, err
}

func (control *control) Workers(context.Context, operator.WorkerFilter) (operator.WorkerList, error) {
	return operator.WorkerList{Workers: []operator.WorkerState{{Worker: "w1", Incarnation: 4, State: "Up"}}}, nil
}

func (control *control) DeclareLost(_ context.Context, call operator.Call, loss operator.WorkerLoss) (operator.Accepted, error) {
	return control.change(call, loss)
}

func (control *control) History(context.Context, operator.HistoryFilter) (operator.HistoryList, error) {
	return operator.HistoryList{Changes: []operator.HistoryChange{{Version: 42, Document: "Preset", Operator: "ada"}}}, nil
}

func (control *control) Diff(_ context.Context, from, to ident.Version) (operator.DiffList, error) {
	return operator.DiffList{From: from, To: to, Documents: []operator.DocumentDiff{{Document: "Preset", Before: "Ordinary", After: "Peak"}}}, nil
}

func (control *control) Wait(_ context.Context, version ident.Version, _ clock.Millis) (operator.VersionStatus, error) {
	return operator.VersionStatus{Version: version, Everywhere: version <= 42, Lagging: []string{"entry-2"}}, nil
}

func (control *control) Status(context.Context) (operator.Status, error) {
	return operator.Status{Entry: "entry-1", Preset: "Ordinary"}, nil
}

func newServer(t *testing.T, control operator.Control) *operator.Server {
	t.Helper()
	settings := operator.Defaults()
	settings.Credentials = []operator.Credential{{Operator: "ada", Token: token}}
	server, err := operator.New(settings, control, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	return server
}

func write(t *testing.T, name string, content []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestCtlCommands guards against commands that make the wrong call, print nothing, or with --json print
// anything but one JSON object with Pascal-case keys.
func TestCtlCommands(t *testing.T) {
	fake := &control{}
	server := httptest.NewServer(newServer(t, fake))
	defer server.Close()
	options := []string{"ctl", "--entry", server.URL, "--token-file", write(t, "token", []byte(token+"\n"))}
	size := "--cpu 500 --memory 256"
	for command, want := range map[string]string{
		"preset list":                               "Ordinary",
		"preset set Peak --if-version 3":            "42",
		"datacentre list":                           "gent",
		"datacentre out gent --drain 5m":            "42",
		"datacentre in gent":                        "42",
		"service list":                              "checks",
		"service set checks --team a --patience 1s": "42",
		"team list":                                 "amber",
		"team set amber " + size:                    "42",
		"job submit j --team a --tasks 3 " + size:   "Waiting",
		"job list":                                  "second",
		"job explain j":                             "accelerator",
		"job cancel j":                              "Cancelled",
		"worker list":                               "w1",
		"worker lost w1 --incarnation 4":            "42",
		"config history":                            "ada",
		"config diff 41 42":                         "Peak",
		"config wait 42":                            "42",
		"status":                                    "entry-1",
	} {
		t.Run(command, func(t *testing.T) {
			var out, log bytes.Buffer
			if code := cmd.Run(append(options, strings.Fields(command)...), &out, &log); code != cmd.ExitOK {
				t.Fatalf("exit code %d: %s", code, log.String())
			}
			if !strings.Contains(out.String(), want) {
				t.Fatalf("output %q lacks %q", out.String(), want)
			}
			out.Reset()
			cmd.Run(append(options, append(strings.Fields(command), "--json")...), &out, &log)
			object := map[string]any{}
			if err := json.Unmarshal(out.Bytes(), &object); err != nil || bytes.Count(out.Bytes(), []byte("\n")) != 1 {
				t.Fatalf("no single JSON object: %v: %q", err, out.String())
			}
			for key := range object {
				if key[0] < 'A' || key[0] > 'Z' {
					t.Fatalf("key %q is not in Pascal case", key)
				}
			}
		})
	}
}

// TestCtlSendsOptions guards against options that are parsed but not sent.
func TestCtlSendsOptions(t *testing.T) {
	fake := &control{}
	server := httptest.NewServer(newServer(t, fake))
	defer server.Close()
	run := func(command string) {
		t.Helper()
		var log bytes.Buffer
		if code := cmd.Run(append([]string{"ctl", "--entry", server.URL, "--token", token}, strings.Fields(command)...), &log, &log); code != cmd.ExitOK {
			t.Fatalf("%s: exit code %d: %s", command, code, log.String())
		}
	}
	run("datacentre out gent --drain 90s --reason power --if-version 7 --request key-9")
	want := operator.DataCentreChange{DataCentre: "gent", State: operator.Out, DrainMillis: 90 * clock.Second, Reason: "power", IfVersion: 7}
	if fake.last != want || fake.calls[0].Request != "key-9" {
		t.Errorf("call %+v with %+v, want %+v", fake.calls[0], fake.last, want)
	}
	run("datacentre out gent --lost")
	if fake.last != (operator.DataCentreChange{DataCentre: "gent", State: operator.Lost}) {
		t.Errorf("lost data centre arrives as %+v", fake.last)
	}
	run("worker lost w1 --incarnation 4 --reason burnt")
	if fake.last != (operator.WorkerLoss{Worker: "w1", Incarnation: 4, Reason: "burnt"}) {
		t.Errorf("lost worker arrives as %+v", fake.last)
	}
	run("team set amber --cpu 1 --memory 2 --accelerators 3 --region north")
	if change := fake.last.(operator.TeamChange); change.Region != "north" || change.Quota.Accelerators != 3 {
		t.Errorf("quota arrives as %+v", change)
	}
}

// TestCtlExitCodes guards against exit codes by which scripts cannot distinguish a conflict, a missing
// object, a temporary refusal and a denial.
func TestCtlExitCodes(t *testing.T) {
	fake := &control{}
	server := httptest.NewServer(newServer(t, fake))
	defer server.Close()
	for _, scenario := range []struct {
		name, command string
		err           error
		code          int
		message       string
	}{
		{"conflict", "preset set Peak", operator.ErrConflict{Document: "Preset", Winner: "ben", Version: 9}, cmd.ExitConflict, "ben"},
		{"not found", "job show gone", nil, cmd.ExitNotFound, "gone"},
		{"retry later", "preset set Peak", operator.ErrRetryLater{Reason: "starting"}, cmd.ExitRetry, "starting"},
		{"not in force", "config wait 43 --patience 0s", nil, cmd.ExitRetry, "entry-2"},
		{"unknown outcome", "preset set Peak --request key-5", context.DeadlineExceeded, cmd.ExitFailed, "key-5"},
		{"refused", "preset set Peak", operator.ErrBadRequest{Field: "Preset", Reason: "no such preset"}, cmd.ExitUsage, "no such preset"},
		{"denied", "preset list --token other", nil, cmd.ExitDenied, "denied"},
		{"bad name", "preset set ../x", nil, cmd.ExitUsage, "identifier"},
		{"bad duration", "datacentre out gent --drain soon", nil, cmd.ExitUsage, "duration"},
		{"missing argument", "preset set", nil, cmd.ExitUsage, "PRESET"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			fake.err = scenario.err
			var out, log bytes.Buffer
			args := append([]string{"ctl", "--entry", server.URL, "--token", token}, strings.Fields(scenario.command)...)
			if code := cmd.Run(args, &out, &log); code != scenario.code || !strings.Contains(log.String(), scenario.message) {
				t.Fatalf("exit code %d with %q, want %d with %q", code, log.String(), scenario.code, scenario.message)
			}
			if out.Len() > 0 {
				t.Fatalf("a failed command prints a result: %q", out.String())
			}
		})
	}
}

// TestCtlRejectsUnknownAuthority guards against calls to an entry whose certificate was not signed by a
// trusted authority.
func TestCtlRejectsUnknownAuthority(t *testing.T) {
	server := httptest.NewTLSServer(newServer(t, &control{}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "https://")
	authority := write(t, "ca.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}))
	var log bytes.Buffer
	if code := cmd.Run([]string{"ctl", "--entry", address, "--token", token, "--ca", authority, "status"}, &log, &log); code != cmd.ExitOK {
		t.Errorf("exit code %d: %s", code, log.String())
	}
	if code := cmd.Run([]string{"ctl", "--entry", address, "--token", token, "--tls", "status"}, &log, &log); code == cmd.ExitOK {
		t.Error("an unknown authority is accepted")
	}
}
