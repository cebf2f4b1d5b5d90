package backlog

import (
	"fmt"
	"strings"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/workflow"
)

// job returns a job of a step with a number of tasks.
func job(number, tasks int) workflow.Spec {
	return workflow.Spec{ID: workflow.ID(fmt.Sprintf("%016x", number)), Steps: []workflow.Step{{Count: tasks}}}
}

func assertTaken(t *testing.T, refusal Refusal, spec workflow.Spec, want bool) {
	t.Helper()
	if got := refusal.RetryAfter(spec); (got == 0) != want {
		t.Errorf("%d tasks: got a refusal for %s, want the job taken: %t", spec.Steps[0].Count, got, want)
	}
}

// TestRefusal guards against a backlog without an end, against ordinary jobs that find no room because of large ones, and against a
// decision that changes with every job.
func TestRefusal(t *testing.T) {
	limit := 100 * Footprint(job(0, 1000))
	gauge := New(limit)
	now := clock.Time(0)
	for number := range 79 {
		gauge.Add(job(number, 1000))
		gauge.Add(job(number, 1000))
	}
	assertTaken(t, gauge.Refusal(now), job(0, 1000), true)
	for number := 79; number < 99; number++ {
		gauge.Add(job(number, 1000))
	}
	assertTaken(t, gauge.Refusal(now), job(0, 1000), false)
	assertTaken(t, gauge.Refusal(now), job(0, 50), true)
	gauge.Add(job(99, 1000))
	assertTaken(t, gauge.Refusal(now), job(0, 1), false)
	for number := range 29 {
		gauge.Remove(job(number, 0).ID)
		gauge.Remove(job(number, 0).ID)
	}
	assertTaken(t, gauge.Refusal(now), job(0, 1), true)
	assertTaken(t, gauge.Refusal(now), job(0, 1000), false)
	gauge.Remove(job(29, 0).ID)
	assertTaken(t, gauge.Refusal(now), job(0, 1000), true)
	for number := range 100 {
		gauge.Remove(job(number, 0).ID)
	}
	if got := gauge.Open(); got != 0 {
		t.Errorf("got %d bytes of no jobs", got)
	}
}

// TestRetryAfter guards against callers that are told to return before there is room, or long after.
func TestRetryAfter(t *testing.T) {
	one := Footprint(job(0, 1000))
	gauge := New(100 * one)
	for number := range 1000 {
		gauge.Add(job(number, 1000))
	}
	if got := gauge.Refusal(0).All; got != maxRetryAfter {
		t.Errorf("got %s while no job leaves, want %s", got, maxRetryAfter)
	}
	now, next := clock.Time(0), 0
	for range 20 { // Ten jobs leave in a second.
		now = now.Add(rateInterval)
		for range 20 {
			gauge.Remove(job(next, 0).ID)
			next++
		}
		gauge.Refusal(now)
	}
	left := clock.Millis(100 * (1000 - next - 90))
	if got := gauge.Refusal(now).All; got != maxRetryAfter {
		t.Errorf("got %s, want %s, because %s are left", got, maxRetryAfter, left)
	}
	for ; next < 850; next++ {
		gauge.Remove(job(next, 0).ID)
	}
	if got := gauge.Refusal(now).All; got < 5*clock.Second || got > 8*clock.Second {
		t.Errorf("got %s, want about 6 s", got)
	}
}

// TestFootprint guards against jobs whose memory is not counted: texts of any length, and occurrences that are due together.
func TestFootprint(t *testing.T) {
	plain := job(0, 10)
	long := job(0, 10)
	long.Steps[0].Label = strings.Repeat("a", 50_000)
	if Footprint(long) < Footprint(plain)+50_000 {
		t.Error("the label is not counted")
	}
	repeated := job(0, 10)
	repeated.Repetitions = 1000
	if got, want := Footprint(repeated)-Footprint(plain), Bytes(TaskBytes*990); got != want {
		t.Errorf("got %d bytes for occurrences, want %d", got, want)
	}
	assertTaken(t, New(0).Refusal(0), long, true)
}
