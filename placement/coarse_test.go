package placement

import (
	"fmt"
	"slices"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/table"
)

// TestCoarseStates guards against urgent work that asks one full worker after the other, because late
// states of other entries' workers show them free: with 100 of them it started after 8 s. Every worker
// refuses here, and one whose state is precise has a task that may be displaced.
func TestCoarseStates(t *testing.T) {
	scheduler := New(Settings{}, Dependencies{Entry: "entry"})
	now := clock.Time(1000)
	scheduler.Handle(DataCentreChanged{DataCentre: "gent", Open: true, Key: "DataCentre/gent", Revision: 1}, now)
	for index := range 100 {
		scheduler.Handle(WorkerChanged{State: WorkerState{
			Worker: ident.Worker(fmt.Sprintf("late-%d", index)), Incarnation: 1, DataCentre: "gent", Rack: "r", Capacity: host, Coarse: true,
		}}, now)
	}
	resident := Resident{Task: ident.Task{Job: "other", Index: 3}, Epoch: 7, Size: host, Preemptible: true}
	scheduler.Handle(WorkerChanged{State: WorkerState{
		Worker: "precise", Incarnation: 1, DataCentre: "gent", Rack: "r", Capacity: host, Used: host, Residents: []Resident{resident},
	}}, now)
	urgent := batch("urgent", 1, small)
	urgent.Urgent = true
	row, err := job.New(urgent)
	if err != nil {
		t.Fatal(err)
	}
	scheduler.Handle(JobLoaded{Row: table.Row{Key: job.Key("urgent"), Value: row.Encode(), Revision: 1}}, now)
	scheduler.Handle(RowsRead{Rows: []table.Row{{Key: TeamKey("a")}}}, now)
	submitted := now
	for now.Sub(submitted) < 2*clock.Second {
		now = now.Add(250)
		actions := scheduler.Handle(Round{}, now)
		if slices.ContainsFunc(actions, func(action Action) bool { _, ok := action.(Stop); return ok }) {
			return
		}
		for _, action := range actions {
			if asked, ok := action.(Reserve); ok {
				refused := ReserveResult{Task: asked.Tasks[0].Task, Epoch: asked.Tasks[0].Epoch, Refusal: "NoRoom"}
				scheduler.Handle(Reserved{Worker: asked.Worker, Reservation: asked.Reservation, Results: []ReserveResult{refused}, FreeKnown: true}, now)
			}
		}
	}
	t.Fatal("no room was made within the 2 s that the scheduler has of 4.2 s")
}
