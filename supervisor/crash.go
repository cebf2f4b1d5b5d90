package supervisor

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/session"
)

// maxLoggedCrashRuns limits the runs in the log line of a crash. They are the ones that started last.
const maxLoggedCrashRuns = 16

// crash describes the end of a worker's process that the worker had not announced.
type crash struct {
	// at is the estimated time of the end.
	at clock.Time
	// runs holds the runs that the worker had started or may have started, the last one first.
	runs []crashedRun
}

// crashedRun is a run on a worker whose process ended. age is how long before that its start was sent.
type crashedRun struct {
	key runKey
	age clock.Millis
	// confirmed reports that the worker confirmed the start or listed the run.
	confirmed bool
}

// recordFailure notes when the worker stopped answering. A listing that got no answer in time was sent to a worker that
// may have ended at any moment since.
func (worker *workerState) recordFailure(err error, sentAt, now clock.Time) {
	if worker.failingSince != 0 {
		return
	}
	worker.failingSince = now
	if errors.Is(err, context.DeadlineExceeded) {
		worker.failingSince = sentAt
	}
}

// recordAnswer notes what the outcome of a start or stop call tells of the worker's process. A start that reached no process
// had no effect.
func (worker *workerState) recordAnswer(run *runState, stop bool, err error, now clock.Time) {
	switch {
	case err == nil || IsErrRefused(err):
		worker.answeredAt = now
	case IsErrNotListening(err):
		worker.recordFailure(err, now, now)
		if !stop {
			run.startSentAt = run.previousStartSentAt
		}
	}
}

// recordCrash describes the end of the worker's process, which was noticed now, unless the worker had announced it.
func (supervisor *Supervisor) recordCrash(worker *workerState) {
	if worker.announcement.Draining || worker.crash != nil {
		return
	}
	now := supervisor.clocks.Boot.Now()
	worker.crash = worker.newCrash(now)
	worker.crash.log(worker.incarnation, now)
	supervisor.crashed = append(supervisor.crashed, worker)
}

// newCrash returns the description of the end of the worker's process, which was noticed now.
func (worker *workerState) newCrash(now clock.Time) *crash {
	failingSince := worker.failingSince
	if failingSince == 0 {
		failingSince = now // Another process answers or announces itself already.
	}
	crash := &crash{at: max(failingSince, worker.answeredAt)}
	if worker.successor != nil {
		crash.at = failingSince // The successor may have given the later answers.
	}
	listed := map[runKey]struct{}{}
	for _, item := range worker.listing.Active {
		listed[runKey{item.Task, item.Run}] = struct{}{}
	}
	for key, run := range worker.runs {
		_, isListed := listed[key]
		if !isListed && (run.phase == phaseStopped || run.startSentAt == 0 && !run.known) {
			continue
		}
		if worker.listing.MoreEnds && !isListed && run.listedAt != 0 {
			continue // It had ended before.
		}
		if worker.successor != nil && !isListed && run.startSentAt.After(crash.at) {
			continue // It reached the successor.
		}
		startedAt := run.startSentAt
		if startedAt == 0 {
			startedAt = run.listedAt
		}
		crash.runs = append(crash.runs, crashedRun{key: key, age: max(0, crash.at.Sub(startedAt)), confirmed: run.known})
	}
	slices.SortFunc(crash.runs, func(left, right crashedRun) int {
		return cmp.Or(cmp.Compare(left.age, right.age), cmp.Compare(left.key.task, right.key.task), cmp.Compare(left.key.number, right.key.number))
	})
	return crash
}

// message returns the report of the crash.
func (crash *crash) message(incarnation string, now clock.Time) session.Crash {
	message := session.Crash{Incarnation: incarnation, Ago: now.Sub(crash.at)}
	for _, run := range crash.runs {
		message.Runs = append(message.Runs, session.CrashedRun{Task: run.key.task, Run: run.key.number, Age: run.age})
	}
	return message
}

// pendingCrashes returns the crashes that no leader has stored yet. The session reports them, because its other reports end the
// runs of the worker, and their tasks must not be placed before the crash counts.
func (supervisor *Supervisor) pendingCrashes(now clock.Time) []session.Crash {
	var crashes []session.Crash
	for _, worker := range supervisor.crashed {
		crashes = append(crashes, worker.crash.message(worker.incarnation, now))
	}
	return crashes
}

// withdrawCrash forgets the crash of a worker that answers again, so that its next one is reported.
func (supervisor *Supervisor) withdrawCrash(worker *workerState) {
	worker.crash = nil
	supervisor.crashed = removeWorker(supervisor.crashed, worker)
}

// removeWorker returns the list without a worker.
func removeWorker(list []*workerState, worker *workerState) []*workerState {
	return slices.DeleteFunc(list, func(other *workerState) bool { return other == worker })
}

// log writes which runs the worker had started, with their ages in milliseconds.
func (crash *crash) log(incarnation string, now clock.Time) {
	var youngest []string
	unconfirmed := 0
	for position, run := range crash.runs {
		if position < maxLoggedCrashRuns {
			youngest = append(youngest, fmt.Sprintf("%s:%d %d", run.key.task, run.key.number, run.age))
		}
		if !run.confirmed {
			unconfirmed++
		}
	}
	klog.InfoS("Worker crashed", "Worker", incarnation, "AgoMillis", int64(now.Sub(crash.at)), "Runs", len(crash.runs), "Unconfirmed", unconfirmed, "Youngest", youngest)
}
