package bench

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/operator"
	"hyssopjunction/standin"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

const (
	// urgentTarget is the time within which urgent work must start after its submission.
	urgentTarget = 4200 * clock.Millisecond
	// leaseEndBound is the time after which the lease of a lost agent has certainly expired: the lease
	// term and its margin.
	leaseEndBound = 20_900 * clock.Millisecond
)

// largeFleetSizes lists the sizes of the large fleets, with 50 agents per entry.
var largeFleetSizes = []struct{ dataCentres, entries, agents int }{{3, 3, 150}, {3, 6, 300}, {4, 12, 600}, {8, 24, 1200}}

// latencyStats summarises measured times: their count, sum and maximum, and how many were later than
// a target.
type latencyStats struct {
	count      int
	sum, worst clock.Millis
	late       int
}

func (stats *latencyStats) add(latency, target clock.Millis) {
	stats.count++
	stats.sum += latency
	stats.worst = max(stats.worst, latency)
	if latency > target {
		stats.late++
	}
}

func (stats *latencyStats) report(b *testing.B, name string, target clock.Millis) {
	b.Helper()
	b.ReportMetric(float64(stats.sum)/float64(max(stats.count, 1)), name+"-mean-ms")
	b.ReportMetric(float64(stats.worst), name+"-worst-ms")
	b.ReportMetric(float64(stats.late), name+"-late")
	b.ReportMetric(float64(stats.worst)/float64(target), name+"-worst/target/baseline")
}

// submitUrgent submits an urgent task and returns the time before the submission.
func (fleet *largeFleet) submitUrgent(operators *operator.Client, name ident.Job) clock.Time {
	at := fleet.clock.Now()
	_, err := operators.SubmitJob(context.Background(), operator.JobSubmission{
		Job: name, Team: team, Class: "layout", Kind: worker.Batch, Tasks: 1, Urgent: true,
		Resources: unit.Resources{CPU: 2400, Memory: 8000}, Payload: standin.Payload{RunMillis: clock.Hour, Class: "layout"}.String(),
	})
	if err != nil {
		fleet.tb.Errorf("submission of %s: %v", name, err)
	}
	return at
}

// jobNameWithHome returns a job name with the prefix whose home entry is the given one if atHome is
// set, and otherwise a different one.
func (fleet *largeFleet) jobNameWithHome(atHome bool, home *node, prefix string) ident.Job {
	var live []membership.Entry
	for _, node := range fleet.entries {
		live = append(live, membership.Entry{ID: entryID(node.index), State: membership.Live, Region: region})
	}
	for index := 0; ; index++ {
		name := ident.Job(fmt.Sprintf("%s-%d", prefix, index))
		if entry, ok := membership.JobHome(name, region, live).Get(); ok && (entry.ID == entryID(home.index)) == atHome {
			return name
		}
	}
}

// firstStarts returns the time of each task's first start after the given time.
func (fleet *largeFleet) firstStarts(after clock.Time) map[ident.Task]clock.Time {
	first := map[ident.Task]clock.Time{}
	for _, run := range fleet.platform.Records.Runs() {
		if _, seen := first[run.Task]; !seen && run.Start.After(after) {
			first[run.Task] = run.Start
		}
	}
	return first
}

// awaitStarts waits until all submitted tasks have started after since, and adds the times from their
// submissions to their starts to the result.
func (fleet *largeFleet) awaitStarts(submitted map[ident.Task]clock.Time, since clock.Time, target clock.Millis, result *latencyStats) {
	var first map[ident.Task]clock.Time
	fleet.until("the tasks start", func() bool {
		first = fleet.firstStarts(since)
		for task := range submitted {
			if _, ok := first[task]; !ok {
				return false
			}
		}
		return true
	})
	for task, at := range submitted {
		result.add(first[task].Sub(at), target)
		if latency := first[task].Sub(at); latency > target && target == urgentTarget {
			fleet.tb.Logf("%s started %s after its submission", task, latency)
		}
	}
}

// assertSafe fails the benchmark if the workers' records show a violation, such as a task that runs in
// two places or a worker above its capacity.
func (fleet *largeFleet) assertSafe(b *testing.B) {
	b.Helper()
	if violations := fleet.platform.Records.Violations(); violations.HasViolations() {
		b.Errorf("violations: %+v", violations)
	}
}

// reportTableCalls reports the calls to the table since the given counts and time.
func (fleet *largeFleet) reportTableCalls(b *testing.B, name string, before standin.TableCounts, since clock.Time) {
	b.Helper()
	after, seconds := fleet.platform.Table.Counts(), float64(fleet.clock.Now().Sub(since))/1000
	b.ReportMetric(float64(after.Commits-before.Commits), name+"-commits")
	b.ReportMetric(float64(after.Commits-before.Commits)/seconds, name+"-commits/s")
	b.ReportMetric(float64(after.Gets+after.Ranges-before.Gets-before.Ranges)/seconds, name+"-reads/s")
}

// BenchmarkUrgentFull measures the time from the submission of an urgent task to its start while
// batch tasks fill all workers: first without faults, then in the 12 s after one entry was cut off,
// which is the home entry of every second job. The ratio is to the target of 4.2 s.
func BenchmarkUrgentFull(b *testing.B) {
	for _, size := range selectSizes(1, largeFleetSizes...) {
		b.Run(fmt.Sprintf("entries-%d/agents-%d", size.entries, size.agents), func(b *testing.B) {
			for range b.N {
				fleet := newLargeFleet(b, size.entries, size.agents, size.dataCentres)
				start := fleet.clock.Now()
				fleet.fillWorkers(size.agents * 14)
				runningTasks := fleet.awaitSteadyLoad(size.agents * 9)
				b.ReportMetric(float64(runningTasks)/float64(size.agents), "tasks/agent")
				// awaitSteadyLoad returns 5 s after the last growth.
				b.ReportMetric(float64(fleet.clock.Now().Sub(start))/1000-5, "filled-s")
				processorBefore, since := processorTime(b), fleet.clock.Now()
				var normal, failover latencyStats
				for index := range 12 {
					name := ident.Job(fmt.Sprintf("urgent-%d", index))
					at := fleet.submitUrgent(fleet.operators, name)
					fleet.awaitStarts(map[ident.Task]clock.Time{{Job: name}: at}, at, urgentTarget, &normal)
				}
				b.ReportMetric(100*(processorTime(b)-processorBefore).Seconds()*1000/float64(fleet.clock.Now().Sub(since)), "process-%core")
				normal.report(b, "calm", urgentTarget)
				fleet.cutOff(fleet.entries[1:2], false)
				lostAt := fleet.clock.Now()
				submitted := map[ident.Task]clock.Time{}
				var mu sync.Mutex
				var submitting sync.WaitGroup
				for index := range 48 {
					submitting.Go(func() {
						name := fleet.jobNameWithHome(index%2 == 0, fleet.entries[1], fmt.Sprintf("failover-%d", index))
						at := fleet.submitUrgent(fleet.operatorClientAt(index), name)
						mu.Lock()
						defer mu.Unlock()
						submitted[ident.Task{Job: name}] = at
					})
					<-fleet.clock.After(250 * clock.Millisecond)
				}
				submitting.Wait()
				fleet.awaitStarts(submitted, lostAt, urgentTarget, &failover)
				failover.report(b, "failover", urgentTarget)
				fleet.assertSafe(b)
				fleet.close()
			}
		})
	}
}

// BenchmarkLoss cuts off all agents and workers of one rack, or all entries, agents and workers of one
// data centre, while the workers are half full. It measures the time until the lost tasks run
// elsewhere, the table's commits until then, and the same for the return of the lost daemons. A lost
// task may start again only after 20.9 s, when its lease has certainly expired, so the ratio is to that
// time.
func BenchmarkLoss(b *testing.B) {
	for _, size := range selectSizes(1, largeFleetSizes...) {
		for _, failureDomain := range selectSizes(1, "rack", "centre") {
			b.Run(fmt.Sprintf("%s/centres-%d/entries-%d/agents-%d", failureDomain, size.dataCentres, size.entries, size.agents), func(b *testing.B) {
				for range b.N {
					fleet := newLargeFleet(b, size.entries, size.agents, size.dataCentres)
					fleet.fillWorkers(size.agents * 6)
					// fillWorkers submits only whole jobs of 100 tasks.
					fleet.awaitSteadyLoad(size.agents * 6 / 100 * 100)
					entries, agents := fleet.nodesIn(failureDomain)
					fleet.measureLossAndReturn(b, entries, agents)
					fleet.assertSafe(b)
					fleet.close()
				}
			})
		}
	}
}

// nodesIn returns the entries and agents in the first data centre if failureDomain is "centre", or the
// agents in the first rack if it is "rack".
func (fleet *largeFleet) nodesIn(failureDomain string) (entries, agents []*node) {
	for _, node := range fleet.agents {
		if failureDomain == "rack" && node.rack == fleet.agents[0].rack || failureDomain == "centre" && node.centre == fleet.centres[0] {
			agents = append(agents, node)
		}
	}
	for _, node := range fleet.entries {
		if failureDomain == "centre" && node.centre == fleet.centres[0] {
			entries = append(entries, node)
		}
	}
	return entries, agents
}

// measureLossAndReturn cuts the daemons off, waits until the lost tasks run elsewhere, starts the
// daemons again, and reports the times, the calls to the table and the other tasks that were stopped.
func (fleet *largeFleet) measureLossAndReturn(b *testing.B, entries, agents []*node) {
	b.Helper()
	workers := map[ident.Worker]bool{}
	for _, node := range agents {
		workers[workerID(node.index)] = true
	}
	lostAt, before, submitted := fleet.clock.Now(), fleet.platform.Table.Counts(), map[ident.Task]clock.Time{}
	for _, run := range fleet.platform.Records.Runs() {
		if run.State == worker.Running && workers[run.Worker] {
			submitted[run.Task] = lostAt
		}
	}
	countsBefore := fleet.platform.Records.Counts()
	fleet.cutOff(entries, false)
	fleet.cutOff(agents, true)
	var latencies latencyStats
	fleet.awaitStarts(submitted, lostAt, leaseEndBound, &latencies)
	b.ReportMetric(float64(latencies.count), "lost-tasks")
	latencies.report(b, "elsewhere", leaseEndBound)
	fleet.reportTableCalls(b, "loss", before, lostAt)
	// The tasks of the other workers should continue to run.
	b.ReportMetric(float64(fleet.platform.Records.Counts().Stopped-countsBefore.Stopped-len(submitted)), "other-tasks-stopped")
	for _, run := range fleet.platform.Records.Runs() {
		if run.State == worker.Stopped && run.Reason != "WorkerLost" && run.End.After(lostAt) {
			b.Logf("%s on %s stopped %s after the loss: %s", run.Task, run.Worker, run.End.Sub(lostAt), run.Reason)
		}
	}

	returnedAt, before, countsBefore := fleet.clock.Now(), fleet.platform.Table.Counts(), fleet.platform.Records.Counts()
	for _, node := range entries {
		fleet.startEntry(node)
	}
	for _, node := range agents {
		fleet.must(fleet.platform.Workers[workerID(node.index)].SetFaults(standin.WorkerFaults{}))
		fleet.startAgent(node)
	}
	fleet.until("all agents hold a lease", fleet.allReady)
	b.ReportMetric(float64(fleet.clock.Now().Sub(returnedAt)), "returned-ms")
	<-fleet.clock.After(20 * clock.Second)
	fleet.reportTableCalls(b, "return", before, returnedAt)
	b.ReportMetric(float64(fleet.platform.Records.Counts().Stopped-countsBefore.Stopped), "return-tasks-stopped")
	if count := fleet.countRunning(); count != countsBefore.Running {
		b.Errorf("%d tasks run after the return, %d before", count, countsBefore.Running)
	}
}
