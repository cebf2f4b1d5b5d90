package estimate_test

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/estimate"
)

// TestSnapshotRoundTrip guards against sizes, run times or floors that are lost on export or import, and
// against a snapshot that counts again with each import.
func TestSnapshotRoundTrip(t *testing.T) {
	model, fake := estimate.New(estimate.Defaults()), clock.NewFake(clock.Time(clock.Minute))
	recordUsage(model, fake, "nightly", size(2000, 5120), 200)
	for range 100 {
		model.RecordRunTime("nightly", "render", 10*clock.Minute, fake.Now())
	}
	model.RecordOutOfMemory("hungry", "render", 30000, 0)
	snapshot := &controlpb.Learned{}
	model.Export(snapshot, 10, fake.Now())
	payload, err := proto.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	read := &controlpb.Learned{}
	if err := proto.Unmarshal(payload, read); err != nil {
		t.Fatal(err)
	}
	restored := estimate.New(estimate.Defaults())
	for range 3 {
		restored.Import(read, clock.Minute, clock.Time(clock.Minute))
	}
	declared := size(200, 512)
	for _, class := range []string{"render", "other"} {
		if have, want := restored.Size("nightly", class, declared), model.Size("nightly", class, declared); have != want {
			t.Errorf("class %s: size %s, before %s", class, have, want)
		}
	}
	if have, want := restored.RunTime("weekly", "render", 0), model.RunTime("weekly", "render", 0); have != want {
		t.Errorf("run time %s, before %s", have, want)
	}
	if have, want := restored.Floor("hungry", "render"), model.Floor("hungry", "render"); have != want || have < 30000 {
		t.Errorf("floor %d, before %d", have, want)
	}
}

// TestMalformedSnapshotIsIgnored guards against a malformed snapshot that causes a panic or wrong
// estimates.
func TestMalformedSnapshotIsIgnored(t *testing.T) {
	model := estimate.New(estimate.Defaults())
	bad := []*controlpb.Histogram{
		{Cells: []uint32{64}, Weights: []float32{1}, Highest: 1},
		{Cells: []uint32{1, 2}, Weights: []float32{1}, Highest: 1},
		{Cells: []uint32{1}, Weights: []float32{float32(math.NaN())}, Highest: 1},
		{Cells: []uint32{1}, Weights: []float32{float32(math.Inf(1))}, Highest: 1},
		{Cells: []uint32{1}, Weights: []float32{-1}, Highest: 1},
		{Cells: []uint32{1}, Weights: []float32{1}, Highest: -1},
		nil,
	}
	for _, histogram := range bad {
		model.Import(&controlpb.Learned{
			Jobs:   []*controlpb.SizeRecord{{Name: "nightly", Memory: histogram, Cpu: histogram}, {}},
			Floors: []*controlpb.MemoryFloor{{MemoryMib: -1}, {Job: "nightly"}},
		}, 0, clock.Time(clock.Minute))
	}
	if have := model.Size("nightly", "render", size(200, 512)); have != size(200, 512) {
		t.Errorf("size %s from malformed snapshots", have)
	}
}
