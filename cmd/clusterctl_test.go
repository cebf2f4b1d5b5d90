package cmd_test

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hyssopjunction/cmd"
	"hyssopjunction/standin/platformtest"
)

// deploymentFiles writes the settings of a deployment whose store is a stand-in. It returns the path of the
// settings and their folder.
func deploymentFiles(t *testing.T) (settings, folder string) {
	t.Helper()
	settings, folder, _ = deploymentStore(t)
	return settings, folder
}

// deploymentStore does the same as deploymentFiles and also returns the stand-in.
func deploymentStore(t *testing.T) (settings, folder string, service *platformtest.Store) {
	t.Helper()
	service = platformtest.NewStore()
	service.Put("op", "", "config", []byte(`{"Version":7,"Routes":[{"Name":"r-1","Host":"desk.example","PathPrefix":"/a/","Service":"desk","MaxAttempts":2,"SlackFactor":1.5,"TargetLatencyMs":250}]}`))
	service.Put("op", "", "evacuate/zone-b", []byte(`{}`))
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	folder = t.TempDir()
	settings = filepath.Join(folder, "boot.toml")
	text := fmt.Sprintf("NodeName = \"edge-1\"\nIp = \"127.0.0.1\"\nZone = \"zone-a\"\nInternalPortRange = [7720, 7735]\n[BindAddresses]\nFrontend = \"127.0.0.1:1\"\nReadiness = \"127.0.0.1:2\"\n[Bounds]\nHoldMaxMs = 6000\nGraceS = 6\n[platform]\nAddress = %q\n",
		strings.TrimPrefix(server.URL, "http://"))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return settings, folder, service
}

// run executes a command, checks its exit code and returns its output and log.
func run(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out, log bytes.Buffer
	if code := cmd.Run(args, &out, &log); code != want {
		t.Fatalf("%v: exit code %d, want %d; log %q", args, code, want, log.String())
	}
	return out.String() + log.String()
}

func wantText(t *testing.T, got string, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if !strings.Contains(got, text) {
			t.Errorf("output lacks %q:\n%s", text, got)
		}
	}
}

// TestClusterCommands guards against commands that do not work on a deployment's store, and against input
// that is accepted although a field is wrong.
func TestClusterCommands(t *testing.T) {
	settings, folder := deploymentFiles(t)
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	job := write("job.toml", "Payload = \"text\"\n[[Steps]]\nCount = 2\nEstimate = 100\n[Steps.Need]\nCPU = 500\nMemory = 10\n")
	unknown := write("unknown.toml", "[[Steps]]\nCount = 2\nColour = 1\n")
	invalid := write("invalid.json", `{"Steps":[{"Count":0}]}`)
	const id = "0123456789abcdef"
	cluster := func(want int, args ...string) string {
		return run(t, want, append([]string{"cluster", "--settings", settings}, args...)...)
	}
	wantText(t, cluster(cmd.ExitOK, "check"), "settings are valid")
	cluster(cmd.ExitOK, "submit", "--queue", "r-1", "--id", id, job)
	cluster(cmd.ExitOK, "submit", "--queue", "r-1", "--id", id, job)
	wantText(t, cluster(cmd.ExitOK, "status"), "Configuration", "7", "zone-b", "Jobs queued")
	wantText(t, cluster(cmd.ExitOK, "list", "--state", "queued"), id, "r-1")
	wantText(t, cluster(cmd.ExitOK, "show", id), "queued", "ObjectiveMillis", "400")
	cluster(cmd.ExitOK, "cancel", id)
	cluster(cmd.ExitNotFound, "show", "fedcba9876543210")
	cluster(cmd.ExitNotFound, "submit", "--queue", "none", "--id", id, job)
	wantText(t, cluster(cmd.ExitUsage, "submit", "--queue", "r-1", "--id", "short", job), "ID")
	cluster(cmd.ExitUsage, "submit", "--queue", "r-1", "--id", id, unknown)
	wantText(t, cluster(cmd.ExitUsage, "submit", "--queue", "r-1", "--id", id, invalid), "Steps[0].Count")
	run(t, cmd.ExitUsage, "cluster", "--settings", filepath.Join(folder, "none.toml"), "status")
}
