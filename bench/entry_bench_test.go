package bench

import (
	"fmt"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// window returns how long a system is observed, a multiple of the heartbeat (4 s) and but for short
// runs of the exchange interval (2 s to 5 s).
func window() clock.Millis {
	if testing.Short() {
		return 8 * clock.Second
	}
	return 20 * clock.Second
}

// few returns the first sizes in short runs, and otherwise all.
func few[Size any](first int, sizes ...Size) []Size {
	if testing.Short() {
		return sizes[:first]
	}
	return sizes
}

// skipShort leaves a benchmark of one size and of a minute or more out of short runs.
func skipShort(b *testing.B) {
	b.Helper()
	if testing.Short() {
		b.Skip("long")
	}
}

// observation is what one window of a fleet used in a second.
type observation struct {
	// core is the share of one core of the whole process in percent.
	core float64
	// control and table are the traffic of all entries, reads and writes their calls to the table.
	control, table traffic
	reads, writes  float64
	agents         traffic
	heap           float64
}

// observe measures the fleet for one window.
func (fleet *fleet) observe() observation {
	type state struct {
		control, table, agents traffic
		calls                  table.Stats
	}
	take := func() state {
		var taken state
		for _, node := range fleet.entries {
			taken.control = taken.control.plus(node.control.read())
			taken.table = taken.table.plus(node.table.read())
			calls := node.store.Stats()
			taken.calls.Reads += calls.Reads
			taken.calls.Commits += calls.Commits
		}
		for _, node := range fleet.agents {
			taken.agents = taken.agents.plus(node.meter.read())
		}
		return taken
	}
	used, began, before := processorTime(fleet.b), time.Now(), take()
	<-fleet.time.After(window())
	after := take()
	seconds := time.Since(began).Seconds()
	result := observation{
		core:    100 * (processorTime(fleet.b) - used).Seconds() / seconds,
		control: after.control.since(before.control).per(seconds), table: after.table.since(before.table).per(seconds),
		agents: after.agents.since(before.agents).per(seconds),
		reads:  float64(after.calls.Reads-before.calls.Reads) / seconds,
		writes: float64(after.calls.Commits-before.calls.Commits) / seconds,
	}
	result.heap = heap() - fleet.heapBefore
	return result
}

func (reading traffic) plus(other traffic) traffic {
	return traffic{reading.received + other.received, reading.sent + other.sent, reading.messages + other.messages}
}

func (reading traffic) per(divisor float64) traffic {
	return traffic{reading.received / divisor, reading.sent / divisor, reading.messages / divisor}
}

// measure runs a system and observes it at rest, with standing tasks on each worker.
func measure(b testing.TB, entries, agents, tasks int) observation {
	b.Helper()
	fleet := newFleet(b, agents)
	defer fleet.close()
	for range entries {
		fleet.startEntry(entries)
	}
	for range agents {
		fleet.startAgent(fleet.addresses())
	}
	fleet.ready()
	if tasks > 0 {
		operators := fleet.operators()
		fleet.configure(operators)
		for index := range agents {
			fleet.submit(operators, ident.Job(fmt.Sprintf("standing-%d", index)), tasks)
		}
		fleet.until("all tasks run", func() bool { return fleet.tasks() == agents*tasks })
	}
	// The first complete reports and exchanges are not part of the rest.
	<-fleet.time.After(10 * clock.Second)
	return fleet.observe()
}

// measureFixed runs the same agents with an entry that answers with a constant.
func measureFixed(b testing.TB, agents int) observation {
	b.Helper()
	fleet := newFleet(b, agents)
	defer fleet.close()
	address := fleet.startFixed()
	for range agents {
		fleet.startAgent([]string{address})
	}
	fleet.ready()
	<-fleet.time.After(5 * clock.Second)
	return fleet.observe()
}

// BenchmarkEntryAgents measures one entry against the number of agents homed there, each with 12
// tasks. The process also holds the agents and the stand-in, so process-%core bounds the entry from
// above; agents-%core is the same process with an entry that answers with a constant and no tasks.
// The ratio bytes/target/baseline is to the 7 KB/s of control traffic of a daemon.
func BenchmarkEntryAgents(b *testing.B) {
	for _, agents := range few(1, 10, 25, 50) {
		b.Run(fmt.Sprintf("agents-%d", agents), func(b *testing.B) {
			for range b.N {
				used, fixed := measure(b, 1, agents, tasksPerWorker), measureFixed(b, agents)
				b.ReportMetric(used.core, "process-%core")
				b.ReportMetric(fixed.core, "agents-%core")
				b.ReportMetric(used.core/fixed.core, "core/baseline")
				report(b, used, 1, agents)
				b.ReportMetric((used.heap-fixed.heap)/1e6, "entry-heap-MB")
			}
		})
	}
}

// report reports the traffic and table calls of each entry and the heap of the process.
func report(b *testing.B, used observation, entries, agents int) {
	b.Helper()
	each := float64(entries)
	b.ReportMetric(used.control.received/each, "received-B/s/entry")
	b.ReportMetric(used.control.sent/each, "sent-B/s/entry")
	b.ReportMetric(used.control.messages/each, "messages/s/entry")
	b.ReportMetric(used.table.bytes()/each, "table-B/s/entry")
	b.ReportMetric(used.reads/each, "table-reads/s/entry")
	b.ReportMetric(used.writes/each, "table-writes/s/entry")
	b.ReportMetric(used.agents.bytes()/float64(agents), "B/s/agent")
	b.ReportMetric(used.heap/1e6, "process-heap-MB")
	// 7 KB/s is the target of control traffic of one daemon.
	b.ReportMetric(used.control.bytes()/each/7000, "bytes/target/baseline")
}

// BenchmarkEntryEntries measures an entry against the number of entries, with 4 agents an entry and
// no tasks. The baseline of processor time is the same number of agents with one constant entry.
func BenchmarkEntryEntries(b *testing.B) {
	for _, entries := range few(1, 2, 8, 24) {
		b.Run(fmt.Sprintf("entries-%d", entries), func(b *testing.B) {
			for range b.N {
				agents := 4 * entries
				used, fixed := measure(b, entries, agents, 0), measureFixed(b, agents)
				b.ReportMetric((used.core-fixed.core)/float64(entries), "difference-%core/entry")
				b.ReportMetric(used.core/fixed.core, "core/baseline")
				report(b, used, entries, agents)
				b.ReportMetric((used.heap-fixed.heap)/float64(entries)/1e6, "entry-heap-MB")
			}
		})
	}
}

// BenchmarkAgentTasks measures one agent against its running tasks, among 10 agents of one entry.
// The baseline is the same system without tasks.
func BenchmarkAgentTasks(b *testing.B) {
	empty := observation{}
	for _, tasks := range few(2, 0, 6, 12, 24) {
		b.Run(fmt.Sprintf("tasks-%d", tasks), func(b *testing.B) {
			for range b.N {
				const agents = 10
				used := measure(b, 1, agents, tasks)
				if tasks == 0 {
					empty = used
				}
				b.ReportMetric(used.core/agents, "process-%core/agent")
				b.ReportMetric(used.agents.received/agents, "received-B/s/agent")
				b.ReportMetric(used.agents.sent/agents, "sent-B/s/agent")
				b.ReportMetric(used.agents.messages/agents, "messages/s/agent")
				b.ReportMetric(used.heap/agents/1e6, "process-heap-MB/agent")
				if empty.core > 0 {
					b.ReportMetric(used.core/empty.core, "core/baseline")
					b.ReportMetric(used.agents.bytes()/empty.agents.bytes(), "bytes/baseline")
				}
			}
		})
	}
}
