package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"hyssopjunction/cmd"
	"hyssopjunction/operator"
	"hyssopjunction/standin"
)

const (
	writer     = "writer-token-with-32-bytes-length"
	reader     = "reader-token-with-32-bytes-length"
	nextWriter = "second-token-with-32-bytes-length"
)

// ctl runs ctl against the entries and returns its outputs and exit code.
func (system *system) ctl(token string, entries []string, command string) (out, log string, code int) {
	system.t.Helper()
	args := []string{"ctl", "--token", token, "--timeout", "5s"}
	for _, entry := range entries {
		args = append(args, "--entry", entry)
	}
	return system.run(append(args, strings.Fields(command)...)...)
}

func (system *system) expect(token string, entries []string, command string, want int) {
	system.t.Helper()
	if out, log, code := system.ctl(token, entries, command); code != want {
		system.t.Errorf("ctl %s: exit code %d, not %d: %s%s", command, code, want, out, log)
	}
}

// Guards against operators' calls without a valid token, tokens in logs, and scripts that are misled
// by the exit codes or the JSON of ctl.
func TestOperatorsAccess(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	tokens := filepath.Join(t.TempDir(), "tokens")
	write(t, tokens, "ada "+writer+"\nben "+reader+" ReadOnly\n")
	system := newSystem(t, shape{entries: 2, agents: 1, token: writer, section: func(name string) string {
		if !strings.HasPrefix(name, "entry") {
			return ""
		}
		return "[Log]\nLevel = \"Debug\"\n[Operators]\nTokensFile = \"" + tokens + "\"\n"
	}})
	dead := system.freeAddress()

	t.Run("tokens", func(t *testing.T) {
		system.t = t
		system.expect(writer, system.operators, "status", cmd.ExitOK)
		system.expect(reader, system.operators, "status", cmd.ExitOK)
		system.expect(reader, system.operators, "datacentre in khomas-0", cmd.ExitDenied)
		system.expect(operator.LoopbackToken, system.operators, "status", cmd.ExitDenied)
		system.expect("unknown-token-with-32-bytes-length", system.operators, "status", cmd.ExitDenied)
		for _, path := range []string{"/operator/v1/status", "/operator/v1/preset", "/v1/../operator/v1/status", "/metrics"} {
			if code := system.get(t, "http://"+system.callers[0]+path, writer); code != http.StatusNotFound {
				t.Errorf("%s on the callers' address has status %d", path, code)
			}
		}
		if code := system.get(t, "http://"+system.operators[0]+"/v1/services/checks/requests", writer); code != http.StatusNotFound {
			t.Errorf("callers' path on the operators' address has status %d", code)
		}
	})

	t.Run("ctl", func(t *testing.T) {
		system.t = t
		entries := []string{dead, system.operators[0]}
		system.expect(writer, entries, "status", cmd.ExitOK)
		system.expect(writer, entries, "datacentre in khomas-1", cmd.ExitOK)
		system.expect(writer, entries, "job submit first --team contest --tasks 1 --cpu 100 --memory 64", cmd.ExitOK)
		system.expect(writer, entries, "datacentre in ../x", cmd.ExitUsage)
		system.expect(writer, entries, "datacentre out khomas-1 --if-version 1", cmd.ExitConflict)
		system.expect(writer, entries, "job show absent", cmd.ExitNotFound)
		system.expect(writer, []string{dead}, "status", cmd.ExitRetry)
		system.expect("unknown-token-with-32-bytes-length", entries, "status", cmd.ExitDenied)
		for _, command := range []string{
			"status", "preset list", "datacentre list", "service list", "team list", "job list", "job show first",
			"job explain first", "worker list", "config history", "config diff 1 2", "datacentre in khomas-2",
		} {
			out, log, code := system.ctl(writer, entries, command+" --json")
			object := map[string]any{}
			if err := json.Unmarshal([]byte(out), &object); err != nil || code != cmd.ExitOK || strings.Count(out, "\n") != 1 {
				t.Errorf("%s --json: exit code %d, %v: %s%s", command, code, err, out, log)
			}
			checkPascal(t, command, object)
		}
		system.setTable(standin.StoreFaults{Outage: true})
		system.expect(writer, entries, "datacentre out khomas-1", cmd.ExitRetry)
		system.expect(writer, entries, "status", cmd.ExitOK)
		system.setTable(standin.StoreFaults{})
		if out, log, code := system.run("version"); code != 0 || !strings.HasPrefix(out, "hyssopjunction ") || log != "" {
			t.Errorf("version: exit code %d: %s%s", code, out, log)
		}
	})

	t.Run("tokens replaced", func(t *testing.T) {
		system.t = t
		write(t, tokens, "ada "+nextWriter+"\n")
		for _, entry := range system.operators {
			system.await("the new token at "+entry, func() bool {
				_, _, code := system.ctl(nextWriter, []string{entry}, "status")
				return code == cmd.ExitOK
			})
			system.expect(writer, []string{entry}, "status", cmd.ExitDenied)
			system.expect(reader, []string{entry}, "status", cmd.ExitDenied)
		}
	})

	t.Run("start interrupted", func(t *testing.T) {
		system.t = t
		system.kill("entry-1")
		system.setTable(standin.StoreFaults{Outage: true})
		system.startInterrupted("entry-1", "entry", "Entry waits for the table")
		// A table that does not answer at all keeps the first read waiting.
		system.signal("standin", syscall.SIGSTOP)
		system.startInterrupted("entry-1", "entry", "")
		system.signal("standin", syscall.SIGCONT)
		system.setTable(standin.StoreFaults{})
		system.start("entry-1", "entry")
		system.await("the entry to start", func() bool {
			_, err := system.operatorClient(system.operators[1]).Status(system.ctx)
			return err == nil || operator.IsErrDenied(err)
		})
	})

	files, err := filepath.Glob(filepath.Join(system.dir, "*.log"))
	system.must(err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		system.must(err)
		for _, token := range []string{writer, reader, nextWriter, operator.LoopbackToken} {
			if bytes.Contains(text, []byte(token)) {
				t.Errorf("%s holds the token %q", filepath.Base(file), token)
			}
		}
	}
}

// startInterrupted starts a daemon, interrupts it once its log has grown by a line with the message,
// or at once after it listens if message is empty, and expects exit code 0.
func (system *system) startInterrupted(name, command, message string) {
	system.t.Helper()
	file := filepath.Join(system.dir, name+".log")
	before, err := os.ReadFile(file)
	system.must(err)
	system.start(name, command)
	system.await(name+" to wait", func() bool {
		text, err := os.ReadFile(file)
		system.must(err)
		if message != "" {
			return strings.Contains(string(text[len(before):]), message)
		}
		return system.listens(system.callers[1])
	})
	if err := system.terminate(name); err != nil {
		system.t.Errorf("%s ends with %v", name, err)
	}
}

// checkPascal expects keys in Pascal case at every depth.
func checkPascal(t *testing.T, command string, value any) {
	t.Helper()
	switch value := value.(type) {
	case map[string]any:
		for key, member := range value {
			if key == "" || key[0] < 'A' || key[0] > 'Z' || strings.ContainsAny(key, "_- ") {
				t.Errorf("%s --json: key %q is not in Pascal case", command, key)
			}
			checkPascal(t, command, member)
		}
	case []any:
		for member := range slices.Values(value) {
			checkPascal(t, command, member)
		}
	}
}
