package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"hyssopjunction/caller"
	"hyssopjunction/standin"
)

// Guards against an entry that, started while the table is out, accepts connections and never answers:
// callers would wait out their patience and operators and probes would see a hanging process.
func TestEntryStartsWithoutTable(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	pid := os.Getpid()
	// As system.freeAddress, which cannot be asked before the system exists.
	metricsAddress := fmt.Sprintf("127.%d.%d.253:7000", 1+pid>>8&0x7f, pid&0xff)
	system := newSystem(t, shape{entries: 2, agents: 1, section: func(name string) string {
		if name == "entry-1" {
			return fmt.Sprintf("\n[Metrics]\nListen = %q\n", metricsAddress)
		}
		return ""
	}})
	system.must(system.terminate("entry-1"))
	system.setTable(standin.StoreFaults{Outage: true})
	system.start("entry-1", "entry")
	probes, callers := "http://"+metricsAddress, "http://"+system.callers[1]
	system.await("the probe to answer", func() bool {
		response, err := http.Get(probes + "/healthz")
		if err != nil {
			system.last = err
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	})

	t.Run("probes", func(t *testing.T) {
		system.t = t
		for address, want := range map[string]int{
			probes + "/readyz": http.StatusServiceUnavailable, probes + "/metrics": http.StatusOK,
			callers + "/readyz": http.StatusServiceUnavailable, callers + "/healthz": http.StatusOK,
		} {
			if status := system.get(t, address, ""); status != want {
				t.Errorf("%s: status %d", address, status)
			}
		}
	})
	t.Run("callers", func(t *testing.T) {
		system.t = t
		for key, want := range map[string]string{"": "NotRun", "key-1": "Unknown"} {
			request, err := http.NewRequestWithContext(system.ctx, http.MethodPost, callers+"/v1/services/entries/requests", strings.NewReader("body"))
			system.must(err)
			request.Header.Set("Team", "contest")
			if key != "" {
				request.Header.Set("Request-Key", key)
			}
			response, err := http.DefaultClient.Do(request)
			system.must(err)
			var body caller.ErrorBody
			system.must(json.NewDecoder(response.Body).Decode(&body))
			system.must(response.Body.Close())
			if response.StatusCode != http.StatusServiceUnavailable || body.Error.Type != "NotReady" || response.Header.Get("Outcome") != want || response.Header.Get("Retry-After") == "" {
				t.Errorf("key %q: status %d, %+v, %v", key, response.StatusCode, body, response.Header)
			}
		}
	})
	t.Run("operators", func(t *testing.T) {
		system.t = t
		_, log, code := system.run("ctl", "--entry", system.operators[1], "--token", token, "status")
		if code != 5 || !strings.Contains(log, "waits for the table") {
			t.Errorf("exit code %d: %s", code, log)
		}
	})
	t.Run("other daemons", func(t *testing.T) {
		connection, err := net.Dial("tcp", system.controls[1])
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		if _, err := connection.Read(make([]byte, 1)); err == nil {
			t.Error("the connection was not closed")
		}
	})
	t.Run("table back", func(t *testing.T) {
		system.t = t
		system.setTable(standin.StoreFaults{})
		system.await("the entry to be ready", func() bool { return system.get(t, callers+"/readyz", "") == http.StatusOK })
		for _, result := range system.send("after", 10, system.callers[1:]) {
			if result.Refusal == "NotReady" {
				t.Errorf("a request had outcome %s: %s", result.Outcome, result.Refusal)
			}
		}
		system.assertClean()
	})
}
