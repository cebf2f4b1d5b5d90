package worker_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var task = ident.Task{Job: "layout", Index: 2}

// TestHTTPRoundTrip guards against calls, reports or errors that are changed by the transport over HTTP.
func TestHTTPRoundTrip(t *testing.T) {
	source := clock.NewFake(1_000)
	platform := standin.New(setting.StandIn{Workers: []setting.StandInWorker{{
		Name: "w1", CPU: 4_000, Memory: 4_000, ClockOffsetMillis: 500,
	}}}, source)
	defer platform.Close()
	server := httptest.NewServer(standin.NewServer(platform).Handler())
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	standInWorker, httpWorker := platform.Workers["w1"], worker.NewHTTP(server.URL, "w1", client)

	spec := worker.Spec{
		Task: task, Epoch: 3, Kind: worker.Batch, Resources: unit.Resources{CPU: 500, Memory: 100},
		Payload: standin.Payload{RunMillis: 900, Class: "layout \"é\""}.String(),
	}
	assertNoError(t, httpWorker.Start(t.Context(), spec, 2_500))
	now, err := httpWorker.Renew(t.Context(), 2_600)
	assertNoError(t, err)
	assertEqual(t, now, 1_500)
	assertNoError(t, httpWorker.Throttle(t.Context(), task, 3, 40))
	checkpoint, err := httpWorker.Checkpoint(t.Context(), task, 3)
	assertNoError(t, err)
	assertEqual(t, checkpoint, worker.Checkpoint{Epoch: 3, Name: "Checkpoint/layout/2/3"})
	want, err := standInWorker.List(t.Context())
	assertNoError(t, err)
	assertEqual(t, want.Tasks[0].Throttle, 40)
	have, err := httpWorker.List(t.Context())
	assertNoError(t, err)
	assertEqual(t, have, want)
	assertNoError(t, httpWorker.Stop(t.Context(), task, 3))

	now, err = httpWorker.Renew(t.Context(), 1_400)
	assertEqual(t, now, 1_500)
	assertEqual(t, err, error(worker.ErrLeaseLapsed{Expiry: 1_400, Now: 1_500}))
	assertEqual(t, httpWorker.Stop(t.Context(), task, 2), error(worker.ErrStaleEpoch{Task: task, Epoch: 2, Have: 3}))
	assertEqual(t, httpWorker.Stop(t.Context(), task, 4), error(worker.ErrNoSuchTask{Task: task, Epoch: 4}))
	assertNoError(t, httpWorker.Forget(t.Context(), task, 3))
	assertNoError(t, standInWorker.SetFaults(standin.WorkerFaults{StartFailNext: 1}))
	spec.Epoch = 5
	assertEqual(t, httpWorker.Start(t.Context(), spec, 2_500), error(worker.ErrStartFailed{Task: task, Reason: "stand-in fails starts"}))
	assertNoError(t, standInWorker.SetFaults(standin.WorkerFaults{Unavailable: true}))
	assertEqual(t, httpWorker.Start(t.Context(), spec, 2_500), error(worker.ErrUnavailable{Reason: "stand-in refuses calls"}))
	_, err = worker.NewHTTP(server.URL, "w2", client).List(t.Context())
	assertEqual(t, worker.IsErrUnavailable(err), true)
}

// TestHTTPUnusableResponses guards against a missing or malformed response that is taken for success.
func TestHTTPUnusableResponses(t *testing.T) {
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	assertNoError(t, err)
	assertNoError(t, closedListener.Close())
	addresses := map[string]string{"refused": "http://" + closedListener.Addr().String()}
	for name, handler := range map[string]http.HandlerFunc{
		"proxy": func(writer http.ResponseWriter, _ *http.Request) {
			http.Error(writer, "bad gateway", http.StatusBadGateway)
		},
		"type": func(writer http.ResponseWriter, _ *http.Request) {
			http.Error(writer, `{"Type":"ErrOther"}`, http.StatusInternalServerError)
		},
		"not JSON": func(writer http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(writer, "welcome") },
		"closed":   func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		server := httptest.NewServer(handler)
		defer server.Close()
		addresses[name] = server.URL
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for name, address := range addresses {
		t.Run(name, func(t *testing.T) {
			_, err := worker.NewHTTP(address, "w1", &http.Client{Transport: transport}).List(t.Context())
			assertEqual(t, worker.IsErrUnavailable(err), true)
		})
	}
}

func assertNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func assertEqual[Value any](t testing.TB, have, want Value) {
	t.Helper()
	if difference := cmp.Diff(want, have); difference != "" {
		t.Fatalf("differs (-want +have):\n%s", difference)
	}
}
