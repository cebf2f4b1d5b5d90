package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/routing"
)

// BenchmarkGoodput compares the answers within the patience with and without admission control, for
// a mean service time of 10 ms. The load is relative to the capacity; the peak is the best goodput
// with admission control. The target at 5 times the capacity is 0.95 of the peak.
func BenchmarkGoodput(b *testing.B) {
	for _, patience := range []clock.Millis{30, 50, 150, 1000} {
		b.Run(fmt.Sprint("patience-", patience), func(b *testing.B) {
			for range b.N {
				peak, last := 0, 0
				for _, load := range []float64{0.8, 1, 2, 5} {
					offered := scenario{
						network: tick, load: load, slowdown: steady, patience: patience * tick, admitted: true, until: 10_000 * tick,
					}
					controlled := newSimulation(offered, "predicted")
					controlled.run()
					offered.admitted = false
					baseline := newSimulation(offered, "predicted")
					baseline.run()
					b.ReportMetric(float64(controlled.good)/float64(max(1, baseline.good)), fmt.Sprintf("goodput-%gx/baseline", load))
					peak, last = max(peak, controlled.good), controlled.good
				}
				b.ReportMetric(float64(last)/float64(peak), "goodput-5x/peak")
				b.ReportMetric(float64(peak)*service/(endpoints*slots*10_000*tick), "peak/capacity")
			}
		})
	}
}

// BenchmarkDecision measures a choice and its end against a random pick and against a scan for the
// least outstanding endpoint.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{10, 100, 1200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			known := candidates(count)
			view := routing.New(settings()).NewView(1, "s", known)
			outstanding := make([]int, count)
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			b.ResetTimer()
			for index := range b.N {
				decision, err := view.Choose(clock.Time(index), nil)
				if err != nil {
					b.Fatal(err)
				}
				decision.Done(clock.Time(index), routing.Result{Answered: true, Latency: 5})
			}
			b.StopTimer()
			chosen := b.Elapsed()
			b.StartTimer()
			for range b.N {
				outstanding[random.IntN(count)]++
			}
			b.StopTimer()
			picked := b.Elapsed() - chosen
			b.StartTimer()
			for range b.N {
				least := 0
				for index := range outstanding {
					if outstanding[index] < outstanding[least] {
						least = index
					}
				}
				outstanding[least]++
			}
			b.StopTimer()
			scanned := b.Elapsed() - chosen - picked
			b.ReportMetric(float64(chosen.Nanoseconds())/float64(b.N), "ns/decision")
			b.ReportMetric(chosen.Seconds()/picked.Seconds(), "random/baseline")
			b.ReportMetric(chosen.Seconds()/scanned.Seconds(), "least/baseline")
		})
	}
}
