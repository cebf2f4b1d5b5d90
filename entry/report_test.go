package entry

import (
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/job"
	"hyssopjunction/table"
	"hyssopjunction/worker"
)

// Guards against a second report for each end, and against an agent that takes a report for lost while the
// table does not answer.
func TestReportWaitsForTheRecord(t *testing.T) {
	inWorld(t, func(world *world) {
		world.writeJob(run.Job, true)
		if err := world.entry.loadJob(t.Context(), run.Job); err != nil {
			t.Fatal(err)
		}
		release := make(chan struct{})
		world.store.hook(func(call string, key table.Key) {
			if call == "Commit" && key == job.Key(run.Job) {
				<-release
			}
		})
		began := world.entry.time.Now()
		if reply := world.report(worker.Finished); len(reply.Recorded) != 0 {
			t.Fatal("recorded without an answer of the table")
		}
		if held := world.entry.time.Now().Sub(began); held < reportHold || held > reportHold+world.entry.settings.Tick {
			t.Fatalf("reply after %s, want %s and at most a tick more", held, reportHold)
		}
		world.store.hook(nil)
		began = world.entry.time.Now()
		time.AfterFunc(100*time.Millisecond, func() { close(release) })
		if reply := world.report(worker.Finished); len(reply.Recorded) != 1 {
			t.Fatal("not recorded when the table answered")
		}
		if held := world.entry.time.Now().Sub(began); held > 100*clock.Millisecond {
			t.Fatalf("reply %s after the report, want it with the answer of the table", held)
		}
		world.entry.control.Call(func() {
			if len(world.entry.reports) != 0 {
				t.Errorf("%d answered reports are held", len(world.entry.reports))
			}
		})
	})
}
