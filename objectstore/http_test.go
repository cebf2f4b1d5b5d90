package objectstore_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopjunction/clock"
	"hyssopjunction/objectstore"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
)

// TestHTTPRoundTrip guards against names, values or errors of objects that are changed by the transport
// over HTTP.
func TestHTTPRoundTrip(t *testing.T) {
	platform := standin.New(setting.StandIn{Simulation: setting.Simulation{ObjectBytes: 100}}, clock.NewFake(1))
	defer platform.Close()
	server := httptest.NewServer(standin.NewServer(platform).Handler())
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	objects := objectstore.NewHTTP(server.URL, &http.Client{Transport: transport})
	names := []objectstore.Name{"Checkpoint/a/1/2", "a//b", "q?x=1&y#z", "ü %2F/.."}
	for _, name := range names {
		assertNoError(t, objects.Put(t.Context(), name, []byte("value of "+name)))
		value, err := objects.Get(t.Context(), name)
		assertNoError(t, err)
		assertEqual(t, string(value), "value of "+string(name))
	}
	direct, err := platform.Objects.List(t.Context(), "", "", 9)
	assertNoError(t, err)
	assertEqual(t, direct, names)
	page, err := objects.List(t.Context(), "", "a//b", 1)
	assertNoError(t, err)
	assertEqual(t, page, []objectstore.Name{"q?x=1&y#z"})
	assertNoError(t, objects.Delete(t.Context(), names[0]))
	_, err = objects.Get(t.Context(), names[0])
	assertEqual(t, err, error(objectstore.ErrNotFound{Name: names[0]}))
	assertEqual(t, objects.Put(t.Context(), "big", make([]byte, 200)), error(objectstore.ErrTooLarge{Name: "big", Bytes: 101, Limit: 100}))
	assertNoError(t, platform.Objects.SetFaults(standin.StoreFaults{Outage: true}))
	assertEqual(t, objects.Put(t.Context(), "b", nil), error(objectstore.ErrUnavailable{Reason: "stand-in refuses calls", RetryAfter: clock.Second}))
	assertNoError(t, platform.Objects.SetFaults(standin.StoreFaults{LoseNext: 1}))
	err = objects.Put(t.Context(), "b", nil)
	assertEqual(t, objectstore.IsErrUnavailable(err), true)
	_, err = objects.Get(t.Context(), "b")
	assertNoError(t, err)
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
