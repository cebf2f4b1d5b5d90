package main

import (
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
ReadsPerSecond = 200
WritesPerSecond = 100
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
`, index, index, service, endpoint, index, service)
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
	role, _, _ := strings.Cut(name, "-")
	files := system.authority.issue(system.t, system.dir, name, role)
	return text + fmt.Sprintf("\n[TLS]\nCertificateFile = %q\nKeyFile = %q\nAuthorityFile = %q\n", files.Certificate, files.Key, files.Authority)
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
