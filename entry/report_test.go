package entry

import (
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/job"
	"hyssopjunction/table"
	"hyssopjunction/worker"
)

// TestReportReplyWaitsForCommit guards against a second report for each end, and against a reply
// that comes after the agent's timeout while the table does not answer.
func TestReportReplyWaitsForCommit(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.writeJob(testTask.Job, true)
		if err := fixture.entry.loadJob(t.Context(), testTask.Job); err != nil {
			t.Fatal(err)
		}
		release := make(chan struct{})
		fixture.store.setHook(func(call string, key table.Key) {
			if call == "Commit" && key == job.Key(testTask.Job) {
				<-release
			}
		})
		began := fixture.entry.time.Now()
		if reply := fixture.report(worker.Finished); len(reply.Recorded) != 0 {
			t.Fatal("recorded without an answer of the table")
		}
		if wait := fixture.entry.time.Now().Sub(began); wait < reportWait || wait > reportWait+fixture.entry.settings.Tick {
			t.Fatalf("reply after %s, want %s and at most a tick more", wait, reportWait)
		}
		fixture.store.setHook(nil)
		began = fixture.entry.time.Now()
		time.AfterFunc(100*time.Millisecond, func() { close(release) })
		if reply := fixture.report(worker.Finished); len(reply.Recorded) != 1 {
			t.Fatal("not recorded when the table answered")
		}
		if wait := fixture.entry.time.Now().Sub(began); wait > 100*clock.Millisecond {
			t.Fatalf("reply %s after the report, want it with the answer of the table", wait)
		}
		fixture.entry.control.Call(func() {
			if len(fixture.entry.waitingReports) != 0 {
				t.Errorf("%d answered reports still wait", len(fixture.entry.waitingReports))
			}
		})
	})
}
