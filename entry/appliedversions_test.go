package entry

import (
	"testing"

	"hyssopjunction/ident"
)

// TestLowestAppliedVersion guards against a configuration that is reported as in force while an
// agent has an older one or was restarted, and against a late message that lowers an agent's
// version.
func TestLowestAppliedVersion(t *testing.T) {
	versions := newAppliedVersions()
	workers := []ident.Worker{"w1", "w2"}
	for _, step := range []struct {
		name        string
		worker      ident.Worker
		incarnation ident.Incarnation
		version     ident.Version
		want        ident.Version
	}{
		{"one agent has reported", "w1", 1, 7, 0},
		{"the other has an older version", "w2", 1, 5, 5},
		{"both have the version", "w2", 1, 7, 7},
		{"a late message", "w1", 1, 6, 7},
		{"restarted without configuration", "w1", 2, 0, 0},
		{"a late message of the old incarnation", "w1", 1, 8, 0},
		{"configured again", "w1", 2, 7, 7},
	} {
		t.Run(step.name, func(t *testing.T) {
			versions.recordAgent(step.worker, step.incarnation, step.version)
			if have := versions.lowest(workers); have != step.want {
				t.Fatalf("have %d, want %d", have, step.want)
			}
		})
	}
	if have := versions.lowest(nil); have != 0 {
		t.Fatalf("have %d without agents", have)
	}
}
