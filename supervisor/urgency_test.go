package supervisor

import (
	"fmt"
	"sync/atomic"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// fillingTask returns the name of a filling task of the tests.
func fillingTask(index int) string {
	return workflow.Name{Job: "0123456789abcdef", Index: index}.String()
}

// fillingStart returns the start of a filling task of 2 cores.
func fillingStart(index int, urgency pacing.Urgency) session.Start {
	return session.Start{
		Incarnation: "i-1@10@node", Task: fillingTask(index), Run: 1, Fills: true, CPU: 2000, Image: "filling",
		Reserved: unit.Resources{Memory: 10}, Urgency: int(urgency),
	}
}

// startFilling orders filling tasks of the levels and waits until they have started.
func (fixture *staleFixture) startFilling(levels ...pacing.Urgency) {
	fixture.t.Helper()
	orders := &session.Orders{}
	for index, level := range levels {
		orders.Starts = append(orders.Starts, fillingStart(index, level))
	}
	fixture.receive(orders)
	fixture.passUntil("the starts", func() bool {
		_, filling := fixture.supervisor.worker.samples(true)
		return len(filling) == len(levels)
	})
}

// assertUrgencies checks the levels by which the filling tasks are paced.
func (fixture *staleFixture) assertUrgencies(when string, want ...pacing.Urgency) {
	fixture.t.Helper()
	got := map[string]pacing.Urgency{}
	fixture.supervisor.loop.Call(func() {
		_, filling := fixture.supervisor.worker.samples(fixture.supervisor.areUrgenciesCurrent(fixture.supervisor.worker))
		for _, sample := range filling {
			got[sample.Task] = sample.Urgency
		}
	})
	for index, level := range want {
		if got[fillingTask(index)] != level {
			fixture.t.Errorf("%s: level of task %d is %d, want %d", when, index, got[fillingTask(index)], level)
		}
	}
}

// TestUrgenciesFollowTheLeader guards against levels that are lost between a message of the leader and the pacing, and
// against a malformed level, or one of another run, that changes a run.
func TestUrgenciesFollowTheLeader(t *testing.T) {
	fixture := newStaleFixture(t)
	fixture.startFilling(pacing.Background, pacing.Normal, pacing.Normal)
	fixture.assertUrgencies("after the starts", pacing.Background, pacing.Normal, pacing.Normal)
	fixture.receive(&session.Orders{Urgencies: []session.Urgency{
		{Task: fillingTask(1), Run: 1, Level: int(pacing.Critical)},
		{Task: fillingTask(0), Run: 1},
		{Task: fillingTask(2), Run: 2, Level: int(pacing.Critical)},
		{Task: fillingTask(2), Run: 1, Level: 17},
		{Task: "malformed", Run: 1, Level: 1},
	}})
	fixture.assertUrgencies("after a change", pacing.Normal, pacing.Critical, pacing.Normal)
}

// TestUrgenciesOfSilentLeaderEnd guards against runs that are starved for good by levels of a leader that is silent, and
// against levels that a paused leader sends late: a message counts from the report that the leader had received.
func TestUrgenciesOfSilentLeaderEnd(t *testing.T) {
	fixture := newStaleFixture(t)
	// The worker's lease lasts, so that its runs stay active while the leader is silent.
	fixture.supervisor.loop.Call(func() { fixture.supervisor.extendGrant(fixture.clock.Now().Add(clock.Minute)) })
	fixture.startFilling(pacing.Critical, pacing.Background)
	fixture.pass(urgencyLifetime / 2)
	fixture.assertUrgencies("before the end", pacing.Critical, pacing.Background)
	fixture.pass(urgencyLifetime / 2)
	fixture.assertUrgencies("after the end", pacing.Normal, pacing.Normal)
	fixture.receive(&session.Orders{Urgencies: []session.Urgency{{Task: fillingTask(1), Run: 1, Level: int(pacing.Elevated)}}})
	fixture.assertUrgencies("after a late message", pacing.Normal, pacing.Normal)
	fixture.grant(fixture.report())
	fixture.assertUrgencies("after a message that answers a new report", pacing.Critical, pacing.Elevated)
}

// TestNewSessionResetsUrgencies guards against levels of an earlier leader that its successor does not know.
func TestNewSessionResetsUrgencies(t *testing.T) {
	fixture := newStaleFixture(t)
	fixture.startFilling(pacing.Critical, pacing.Background)
	fixture.changeSession(2)
	fixture.grant(fixture.report())
	fixture.assertUrgencies("in the new session", pacing.Normal, pacing.Normal)
	fixture.receive(&session.Orders{Starts: []session.Start{fillingStart(0, pacing.Elevated), fillingStart(1, pacing.Normal)}})
	fixture.assertUrgencies("after the new leader's orders", pacing.Elevated, pacing.Normal)
}

// TestBackgroundRunIsPacedWithItsStart guards against a background run that slows others while it waits for a call slot
// at full pace, and against one that takes pace from a run of a higher level.
func TestBackgroundRunIsPacedWithItsStart(t *testing.T) {
	fake := newRuntime()
	servingTask := "fedcba9876543210.0.0.0"
	fake.samples = map[string]int64{servingTask: 58}
	var earlyPaces, latePaces atomic.Int32
	supervisor := newSupervisor(t, fake)
	supervisor.loop.Call(supervisor.beginSession)
	order := func(starts ...session.Start) {
		supervisor.loop.Call(func() { supervisor.applyOrders(&session.Orders{Term: 1, Starts: starts}) })
	}
	order(session.Start{Incarnation: "i-1@10@node", Task: servingTask, Run: 1, Image: "serving", Target: 100, Reserved: unit.Resources{CPU: 1000, Memory: 10}})
	await(t, supervisor, "a sample", func() bool {
		return len(supervisor.worker.listing.Active) == 1 && supervisor.worker.listing.Active[0].Sample > 0
	})
	supervisor.loop.Call(func() { supervisor.worker.weights[[2]pacing.Image{"serving", "filling"}] = 0.0169 }) // log(0.6/0.58) allows 2 cores.
	order(fillingStart(0, pacing.Normal))
	await(t, supervisor, "the first filling run", func() bool {
		run := supervisor.worker.runs[runKey{fillingTask(0), 1}]
		return run.phase == phaseStarted && run.pacedAfterStart && run.pacePercent == pacing.FullPace
	})
	fake.update(func() {
		fake.onPace = func(call PaceCall) {
			supervisor.loop.Call(func() {
				if run := supervisor.worker.runs[runKey{call.Task, call.Run}]; run.pacedAfterStart {
					latePaces.Add(1)
				} else {
					earlyPaces.Add(1)
				}
			})
		}
	})
	order(fillingStart(1, pacing.Background))
	await(t, supervisor, "the pace of the background run", func() bool {
		run, ok := supervisor.worker.runs[runKey{fillingTask(1), 1}]
		return ok && run.pacePercent == 0 && run.pacedAfterStart
	})
	supervisor.loop.Call(func() {
		if pace := supervisor.worker.runs[runKey{fillingTask(0), 1}].pacePercent; pace != pacing.FullPace {
			t.Errorf("pace of the normal run is %d, want %d", pace, pacing.FullPace)
		}
	})
	if got := fmt.Sprint(earlyPaces.Load(), " ", latePaces.Load()); got != "1 0" {
		t.Errorf("calls to pace with the start and after it: %s, want 1 0", got)
	}
}

// TestUrgencyLifetimeExceedsReports guards against levels that end while the leader answers each report.
func TestUrgencyLifetimeExceedsReports(t *testing.T) {
	if urgencyLifetime < 3*reportInterval || urgencyLifetime > 3*clock.Second {
		t.Errorf("levels are used for %s", urgencyLifetime)
	}
}
