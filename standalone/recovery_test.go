package standalone

import (
	"testing"

	"hyssopjunction/agent"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/operator"
	"hyssopjunction/standin"
	"hyssopjunction/worker"
)

// stopsAfter is how long after its last heartbeat with a grant an agent stops its tasks.
func stopsAfter() clock.Millis {
	return lease.DefaultTerm - agent.DefaultSettings().StopMargin
}

// Guards against tasks that stop or start twice because the entry that granted their agents' leases
// died: all of its agents need a new home before their leases lapse.
func TestTakeoverKeepsTasks(t *testing.T) {
	t.Run("process ends", func(t *testing.T) { takeover(t, nil) })
	t.Run("VM vanishes", func(t *testing.T) { takeover(t, vanished{}) })
}

// takeover ends an entry, after which server stands at its address.
func takeover(t *testing.T, server any) {
	t.Helper()
	inBubble(t, 8, func(bubble *bubble) {
		bubble.stand(48)
		dead := bubble.centres[0]
		if bubble.homed(dead) == 0 {
			t.Fatal("no agent has the entry as its home")
		}
		bubble.crashEntry(dead)
		bubble.serve(string(EntryID(dead)), server)
		took := bubble.until("another entry grants all leases", stopsAfter(), func() bool { return bubble.homed(dead) == 0 })
		t.Logf("taken over after %s", took)
		// Two terms more show that the new grants reach the agents.
		for range 40 {
			bubble.pass(clock.Second)
			if lapsed := bubble.unready(); lapsed > 0 {
				t.Fatalf("%d agents have no lease", lapsed)
			}
		}
		bubble.wantRunning(48, 48)
		bubble.assertSafe()
	})
}

// Guards against a storm of restarts that stops or doubles tasks, that overloads the table, or after
// which daemons do not serve: every daemon restarts once within 10 s, agents without draining.
func TestRestartStormKeepsTasks(t *testing.T) {
	inBubble(t, 8, func(bubble *bubble) {
		bubble.stand(48)
		step := 10 * clock.Second / clock.Millis(len(bubble.centres)*(bubble.workers+1))
		for _, centre := range bubble.centres {
			bubble.crashEntry(centre)
			bubble.startEntry(centre)
			bubble.pass(step)
			for index := range bubble.workers {
				bubble.crashAgent(centre, index)
				bubble.startAgent(centre, index)
				bubble.pass(step)
			}
		}
		took := bubble.until("all agents hold a lease", clock.Minute, func() bool { return bubble.unready() == 0 })
		t.Logf("serving again after %s", took)
		bubble.pass(clock.Minute)
		bubble.wantRunning(48, 48)
		bubble.assertSafe()
	})
}

// Guards against tasks that stop, start twice or never start again in a table outage of an hour, and
// against daemons that overload the table when it is back.
func TestTableOutageOfAnHour(t *testing.T) {
	inBubble(t, 4, func(bubble *bubble) {
		bubble.stand(24)
		if err := bubble.platform.Table.SetFaults(standin.StoreFaults{Outage: true}); err != nil {
			t.Fatal(err)
		}
		for range 60 {
			bubble.pass(clock.Minute)
			if lapsed := bubble.unready(); lapsed > 0 {
				t.Fatalf("%d agents have no lease", lapsed)
			}
		}
		if err := bubble.submit("refused", 1, worker.Batch, 1000); !operator.IsErrRetryLater(err) {
			t.Fatalf("a job was answered with %v", err)
		}
		bubble.wantRunning(24, 24)
		if err := bubble.platform.Table.SetFaults(standin.StoreFaults{}); err != nil {
			t.Fatal(err)
		}
		bubble.until("a job to be accepted", clock.Minute, func() bool { return bubble.submit("resumed", 12, worker.Batch, 1000) == nil })
		bubble.until("its tasks to finish", clock.Minute, func() bool {
			running, runs := bubble.running()
			return running == 24 && runs == 24+12
		})
		bubble.assertSafe()
	})
}

// Guards against a data centre that returns as a whole, after its tasks were placed elsewhere, and
// runs them a second time, overloads the table or gets no leases.
func TestDataCentreReturnsAtOnce(t *testing.T) {
	inBubble(t, 8, func(bubble *bubble) {
		bubble.stand(48)
		lost := bubble.centres[0]
		bubble.crashEntry(lost)
		for index := range bubble.workers {
			bubble.crashAgent(lost, index)
		}
		bubble.until("its tasks run elsewhere", 3*clock.Minute, func() bool {
			running, _ := bubble.running()
			return running == 48 && bubble.runningIn(lost) == 0
		})
		_, before := bubble.running()
		bubble.startEntry(lost)
		for index := range bubble.workers {
			bubble.startAgent(lost, index)
		}
		took := bubble.until("all agents hold a lease", clock.Minute, func() bool { return bubble.unready() == 0 })
		t.Logf("serving again after %s", took)
		bubble.pass(clock.Minute)
		bubble.wantRunning(48, before)
		if err := bubble.submit("spread", 96, worker.Standing, 24*clock.Hour); err != nil {
			t.Fatal(err)
		}
		bubble.until("the data centre gets work", clock.Minute, func() bool { return bubble.runningIn(lost) > 0 })
		bubble.assertSafe()
	})
}

// runningIn counts the running tasks on the workers of a data centre.
func (bubble *bubble) runningIn(centre ident.DataCentre) int {
	names, count := map[ident.Worker]bool{}, 0
	for index := range bubble.workers {
		names[WorkerID(centre, index)] = true
	}
	for _, run := range bubble.platform.Records.Runs() {
		if run.State == worker.Running && names[run.Worker] {
			count++
		}
	}
	return count
}
