package cmd

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/setting"
	"hyssopjunction/standin"
)

// run executes a command line and returns its exit code, output and log.
func run(args ...string) (code int, out, log string) {
	var result, messages bytes.Buffer
	code = Run(args, &result, &messages)
	return code, result.String(), messages.String()
}

// TestStandInFault guards against options that set the wrong fault, reset other faults, or are ignored
// instead of refused for a part to which they do not apply.
func TestStandInFault(t *testing.T) {
	standIn := standin.New(setting.StandIn{
		Workers:   []setting.StandInWorker{{Name: "w1", CPU: 1}},
		Endpoints: []setting.StandInEndpoint{{Name: "e1"}},
	}, clock.NewFake(1))
	defer standIn.Close()
	server := httptest.NewServer(standin.NewServer(standIn).Handler())
	defer server.Close()
	for _, test := range []struct {
		args []string
		code int
		want func(state standin.FaultState) bool
	}{
		{[]string{"--part", "table", "--outage", "on", "--delay", "3", "--lose", "2"}, ExitOK, func(state standin.FaultState) bool {
			return state.Table == standin.StoreFaults{Outage: true, DelayMillis: 3, LoseNext: 2}
		}},
		{[]string{"--part", "table", "--outage", "off"}, ExitOK, func(state standin.FaultState) bool {
			return state.Table == standin.StoreFaults{DelayMillis: 3, LoseNext: 2}
		}},
		{[]string{"--part", "table", "--clear", "--lose", "1"}, ExitOK, func(state standin.FaultState) bool {
			return state.Table == standin.StoreFaults{LoseNext: 1}
		}},
		{[]string{"--part", "worker/*", "--pause", "on", "--usage-lag", "9", "--start-failures", "4"}, ExitOK, func(state standin.FaultState) bool {
			return state.Workers["w1"] == standin.WorkerFaults{Paused: true, UsageLagMillis: 9, StartFailNext: 4}
		}},
		{[]string{"--part", "endpoint/e1", "--outage", "on", "--delay", "8"}, ExitOK, func(state standin.FaultState) bool {
			return state.Endpoints["e1"] == standin.EndpointFaults{Refuse: true, LateRate: 1, LateMillis: 8}
		}},
		{nil, ExitOK, func(state standin.FaultState) bool { return state.Table.LoseNext == 1 }},
		{[]string{"--part", "objects", "--pause", "on"}, ExitUsage, nil},
		{[]string{"--part", "colour", "--outage", "on"}, ExitUsage, nil},
		{[]string{"--part", "table", "--lose-rate", "3"}, ExitUsage, nil},
		{[]string{"--part", "table", "--restart"}, ExitUsage, nil},
		{[]string{"--part", "table", "--outage", "maybe"}, ExitUsage, nil},
		{[]string{"--url", "http://127.0.0.1:1"}, ExitRetry, nil},
	} {
		args := append([]string{"standin", "fault", "--url", server.URL}, test.args...)
		code, out, log := run(args...)
		if code != test.code {
			t.Errorf("%v exits with %d: %s", test.args, code, log)
		}
		var state standin.FaultState
		if test.want == nil {
			continue
		}
		if err := json.Unmarshal([]byte(out), &state); err != nil || !test.want(state) {
			t.Errorf("%v prints %s, error %v", test.args, out, err)
		}
	}
}

// TestStandInRecordsAndSettings guards against records that cannot be printed, and against invalid settings
// that are refused without the reasons or with the wrong exit code.
func TestStandInRecordsAndSettings(t *testing.T) {
	standIn := standin.New(setting.StandIn{Workers: []setting.StandInWorker{{Name: "w1", CPU: 1}}}, clock.NewFake(1))
	defer standIn.Close()
	server := httptest.NewServer(standin.NewServer(standIn).Handler())
	defer server.Close()
	if code, out, log := run("standin", "records", "--url", server.URL); code != ExitOK || !strings.Contains(out, `"TwoPlaces": 0`) {
		t.Errorf("records exit with %d: %s%s", code, out, log)
	}
	file := filepath.Join(t.TempDir(), "standin.toml")
	if err := os.WriteFile(file, []byte("Colour = 1\n[Log]\nLevel = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, log := run("standin", "serve", "--config", file)
	want := file + ": Colour: unknown key\n" + file + ": Log.Level: must be a string, is 2\n"
	if code != ExitUsage || log != want {
		t.Errorf("bad settings exit with %d: %s", code, log)
	}
}
