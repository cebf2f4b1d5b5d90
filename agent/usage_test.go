package agent

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// TestUsageFilter guards against heartbeats that repeat unchanged samples, and against changes that
// are not sent.
func TestUsageFilter(t *testing.T) {
	filter := newUsageFilter()
	now := clock.Time(clock.Minute)
	usage := worker.Usage{Task: ident.Task{Job: "layout"}, Resources: unit.Resources{CPU: 1000, Memory: 1000}, Slowdown: 100}
	for _, step := range []struct {
		name  string
		after clock.Millis
		cpu   unit.MilliCPU
		want  int
	}{
		{"new", 0, 1000, 1},
		{"unchanged", clock.Second, 1000, 0},
		{"small change", clock.Second, 1090, 0},
		{"large change", clock.Second, 1200, 1},
		{"due again", usageRepeatInterval, 1200, 1},
	} {
		t.Run(step.name, func(t *testing.T) {
			now = now.Add(step.after)
			usage.Resources.CPU = step.cpu
			if have := len(filter.pick([]worker.Usage{usage}, now)); have != step.want {
				t.Fatalf("have %d samples, want %d", have, step.want)
			}
		})
	}
	t.Run("many", func(t *testing.T) {
		var many []worker.Usage
		for index := range 3 * maxUsageSamples {
			many = append(many, worker.Usage{Task: ident.Task{Job: "many", Index: index}})
		}
		for range 3 {
			if have := len(filter.pick(many, now)); have != maxUsageSamples {
				t.Fatalf("have %d samples, want %d", have, maxUsageSamples)
			}
		}
		if have := len(filter.pick(many, now)); have != 0 {
			t.Fatalf("have %d samples after all were sent", have)
		}
	})
}
