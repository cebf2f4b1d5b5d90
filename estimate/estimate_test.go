package estimate_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/estimate"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func size(cpu, memory int) unit.Resources {
	return unit.Resources{CPU: unit.MilliCPU(cpu), Memory: unit.Mebibytes(memory)}
}

// recordUsage records count measurements, one every 5 s, that are up to a tenth below peak.
func recordUsage(model *estimate.Model, fake *clock.Fake, job ident.Job, peak unit.Resources, count int) {
	random := rand.New(rand.NewPCG(1, 2))
	for range count {
		fake.Advance(5 * clock.Second)
		share := 90 + random.Int64N(11)
		model.RecordUsage(job, "render", unit.Resources{
			CPU: peak.CPU * unit.MilliCPU(share) / 100, Memory: peak.Memory * unit.Mebibytes(share) / 100,
		}, fake.Now())
	}
}

// TestSizeFollowsUsageFarFromDeclared guards against sizes that follow the declared size although the
// usage differs from it by a factor of ten, and against sizes below the measured usage.
func TestSizeFollowsUsageFarFromDeclared(t *testing.T) {
	for _, scenario := range []struct {
		name             string
		declared, actual unit.Resources
	}{
		{"declared too large", size(8000, 32768), size(800, 3200)},
		{"declared too small", size(200, 512), size(2000, 5120)},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			model, fake := estimate.New(estimate.Defaults()), clock.NewFake(clock.Time(clock.Minute))
			if first := model.Size("nightly", "render", scenario.declared); first != scenario.declared {
				t.Fatalf("size %s without measurements, declared %s", first, scenario.declared)
			}
			recordUsage(model, fake, "nightly", scenario.actual, 10)
			if early := model.Size("nightly", "render", scenario.declared); early.Memory < scenario.actual.Memory {
				t.Fatalf("size %s after ten measurements of up to %s", early, scenario.actual)
			}
			// 720 measurements are one hour of one task.
			recordUsage(model, fake, "nightly", scenario.actual, 720)
			learned := model.Size("nightly", "render", scenario.declared)
			if !scenario.actual.FitsIn(learned) {
				t.Fatalf("size %s does not hold the actual %s", learned, scenario.actual)
			}
			// Above the actual usage, 50% are allowed: a cell is 20% wide, the margin is 10%, and the
			// rest is for the prior, which still has weight after an hour.
			if learned.CPU > scenario.actual.CPU*3/2 || learned.Memory > scenario.actual.Memory*3/2 {
				t.Fatalf("size %s is far above the actual %s", learned, scenario.actual)
			}
			if other := model.Size("weekly", "render", scenario.declared); !scenario.actual.FitsIn(other.Add(size(400, 640))) {
				t.Fatalf("size %s of another job of the class ignores the class", other)
			}
		})
	}
}

// TestOldPeakDecays guards against sizes that stay inflated for ever after an old peak.
func TestOldPeakDecays(t *testing.T) {
	model, fake := estimate.New(estimate.Defaults()), clock.NewFake(clock.Time(clock.Minute))
	recordUsage(model, fake, "nightly", size(16000, 65536), 720)
	fake.Advance(4 * clock.Day)
	recordUsage(model, fake, "nightly", size(1000, 4096), 720)
	if learned := model.Size("nightly", "render", size(1000, 4096)); learned.Memory > 8192 || learned.CPU > 2000 {
		t.Fatalf("size %s four days after the peak", learned)
	}
}

// TestSizeStaysAboveMemoryFloor guards against placing a job with less memory than it already failed with,
// whatever is measured afterwards and whichever records are removed at the limits.
func TestSizeStaysAboveMemoryFloor(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		settings := estimate.Defaults()
		settings.MaxJobs, settings.MaxClasses = 4, 2
		model, fake := estimate.New(settings), clock.NewFake(clock.Time(clock.Minute))
		floors := map[string]unit.Mebibytes{}
		job := func() (ident.Job, string) {
			index := rapid.IntRange(0, 11).Draw(check, "job")
			return ident.Job(fmt.Sprintf("job-%d", index)), fmt.Sprintf("class-%d", index%3)
		}
		check.Repeat(map[string]func(*rapid.T){
			"usage": func(check *rapid.T) {
				name, class := job()
				fake.Advance(clock.Minute)
				model.RecordUsage(name, class, size(rapid.IntRange(0, 1<<20).Draw(check, "cpu"), rapid.IntRange(0, 1<<20).Draw(check, "memory")), fake.Now())
			},
			"out of memory": func(check *rapid.T) {
				name, class := job()
				limit := model.Size(name, class, size(1000, 1024)).Memory
				if limit > 1<<30 {
					return
				}
				floor := model.RecordOutOfMemory(name, class, limit, 0)
				floors[string(name)] = max(floors[string(name)], limit+1, floor)
			},
			"move home": func(*rapid.T) {
				model = estimate.New(settings)
				for index := range 12 {
					name := fmt.Sprintf("job-%d", index)
					model.RestoreFloor(ident.Job(name), fmt.Sprintf("class-%d", index%3), floors[name])
				}
			},
			"": func(check *rapid.T) {
				for index := range 12 {
					name, class := ident.Job(fmt.Sprintf("job-%d", index)), fmt.Sprintf("class-%d", index%3)
					if have := model.Size(name, class, size(1000, 1024)).Memory; have < floors[string(name)] {
						check.Fatalf("%s is placed with %d MiB after it ran out of memory below %d", name, have, floors[string(name)])
					}
				}
			},
		})
	})
}

// TestRunTimeFollowsMeasurements guards against expected run times that follow a wrong declared one.
func TestRunTimeFollowsMeasurements(t *testing.T) {
	model := estimate.New(estimate.Defaults())
	for index := range 200 {
		model.RecordRunTime("nightly", "render", 10*clock.Minute, clock.Time(clock.Minute).Add(clock.Millis(index)*clock.Second))
	}
	for _, declared := range []clock.Millis{0, clock.Second, clock.Day} {
		learned := model.RunTime("nightly", "render", declared)
		if learned < 9*clock.Minute || learned > 20*clock.Minute {
			t.Fatalf("run time %s with %s declared, tasks took %s", learned, declared, 10*clock.Minute)
		}
	}
}

// TestCheckRefusesUnsafeSettings guards against defaults that Check refuses and against unsafe settings
// that it accepts.
func TestCheckRefusesUnsafeSettings(t *testing.T) {
	settings := estimate.Defaults()
	if err := settings.Check(); err != nil {
		t.Error(err)
	}
	settings.OutOfMemoryPercent = 100
	if err := settings.Check(); !estimate.IsErrBadSettings(err) {
		t.Errorf("error %v, want ErrBadSettings", err)
	}
}

// nanosecondsPerCall returns the mean time of one of the calls that run makes.
func nanosecondsPerCall(run func(calls int)) float64 {
	const calls = 50000
	start := time.Now()
	run(calls)
	return float64(time.Since(start).Nanoseconds()) / calls
}

// BenchmarkEstimate measures the time to record a measurement and to compute a size with 14,100 tasks of
// 5,100 jobs, and the ratio to a tenth of them.
func BenchmarkEstimate(b *testing.B) {
	measure := func(tasks, jobs int, size bool) float64 {
		model := estimate.New(estimate.Defaults())
		names, classes := make([]ident.Job, tasks), make([]string, tasks)
		random := rand.New(rand.NewPCG(1, 2))
		for index := range tasks {
			job := index % jobs
			names[index], classes[index] = ident.Job(fmt.Sprintf("job-%d", job)), fmt.Sprintf("class-%d", job%60)
		}
		random.Shuffle(tasks, func(left, right int) {
			names[left], names[right], classes[left], classes[right] = names[right], names[left], classes[right], classes[left]
		})
		usage := unit.Resources{CPU: 900, Memory: 2048}
		for index := range tasks {
			model.RecordUsage(names[index], classes[index], usage, clock.Time(clock.Minute))
		}
		return nanosecondsPerCall(func(calls int) {
			for index := range calls {
				task := index % tasks
				if size {
					model.Size(names[task], classes[task], usage)
				} else {
					model.RecordUsage(names[task], classes[task], usage, clock.Time(clock.Minute).Add(clock.Millis(index/3)))
				}
			}
		})
	}
	usageNanos, sizeNanos := measure(14100, 5100, false), measure(14100, 5100, true)
	b.ReportMetric(usageNanos, "ns/usage")
	b.ReportMetric(sizeNanos, "ns/size")
	b.ReportMetric(usageNanos/measure(1410, 510, false), "usage/baseline")
	b.ReportMetric(sizeNanos/measure(1410, 510, true), "size/baseline")
}
