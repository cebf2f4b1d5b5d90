package bench

import (
	"fmt"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// observationTime returns how long a system is observed: a multiple of the heartbeat interval (4 s)
// and, except in short runs, of the interval of exchanges between entries (2 s to 5 s).
func observationTime() clock.Millis {
	if testing.Short() {
		return 8 * clock.Second
	}
	return 20 * clock.Second
}

// selectSizes returns the first shortCount sizes in short runs, and otherwise all.
func selectSizes[Size any](shortCount int, sizes ...Size) []Size {
	if testing.Short() {
		return sizes[:shortCount]
	}
	return sizes
}

// skipShort skips a benchmark in short runs. It serves benchmarks of a single size that take a minute
// or more.
func skipShort(b *testing.B) {
	b.Helper()
	if testing.Short() {
		b.Skip("long")
	}
}

// observation holds what a fleet used per second during the observation time.
type observation struct {
	// corePercent is the processor time of the whole process, in percent of one core.
	corePercent float64
	// control and table are the traffic of all entries, reads and writes their calls to the table.
	control, table traffic
	reads, writes  float64
	// agents is the traffic of all agents.
	agents traffic
	// heap is the growth of the process's heap since before the fleet was started, in bytes.
	heap float64
}

// observe measures the fleet during the observation time.
func (fleet *fleet) observe() observation {
	type state struct {
		control, table, agents traffic
		calls                  table.Stats
	}
	takeSnapshot := func() state {
		var snapshot state
		for _, node := range fleet.entries {
			snapshot.control = snapshot.control.plus(node.controlMeter.read())
			snapshot.table = snapshot.table.plus(node.tableMeter.read())
			calls := node.store.Stats()
			snapshot.calls.Reads += calls.Reads
			snapshot.calls.Commits += calls.Commits
		}
		for _, node := range fleet.agents {
			snapshot.agents = snapshot.agents.plus(node.meter.read())
		}
		return snapshot
	}
	processorBefore, start, before := processorTime(fleet.tb), time.Now(), takeSnapshot()
	<-fleet.clock.After(observationTime())
	after := takeSnapshot()
	seconds := time.Since(start).Seconds()
	result := observation{
		corePercent: 100 * (processorTime(fleet.tb) - processorBefore).Seconds() / seconds,
		control:     after.control.since(before.control).per(seconds), table: after.table.since(before.table).per(seconds),
		agents: after.agents.since(before.agents).per(seconds),
		reads:  float64(after.calls.Reads-before.calls.Reads) / seconds,
		writes: float64(after.calls.Commits-before.calls.Commits) / seconds,
	}
	result.heap = heapBytes() - fleet.heapBefore
	return result
}

func (reading traffic) plus(other traffic) traffic {
	return traffic{reading.received + other.received, reading.sent + other.sent, reading.messages + other.messages}
}

func (reading traffic) per(divisor float64) traffic {
	return traffic{reading.received / divisor, reading.sent / divisor, reading.messages / divisor}
}

// measure starts a system, runs the given number of standing tasks on each worker, and observes the
// system while nothing changes.
func measure(b testing.TB, entries, agents, tasks int) observation {
	b.Helper()
	fleet := newFleet(b, agents)
	defer fleet.close()
	for range entries {
		fleet.startEntry(entries)
	}
	for range agents {
		fleet.startAgent(fleet.controlAddresses())
	}
	fleet.awaitLeases()
	if tasks > 0 {
		operators := fleet.operatorClient()
		fleet.configure(operators)
		for index := range agents {
			fleet.submit(operators, ident.Job(fmt.Sprintf("standing-%d", index)), tasks)
		}
		fleet.until("all tasks run", func() bool { return fleet.countTasks() == agents*tasks })
	}
	// The first reports and exchanges are complete ones, larger than those that follow.
	<-fleet.clock.After(10 * clock.Second)
	return fleet.observe()
}

// measureBaseline observes the same number of agents with a baselineEntry.
func measureBaseline(b testing.TB, agents int) observation {
	b.Helper()
	fleet := newFleet(b, agents)
	defer fleet.close()
	address := fleet.startBaselineEntry()
	for range agents {
		fleet.startAgent([]string{address})
	}
	fleet.awaitLeases()
	<-fleet.clock.After(5 * clock.Second)
	return fleet.observe()
}

// BenchmarkEntryAgents measures one entry against the number of its agents, each with 12 tasks. The
// process also contains the agents and the stand-in, so process-%core is an upper bound for the entry;
// agents-%core is that of the same process with a baselineEntry and no tasks. bytes/target/baseline is
// the ratio to the target of 7 KB/s of control traffic for one daemon.
func BenchmarkEntryAgents(b *testing.B) {
	for _, agents := range selectSizes(1, 10, 25, 50) {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			for range b.N {
				usage, baseline := measure(b, 1, agents, tasksPerWorker), measureBaseline(b, agents)
				b.ReportMetric(usage.corePercent, "process-%core")
				b.ReportMetric(baseline.corePercent, "agents-%core")
				b.ReportMetric(usage.corePercent/baseline.corePercent, "core/baseline")
				reportUsage(b, usage, 1, agents)
				b.ReportMetric((usage.heap-baseline.heap)/1e6, "entry-heap-MB")
			}
		})
	}
}

// reportUsage reports the traffic and table calls per entry, the traffic per agent and the heap of the
// process.
func reportUsage(b *testing.B, usage observation, entries, agents int) {
	b.Helper()
	entryCount := float64(entries)
	b.ReportMetric(usage.control.received/entryCount, "received-B/s/entry")
	b.ReportMetric(usage.control.sent/entryCount, "sent-B/s/entry")
	b.ReportMetric(usage.control.messages/entryCount, "messages/s/entry")
	b.ReportMetric(usage.table.bytes()/entryCount, "table-B/s/entry")
	b.ReportMetric(usage.reads/entryCount, "table-reads/s/entry")
	b.ReportMetric(usage.writes/entryCount, "table-writes/s/entry")
	b.ReportMetric(usage.agents.bytes()/float64(agents), "B/s/agent")
	b.ReportMetric(usage.heap/1e6, "process-heap-MB")
	// The target for the control traffic of one daemon is 7 KB/s.
	b.ReportMetric(usage.control.bytes()/entryCount/7000, "bytes/target/baseline")
}

// BenchmarkEntryEntries measures an entry against the number of entries, with 4 agents per entry and
// no tasks. The baseline of processor time is the same number of agents with one baselineEntry.
func BenchmarkEntryEntries(b *testing.B) {
	for _, entries := range selectSizes(1, 2, 8, 24) {
		b.Run(fmt.Sprintf("entries-%d", entries), func(b *testing.B) {
			for range b.N {
				agents := 4 * entries
				usage, baseline := measure(b, entries, agents, 0), measureBaseline(b, agents)
				b.ReportMetric((usage.corePercent-baseline.corePercent)/float64(entries), "difference-%core/entry")
				b.ReportMetric(usage.corePercent/baseline.corePercent, "core/baseline")
				reportUsage(b, usage, entries, agents)
				b.ReportMetric((usage.heap-baseline.heap)/float64(entries)/1e6, "entry-heap-MB")
			}
		})
	}
}

// BenchmarkAgentTasks measures an agent, one of 10 agents of one entry, against the number of its
// running tasks. The baseline is the same system without tasks.
func BenchmarkAgentTasks(b *testing.B) {
	baseline := observation{}
	for _, tasks := range selectSizes(2, 0, 6, 12, 24) {
		b.Run(fmt.Sprintf("tasks-%d", tasks), func(b *testing.B) {
			for range b.N {
				const agents = 10
				usage := measure(b, 1, agents, tasks)
				if tasks == 0 {
					baseline = usage
				}
				b.ReportMetric(usage.corePercent/agents, "process-%core/agent")
				b.ReportMetric(usage.agents.received/agents, "received-B/s/agent")
				b.ReportMetric(usage.agents.sent/agents, "sent-B/s/agent")
				b.ReportMetric(usage.agents.messages/agents, "messages/s/agent")
				b.ReportMetric(usage.heap/agents/1e6, "process-heap-MB/agent")
				if baseline.corePercent > 0 {
					b.ReportMetric(usage.corePercent/baseline.corePercent, "core/baseline")
					b.ReportMetric(usage.agents.bytes()/baseline.agents.bytes(), "bytes/baseline")
				}
			}
		})
	}
}
