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

// metric is a quantity that the benchmark compares between policies.
type metric struct {
	name  string
	value func(measures *Measures) int64
}

// metrics lists the compared quantities. Lower is better for latencies, evictions and lost work;
// higher is better for finished tasks and work.
var metrics = []metric{
	latencyMetric("ChecksP50", 500), latencyMetric("ChecksP99", 990), latencyMetric("ChecksP999", 999),
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

func latencyMetric(name string, permille int) metric {
	return metric{name, func(measures *Measures) int64 { return int64(Percentile(measures.Checks, permille)) }}
}

// BenchmarkSessions compares the measures of whole sessions with those of two baselines. Both
// baselines place first fit on declared sizes, without an interference model or a governor, and
// route at random. Only the second one drains a data centre that is taken out. A reported metric is
// the mean, over the seeds, of the project's value divided by the baseline's value for the same
// seed; its Spread is the standard deviation of these ratios. Seeds for which the baseline's value
// is 0 have no ratio and count in the logged sums only.
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
	var wait sync.WaitGroup
	for index := range results {
		seeded := session
		seeded.Seed = *firstSeed + uint64(index)
		wait.Go(func() { results[index] = Run(seeded, policy) })
	}
	wait.Wait()
	measures := make([]*Measures, len(results))
	for index := range results {
		measures[index] = &results[index].Measures
		for _, violation := range results[index].Violations {
			bench.Errorf("seed %d: %s", *firstSeed+uint64(index), violation)
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
	for _, metric := range metrics {
		var ratios []float64
		var ownSum, baselineSum int64
		for index := range own {
			ownValue, baselineValue := metric.value(own[index]), metric.value(others[index])
			ownSum, baselineSum = ownSum+ownValue, baselineSum+baselineValue
			if baselineValue > 0 {
				ratios = append(ratios, float64(ownValue)/float64(baselineValue))
			}
		}
		fmt.Fprintf(&sums, " %s=%d:%d", metric.name, ownSum, baselineSum)
		if len(ratios) > 0 {
			mean, deviation := meanAndDeviation(ratios)
			bench.ReportMetric(mean, metric.name+baseline+"/baseline")
			bench.ReportMetric(deviation, metric.name+baseline+"Spread/baseline")
		}
	}
	bench.Logf("own:%sBaseline, sums of %d seeds:%s", baseline, len(own), sums.String())
}

func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	for _, value := range values {
		deviation += (value - mean) * (value - mean)
	}
	return mean, math.Sqrt(deviation / float64(max(len(values)-1, 1)))
}
