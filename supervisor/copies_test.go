package supervisor

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/unit"
)

// orderCopy orders run 1 of the task, which may have two runs. The order was sent reportAge after the leader received the
// agent's newest report.
func (fixture *staleFixture) orderCopy(reportAge clock.Millis) {
	fixture.t.Helper()
	fixture.receive(&session.Orders{ReportAge: reportAge, Starts: []session.Start{{
		Incarnation: "i-1@10@node", Task: staleTask, Run: 1, Reserved: unit.Resources{CPU: 3000, Memory: 10}, Copies: true,
	}}})
}

// orderStop orders the stop of run 1 of the task.
func (fixture *staleFixture) orderStop() {
	fixture.t.Helper()
	fixture.receive(&session.Orders{Stops: []session.Stop{{Incarnation: "i-1@10@node", Task: staleTask, Run: 1}}})
}

// TestLateStartOfCopy guards against a run that starts more than a second after the other run of its task finished: its
// order waits in the connection, at the agent or at the worker, and the order to stop it comes later or not at all.
func TestLateStartOfCopy(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		play       func(fixture *staleFixture)
		wantStart  bool
		wantReason string
	}{
		"order arrives at once": {play: func(fixture *staleFixture) {
			fixture.orderCopy(0)
		}, wantStart: true},
		"order arrives at once after an old report": {play: func(fixture *staleFixture) {
			fixture.clock.Advance(maxCopiesStartAge + 100)
			fixture.orderCopy(maxCopiesStartAge)
		}, wantStart: true},
		"order waited in the connection": {play: func(fixture *staleFixture) {
			fixture.clock.Advance(maxCopiesStartAge)
			fixture.orderCopy(0)
		}, wantReason: "Overdue"},
		"order waits for the worker": {play: func(fixture *staleFixture) {
			fixture.setUnresponsive(true)
			fixture.grant(fixture.report())
			fixture.orderCopy(0)
			fixture.pass(maxCopiesStartAge)
			fixture.setUnresponsive(false)
		}, wantReason: "Overdue"},
		"order is repeated while it waits for the worker": {play: func(fixture *staleFixture) {
			fixture.setUnresponsive(true)
			fixture.grant(fixture.report())
			fixture.orderCopy(0)
			fixture.pass(maxCopiesStartAge - 200)
			fixture.grant(fixture.report())
			fixture.orderCopy(0)
			fixture.pass(300)
			fixture.setUnresponsive(false)
		}, wantStart: true},
		"stop while the order waits for the worker": {play: func(fixture *staleFixture) {
			fixture.setUnresponsive(true)
			fixture.grant(fixture.report())
			fixture.orderCopy(0)
			fixture.orderStop()
			fixture.setUnresponsive(false)
		}, wantReason: "Stopped"},
		"stop before the start": {play: func(fixture *staleFixture) {
			fixture.orderStop()
			fixture.orderCopy(0)
		}, wantReason: "Stopped"},
		"stop while the start is in flight": {play: func(fixture *staleFixture) {
			held := make(chan StartCall, 1)
			fixture.worker.update(func() { fixture.worker.heldStart = held })
			fixture.orderCopy(0)
			call := <-held
			fixture.orderStop()
			fixture.passUntil("the stop", func() bool { return len(fixture.supervisor.rejections) > 0 })
			fixture.worker.update(func() {
				if err := fixture.worker.start(call); !IsErrRefused(err) {
					fixture.t.Errorf("got %v for a start after the stop, want a refusal", err)
				}
			})
		}, wantReason: "Stopped"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newStaleFixture(t)
			test.play(fixture)
			fixture.check(test.wantStart, test.wantReason)
		})
	}
}
