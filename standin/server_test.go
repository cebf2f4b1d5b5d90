package standin_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
	"hyssopjunction/worker"
)

// newServer returns a platform with two workers and an endpoint, its server's address, a client and
// the platform's clock.
func newServer(t *testing.T) (platform *standin.Platform, address string, client *http.Client, source *clock.Fake) {
	t.Helper()
	source = clock.NewFake(1_000)
	platform = standin.New(setting.StandIn{
		Simulation: setting.Simulation{TickMillis: 10, ObjectBytes: 100},
		Workers:    []setting.StandInWorker{{Name: "w1", CPU: 2_000, Memory: 2_000}, {Name: "w2", CPU: 2_000, Memory: 2_000}},
		Endpoints:  []setting.StandInEndpoint{{Name: "e1", Service: "checks", Listen: "127.0.0.1:0", Worker: "w1", Class: "checks"}},
	}, source)
	server := httptest.NewServer(standin.NewServer(platform).Handler())
	client = caller(t)
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.Close()
		platform.Close()
	})
	return platform, server.URL, client, source
}

// TestServerFaults guards against a change of faults that is applied in part, that resets faults it
// does not name, or that accepts unknown names or invalid values.
func TestServerFaults(t *testing.T) {
	platform, address, client, _ := newServer(t)
	control := standin.NewClient(address, client)
	change := func(text string) (standin.FaultState, error) {
		var change standin.FaultChange
		assertNoError(t, json.Unmarshal([]byte(text), &change))
		return control.Change(t.Context(), change)
	}
	state, err := change(`{"Table":{"DelayMillis":5},"Workers":{"*":{"UsageLagMillis":7}},"Endpoints":{"e1":{"Silent":true}}}`)
	assertNoError(t, err)
	assertEqual(t, state, platform.Faults())
	state, err = change(`{"Table":{"Outage":true},"Workers":{"w2":{"Paused":true}}}`)
	assertNoError(t, err)
	assertEqual(t, state.Table, standin.StoreFaults{Outage: true, DelayMillis: 5})
	assertEqual(t, state.Workers["w1"], standin.WorkerFaults{UsageLagMillis: 7})
	assertEqual(t, state.Workers["w2"], standin.WorkerFaults{UsageLagMillis: 7, Paused: true})
	assertEqual(t, state.Endpoints["e1"], standin.EndpointFaults{Silent: true})
	for _, bad := range []string{
		`{"Objects":{"Outage":true},"Table":{"LoseRate":2}}`,
		`{"Objects":{"Outage":true},"Workers":{"w9":{}}}`,
		`{"Objects":{"Outage":true},"Endpoints":{"e1":{"Colour":1}}}`,
		`{"Objects":{"Outage":true},"RestartWorkers":["w9"]}`,
	} {
		_, err := change(bad)
		assertEqual(t, standin.IsErrBadFault(err), true)
		state, err := control.Faults(t.Context())
		assertNoError(t, err)
		assertEqual(t, state.Objects, standin.StoreFaults{})
	}
}

// TestServerRecords guards against records that hide a violation, and against a lease that does not
// lapse because no call reaches the worker.
func TestServerRecords(t *testing.T) {
	_, address, client, source := newServer(t)
	control := standin.NewClient(address, client)
	for index, name := range []ident.Worker{"w1", "w2"} {
		runtime := worker.NewHTTP(address, name, client)
		assertNoError(t, runtime.Start(t.Context(), spec(task, ident.Epoch(index+1), standin.Payload{RunMillis: 900}), 1_200))
	}
	source.Advance(300)
	report, err := control.Records(t.Context(), true, true)
	assertNoError(t, err)
	assertEqual(t, report.Now, 1_300)
	assertEqual(t, report.Violations.TwoPlaces, 1)
	assertEqual(t, report.HasViolations(), true)
	assertEqual(t, report.Runs, standin.RunCounts{Started: 2, Stopped: 2, LeaseLapsed: 2, RepeatedMillis: 200})
	assertEqual(t, len(report.RunList), 2)
	summary, err := control.Records(t.Context(), false, false)
	assertNoError(t, err)
	assertEqual(t, len(summary.RunList), 0)
	assertEqual(t, standin.Report{Endpoints: map[ident.Endpoint]standin.EndpointRecords{"e1": {DoubledRuns: 1}}}.HasViolations(), true)
	assertEqual(t, standin.Report{}.HasViolations(), false)
	_, err = standin.NewClient("http://127.0.0.1:1", client).Faults(t.Context())
	assertEqual(t, standin.IsErrNoStandIn(err), true)
}

// TestServeEndsWithContext guards against servers that outlive their context, and against an
// address in use that is not reported.
func TestServeEndsWithContext(t *testing.T) {
	platform, _, _, _ := newServer(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assertNoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- standin.NewServer(platform).Serve(ctx, listener) }()
	go func() { ended <- platform.ServeEndpoints(ctx) }()
	_, err = standin.NewClient("http://"+listener.Addr().String(), caller(t)).Faults(t.Context())
	assertNoError(t, err)
	cancel()
	assertNoError(t, <-ended)
	assertNoError(t, <-ended)

	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	assertNoError(t, err)
	defer func() { _ = occupied.Close() }()
	second := standin.New(setting.StandIn{Endpoints: []setting.StandInEndpoint{{Name: "e1", Listen: occupied.Addr().String()}}}, clock.NewFake(1))
	defer second.Close()
	if second.ServeEndpoints(t.Context()) == nil {
		t.Error("an endpoint serves on an address in use")
	}
}
