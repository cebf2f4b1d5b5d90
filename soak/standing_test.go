package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// contactTime is the time without a disturbance after which standing tasks must be at work, except for gaps
	// shorter than maxStandingGap. Both come from the users' rules.
	contactTime    = 4 * time.Second
	maxStandingGap = 3 * time.Second
	// standingPrefix begins the names of standing jobs, and standingTasks is the number of tasks of each.
	standingPrefix = "s"
	standingTasks  = 2
	standingCPU    = 300
	// standingInterval is the time between two submissions of standing jobs.
	standingInterval = time.Second
	// standingCancelProbability is the share of standing jobs that are cancelled before the end.
	standingCancelProbability = 0.2
)

var standingJob = fmt.Sprintf(`{"Spec":"text","Steps":[{"Count":%d,"Cpu":%d,"MemoryLimitMb":64,"LongRunning":true}]}`, standingTasks, standingCPU) //nolint:gochecknoglobals // It is a constant.

// submitStanding submits standing jobs until stop is closed or their tasks request as many processors as a quarter
// of the workers has.
func (callers *callers) submitStanding(random *rand.Rand, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	workers := callers.deployment.layout.workers
	for number := range workers * workerCPU / 4 / (standingTasks * standingCPU) {
		name, entry, cancels := fmt.Sprintf("%s%06d", standingPrefix, number), random.IntN(len(callers.deployment.entries)), random.Float64() < standingCancelProbability
		group.Go(func() {
			for !callers.submit(name, entry, standingJob) && callers.deployment.ctx.Err() == nil {
			}
			if cancels {
				time.Sleep(standingInterval)
				callers.cancel(jobID(name), entry)
			}
		})
		if number < workers-1 {
			continue
		}
		select {
		case <-stop:
			return
		case <-time.After(standingInterval):
		}
	}
}

// standingJobs returns the ids of the standing jobs that were accepted and not cancelled.
func (callers *callers) standingJobs() []string {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	var ids []string
	for id, submission := range callers.submissions {
		if submission.isStanding && submission.accepted > 0 && !submission.cancelled {
			ids = append(ids, id)
		}
	}
	return ids
}

// missingStanding returns the tasks of standing jobs that are not at work on a worker that is there, although a
// worker has room for two such tasks.
func (callers *callers) missingStanding() []string {
	deployment := callers.deployment
	deployment.mu.Lock()
	workers := deployment.workers
	deployment.mu.Unlock()
	for _, worker := range workers {
		worker.current().Advance()
	}
	used, atWork := map[string]int{}, map[string]bool{}
	for _, run := range deployment.log.Runs() {
		if run.Ended.IsZero() {
			used[run.Runner] += taskCPU(run.Task)
			atWork[run.Task] = true
		}
	}
	hasRoom := false
	for _, worker := range deployment.readyWorkers() {
		hasRoom = hasRoom || used[worker.id()]+2*standingCPU <= worker.capacity()
	}
	var missing []string
	for _, id := range callers.standingJobs() {
		for index := range standingTasks {
			if task := fmt.Sprintf("%s.0.0.%d", id, index); hasRoom && !atWork[task] {
				missing = append(missing, task)
			}
		}
	}
	return missing
}

// watchStanding fails if a standing task is missing for maxStandingGap while nothing was disturbed in that time and
// contactTime before.
func (callers *callers) watchStanding(t *testing.T, stop <-chan struct{}) {
	t.Helper()
	gaps := map[string]time.Time{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if callers.deployment.calmTime() < contactTime {
			clear(gaps)
			continue
		}
		now, next := time.Now(), map[string]time.Time{}
		for _, task := range callers.missingStanding() {
			since, ok := gaps[task]
			if !ok {
				since = now
			}
			next[task] = since
			// The failed task is reported again after the same time.
			if now.Sub(since) >= maxStandingGap {
				t.Errorf("%s: standing task %s is not at work for %s with room for it, %s after the last disturbance",
					now.Format("05.000"), task, now.Sub(since), callers.deployment.calmTime())
				next[task] = now
			}
		}
		gaps = next
	}
}

// settleStanding waits until all other jobs have ended and all standing tasks are at work, while watchStanding
// checks how long that takes, and cancels the standing jobs.
func (callers *callers) settleStanding(t *testing.T) {
	t.Helper()
	callers.awaitEnds(t, callers.acceptedJobs(func(submission *submission) bool { return !submission.isStanding || submission.cancelled }))
	callers.await(t, "the work of all standing tasks", func() bool {
		return callers.deployment.calmTime() > contactTime+maxStandingGap && len(callers.missingStanding()) == 0
	})
	for _, id := range callers.standingJobs() {
		if state := callers.state(id, 0); state != "running" && state != "queued" && state != "" {
			t.Errorf("standing job %s was accepted, not cancelled, and has the state %q", id, state)
		}
		callers.cancel(id, 0)
	}
}

func isStandingTask(task string) bool {
	return strings.HasPrefix(task, fmt.Sprintf("%x", standingPrefix))
}

// taskCPU returns what a task requests.
func taskCPU(task string) int {
	if !isStandingTask(task) && strings.Split(task, ".")[2] == "1" {
		return 500
	}
	return 300
}
