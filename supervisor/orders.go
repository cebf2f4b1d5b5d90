package supervisor

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/session"
)

// reasonRoom is why a start is given up that does not fit on the worker.
const reasonRoom = "Room"

// reasonLeaseOverrun is why a run is stopped whose worker's lease ends later than the grant.
const reasonLeaseOverrun = "LeaseOverrun"

// reasonLeaseEnded is why a start is given up that was ordered under a lease that has ended.
const reasonLeaseEnded = "LeaseEnded"

// lateStartAge is the time from the arrival of an order to its start above which the start is logged.
const lateStartAge = 500 * clock.Millisecond

// applyOrders applies orders of the leader to the worker. Orders for another incarnation are ignored.
func (supervisor *Supervisor) applyOrders(orders *session.Orders) {
	worker := supervisor.worker
	if worker == nil {
		return
	}
	if orders.Incarnation == worker.incarnation {
		supervisor.requireLapse(worker, orders.LapseBefore)
		worker.recordedEnd = max(worker.recordedEnd, orders.StoredEnds)
	}
	for _, weight := range orders.Weights {
		worker.weights[[2]pacing.Image{pacing.Image(weight.Serving), pacing.Image(weight.Filling)}] = weight.Increase
	}
	for _, order := range orders.Stops {
		if order.Incarnation == worker.incarnation {
			supervisor.applyStop(worker, order)
		}
	}
	leaseEnd := supervisor.grant.until
	if orders.Sequence < supervisor.session.lapseSequence {
		leaseEnd = min(leaseEnd, supervisor.clocks.Boot.Now())
	}
	for _, order := range orders.Starts {
		if order.Incarnation != worker.incarnation {
			continue
		}
		limits := startLimits{leaseEnd: leaseEnd}
		if order.Copies {
			limits.startBy = supervisor.earliestSending(orders).Add(maxCopiesStartAge)
		}
		supervisor.applyStart(worker, order, limits)
	}
}

// earliestSending returns a time before which the leader did not send the orders: it had received a report of this agent,
// and sent them ReportAge after that. If the time of that report is not known any more, it is that of the session.
func (supervisor *Supervisor) earliestSending(orders *session.Orders) clock.Time {
	sentAt, ok := supervisor.session.sentAt[orders.Sequence]
	if !ok {
		sentAt = supervisor.session.startedAt
	}
	return sentAt.Add(orders.ReportAge)
}

// endStarts ends the lease under which the runs were ordered that have not started yet.
func (worker *workerState) endStarts(now clock.Time) {
	for _, run := range worker.runs {
		if run.phase == phaseStarting {
			run.leaseEnd = min(run.leaseEnd, now)
		}
	}
}

// applyStart starts a run if it is new and fits on the worker, and gives it up otherwise.
func (supervisor *Supervisor) applyStart(worker *workerState, order session.Start, limits startLimits) {
	key := runKey{order.Task, order.Run}
	if run, ok := worker.runs[key]; ok {
		if !run.hasOrder {
			run.order, run.hasOrder = order, true
		}
		run.startLimits = limits
		return
	}
	for _, end := range worker.listing.Ended {
		if end.Task == order.Task && end.Run == order.Run {
			return // The leader has not received the end of the run yet.
		}
	}
	run := &runState{order: order, phase: phaseStarting, pacePercent: pacing.FullPace, hasOrder: true, orderedAt: supervisor.clocks.Boot.Now(), startLimits: limits}
	if !worker.reserved().Add(order.Reserved).FitsIn(worker.announcement.Capacity) {
		supervisor.giveUpStart(run, reasonRoom)
	}
	worker.runs[key] = run
	supervisor.callWorker(worker, run)
}

// applyStop stops a run. A run that the worker has not started is stopped too, so that it refuses a late start.
func (supervisor *Supervisor) applyStop(worker *workerState, order session.Stop) {
	key := runKey{order.Task, order.Run}
	run, ok := worker.runs[key]
	if !ok {
		for _, end := range worker.listing.Ended {
			if end.Task == order.Task && end.Run == order.Run {
				return
			}
		}
		run = &runState{order: session.Start{Task: order.Task, Run: order.Run}, pacePercent: pacing.FullPace, hasOrder: true}
		worker.runs[key] = run
	}
	supervisor.stopRun(worker, run, "Stopped")
}

// stopRun stops a run, whether it has started or not.
func (supervisor *Supervisor) stopRun(worker *workerState, run *runState, reason string) {
	if run.phase == phaseStopping || run.phase == phaseStopped {
		return
	}
	run.phase, run.reason, run.confirmedAt = phaseStopping, reason, 0
	if !run.callPending {
		supervisor.callWorker(worker, run)
	}
}

// callWorker starts or stops the run at the worker in the background, and repeats the call until it is answered or
// no longer needed.
func (supervisor *Supervisor) callWorker(worker *workerState, run *runState) {
	run.callPending = true
	supervisor.background(func() {
		timeout := firstCallTimeout
		for retry := true; retry && supervisor.takeCallSlot(); {
			var call func(context.Context) error
			var stop bool
			// Decided only now, because the run may have been stopped or become overdue while it waited for the slot.
			supervisor.loop.Call(func() { call, stop = supervisor.nextCall(worker, run) })
			if call == nil {
				supervisor.releaseCallSlot()
				supervisor.loop.Call(func() { retry = supervisor.worker == worker && run.phase == phaseStarting })
				if retry {
					supervisor.sleep(callRetryInterval)
				}
				continue
			}
			err, timedOut := supervisor.callWithTimeout(call, timeout)
			retry = false
			var paceCall func(context.Context) error
			var pace int
			supervisor.loop.Call(func() {
				retry = supervisor.handleAnswer(worker, run, stop, err)
				paceCall, pace = supervisor.firstPaceCall(worker, run)
			})
			if paceCall != nil {
				supervisor.setFirstPace(run, paceCall, pace)
			}
			supervisor.releaseCallSlot()
			switch {
			case timedOut:
				timeout = min(2*timeout, maxCallTimeout)
			case retry && err != nil:
				supervisor.sleep(callRetryInterval)
			}
		}
		supervisor.loop.Call(func() { supervisor.endCall(worker, run) })
	})
}

// takeCallSlot waits for a call slot. It returns false if the supervisor is closed before it has one.
func (supervisor *Supervisor) takeCallSlot() bool {
	if supervisor.baseContext.Err() != nil {
		return false
	}
	select {
	case supervisor.callSlots <- struct{}{}:
		return true
	case <-supervisor.baseContext.Done():
		return false
	}
}

func (supervisor *Supervisor) releaseCallSlot() { <-supervisor.callSlots }

// callWithTimeout makes a call, for which the caller holds a call slot, and reports whether it got no answer within the
// timeout.
func (supervisor *Supervisor) callWithTimeout(call func(context.Context) error, timeout clock.Millis) (err error, timedOut bool) {
	ctx, cancel := context.WithTimeout(supervisor.baseContext, timeout.Duration())
	defer cancel()
	err = call(ctx)
	return err, err != nil && ctx.Err() != nil
}

// endCall records that no call for the run is pending. It stops the run if that was ordered in the meantime, and
// updates the paces if the run is a filling run that has just started.
func (supervisor *Supervisor) endCall(worker *workerState, run *runState) {
	run.callPending = false
	switch {
	case supervisor.worker != worker || supervisor.baseContext.Err() != nil:
	case run.phase == phaseStopping:
		supervisor.callWorker(worker, run)
	case run.phase == phaseStarted && run.order.Fills && !run.pacedAfterStart:
		run.pacedAfterStart = true
		supervisor.paceNewRun(worker)
	}
}

// nextCall returns the next call that the run needs and whether it is a stop. The call is nil if nothing is left to
// do, or if a start has to wait because no lease is granted or the worker is unresponsive.
func (supervisor *Supervisor) nextCall(worker *workerState, run *runState) (func(context.Context) error, bool) {
	if supervisor.worker != worker || run.phase == phaseStarting && worker.isOver() {
		return nil, false
	}
	if run.phase == phaseStarting {
		if !worker.hasRoomFor(run) {
			supervisor.giveUpStart(run, reasonRoom)
		}
	}
	if run.phase == phaseStarting {
		// Once a run is stopped, the worker refuses it, also if an earlier start arrives late.
		switch now := supervisor.clocks.Boot.Now(); {
		case worker.announcement.Draining:
			supervisor.giveUpStart(run, "Draining")
		case !now.Before(run.leaseEnd):
			// The leader may have declared the lapse of the lease and placed the task elsewhere. A later grant does not
			// tell whether it has.
			supervisor.giveUpStart(run, reasonLeaseEnded)
		case now.Sub(run.orderedAt) > maxStartAge, run.startBy != 0 && !now.Before(run.startBy):
			supervisor.giveUpStart(run, "Overdue")
		}
	}
	switch run.phase {
	case phaseStarting:
		if worker.unansweredListings >= unresponsiveListings {
			return nil, false
		}
		deadline := supervisor.nextDeadline(worker)
		if deadline == 0 {
			return nil, false
		}
		call := StartCall{
			Incarnation: worker.announcement.Incarnation, Task: run.order.Task, Run: run.order.Run, Payload: run.order.Payload,
			Saved: run.order.Saved, Deadline: deadline, Token: supervisor.grant.term,
		}
		run.previousStartSentAt, run.startSentAt = run.startSentAt, supervisor.clocks.Boot.Now()
		run.unansweredStarts++
		return func(ctx context.Context) error { return supervisor.runtime.Start(ctx, call) }, false
	case phaseStopping:
		run.stopSentAt = supervisor.clocks.Boot.Now()
		call := StopCall{Incarnation: worker.announcement.Incarnation, Task: run.order.Task, Run: run.order.Run, Token: supervisor.grant.term}
		return func(ctx context.Context) error { return supervisor.runtime.Stop(ctx, call) }, true
	case phaseStarted, phaseStopped:
	}
	return nil, false
}

// hasRoomFor reports whether the worker may be told to start a run now. Its capacity may have shrunk since the order. Runs that
// are being stopped count, and so do those whose start was sent and not answered.
func (worker *workerState) hasRoomFor(run *runState) bool {
	total := run.order.Reserved
	for _, other := range worker.runs {
		if other != run && (other.phase != phaseStarting || other.startSentAt != 0) {
			total = total.Add(other.order.Reserved)
		}
	}
	return total.FitsIn(worker.announcement.Capacity)
}

// giveUpStart makes the next call for a run that has not started a stop. The run is rejected only after the worker has
// confirmed it, because an earlier process of the agent may have made a start call that is carried out later.
func (supervisor *Supervisor) giveUpStart(run *runState, reason string) {
	now := supervisor.clocks.Boot.Now()
	klog.InfoS("Start given up", "Task", run.order.Task, "Run", run.order.Run, "Reason", reason,
		"AgeMillis", int64(now.Sub(run.orderedAt)), "LeaseLeftMillis", int64(run.leaseEnd.Sub(now)), "GrantLeftMillis", int64(supervisor.grant.until.Sub(now)))
	run.phase, run.reason = phaseStopping, reason
	if run.startSentAt == 0 {
		run.order = session.Start{Task: run.order.Task, Run: run.order.Run} // It reserves nothing while it is being refused.
	}
}

// handleAnswer processes the outcome of a start or a stop and reports whether the run needs another call.
func (supervisor *Supervisor) handleAnswer(worker *workerState, run *runState, stop bool, err error) bool {
	if !stop && hasKnownOutcome(err) {
		run.unansweredStarts--
	}
	if supervisor.worker != worker || IsErrOtherIncarnation(err) {
		return false
	}
	now := supervisor.clocks.Boot.Now()
	var refused ErrRefused
	worker.recordAnswer(run, stop, err, now)
	switch {
	case stop && worker.successor != nil && run.stopSentAt.Before(worker.successor.knownAt):
		return run.phase == phaseStopping // The earlier incarnation may have answered.
	case stop && (err == nil || errors.As(err, &refused) && refused.Refusal != RefusedToken):
		if run.phase == phaseStopping {
			run.phase, run.confirmedAt, run.known = phaseStopped, now, run.known || err == nil
		}
		return false
	case stop:
		return run.phase == phaseStopping
	case run.phase != phaseStarting:
		run.known = run.known || err == nil
		return run.phase == phaseStopping // The run was stopped or listed before its start was answered.
	case err == nil:
		run.phase, run.confirmedAt, run.known = phaseStarted, now, true
		if age := now.Sub(run.orderedAt); age > lateStartAge {
			klog.InfoS("Run started late", "Task", run.order.Task, "Run", run.order.Run, "AgeMillis", int64(age), "Term", supervisor.grant.term)
		}
		return false
	case errors.As(err, &refused):
		klog.InfoS("Worker refused a start", "Task", run.order.Task, "Run", run.order.Run, "Refusal", refused.Refusal, "Detail", refused.Detail)
		run.phase, run.reason = phaseStopping, string(refused.Refusal)
		return true
	case IsErrNothingDone(err), IsErrNotListening(err):
		run.startAttempts++
		if run.startAttempts >= maxStartAttempts {
			run.phase, run.reason = phaseStopping, err.Error()
		}
		return true
	default:
		klog.V(1).InfoS("Start not answered", "Task", run.order.Task, "Run", run.order.Run, "Reason", err.Error())
		return true
	}
}

// hasKnownOutcome reports whether the error of a call, or nil, tells whether the call took effect.
func hasKnownOutcome(err error) bool {
	return err == nil || IsErrRefused(err) || IsErrNothingDone(err) || IsErrNotListening(err) || IsErrOtherIncarnation(err)
}

// setPace sets the pace of a filling run in the background.
func (supervisor *Supervisor) setPace(worker *workerState, run *runState, pace int) {
	run.callPending = true
	call := PaceCall{Incarnation: worker.announcement.Incarnation, Task: run.order.Task, Run: run.order.Run, Percent: pace, Token: supervisor.grant.term}
	supervisor.background(func() {
		if !supervisor.takeCallSlot() {
			return
		}
		err, _ := supervisor.callWithTimeout(func(ctx context.Context) error { return supervisor.runtime.Pace(ctx, call) }, firstCallTimeout)
		supervisor.releaseCallSlot()
		supervisor.loop.Call(func() {
			if err == nil {
				run.pacePercent = pace
			} else {
				klog.V(1).InfoS("Pace not set", "Task", run.order.Task, "Run", run.order.Run, "Reason", err.Error())
			}
			supervisor.endCall(worker, run)
		})
	})
}
