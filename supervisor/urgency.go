package supervisor

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/session"
)

// urgencyLifetime is how long levels of urgency are used after the last message of the leader: five reports. Without a
// limit, a leader that is silent or was replaced would starve other runs for good.
const urgencyLifetime = 3 * clock.Second

// pacesLogInterval is the shortest time between two log lines about the paces of a worker.
const pacesLogInterval = 2 * clock.Second

// urgencyCounters are the metrics about levels of urgency.
type urgencyCounters struct {
	applied, ignored, resets *metrics.Counter
}

func newUrgencyCounters() urgencyCounters {
	return urgencyCounters{
		applied: metrics.GetOrCreateCounter("hyssopjunction_supervisor_urgencies_applied_total"),
		ignored: metrics.GetOrCreateCounter("hyssopjunction_supervisor_urgencies_ignored_total"),
		resets:  metrics.GetOrCreateCounter("hyssopjunction_supervisor_urgency_resets_total"),
	}
}

// urgencyState is how current the levels of urgency are. It may be accessed only on the control loop.
type urgencyState struct {
	// heardAt is when the newest report was sent that the leader had received when it sent its last message, or when
	// the session began. Levels follow from reports, so their age counts from there.
	heardAt clock.Time
	// expired reports that levels are not used because of urgencyLifetime.
	expired  bool
	counters urgencyCounters
}

// recordLeaderMessage records that the leader sent a message after it had received the report with the number.
func (supervisor *Supervisor) recordLeaderMessage(sequence uint64) {
	if sentAt, ok := supervisor.session.sentAt[sequence]; ok {
		supervisor.urgency.heardAt = max(supervisor.urgency.heardAt, sentAt)
	}
}

// resetUrgencies sets all runs to the normal level, because a new session begins. Its leader sends its own levels.
func (supervisor *Supervisor) resetUrgencies() {
	supervisor.urgency.heardAt, supervisor.urgency.expired = supervisor.clock.Now(), false
	if supervisor.worker == nil {
		return
	}
	for _, run := range supervisor.worker.runs {
		run.urgency, run.urgencyAt = pacing.Normal, 0
	}
}

// areUrgenciesCurrent reports whether the levels may be used, and logs when they become too old.
func (supervisor *Supervisor) areUrgenciesCurrent(worker *workerState) bool {
	state := &supervisor.urgency
	age := supervisor.clock.Now().Sub(state.heardAt)
	wasExpired := state.expired
	state.expired = age > urgencyLifetime
	if state.expired && !wasExpired {
		count, oldest := 0, clock.Millis(0)
		for _, run := range worker.runs {
			if run.urgency != pacing.Normal {
				count, oldest = count+1, max(oldest, supervisor.clock.Now().Sub(run.urgencyAt))
			}
		}
		if count > 0 {
			state.counters.resets.Inc()
			klog.InfoS("Urgencies not used any more", "Worker", worker.incarnation, "Runs", count, "SilentMillis", int64(age),
				"OldestMillis", int64(oldest), "Term", supervisor.grant.term)
		}
	}
	return !state.expired
}

// setUrgency records the level of a run. An unknown level is ignored.
func (supervisor *Supervisor) setUrgency(run *runState, level int) bool {
	urgency := pacing.Urgency(level)
	if !urgency.Valid() {
		return false
	}
	run.urgency, run.urgencyAt = urgency, supervisor.clock.Now()
	return true
}

// applyUrgencies applies the changed levels of the worker's runs. Those of other runs are ignored: such a run has ended,
// or its start was refused.
func (supervisor *Supervisor) applyUrgencies(worker *workerState, urgencies []session.Urgency) {
	if len(urgencies) == 0 {
		return
	}
	counts, ignored := map[pacing.Urgency]int{}, 0
	for _, item := range urgencies {
		run, ok := worker.runs[runKey{item.Task, item.Run}]
		if !ok || !supervisor.setUrgency(run, item.Level) {
			ignored++
			continue
		}
		counts[run.urgency]++
	}
	supervisor.urgency.counters.applied.Add(len(urgencies) - ignored)
	supervisor.urgency.counters.ignored.Add(ignored)
	klog.InfoS("Urgencies received", "Worker", worker.incarnation, "AgeMillis", int64(supervisor.clock.Now().Sub(supervisor.urgency.heardAt)), "Ignored", ignored,
		"Critical", counts[pacing.Critical], "Elevated", counts[pacing.Elevated], "Normal", counts[pacing.Normal], "Background", counts[pacing.Background])
}

// logPaces logs the paces of the worker's filling runs while one of them is throttled, with what limits them most.
func (supervisor *Supervisor) logPaces(worker *workerState, filling []pacing.FillingSample) {
	now := supervisor.clock.Now()
	if now.Sub(worker.pacesLoggedAt) < pacesLogInterval {
		return
	}
	runs, paces, throttled := map[pacing.Urgency]int{}, map[pacing.Urgency]int{}, false
	for _, sample := range filling {
		pace := worker.governor.Pace(sample.Task)
		runs[sample.Urgency]++
		paces[sample.Urgency] += pace
		throttled = throttled || pace < pacing.FullPace
	}
	if !throttled {
		return
	}
	worker.pacesLoggedAt = now
	meanPace := func(urgency pacing.Urgency) int { return paces[urgency] / max(1, runs[urgency]) }
	limit := worker.governor.Limit()
	klog.InfoS("Paces", "Worker", worker.incarnation, "Runs", len(filling),
		"Critical", runs[pacing.Critical], "CriticalPace", meanPace(pacing.Critical), "Elevated", runs[pacing.Elevated], "ElevatedPace", meanPace(pacing.Elevated),
		"Normal", runs[pacing.Normal], "NormalPace", meanPace(pacing.Normal), "Background", runs[pacing.Background], "BackgroundPace", meanPace(pacing.Background),
		"Limit", limit.Task, "Image", limit.Image, "TailPercent", limit.TailPercent, "RoomPercent", limit.RoomPercent, "TrustPercent", limit.TrustPercent,
		"Halted", limit.Halted, "LeaderMessageAgeMillis", int64(now.Sub(supervisor.urgency.heardAt)))
}

// firstPaceCall returns the call that sets the pace of a filling run whose start was just answered, and the pace, or nil
// if the run may work at full pace. It is made in the call slot of the start: until then the run works at full pace, and
// waiting for another slot would prolong that.
func (supervisor *Supervisor) firstPaceCall(worker *workerState, run *runState) (func(context.Context) error, int) {
	if supervisor.worker != worker || run.phase != phaseStarted || !run.order.Fills || run.pacedAfterStart {
		return nil, 0
	}
	supervisor.allocatePaces(worker)
	pace := worker.governor.Pace(run.order.Task)
	if pace == run.pacePercent {
		return nil, 0
	}
	call := PaceCall{Incarnation: worker.announcement.Incarnation, Task: run.order.Task, Run: run.order.Run, Percent: pace, Token: supervisor.grant.term}
	return func(ctx context.Context) error { return supervisor.runtime.Pace(ctx, call) }, pace
}

// setFirstPace makes the call of firstPaceCall. If it fails, the call that follows the start sets the pace.
func (supervisor *Supervisor) setFirstPace(run *runState, call func(context.Context) error, pace int) {
	if err, _ := supervisor.callWithTimeout(call, firstCallTimeout); err != nil {
		klog.V(1).InfoS("Pace not set", "Task", run.order.Task, "Run", run.order.Run, "Reason", err.Error())
		return
	}
	supervisor.loop.Call(func() { run.pacePercent = pace })
}
