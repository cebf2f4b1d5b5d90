package pacing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"hyssopjunction/clock"
)

// Times of the simulated loads, in steps of 100 ms.
const (
	loadStep      = 100 * clock.Millisecond
	loadSteps     = 3000
	stepsInSample = 5
	// loadTarget is the target of the serving task in milliseconds, and loadCores what filling tasks request beside it.
	loadTarget = 1000
	loadCores  = 7.2
	loadWeight = 0.12
)

// loadKinds returns baseline log tail latencies by step, as shares of the target, of loads that vary in different ways.
func loadKinds() map[string]func(random *rand.Rand) []float64 {
	return map[string]func(random *rand.Rand) []float64{
		// A load that varies smoothly with an unknown period of 12 to 30 s.
		"wave": func(random *rand.Rand) []float64 {
			mid, amplitude := math.Log(0.25+0.15*random.Float64()), 0.35+0.25*random.Float64()
			period, phase := 120+180*random.Float64(), 2*math.Pi*random.Float64()
			values := make([]float64, loadSteps)
			for step := range values {
				values[step] = mid + amplitude*math.Sin(phase+2*math.Pi*float64(step)/period)
			}
			return values
		},
		// A load whose slope changes at random.
		"walk": func(random *rand.Rand) []float64 {
			mid, level, slope := math.Log(0.25+0.15*random.Float64()), 0.0, 0.0
			values := make([]float64, loadSteps)
			for step := range values {
				slope = 0.95*slope + 0.008*random.NormFloat64()
				level = 0.99*level + slope
				values[step] = mid + level
			}
			return values
		},
		// A load that changes at once, every 6 s on average.
		"jumps": func(random *rand.Rand) []float64 {
			mid, level := math.Log(0.25+0.15*random.Float64()), 0.0
			values := make([]float64, loadSteps)
			for step := range values {
				if random.IntN(60) == 0 {
					level = random.Float64() - 0.5
				}
				values[step] = mid + level
			}
			return values
		},
	}
}

// loadResult is what filling tasks could use beside a serving task and how often it was over its target because of them.
type loadResult struct {
	cores, over float64
}

// runLoad paces filling tasks beside a serving task with the governor. Samples cover half a second and have noise, and the
// governor's weight differs from the true one by a factor. Without forecasts, the governor sees each sample as the first.
func runLoad(random *rand.Rand, load []float64, noise, weightError float64, forecasts bool) loadResult {
	governor := NewGovernor(4500)
	result, samples := loadResult{}, 0
	usage := make([]float64, len(load))
	pace := float64(FullPace)
	for step := range load {
		usage[step] = loadCores * pace / FullPace
		result.cores += usage[step] / float64(len(load))
		if step%stepsInSample != stepsInSample-1 {
			continue
		}
		baseline, used := noise*random.NormFloat64(), 0.0
		for earlier := step - stepsInSample + 1; earlier <= step; earlier++ {
			baseline += load[earlier] / stepsInSample
			used += usage[earlier] / stepsInSample
		}
		tail := baseline + loadWeight*used
		samples++
		if tail > 0 && baseline <= 0 {
			result.over++
		}
		if !forecasts {
			clear(governor.baselines)
		}
		governor.Decide([]ServingSample{{Task: "s", Image: sensitive, Tail: clock.Millis(loadTarget * math.Exp(tail)), Target: loadTarget}},
			[]FillingSample{{Task: "f", Image: heavy, Cores: loadCores, Used: used}},
			func(Image, Image) float64 { return loadWeight * weightError }, clock.Time(clock.Minute).Add(clock.Millis(step)*loadStep))
		pace = float64(governor.Pace("f"))
	}
	result.over /= float64(samples)
	return result
}

// compareRules runs the rule without forecasts and that with forecasts beside loads of all kinds. It fails the test unless the
// second one allows more cores, by the factor minGain or more, with no more samples over the target.
func compareRules(t *testing.T, minGain float64, run func(seed uint64, load []float64, noise float64, forecasts bool) loadResult) {
	t.Helper()
	var total [2]loadResult
	count := 0.0
	for kind, newLoad := range loadKinds() {
		for _, noise := range []float64{0.06, 0.12, 0.2} {
			var results [2]loadResult
			const loads = 60
			for seed := range uint64(loads) {
				load := newLoad(rand.New(rand.NewPCG(seed, 1)))
				for rule, forecasts := range []bool{false, true} {
					result := run(seed, load, noise, forecasts)
					results[rule].cores += result.cores / loads
					results[rule].over += result.over / loads
				}
			}
			for rule, result := range results {
				total[rule].cores += result.cores
				total[rule].over += result.over
			}
			count++
			t.Logf("%s, noise %.2f: %s", kind, noise, formatResults(results, 1))
		}
	}
	t.Logf("all: %s", formatResults(total, count))
	if total[1].cores <= minGain*total[0].cores || total[1].over > total[0].over {
		t.Errorf("want %.2f times the cores with no more samples over the target: %s", minGain, formatResults(total, count))
	}
}

// TestForecastReleasesCapacity is the condition under which the forecast is used: beside noisy serving tasks whose load
// varies, filling tasks use more cores than with the last sample alone, with no more samples over the target.
func TestForecastReleasesCapacity(t *testing.T) {
	compareRules(t, 1.03, func(seed uint64, load []float64, noise float64, forecasts bool) loadResult {
		return runLoad(rand.New(rand.NewPCG(seed, 2)), load, noise, []float64{0.6, 1, 1.5}[seed%3], forecasts)
	})
}

// formatResults formats the means of the results without and with forecasts.
func formatResults(results [2]loadResult, count float64) string {
	return fmt.Sprintf("%.2f cores and %.2f%% over without, %.2f cores and %.2f%% over with forecasts",
		results[0].cores/count, 100*results[0].over/count, results[1].cores/count, 100*results[1].over/count)
}

// placementResult places filling tasks at each report, for the next 2 s, by the room that a rule returns. It returns the
// cores that they could use and the share of samples that would then be over the target because of them.
func placementResult(random *rand.Rand, load []float64, noise float64, room func(baseline *Baseline) float64) loadResult {
	const stepsBetweenReports, stepsAhead = 6, 20
	baseline, result := &Baseline{}, loadResult{}
	sample := func(end int) float64 {
		value := noise * random.NormFloat64()
		for step := end - stepsInSample; step < end; step++ {
			value += load[step] / stepsInSample
		}
		return value
	}
	reports, samples := 0, 0
	for step := stepsInSample + 1; step+stepsAhead+stepsInSample < len(load); step += stepsBetweenReports {
		// The newest sample of the worker is 0.1 s old on average when it is reported.
		baseline.Observe(sample(step-1), clock.Time(clock.Minute).Add(clock.Millis(step)*loadStep))
		allowed := math.Max(0, math.Min(loadCores*loadWeight, room(baseline)))
		reports++
		result.cores += allowed / loadWeight
		for end := step + 2*stepsInSample; end <= step+stepsAhead; end += stepsInSample {
			tail := sample(end)
			samples++
			if tail <= 0 && tail+allowed > 0 {
				result.over++
			}
		}
	}
	return loadResult{cores: result.cores / float64(reports), over: result.over / float64(samples)}
}

// TestForecastReleasesPlaces is the condition under which the forecast is used for placement, instead of the recent peak.
func TestForecastReleasesPlaces(t *testing.T) {
	compareRules(t, 1.01, func(seed uint64, load []float64, noise float64, forecasts bool) loadResult {
		room := (*Baseline).PlacementRoom
		if !forecasts {
			room = func(baseline *Baseline) float64 { return Room(baseline.peak) }
		}
		return placementResult(rand.New(rand.NewPCG(seed, 2)), load, noise, room)
	})
}

// TestFewSamplesAllowNoMore guards against a forecast from fewer than four samples: the room must be that of the recent
// peak for placement and that of the last sample for pacing, also after the series has started anew.
func TestFewSamplesAllowNoMore(t *testing.T) {
	random := rand.New(rand.NewPCG(13, 14))
	for range 1000 {
		baseline, governor := &Baseline{}, NewGovernor(maxOverTarget)
		peak, now := 0.0, clock.Time(clock.Minute)
		for sample := range 3 {
			now = now.Add(600 * clock.Millisecond)
			tail := math.Log(0.1 + 0.8*random.Float64())
			baseline.Observe(tail, now)
			if peak -= 0.15 * 0.6; sample == 0 || tail > peak {
				peak = tail
			}
			if got, want := baseline.PlacementRoom(), math.Log(0.6)-peak; math.Abs(got-want) > 1e-9 {
				t.Fatalf("room for placement after %d samples is %.4f, want %.4f", sample+1, got, want)
			}
			task := ServingSample{Task: "s", Image: sensitive, Tail: clock.Millis(1000 * math.Exp(tail)), Target: 1000}
			governor.Decide([]ServingSample{task}, nil, trueWeight, now)
			if got, want := governor.room(task, 0, false), math.Log(0.6)-math.Log(task.ratio()); got != want {
				t.Fatalf("room for pacing after %d samples is %.4f, want %.4f", sample+1, got, want)
			}
		}
	}
}
