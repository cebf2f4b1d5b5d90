package supervisor

import (
	"testing"
)

// assertCrash fails unless the next report has the crash of a worker that had started so many runs, or no crash if the number is
// negative.
func assertCrash(t *testing.T, supervisor *Supervisor, runs int) {
	t.Helper()
	supervisor.loop.Call(func() {
		supervisor.beginSession()
		crashes := supervisor.nextReport().Crashes
		if runs < 0 {
			if len(crashes) > 0 {
				t.Errorf("got crashes %+v, want none", crashes)
			}
			return
		}
		if len(crashes) != 1 || len(crashes[0].Runs) != runs {
			t.Errorf("got crashes %+v, want one with %d runs", crashes, runs)
		}
	})
}

// TestCrashIsReportedWithRuns guards against a crash whose report lacks the run that caused it because no listing had it yet,
// and against one that blames runs that the worker never had.
func TestCrashIsReportedWithRuns(t *testing.T) {
	fake := newRuntime()
	supervisor := newSupervisor(t, fake)
	await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
	supervisor.sendOrder(1, false)
	await(t, supervisor, "the start", func() bool { return supervisor.worker.runs[runKey{"0123456789abcdef.0.0.0", 1}].phase == phaseStarted })
	supervisor.loop.Call(func() {
		worker := supervisor.worker
		worker.runs[runKey{"waiting", 1}] = &runState{phase: phaseStarting, hasOrder: true}
		worker.runs[runKey{"unanswered", 1}] = &runState{phase: phaseStarting, hasOrder: true, startSentAt: supervisor.clocks.Boot.Now()}
		worker.runs[runKey{"refused", 1}] = &runState{phase: phaseStarting, hasOrder: true, startSentAt: supervisor.clocks.Boot.Now()}
		worker.recordAnswer(worker.runs[runKey{"refused", 1}], false, ErrNotListening{Reason: "connection refused"}, supervisor.clocks.Boot.Now())
		supervisor.endIncarnation(worker, "test")
	})
	assertCrash(t, supervisor, 2)
}

// TestPlannedEndIsNoCrash guards against tasks that are blamed for the end of a worker that had announced it, and for that of one
// that was only unreachable for a moment.
func TestPlannedEndIsNoCrash(t *testing.T) {
	t.Run("draining", func(t *testing.T) {
		supervisor := newSupervisor(t, newRuntime())
		supervisor.loop.Call(func() {
			supervisor.worker.announcement.Draining = true
			supervisor.endIncarnation(supervisor.worker, "test")
		})
		assertCrash(t, supervisor, -1)
	})
	t.Run("answers again", func(t *testing.T) {
		fake := newRuntime()
		supervisor := newSupervisor(t, fake)
		await(t, supervisor, "a listing", func() bool { return supervisor.worker.clockReadAt != 0 })
		fake.update(func() { fake.refusedListings = -1 })
		await(t, supervisor, "the end of the worker", func() bool { return supervisor.worker.ended })
		assertCrash(t, supervisor, 0)
		fake.update(func() { fake.refusedListings = 0 })
		await(t, supervisor, "an answer", func() bool { return !supervisor.worker.ended })
		assertCrash(t, supervisor, -1)
	})
}
