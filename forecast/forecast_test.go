package forecast

import (
	"math"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
)

const (
	start    = clock.Time(clock.Minute)
	interval = 500 * clock.Millisecond
)

// observe adds samples of a function of the seconds since start, with noise.
func observe(series *Series, count int, random *rand.Rand, noise float64, value func(seconds float64) float64) clock.Time {
	at := start
	for number := range count {
		at = start.Add(clock.Millis(number) * interval)
		series.Observe(value(float64(number)*0.5)+noise*random.NormFloat64(), at)
	}
	return at
}

// TestForecastFollowsSlope guards against a forecast that lags behind a load that rises or falls evenly.
func TestForecastFollowsSlope(t *testing.T) {
	for _, slope := range []float64{-0.2, 0, 0.15} {
		series := &Series{}
		last := observe(series, 20, rand.New(rand.NewPCG(1, 2)), 0, func(seconds float64) float64 { return 1 + slope*seconds })
		got := series.At(last.Add(2 * clock.Second))
		if want := 1 + slope*(9.5+2); math.Abs(got.Mean-want) > 1e-6 {
			t.Errorf("slope %.2f: forecast is %.4f, want %.4f", slope, got.Mean, want)
		}
	}
}

// TestDeviationCoversSamples guards against margins that are too small: at most 12% of the samples of a noisy load may be
// more than two standard deviations from their forecast. With a known deviation it would be 4.6%.
func TestDeviationCoversSamples(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, noise := range []float64{0.08, 0.12, 0.2, 0.3} {
		for _, ahead := range []clock.Millis{500, 1000, 2000} {
			outside, count := 0, 0
			for range 300 {
				series := &Series{}
				slope := 0.2 * (random.Float64() - 0.5)
				value := func(seconds float64) float64 { return slope * seconds }
				last := observe(series, 12, random, noise, value)
				if !series.Ready() {
					continue
				}
				got := series.At(last.Add(ahead))
				sample := value(5.5+float64(ahead)/1000) + noise*random.NormFloat64()
				count++
				if math.Abs(sample-got.Mean) > 2*got.Deviation {
					outside++
				}
			}
			share := float64(outside) / float64(count)
			t.Logf("noise %.2f, %s ahead: %.1f%% outside", noise, ahead, 100*share)
			if share > 0.12 {
				t.Errorf("noise %.2f, %s ahead: %.1f%% of the samples are outside, want at most 12%%", noise, ahead, 100*share)
			}
		}
	}
}

// TestUncertaintyGrows guards against a forecast that is as certain far ahead as it is for the next sample, or with few
// samples as with many.
func TestUncertaintyGrows(t *testing.T) {
	deviation := func(count int, ahead clock.Millis) float64 {
		series := &Series{}
		last := observe(series, count, rand.New(rand.NewPCG(5, 6)), 0, func(float64) float64 { return 0 })
		return series.At(last.Add(ahead)).Deviation
	}
	if near, far := deviation(10, 500), deviation(10, 2000); near >= far {
		t.Errorf("deviation is %.3f for the next sample and %.3f after 2 s", near, far)
	}
	if few, many := deviation(MinSamples, 500), deviation(20, 500); few <= many {
		t.Errorf("deviation is %.3f with few samples and %.3f with many", few, many)
	}
}

// TestSeriesStartsAnew guards against a forecast from samples that tell nothing about the future: from before a jump of the
// load, or from before a time without samples.
func TestSeriesStartsAnew(t *testing.T) {
	constant := func(float64) float64 { return 0 }
	cases := map[string]struct {
		value float64
		after clock.Millis
		want  bool
	}{
		"next sample":      {0.05, interval, true},
		"jump up":          {1, interval, false},
		"jump down":        {-1, interval, false},
		"after a long gap": {0, maxGap + 1, false},
		"after a gap":      {0, maxGap, true},
	}
	for name, test := range cases {
		series := &Series{}
		last := observe(series, 10, rand.New(rand.NewPCG(7, 8)), 0.05, constant)
		series.Observe(test.value, last.Add(test.after))
		if series.Ready() != test.want {
			t.Errorf("%s: forecast %v, want %v", name, series.Ready(), test.want)
		}
	}
}

// TestBadSamplesAreIgnored guards against a malformed sample, or one that comes twice, that spoils all later forecasts.
func TestBadSamplesAreIgnored(t *testing.T) {
	series := &Series{}
	last := observe(series, 10, rand.New(rand.NewPCG(9, 10)), 0.05, func(float64) float64 { return 0 })
	want := series.At(last.Add(clock.Second))
	series.Observe(math.NaN(), last.Add(interval))
	series.Observe(math.Inf(-1), last.Add(interval))
	series.Observe(5, last)
	series.Observe(5, last.Add(-interval))
	if got := series.At(last.Add(clock.Second)); got != want {
		t.Errorf("forecast is %+v, want %+v", got, want)
	}
}

// TestLongSeriesStaysExact guards against rounding errors that add up over a day of samples.
func TestLongSeriesStaysExact(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 12))
	long, short := &Series{}, &Series{}
	const samples = 170_000
	var last clock.Time
	for number := range samples {
		last = start.Add(clock.Millis(number) * interval)
		value := math.Sin(float64(number)/40) + 0.05*random.NormFloat64()
		long.Observe(value, last)
		if number >= samples-60 {
			short.Observe(value, last)
		}
	}
	if !long.Ready() || !short.Ready() {
		t.Fatal("no forecast")
	}
	got, want := long.At(last.Add(clock.Second)), short.At(last.Add(clock.Second))
	if math.Abs(got.Mean-want.Mean) > 1e-4 || math.Abs(got.Deviation-want.Deviation) > 1e-4 {
		t.Errorf("forecast is %+v after a day, want %+v", got, want)
	}
}

// BenchmarkForecast measures a sample and two forecasts, which the leader makes for each serving run of a report.
func BenchmarkForecast(b *testing.B) {
	series := &Series{}
	at := start
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		at = at.Add(interval)
		series.Observe(float64(number%7)/20, at)
		if series.Ready() {
			series.At(at.Add(clock.Second))
			series.At(at.Add(2 * clock.Second))
		}
	}
}
