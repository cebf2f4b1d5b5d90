package colocation

import "testing"

// Profiles and filling images of the tests: a task of profile 0 is sensitive to image 0, one of profile 1 to image 1.
var testDemand = Demand{Cores: []float64{10, 10}, Shares: [][]float64{{0.1, 1}, {1, 0.1}}}

func newWorker(profiles ...int) Worker {
	worker := Worker{IdleCores: 8}
	for _, profile := range profiles {
		worker.Tasks = append(worker.Tasks, Task{Profile: profile, Load: 2, Movable: true})
	}
	return worker
}

func fitsExchange(_, _, _, back int) bool { return back != NoTask }

// apply carries out moves, so that a test can look at later rounds.
func apply(workers []Worker, moves []Move) {
	for _, move := range moves {
		source, target := &workers[move.From], &workers[move.To]
		source.Tasks[move.Task], target.Tasks[move.Back] = target.Tasks[move.Back], source.Tasks[move.Task]
	}
}

// TestMixedWorkersAreSeparated guards against workers that keep two tasks of each kind: the exchange of one task does not
// change which images disturb, so a rule that counts only usable cores makes no move at all.
func TestMixedWorkersAreSeparated(t *testing.T) {
	workers := []Worker{newWorker(0, 0, 1, 1), newWorker(1, 0, 1, 0), newWorker(0, 1, 0, 1), newWorker(1, 1, 0, 0)}
	rounds := 0
	for ; rounds < 10; rounds++ {
		moves := Choose(workers, testDemand, fitsExchange, 0.1, len(workers))
		if len(moves) == 0 {
			break
		}
		apply(workers, moves)
	}
	for position, worker := range workers {
		for _, task := range worker.Tasks {
			if task.Profile != worker.Tasks[0].Profile {
				t.Errorf("worker %d still has both kinds after %d rounds: %+v", position, rounds, worker.Tasks)
				break
			}
		}
	}
}

// TestMovesAreLimited guards against many serving tasks that do not run at the same time because they are moved.
func TestMovesAreLimited(t *testing.T) {
	workers := []Worker{newWorker(0, 1), newWorker(1, 0), newWorker(0, 1), newWorker(1, 0)}
	if moves := Choose(workers, testDemand, fitsExchange, 0.1, 1); len(moves) != 1 {
		t.Errorf("got %d moves, want 1", len(moves))
	}
	involved := map[int]int{}
	for _, move := range Choose(workers, testDemand, fitsExchange, 0.1, 10) {
		involved[move.From]++
		involved[move.To]++
	}
	for worker, count := range involved {
		if count > 1 {
			t.Errorf("worker %d takes part in %d moves of a round, want at most 1", worker, count)
		}
	}
}

// TestNoMoveWithoutGain guards against tasks that move back and forth, that are moved although they may not be, and that
// are moved while the weights of the images are unknown and all shares are equal.
func TestNoMoveWithoutGain(t *testing.T) {
	fixed := []Worker{newWorker(0, 1), newWorker(1, 0)}
	for worker := range fixed {
		for task := range fixed[worker].Tasks {
			fixed[worker].Tasks[task].Movable = false
		}
	}
	mixed := []Worker{newWorker(0, 1), newWorker(1, 0)}
	cases := map[string]struct {
		workers []Worker
		demand  Demand
		fits    FitsFunc
	}{
		"separated":     {[]Worker{newWorker(0, 0), newWorker(1, 1)}, testDemand, fitsExchange},
		"not movable":   {fixed, testDemand, fitsExchange},
		"no room":       {mixed, testDemand, func(_, _, _, _ int) bool { return false }},
		"equal shares":  {mixed, Demand{Cores: []float64{10, 10}, Shares: [][]float64{{0.6, 0.6}, {0.6, 0.6}}}, fitsExchange},
		"no demand":     {mixed, Demand{Cores: []float64{0, 0}, Shares: testDemand.Shares}, fitsExchange},
		"single worker": {mixed[:1], testDemand, fitsExchange},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if moves := Choose(test.workers, test.demand, test.fits, 0.1, 10); len(moves) != 0 {
				t.Errorf("got moves %+v, want none", moves)
			}
		})
	}
}
