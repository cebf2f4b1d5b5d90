package interference_test

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/interference"
)

// BenchmarkPresets simulates four hours with both presets and three seeds each. The baseline is the same
// preset without an interference model: first-fit placement and a governor that assumes the same effect
// for all tasks. The p99 slowdown is compared in points above 100 percent. The metrics named unmanaged
// compare with a simulation without governor and model.
func BenchmarkPresets(bench *testing.B) {
	presets := []struct {
		name     string
		settings interference.GovernorSettings
	}{{"omaruru", interference.LatencyFirst()}, {"modelwerf", interference.ThroughputFirst()}}
	type outcome struct{ excess, evictions, finished float64 }
	run := func(settings *interference.GovernorSettings, useModel bool) (sum outcome) {
		for seed := range uint64(3) {
			simulation := newSimulation(seed, settings, useModel)
			simulation.run(4 * clock.Hour)
			sum.excess += float64(simulation.p99()-100) / 3
			sum.evictions += float64(simulation.evictions) / 3
			sum.finished += float64(simulation.finished) / 3
		}
		return sum
	}
	for range bench.N {
		unmanaged := run(nil, false)
		for _, preset := range presets {
			withModel, withoutModel := run(&preset.settings, true), run(&preset.settings, false)
			report := func(metric string, value, baseline float64) {
				bench.ReportMetric(value/baseline, fmt.Sprintf("%s-%s/baseline", preset.name, metric))
			}
			report("p99", withModel.excess, withoutModel.excess)
			// Add 1 to both because either can be 0.
			report("evictions", withModel.evictions+1, withoutModel.evictions+1)
			report("throughput", withModel.finished, withoutModel.finished)
			report("p99-unmanaged", withModel.excess, unmanaged.excess)
			report("throughput-unmanaged", withModel.finished, unmanaged.finished)
			bench.ReportMetric(withModel.excess+100, preset.name+"-p99-percent")
			bench.ReportMetric(withModel.evictions, preset.name+"-evictions")
		}
	}
}
