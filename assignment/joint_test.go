package assignment

import (
	"testing"

	"hyssopjunction/pacing"
)

// Positions of images in the tests.
const (
	light = iota
	heavy
)

// newTestRound returns a round with a worker beside whose serving tasks the heavy image can hardly run, and one beside whose
// tasks both can.
func newTestRound(demand []float64) *Round {
	return NewRound([]Worker{
		{Capacity: 16, Idle: 8, Speed: 1, Rooms: []Room{NewRoom(0.3, []float64{0, 0.3})}},
		{Capacity: 16, Idle: 8, Speed: 1, Rooms: []Room{NewRoom(0.3, []float64{0, 0.02})}},
	}, demand)
}

// assertBest checks which worker has the higher value for a run of the group.
func assertBest(t *testing.T, round *Round, group Group, want int) {
	t.Helper()
	best, bestValue := -1, 0.0
	for position := range 2 {
		if value, ok := round.Value(position, group, 1, 0); ok && (best < 0 || value > bestValue) {
			best, bestValue = position, value
		}
	}
	if best != want {
		t.Errorf("worker %d is the best one, want %d", best, want)
	}
}

// TestRunLeavesRoomToOthers guards against runs of a harmless image on the only workers on which another image can run, and
// against the opposite preference while no other image asks for cores.
func TestRunLeavesRoomToOthers(t *testing.T) {
	group := Group{Image: light, Cores: 2, MinSpeed: 0.75}
	assertBest(t, newTestRound([]float64{20, 20}), group, 0)
	round := newTestRound([]float64{20, 0})
	round.Place(0, group)
	assertBest(t, round, group, 1)
}

// TestBackgroundRunsYield guards against a task that waits because background runs fill its room, although those yield
// their pace, and against a background task that counts on the pace of others.
func TestBackgroundRunsYield(t *testing.T) {
	round := NewRound([]Worker{{Capacity: 16, Idle: 12, Speed: 1, Rooms: []Room{NewRoom(0.4, []float64{0, 0.1})}}}, []float64{0, 20})
	task := Group{Image: heavy, Cores: 3, MinSpeed: 0.75}
	background := task
	background.Urgency = pacing.Background
	round.Place(0, background)
	if _, ok := round.Value(0, background, 1, 0); ok {
		t.Error("a second background run is placed in the room of the first one")
	}
	if _, ok := round.Value(0, task, 1, 0); !ok {
		t.Error("a task waits for background runs")
	}
	round.Place(0, task)
	if _, ok := round.Value(0, task, 1, 0); ok {
		t.Error("a task is placed in the room of another one of its urgency")
	}
}

// TestValueOfSlowerRuns guards against a choice that ignores the worker's speed, the location of the data or failures.
func TestValueOfSlowerRuns(t *testing.T) {
	round := NewRound([]Worker{{Capacity: 16, Idle: 8, Speed: 1}, {Capacity: 16, Idle: 8, Speed: 0.5}}, []float64{0})
	group := Group{Cores: 2, MinSpeed: 0.75}
	value := func(position int, dataFactor float64, failures int) float64 {
		result, ok := round.Value(position, group, dataFactor, failures)
		if !ok {
			t.Fatal("the run may not be placed")
		}
		return result
	}
	best := value(0, 1, 0)
	for name, other := range map[string]float64{"slow worker": value(1, 1, 0), "remote data": value(0, 1.5, 0), "failure": value(0, 1, 1)} {
		if other >= best {
			t.Errorf("%s: value %.2f, want less than %.2f", name, other, best)
		}
	}
}
