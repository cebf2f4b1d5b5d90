package bench

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
	"hyssopjunction/standin"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// totals holds the traffic and table calls of all entries since their start, and the processor time of
// the whole process.
type totals struct {
	control, table traffic
	reads, commits float64
	processorTime  time.Duration
}

func (fleet *fleet) totals() totals {
	sum := totals{processorTime: processorTime(fleet.tb)}
	for _, node := range fleet.entries {
		sum.control = sum.control.plus(node.controlMeter.read())
		sum.table = sum.table.plus(node.tableMeter.read())
		calls := node.store.Stats()
		sum.reads += float64(calls.Reads)
		sum.commits += float64(calls.Commits)
	}
	return sum
}

// startFleet starts entries and agents, and configures the data centres and the team.
func startFleet(b testing.TB, entries, agents int) (*fleet, *operator.Client) {
	b.Helper()
	fleet := newFleet(b, agents)
	for range entries {
		fleet.startEntry(entries)
	}
	for range agents {
		fleet.startAgent(fleet.controlAddresses())
	}
	fleet.awaitLeases()
	operators := fleet.operatorClient()
	fleet.configure(operators)
	return fleet, operators
}

// shortJob returns the submission of a job of 10 tasks that run 500 ms.
func shortJob(name string) operator.JobSubmission {
	return operator.JobSubmission{
		Job: ident.Job(name), Team: team, Class: "layout", Kind: worker.Batch, Tasks: 10,
		Resources: unit.Resources{CPU: 500, Memory: 512}, Payload: standin.Payload{RunMillis: 500, Class: "layout"}.String(),
	}
}

// assertFinished fails unless exactly the given number of jobs have finished.
func (fleet *fleet) assertFinished(operators *operator.Client, jobs int) {
	fleet.tb.Helper()
	list, err := operators.Jobs(context.Background(), operator.JobFilter{State: "Finished", Limit: 1000})
	fleet.must(err)
	if len(list.Jobs) != jobs {
		fleet.tb.Fatalf("%d of %d jobs finished", len(list.Jobs), jobs)
	}
}

// BenchmarkStarts measures the cost of a task from its submission to its end, in jobs of 10 tasks that
// run 500 ms: transactions, reads, messages, traffic and processor time of the whole process, minus
// what the idle system uses in the same time. The baseline is one transaction per start.
func BenchmarkStarts(b *testing.B) {
	for _, starts := range selectSizes(1, 100, 200, 400) {
		b.Run(fmt.Sprintf("starts-%d", starts), func(b *testing.B) {
			for round := range b.N {
				fleet, operators := startFleet(b, 4, 24)
				<-fleet.clock.After(6 * clock.Second)
				const idleTime = 10 * clock.Second
				idleStart := fleet.totals()
				<-fleet.clock.After(idleTime)
				workStart := fleet.totals()
				start := fleet.clock.Now()
				var names []ident.Job
				for index := range starts / 10 {
					names = append(names, ident.Job(fmt.Sprintf("layout-%d-%d", round, index)))
					_, err := operators.SubmitJob(context.Background(), shortJob(string(names[index])))
					fleet.must(err)
				}
				// Listing the jobs reads the table, so it is done after the measurement.
				<-fleet.clock.After(6 * clock.Second)
				workEnd, elapsed := fleet.totals(), fleet.clock.Now().Sub(start)
				fleet.assertFinished(operators, len(names))
				// The idle use is scaled from idleTime to the duration of the work.
				share := float64(elapsed) / float64(idleTime)
				perStart := func(idleStart, workStart, workEnd float64) float64 {
					return (workEnd - workStart - (workStart-idleStart)*share) / float64(starts)
				}
				commits := perStart(idleStart.commits, workStart.commits, workEnd.commits)
				b.ReportMetric(commits, "transactions/start/baseline")
				b.ReportMetric(perStart(idleStart.reads, workStart.reads, workEnd.reads), "reads/start")
				b.ReportMetric(perStart(idleStart.control.messages, workStart.control.messages, workEnd.control.messages), "messages/start")
				b.ReportMetric(perStart(idleStart.control.bytes(), workStart.control.bytes(), workEnd.control.bytes()), "control-B/start")
				b.ReportMetric(perStart(idleStart.table.bytes(), workStart.table.bytes(), workEnd.table.bytes()), "table-B/start")
				b.ReportMetric(perStart(idleStart.processorTime.Seconds(), workStart.processorTime.Seconds(), workEnd.processorTime.Seconds())*1e6, "process-us/start")
				fleet.close()
			}
		})
	}
}

// BenchmarkConvergence measures the time from the acceptance of a change until all agents have applied
// it (mean-ms, worst-ms), and until an operator who waits for it gets the confirmation, which takes one
// more heartbeat (worst-known-ms), against the number of agents of 4 entries. The baseline is the
// target of 7 s.
func BenchmarkConvergence(b *testing.B) {
	for _, agents := range selectSizes(1, 12, 48, 96) {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			for range b.N {
				fleet, operators := startFleet(b, 4, agents)
				const changes = 8
				var total, worst, operatorDelay time.Duration
				for index := range changes {
					accepted, err := operators.SetTeam(context.Background(), operator.TeamChange{
						Team: team, Quota: unit.Resources{CPU: unit.MilliCPU(1_000_000 + index), Memory: 1_000_000},
					})
					fleet.must(err)
					start := time.Now()
					fleet.until("change is in force", func() bool {
						for _, node := range fleet.agents {
							if node.config.Current().Version() < accepted.Version {
								return false
							}
						}
						return true
					})
					elapsed := time.Since(start)
					total, worst = total+elapsed, max(worst, elapsed)
					fleet.until("operator knows", func() bool {
						state, err := operators.Wait(context.Background(), accepted.Version, 5*clock.Second)
						return err == nil && state.Everywhere
					})
					operatorDelay = max(operatorDelay, time.Since(start))
				}
				b.ReportMetric(total.Seconds()*1000/changes, "mean-ms")
				b.ReportMetric(worst.Seconds()*1000, "worst-ms")
				b.ReportMetric(operatorDelay.Seconds()*1000, "worst-known-ms")
				b.ReportMetric(worst.Seconds()/7, "worst/target/baseline")
				fleet.close()
			}
		})
	}
}
