package supervisor

import (
	"fmt"
	"sync/atomic"
	"testing"

	"hyssopjunction/pacing"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// fillingTask returns the name of a filling task of the tests.
func fillingTask(index int) string {
	return workflow.Name{Job: "0123456789abcdef", Index: index}.String()
}

// fillingStart returns the start of a filling task of 2 cores.
func fillingStart(index int) session.Start {
	return session.Start{
		Incarnation: "i-1@10@node", Task: fillingTask(index), Run: 1, Fills: true, CPU: 2000, Image: "filling",
		Reserved: unit.Resources{Memory: 10},
	}
}

// TestRunIsPacedWithItsStart guards against a run that disturbs serving tasks at full pace while the call that paces it waits for a
// slot.
func TestRunIsPacedWithItsStart(t *testing.T) {
	const half = pacing.FullPace / 2
	fake := newRuntime()
	servingTask := "fedcba9876543210.0.0.0"
	fake.samples = map[string]int64{servingTask: 58}
	var earlyPaces, latePaces atomic.Int32
	supervisor := newSupervisor(t, fake)
	supervisor.loop.Call(supervisor.beginSession)
	order := func(starts ...session.Start) {
		supervisor.loop.Call(func() { supervisor.applyOrders(&session.Orders{Term: 1, Starts: starts}) })
	}
	order(session.Start{Incarnation: "i-1@10@node", Task: servingTask, Run: 1, Image: "serving", Target: 100, Reserved: unit.Resources{CPU: 1000, Memory: 10}})
	await(t, supervisor, "a sample", func() bool {
		return len(supervisor.worker.listing.Active) == 1 && supervisor.worker.listing.Active[0].Sample > 0
	})
	supervisor.loop.Call(func() { supervisor.worker.weights[[2]pacing.Image{"serving", "filling"}] = 0.0169 }) // log(0.6/0.58) allows 2 cores.
	order(fillingStart(0))
	await(t, supervisor, "the first filling run", func() bool {
		run := supervisor.worker.runs[runKey{fillingTask(0), 1}]
		return run.phase == phaseStarted && run.pacedAfterStart && run.pacePercent == pacing.FullPace
	})
	fake.update(func() {
		fake.onPace = func(call PaceCall) {
			supervisor.loop.Call(func() {
				if run := supervisor.worker.runs[runKey{call.Task, call.Run}]; run.pacedAfterStart {
					latePaces.Add(1)
				} else {
					earlyPaces.Add(1)
				}
			})
		}
	})
	order(fillingStart(1))
	await(t, supervisor, "the paces of both runs", func() bool {
		first, second := supervisor.worker.runs[runKey{fillingTask(0), 1}], supervisor.worker.runs[runKey{fillingTask(1), 1}]
		return second != nil && second.pacedAfterStart && first.pacePercent == half && second.pacePercent == half
	})
	if got := fmt.Sprint(earlyPaces.Load(), " ", latePaces.Load()); got != "1 1" {
		t.Errorf("calls to pace with the start and after it: %s, want 1 1", got)
	}
}
