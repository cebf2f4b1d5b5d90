package membership

import (
	"testing"

	"hyssopjunction/controlpb"
)

// TestLoadIsNotStructure guards against a change of the load that is sent to all entries as a
// change of the worker, and against loads of the previous software version, whose missing classes
// would clear the stored ones.
func TestLoadIsNotStructure(t *testing.T) {
	state := &controlpb.WorkerState{
		Worker: "w1", AgentAddress: "a1", Incarnation: 1, Sequence: 1, Tasks: 1, Classes: []*controlpb.ClassCount{{Class: "layout", Tasks: 1}},
	}
	busier := &controlpb.WorkerState{
		Worker: "w1", AgentAddress: "a1", Incarnation: 1, Sequence: 2, Tasks: 2, Classes: []*controlpb.ClassCount{{Class: "layout", Tasks: 2}}, LoadPercent: 40,
	}
	if !SameStructure(state, busier) {
		t.Fatal("a higher load is a change of the worker")
	}
	if merged := withLoad(state, LoadOf(busier)); merged.GetClasses()[0].GetTasks() != 2 || merged.GetLoadPercent() != 40 {
		t.Fatalf("have %v, want the higher load", merged)
	}
	previous := LoadOf(busier)
	previous.Classes = nil
	if merged := withLoad(state, previous); len(merged.GetClasses()) != 1 {
		t.Fatal("a load without classes cleared them")
	}
	previous.Tasks = 0
	if merged := withLoad(state, previous); len(merged.GetClasses()) != 0 {
		t.Fatal("a worker without tasks has classes")
	}
	busier.Draining = true
	if SameStructure(state, busier) {
		t.Fatal("draining is only a load")
	}
}
