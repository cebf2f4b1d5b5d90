package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssopjunction/standin/platformtest"
)

const (
	// maxSubmitAttempts limits the attempts of a caller to submit a job.
	maxSubmitAttempts = 4
	// taskAttempts is the number of failures of a task after which its job fails.
	taskAttempts = 3
	// stateInterval is the time between two questions of a caller for a state.
	stateInterval = 40 * time.Millisecond
)

// submission is the state of a job as its caller sees it.
type submission struct {
	// accepted, refused and unknown count the outcomes of the attempts to submit it.
	accepted, refused, unknown int
	cancelled, isStanding      bool
	// hasCopies reports that a task of the job may have two runs.
	hasCopies bool
}

// callers submits jobs, cancels some of them and records the outcomes.
type callers struct {
	deployment  *deployment
	connections *connections

	mu          sync.Mutex
	submissions map[string]*submission
}

func jobID(name string) string {
	return fmt.Sprintf("%016x", []byte(name + "--------")[:8])
}

const (
	// copiedPrefix begins the names of jobs whose tasks may have two runs.
	copiedPrefix = "c"
	// copiedInterval is the number of other jobs for each job with copies.
	copiedInterval = 4
	// lateStartBound is how long after the end of one run was acknowledged, and thus stored, another one may start.
	lateStartBound = time.Second
)

const copiedJob = `{"Spec":"text","Steps":[{"Count":3,"Cpu":300,"MemoryLimitMb":64,"EstimatedMs":300,"Speculative":true},{"Count":2,"Cpu":500,"MemoryLimitMb":64,"EstimatedMs":300,"After":[0],"Checkpointing":true,"Speculative":true}]}`

const twoStepJob = `{"Spec":"text","Steps":[{"Count":3,"Cpu":300,"MemoryLimitMb":64,"EstimatedMs":500},{"Count":2,"Cpu":500,"MemoryLimitMb":64,"EstimatedMs":500,"After":[0],"Checkpointing":true}]}`

// call sends a request about a job to an entry.
func (callers *callers) call(method string, entry int, id, body string) (int, string) {
	entries := callers.deployment.entries
	return callers.connections.call(callers.deployment.ctx, method, entries[entry%len(entries)].ip, "/quick/"+id, body)
}

// submit submits a job until it is accepted, and returns false if no attempt succeeded. Each attempt goes to the
// next entry.
func (callers *callers) submit(name string, entry int, body string) bool {
	id := jobID(name)
	callers.mu.Lock()
	if callers.submissions[id] == nil {
		callers.submissions[id] = &submission{isStanding: strings.HasPrefix(name, standingPrefix), hasCopies: strings.HasPrefix(name, copiedPrefix)}
	}
	submission := callers.submissions[id]
	callers.mu.Unlock()
	for attempt := range maxSubmitAttempts {
		status, _ := callers.call(http.MethodPost, entry+attempt, id, body)
		callers.mu.Lock()
		switch status {
		case http.StatusOK:
			submission.accepted++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			submission.refused++
		default:
			submission.unknown++
		}
		callers.mu.Unlock()
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// submitJobs submits jobs until stop is closed, and then waits for the calls in progress.
func (callers *callers) submitJobs(random *rand.Rand, stop <-chan struct{}) {
	var group sync.WaitGroup
	for number := 0; ; number++ {
		select {
		case <-stop:
			group.Wait()
			return
		case <-time.After(callers.deployment.layout.submitInterval / time.Duration(callers.deployment.layout.workers)):
		}
		name, entry, cancels := fmt.Sprintf("j%06d", number), random.IntN(len(callers.deployment.entries)), random.Float64() < cancelProbability
		group.Go(func() {
			if callers.submit(name, entry, twoStepJob) && cancels {
				time.Sleep(300 * time.Millisecond)
				callers.cancel(jobID(name), entry)
			}
		})
		group.Go(func() { callers.submitCrashing(number, entry) })
		if number%copiedInterval == 0 {
			group.Go(func() { callers.submit(strings.Replace(name, "j", copiedPrefix, 1), entry, copiedJob) })
		}
	}
}

// cancel repeats the cancellation of a job until an entry accepts it or reports the job as gone, or the attempts
// are used up.
func (callers *callers) cancel(id string, entry int) {
	callers.mu.Lock()
	callers.submissions[id].cancelled = true
	callers.mu.Unlock()
	for attempt := range 50 * maxSubmitAttempts {
		if status, _ := callers.call(http.MethodDelete, entry+attempt, id, ""); status == http.StatusOK || status == http.StatusGone {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (callers *callers) state(id string, entry int) string {
	status, text := callers.call(http.MethodGet, entry, id, "")
	if status == http.StatusGone {
		return "gone"
	}
	for _, state := range []string{"queued", "running", "completed", "failed", "cancelled"} {
		if strings.Contains(text, state) {
			return state
		}
	}
	return ""
}

// watchStates asks an entry for states of jobs on open connections until stop is closed.
func (callers *callers) watchStates(entry int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(stateInterval):
			_ = callers.state(jobID("first"), entry)
		}
	}
}

func (callers *callers) await(t *testing.T, what string, condition func() bool) bool {
	t.Helper()
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	t.Errorf("%s did not happen within %s", what, settleTimeout)
	return false
}

// acceptedJobs returns the accepted jobs that fulfil the condition, without their states.
func (callers *callers) acceptedJobs(condition func(submission *submission) bool) map[string]string {
	states := map[string]string{}
	for id, submission := range callers.submissions {
		if submission.accepted > 0 && condition(submission) {
			states[id] = ""
		}
	}
	return states
}

// awaitEnds waits for the end of the jobs in states and replaces their states.
func (callers *callers) awaitEnds(t *testing.T, states map[string]string) {
	t.Helper()
	unfinished := maps.Clone(states)
	callers.await(t, "the end of all jobs", func() bool {
		for id := range unfinished {
			state := callers.state(id, len(unfinished))
			unfinished[id], states[id] = state, state
			if state == "completed" || state == "failed" || callers.submissions[id].cancelled && state == "cancelled" {
				delete(unfinished, id)
			}
		}
		return len(unfinished) == 0
	})
	for id, state := range unfinished {
		t.Errorf("job %s was accepted and has the state %q", id, state)
	}
}

// check waits for the end of all accepted jobs and fails on every contradiction between the outcomes that callers
// saw and the runs on the workers.
func (callers *callers) check(t *testing.T) {
	t.Helper()
	endStates := callers.acceptedJobs(func(*submission) bool { return true })
	callers.awaitEnds(t, endStates)
	callers.await(t, "the end of all runs", func() bool {
		for _, worker := range callers.deployment.workers {
			worker.current().Advance()
		}
		return !slices.ContainsFunc(callers.deployment.log.Runs(), func(run platformtest.Run) bool { return run.Ended.IsZero() })
	})
	t.Logf("%d jobs accepted of %d, %d runs", len(endStates), len(callers.submissions), len(callers.deployment.log.Runs()))
	copies := 0
	byTask := map[string][]platformtest.Run{}
	for _, run := range callers.deployment.log.Runs() {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	for task, runs := range byTask {
		submission := callers.submissions[strings.SplitN(task, ".", 2)[0]]
		if submission == nil || submission.accepted == 0 && submission.unknown == 0 {
			t.Errorf("task %s ran, but its job was never submitted or refused each time", task)
		}
		if submission != nil && submission.hasCopies {
			faults, beside := copiedRunFaults(runs)
			for _, fault := range faults {
				t.Errorf("task %s: %s", task, fault)
			}
			copies += beside
			continue
		}
		checkRuns(t, task, runs)
	}
	t.Logf("%d copies", copies)
	for id, state := range endStates {
		if callers.submissions[id].isStanding {
			continue // Their tasks have no end of their own.
		}
		checkEnd(t, id, state, byTask)
	}
}

// checkEnd fails if a job is shown as completed although a task never finished, or as failed although no task
// failed taskAttempts times.
func checkEnd(t *testing.T, id, state string, byTask map[string][]platformtest.Run) {
	t.Helper()
	maxFailures := 0
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.1.0", ".0.1.1"} {
		done, failed := 0, 0
		for _, run := range byTask[id+task] {
			switch run.Result {
			case "done":
				done++
			case "failed":
				failed++
			}
		}
		if state == "completed" && done == 0 {
			t.Errorf("job %s is shown as completed, and its task %s never finished", id, task)
		}
		maxFailures = max(maxFailures, failed)
	}
	if isCrashingJob(id) {
		if state != "failed" {
			t.Errorf("job %s, whose task crashes its workers, is shown as %s, want failed", id, state)
		}
		return
	}
	if state == "failed" && maxFailures < taskAttempts {
		t.Errorf("job %s is shown as failed, and its tasks failed at most %d times of %d", id, maxFailures, taskAttempts)
	}
}

// checkRuns fails if two runs of a task overlap, if their numbers do not increase, or if a run follows one that
// finished and whose end was acknowledged.
func checkRuns(t *testing.T, task string, runs []platformtest.Run) {
	t.Helper()
	slices.SortFunc(runs, func(left, right platformtest.Run) int { return left.Started.Compare(right.Started) })
	for position, second := range runs[1:] {
		first := runs[position]
		if second.Started.Before(first.Ended) {
			t.Errorf("task %s: run %d on %s started %s before run %d on %s ended (%s)", task, second.Run, second.Runner,
				first.Ended.Sub(second.Started), first.Run, first.Runner, first.Result)
		}
		if second.Run <= first.Run {
			t.Errorf("task %s: run %d on %s follows run %d on %s", task, second.Run, second.Runner, first.Run, first.Runner)
		}
	}
	for position, first := range runs {
		if first.Result == "done" && first.Acknowledged && position < len(runs)-1 {
			t.Errorf("task %s: run %d finished on %s and was acknowledged, and run %d followed", task, first.Run, first.Runner, runs[position+1].Run)
		}
	}
}

// copiedRunFaults returns what is wrong with the runs of a task that may have two: more than two overlap or two on one
// worker, a number is given twice, or a run starts later than lateStartBound after the acknowledged end of one that
// finished. It also returns the number of runs that started beside another one.
func copiedRunFaults(runs []platformtest.Run) (faults []string, copies int) {
	for position, run := range runs {
		var beside []platformtest.Run
		for other, second := range runs {
			if other == position {
				continue
			}
			if !second.Started.After(run.Started) && second.Ended.After(run.Started) {
				beside = append(beside, second)
			}
			if second.Run == run.Run {
				faults = append(faults, fmt.Sprintf("run %d on %s and on %s", run.Run, run.Runner, second.Runner))
			}
			if late := run.Started.Sub(second.AcknowledgedAt); second.Result == "done" && second.Acknowledged && late > lateStartBound {
				faults = append(faults, fmt.Sprintf("run %d started %s after the end of run %d on %s was acknowledged", run.Run, late, second.Run, second.Runner))
			}
		}
		if len(beside) > 0 {
			copies++
		}
		if len(beside) > 1 || len(beside) == 1 && beside[0].Runner == run.Runner {
			faults = append(faults, fmt.Sprintf("run %d on %s started beside %+v", run.Run, run.Runner, beside))
		}
	}
	return faults, copies
}

// TestCopiedRunFaults guards against a soak that overlooks a fault of copies.
func TestCopiedRunFaults(t *testing.T) {
	start := time.Now()
	newRun := func(number int, runner string, started, ended time.Duration, acknowledged time.Duration) platformtest.Run {
		run := platformtest.Run{Run: number, Runner: runner, Started: start.Add(started), Ended: start.Add(ended), Result: "done"}
		if acknowledged > 0 {
			run.Acknowledged, run.AcknowledgedAt = true, start.Add(acknowledged)
		}
		return run
	}
	cases := map[string]struct {
		runs []platformtest.Run
		want int
	}{
		"run and copy":             {[]platformtest.Run{newRun(1, "a", 0, 3, 0), newRun(2, "b", 1, 2, 0)}, 0},
		"copy after a lost run":    {[]platformtest.Run{newRun(1, "a", 0, 1, 0), newRun(2, "a", 2, 3, 0)}, 0},
		"three runs":               {[]platformtest.Run{newRun(1, "a", 0, 5, 0), newRun(2, "b", 1, 5, 0), newRun(3, "c", 2, 5, 0)}, 1},
		"two runs on one worker":   {[]platformtest.Run{newRun(1, "a", 0, 5, 0), newRun(2, "a", 1, 5, 0)}, 1},
		"number given twice":       {[]platformtest.Run{newRun(1, "a", 0, 1, 0), newRun(1, "b", 2, 3, 0)}, 2},
		"start after the end":      {[]platformtest.Run{newRun(1, "a", 0, 1, 2), newRun(2, "b", 2+lateStartBound, 3+lateStartBound, 0)}, 0},
		"late start after the end": {[]platformtest.Run{newRun(1, "a", 0, 1, 2), newRun(2, "b", 3+lateStartBound, 4+lateStartBound, 0)}, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if faults, _ := copiedRunFaults(test.runs); len(faults) != test.want {
				t.Errorf("got faults %v, want %d", faults, test.want)
			}
		})
	}
}
