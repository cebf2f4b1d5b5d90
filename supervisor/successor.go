package supervisor

import (
	"cmp"
	"slices"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/set"
)

// reasonSuccessor is why a run is stopped at the successor of its worker.
const reasonSuccessor = "Successor"

// successor is a later incarnation of a worker under the same id. Calls for the earlier incarnation reach it, so it may have
// carried out starts that were meant for that one, and unanswered starts may still take effect. These runs are exposed: they
// are stopped at the successor before the end of the earlier incarnation is reported, because the leader then places their
// tasks elsewhere.
type successor struct {
	// startedAt is that of the incarnation, and knownAt when the agent got to know it.
	startedAt int64
	knownAt   clock.Time
	// announcement is the last one of the incarnation, or nil.
	announcement *Announcement
	exposed      map[runKey]*runState
	// ends holds the ends of exposed runs that the successor listed.
	ends []Ended
	// settled reports that no exposed run is active on the successor and that it refuses to start them.
	settled bool
}

// mayRunOnSuccessor reports whether a successor of the worker may have the run or may still start it.
func (run *runState) mayRunOnSuccessor() bool {
	return run.unansweredStarts > 0 || run.startSentAt != 0 && run.listedAt == 0
}

// isOver reports whether the incarnation has ended or has a successor, so that it must not be sent starts.
func (worker *workerState) isOver() bool { return worker.ended || worker.successor != nil }

// beginSuccession stops the exposed runs of a worker at its successor.
func (supervisor *Supervisor) beginSuccession(worker *workerState, startedAt int64) {
	next := &successor{startedAt: startedAt, knownAt: supervisor.clocks.Boot.Now(), exposed: map[runKey]*runState{}}
	worker.successor = next
	supervisor.recordCrash(worker) // Before the runs change their phase.
	for key, run := range worker.runs {
		if run.mayRunOnSuccessor() {
			next.exposed[key] = run
			run.phase, run.reason, run.confirmedAt = phaseStopping, reasonSuccessor, 0
			if !run.callPending {
				supervisor.callWorker(worker, run)
			}
		}
	}
	next.settled = len(next.exposed) == 0
	klog.InfoS("Worker has a successor", "Worker", worker.incarnation, "Born", startedAt, "ExposedRuns", len(next.exposed))
	supervisor.requestReport()
}

// observeSuccessor processes a listing of a later incarnation, which was requested at sentAt. Once the exposed runs are
// settled, it ends the earlier incarnation and adopts the later one if that was announced.
func (supervisor *Supervisor) observeSuccessor(worker *workerState, listing Listing, sentAt clock.Time) {
	if worker.successor == nil || worker.successor.startedAt != listing.StartedAt {
		supervisor.beginSuccession(worker, listing.StartedAt)
	}
	worker.unansweredListings, worker.notListeningSince = 0, 0
	next := worker.successor
	next.observe(listing, sentAt)
	if !next.settled {
		return
	}
	supervisor.endIncarnation(worker, "a later incarnation answers")
	if next.announcement != nil {
		supervisor.adopt(*next.announcement)
	}
}

// observe updates whether the exposed runs are settled: the successor has confirmed their stops, and a later listing, which
// was requested at sentAt, shows none of them as active.
func (next *successor) observe(listing Listing, sentAt clock.Time) {
	if next.settled {
		return
	}
	active := set.New[runKey]()
	for _, item := range listing.Active {
		active.Add(runKey{item.Task, item.Run})
	}
	for key, run := range next.exposed {
		if run.phase != phaseStopped || !run.confirmedAt.Before(sentAt) || active.Has(key) {
			return
		}
	}
	for _, end := range listing.Ended {
		if _, ok := next.exposed[runKey{end.Task, end.Run}]; ok {
			next.ends = append(next.ends, end)
		}
	}
	slices.SortFunc(next.ends, func(left, right Ended) int { return cmp.Compare(left.Number, right.Number) })
	next.settled = true
}

// awaitsSuccession reports whether an announcement of a later incarnation has to wait until exposed runs are settled. The
// announcement is kept until then.
func (supervisor *Supervisor) awaitsSuccession(worker *workerState, announcement Announcement) bool {
	if announcement.Incarnation.ID != worker.announcement.Incarnation.ID {
		return false // The later incarnation refuses calls for the earlier one.
	}
	if worker.successor == nil || worker.successor.startedAt != announcement.Incarnation.StartedAt {
		supervisor.beginSuccession(worker, announcement.Incarnation.StartedAt)
	}
	worker.successor.announcement = &announcement
	return !worker.successor.settled
}
