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
	// urgentTarget is the time within which urgent work must start.
	urgentTarget = 4200 * clock.Millisecond
	// leaseBound is the earliest certain end of a lost agent's lease, the term and its margin.
	leaseBound = 20_900 * clock.Millisecond
)

// sizes are the data centres, entries and agents of the large fleets, 50 agents an entry.
var sizes = []struct{ places, entries, agents int }{{3, 3, 150}, {3, 6, 300}, {4, 12, 600}, {8, 24, 1200}}

// spread is the mean and the worst of measured times.
type spread struct {
	count      int
	sum, worst clock.Millis
	late       int
}

func (spread *spread) add(took, target clock.Millis) {
	spread.count++
	spread.sum += took
	spread.worst = max(spread.worst, took)
	if took > target {
		spread.late++
	}
}

func (spread *spread) report(b *testing.B, name string, target clock.Millis) {
	b.Helper()
	b.ReportMetric(float64(spread.sum)/float64(max(spread.count, 1)), name+"-mean-ms")
	b.ReportMetric(float64(spread.worst), name+"-worst-ms")
	b.ReportMetric(float64(spread.late), name+"-late")
	b.ReportMetric(float64(spread.worst)/float64(target), name+"-worst/target/baseline")
}

// urgent submits an urgent task and returns when it was submitted.
func (site *site) urgent(operators *operator.Client, name ident.Job) clock.Time {
	at := site.time.Now()
	_, err := operators.SubmitJob(context.Background(), operator.JobSubmission{
		Job: name, Team: team, Class: "layout", Kind: worker.Batch, Tasks: 1, Urgent: true,
		Resources: unit.Resources{CPU: 2400, Memory: 8000}, Payload: standin.Payload{RunMillis: clock.Hour, Class: "layout"}.String(),
	})
	if err != nil {
		site.b.Errorf("submission of %s: %v", name, err)
	}
	return at
}

// homedAt returns a job name with the prefix whose home is the entry, or is another one.
func (site *site) homedAt(wanted bool, home *member, prefix string) ident.Job {
	var live []membership.Entry
	for _, known := range site.entries {
		live = append(live, membership.Entry{ID: entryID(known.index), State: membership.Live, Region: region})
	}
	for index := 0; ; index++ {
		name := ident.Job(fmt.Sprintf("%s-%d", prefix, index))
		if found, ok := membership.JobHome(name, region, live).Get(); ok && (found.ID == entryID(home.index)) == wanted {
			return name
		}
	}
}

// started returns the first start of each job after the given time.
func (site *site) started(after clock.Time) map[ident.Task]clock.Time {
	first := map[ident.Task]clock.Time{}
	for _, run := range site.platform.Records.Runs() {
		if _, known := first[run.Task]; !known && run.Start.After(after) {
			first[run.Task] = run.Start
		}
	}
	return first
}

// wait adds the time from each submission to its start.
func (site *site) wait(submitted map[ident.Task]clock.Time, since clock.Time, target clock.Millis, result *spread) {
	var first map[ident.Task]clock.Time
	site.until("the tasks start", func() bool {
		first = site.started(since)
		for task := range submitted {
			if _, ok := first[task]; !ok {
				return false
			}
		}
		return true
	})
	for task, at := range submitted {
		result.add(first[task].Sub(at), target)
		if took := first[task].Sub(at); took > target && target == urgentTarget {
			site.b.Logf("%s started %s after its submission", task, took)
		}
	}
}

// clean fails the benchmark if the workers' records show a task in two places or too much on one.
func (site *site) clean(b *testing.B) {
	b.Helper()
	if violations := site.platform.Records.Violations(); violations.Any() {
		b.Errorf("violations: %+v", violations)
	}
}

// calls are the calls of the table so far.
func (site *site) calls(b *testing.B, name string, before standin.TableCounts, since clock.Time) {
	b.Helper()
	after, seconds := site.platform.Table.Counts(), float64(site.time.Now().Sub(since))/1000
	b.ReportMetric(float64(after.Commits-before.Commits), name+"-commits")
	b.ReportMetric(float64(after.Commits-before.Commits)/seconds, name+"-commits/s")
	b.ReportMetric(float64(after.Gets+after.Ranges-before.Gets-before.Ranges)/seconds, name+"-reads/s")
}

// BenchmarkUrgentFull measures the time from the submission of an urgent task to its start while
// batch tasks fill all workers, first undisturbed, then in the 12 s after one entry was lost without
// a sign, which is the home of every second job. The ratio is to the target of 4.2 s.
func BenchmarkUrgentFull(b *testing.B) {
	for _, size := range few(1, sizes...) {
		b.Run(fmt.Sprintf("entries-%d/agents-%d", size.entries, size.agents), func(b *testing.B) {
			for range b.N {
				site := newSite(b, size.entries, size.agents, size.places)
				began := site.time.Now()
				site.fill(size.agents * 14)
				full := site.steady(size.agents * 9)
				b.ReportMetric(float64(full)/float64(size.agents), "tasks/agent")
				b.ReportMetric(float64(site.time.Now().Sub(began))/1000-5, "filled-s")
				used, since := processorTime(b), site.time.Now()
				var calm, failover spread
				for index := range 12 {
					name := ident.Job(fmt.Sprintf("urgent-%d", index))
					at := site.urgent(site.operators, name)
					site.wait(map[ident.Task]clock.Time{{Job: name}: at}, at, urgentTarget, &calm)
				}
				b.ReportMetric(100*(processorTime(b)-used).Seconds()*1000/float64(site.time.Now().Sub(since)), "process-%core")
				calm.report(b, "calm", urgentTarget)
				site.lose(site.entries[1:2], false)
				lostAt := site.time.Now()
				submitted := map[ident.Task]clock.Time{}
				var mu sync.Mutex
				var submitting sync.WaitGroup
				for index := range 48 {
					submitting.Go(func() {
						name := site.homedAt(index%2 == 0, site.entries[1], fmt.Sprintf("failover-%d", index))
						at := site.urgent(site.operator(index), name)
						mu.Lock()
						defer mu.Unlock()
						submitted[ident.Task{Job: name}] = at
					})
					<-site.time.After(250 * clock.Millisecond)
				}
				submitting.Wait()
				site.wait(submitted, lostAt, urgentTarget, &failover)
				failover.report(b, "failover", urgentTarget)
				site.clean(b)
				site.close()
			}
		})
	}
}

// BenchmarkLoss measures the loss without a sign of all agents and workers of one rack, and of all
// entries, agents and workers of one data centre, with the workers half full: the time until the lost
// tasks run elsewhere, the commits until then, and the return of what was lost. A lost task may start
// again after its lease of 20.9 s is certainly over, so the ratio is to that bound.
func BenchmarkLoss(b *testing.B) {
	for _, size := range few(1, sizes...) {
		for _, what := range few(1, "rack", "centre") {
			b.Run(fmt.Sprintf("%s/centres-%d/entries-%d/agents-%d", what, size.places, size.entries, size.agents), func(b *testing.B) {
				for range b.N {
					site := newSite(b, size.entries, size.agents, size.places)
					site.fill(size.agents * 6)
					site.steady(size.agents * 6 / 100 * 100)
					entries, agents := site.in(what)
					site.loseAndReturn(b, entries, agents)
					site.clean(b)
					site.close()
				}
			})
		}
	}
}

// in returns the members of the first rack or of the first data centre.
func (site *site) in(what string) (entries, agents []*member) {
	for _, member := range site.agents {
		if what == "rack" && member.rack == site.agents[0].rack || what == "centre" && member.centre == site.centres[0] {
			agents = append(agents, member)
		}
	}
	for _, member := range site.entries {
		if what == "centre" && member.centre == site.centres[0] {
			entries = append(entries, member)
		}
	}
	return entries, agents
}

func (site *site) loseAndReturn(b *testing.B, entries, agents []*member) {
	b.Helper()
	workers := map[ident.Worker]bool{}
	for _, member := range agents {
		workers[workerID(member.index)] = true
	}
	lostAt, before, submitted := site.time.Now(), site.platform.Table.Counts(), map[ident.Task]clock.Time{}
	for _, run := range site.platform.Records.Runs() {
		if run.State == worker.Running && workers[run.Worker] {
			submitted[run.Task] = lostAt
		}
	}
	runs := site.platform.Records.Counts()
	site.lose(entries, false)
	site.lose(agents, true)
	var moved spread
	site.wait(submitted, lostAt, leaseBound, &moved)
	b.ReportMetric(float64(moved.count), "lost-tasks")
	moved.report(b, "elsewhere", leaseBound)
	site.calls(b, "loss", before, lostAt)
	// Tasks of the other workers must go on.
	b.ReportMetric(float64(site.platform.Records.Counts().Stopped-runs.Stopped-len(submitted)), "other-tasks-stopped")
	for _, run := range site.platform.Records.Runs() {
		if run.State == worker.Stopped && run.Reason != "WorkerLost" && run.End.After(lostAt) {
			b.Logf("%s on %s stopped %s after the loss: %s", run.Task, run.Worker, run.End.Sub(lostAt), run.Reason)
		}
	}

	returnedAt, before, runs := site.time.Now(), site.platform.Table.Counts(), site.platform.Records.Counts()
	for _, member := range entries {
		site.startEntry(member)
	}
	for _, member := range agents {
		site.check(site.platform.Workers[workerID(member.index)].SetFaults(standin.WorkerFaults{}))
		site.startAgent(member)
	}
	site.until("all agents hold a lease", site.ready)
	b.ReportMetric(float64(site.time.Now().Sub(returnedAt)), "returned-ms")
	<-site.time.After(20 * clock.Second)
	site.calls(b, "return", before, returnedAt)
	b.ReportMetric(float64(site.platform.Records.Counts().Stopped-runs.Stopped), "return-tasks-stopped")
	if count := site.running(); count != runs.Running {
		b.Errorf("%d tasks run after the return, %d before", count, runs.Running)
	}
}
