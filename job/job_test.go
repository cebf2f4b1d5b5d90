package job

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

func validSpec() Spec {
	return Spec{
		Job: "nightly-7", Team: "modelwerf", Kind: worker.Batch, Count: 5, Declared: unit.Resources{CPU: 500, Memory: 1000},
		Priority: 3, Urgent: true, Gang: true, Class: "layout", Payload: "box=7", Region: "flanders",
		DataCentres: []ident.DataCentre{"aalst", "gent"}, Patience: 5000,
	}
}

// TestValidateNamesInvalidField guards against accepting jobs that can never be stored or placed, and
// against errors that name another field.
func TestValidateNamesInvalidField(t *testing.T) {
	if err := validSpec().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(spec *Spec){
		"Job":         func(spec *Spec) { spec.Job = "a/b" },
		"Team":        func(spec *Spec) { spec.Team = "" },
		"Region":      func(spec *Spec) { spec.Region = "" },
		"Kind":        func(spec *Spec) { spec.Kind = "Other" },
		"Count":       func(spec *Spec) { spec.Count = MaxTasks + 1 },
		"Declared":    func(spec *Spec) { spec.Declared.Memory = 0 },
		"Priority":    func(spec *Spec) { spec.Priority = -1 },
		"Class":       func(spec *Spec) { spec.Class = string(make([]byte, MaxClassBytes+1)) },
		"Payload":     func(spec *Spec) { spec.Payload = string(make([]byte, MaxPayloadBytes+1)) },
		"Patience":    func(spec *Spec) { spec.Patience = -1 },
		"DataCentres": func(spec *Spec) { spec.DataCentres = []ident.DataCentre{"gent", "aalst"} },
	} {
		t.Run(name, func(t *testing.T) {
			changed := validSpec()
			change(&changed)
			err := changed.Validate()
			if !IsErrInvalidSpec(err) || err.(ErrInvalidSpec).Field != name {
				t.Fatalf("got %v, want an error about %s", err, name)
			}
		})
	}
}

var allSteps = []Step{
	StepClaim, StepStart, StepNotStarted, StepAdopt, StepEvict, StepFinish, StepFail, StepGiveUp,
	StepStop, StepLose, StepPark, StepUnpark, StepCancel,
}

// TestTransitionsKeepInvariants applies random changes and guards against falling epochs, second
// placements, changed final states, claims after a cancellation, lost checkpoints, and rows that differ
// after encoding and decoding.
func TestTransitionsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		row, err := New(validSpec())
		if err != nil {
			t.Fatal(err)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 120 {
			applyRandomChange(t, row, random)
		}
		decoded, err := Decode(row.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(row, decoded); difference != "" {
			t.Fatal(difference)
		}
	})
}

func applyRandomChange(t *rapid.T, row *Row, random *rand.Rand) {
	index := random.IntN(len(row.Tasks))
	before := row.Clone()
	previous := before.Tasks[index]
	change := Change{
		Step: allSteps[random.IntN(len(allSteps))], Index: index, Epoch: previous.Epoch, Reason: "reason",
		Placement:  Placement{Worker: ident.Worker([]string{"a", "b"}[random.IntN(2)]), Incarnation: ident.Incarnation(random.IntN(3)), DataCentre: "gent"},
		Size:       unit.Resources{CPU: 500, Memory: 1000},
		Checkpoint: worker.Checkpoint{Epoch: ident.Epoch(random.IntN(5)), Name: "saved"},
	}
	if change.Step == StepCancel && random.IntN(20) != 0 {
		return
	}
	if change.Step == StepClaim {
		change.Epoch++
	}
	if random.IntN(4) == 0 {
		change.Epoch += ident.Epoch(random.IntN(3)) - 1
	}
	err := row.Apply(change)
	after := row.Tasks[index]
	switch {
	case err != nil && cmp.Diff(before, row) != "":
		t.Fatalf("refused %s changed the row: %v", change.Step, err)
	case err != nil && !IsErrStaleEpoch(err) && !IsErrTransition(err) && !IsErrCancelled(err):
		t.Fatalf("untyped error %v", err)
	case after.Epoch < previous.Epoch || (after.Epoch > previous.Epoch && (change.Step != StepClaim || after.Epoch != previous.Epoch+1)):
		t.Fatalf("%s moves epoch from %d to %d", change.Step, previous.Epoch, after.Epoch)
	case previous.State.Final() && after != previous:
		t.Fatalf("%s changes final state %s", change.Step, previous.State)
	case previous.State.Live() && after.State.Live() && previous.Placement.Worker != after.Placement.Worker:
		t.Fatalf("%s moves a live task", change.Step)
	case before.Cancelled && !previous.State.Live() && after.State.Live():
		t.Fatal("a cancelled task was placed")
	case after.Checkpoint.Epoch < previous.Checkpoint.Epoch:
		t.Fatal("a newer checkpoint was lost")
	}
}

// TestDamagedRowsAreRefused guards against a damaged or truncated row that is decoded as another one or
// causes a panic.
func TestDamagedRowsAreRefused(t *testing.T) {
	row, err := New(validSpec())
	if err != nil {
		t.Fatal(err)
	}
	value := row.Encode()
	rapid.Check(t, func(t *rapid.T) {
		damaged := append([]byte(nil), value...)
		position := rapid.IntRange(0, len(damaged)-1).Draw(t, "position")
		damaged[position] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
		if _, err := Decode(damaged); !IsErrBadRow(err) {
			t.Fatalf("damage at %d gives %v", position, err)
		}
		if _, err := Decode(value[:position]); !IsErrBadRow(err) {
			t.Fatalf("%d bytes give %v", position, err)
		}
	})
}

// BenchmarkEncode measures the size of a placed task in the row. The baseline is 100 bytes, the size of
// a JSON object with the same fields.
func BenchmarkEncode(b *testing.B) {
	large := validSpec()
	large.Count, large.Payload = MaxTasks, ""
	row, err := New(large)
	if err != nil {
		b.Fatal(err)
	}
	for index := range row.Tasks {
		placement := Placement{Worker: ident.Worker("worker-" + string(rune('a'+index%26))), Incarnation: 3, DataCentre: "gent"}
		if err := row.Apply(Change{Step: StepClaim, Index: index, Epoch: 1, Placement: placement, Size: large.Declared}); err != nil {
			b.Fatal(err)
		}
	}
	size := 0
	for b.Loop() {
		size = len(row.Encode())
	}
	b.ReportMetric(float64(size)/MaxTasks, "B/task")
	b.ReportMetric(float64(size)/MaxTasks/100, "B/task/baseline")
}
