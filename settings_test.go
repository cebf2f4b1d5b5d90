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

func (system *system) write(name, text string) {
	system.must(os.WriteFile(filepath.Join(system.dir, name+".toml"), []byte(text), 0o600))
}

// tasksSection shortens the times so that a lease lapses within the test.
const tasksSection = `
[Tasks]
RoundMillis = 100
HeartbeatMillis = 400
LeaseTermMillis = 6000
`

func (system *system) writeSettings() {
	system.platform = system.freeAddress()
	standIn := fmt.Sprintf("[Listen]\nPlatform = %q\n[Simulation]\nTickMillis = 20\n", system.platform)
	for index := range system.entries {
		control, caller, operators := system.freeAddress(), system.freeAddress(), system.freeAddress()
		system.controls = append(system.controls, control)
		system.callers = append(system.callers, caller)
		system.operators = append(system.operators, operators)
		system.write(fmt.Sprintf("entry-%d", index), fmt.Sprintf(`
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
`, index, index%3, caller, operators, control, system.platform)+tasksSection+system.additional(fmt.Sprintf("entry-%d", index)))
	}
	var peers []string
	for _, control := range system.controls {
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
		system.write(fmt.Sprintf("agent-%d", index), fmt.Sprintf(`
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
`, index, index%3, index/2, control, strings.Join(peers, ", "), index, system.platform, index, service, endpoint)+
			tasksSection+system.additional(fmt.Sprintf("agent-%d", index)))
	}
	system.write("standin", standIn)
}

// additional returns the settings of a daemon that depend on the shape.
func (system *system) additional(name string) string {
	text := ""
	if system.section != nil {
		text = system.section(name)
	}
	if system.authority == nil {
		return text
	}
	files := system.authority.issue(system.t, system.dir, name, commonName(name))
	return text + fmt.Sprintf("\n[TLS]\nCertificateFile = %q\nKeyFile = %q\nAuthorityFile = %q\n", files.Certificate, files.Key, files.Authority)
}

// commonName returns the common name of a daemon's certificate: the role and the name of the entry or of
// the agent's worker.
func commonName(daemon string) string {
	if index, ok := strings.CutPrefix(daemon, "agent-"); ok {
		return "agent.worker-" + index
	}
	return "entry." + daemon
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against faults of settings that show only one at a time, on the wrong stream, with another
// exit code, or after a part of the daemon has started.
func TestSettingsChecked(t *testing.T) {
	directory := t.TempDir()
	tokens, misspelt := filepath.Join(directory, "tokens"), filepath.Join(directory, "misspelt")
	write(t, tokens, "ada writer-token-with-32-bytes-length\n")
	write(t, misspelt, "ada writer-token-with-32-bytes-length Readonly\n")
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
			write(t, file, scenario.settings)
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
