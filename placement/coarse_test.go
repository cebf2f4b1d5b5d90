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

// TestUrgentWorkAvoidsCoarseStates guards against urgent work that tries one full worker after the
// other, because outdated states from other entries show them as free: with 100 such workers it
// started after 8 s. Here all of them refuse, and one worker with a precise state runs a task that
// may be preempted.
func TestUrgentWorkAvoidsCoarseStates(t *testing.T) {
	scheduler := New(Settings{}, Dependencies{Entry: "entry"})
	now := clock.Time(1000)
	scheduler.Handle(DataCentreChanged{DataCentre: "gent", Open: true, Key: "DataCentre/gent", Revision: 1}, now)
	for index := range 100 {
		scheduler.Handle(WorkerChanged{State: WorkerState{
			Worker: ident.Worker(fmt.Sprintf("late-%d", index)), Incarnation: 1, DataCentre: "gent", Rack: "r", Capacity: workerCapacity, Coarse: true,
		}}, now)
	}
	resident := Resident{Task: ident.Task{Job: "other", Index: 3}, Epoch: 7, Size: workerCapacity, Preemptible: true}
	scheduler.Handle(WorkerChanged{State: WorkerState{
		Worker: "precise", Incarnation: 1, DataCentre: "gent", Rack: "r", Capacity: workerCapacity, Used: workerCapacity, Residents: []Resident{resident},
	}}, now)
	urgent := batchSpec("urgent", 1, smallTask)
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
			if reserve, ok := action.(Reserve); ok {
				refused := ReserveResult{Task: reserve.Tasks[0].Task, Epoch: reserve.Tasks[0].Epoch, Refusal: "NoRoom"}
				scheduler.Handle(Reserved{Worker: reserve.Worker, Reservation: reserve.Reservation, Results: []ReserveResult{refused}, FreeKnown: true}, now)
			}
		}
	}
	t.Fatal("no room was made within the 2 s that the scheduler has of 4.2 s")
}
