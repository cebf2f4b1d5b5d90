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

// Operators' tokens. The reader's is read-only; nextWriterToken replaces the other two.
const (
	writerToken     = "writer-token-with-32-bytes-length"
	readerToken     = "reader-token-with-32-bytes-length"
	nextWriterToken = "second-token-with-32-bytes-length"
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

// expectExitCode runs a ctl command and checks its exit code.
func (system *system) expectExitCode(token string, entries []string, command string, want int) {
	system.t.Helper()
	if out, log, code := system.ctl(token, entries, command); code != want {
		system.t.Errorf("ctl %s: exit code %d, not %d: %s%s", command, code, want, out, log)
	}
}

// TestOperatorAccess guards against operators' calls that are served without a valid token, against
// tokens in logs, and against exit codes and JSON of ctl that scripts can't rely on.
func TestOperatorAccess(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	tokens := filepath.Join(t.TempDir(), "tokens")
	writeFile(t, tokens, "ada "+writerToken+"\nben "+readerToken+" ReadOnly\n")
	system := newSystem(t, layout{entries: 2, agents: 1, token: writerToken, extraSection: func(name string) string {
		if !strings.HasPrefix(name, "entry") {
			return ""
		}
		return "[Log]\nLevel = \"Debug\"\n[Operators]\nTokensFile = \"" + tokens + "\"\n"
	}})
	unusedAddress := system.freeAddress()

	t.Run("tokens", func(t *testing.T) {
		system.t = t
		system.expectExitCode(writerToken, system.operatorAPIs, "status", cmd.ExitOK)
		system.expectExitCode(readerToken, system.operatorAPIs, "status", cmd.ExitOK)
		system.expectExitCode(readerToken, system.operatorAPIs, "datacentre in khomas-0", cmd.ExitDenied)
		system.expectExitCode(operator.LoopbackToken, system.operatorAPIs, "status", cmd.ExitDenied)
		system.expectExitCode("unknown-token-with-32-bytes-length", system.operatorAPIs, "status", cmd.ExitDenied)
		for _, path := range []string{"/operator/v1/status", "/operator/v1/preset", "/v1/../operator/v1/status", "/metrics"} {
			if code := system.getStatus(t, "http://"+system.callerAPIs[0]+path, writerToken); code != http.StatusNotFound {
				t.Errorf("%s on the callers' address has status %d", path, code)
			}
		}
		if code := system.getStatus(t, "http://"+system.operatorAPIs[0]+"/v1/services/checks/requests", writerToken); code != http.StatusNotFound {
			t.Errorf("callers' path on the operators' address has status %d", code)
		}
	})

	t.Run("ctl", func(t *testing.T) {
		system.t = t
		entries := []string{unusedAddress, system.operatorAPIs[0]}
		system.expectExitCode(writerToken, entries, "status", cmd.ExitOK)
		system.expectExitCode(writerToken, entries, "datacentre in khomas-1", cmd.ExitOK)
		system.expectExitCode(writerToken, entries, "job submit first --team contest --tasks 1 --cpu 100 --memory 64", cmd.ExitOK)
		system.expectExitCode(writerToken, entries, "datacentre in ../x", cmd.ExitUsage)
		system.expectExitCode(writerToken, entries, "datacentre out khomas-1 --if-version 1", cmd.ExitConflict)
		system.expectExitCode(writerToken, entries, "job show absent", cmd.ExitNotFound)
		system.expectExitCode(writerToken, []string{unusedAddress}, "status", cmd.ExitRetry)
		system.expectExitCode("unknown-token-with-32-bytes-length", entries, "status", cmd.ExitDenied)
		for _, command := range []string{
			"status", "preset list", "datacentre list", "service list", "team list", "job list", "job show first",
			"job explain first", "worker list", "config history", "config diff 1 2", "datacentre in khomas-2",
		} {
			out, log, code := system.ctl(writerToken, entries, command+" --json")
			object := map[string]any{}
			if err := json.Unmarshal([]byte(out), &object); err != nil || code != cmd.ExitOK || strings.Count(out, "\n") != 1 {
				t.Errorf("%s --json: exit code %d, %v: %s%s", command, code, err, out, log)
			}
			expectPascalCase(t, command, object)
		}
		system.setTableFaults(standin.StoreFaults{Outage: true})
		system.expectExitCode(writerToken, entries, "datacentre out khomas-1", cmd.ExitRetry)
		system.expectExitCode(writerToken, entries, "status", cmd.ExitOK)
		system.setTableFaults(standin.StoreFaults{})
		if out, log, code := system.run("version"); code != 0 || !strings.HasPrefix(out, "hyssopjunction ") || log != "" {
			t.Errorf("version: exit code %d: %s%s", code, out, log)
		}
	})

	t.Run("tokens replaced", func(t *testing.T) {
		system.t = t
		writeFile(t, tokens, "ada "+nextWriterToken+"\n")
		for _, entry := range system.operatorAPIs {
			system.await("the new token at "+entry, func() bool {
				_, _, code := system.ctl(nextWriterToken, []string{entry}, "status")
				return code == cmd.ExitOK
			})
			system.expectExitCode(writerToken, []string{entry}, "status", cmd.ExitDenied)
			system.expectExitCode(readerToken, []string{entry}, "status", cmd.ExitDenied)
		}
	})

	t.Run("start interrupted", func(t *testing.T) {
		system.t = t
		system.kill("entry-1")
		system.setTableFaults(standin.StoreFaults{Outage: true})
		system.startInterrupted("entry-1", "entry", "Entry waits for the table")
		// While the stand-in is stopped, the entry's first read of the table gets no answer.
		system.signal("standin", syscall.SIGSTOP)
		system.startInterrupted("entry-1", "entry", "")
		system.signal("standin", syscall.SIGCONT)
		system.setTableFaults(standin.StoreFaults{})
		system.start("entry-1", "entry")
		system.await("the entry to start", func() bool {
			_, err := system.operatorClient(system.operatorAPIs[1]).Status(system.ctx)
			return err == nil || operator.IsErrDenied(err)
		})
	})

	files, err := filepath.Glob(filepath.Join(system.dir, "*.log"))
	system.must(err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		system.must(err)
		for _, token := range []string{writerToken, readerToken, nextWriterToken, operator.LoopbackToken} {
			if bytes.Contains(text, []byte(token)) {
				t.Errorf("%s holds the token %q", filepath.Base(file), token)
			}
		}
	}
}

// startInterrupted starts a daemon, terminates it once it has logged the message, or once it listens
// if the message is empty, and checks that it exits with code 0.
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
		return system.listens(system.callerAPIs[1])
	})
	if err := system.terminate(name); err != nil {
		system.t.Errorf("%s ends with %v", name, err)
	}
}

// expectPascalCase checks that the keys of a decoded JSON value are in Pascal case at every depth.
func expectPascalCase(t *testing.T, command string, value any) {
	t.Helper()
	switch value := value.(type) {
	case map[string]any:
		for key, member := range value {
			if key == "" || key[0] < 'A' || key[0] > 'Z' || strings.ContainsAny(key, "_- ") {
				t.Errorf("%s --json: key %q is not in Pascal case", command, key)
			}
			expectPascalCase(t, command, member)
		}
	case []any:
		for member := range slices.Values(value) {
			expectPascalCase(t, command, member)
		}
	}
}
