package speculation

import (
	"hyssopjunction/clock"
)

// Parameters of the feedback.
const (
	// minSuccessPercent is the share of copies for slowness that must finish first.
	minSuccessPercent = 10
	// feedbackLength is the number of outcomes that count, and minOutcomes the number from which their share is relied on.
	// If one in ten copies finishes first, a third of all series of ten has no success; a probe corrects such a series.
	feedbackLength = 20
	minOutcomes    = 10
	// probeInterval is the time between two copies for slowness while too few of them finish first.
	probeInterval = 30 * clock.Second
)

// Feedback holds the latest outcomes of copies for slowness. Its state is safe to lose.
type Feedback struct {
	outcomes  []bool
	successes int
	// probedAt is when too few copies began to finish first, or the last probe since.
	probedAt clock.Time
}

// AllowsSlow reports whether slowness counts as evidence: enough copies finish first, or a probe is due.
func (feedback *Feedback) AllowsSlow(now clock.Time) bool {
	return !feedback.Suppressed() || now.Sub(feedback.probedAt) >= probeInterval
}

// Suppressed reports whether too few copies for slowness finish first.
func (feedback *Feedback) Suppressed() bool {
	return len(feedback.outcomes) >= minOutcomes && 100*feedback.successes < minSuccessPercent*len(feedback.outcomes)
}

// Successes returns how many of the latest copies for slowness finished first, and of how many.
func (feedback *Feedback) Successes() (successes, outcomes int) {
	return feedback.successes, len(feedback.outcomes)
}

// RecordPlaced records that a copy was placed for slowness.
func (feedback *Feedback) RecordPlaced(now clock.Time) {
	if feedback.Suppressed() {
		feedback.probedAt = now
	}
}

// RecordOutcome records whether a copy for slowness finished first. The first success of a probe lets slowness count
// again.
func (feedback *Feedback) RecordOutcome(first bool, now clock.Time) {
	wasSuppressed := feedback.Suppressed()
	if wasSuppressed && first {
		feedback.outcomes, feedback.successes = nil, 0
	}
	if len(feedback.outcomes) == feedbackLength {
		if feedback.outcomes[0] {
			feedback.successes--
		}
		feedback.outcomes = feedback.outcomes[1:]
	}
	feedback.outcomes = append(feedback.outcomes, first)
	if first {
		feedback.successes++
	}
	if !wasSuppressed && feedback.Suppressed() {
		feedback.probedAt = now
	}
}
