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

// TestEntryStartsWithoutTable guards against an entry that is started during a table outage and
// accepts connections without answering: callers would wait for their whole patience, and operators
// and probes would find a hanging process.
func TestEntryStartsWithoutTable(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	pid := os.Getpid()
	// The address is like those of system.freeAddress, which can't be called before the system exists.
	metricsAddress := fmt.Sprintf("127.%d.%d.253:7000", 1+pid>>8&0x7f, pid&0xff)
	system := newSystem(t, layout{entries: 2, agents: 1, extraSection: func(name string) string {
		if name == "entry-1" {
			return fmt.Sprintf("\n[Metrics]\nListen = %q\n", metricsAddress)
		}
		return ""
	}})
	system.must(system.terminate("entry-1"))
	system.setTableFaults(standin.StoreFaults{Outage: true})
	system.start("entry-1", "entry")
	probeURL, callerURL := "http://"+metricsAddress, "http://"+system.callerAPIs[1]
	system.await("the probe to answer", func() bool {
		response, err := http.Get(probeURL + "/healthz")
		if err != nil {
			system.lastError = err
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	})

	t.Run("probes", func(t *testing.T) {
		system.t = t
		for address, want := range map[string]int{
			probeURL + "/readyz": http.StatusServiceUnavailable, probeURL + "/metrics": http.StatusOK,
			callerURL + "/readyz": http.StatusServiceUnavailable, callerURL + "/healthz": http.StatusOK,
		} {
			if status := system.getStatus(t, address, ""); status != want {
				t.Errorf("%s: status %d", address, status)
			}
		}
	})
	t.Run("callers", func(t *testing.T) {
		system.t = t
		for key, want := range map[string]string{"": "NotRun", "key-1": "Unknown"} {
			request, err := http.NewRequestWithContext(system.ctx, http.MethodPost, callerURL+"/v1/services/entries/requests", strings.NewReader("body"))
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
		_, log, code := system.run("ctl", "--entry", system.operatorAPIs[1], "--token", loopbackToken, "status")
		if code != 5 || !strings.Contains(log, "waits for the table") {
			t.Errorf("exit code %d: %s", code, log)
		}
	})
	t.Run("other daemons", func(t *testing.T) {
		connection, err := net.Dial("tcp", system.entryControls[1])
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
		system.setTableFaults(standin.StoreFaults{})
		system.await("the entry to be ready", func() bool { return system.getStatus(t, callerURL+"/readyz", "") == http.StatusOK })
		for _, result := range system.send("after", 10, system.callerAPIs[1:]) {
			if result.Refusal == "NotReady" {
				t.Errorf("a request had outcome %s: %s", result.Outcome, result.Refusal)
			}
		}
		system.assertClean()
	})
}
