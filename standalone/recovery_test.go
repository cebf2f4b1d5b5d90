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

// taskStopDelay returns how long after its last granted heartbeat an agent stops its tasks.
func taskStopDelay() clock.Millis {
	return lease.DefaultTerm - agent.DefaultSettings().StopMargin
}

// TestTakeoverKeepsTasks guards against tasks that stop or start twice after the entry that granted
// their agents' leases has crashed: all its agents need a new home entry before their leases expire.
func TestTakeoverKeepsTasks(t *testing.T) {
	t.Run("process ends", func(t *testing.T) { testTakeover(t, nil) })
	t.Run("VM vanishes", func(t *testing.T) { testTakeover(t, unreachableDaemon{}) })
}

// testTakeover crashes an entry and lets server answer the further calls to its address; nil refuses
// them.
func testTakeover(t *testing.T, server any) {
	t.Helper()
	inBubble(t, 8, func(bubble *bubble) {
		bubble.startStandingTasks(48)
		crashed := bubble.centres[0]
		if bubble.agentsHomedAt(crashed) == 0 {
			t.Fatal("no agent has the entry as its home")
		}
		bubble.crashEntry(crashed)
		bubble.serve(string(EntryID(crashed)), server)
		elapsed := bubble.until("another entry grants all leases", taskStopDelay(), func() bool { return bubble.agentsHomedAt(crashed) == 0 })
		t.Logf("taken over after %s", elapsed)
		// After two more lease terms the agents still have leases only if the new grants reach them.
		for range 40 {
			bubble.advance(clock.Second)
			if count := bubble.agentsWithoutLease(); count > 0 {
				t.Fatalf("%d agents have no lease", count)
			}
		}
		bubble.assertRuns(48, 48)
		bubble.assertSafe()
	})
}

// TestRestartStormKeepsTasks guards against tasks that stop or run twice, an overloaded table and
// daemons that don't serve again when every daemon is restarted once within 10 s, agents without
// draining.
func TestRestartStormKeepsTasks(t *testing.T) {
	inBubble(t, 8, func(bubble *bubble) {
		bubble.startStandingTasks(48)
		pause := 10 * clock.Second / clock.Millis(len(bubble.centres)*(bubble.workers+1))
		for _, centre := range bubble.centres {
			bubble.crashEntry(centre)
			bubble.startEntry(centre)
			bubble.advance(pause)
			for index := range bubble.workers {
				bubble.crashAgent(centre, index)
				bubble.startAgent(centre, index)
				bubble.advance(pause)
			}
		}
		elapsed := bubble.until("all agents hold a lease", clock.Minute, func() bool { return bubble.agentsWithoutLease() == 0 })
		t.Logf("serving again after %s", elapsed)
		bubble.advance(clock.Minute)
		bubble.assertRuns(48, 48)
		bubble.assertSafe()
	})
}

// TestTableOutageOfAnHour guards against tasks that stop or start twice during a table outage of an
// hour, and against daemons that overload the table or start no new tasks when it is available again.
func TestTableOutageOfAnHour(t *testing.T) {
	inBubble(t, 4, func(bubble *bubble) {
		bubble.startStandingTasks(24)
		if err := bubble.platform.Table.SetFaults(standin.StoreFaults{Outage: true}); err != nil {
			t.Fatal(err)
		}
		for range 60 {
			bubble.advance(clock.Minute)
			if count := bubble.agentsWithoutLease(); count > 0 {
				t.Fatalf("%d agents have no lease", count)
			}
		}
		if err := bubble.submit("refused", 1, worker.Batch, 1000); !operator.IsErrRetryLater(err) {
			t.Fatalf("a job was answered with %v", err)
		}
		bubble.assertRuns(24, 24)
		if err := bubble.platform.Table.SetFaults(standin.StoreFaults{}); err != nil {
			t.Fatal(err)
		}
		bubble.until("a job to be accepted", clock.Minute, func() bool { return bubble.submit("resumed", 12, worker.Batch, 1000) == nil })
		bubble.until("its tasks to finish", clock.Minute, func() bool {
			running, runs := bubble.countRuns()
			return running == 24 && runs == 24+12
		})
		bubble.assertSafe()
	})
}

// TestDataCentreReturnsAtOnce guards against tasks that run again, an overloaded table and agents
// without a lease when all daemons of a lost data centre start at once, after its tasks were placed
// elsewhere.
func TestDataCentreReturnsAtOnce(t *testing.T) {
	inBubble(t, 8, func(bubble *bubble) {
		bubble.startStandingTasks(48)
		crashed := bubble.centres[0]
		bubble.crashEntry(crashed)
		for index := range bubble.workers {
			bubble.crashAgent(crashed, index)
		}
		bubble.until("its tasks run elsewhere", 3*clock.Minute, func() bool {
			running, _ := bubble.countRuns()
			return running == 48 && bubble.countRunningIn(crashed) == 0
		})
		_, runsBefore := bubble.countRuns()
		bubble.startEntry(crashed)
		for index := range bubble.workers {
			bubble.startAgent(crashed, index)
		}
		elapsed := bubble.until("all agents hold a lease", clock.Minute, func() bool { return bubble.agentsWithoutLease() == 0 })
		t.Logf("serving again after %s", elapsed)
		bubble.advance(clock.Minute)
		bubble.assertRuns(48, runsBefore)
		if err := bubble.submit("spread", 96, worker.Standing, 24*clock.Hour); err != nil {
			t.Fatal(err)
		}
		bubble.until("the data centre gets work", clock.Minute, func() bool { return bubble.countRunningIn(crashed) > 0 })
		bubble.assertSafe()
	})
}

// countRunningIn counts the tasks that run on the workers of a data centre.
func (bubble *bubble) countRunningIn(centre ident.DataCentre) int {
	workers, count := map[ident.Worker]bool{}, 0
	for index := range bubble.workers {
		workers[WorkerID(centre, index)] = true
	}
	for _, run := range bubble.platform.Records.Runs() {
		if run.State == worker.Running && workers[run.Worker] {
			count++
		}
	}
	return count
}
