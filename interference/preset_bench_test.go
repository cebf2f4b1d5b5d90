package interference_test

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/interference"
)

// BenchmarkPresets runs four hours of noisy waves with both presets, three seeds each. The baseline
// is the same preset without an interference model: first fit placement and a governor that takes
// all tasks for equally harmful. The p99 is compared as points above 100 percent. The metrics named
// unmanaged compare with no governor and no model at all.
func BenchmarkPresets(bench *testing.B) {
	presets := []struct {
		name     string
		settings interference.GovernorSettings
	}{{"omaruru", interference.Omaruru()}, {"modelwerf", interference.Modelwerf()}}
	type outcome struct{ excess, evictions, finished float64 }
	run := func(settings *interference.GovernorSettings, learned bool) (sum outcome) {
		for seed := range uint64(3) {
			world := newWorld(seed, settings, learned)
			world.run(4 * clock.Hour)
			sum.excess += float64(world.p99()-100) / 3
			sum.evictions += float64(world.evictions) / 3
			sum.finished += float64(world.finished) / 3
		}
		return sum
	}
	for range bench.N {
		unmanaged := run(nil, false)
		for _, preset := range presets {
			with, without := run(&preset.settings, true), run(&preset.settings, false)
			report := func(metric string, value, baseline float64) {
				bench.ReportMetric(value/baseline, fmt.Sprintf("%s-%s/baseline", preset.name, metric))
			}
			report("p99", with.excess, without.excess)
			// One is added to both, as either can be zero.
			report("evictions", with.evictions+1, without.evictions+1)
			report("throughput", with.finished, without.finished)
			report("p99-unmanaged", with.excess, unmanaged.excess)
			report("throughput-unmanaged", with.finished, unmanaged.finished)
			bench.ReportMetric(with.excess+100, preset.name+"-p99-percent")
			bench.ReportMetric(with.evictions, preset.name+"-evictions")
		}
	}
}
