package supervisor

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
)

// confirmTimeout is the timeout of the listing that confirms an announcement.
const confirmTimeout = listingGrace

// propose records the announcement of an incarnation other than the present one. It becomes the node's worker only once the
// worker's own process has answered a listing as that incarnation: announcements may come from other writers, and to end the
// present incarnation for one of them would start its runs elsewhere while they go on.
func (supervisor *Supervisor) propose(announcement Announcement) {
	if candidate := supervisor.candidate; candidate == nil || candidate.Incarnation != announcement.Incarnation {
		klog.InfoS("Announcement of another incarnation", "ID", announcement.Incarnation.ID, "Born", announcement.Incarnation.StartedAt)
	}
	supervisor.candidate = &announcement
}

// confirmCandidate asks the worker's process whether it is the proposed incarnation, if there is one.
func (supervisor *Supervisor) confirmCandidate() {
	var candidate *Announcement
	var call RenewCall
	supervisor.loop.Call(func() {
		if candidate = supervisor.candidate; candidate != nil {
			call = RenewCall{Incarnation: candidate.Incarnation, Token: supervisor.grant.term}
		}
	})
	if candidate == nil {
		return
	}
	sentAt := supervisor.clocks.Boot.Now()
	ctx, cancel := context.WithTimeout(supervisor.baseContext, confirmTimeout.Duration())
	listing, err := supervisor.runtime.Renew(ctx, call)
	cancel()
	supervisor.loop.Call(func() { supervisor.handleConfirmation(*candidate, listing, sentAt, err) })
}

// handleConfirmation processes the outcome of the listing of a candidate, which was requested at sentAt. Without an answer the
// candidate is asked again.
func (supervisor *Supervisor) handleConfirmation(candidate Announcement, listing Listing, sentAt clock.Time, err error) {
	current := supervisor.candidate
	if current == nil || current.Incarnation != candidate.Incarnation {
		return // A later announcement has taken its place.
	}
	isOther := IsErrOtherIncarnation(err) || err == nil && listing.StartedAt != 0 && listing.StartedAt != candidate.Incarnation.StartedAt
	if !isOther && err != nil {
		klog.V(1).InfoS("Candidate does not answer", "ID", candidate.Incarnation.ID, "Reason", err.Error())
		return
	}
	supervisor.candidate = nil
	if isOther {
		klog.InfoS("Announcement of another incarnation refuted: the worker is not that one", "ID", candidate.Incarnation.ID,
			"Born", candidate.Incarnation.StartedAt, "Listed", listing.StartedAt)
		return
	}
	if !supervisor.succeed(*current) {
		return
	}
	supervisor.handleListing(supervisor.worker, listing, sentAt, nil)
}

// succeed makes a confirmed incarnation the node's worker, and reports whether it did. It does not while the incarnation has
// to wait until exposed runs are settled.
func (supervisor *Supervisor) succeed(announcement Announcement) bool {
	worker := supervisor.worker
	// The present incarnation never answered and claims a later start than the process that answers: it does not exist.
	isBogus := announcement.Incarnation.StartedAt < worker.latestStart() && worker.clockReadAt == 0
	switch {
	case isBogus:
		klog.InfoS("Worker was never there", "Worker", worker.incarnation)
	case supervisor.awaitsSuccession(worker, announcement):
		return false
	default:
		supervisor.endIncarnation(worker, "another incarnation is announced")
	}
	supervisor.adopt(announcement)
	return true
}
