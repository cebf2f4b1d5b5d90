package supervisor

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/session"
)

// obey takes orders of the leader.
func (agent *Supervisor) obey(orders *session.Orders) {
	present := agent.life
	if present == nil {
		return
	}
	if orders.Incarnation == present.incarnation {
		present.recorded = max(present.recorded, orders.Recorded)
	}
	if len(orders.Weights) > 0 {
		present.weights = map[[2]pacing.Image]float64{}
		for _, weight := range orders.Weights {
			present.weights[[2]pacing.Image{pacing.Image(weight.Serving), pacing.Image(weight.Filling)}] = weight.Rise
		}
	}
	for _, order := range orders.Stops {
		if order.Incarnation == present.incarnation {
			agent.obeyStop(present, order)
		}
	}
	for _, order := range orders.Starts {
		if order.Incarnation == present.incarnation {
			agent.obeyStart(present, order)
		}
	}
}

func (agent *Supervisor) obeyStart(present *life, order session.Start) {
	key := runKey{order.Task, order.Run}
	if known, ok := present.runs[key]; ok {
		if !known.described {
			known.order, known.described = order, true
		}
		return
	}
	for _, ended := range present.listing.Ended {
		if ended.Task == order.Task && ended.Run == order.Run {
			return // Its end is on the way to the leader.
		}
	}
	if present.said.Draining {
		agent.reject(present, order, "Draining")
		return
	}
	if !present.reserved().Add(order.Reserved).FitsIn(present.said.Capacity) {
		agent.reject(present, order, "Room")
		return
	}
	known := &run{order: order, phase: starting, paced: pacing.FullPace, described: true, orderedAt: agent.clock.Now()}
	present.runs[key] = known
	agent.carryOut(present, known)
}

// reject reports a run that was not passed to the worker.
func (agent *Supervisor) reject(present *life, order session.Start, reason string) {
	klog.InfoS("Start refused", "Task", order.Task, "Run", order.Run, "Reason", reason)
	agent.rejections = append(agent.rejections, session.Rejection{
		Incarnation: present.incarnation, Task: order.Task, Run: order.Run, Reason: reason,
	})
	agent.wake()
}

func (agent *Supervisor) obeyStop(present *life, order session.Stop) {
	key := runKey{order.Task, order.Run}
	known, ok := present.runs[key]
	if !ok {
		for _, ended := range present.listing.Ended {
			if ended.Task == order.Task && ended.Run == order.Run {
				return
			}
		}
		known = &run{order: session.Start{Task: order.Task, Run: order.Run}, paced: pacing.FullPace, described: true}
		present.runs[key] = known
	}
	agent.abandon(present, known, "Stopped")
}

// abandon ends a run, whether it was started or not.
func (agent *Supervisor) abandon(present *life, known *run, reason string) {
	if known.phase == stopping || known.phase == stopped {
		return
	}
	known.phase, known.reason, known.confirmedAt = stopping, reason, 0
	if !known.busy {
		agent.carryOut(present, known)
	}
}

// carryOut starts or stops the run at the worker until the worker answers.
func (agent *Supervisor) carryOut(present *life, known *run) {
	known.busy = true
	agent.background(func() {
		timeout := firstTimeout
		for again := true; again && agent.base.Err() == nil; {
			var call func(context.Context) error
			var stop bool
			agent.loop.Call(func() { call, stop = agent.nextCall(present, known) })
			if call == nil {
				agent.loop.Call(func() { again = agent.life == present && known.phase == starting })
				if again {
					agent.pause(callRetry)
				}
				continue
			}
			err, late := agent.try(call, timeout)
			again = false
			agent.loop.Call(func() { again = agent.answered(present, known, stop, err) })
			switch {
			case late:
				timeout = min(2*timeout, callTimeout)
			case again && err != nil:
				agent.pause(callRetry)
			}
		}
		agent.loop.Call(func() { agent.release(present, known) })
	})
}

// try makes a call within the timeout and reports whether it passed without an answer. Waiting for a turn
// does not count.
func (agent *Supervisor) try(call func(context.Context) error, timeout clock.Millis) (err error, late bool) {
	agent.slots <- struct{}{}
	defer func() { <-agent.slots }()
	ctx, cancel := context.WithTimeout(agent.base, timeout.Duration())
	defer cancel()
	err = call(ctx)
	return err, err != nil && ctx.Err() != nil
}

// release ends the work on a run, and begins again if it was abandoned meanwhile. A filling run that
// was just started is paced.
func (agent *Supervisor) release(present *life, known *run) {
	known.busy = false
	switch {
	case agent.life != present || agent.base.Err() != nil:
	case known.phase == stopping:
		agent.carryOut(present, known)
	case known.phase == started && known.order.Fills && !known.welcomed:
		known.welcomed = true
		agent.welcome(present)
	}
}

// nextCall returns the call that the run needs now, and whether it is a stop. There is none while the
// lease is not granted, and when nothing is left to do.
func (agent *Supervisor) nextCall(present *life, known *run) (func(context.Context) error, bool) {
	if agent.life != present {
		return nil, false
	}
	if known.phase == starting {
		// The worker refuses the run once it was told to stop it, also if a start is still on its way.
		switch {
		case present.said.Draining:
			known.phase, known.reason = stopping, "Draining"
		case agent.clock.Now().Sub(known.orderedAt) > startAge:
			known.phase, known.reason = stopping, "Overdue"
		}
	}
	switch known.phase {
	case starting:
		deadline := agent.deadline(present)
		if deadline == 0 || present.silent >= silentAfter {
			return nil, false
		}
		call := StartCall{
			Incarnation: present.said.Incarnation, Task: known.order.Task, Run: known.order.Run, Payload: known.order.Payload,
			Saved: known.order.Saved, Deadline: deadline, Token: agent.grant.term,
		}
		present.held = agent.clock.Now()
		return func(ctx context.Context) error { return agent.runtime.Start(ctx, call) }, false
	case stopping:
		call := StopCall{Incarnation: present.said.Incarnation, Task: known.order.Task, Run: known.order.Run, Token: agent.grant.term}
		return func(ctx context.Context) error { return agent.runtime.Stop(ctx, call) }, true
	case started, stopped:
	}
	return nil, false
}

// answered takes the outcome of a call and returns whether another one is needed.
func (agent *Supervisor) answered(present *life, known *run, stop bool, err error) bool {
	if agent.life != present || IsErrOtherIncarnation(err) {
		return false
	}
	now := agent.clock.Now()
	var refused ErrRefused
	switch {
	case stop && (err == nil || errors.As(err, &refused) && refused.Refusal != RefusedToken):
		if known.phase == stopping {
			known.phase, known.confirmedAt = stopped, now
		}
		return false
	case stop:
		return known.phase == stopping
	case known.phase != starting:
		return known.phase == stopping // The order was withdrawn or the listing was faster.
	case err == nil:
		known.phase, known.confirmedAt = started, now
		return false
	case errors.As(err, &refused):
		klog.InfoS("Worker refused a start", "Task", known.order.Task, "Run", known.order.Run, "Refusal", refused.Refusal, "Detail", refused.Detail)
		known.phase, known.reason = stopping, string(refused.Refusal)
		return true
	case IsErrNothingDone(err), IsErrNotListening(err):
		known.attempts++
		if known.attempts >= startAttempts {
			known.phase, known.reason = stopping, err.Error()
		}
		return true
	default:
		klog.V(1).InfoS("Start not answered", "Task", known.order.Task, "Run", known.order.Run, "Reason", err.Error())
		return true
	}
}

// repace sets the pace of a filling run.
func (agent *Supervisor) repace(present *life, known *run, pace int) {
	known.busy = true
	call := PaceCall{Incarnation: present.said.Incarnation, Task: known.order.Task, Run: known.order.Run, Percent: pace, Token: agent.grant.term}
	agent.background(func() {
		err, _ := agent.try(func(ctx context.Context) error { return agent.runtime.Pace(ctx, call) }, firstTimeout)
		agent.loop.Call(func() {
			if err == nil {
				known.paced = pace
			} else {
				klog.V(1).InfoS("Pace not set", "Task", known.order.Task, "Run", known.order.Run, "Reason", err.Error())
			}
			agent.release(present, known)
		})
	})
}
