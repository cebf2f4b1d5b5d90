package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"hyssopjunction/outcome"
	"hyssopjunction/standalone"
	"hyssopjunction/standin"
)

// TestProcessesUnderFailures guards against work that is lost or runs twice when processes are
// killed, paused until their lease has expired or shut down under load, and when the table loses
// answers or has an outage.
func TestProcessesUnderFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	system := newSystem(t, defaultLayout)

	t.Run("no faults", func(t *testing.T) {
		system.t = t
		system.submit("first", 20, 300)
		for _, result := range system.send("first", 60, system.callerAPIs) {
			if result.Outcome != outcome.Ran {
				t.Errorf("a request had outcome %s: %s", result.Outcome, result.Refusal)
			}
		}
		system.awaitJob("first")
		system.assertClean()
	})

	t.Run("agent paused past its lease", func(t *testing.T) {
		system.t = t
		system.submit("paused", 24, 5000)
		var pausedAgent string
		system.await("tasks to run", func() bool {
			state, err := system.operators.Job(system.ctx, "paused")
			if err != nil || len(state.Running) == 0 {
				return false
			}
			pausedAgent = "agent-" + string(state.Running[0].Worker[len("worker-"):])
			return true
		})
		system.signal(pausedAgent, syscall.SIGSTOP)
		system.await("its tasks to run elsewhere", func() bool {
			state, err := system.operators.Job(system.ctx, "paused")
			if err != nil {
				return false
			}
			for _, placement := range state.Running {
				if "agent-"+string(placement.Worker[len("worker-"):]) == pausedAgent {
					return false
				}
			}
			return true
		})
		system.signal(pausedAgent, syscall.SIGCONT)
		system.awaitJob("paused")
		system.await("the agent to return", func() bool {
			status, err := system.operators.Status(system.ctx)
			return err == nil && status.Workers == agentCount
		})
		system.assertClean()
	})

	t.Run("table loses answers and is out", func(t *testing.T) {
		system.t = t
		system.setTableFaults(standin.StoreFaults{LoseRate: 0.2})
		system.submit("lossy", 20, 500)
		system.send("lossy", 40, system.callerAPIs)
		system.setTableFaults(standin.StoreFaults{Outage: true})
		for _, result := range system.send("outage", 20, system.callerAPIs) {
			if result.Key != "" && result.Outcome == outcome.Ran {
				t.Error("a keyed submission ran without a claim")
			}
		}
		system.setTableFaults(standin.StoreFaults{})
		system.awaitJob("lossy")
		system.assertClean()
	})

	t.Run("agent ends gracefully under load", func(t *testing.T) {
		system.t = t
		system.submit("drained", 24, 2000)
		results := make(chan []standalone.Result)
		go func() { results <- system.caller.SendAll(system.ctx, system.callerAPIs, checkCalls("drained", 200), 8) }()
		system.must(system.terminate("agent-0"))
		for _, result := range <-results {
			system.results = append(system.results, result)
			if result.Outcome != outcome.Ran {
				t.Errorf("a request had outcome %s: %s", result.Outcome, result.Refusal)
			}
		}
		system.awaitJob("drained")
		system.start("agent-0", "agent")
		system.assertClean()
	})

	t.Run("entry killed under load", func(t *testing.T) {
		system.t = t
		system.submit("killed", 20, 1000)
		results := make(chan []standalone.Result)
		go func() { results <- system.send("killed", 100, system.callerAPIs) }()
		system.kill("entry-0")
		<-results
		// Repeat the same keys at the remaining entry: each is answered with the result of its first
		// run, or runs now if it hasn't run yet.
		system.send("killed", 100, system.callerAPIs[1:])
		system.awaitJob("killed")
		system.assertClean()
	})

	t.Run("last entry ends gracefully", func(t *testing.T) {
		system.t = t
		system.start("entry-0", "entry")
		system.await("the entry to return", func() bool {
			response, err := http.Get("http://" + system.callerAPIs[0] + "/readyz")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
		system.must(system.terminate("entry-1"))
		system.assertClean()
	})
}

// checkCalls returns calls to the idempotent service checks, without keys.
func checkCalls(prefix string, count int) []standalone.Call {
	var calls []standalone.Call
	for index := range count {
		calls = append(calls, standalone.Call{Service: "checks", Team: "contest", Patience: 5000, Body: fmt.Sprintf("%s %d", prefix, index)})
	}
	return calls
}
