package supervisor

import (
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
)

// updatePaces decides the paces of the filling tasks by the latest samples and sets them.
func (supervisor *Supervisor) updatePaces(worker *workerState) {
	serving, filling := worker.samples()
	worker.governor.Decide(serving, filling, worker.weight, supervisor.clocks.Boot.Now())
	supervisor.logPaces(worker, filling)
	supervisor.setPaces(worker)
}

// paceNewRun sets the paces of the filling tasks after one has started, before there is a sample of it.
func (supervisor *Supervisor) paceNewRun(worker *workerState) {
	supervisor.allocatePaces(worker)
	supervisor.setPaces(worker)
}

// allocatePaces decides the paces of the filling tasks when their set has changed between two listings.
func (supervisor *Supervisor) allocatePaces(worker *workerState) {
	serving, filling := worker.samples()
	worker.governor.Allocate(serving, filling, worker.weight)
}

// setPaces sets the decided paces of the filling runs where they differ from the current ones.
func (supervisor *Supervisor) setPaces(worker *workerState) {
	for _, run := range worker.runs {
		if pace := worker.governor.Pace(run.order.Task); run.order.Fills && run.phase == phaseStarted && run.pacePercent != pace && !run.callPending {
			supervisor.setPace(worker, run, pace)
		}
	}
}

// samples returns the latest samples of the serving tasks and of all started filling tasks. The usage of filling
// tasks that are not listed yet is 0.
func (worker *workerState) samples() ([]pacing.ServingSample, []pacing.FillingSample) {
	var serving []pacing.ServingSample
	used := map[runKey]int64{}
	for _, item := range worker.listing.Active {
		key := runKey{item.Task, item.Run}
		used[key] = item.Sample
		if run, ok := worker.runs[key]; ok && run.order.Target > 0 {
			serving = append(serving, pacing.ServingSample{
				Task: item.Task, Image: pacing.Image(run.order.Image), Tail: clock.Millis(item.Sample), Target: run.order.Target,
			})
		}
	}
	pacing.PoolTails(serving, stepOf)
	var filling []pacing.FillingSample
	for key, run := range worker.runs {
		if run.order.Fills && run.phase == phaseStarted {
			filling = append(filling, pacing.FillingSample{
				Task: key.task, Image: pacing.Image(run.order.Image), Cores: float64(run.order.CPU) / milliPerCore * run.usage.Share(), Used: float64(used[key]) / milliPerCore,
			})
		}
	}
	return serving, filling
}

// observeUsage passes the samples of the last listing to the filling runs.
func (worker *workerState) observeUsage() {
	for _, item := range worker.listing.Active {
		if run, ok := worker.runs[runKey{item.Task, item.Run}]; ok && run.order.Fills {
			run.usage.Observe(float64(run.order.CPU), float64(item.Sample), run.pacePercent)
		}
	}
}

// stepOf returns a task's name without its index.
func stepOf(task string) string { return task[:max(0, strings.LastIndexByte(task, '.'))] }

// milliPerCore is the number of thousandths of a core in one core.
const milliPerCore = 1000

// weight returns the weight of a pair of images that the leader sent, or pacing.PriorWeight.
func (worker *workerState) weight(serving, filling pacing.Image) float64 {
	if increase, ok := worker.weights[[2]pacing.Image{serving, filling}]; ok {
		return increase
	}
	return pacing.PriorWeight
}
