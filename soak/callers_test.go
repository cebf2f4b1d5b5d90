package soak

import (
	"fmt"
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
	// attempts is how often a caller hands a job in.
	attempts = 4
	// jobAttempts is how many failures of a task fail its job.
	jobAttempts = 3
)

// submission is what a caller knows of a job.
type submission struct {
	// accepted, refused and unknown are the answers to its attempts.
	accepted, refused, unknown int
	cancelled                  bool
}

// callers submit jobs, cancel some of them, and remember the answers.
type callers struct {
	world *deployment

	mu    sync.Mutex
	known map[string]*submission
}

func jobID(name string) string {
	return fmt.Sprintf("%016x", []byte(name + "--------")[:8])
}

const body = `{"Spec":"text","Steps":[{"Count":3,"Cpu":300,"MemoryLimitMb":64,"EstimatedMs":500},{"Count":2,"Cpu":500,"MemoryLimitMb":64,"EstimatedMs":500,"After":[0],"Checkpointing":true}]}`

// submit hands a job in until an answer is final, and reports whether it was accepted.
func (callers *callers) submit(name string, entry int) bool {
	id := jobID(name)
	callers.mu.Lock()
	if callers.known[id] == nil {
		callers.known[id] = &submission{}
	}
	seen := callers.known[id]
	callers.mu.Unlock()
	for attempt := range attempts {
		at := callers.world.entries[(entry+attempt)%entryCount]
		status, _ := callers.world.call(http.MethodPost, "http://"+at.ip+":8161/quick/"+id, body)
		callers.mu.Lock()
		switch status {
		case http.StatusOK:
			seen.accepted++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			seen.refused++
		default:
			seen.unknown++
		}
		callers.mu.Unlock()
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// work submits jobs until stop is closed, and waits for the answers.
func (callers *callers) work(source *rand.Rand, stop <-chan struct{}) {
	var group sync.WaitGroup
	for number := 0; ; number++ {
		select {
		case <-stop:
			group.Wait()
			return
		case <-time.After(submitGap):
		}
		name, entry, cancels := fmt.Sprintf("j%06d", number), source.IntN(entryCount), source.Float64() < cancelShare
		group.Go(func() {
			if callers.submit(name, entry) && cancels {
				time.Sleep(300 * time.Millisecond)
				callers.cancel(jobID(name), entry)
			}
		})
	}
}

// cancel asks until the cancellation is acknowledged.
func (callers *callers) cancel(id string, entry int) {
	callers.mu.Lock()
	callers.known[id].cancelled = true
	callers.mu.Unlock()
	for attempt := range 50 * attempts {
		at := callers.world.entries[(entry+attempt)%entryCount]
		if status, _ := callers.world.call(http.MethodDelete, "http://"+at.ip+":8161/quick/"+id, ""); status == http.StatusOK || status == http.StatusGone {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (callers *callers) state(id string, entry int) string {
	at := callers.world.entries[entry%entryCount]
	status, text := callers.world.call(http.MethodGet, "http://"+at.ip+":8161/quick/"+id, "")
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

func (callers *callers) await(t *testing.T, what string, condition func() bool) bool {
	t.Helper()
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	t.Errorf("%s did not happen within %s", what, settleTime)
	return false
}

// check waits for the end of all jobs and judges what callers and workers saw.
func (callers *callers) check(t *testing.T) {
	t.Helper()
	count := 0
	waiting, ended := map[string]string{}, map[string]string{}
	for id, seen := range callers.known {
		if seen.accepted > 0 {
			count++
			waiting[id] = ""
		}
	}
	callers.await(t, "the end of all jobs", func() bool {
		for id := range waiting {
			state := callers.state(id, len(waiting))
			waiting[id] = state
			if state == "completed" || state == "failed" || callers.known[id].cancelled && state == "cancelled" {
				ended[id] = state
				delete(waiting, id)
			}
		}
		return len(waiting) == 0
	})
	for id, state := range waiting {
		t.Errorf("job %s was accepted and is shown as %q", id, state)
	}
	callers.await(t, "the end of all runs", func() bool {
		for _, worker := range callers.world.workers {
			worker.runner.Advance()
		}
		return !slices.ContainsFunc(callers.world.log.Runs(), func(run platformtest.Run) bool { return run.Ended.IsZero() })
	})
	t.Logf("%d jobs accepted of %d, %d runs", count, len(callers.known), len(callers.world.log.Runs()))
	byTask := map[string][]platformtest.Run{}
	for _, run := range callers.world.log.Runs() {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	for task, runs := range byTask {
		seen := callers.known[strings.SplitN(task, ".", 2)[0]]
		if seen == nil || seen.accepted == 0 && seen.unknown == 0 {
			t.Errorf("task %s ran, but its job was never submitted or refused each time", task)
		}
		checkRuns(t, task, runs)
	}
	for id, state := range ended {
		checkEnd(t, id, state, byTask)
	}
}

// checkEnd fails if a job is shown as completed and a task was not done, or as failed and none failed
// often enough.
func checkEnd(t *testing.T, id, state string, byTask map[string][]platformtest.Run) {
	t.Helper()
	worst := 0
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.1.0", ".0.1.1"} {
		done, failed := 0, 0
		for _, run := range byTask[id+task] {
			switch run.How {
			case "done":
				done++
			case "failed":
				failed++
			}
		}
		if state == "completed" && done == 0 {
			t.Errorf("job %s is shown as completed, and its task %s was never done", id, task)
		}
		worst = max(worst, failed)
	}
	if state == "failed" && worst < jobAttempts {
		t.Errorf("job %s is shown as failed, and its tasks failed at most %d times of %d", id, worst, jobAttempts)
	}
}

// checkRuns fails if two runs of a task overlap, one follows another that was done and noted, or the task
// has no run that was done although its job did not end otherwise.
func checkRuns(t *testing.T, task string, runs []platformtest.Run) {
	t.Helper()
	slices.SortFunc(runs, func(left, right platformtest.Run) int { return left.Started.Compare(right.Started) })
	for position, second := range runs[1:] {
		first := runs[position]
		if second.Started.Before(first.Ended) {
			t.Errorf("task %s: run %d on %s started %s before run %d on %s ended (%s)", task, second.Run, second.Runner,
				first.Ended.Sub(second.Started), first.Run, first.Runner, first.How)
		}
		if second.Run <= first.Run {
			t.Errorf("task %s: run %d on %s follows run %d on %s", task, second.Run, second.Runner, first.Run, first.Runner)
		}
	}
	for position, first := range runs {
		if first.How == "done" && first.Noted && position < len(runs)-1 {
			t.Errorf("task %s: run %d was done on %s and noted, and run %d followed", task, first.Run, first.Runner, runs[position+1].Run)
		}
	}
}
