package assignment

import "testing"

// Positions of images in the tests.
const (
	light = iota
	heavy
)

// TestFasterAndFreerWorkersComeFirst guards against runs beside serving tasks that they disturb while other workers bear them,
// and against workers that fill up while equal ones are free.
func TestFasterAndFreerWorkersComeFirst(t *testing.T) {
	round := NewRound([]Worker{
		{Capacity: 16, Idle: 8, Speed: 1, Rooms: []Room{{Left: 0.5, Weights: []float64{0, 0.3}}}},
		{Capacity: 16, Idle: 8, Speed: 1, Rooms: []Room{{Left: 0.5, Weights: []float64{0, 0.02}}}},
	})
	best := func(group Group) int {
		first, _ := round.Value(0, group, 1, 0)
		second, _ := round.Value(1, group, 1, 0)
		if first > second {
			return 0
		}
		return 1
	}
	if got := best(Group{Image: heavy, Cores: 2, MinSpeed: 0.75}); got != 1 {
		t.Errorf("a heavy run goes to worker %d, where it would be throttled", got)
	}
	group := Group{Image: light, Cores: 2, MinSpeed: 0.75}
	round.Place(1, group)
	if got := best(group); got != 0 {
		t.Errorf("a light run goes to worker %d, which has fewer free cores", got)
	}
}

// TestRunsTakeRoom guards against runs that are placed in the room beside a serving task which others have taken.
func TestRunsTakeRoom(t *testing.T) {
	round := NewRound([]Worker{{Capacity: 16, Idle: 12, Speed: 1, Rooms: []Room{{Left: 0.4, Weights: []float64{0, 0.1}}}}})
	task := Group{Image: heavy, Cores: 3, MinSpeed: 0.75}
	if _, ok := round.Value(0, task, 1, 0); !ok {
		t.Error("a task finds no room beside a serving task that bears it")
	}
	round.Place(0, task)
	if _, ok := round.Value(0, task, 1, 0); ok {
		t.Error("a task is placed in the room of another one")
	}
	round.Release(0, task)
	if _, ok := round.Value(0, task, 1, 0); !ok {
		t.Error("room that was released is not found")
	}
}

// TestValueOfSlowerRuns guards against a choice that ignores the worker's speed, the location of the data or failures.
func TestValueOfSlowerRuns(t *testing.T) {
	round := NewRound([]Worker{{Capacity: 16, Idle: 8, Speed: 1}, {Capacity: 16, Idle: 8, Speed: 0.5}})
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
