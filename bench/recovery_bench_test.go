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

// rates are the most calls to the table that all entries made in one second.
type rates struct{ reads, commits float64 }

// watchRates samples the calls of all entry processes once a second until the returned function is
// called. The stand-in's own counters would include the reads of the benchmark.
func (fleet *fleet) watchRates() (stop func() rates) {
	var peak rates
	quit, done := make(chan struct{}), make(chan struct{})
	nodes := func() map[*entryNode]table.Stats {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		taken := map[*entryNode]table.Stats{}
		for _, node := range fleet.started {
			taken[node] = node.store.Stats()
		}
		return taken
	}
	go func() {
		defer close(done)
		for before := nodes(); ; {
			select {
			case <-fleet.time.After(clock.Second):
			case <-quit:
				return
			}
			after, now := nodes(), rates{}
			for node, calls := range after {
				now.reads += float64(calls.Reads - before[node].Reads)
				now.commits += float64(calls.Commits - before[node].Commits)
			}
			peak.reads, peak.commits = max(peak.reads, now.reads), max(peak.commits, now.commits)
			before = after
		}
	}()
	return func() rates {
		close(quit)
		<-done
		return peak
	}
}

// report reports the rates and their ratio to the limits that the entries set themselves.
func (peak rates) report(b *testing.B) {
	b.Helper()
	limits := table.DefaultSettings()
	b.ReportMetric(peak.reads, "peak-reads/s")
	b.ReportMetric(peak.commits, "peak-commits/s")
	b.ReportMetric(peak.reads/float64(limits.SystemReads), "reads/limit/baseline")
	b.ReportMetric(peak.commits/float64(limits.SystemWrites), "commits/limit/baseline")
}

// granters returns the entry that grants the lease of each agent.
func (fleet *fleet) granters() map[int]ident.Entry {
	granters := map[int]ident.Entry{}
	for index := range fleet.agents {
		row, err := fleet.platform.Table.Get(context.Background(), lease.Key(workerID(index)))
		fleet.check(err)
		record, err := lease.DecodeRecord(row)
		fleet.check(err)
		granters[index] = record.Granter.Entry
	}
	return granters
}

// unready counts the agents without a lease and the entries that do not serve.
func (fleet *fleet) unready() int {
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

// runs counts the running tasks, and all runs so far.
func (fleet *fleet) runs() (running, all int) {
	for _, run := range fleet.platform.Records.Runs() {
		all++
		if run.State == worker.Running {
			running++
		}
	}
	return running, all
}

// stand runs standing tasks, about equally many on each worker, and waits until the system rests.
func (fleet *fleet) stand(operators *operator.Client, tasks int) {
	const jobTasks = 10
	for first := 0; first < tasks; first += jobTasks {
		fleet.submit(operators, ident.Job(fmt.Sprintf("standing-%d", first)), min(jobTasks, tasks-first))
	}
	fleet.until("all tasks run", func() bool {
		running, _ := fleet.runs()
		return running == tasks
	})
	<-fleet.time.After(10 * clock.Second)
}

// safe fails if something was lost or doubled, or if not the given number of tasks run.
func (fleet *fleet) safe(tasks int) {
	fleet.b.Helper()
	if violations := fleet.platform.Records.Violations(); violations.Any() {
		fleet.b.Fatalf("violations: %+v", violations)
	}
	fleet.until("all tasks run", func() bool {
		running, _ := fleet.runs()
		return running == tasks
	})
}

// BenchmarkTakeover measures the time from the death of an entry until other entries grant the leases
// of all of its agents, with two entries a data centre and two standing tasks on each worker. The
// baseline is the time after which an agent without a new lease stops its tasks. Started-again counts
// the runs that the death caused.
func BenchmarkTakeover(b *testing.B) {
	for _, agents := range few(1, 24, 60, 120) {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			for range b.N {
				fleet, operators := startFleet(b, 6, agents)
				fleet.stand(operators, 2*agents)
				_, before := fleet.runs()
				dead, homed := fleet.entries[0], 0
				for _, granter := range fleet.granters() {
					if granter == "entry-00" {
						homed++
					}
				}
				stop, began := fleet.watchRates(), fleet.time.Now()
				dead.stop()
				fleet.until("other entries grant all leases", func() bool {
					for _, granter := range fleet.granters() {
						if granter == "entry-00" {
							return false
						}
					}
					return true
				})
				took := fleet.time.Now().Sub(began)
				<-fleet.time.After(25 * clock.Second)
				peak := stop()
				_, after := fleet.runs()
				fleet.safe(2 * agents)
				settings := agent.DefaultSettings()
				b.ReportMetric(float64(homed), "agents-taken-over")
				b.ReportMetric(float64(took), "takeover-ms")
				b.ReportMetric(float64(took)/float64(lease.DefaultTerm-settings.StopMargin), "takeover/stop/baseline")
				b.ReportMetric(float64(after-before), "started-again")
				peak.report(b)
				fleet.close()
			}
		})
	}
}

// BenchmarkRestartStorm restarts each of 230 daemons once, one after the other within about 12 s,
// without draining, while two standing tasks run on each worker, and measures the time from the last
// restart until all serve.
func BenchmarkRestartStorm(b *testing.B) {
	skipShort(b)
	const entries, agents = 10, 220
	for range b.N {
		fleet, operators := startFleet(b, entries, agents)
		fleet.stand(operators, 2*agents)
		_, before := fleet.runs()
		stop, began := fleet.watchRates(), fleet.time.Now()
		for index := range agents {
			if index%(agents/entries) == 0 {
				place := index / (agents / entries)
				fleet.entries[place].stop()
				fleet.runEntry(place, entries)
			}
			fleet.agents[index].stop()
			fleet.runAgent(index, fleet.addresses())
			<-fleet.time.After(50)
		}
		restarted := fleet.time.Now()
		fleet.until("all daemons serve", func() bool { return fleet.unready() == 0 })
		served := fleet.time.Now()
		peak, after := fleet.settle(stop, 2*agents)
		b.ReportMetric(float64(restarted.Sub(began)), "storm-ms")
		b.ReportMetric(float64(served.Sub(restarted)), "serving-after-ms")
		b.ReportMetric(float64(after-before), "started-again")
		peak.report(b)
		fleet.close()
	}
}

// settle waits until every lease of before has ended, checks the records for the number of tasks and
// returns the busiest second and the number of runs.
func (fleet *fleet) settle(stop func() rates, tasks int) (rates, int) {
	<-fleet.time.After(25 * clock.Second)
	peak := stop()
	_, after := fleet.runs()
	fleet.safe(tasks)
	return peak, after
}

// BenchmarkTableOutage makes the table refuse all calls for two minutes, while two standing tasks run on
// each worker and callers send requests, and measures the time until a job that is submitted again and
// again after it has finished. The baseline of requests is their number.
func BenchmarkTableOutage(b *testing.B) {
	skipShort(b)
	const entries, agents, outage = 3, 24, 2 * clock.Minute
	for range b.N {
		fleet, operators := startFleet(b, entries, agents)
		_, err := operators.SetService(context.Background(), operator.ServiceChange{Service: "checks", Team: team, Idempotent: true, PatienceMillis: 5 * clock.Second})
		fleet.check(err)
		fleet.stand(operators, 2*agents)
		_, before := fleet.runs()
		callers := standalone.NewCaller()
		fleet.check(fleet.platform.Table.SetFaults(standin.StoreFaults{Outage: true}))
		began, sent, ran := fleet.time.Now(), 0, 0
		for fleet.time.Now().Sub(began) < outage {
			var calls []standalone.Call
			for index := range 20 {
				calls = append(calls, standalone.Call{Service: "checks", Team: team, Patience: 5 * clock.Second, Body: fmt.Sprint(sent + index)})
			}
			for _, result := range callers.SendAll(context.Background(), fleet.callers(), calls, 8) {
				sent++
				if result.Outcome == outcome.Ran && !result.Crossed {
					ran++
				}
			}
			<-fleet.time.After(clock.Second)
		}
		callers.Close()
		unready, stop := fleet.unready(), fleet.watchRates()
		_, during := fleet.runs()
		fleet.check(fleet.platform.Table.SetFaults(standin.StoreFaults{}))
		restored := fleet.time.Now()
		fleet.until("a job is accepted", func() bool {
			_, err := operators.SubmitJob(context.Background(), shortJob("resumed"))
			return err == nil
		})
		accepted := fleet.time.Now()
		fleet.until("its tasks have run", func() bool {
			running, all := fleet.runs()
			return running == 2*agents && all == during+10
		})
		finished := fleet.time.Now()
		<-fleet.time.After(10 * clock.Second)
		peak := stop()
		fleet.safe(2 * agents)
		b.ReportMetric(float64(unready), "daemons-without-lease")
		b.ReportMetric(float64(during-before), "started-again")
		b.ReportMetric(float64(ran)/float64(sent), "served/sent/baseline")
		b.ReportMetric(float64(accepted.Sub(restored)), "accepted-after-ms")
		b.ReportMetric(float64(finished.Sub(restored)), "finished-after-ms")
		peak.report(b)
		fleet.close()
	}
}

// callers are the addresses of the callers' APIs.
func (fleet *fleet) callers() []string {
	var addresses []string
	for _, node := range fleet.entries {
		addresses = append(addresses, node.caller)
	}
	return addresses
}

// BenchmarkDataCentreReturn ends all daemons of one of three data centres, waits until its tasks run
// elsewhere, and starts them all at once. It measures the time until all serve. Started-again counts the
// runs that the return caused.
func BenchmarkDataCentreReturn(b *testing.B) {
	skipShort(b)
	const entries, agents = 9, 150
	for range b.N {
		fleet, operators := startFleet(b, entries, agents)
		fleet.stand(operators, 2*agents)
		lost := fleet.time.Now()
		for index := 0; index < entries; index += len(centres) {
			fleet.entries[index].stop()
		}
		for index := 0; index < agents; index += len(centres) {
			fleet.agents[index].stop()
		}
		fleet.until("its tasks run elsewhere", func() bool {
			running, elsewhere := 0, 0
			for _, run := range fleet.platform.Records.Runs() {
				if run.State != worker.Running {
					continue
				}
				running++
				for index := 0; index < agents; index += len(centres) {
					if run.Worker == workerID(index) {
						elsewhere++
					}
				}
			}
			return running == 2*agents && elsewhere == 0
		})
		placed := fleet.time.Now()
		<-fleet.time.After(20 * clock.Second)
		_, before := fleet.runs()
		stop, returned := fleet.watchRates(), fleet.time.Now()
		for index := 0; index < entries; index += len(centres) {
			fleet.runEntry(index, entries)
		}
		for index := 0; index < agents; index += len(centres) {
			fleet.runAgent(index, fleet.addresses())
		}
		fleet.until("all daemons serve", func() bool { return fleet.unready() == 0 })
		served := fleet.time.Now()
		peak, after := fleet.settle(stop, 2*agents)
		b.ReportMetric(float64(placed.Sub(lost)), "placed-elsewhere-after-ms")
		b.ReportMetric(float64(served.Sub(returned)), "serving-after-ms")
		b.ReportMetric(float64(after-before), "started-again")
		peak.report(b)
		fleet.close()
	}
}
