package controlpb

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// TestStatusRoundTrip guards against a field that is lost between an agent and an entry.
func TestStatusRoundTrip(t *testing.T) {
	status := worker.Status{
		Task:       ident.Task{Job: "layout", Index: 3},
		Epoch:      7,
		State:      worker.Failed,
		Resources:  unit.Resources{CPU: 1500, Memory: 2048, Accelerators: 1},
		Checkpoint: worker.Checkpoint{Epoch: 6, Name: "layout/3/6"},
		Throttle:   50,
		Reason:     "exit 1",
		End:        worker.OutOfMemory,
		Peak:       2048,
		Ran:        9000,
	}
	if diff := cmp.Diff(status, ToStatus(FromStatus(status))); diff != "" {
		t.Fatal(diff)
	}
}
