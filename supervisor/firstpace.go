package supervisor

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
)

// pacesLogInterval is the shortest time between two log lines about the paces of a worker.
const pacesLogInterval = 2 * clock.Second

// logPaces logs the paces of the worker's filling runs while one of them is throttled, with what limits them most.
func (supervisor *Supervisor) logPaces(worker *workerState, filling []pacing.FillingSample) {
	now := supervisor.clocks.Boot.Now()
	if now.Sub(worker.pacesLoggedAt) < pacesLogInterval {
		return
	}
	total, throttled := 0, false
	for _, sample := range filling {
		pace := worker.governor.Pace(sample.Task)
		total += pace
		throttled = throttled || pace < pacing.FullPace
	}
	if !throttled {
		return
	}
	worker.pacesLoggedAt = now
	limit := worker.governor.Limit()
	klog.InfoS("Paces", "Worker", worker.incarnation, "Runs", len(filling), "MeanPace", total/len(filling),
		"Limit", limit.Task, "Image", limit.Image, "TailPercent", limit.TailPercent, "RoomPercent", limit.RoomPercent, "TrustPercent", limit.TrustPercent,
		"Halted", limit.Halted)
}

// firstPaceCall returns the call that sets the pace of a filling run whose start was just answered, and the pace, or nil
// if the run may work at full pace. It is made in the call slot of the start: until then the run works at full pace, and
// waiting for another slot would prolong that.
func (supervisor *Supervisor) firstPaceCall(worker *workerState, run *runState) (func(context.Context) error, int) {
	if supervisor.worker != worker || run.phase != phaseStarted || !run.order.Fills || run.pacedAfterStart {
		return nil, 0
	}
	supervisor.allocatePaces(worker)
	pace := worker.governor.Pace(run.order.Task)
	if pace == run.pacePercent {
		return nil, 0
	}
	call := PaceCall{Incarnation: worker.announcement.Incarnation, Task: run.order.Task, Run: run.order.Run, Percent: pace, Token: supervisor.grant.term}
	return func(ctx context.Context) error { return supervisor.runtime.Pace(ctx, call) }, pace
}

// setFirstPace makes the call of firstPaceCall. If it fails, the call that follows the start sets the pace.
func (supervisor *Supervisor) setFirstPace(run *runState, call func(context.Context) error, pace int) {
	if err, _ := supervisor.callWithTimeout(call, firstCallTimeout); err != nil {
		klog.V(1).InfoS("Pace not set", "Task", run.order.Task, "Run", run.order.Run, "Reason", err.Error())
		return
	}
	supervisor.loop.Call(func() { run.pacePercent = pace })
}
