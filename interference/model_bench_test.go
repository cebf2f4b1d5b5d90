package interference_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopjunction/clock"
)

// BenchmarkSlowdown measures one prediction beside twelve residents at 60 classes, as placement makes
// it per worker considered. The baseline is a prediction without learning in between; the other has
// a measurement of one of the pairs before every prediction.
func BenchmarkSlowdown(bench *testing.B) {
	feed := newFeed()
	var classes []string
	for index := range 60 {
		classes = append(classes, fmt.Sprintf("class-%d", index))
		feed.residents(60, classes[index])
		feed.measure(110+index, 10, 0)
	}
	feed.residents(60, classes[0])
	feed.fake.Advance(5 * clock.Second)
	loaded := feed.model.At(60)
	const calls = 50000
	timed := func(learn bool) float64 {
		total := time.Duration(0)
		for range calls {
			if learn {
				feed.model.Observe("worker", "checks", 110, 0, feed.fake.Now())
			}
			start := time.Now()
			loaded.Slowdown("checks", classes[:12])
			total += time.Since(start)
		}
		return float64(total.Nanoseconds()) / calls
	}
	steady, learning := timed(false), timed(true)
	bench.ReportMetric(steady, "ns/prediction")
	bench.ReportMetric(learning/steady, "learning/baseline")
}
