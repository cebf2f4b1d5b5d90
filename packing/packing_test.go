package packing

import (
	"testing"

	"hyssopjunction/unit"
)

// A large task that waits must get the room that smaller ones take in pieces, by the move of one task only, and of the
// smallest that suffices, because a moved task does not run for a moment.
func TestChoose(t *testing.T) {
	cores := func(count unit.MilliCPU) unit.Resources { return unit.Resources{CPU: 1000 * count} }
	always := Rules{MayHost: func(int) bool { return true }, MayMove: func(int, int, int) bool { return true }}
	pieces := []Worker{
		{Free: cores(12), Tasks: []unit.Resources{cores(16), cores(10)}},
		{Free: cores(14), Tasks: []unit.Resources{cores(8), cores(7)}},
		{Free: cores(9)},
		{Free: cores(8)},
	}
	for name, test := range map[string]struct {
		workers []Worker
		need    unit.MilliCPU
		rules   Rules
		want    Move
		found   bool
	}{
		"smallest task to the tightest worker":    {pieces, 20, always, Move{From: 1, Task: 1, To: 3}, true},
		"larger task if the smaller one is short": {pieces, 22, always, Move{From: 1, Task: 0, To: 3}, true},
		"no task is large enough":                 {pieces, 29, always, Move{}, false},
		"nowhere to go":                           {pieces[:1], 20, always, Move{}, false},
		"worker that may not host the task": {pieces, 20, Rules{
			MayHost: func(worker int) bool { return worker != 1 }, MayMove: always.MayMove,
		}, Move{From: 0, Task: 1, To: 1}, true},
		"task that may not move": {pieces, 20, Rules{
			MayHost: always.MayHost, MayMove: func(from, task, _ int) bool { return from != 1 || task != 1 },
		}, Move{From: 1, Task: 0, To: 3}, true},
	} {
		t.Run(name, func(t *testing.T) {
			got, found := Choose(test.workers, cores(test.need), test.rules)
			if got != test.want || found != test.found {
				t.Errorf("got %+v, %t, want %+v, %t", got, found, test.want, test.found)
			}
		})
	}
}
