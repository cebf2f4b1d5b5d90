package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// fullSim returns workers that 14,100 running tasks fill but for a little room, and a queue of 2,500
// jobs with 4 tasks each.
func fullSim(b *testing.B, settings Settings, workers int) *sim {
	b.Helper()
	const running = 14_100
	size := unit.Resources{CPU: 1000, Memory: 4000}
	perWorker := (running + workers - 1) / workers
	settings.MaxStarts = 2 * running
	settings.ParkAfter = clock.Hour
	world := newSim(b, settings, Dependencies{}, workers, size.Times(int64(perWorker)).Add(unit.Resources{CPU: 500, Memory: 2000}))
	for index := range running / 100 {
		world.submit(job.Spec{Job: ident.Job(fmt.Sprintf("running-%05d", index)), Kind: worker.Batch, Count: 100, Declared: size}, size, clock.Day)
	}
	world.step(500)
	if world.starts != running {
		b.Fatalf("%d of %d tasks run", world.starts, running)
	}
	world.scheduler.settings.MaxStarts = 400
	for index := range 2500 {
		world.submit(job.Spec{Job: ident.Job(fmt.Sprintf("queued-%05d", index)), Kind: worker.Batch, Count: 4, Declared: size}, size, clock.Day)
	}
	return world
}

// replace ends count tasks at random and has one round fill their places.
func (world *sim) replace(b *testing.B, count int) {
	b.Helper()
	var ends []TaskEnded
	for len(ends) < count {
		at := world.workers[world.random.IntN(len(world.workers))]
		for name, task := range at.tasks {
			ends = append(ends, TaskEnded{Worker: at.state.Worker, Status: worker.Status{Task: name, Epoch: task.epoch, State: worker.Stopped}})
			world.leave(at, name)
			break
		}
	}
	before := world.starts
	world.now = world.now.Add(500)
	b.StartTimer()
	for _, event := range ends {
		world.scheduler.Handle(event, world.now)
	}
	world.handle(Round{})
	b.StopTimer()
	// A round may leave tasks whose room was taken; the next one places them.
	if placed := world.starts - before; placed < count/2 {
		b.Fatalf("%d of %d tasks were placed", placed, count)
	}
}

// BenchmarkPlace measures the scheduler's time per placed task with a full cluster and queue. The
// baseline is first fit in the same run. The time includes the fake agents and table.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{10, 100, 1200} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			b.StopTimer()
			measure := func(settings Settings) (perTask, allocations float64) {
				world := fullSim(b, settings, workers)
				var before, after runtime.MemStats
				started, elapsed := world.starts, b.Elapsed()
				runtime.ReadMemStats(&before)
				for range b.N {
					world.replace(b, 265)
				}
				runtime.ReadMemStats(&after)
				placed := float64(world.starts - started)
				return float64((b.Elapsed() - elapsed).Nanoseconds()) / placed, float64(after.Mallocs-before.Mallocs) / placed
			}
			perTask, allocations := measure(Settings{})
			baseline, _ := measure(Settings{FirstFit: true})
			b.ReportMetric(perTask, "ns/task")
			b.ReportMetric(allocations, "allocs/task")
			b.ReportMetric(perTask/baseline, "ns/task/baseline")
		})
	}
}

// BenchmarkWrites measures the transactions per start at 530 starts a second. The baseline is one
// write per start.
func BenchmarkWrites(b *testing.B) {
	for range b.N {
		world := newSim(b, Settings{}, Dependencies{}, 1200, unit.Resources{CPU: 16_000, Memory: 64_000})
		const seconds = 20
		for second := range seconds {
			for index := range 53 {
				world.submit(job.Spec{
					Job: ident.Job(fmt.Sprintf("job-%03d-%02d", second, index)), Kind: worker.Batch, Count: 10,
					Declared: unit.Resources{CPU: 500, Memory: 1000},
				}, unit.Resources{CPU: 500, Memory: 1000}, 10*clock.Second)
			}
			world.step(500)
			world.step(500)
		}
		b.ReportMetric(float64(world.starts)/seconds, "starts/s")
		b.ReportMetric(float64(world.commits)/seconds, "writes/s")
		b.ReportMetric(float64(world.commits)/float64(world.starts), "writes/start/baseline")
	}
}

// BenchmarkEntries measures the transactions per start of 24 entries that together start 530 tasks a
// second of 190 teams, with rounds at different times and a table that answers after 2 to 40 ms. The
// baseline is one write per start.
func BenchmarkEntries(b *testing.B) {
	for range b.N {
		world := newWorld(b, 1, 60)
		world.calm, world.table.unlimited, world.homes = true, true, nil
		for _, agent := range world.agents {
			agent.capacity = unit.Resources{CPU: 1_000_000, Memory: 10_000_000}
			agent.boot()
		}
		for index := range 24 {
			added := world.addHome()
			added.scheduler = New(Settings{}, Dependencies{Entry: "entry", Incarnation: ident.Incarnation(index + 1)})
			added.nextRound = world.now.Add(clock.Millis(500 * index / 24))
			for _, name := range centreNames {
				added.configure(name)
			}
		}
		run := func(seconds int, each func()) {
			for range seconds * 200 {
				world.advance(5)
				each()
			}
		}
		run(5, func() {})
		submitted, due := 0, 0
		run(20, func() {
			for due += 53; due >= 100; due -= 100 {
				submitted++
				spec := batch(fmt.Sprintf("job-%d", submitted), 5, unit.Resources{CPU: 10, Memory: 100})
				spec.Team = ident.Team(fmt.Sprintf("team-%d", world.random.IntN(190)))
				submission, err := job.Submission(spec, ident.Write(spec.Job))
				if err != nil {
					b.Fatal(err)
				}
				if _, err := world.table.commit(submission); err != nil {
					b.Fatal(err)
				}
				world.homes[submitted%24].handle(JobLoaded{Row: world.table.rows[job.Key(spec.Job)]})
			}
		})
		var total Stats
		for _, home := range world.homes {
			stats := home.scheduler.Stats()
			total.Transactions += stats.Transactions
			total.Conflicts += stats.Conflicts
		}
		b.ReportMetric(float64(world.starts)/20, "starts/s")
		b.ReportMetric(float64(total.Transactions)/20, "writes/s")
		b.ReportMetric(float64(total.Conflicts)/20, "conflicts/s")
		b.ReportMetric(float64(total.Transactions)/float64(world.starts), "writes/start/baseline")
	}
}

// learned is a Sizer that knows the actual sizes with a reserve, as package estimate does after some
// runs of a class.
type learned map[string]unit.Resources

func (sizes learned) Size(_ ident.Job, class string, declared unit.Resources) unit.Resources {
	if size, ok := sizes[class]; ok {
		return unit.Resources{CPU: size.CPU, Memory: size.Memory * 11 / 10}
	}
	return declared
}

// throughput runs jobs whose declared sizes are a third to three times the actual ones, evenly on a
// logarithmic scale, for 30 minutes, and returns the work completed and the evictions.
func throughput(b *testing.B, settings Settings, learn bool) (finished, evictions float64) {
	b.Helper()
	random := rand.New(rand.NewPCG(11, 12))
	sizes := make(learned)
	dependencies := Dependencies{}
	if learn {
		dependencies.Sizer = sizes
	}
	world := newSim(b, settings, dependencies, 30, unit.Resources{CPU: 16_000, Memory: 60_000})
	for index := range 40 {
		sizes[fmt.Sprintf("class-%02d", index)] = unit.Resources{CPU: unit.MilliCPU(500 + random.IntN(3500)), Memory: unit.Mebibytes(1000 + random.IntN(11_000))}
	}
	for index := range 400 {
		class := fmt.Sprintf("class-%02d", random.IntN(40))
		actual := sizes[class]
		factor := int(100 * math.Pow(3, 2*random.Float64()-1))
		world.submit(job.Spec{
			Job: ident.Job(fmt.Sprintf("job-%04d", index)), Kind: worker.Batch, Count: 1 + random.IntN(20), Class: class,
			Declared: unit.Resources{CPU: actual.CPU * unit.MilliCPU(factor) / 100, Memory: actual.Memory * unit.Mebibytes(factor) / 100},
		}, actual, clock.Millis(1+random.IntN(8))*clock.Minute)
	}
	for range 30 * 60 {
		world.step(clock.Second)
	}
	return float64(world.work), float64(world.evictions)
}

// BenchmarkThroughput compares scored placement with learned sizes with first fit on declared sizes.
func BenchmarkThroughput(b *testing.B) {
	for range b.N {
		finished, evictions := throughput(b, Settings{}, true)
		baseline, baselineEvictions := throughput(b, Settings{FirstFit: true}, false)
		b.ReportMetric(finished/baseline, "work/baseline")
		b.ReportMetric(evictions/max(1, baselineEvictions), "evictions/baseline")
		b.ReportMetric(baselineEvictions, "evictions-first-fit")
	}
}

// outage runs long tasks while a data centre leaves and returns, and returns the work kept.
func outage(b *testing.B, settings Settings) float64 {
	b.Helper()
	world := newSim(b, settings, Dependencies{}, 30, unit.Resources{CPU: 16_000, Memory: 60_000})
	for index := range 60 {
		world.submit(job.Spec{
			Job: ident.Job(fmt.Sprintf("job-%04d", index)), Kind: worker.Batch, Count: 6,
			Declared: unit.Resources{CPU: 1000, Memory: 4000},
		}, unit.Resources{CPU: 1000, Memory: 4000}, clock.Hour)
	}
	run := func(seconds int) {
		for range seconds {
			world.step(clock.Second)
		}
	}
	run(600)
	world.centre("gent", false, 2*clock.Minute)
	run(900)
	world.centre("gent", true, 0)
	run(900)
	return float64(world.kept())
}

// BenchmarkDataCentreOut compares the work kept with and without a drain by checkpoint.
func BenchmarkDataCentreOut(b *testing.B) {
	for range b.N {
		b.ReportMetric(outage(b, Settings{})/outage(b, Settings{NoDrain: true}), "work/baseline")
	}
}
