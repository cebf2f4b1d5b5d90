package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hyssopjunction/standin/platformtest"
)

const (
	// cancelBound is how long after the acknowledgement of a job's cancellation its tasks may still be started, by the users' rules.
	cancelBound = 3 * time.Second
	// unacceptedPrefix begins the names of jobs whose callers cancel them without waiting for their acceptance.
	unacceptedPrefix = "u"
	// maxNearDelay limits the time between a submission and a cancellation that are sent at nearly the same time.
	maxNearDelay = 15 * time.Millisecond
	// maxPause limits how long an entry stands still and a write is on its way.
	maxPause = 4 * time.Second
)

const unacceptedJob = `{"Spec":"text","Steps":[{"Count":1,"Cpu":300,"MemoryLimitMb":16,"EstimatedMs":400,"LongRunning":true}]}`

// isUnacceptedTask reports whether a task belongs to a job whose caller cancels it without waiting for its acceptance.
func isUnacceptedTask(task string) bool {
	return strings.HasPrefix(task, fmt.Sprintf("%x", unacceptedPrefix))
}

// ciCancellationSeeds returns the seeds of TestSoakCancellations that run in CI. Every seed that fails once must be added.
func ciCancellationSeeds() []uint64 { return []uint64{1, 2} }

// cancellation is the acknowledgement of the cancellation of a job.
type cancellation struct {
	id     string
	status int
	at     time.Time
}

// cancellations submits jobs and cancels them at the same time or soon afterwards.
type cancellations struct {
	callers *callers

	mu           sync.Mutex
	count        int
	acknowledged []cancellation
}

// TestSoakCancellations guards against jobs that run although their cancellation was acknowledged or their submission was refused,
// because a submission was on its way: in an entry that stands still, in a write that the store carries out late, or in a repetition.
func TestSoakCancellations(t *testing.T) {
	forSeeds(t, ciCancellationSeeds(), func(t *testing.T, seed uint64, duration time.Duration) {
		t.Helper()
		size := layout{zones: []string{"zone-a"}, lease: 3 * time.Second, grace: 2 * time.Second, submitInterval: 2 * fullInterval}
		cancellations := &cancellations{}
		soak(t, seed, duration, size, func(run *run) {
			cancellations.callers = run.callers
			switch run.random.IntN(3) {
			case 0:
				run.injectFault(t)
			case 1:
				run.pauseEntry(t)
			default:
				run.delayWrites(t)
			}
			for range 3 + run.random.IntN(6) {
				cancellations.add(t, run)
			}
			time.Sleep(randomDuration(run.random, 200, 900))
		}, func(*callers) { cancellations.check(t) })
	})
}

// pauseEntry makes an entry stand still.
func (run *run) pauseEntry(t *testing.T) {
	t.Helper()
	entry, duration := run.deployment.entries[run.random.IntN(len(run.deployment.entries))], randomDuration(run.random, 300, int(maxPause.Milliseconds()))
	t.Logf("%s: %s stands still for %s", time.Now().Format("05.000"), entry.name, duration)
	run.start(func() {
		entry.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		entry.signal(syscall.SIGCONT)
	})
}

// delayWrites makes the store carry out some writes late, and answer none of them.
func (run *run) delayWrites(t *testing.T) {
	t.Helper()
	random := rand.New(rand.NewPCG(run.random.Uint64(), 0))
	share, duration, delay := 0.2+0.6*random.Float64(), randomDuration(random, 300, 2500), randomDuration(random, 300, int(maxPause.Milliseconds()))
	t.Logf("%s: the store carries out %.0f%% of the writes late for %s, %s after that", time.Now().Format("05.000"), 100*share, duration, delay)
	run.start(func() {
		var mu sync.Mutex
		run.deployment.store.SetFault(func(request *http.Request) platformtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if request.URL.Path == "/api/rows-tx" && random.Float64() < share {
				return platformtest.Late
			}
			return platformtest.None
		})
		time.Sleep(duration)
		run.deployment.store.SetFault(nil)
		time.Sleep(delay)
		run.deployment.store.ReleaseLate()
	})
}

// add submits a job at one entry and cancels it at another one, and submits some again.
func (cancellations *cancellations) add(t *testing.T, run *run) {
	t.Helper()
	callers, random := cancellations.callers, rand.New(rand.NewPCG(run.random.Uint64(), 0))
	cancellations.count++
	id := jobID(fmt.Sprintf("%s%06d", unacceptedPrefix, cancellations.count))
	callers.mu.Lock()
	callers.submissions[id] = &submission{cancelled: true, isStanding: true}
	callers.mu.Unlock()
	entries := callers.deployment.entries
	first, second := random.IntN(len(entries)), random.IntN(len(entries))
	patience, delay := randomDuration(random, 100, int(callTimeout.Milliseconds())), randomDuration(random, 0, int(callTimeout.Milliseconds()))
	if random.IntN(2) == 0 {
		delay = randomDuration(random, 0, int(maxNearDelay.Milliseconds()))
	}
	run.group.Go(func() { callers.submitOnce(id, first, patience) })
	run.group.Go(func() {
		time.Sleep(delay)
		cancellations.cancel(t, id, second)
		if random.IntN(2) == 0 {
			time.Sleep(randomDuration(random, 0, 2000))
			callers.submitOnce(id, random.IntN(len(entries)), callTimeout)
		}
	})
}

// submitOnce submits a job for a caller who leaves after the time.
func (callers *callers) submitOnce(id string, entry int, patience time.Duration) {
	status := callers.callOnce(http.MethodPost, entry, id, unacceptedJob, patience)
	callers.mu.Lock()
	defer callers.mu.Unlock()
	switch submission := callers.submissions[id]; status {
	case http.StatusOK:
		submission.accepted++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		submission.refused++
	default:
		submission.unknown++
	}
}

// cancel cancels a job until an entry acknowledges that, and records the acknowledgement.
func (cancellations *cancellations) cancel(t *testing.T, id string, entry int) {
	t.Helper()
	callers := cancellations.callers
	callers.await(t, "the acknowledgement of the cancellation of "+id, func() bool {
		status := callers.callOnce(http.MethodDelete, entry, id, "", callTimeout)
		if status != http.StatusOK && status != http.StatusGone {
			entry++
			return false
		}
		cancellations.mu.Lock()
		defer cancellations.mu.Unlock()
		cancellations.acknowledged = append(cancellations.acknowledged, cancellation{id, status, time.Now()})
		return true
	})
}

// callOnce sends a request on a connection of its own, which ends after the time. It returns the status, or 0 without a response.
func (callers *callers) callOnce(method string, entry int, id, body string, patience time.Duration) int {
	ctx, cancel := context.WithTimeout(callers.deployment.ctx, patience)
	defer cancel()
	entries := callers.deployment.entries
	url := "http://" + entries[entry%len(entries)].ip + ":8161/quick/" + id
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host, request.Close = host, true
	request.Header.Set("Hyssopjunction-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// check fails for each job that ran although an answer said that it does not.
func (cancellations *cancellations) check(t *testing.T) {
	t.Helper()
	callers, runs := cancellations.callers, map[string][]platformtest.Run{}
	for _, run := range callers.deployment.log.Runs() {
		id, _, _ := strings.Cut(run.Task, ".")
		runs[id] = append(runs[id], run)
	}
	byStatus := map[int]int{}
	for _, cancelled := range cancellations.acknowledged {
		byStatus[cancelled.status]++
		submission := callers.submissions[cancelled.id]
		if cancelled.status == http.StatusGone && submission.accepted > 0 {
			t.Errorf("job %s was accepted, and its cancellation was answered %d", cancelled.id, cancelled.status)
		}
		for _, run := range runs[cancelled.id] {
			late := run.Started.Sub(cancelled.at)
			if cancelled.status == http.StatusGone || submission.refused > 0 || late > cancelBound {
				t.Errorf("run %d of %s started %s after the cancellation of its job was answered %d; %d submissions were refused",
					run.Run, run.Task, late, cancelled.status, submission.refused)
			}
		}
	}
	t.Logf("%d cancellations, by status %v", cancellations.count, byStatus)
	if byStatus[http.StatusGone] == 0 {
		t.Error("no job was cancelled before it was stored")
	}
}
