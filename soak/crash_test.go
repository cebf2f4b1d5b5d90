package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const (
	// crashingPrefix begins the names of jobs whose first task crashes the workers that start it, crashDelay after its start.
	crashingPrefix = "x"
	crashDelay     = 10 * time.Millisecond
	// crashingJobs is the number of such jobs of a run, and firstCrashing and crashingInterval are the numbers of other jobs
	// before the first one and between them.
	crashingJobs     = 3
	firstCrashing    = 20
	crashingInterval = 60
	// maxCrashStarts is the limit of the users on the starts of a task that crashes its workers: two after three crashes.
	maxCrashStarts = 5
	// smallWorkerCPU is the capacity of a worker that has shrunk, and capacityGrace how long after that the former one still
	// counts: the time of contact and one announcement.
	smallWorkerCPU = 1000
	capacityGrace  = contactTime + announcementInterval
)

// isCrashingTask reports whether a task crashes the workers that start it.
func isCrashingTask(task string) bool {
	return strings.HasPrefix(task, fmt.Sprintf("%x", crashingPrefix)) && strings.HasSuffix(task, ".0.0.0")
}

// isCrashingJob reports whether a job has a task that crashes its workers.
func isCrashingJob(id string) bool { return isCrashingTask(id + ".0.0.0") }

// submitCrashing submits a job with a task that crashes its workers with some of the other jobs.
func (callers *callers) submitCrashing(number, entry int) {
	position := number - firstCrashing
	if position < 0 || position%crashingInterval != 0 || position/crashingInterval >= crashingJobs {
		return
	}
	callers.submit(fmt.Sprintf("%s%06d", crashingPrefix, number), entry, twoStepJob)
}

// checkCrashes fails if a task that crashes its workers was started too often, or if a start brought a worker over its
// capacity.
func (callers *callers) checkCrashes(t *testing.T) {
	t.Helper()
	starts := map[string]int{}
	for _, run := range callers.deployment.log.Runs() {
		if isCrashingTask(run.Task) {
			starts[run.Task]++
		}
	}
	for task, count := range starts {
		if count > maxCrashStarts {
			t.Errorf("task %s, which crashes its workers, was started %d times, want at most %d", task, count, maxCrashStarts)
		}
	}
	t.Logf("starts of tasks that crash their workers: %v", starts)
	for _, overload := range callers.deployment.log.Overloads() {
		t.Error(overload)
	}
}

// arm makes tasks that crash their workers crash the worker's present incarnation, after which the next one starts. The caller
// must hold the lock of the worker.
func (worker *testWorker) arm(deployment *deployment) {
	runner := worker.runner
	runner.SetCapacity(worker.cpu, capacityGrace, taskCPU)
	runner.SetCrash(isCrashingTask, crashDelay, func() {
		worker.mu.Lock()
		isCurrent := worker.runner == runner && !worker.hasLeft
		worker.mu.Unlock()
		if isCurrent {
			deployment.disturb(0)
			worker.restart(deployment)
		}
	})
}

// resize changes the capacity of a worker, which it announces with its next announcement.
func (worker *testWorker) resize(cpu int) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.cpu = cpu
	worker.runner.SetCapacity(cpu, capacityGrace, taskCPU)
}

// capacity returns the capacity of the worker.
func (worker *testWorker) capacity() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.cpu
}

// shrink lets workers have less capacity for a while, one after the other.
func (run *run) shrink(random *rand.Rand, workers []*testWorker) {
	for position, worker := range workers {
		length := randomDuration(random, 500, 4000)
		run.after(300*position, func() {
			worker.resize(smallWorkerCPU)
			time.Sleep(length)
			worker.resize(workerCPU)
		})
	}
}
