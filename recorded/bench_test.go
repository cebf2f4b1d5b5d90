package recorded

import (
	"fmt"
	"strings"
	"testing"

	"hyssopjunction/clock"
)

// BenchmarkSessions compares the measures of the whole sessions with those of the baseline, which
// places first fit on declared sizes without an interference model, a governor or a drain and routes
// at random. A metric is the own figure divided by the baseline's, for the same seed: less is better
// for latencies, evictions and lost work, more for finished tasks and work.
func BenchmarkSessions(bench *testing.B) {
	for _, session := range []Session{ContestDay(), CastingWeek()} {
		bench.Run(session.Name, func(bench *testing.B) {
			var own, baseline Result
			for range bench.N {
				own, baseline = Run(session, Policy{}), Run(session, Baseline())
			}
			bench.ReportMetric(0, "ns/op")
			var figures strings.Builder
			ratio := func(name string, figure, other int64) {
				if other > 0 {
					bench.ReportMetric(float64(figure)/float64(other), name+"/baseline")
				}
				fmt.Fprintf(&figures, " %s=%d:%d", name, figure, other)
			}
			latency := func(name string, permille int, own, baseline []clock.Millis) {
				ratio(name, int64(Percentile(own, permille)), int64(Percentile(baseline, permille)))
			}
			mine, theirs := own.Measures, baseline.Measures
			latency("ChecksP50", 500, mine.Checks, theirs.Checks)
			latency("ChecksP99", 990, mine.Checks, theirs.Checks)
			latency("ChecksP999", 999, mine.Checks, theirs.Checks)
			latency("KeyedP99", 990, mine.Keyed, theirs.Keyed)
			ratio("Late", int64(mine.Late), int64(theirs.Late))
			ratio("NotRun", int64(mine.NotRun), int64(theirs.NotRun))
			ratio("Finished", int64(mine.Finished), int64(theirs.Finished))
			ratio("Open", int64(mine.Open), int64(theirs.Open))
			ratio("Evictions", int64(mine.Evictions), int64(theirs.Evictions))
			ratio("OutOfMemory", int64(mine.OutOfMemory), int64(theirs.OutOfMemory))
			ratio("Worked", int64(mine.Worked), int64(theirs.Worked))
			ratio("Lost", int64(mine.Lost), int64(theirs.Lost))
			ratio("WorkWhileDataCentreLeft", int64(mine.CentreWorked), int64(theirs.CentreWorked))
			bench.Logf("own:baseline%s", figures.String())
			for _, fault := range append(own.Broken, baseline.Broken...) {
				bench.Error(fault)
			}
		})
	}
}
