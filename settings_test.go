package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// writeSettingsFile writes the settings file of a daemon.
func (system *system) writeSettingsFile(name, text string) {
	system.must(os.WriteFile(filepath.Join(system.dir, name+".toml"), []byte(text), 0o600))
}

// tasksSection shortens the times, so that a lease expires within a test.
const tasksSection = `
[Tasks]
RoundMillis = 100
HeartbeatMillis = 400
LeaseTermMillis = 6000
`

// writeSettings assigns the addresses and writes the settings files of the stand-in and all daemons.
func (system *system) writeSettings() {
	system.platformAddress = system.freeAddress()
	standIn := fmt.Sprintf("[Listen]\nPlatform = %q\n[Simulation]\nTickMillis = 20\n", system.platformAddress)
	for index := range system.entries {
		control, caller, operators := system.freeAddress(), system.freeAddress(), system.freeAddress()
		system.entryControls = append(system.entryControls, control)
		system.callerAPIs = append(system.callerAPIs, caller)
		system.operatorAPIs = append(system.operatorAPIs, operators)
		system.writeSettingsFile(fmt.Sprintf("entry-%d", index), fmt.Sprintf(`
[Identity]
Name = "entry-%d"
Region = "khomas"
DataCentre = "khomas-%d"
[Listen]
Caller = %q
Operator = %q
Control = %q
[Table]
URL = "http://%s"
ReadsPerSecond = 400
WritesPerSecond = 200
[Config]
PollMillis = 500
[Shutdown]
BoundMillis = 10000
`, index, index%3, caller, operators, control, system.platformAddress)+tasksSection+system.extraSettings(fmt.Sprintf("entry-%d", index)))
	}
	var peers []string
	for _, control := range system.entryControls {
		peers = append(peers, strconv.Quote(control))
	}
	for index := range system.agents {
		endpoint, control := system.freeAddress(), system.freeAddress()
		system.agentControls = append(system.agentControls, control)
		service := []string{"checks", "entries"}[index%2]
		standIn += fmt.Sprintf(`
[[Workers]]
Name = "worker-%d"
CPU = 16000
Memory = 61440
UsageLagMillis = 500
[[Endpoints]]
Name = "endpoint-%d"
Service = %q
Listen = %q
Worker = "worker-%d"
Class = %q
Idempotent = %t
`, index, index, service, endpoint, index, service, service == "checks")
		system.writeSettingsFile(fmt.Sprintf("agent-%d", index), fmt.Sprintf(`
[Identity]
Name = "agent-%d"
Region = "khomas"
DataCentre = "khomas-%d"
Rack = "rack-%d"
[Listen]
Control = %q
[Peers]
Entries = [%s]
[Worker]
Name = "worker-%d"
URL = "http://%s"
PollMillis = 200
[Endpoint]
Name = "endpoint-%d"
Service = %q
URL = "http://%s"
[Shutdown]
BoundMillis = 10000
`, index, index%3, index/2, control, strings.Join(peers, ", "), index, system.platformAddress, index, service, endpoint)+
			tasksSection+system.extraSettings(fmt.Sprintf("agent-%d", index)))
	}
	system.writeSettingsFile("standin", standIn)
}

// extraSettings returns the settings of a daemon that the layout adds, with its TLS files if the layout
// has an authority.
func (system *system) extraSettings(name string) string {
	text := ""
	if system.extraSection != nil {
		text = system.extraSection(name)
	}
	if system.authority == nil {
		return text
	}
	files := system.authority.issue(system.t, system.dir, name, commonName(name))
	return text + fmt.Sprintf("\n[TLS]\nCertificateFile = %q\nKeyFile = %q\nAuthorityFile = %q\n", files.Certificate, files.Key, files.Authority)
}

// commonName returns the common name of a daemon's certificate: the role, followed by the name of the
// entry or of the agent's worker.
func commonName(daemon string) string {
	if index, ok := strings.CutPrefix(daemon, "agent-"); ok {
		return "agent.worker-" + index
	}
	return "entry." + daemon
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestSettingsChecked guards against invalid settings that are reported one at a time instead of
// together, on the wrong output stream, with a wrong exit code, or only after a part of the daemon has
// started.
func TestSettingsChecked(t *testing.T) {
	directory := t.TempDir()
	tokens, misspelt := filepath.Join(directory, "tokens"), filepath.Join(directory, "misspelt")
	writeFile(t, tokens, "ada writer-token-with-32-bytes-length\n")
	writeFile(t, misspelt, "ada writer-token-with-32-bytes-length Readonly\n")
	sample := func(name string) string {
		text, err := os.ReadFile(filepath.Join("custom", name+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	identity := "[Identity]\nName = \"one\"\nRegion = \"khomas\"\nDataCentre = \"khomas-1\"\n"
	for index, scenario := range []struct {
		name, command, settings string
		problems                []string
	}{
		{"entry", "entry --check", sample("entry"), nil},
		{"entry with tokens", "entry --check", identity + "[Operators]\nTokensFile = \"" + tokens + "\"\n", nil},
		{"agent", "agent --check", sample("agent"), nil},
		{
			"bad entry", "entry", "Unknown = 1\n[Listen]\nCaller = \"localhost:1\"\n[Tasks]\nRoundMillis = \"soon\"\n[Requests]\nSlots = 100\n",
			[]string{"Unknown: ", "Identity.Name: ", "Identity.Region: ", "Listen.Caller: ", "Tasks.RoundMillis: ", "Requests.Slots: "},
		},
		{
			"bad files of an entry", "entry", identity + "[TLS]\nCertificateFile = \"/none\"\nKeyFile = \"/none\"\nAuthorityFile = \"/none\"\n[Operators]\nTokensFile = \"" + misspelt + "\"\n",
			[]string{"/none", misspelt, "line 1"},
		},
		{
			"bad agent", "agent", identity + "[Peers]\nEntries = []\n[Worker]\nURL = \"ftp://x\"\n[Endpoint]\nName = \"e\"\n",
			[]string{"Peers.Entries: ", "Worker.Name: ", "Worker.URL: ", "Endpoint.Service: ", "Endpoint.URL: "},
		},
		{
			"bad stand-in", "standin serve", "[Listen]\nPlatform = \"x\"\n[[Workers]]\nName = \"w\"\nCPU = 0\n[[Workers]]\nName = \"w\"\n[Log]\nLevel = \"Loud\"\n",
			[]string{"Listen.Platform: ", "Workers[0].CPU: ", "Workers[1].Name: ", "Log.Level: "},
		},
		{"no TOML", "entry", "[", []string{"line 1"}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			file := filepath.Join(directory, fmt.Sprintf("%d.toml", index))
			writeFile(t, file, scenario.settings)
			args := append(strings.Fields(scenario.command), "--config", file)
			out, log, code := runProgram(context.Background(), t, args...)
			if scenario.problems == nil {
				if code != 0 || log != "" || !strings.Contains(out, file+": settings are valid") {
					t.Errorf("exit code %d: %s%s", code, out, log)
				}
				return
			}
			if code != 2 || out != "" {
				t.Errorf("exit code %d with output %q", code, out)
			}
			for _, problem := range scenario.problems {
				if strings.Count(log, problem) != 1 && problem != "/none" {
					t.Errorf("%q is not reported once: %s", problem, log)
				}
			}
			if strings.Contains(log, "writer-token") {
				t.Errorf("a token is printed: %s", log)
			}
		})
	}
}
