package scheduler

import (
	"fmt"
	"math"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// quickStep returns a step of ten quick tasks whose data lies in the rack, which may be empty.
func quickStep(rack string) workflow.Step {
	return workflow.Step{Count: 10, Need: unit.Resources{CPU: 260, Memory: 100}, Estimate: 900, DataRack: rack}
}

// playHotRack plays 5.5 s with a quick job per interval, of which 60% prefer one of four racks. The workers of the rack have
// room for 48 tasks beside serving ones.
func playHotRack(t *testing.T, factor float64, interval clock.Millis) *loadPlay {
	t.Helper()
	play := newLoadPlay(t, factor)
	for number := range 16 {
		play.addPlayWorker(fmt.Sprint("rack-", number/4), 16, 1, math.Log(0.2))
	}
	serving := servingStep(64, "serving")
	serving.Need.CPU, serving.PerWorker = 3200, 4
	play.submitJob("serving", 1, serving)
	play.run(3*clock.Second, nil)
	number := 0
	play.run(5500*clock.Millisecond, func(elapsed clock.Millis) {
		if elapsed%interval != 0 {
			return
		}
		rack := []string{"rack-0", "rack-0", "rack-0", "", "rack-1", "rack-0", "rack-0", "rack-0", "rack-2", "rack-3"}[number%10]
		play.submitJob(fmt.Sprintf("quick-%03d", number), 0, quickStep(rack))
		number++
	})
	play.run(6*clock.Second, nil)
	return play
}

// TestHotRack guards against quick jobs that end late because most of them prefer one rack: tasks that run elsewhere at
// once although a short wait would do, tasks that wait for longer than a remote run takes, and tasks without data that take
// the room of the rack. The ends are compared with those under the fixed penalty for remote workers that commit 41dba3f has.
func TestHotRack(t *testing.T) {
	for name, test := range map[string]struct {
		factor       float64
		interval     clock.Millis
		beforeMean   int
		beforeWithin int
		// full tells that the other racks have no room either, so that no limit of the wait can be kept.
		full bool
	}{
		"factor 1.5":              {1.5, 100, 1031, 55, false},
		"factor 3":                {3, 100, 1286, 45, false},
		"factor 1.5, all busy":    {1.5, 50, 1765, 77, false},
		"factor 3, all are short": {3, 50, 4072, 16, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := playHotRack(t, test.factor, test.interval).result("quick")
			t.Logf("%+v, before: mean %d, within the objective %d", got, test.beforeMean, test.beforeWithin)
			if got.meanMillis > test.beforeMean || got.withinObjective < test.beforeWithin {
				t.Errorf("jobs end after %d ms on average and %d meet their objective, want at most %d ms and at least %d", got.meanMillis, got.withinObjective, test.beforeMean, test.beforeWithin)
			}
			if limit := int(test.factor * 900); !test.full && got.worstWaitMillis > limit {
				t.Errorf("a task waited for %d ms, want at most the %d ms of its remote run", got.worstWaitMillis, limit)
			}
		})
	}
}

// batchStep returns a step of filling tasks of an image that take 2 s on 1.8 cores.
func batchStep(count int, image string) workflow.Step {
	step := fillingStep(count, image)
	step.Need.CPU, step.Estimate = 1800, 2*clock.Second
	return step
}

// playHarshImages plays jobs of an image that interferes everywhere beside jobs of one that interferes with the serving
// tasks of half of the workers only.
func playHarshImages(t *testing.T) *loadPlay {
	t.Helper()
	play := newLoadPlay(t, 1.5)
	for range 8 {
		play.addPlayWorker("rack-0", 16, 1, math.Log(0.2))
	}
	for image, weights := range map[string][2]float64{"harsh": {0.12, 0.12}, "choosy": {0.02, 0.4}} {
		play.knowWeight("robust", image, weights[0])
		play.knowWeight("tender", image, weights[1])
	}
	for _, image := range []string{"robust", "tender"} {
		serving := servingStep(4, image)
		serving.Need.CPU, serving.PerWorker = 9000, 1
		play.submitJob(image, 1, serving)
	}
	play.run(2*clock.Second, nil)
	number := 0
	play.run(12*clock.Second, func(elapsed clock.Millis) {
		if elapsed%250 != 0 {
			return
		}
		image := []string{"harsh", "choosy"}[number%2]
		play.submitJob(fmt.Sprintf("filling-%s-%02d", image, number), 2, batchStep(8, image))
		number++
	})
	play.run(30*clock.Second, nil)
	return play
}

// TestHarshImages guards against an image that interferes everywhere taking the only workers on which another image can run,
// although it is as fast on the others. The ends are compared with those at commit 41dba3f, which rated each worker for each
// task alone.
func TestHarshImages(t *testing.T) {
	const beforeMean, beforeWithin = 9766, 15
	play := playHarshImages(t)
	got := play.result("filling")
	t.Logf("%+v; harsh %+v; choosy %+v", got, play.result("filling-harsh"), play.result("filling-choosy"))
	if got.meanMillis >= beforeMean || got.withinObjective <= beforeWithin {
		t.Errorf("jobs end after %d ms on average and %d meet their objective, want less than %d ms and more than %d", got.meanMillis, got.withinObjective, beforeMean, beforeWithin)
	}
}
