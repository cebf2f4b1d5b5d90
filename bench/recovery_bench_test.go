package bench

import (
	"context"
	"fmt"
	"testing"

	"hyssopjunction/agent"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/operator"
	"hyssopjunction/outcome"
	"hyssopjunction/standalone"
	"hyssopjunction/standin"
	"hyssopjunction/table"
	"hyssopjunction/worker"
)

// callRates are the numbers of calls to the table that all entries together made in one second.
type callRates struct{ reads, commits float64 }

// watchRates samples the calls of all entries once a second until the returned function is called,
// which returns the highest rates. The stand-in's own counters would include the benchmark's reads.
func (fleet *fleet) watchRates() (stop func() callRates) {
	var peak callRates
	stopped, done := make(chan struct{}), make(chan struct{})
	takeSnapshot := func() map[*entryNode]table.Stats {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		snapshot := map[*entryNode]table.Stats{}
		for _, node := range fleet.entryProcesses {
			snapshot[node] = node.store.Stats()
		}
		return snapshot
	}
	go func() {
		defer close(done)
		for before := takeSnapshot(); ; {
			select {
			case <-fleet.clock.After(clock.Second):
			case <-stopped:
				return
			}
			after, current := takeSnapshot(), callRates{}
			for node, calls := range after {
				current.reads += float64(calls.Reads - before[node].Reads)
				current.commits += float64(calls.Commits - before[node].Commits)
			}
			peak.reads, peak.commits = max(peak.reads, current.reads), max(peak.commits, current.commits)
			before = after
		}
	}()
	return func() callRates {
		close(stopped)
		<-done
		return peak
	}
}

// report reports the peak rates and their ratios to the limits that the entries set themselves.
func (peak callRates) report(b *testing.B) {
	b.Helper()
	limits := table.DefaultSettings()
	b.ReportMetric(peak.reads, "peak-reads/s")
	b.ReportMetric(peak.commits, "peak-commits/s")
	b.ReportMetric(peak.reads/float64(limits.SystemReads), "reads/limit/baseline")
	b.ReportMetric(peak.commits/float64(limits.SystemWrites), "commits/limit/baseline")
}

// granters returns, for each agent's index, the entry that grants its lease.
func (fleet *fleet) granters() map[int]ident.Entry {
	granters := map[int]ident.Entry{}
	for index := range fleet.agents {
		row, err := fleet.platform.Table.Get(context.Background(), lease.Key(workerID(index)))
		fleet.must(err)
		record, err := lease.DecodeRecord(row)
		fleet.must(err)
		granters[index] = record.Granter.Entry
	}
	return granters
}

// countUnready counts the agents without a lease and the entries that aren't ready to serve.
func (fleet *fleet) countUnready() int {
	count := 0
	for _, node := range fleet.agents {
		if !node.daemon.Ready() {
			count++
		}
	}
	for _, node := range fleet.entries {
		if !node.daemon.Ready() {
			count++
		}
	}
	return count
}

// countRuns returns the number of running tasks and the number of all runs so far.
func (fleet *fleet) countRuns() (running, all int) {
	for _, run := range fleet.platform.Records.Runs() {
		all++
		if run.State == worker.Running {
			running++
		}
	}
	return running, all
}

// startStandingTasks submits standing tasks, waits until they run, and then waits another 10 s for the
// load to become steady. Each worker gets about the same number of tasks.
func (fleet *fleet) startStandingTasks(operators *operator.Client, tasks int) {
	const jobTasks = 10
	for first := 0; first < tasks; first += jobTasks {
		fleet.submit(operators, ident.Job(fmt.Sprintf("standing-%d", first)), min(jobTasks, tasks-first))
	}
	fleet.until("all tasks run", func() bool {
		running, _ := fleet.countRuns()
		return running == tasks
	})
	<-fleet.clock.After(10 * clock.Second)
}

// assertSafe fails if the workers' records show that a task was lost or ran twice, or if the given
// number of tasks doesn't run in time.
func (fleet *fleet) assertSafe(tasks int) {
	fleet.tb.Helper()
	if violations := fleet.platform.Records.Violations(); violations.HasViolations() {
		fleet.tb.Fatalf("violations: %+v", violations)
	}
	fleet.until("all tasks run", func() bool {
		running, _ := fleet.countRuns()
		return running == tasks
	})
}

// BenchmarkTakeover measures the time from the crash of an entry until other entries grant the leases
// of all its agents, with two entries per data centre and two standing tasks on each worker. The
// baseline is the time after which an agent without a renewed lease stops its tasks. started-again
// counts the runs that the crash caused.
func BenchmarkTakeover(b *testing.B) {
	for _, agents := range selectSizes(1, 24, 60, 120) {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			for range b.N {
				fleet, operators := startFleet(b, 6, agents)
				fleet.startStandingTasks(operators, 2*agents)
				_, before := fleet.countRuns()
				crashed, agentsTakenOver := fleet.entries[0], 0
				for _, granter := range fleet.granters() {
					if granter == "entry-00" {
						agentsTakenOver++
					}
				}
				stop, start := fleet.watchRates(), fleet.clock.Now()
				crashed.stop()
				fleet.until("other entries grant all leases", func() bool {
					for _, granter := range fleet.granters() {
						if granter == "entry-00" {
							return false
						}
					}
					return true
				})
				elapsed := fleet.clock.Now().Sub(start)
				<-fleet.clock.After(25 * clock.Second)
				peak := stop()
				_, after := fleet.countRuns()
				fleet.assertSafe(2 * agents)
				settings := agent.DefaultSettings()
				b.ReportMetric(float64(agentsTakenOver), "agents-taken-over")
				b.ReportMetric(float64(elapsed), "takeover-ms")
				b.ReportMetric(float64(elapsed)/float64(lease.DefaultTerm-settings.StopMargin), "takeover/stop/baseline")
				b.ReportMetric(float64(after-before), "started-again")
				peak.report(b)
				fleet.close()
			}
		})
	}
}

// BenchmarkRestartStorm restarts each of 230 daemons once, one after the other within about 12 s and
// without draining, while two standing tasks run on each worker. It measures the time from the last
// restart until all daemons serve.
func BenchmarkRestartStorm(b *testing.B) {
	skipShort(b)
	const entries, agents = 10, 220
	for range b.N {
		fleet, operators := startFleet(b, entries, agents)
		fleet.startStandingTasks(operators, 2*agents)
		_, before := fleet.countRuns()
		stop, start := fleet.watchRates(), fleet.clock.Now()
		for index := range agents {
			if index%(agents/entries) == 0 {
				entryIndex := index / (agents / entries)
				fleet.entries[entryIndex].stop()
				fleet.runEntry(entryIndex, entries)
			}
			fleet.agents[index].stop()
			fleet.runAgent(index, fleet.controlAddresses())
			<-fleet.clock.After(50)
		}
		restartedAt := fleet.clock.Now()
		fleet.until("all daemons serve", func() bool { return fleet.countUnready() == 0 })
		servedAt := fleet.clock.Now()
		peak, after := fleet.settle(stop, 2*agents)
		b.ReportMetric(float64(restartedAt.Sub(start)), "storm-ms")
		b.ReportMetric(float64(servedAt.Sub(restartedAt)), "serving-after-ms")
		b.ReportMetric(float64(after-before), "started-again")
		peak.report(b)
		fleet.close()
	}
}

// settle waits until all leases granted before have expired, stops the sampling of call rates, checks
// the workers' records and the number of running tasks, and returns the peak rates and the number of
// runs.
func (fleet *fleet) settle(stop func() callRates, tasks int) (callRates, int) {
	<-fleet.clock.After(25 * clock.Second)
	peak := stop()
	_, after := fleet.countRuns()
	fleet.assertSafe(tasks)
	return peak, after
}

// BenchmarkTableOutage makes the table refuse all calls for two minutes, while two standing tasks run
// on each worker and a caller sends requests. Afterwards it submits a job until it is accepted, and
// measures the times from the end of the outage until the job is accepted and finished. The baseline
// of the requests served is the number of requests sent.
func BenchmarkTableOutage(b *testing.B) {
	skipShort(b)
	const entries, agents, outage = 3, 24, 2 * clock.Minute
	for range b.N {
		fleet, operators := startFleet(b, entries, agents)
		_, err := operators.SetService(context.Background(), operator.ServiceChange{Service: "checks", Team: team, Idempotent: true, PatienceMillis: 5 * clock.Second})
		fleet.must(err)
		fleet.startStandingTasks(operators, 2*agents)
		_, before := fleet.countRuns()
		caller := standalone.NewCaller()
		fleet.must(fleet.platform.Table.SetFaults(standin.StoreFaults{Outage: true}))
		start, sent, ran := fleet.clock.Now(), 0, 0
		for fleet.clock.Now().Sub(start) < outage {
			var calls []standalone.Call
			for index := range 20 {
				calls = append(calls, standalone.Call{Service: "checks", Team: team, Patience: 5 * clock.Second, Body: fmt.Sprint(sent + index)})
			}
			for _, result := range caller.SendAll(context.Background(), fleet.callerAddresses(), calls, 8) {
				sent++
				if result.Outcome == outcome.Ran && !result.Crossed {
					ran++
				}
			}
			<-fleet.clock.After(clock.Second)
		}
		caller.Close()
		unready, stop := fleet.countUnready(), fleet.watchRates()
		_, during := fleet.countRuns()
		fleet.must(fleet.platform.Table.SetFaults(standin.StoreFaults{}))
		restoredAt := fleet.clock.Now()
		fleet.until("a job is accepted", func() bool {
			_, err := operators.SubmitJob(context.Background(), shortJob("resumed"))
			return err == nil
		})
		acceptedAt := fleet.clock.Now()
		fleet.until("its tasks have run", func() bool {
			running, all := fleet.countRuns()
			return running == 2*agents && all == during+10
		})
		finishedAt := fleet.clock.Now()
		<-fleet.clock.After(10 * clock.Second)
		peak := stop()
		fleet.assertSafe(2 * agents)
		b.ReportMetric(float64(unready), "daemons-without-lease")
		b.ReportMetric(float64(during-before), "started-again")
		b.ReportMetric(float64(ran)/float64(sent), "served/sent/baseline")
		b.ReportMetric(float64(acceptedAt.Sub(restoredAt)), "accepted-after-ms")
		b.ReportMetric(float64(finishedAt.Sub(restoredAt)), "finished-after-ms")
		peak.report(b)
		fleet.close()
	}
}

// callerAddresses returns the addresses at which the entries serve the callers' API.
func (fleet *fleet) callerAddresses() []string {
	var addresses []string
	for _, node := range fleet.entries {
		addresses = append(addresses, node.callerAddress)
	}
	return addresses
}

// BenchmarkDataCentreReturn ends all daemons of one of three data centres, waits until the tasks of
// the data centre run elsewhere, and starts all its daemons again at once. It measures the time until
// all daemons serve. started-again counts the runs that the return caused.
func BenchmarkDataCentreReturn(b *testing.B) {
	skipShort(b)
	const entries, agents = 9, 150
	for range b.N {
		fleet, operators := startFleet(b, entries, agents)
		fleet.startStandingTasks(operators, 2*agents)
		lostAt := fleet.clock.Now()
		for index := 0; index < entries; index += len(centres) {
			fleet.entries[index].stop()
		}
		for index := 0; index < agents; index += len(centres) {
			fleet.agents[index].stop()
		}
		fleet.until("its tasks run elsewhere", func() bool {
			running, onLostWorkers := 0, 0
			for _, run := range fleet.platform.Records.Runs() {
				if run.State != worker.Running {
					continue
				}
				running++
				for index := 0; index < agents; index += len(centres) {
					if run.Worker == workerID(index) {
						onLostWorkers++
					}
				}
			}
			return running == 2*agents && onLostWorkers == 0
		})
		placedAt := fleet.clock.Now()
		<-fleet.clock.After(20 * clock.Second)
		_, before := fleet.countRuns()
		stop, returnedAt := fleet.watchRates(), fleet.clock.Now()
		for index := 0; index < entries; index += len(centres) {
			fleet.runEntry(index, entries)
		}
		for index := 0; index < agents; index += len(centres) {
			fleet.runAgent(index, fleet.controlAddresses())
		}
		fleet.until("all daemons serve", func() bool { return fleet.countUnready() == 0 })
		servedAt := fleet.clock.Now()
		peak, after := fleet.settle(stop, 2*agents)
		b.ReportMetric(float64(placedAt.Sub(lostAt)), "placed-elsewhere-after-ms")
		b.ReportMetric(float64(servedAt.Sub(returnedAt)), "serving-after-ms")
		b.ReportMetric(float64(after-before), "started-again")
		peak.report(b)
		fleet.close()
	}
}
