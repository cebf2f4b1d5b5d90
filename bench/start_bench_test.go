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

// totals are counts of all entries since their start.
type totals struct {
	control, table traffic
	reads, commits float64
	core           time.Duration
}

func (fleet *fleet) totals() totals {
	sum := totals{core: processorTime(fleet.b)}
	for _, node := range fleet.entries {
		sum.control = sum.control.plus(node.control.read())
		sum.table = sum.table.plus(node.table.read())
		calls := node.store.Stats()
		sum.reads += float64(calls.Reads)
		sum.commits += float64(calls.Commits)
	}
	return sum
}

// startFleet runs entries and agents with the team configured.
func startFleet(b testing.TB, entries, agents int) (*fleet, *operator.Client) {
	b.Helper()
	fleet := newFleet(b, agents)
	for range entries {
		fleet.startEntry(entries)
	}
	for range agents {
		fleet.startAgent(fleet.addresses())
	}
	fleet.ready()
	operators := fleet.operators()
	fleet.configure(operators)
	return fleet, operators
}

// shortJob is a job of 10 tasks that run 500 ms.
func shortJob(name string) operator.JobSubmission {
	return operator.JobSubmission{
		Job: ident.Job(name), Team: team, Class: "layout", Kind: worker.Batch, Tasks: 10,
		Resources: unit.Resources{CPU: 500, Memory: 512}, Payload: standin.Payload{RunMillis: 500, Class: "layout"}.String(),
	}
}

// finished fails unless the given number of jobs have finished.
func (fleet *fleet) finished(operators *operator.Client, jobs int) {
	fleet.b.Helper()
	list, err := operators.Jobs(context.Background(), operator.JobFilter{State: "Finished", Limit: 1000})
	fleet.check(err)
	if len(list.Jobs) != jobs {
		fleet.b.Fatalf("%d of %d jobs finished", len(list.Jobs), jobs)
	}
}

// BenchmarkStarts measures what a task start costs from its submission to its end in jobs of 10
// tasks that run 500 ms: transactions, reads, messages and processor time of the whole process, less
// what the system uses at rest. The baseline is one transaction per start.
func BenchmarkStarts(b *testing.B) {
	for _, starts := range few(1, 100, 200, 400) {
		b.Run(fmt.Sprintf("starts-%d", starts), func(b *testing.B) {
			for round := range b.N {
				fleet, operators := startFleet(b, 4, 24)
				<-fleet.time.After(6 * clock.Second)
				const rest = 10 * clock.Second
				first := fleet.totals()
				<-fleet.time.After(rest)
				before := fleet.totals()
				began := fleet.time.Now()
				var names []ident.Job
				for index := range starts / 10 {
					names = append(names, ident.Job(fmt.Sprintf("layout-%d-%d", round, index)))
					_, err := operators.SubmitJob(context.Background(), shortJob(string(names[index])))
					fleet.check(err)
				}
				// Asking for the jobs reads the table, so it is left out of the measured time.
				<-fleet.time.After(6 * clock.Second)
				after, elapsed := fleet.totals(), fleet.time.Now().Sub(began)
				fleet.finished(operators, len(names))
				share := float64(elapsed) / float64(rest)
				less := func(before, during, after float64) float64 {
					return (after - during - (during-before)*share) / float64(starts)
				}
				commits := less(first.commits, before.commits, after.commits)
				b.ReportMetric(commits, "transactions/start/baseline")
				b.ReportMetric(less(first.reads, before.reads, after.reads), "reads/start")
				b.ReportMetric(less(first.control.messages, before.control.messages, after.control.messages), "messages/start")
				b.ReportMetric(less(first.control.bytes(), before.control.bytes(), after.control.bytes()), "control-B/start")
				b.ReportMetric(less(first.table.bytes(), before.table.bytes(), after.table.bytes()), "table-B/start")
				b.ReportMetric(less(first.core.Seconds(), before.core.Seconds(), after.core.Seconds())*1e6, "process-us/start")
				fleet.close()
			}
		})
	}
}

// BenchmarkConvergence measures the time from the acceptance of a change until all agents have it in
// force (mean-ms, worst-ms), and until an operator who waits knows it, which takes a heartbeat more,
// against the number of agents of 4 entries. The baseline is the target of 7 s.
func BenchmarkConvergence(b *testing.B) {
	for _, agents := range few(1, 12, 48, 96) {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			for range b.N {
				fleet, operators := startFleet(b, 4, agents)
				const changes = 8
				var total, worst, known time.Duration
				for index := range changes {
					accepted, err := operators.SetTeam(context.Background(), operator.TeamChange{
						Team: team, Quota: unit.Resources{CPU: unit.MilliCPU(1_000_000 + index), Memory: 1_000_000},
					})
					fleet.check(err)
					began := time.Now()
					fleet.until("change is in force", func() bool {
						for _, node := range fleet.agents {
							if node.config.Current().Version() < accepted.Version {
								return false
							}
						}
						return true
					})
					took := time.Since(began)
					total, worst = total+took, max(worst, took)
					fleet.until("operator knows", func() bool {
						state, err := operators.Wait(context.Background(), accepted.Version, 5*clock.Second)
						return err == nil && state.Everywhere
					})
					known = max(known, time.Since(began))
				}
				b.ReportMetric(total.Seconds()*1000/changes, "mean-ms")
				b.ReportMetric(worst.Seconds()*1000, "worst-ms")
				b.ReportMetric(known.Seconds()*1000, "worst-known-ms")
				b.ReportMetric(worst.Seconds()/7, "worst/target/baseline")
				fleet.close()
			}
		})
	}
}
