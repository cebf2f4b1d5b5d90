package cmd_test

import (
	"bytes"
	"strings"
	"testing"

	"hyssopjunction/cmd"
)

// TestHelp guards against a subcommand at any depth whose help fails, is empty or goes to the log, and
// against a wrong command line that is not reported as wrong use.
func TestHelp(t *testing.T) {
	var visit func(path []string) int
	visit = func(path []string) int {
		var out, log bytes.Buffer
		code := cmd.Run(append(path, "--help"), &out, &log)
		if code != cmd.ExitOK || log.Len() > 0 || !strings.HasPrefix(out.String(), "Usage:\n  hyssopjunction") {
			t.Errorf("%v --help: exit code %d, log %q, output %q", path, code, log.String(), out.String())
		}
		visited := 1
		_, commands, _ := strings.Cut(out.String(), "Available commands:\n")
		for line := range strings.Lines(commands) {
			if name := strings.Fields(line); len(name) > 0 {
				visited += visit(append(append([]string{}, path...), name[0]))
			}
		}
		return visited
	}
	// The program itself, its 8 subcommands, 3 of standin, 6 of cluster with the group job and its command, and 8 groups of ctl with 19 commands.
	if visited := visit(nil); visited != 47 {
		t.Errorf("%d helps, not 47", visited)
	}
	for _, args := range [][]string{nil, {"unknown"}, {"ctl"}, {"entry"}, {"entry", "--unknown"}, {"standin"}, {"ctl", "job"}, {"cluster"}, {"cluster", "status"}} {
		var out, log bytes.Buffer
		if code := cmd.Run(args, &out, &log); code != cmd.ExitUsage || out.Len() > 0 || log.Len() == 0 {
			t.Errorf("%v: exit code %d, output %q, log %q", args, code, out.String(), log.String())
		}
	}
}
