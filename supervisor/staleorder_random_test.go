package supervisor

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// randomLeader is what leaders know of the worker of a staleFixture. Reports and orders wait in the queues of a session
// until the test delivers them.
type randomLeader struct {
	*staleFixture
	reports []*session.Report
	orders  []*session.Orders
	// startedAt is when the present leader took over, grantedAt when it last granted the lease, or 0.
	startedAt, grantedAt clock.Time
	// attached reports that the leader has the worker's profile in this session, placing that it may place runs.
	attached, placing bool
	// run is the number of the last run, which the leader has on the worker if active is set.
	run    workflow.Run
	active bool
	// over holds the runs that the leader has ended. The worker's lock guards it.
	over map[workflow.Run]bool
	held chan StartCall
	// lapses holds the reports of the worker's lapses so far. Entries may pass on a copy at any later time.
	lapses []*session.WorkerEnd
}

func newRandomLeader(t *testing.T) *randomLeader {
	t.Helper()
	leader := &randomLeader{staleFixture: newStaleFixture(t), over: map[workflow.Run]bool{}}
	leader.worker.onStart = func(call StartCall) {
		if leader.over[call.Run] {
			t.Errorf("run %d starts after the leader has ended it", call.Run)
		}
	}
	leader.beginSession(1)
	return leader
}

func (leader *randomLeader) beginSession(term int64) {
	leader.reports, leader.orders, leader.attached, leader.placing = nil, nil, false, false
	if term > leader.term || leader.startedAt == 0 {
		leader.startedAt, leader.grantedAt = leader.clock.Now(), 0
	}
	leader.changeSession(term)
	// The first report has the worker's profile.
	leader.sendReport()
}

func (leader *randomLeader) sendReport() {
	leader.supervisor.loop.Call(func() { leader.reports = append(leader.reports, leader.supervisor.nextReport()) })
}

// end records that the present run is over for the leader. No run may be active on the worker from then on.
func (leader *randomLeader) end(cause string) {
	if !leader.active {
		return
	}
	leader.active = false
	leader.worker.update(func() {
		leader.over[leader.run] = true
		if leader.worker.running[runKey{staleTask, leader.run}] && leader.worker.leaseEnd > leader.worker.now() {
			leader.t.Errorf("%s of run %d while it is active and its lease has %d ms left", cause, leader.run, leader.worker.leaseEnd-leader.worker.now())
		}
	})
}

// handleReport processes the oldest report that the leader has not received.
func (leader *randomLeader) handleReport() {
	report := leader.reports[0]
	leader.reports = leader.reports[1:]
	now := leader.clock.Now()
	leader.received = report.Sequence
	if report.Worker != nil {
		leader.placing = report.Worker.Responsive
		if report.Worker.Lapsed {
			leader.end("reported lapse")
		}
	}
	for _, end := range report.Ends {
		if end.Run == leader.run {
			leader.end("listed end")
		}
	}
	for _, rejection := range report.Rejections {
		if rejection.Run == leader.run {
			leader.end("rejection for " + rejection.Reason)
		}
	}
	leader.grantedAt = now
	leader.send(&session.Orders{Lease: staleLease})
	if report.Worker != nil && !leader.attached {
		leader.attached = true
		if leader.active {
			leader.sendStart()
		}
	}
}

func (leader *randomLeader) send(orders *session.Orders) {
	orders.Term, orders.Sequence = leader.term, leader.received
	leader.orders = append(leader.orders, orders)
}

func (leader *randomLeader) sendStart() {
	leader.send(&session.Orders{Starts: []session.Start{{
		Incarnation: "i-1@10@node", Task: staleTask, Run: leader.run, Reserved: unit.Resources{CPU: 3000, Memory: 10},
	}}})
}

// recordLapse does what the leader does about a lease that has ended.
func (leader *randomLeader) recordLapse() {
	now := leader.clock.Now()
	switch {
	case leader.grantedAt != 0 && now.Sub(leader.grantedAt) > election.WorkerStoppedAfter(staleLease):
		leader.end("lapse")
	case leader.grantedAt == 0 && now.Sub(leader.startedAt) > election.GrantExtension+election.WorkerStoppedAfter(staleLease):
		leader.end("lapse of the former leader's lease")
	}
}

// keepLapse keeps the report of a lapse that the agent would send now.
func (leader *randomLeader) keepLapse() {
	leader.supervisor.loop.Call(func() {
		if worker := leader.supervisor.worker; worker.lapsed && !worker.ended {
			leader.lapses = append(leader.lapses, leader.supervisor.newWorkerEnd(worker))
		}
	})
}

// handleLapse processes one of the kept reports of lapses.
func (leader *randomLeader) handleLapse(random *rand.Rand) {
	if len(leader.lapses) == 0 {
		return
	}
	for _, end := range leader.lapses[random.IntN(len(leader.lapses))].Ends {
		if end.Run == leader.run {
			leader.end("late copy of a lapse")
		}
	}
}

// restartAgent replaces the agent's process.
func (leader *randomLeader) restartAgent() {
	leader.supervisor.Close()
	leader.startSupervisor()
	leader.beginSession(leader.term)
}

// step plays one random event.
func (leader *randomLeader) step(random *rand.Rand) string {
	switch event := random.IntN(20); {
	case event < 4:
		millis := clock.Millis(10 + random.IntN(300))
		leader.pass(millis)
		return fmt.Sprintf("%d ms pass", millis)
	case event < 6:
		millis := clock.Millis(500 + random.IntN(4000))
		leader.clock.Advance(millis)
		return fmt.Sprintf("agent is paused for %d ms", millis)
	case event < 9:
		leader.sendReport()
		return "report"
	case event < 12 && len(leader.reports) > 0:
		for len(leader.reports) > 0 {
			leader.handleReport()
		}
		return "leader receives reports"
	case event < 14 && leader.attached && leader.placing && !leader.active:
		leader.run, leader.active = leader.run+1, true
		leader.sendStart()
		return fmt.Sprintf("run %d is placed", leader.run)
	case event < 17 && len(leader.orders) > 0:
		count := 1 + random.IntN(len(leader.orders))
		for _, orders := range leader.orders[:count] {
			leader.supervisor.loop.Call(func() { leader.supervisor.acceptOrders(orders) })
		}
		leader.orders = leader.orders[count:]
		return fmt.Sprintf("agent receives %d messages", count)
	case event == 17:
		switch random.IntN(4) {
		case 0:
			leader.beginSession(leader.term)
			return "new session"
		case 1:
			leader.beginSession(leader.term + 1)
			return "new leader"
		case 2:
			leader.restartAgent()
			return "agent restarts"
		default:
			leader.worker.update(func() { leader.worker.end(runKey{staleTask, leader.run}, "done") })
			return "run ends"
		}
	case event == 18:
		leader.worker.update(func() { leader.worker.unresponsive = !leader.worker.unresponsive })
		return "worker's answers change"
	case event == 19:
		return leader.delayStart()
	}
	return ""
}

// delayStart makes the network hold the next start back, or delivers the one that it holds.
func (leader *randomLeader) delayStart() string {
	select {
	case call := <-leader.held:
		leader.held = nil
		leader.worker.update(func() { _ = leader.worker.start(call) })
		return fmt.Sprintf("start of run %d arrives late", call.Run)
	default:
		leader.held = make(chan StartCall, 1)
		leader.worker.update(func() { leader.worker.heldStart = leader.held })
		return "the next start is delayed"
	}
}

// TestRandomOrdersKeepOneRun guards against a run that is active on the worker after its leader has ended it and may have
// placed the task elsewhere, under any order of pauses and restarts of the agent, delays of orders, reports and starts, late
// copies of reports of lapses, new sessions, new leaders and a worker that does not answer.
func TestRandomOrdersKeepOneRun(t *testing.T) {
	t.Parallel()
	const seeds, events = 30, 150
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random, lapseRandom := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1))
			leader := newRandomLeader(t)
			var played []string
			for range events {
				if event := leader.step(random); event != "" {
					played = append(played, event)
				}
				leader.recordLapse()
				leader.keepLapse()
				if lapseRandom.IntN(5) == 0 {
					leader.handleLapse(lapseRandom)
				}
				if t.Failed() {
					t.Fatalf("after %q", played[max(0, len(played)-20):])
				}
			}
		})
	}
}
