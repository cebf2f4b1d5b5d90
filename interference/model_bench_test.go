package interference_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopjunction/clock"
)

// BenchmarkSlowdown measures one prediction for twelve residents in a model of 60 classes, as placement
// requests it for each worker that it considers. It reports the time without learning in between, and
// its ratio to the time if the model learns one measurement before every prediction.
func BenchmarkSlowdown(bench *testing.B) {
	fixture := newModelFixture()
	var classes []string
	for index := range 60 {
		classes = append(classes, fmt.Sprintf("class-%d", index))
		fixture.residents(60, classes[index])
		fixture.measure(110+index, 10, 0)
	}
	fixture.residents(60, classes[0])
	fixture.fakeClock.Advance(5 * clock.Second)
	predictor := fixture.model.At(60)
	const calls = 50000
	measure := func(learn bool) float64 {
		total := time.Duration(0)
		for range calls {
			if learn {
				fixture.model.Observe("worker", "checks", 110, 0, fixture.fakeClock.Now())
			}
			start := time.Now()
			predictor.Slowdown("checks", classes[:12])
			total += time.Since(start)
		}
		return float64(total.Nanoseconds()) / calls
	}
	steady, learning := measure(false), measure(true)
	bench.ReportMetric(steady, "ns/prediction")
	bench.ReportMetric(learning/steady, "learning/baseline")
}
