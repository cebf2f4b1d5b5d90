package recorded

import (
	"flag"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
)

var benchSeeds = flag.Int("recorded.benchseeds", 8, "number of seeds of each session that the benchmark compares, from recorded.seed on")

// figure is a number that the benchmark compares between policies.
type figure struct {
	name string
	of   func(measures *Measures) int64
}

// figures are less for the better for latencies, evictions and lost work, and more for finished tasks and work.
var figures = []figure{
	latency("ChecksP50", 500), latency("ChecksP99", 990), latency("ChecksP999", 999),
	{"KeyedP99", func(measures *Measures) int64 { return int64(Percentile(measures.Keyed, 990)) }},
	{"Late", func(measures *Measures) int64 { return int64(measures.Late) }},
	{"NotRun", func(measures *Measures) int64 { return int64(measures.NotRun) }},
	{"Finished", func(measures *Measures) int64 { return int64(measures.Finished) }},
	{"Open", func(measures *Measures) int64 { return int64(measures.Open) }},
	{"Evictions", func(measures *Measures) int64 { return int64(measures.Evictions) }},
	{"OutOfMemory", func(measures *Measures) int64 { return int64(measures.OutOfMemory) }},
	{"Worked", func(measures *Measures) int64 { return int64(measures.Worked) }},
	{"Lost", func(measures *Measures) int64 { return int64(measures.Lost) }},
	{"WorkWhileDataCentreLeft", func(measures *Measures) int64 { return int64(measures.CentreWorked) }},
}

func latency(name string, permille int) figure {
	return figure{name, func(measures *Measures) int64 { return int64(Percentile(measures.Checks, permille)) }}
}

// BenchmarkSessions compares the figures of the whole sessions with those of two baselines. Both place
// first fit on declared sizes without an interference model and a governor, and route at random; the
// first does not drain, the draining one does. A metric is the mean over the seeds of the own figure
// divided by the baseline's for the same seed; its Spread is the standard deviation of these ratios.
// Seeds for which the baseline's figure is 0 have no ratio and count in the logged sums only.
func BenchmarkSessions(bench *testing.B) {
	baselines := []struct {
		name   string
		policy Policy
	}{{"", Baseline()}, {"Draining", DrainingBaseline()}}
	for _, session := range []Session{ContestDay(), CastingWeek()} {
		bench.Run(session.Name, func(bench *testing.B) {
			var own []*Measures
			for range bench.N {
				own = runSeeds(bench, session, Policy{})
				logLosses(bench, session, "own", own)
				for _, baseline := range baselines {
					others := runSeeds(bench, session, baseline.policy)
					logLosses(bench, session, baseline.name+"Baseline", others)
					compare(bench, baseline.name, own, others)
				}
			}
			bench.ReportMetric(0, "ns/op")
		})
	}
}

// runSeeds runs the session once for each seed.
func runSeeds(bench *testing.B, session Session, policy Policy) []*Measures {
	bench.Helper()
	results := make([]Result, *benchSeeds)
	var running sync.WaitGroup
	for index := range results {
		seeded := session
		seeded.Seed = *firstSeed + uint64(index)
		running.Go(func() { results[index] = Run(seeded, policy) })
	}
	running.Wait()
	measures := make([]*Measures, len(results))
	for index := range results {
		measures[index] = &results[index].Measures
		for _, fault := range results[index].Broken {
			bench.Errorf("seed %d: %s", *firstSeed+uint64(index), fault)
		}
	}
	return measures
}

func logLosses(bench *testing.B, session Session, name string, runs []*Measures) {
	bench.Helper()
	sum := newLosses()
	for _, measures := range runs {
		sum.Add(&measures.Losses)
	}
	bench.Logf("%s, sums of %d seeds: %s", name, len(runs), sum.Text(session.Workers))
}

func compare(bench *testing.B, baseline string, own, others []*Measures) {
	bench.Helper()
	var sums strings.Builder
	for _, figure := range figures {
		var ratios []float64
		var mine, theirs int64
		for index := range own {
			figureOfOwn, figureOfOther := figure.of(own[index]), figure.of(others[index])
			mine, theirs = mine+figureOfOwn, theirs+figureOfOther
			if figureOfOther > 0 {
				ratios = append(ratios, float64(figureOfOwn)/float64(figureOfOther))
			}
		}
		fmt.Fprintf(&sums, " %s=%d:%d", figure.name, mine, theirs)
		if len(ratios) > 0 {
			mean, spread := meanAndSpread(ratios)
			bench.ReportMetric(mean, figure.name+baseline+"/baseline")
			bench.ReportMetric(spread, figure.name+baseline+"Spread/baseline")
		}
	}
	bench.Logf("own:%sBaseline, sums of %d seeds:%s", baseline, len(own), sums.String())
}

func meanAndSpread(values []float64) (mean, spread float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	for _, value := range values {
		spread += (value - mean) * (value - mean)
	}
	return mean, math.Sqrt(spread / float64(max(len(values)-1, 1)))
}
