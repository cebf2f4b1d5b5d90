package leadership

import (
	"testing"
	"time"

	"hyssopjunction/election"
	"hyssopjunction/session"
	"hyssopjunction/workflow"
)

// recoveryMargin is the time that reports, rounds and checks may add to the wait for a worker's lease.
const recoveryMargin = time.Second

// TestSilentWorkerAfterTakeover guards against standing tasks that wait for a whole lease after each change of leaders,
// although their worker was silent long before (issue 25).
func TestSilentWorkerAfterTakeover(t *testing.T) {
	release := func(cluster *cluster) {
		leader := cluster.leader()
		cluster.entries[leader].Load().Close()
		cluster.startEntry(leader)
	}
	cutOffLeader := func(cluster *cluster) { cluster.stores[cluster.leader()].setFault(cutOff) }
	storeAway := func(cluster *cluster) {
		leader := cluster.leader()
		for _, store := range cluster.stores {
			store.setFault(cutOff)
		}
		time.Sleep(6 * time.Second)
		for number, store := range cluster.stores {
			if number != leader {
				store.setFault(works)
			}
		}
	}
	cases := map[string]struct {
		changes []func(*cluster)
		pause   time.Duration
	}{
		"leader stops":                        {[]func(*cluster){release}, 0},
		"leader is cut off":                   {[]func(*cluster){cutOffLeader}, 0},
		"leaders stop in turn":                {[]func(*cluster){release, release}, 1500 * time.Millisecond},
		"leaders are cut off in turn":         {[]func(*cluster){cutOffLeader, cutOffLeader}, 3500 * time.Millisecond},
		"store is away before the takeover":   {[]func(*cluster){storeAway}, 0},
		"leader stops, next one dies at once": {[]func(*cluster){release, cutOffLeader}, 500 * time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 3, 2, func(cluster *cluster) {
				silent := cluster.holder(nil)
				time.Sleep(5 * time.Second)
				silent.setSilent(true)
				silentSince := time.Now()
				time.Sleep((election.SilentAfter + election.RenewalInterval + 200).Duration())
				for _, change := range test.changes {
					change(cluster)
					time.Sleep(test.pause)
				}
				cluster.holder(silent)
				want := election.WorkerStoppedAfter(testLease).Duration() + recoveryMargin
				if got := time.Since(silentSince); got > want {
					t.Errorf("the task was placed again %s after the worker went silent, want at most %s", got, want)
				}
			})
		})
	}
}

// TestReturningWorkerWaitsForHeartbeat guards against two runs of one task: a worker that comes back while the store is
// away is granted a lease, although a heartbeat that lists it as silent is stored or may be stored late. It also guards
// against such a worker that gets no lease once the store is back.
func TestReturningWorkerWaitsForHeartbeat(t *testing.T) {
	for name, fault := range map[string]commitFault{"store works": works, "store away": cutOff, "unknown outcome": lateAndUnanswered} {
		t.Run(name, func(t *testing.T) {
			// The last heartbeat before the fault, or the one in flight since, is the first that lists the worker.
			for faultAfter := election.SilentAfter - election.RenewalInterval; faultAfter <= election.SilentAfter+election.RenewalInterval; faultAfter += 100 {
				runCluster(t, 1, 1, func(cluster *cluster) {
					agent := cluster.holder(nil)
					agent.setSilent(true)
					time.Sleep(faultAfter.Duration())
					cluster.stores[0].setFault(fault)
					time.Sleep((election.SilentAfter + 2*election.RenewalInterval - faultAfter).Duration())
					agent.setSilent(false)
					time.Sleep(time.Second)
					cluster.stores[0].setFault(works)
					time.Sleep(recoveryMargin)
					if got, want := time.Until(agent.leaseEnd()), testLease.Duration()-recoveryMargin; got < want {
						t.Errorf("fault after %s: the lease lasts for %s more, want %s or more", faultAfter, got, want)
					}
				})
			}
		})
	}
}

// TestLapseOutlivesLeaderWithoutStore guards against standing tasks that wait for a lease which was granted to a lapsed
// worker: the leader had no store when the worker's agent reported the lapse and stopped, and another entry leads now.
func TestLapseOutlivesLeaderWithoutStore(t *testing.T) {
	runCluster(t, 2, 2, func(cluster *cluster) {
		lapsed := cluster.holder(nil)
		time.Sleep(5 * time.Second)
		leader := cluster.leader()
		cluster.stores[leader].setFault(cutOff)
		time.Sleep((election.LeaderLease - 300).Duration()) // The leader still grants leases, and the other entry does not lead yet.
		end := &session.WorkerEnd{Node: lapsed.node, Incarnation: "i@1@" + lapsed.node, Lapsed: true, Ends: []session.End{
			{Number: 1, Task: testTask, Run: lapsed.lapse(), Cause: workflow.Interrupted},
		}}
		lapsed.setSilent(true)
		if reply, err := cluster.entries[1-leader].Load().EndWorker(t.Context(), end); err != nil || reply.Stored {
			t.Fatalf("got %+v and %v, want a report that is kept", reply, err)
		}
		reportedAt := time.Now()
		cluster.holder(lapsed)
		want := election.LeaderLease.Duration() + 2*recoveryMargin
		if got := time.Since(reportedAt); got > want {
			t.Errorf("the task was placed again %s after the lapse was reported, want at most %s", got, want)
		}
	})
}
