package coordinator

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/workflow"
)

// maxQueuedOrders limits the messages that wait for an agent that does not read its stream. Its session
// ends when the limit is exceeded.
const maxQueuedOrders = 64

// maxOrdersBytes limits the starts of one message to an agent, and startBytes is the size of a start beside its payload and
// checkpoint.
const (
	maxOrdersBytes = 1 << 20
	startBytes     = 512
)

// grantInterval is the shortest time between two grants of one lease. An agent reports each end of a run at once, and a
// message to it for each of these reports would double the leader's work.
const grantInterval = 300 * clock.Millisecond

// weightsInterval is how often the interference weights are sent to an agent.
const weightsInterval = clock.Second

// minWeightChange is the change from which a weight is sent again. It is below the error of learned weights.
const minWeightChange = 0.004

// weightScale rounds weights that are sent or stored to three decimals.
const weightScale = 1000

// ErrOverrun reports that the queue of an agent that does not read its orders is full.
type ErrOverrun struct {
	Node string
}

// Error names the agent's node.
func (err ErrOverrun) Error() string { return "agent " + err.Node + " does not read its orders" }

// ErrSuperseded reports that the agent has opened a newer session.
type ErrSuperseded struct {
	Node string
}

// Error names the agent's node.
func (err ErrSuperseded) Error() string { return "agent " + err.Node + " has a newer session" }

// IsErrSuperseded reports whether err is or wraps an ErrSuperseded.
func IsErrSuperseded(err error) bool { return errors.As(err, new(ErrSuperseded)) }

// agentSession is the session of one agent with the leader.
type agentSession struct {
	node string
	// incarnation identifies the agent's worker; it is empty before the agent has one.
	incarnation scheduler.Incarnation
	queue       chan *session.Orders
	// detached is closed when the leader ends the session.
	detached chan struct{}
	closed   bool
	// overrun reports that the session ended because queue was full.
	overrun bool
	// responsive reports that the worker answers its agent and has not lapsed. The agent reported that at profileAt, on its
	// own clock, or 0 if it has an earlier version.
	responsive bool
	profileAt  clock.Time
	// expectedSent reports that the orders for the runs that the worker should have were sent, or will be sent
	// once the present state is stored.
	expectedSent bool
	// storedEnd is the highest number of a run's end that is stored.
	storedEnd int64
	// lapseBefore is the highest number of an end that the worker's lease must lapse before, until which the end is not acknowledged.
	lapseBefore int64
	// lastSequence is the sequence number of the newest report, which arrived at reportedAt.
	lastSequence uint64
	reportedAt   clock.Time
	// overdue reports that the next report is missing.
	overdue bool
	// answeredAt is when the agent was last answered for the present incarnation, or 0.
	answeredAt clock.Time
	// weightsSentAt is when interference weights were last compared with those that were sent, sentWeights.
	weightsSentAt clock.Time
	sentWeights   map[[2]pacing.Image]float64
}

// Attend serves an agent's session until its stream or the term ends. Errors: session.ErrNotLeading,
// ErrOverrun, ErrSuperseded, or the error of the stream.
func (coordinator *Coordinator) Attend(stream session.Stream) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	if coordinator.deps.Faults.isIgnored(agentSource(first.Node)) {
		return ErrIgnored{Node: first.Node}
	}
	agent := &agentSession{node: first.Node, queue: make(chan *session.Orders, maxQueuedOrders), detached: make(chan struct{}), sentWeights: map[[2]pacing.Image]float64{}}
	ok := coordinator.loop.Post(func() {
		if previous, ok := coordinator.sessions[agent.node]; ok {
			coordinator.detach(previous)
		}
		coordinator.sessions[agent.node] = agent
		klog.InfoS("Agent attached", "Node", agent.node, "Term", coordinator.leadership.Term.Number)
	})
	if !ok {
		return session.ErrNotLeading{}
	}
	from := agentSource(agent.node)
	coordinator.postFrom(from, func() { coordinator.handleReport(agent, first) })
	go func() {
		for {
			report, err := stream.Receive()
			if err != nil {
				coordinator.post(func() { coordinator.detach(agent) })
				return
			}
			coordinator.postFrom(from, func() { coordinator.handleReport(agent, report) })
		}
	}()
	for {
		select {
		case orders := <-agent.queue:
			if err := stream.Send(orders); err != nil {
				coordinator.post(func() { coordinator.detach(agent) })
				return err
			}
		case <-agent.detached:
			if agent.overrun {
				return ErrOverrun{Node: agent.node}
			}
			return ErrSuperseded{Node: agent.node}
		case <-coordinator.ctx.Done():
			return session.ErrNotLeading{}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// detach ends a session. The worker's lease stays valid until it lapses.
func (coordinator *Coordinator) detach(agent *agentSession) {
	if agent.closed {
		return
	}
	agent.closed = true
	close(agent.detached)
	if coordinator.sessions[agent.node] == agent {
		delete(coordinator.sessions, agent.node)
		coordinator.scheduler.SetReachable(agent.incarnation, false)
		klog.InfoS("Agent detached", "Node", agent.node, "Worker", agent.incarnation, "Overrun", agent.overrun)
	}
}

// enqueue queues orders for the agent without blocking, and ends the session if its queue is full.
func (coordinator *Coordinator) enqueue(agent *agentSession, orders *session.Orders) {
	if agent.closed {
		return
	}
	orders.Term, orders.Sequence = coordinator.leadership.Term.Number, agent.lastSequence
	select {
	case agent.queue <- orders:
	default:
		agent.overrun = true
		coordinator.detach(agent)
	}
}

// handleReport applies a report of an agent and grants its worker's lease.
func (coordinator *Coordinator) handleReport(agent *agentSession, report *session.Report) {
	if agent.closed {
		return
	}
	now := coordinator.deps.Clock.Now()
	agent.lastSequence, agent.reportedAt = report.Sequence, now
	coordinator.ledger.RecordReport(agent.node, now)
	for _, crash := range report.Crashes {
		coordinator.recordCrash(crash)
	}
	if report.Worker != nil {
		agent.profileAt = report.At
		coordinator.inheritRuns(agent, report)
		coordinator.updateWorker(agent, report.Worker, now)
	}
	if agent.incarnation != "" {
		coordinator.recordEnds(agent, report.Ends, now)
		for _, rejection := range report.Rejections {
			coordinator.recordRejection(rejection)
		}
		if report.Worker != nil && report.Worker.Lapsed {
			coordinator.recordLapse(agent) // Ends that the report lists came before it.
		}
		if report.Listed {
			coordinator.scheduler.RecordProgress(agent.incarnation, coordinator.convertProgress(report.Progress), now)
		}
	}
	coordinator.grantLease(agent, now)
}

// grantLease extends the lease of the agent's worker unless that was done within grantInterval. The lease counts from
// the moment at which the agent sent its newest report. The agent extends the lease of any worker of its node with it,
// also of one that it has not reported yet. An agent that has reported no worker is granted none: it may have been restarted
// when its worker was gone already, and then the lease of that worker must lapse. A leader that may not extend leases any
// more says that its own has ended, so that the agent looks for the next leader.
func (coordinator *Coordinator) grantLease(agent *agentSession, now clock.Time) {
	if agent.answeredAt != 0 && now.Sub(agent.answeredAt) < grantInterval {
		return
	}
	agent.answeredAt = now
	orders := &session.Orders{
		StoredEnds: agent.storedEnd, Incarnation: string(agent.incarnation), LapseBefore: agent.lapseBefore,
		LeaderLeaseEnded: now.After(clock.Time(coordinator.validUntil.Load())),
	}
	if coordinator.updateGrantsEnded(now) {
		coordinator.enqueue(agent, orders)
		return
	}
	if agent.incarnation != "" && coordinator.ledger.Grant(agent.node, now) {
		orders.Lease = coordinator.workerLease
		coordinator.recordGrant(agent)
	}
	if now.Sub(agent.weightsSentAt) >= weightsInterval {
		agent.weightsSentAt = now
		orders.Weights = agent.changedWeights(coordinator.scheduler.Weights(agent.incarnation, now))
	}
	coordinator.enqueue(agent, orders)
}

// recordGrant records that the agent's worker has a lease again, if it had lapsed.
func (coordinator *Coordinator) recordGrant(agent *agentSession) {
	if agent.incarnation == "" {
		return
	}
	previous := coordinator.workers[agent.node]
	coordinator.workers[agent.node] = attachedWorker{incarnation: agent.incarnation}
	if previous.lapsed && previous.incarnation == agent.incarnation {
		klog.InfoS("Worker returns after its lapse", "Node", agent.node, "Worker", agent.incarnation, "Responsive", agent.responsive)
		coordinator.updateReachable(agent)
	}
}

// updateGrantsEnded reports whether leases may not be extended any more, and logs when that begins.
func (coordinator *Coordinator) updateGrantsEnded(now clock.Time) bool {
	ended := !coordinator.canGrantLeases()
	if ended && !coordinator.grantsEnded && coordinator.ctx.Err() == nil {
		klog.InfoS("Worker leases are not extended any more", "Term", coordinator.leadership.Term.Number, "SinceRenewalMillis", int64(now.Sub(coordinator.renewedAt)))
	}
	coordinator.grantsEnded = ended
	return ended
}

// changedWeights returns the weights that differ by minWeightChange or more from those that were sent to the agent.
func (agent *agentSession) changedWeights(weights []scheduler.Weight) []session.Weight {
	var changed []session.Weight
	for _, weight := range weights {
		pair := [2]pacing.Image{weight.Serving, weight.Filling}
		sent, ok := agent.sentWeights[pair]
		if ok && math.Abs(weight.Increase-sent) < minWeightChange {
			continue
		}
		agent.sentWeights[pair] = weight.Increase
		changed = append(changed, session.Weight{
			Serving: string(weight.Serving), Filling: string(weight.Filling), Increase: math.Round(weight.Increase*weightScale) / weightScale,
		})
	}
	return changed
}

// inheritRuns passes runs on to a new incarnation that lists them although they were started on an earlier one with the same
// id. The agent stops such runs unless it was restarted meanwhile.
func (coordinator *Coordinator) inheritRuns(agent *agentSession, report *session.Report) {
	incarnation := scheduler.Incarnation(report.Worker.Incarnation)
	if agent.incarnation == incarnation {
		return
	}
	var listed []scheduler.RunRef
	for _, earlier := range coordinator.scheduler.OtherIncarnations(agent.node, incarnation) {
		if !incarnation.Succeeds(earlier) {
			continue
		}
		if listed == nil {
			listed = listedRuns(report)
		}
		if count := coordinator.scheduler.InheritRuns(earlier, incarnation, listed); count > 0 {
			klog.InfoS("Runs inherited", "Node", agent.node, "Worker", incarnation, "Earlier", earlier, "Runs", count)
		}
	}
}

// listedRuns returns the runs that a report lists as active or as ended, but those whose names cannot be decoded.
func listedRuns(report *session.Report) []scheduler.RunRef {
	refs := []scheduler.RunRef{}
	add := func(task string, run workflow.Run) {
		if name, err := workflow.ParseName(task); err == nil {
			refs = append(refs, scheduler.RunRef{Name: name, Run: run})
		}
	}
	for _, item := range report.Progress {
		add(item.Task, item.Run)
	}
	for _, item := range report.Ends {
		add(item.Task, item.Run)
	}
	return refs
}

// updateWorker passes the state of the agent's worker to the scheduler.
func (coordinator *Coordinator) updateWorker(agent *agentSession, worker *session.Worker, now clock.Time) {
	incarnation := scheduler.Incarnation(worker.Incarnation)
	if agent.incarnation != incarnation {
		coordinator.replaceWorker(agent, incarnation)
	}
	coordinator.scheduler.UpdateWorker(scheduler.Profile{
		Incarnation: incarnation, Node: agent.node, Service: worker.Service, DataCentre: worker.DataCentre,
		Labels: worker.Labels, Capacity: worker.Capacity, Draining: worker.Draining,
	}, now)
	agent.responsive = worker.Responsive && !worker.Lapsed
	if !agent.expectedSent {
		agent.expectedSent = true
		coordinator.onceStored = append(coordinator.onceStored, func() { coordinator.sendExpected(agent) })
		return
	}
	coordinator.updateReachable(agent)
}

// recordLapse records that all runs of the agent's worker have ended.
func (coordinator *Coordinator) recordLapse(agent *agentSession) {
	incarnation := agent.incarnation
	ended := coordinator.scheduler.RecordLeaseLapse(incarnation)
	if ended == 0 {
		return
	}
	term := coordinator.leadership.Term.Number
	klog.InfoS("Worker reported without runs", "Node", agent.node, "Worker", incarnation, "EndedRuns", ended, "Term", term)
	coordinator.onceStored = append(coordinator.onceStored, func() {
		klog.InfoS("Ends of the worker's runs stored", "Worker", incarnation, "EndedRuns", ended, "Term", term)
	})
}

// replaceWorker records that the node's worker has a new incarnation, which ends all other incarnations.
func (coordinator *Coordinator) replaceWorker(agent *agentSession, incarnation scheduler.Incarnation) {
	klog.InfoS("Worker registered", "Node", agent.node, "Worker", incarnation)
	for _, earlier := range coordinator.scheduler.OtherIncarnations(agent.node, incarnation) {
		klog.InfoS("Worker replaced", "Node", agent.node, "Worker", earlier)
		coordinator.scheduler.RemoveWorker(earlier)
	}
	agent.incarnation, agent.storedEnd, agent.lapseBefore, agent.expectedSent, agent.answeredAt = incarnation, 0, 0, false, 0
	clear(agent.sentWeights)
	coordinator.workers[agent.node] = attachedWorker{incarnation: incarnation}
}

// sendExpected sends start orders for all runs that the agent's worker should have. For a run that is
// active already, the agent only updates its description.
func (coordinator *Coordinator) sendExpected(agent *agentSession) {
	coordinator.sendOrders(coordinator.scheduler.ExpectedOrders(agent.incarnation))
	coordinator.updateReachable(agent)
}

// recordEnds passes new ends of runs to the scheduler. Once they are stored, the next message to the agent acknowledges
// them.
func (coordinator *Coordinator) recordEnds(agent *agentSession, ends []session.End, now clock.Time) {
	highest := agent.storedEnd
	var fresh []session.End
	for _, end := range ends {
		if end.Number > highest {
			highest = end.Number
			fresh = append(fresh, end)
		}
	}
	coordinator.requireLapse(agent, fresh)
	for _, end := range coordinator.convertEnds(agent.incarnation, fresh) {
		coordinator.scheduler.RecordEnd(agent.incarnation, end, now)
	}
	if highest == agent.storedEnd {
		return
	}
	incarnation := agent.incarnation
	coordinator.onceStored = append(coordinator.onceStored, func() {
		if agent.incarnation != incarnation {
			return
		}
		agent.storedEnd = max(agent.storedEnd, highest)
	})
}

// requireLapse makes the agent wait for the lapse of its worker's lease before it acknowledges ends of finished runs that this leader or
// an earlier one has replaced. The lease was taken for lapsed, but goes on if the machine was suspended, and a new process of the agent
// does not know that.
func (coordinator *Coordinator) requireLapse(agent *agentSession, ends []session.End) {
	for _, end := range ends {
		if end.Cause != workflow.Finished {
			continue
		}
		name, err := workflow.ParseName(end.Task)
		if err != nil || !coordinator.scheduler.IsReplaced(agent.incarnation, name, end.Run) {
			continue
		}
		klog.InfoS("Finished run was replaced before its end was known", "Task", end.Task, "Run", end.Run, "Worker", agent.incarnation, "End", end.Number)
		agent.lapseBefore = end.Number
	}
}

// convertEnds logs and counts ends of runs on an incarnation and converts them for the scheduler.
func (coordinator *Coordinator) convertEnds(incarnation scheduler.Incarnation, ends []session.End) []scheduler.End {
	converted := make([]scheduler.End, 0, len(ends))
	for _, end := range ends {
		name, err := workflow.ParseName(end.Task)
		if err != nil {
			klog.ErrorS(err, "End ignored", "Worker", incarnation)
			continue
		}
		coordinator.counters.countEnd(end.Cause)
		if end.Cause != workflow.Finished {
			klog.InfoS("Run ended", "Task", end.Task, "Run", end.Run, "Reason", end.Reason, "Worker", incarnation)
		}
		converted = append(converted, scheduler.End{Name: name, Run: end.Run, Cause: end.Cause, Saved: end.Saved})
	}
	return converted
}

// recordRejection passes to the scheduler that a run never started.
func (coordinator *Coordinator) recordRejection(rejection session.Rejection) {
	name, err := workflow.ParseName(rejection.Task)
	if err != nil {
		klog.ErrorS(err, "Rejection ignored")
		return
	}
	coordinator.counters.rejections.Inc()
	klog.InfoS("Run rejected", "Task", rejection.Task, "Run", rejection.Run, "Worker", rejection.Incarnation, "Reason", rejection.Reason)
	coordinator.scheduler.RecordRejection(scheduler.Incarnation(rejection.Incarnation), name, rejection.Run, rejection.Reason == session.RefusedTask, coordinator.deps.Clock.Now())
}

// convertProgress converts an agent's list of active runs for the scheduler.
func (coordinator *Coordinator) convertProgress(items []session.Progress) []scheduler.Progress {
	converted := make([]scheduler.Progress, 0, len(items))
	for _, item := range items {
		name, err := workflow.ParseName(item.Task)
		if err != nil {
			klog.ErrorS(err, "Progress ignored")
			continue
		}
		converted = append(converted, scheduler.Progress{
			Name: name, Run: item.Run, Saved: item.Saved, Percent: item.Percent, Sample: item.Sample, ThrottlePercent: item.ThrottlePercent,
		})
	}
	return converted
}

// sendOrders passes orders to the sessions of their workers. Orders for a worker without a session are
// discarded here; the runs that it should have are sent when its agent attaches.
func (coordinator *Coordinator) sendOrders(orders []scheduler.Order) {
	if len(orders) == 0 {
		return
	}
	maySendStarts := coordinator.maySendStarts(coordinator.deps.Clock.Now())
	byWorker := map[scheduler.Incarnation]*session.Orders{}
	// placed holds the index, run number and worker of the placed tasks by step. One line for each run would take a
	// tenth of the leader's processor time when wide steps start.
	placed := map[workflow.Name][]string{}
	for _, order := range orders {
		batch, ok := byWorker[order.Worker]
		if !ok {
			batch = &session.Orders{}
			byWorker[order.Worker] = batch
		}
		if order.Stop {
			coordinator.counters.stops.Inc()
			klog.InfoS("Stop", "Task", order.Name.String(), "Run", order.Run, "Worker", order.Worker, "Reason", order.Reason, "MoveTo", order.MoveTo)
			batch.Stops = append(batch.Stops, session.Stop{Incarnation: string(order.Worker), Task: order.Name.String(), Run: order.Run})
			continue
		}
		if !maySendStarts {
			coordinator.withholdStart(order.Worker)
			continue
		}
		if start, ok := newStart(order); ok {
			coordinator.counters.starts.Inc()
			step := order.Name
			step.Index = 0
			placed[step] = append(placed[step], fmt.Sprintf("%d:%d %s", order.Name.Index, order.Run, order.Worker))
			batch.Starts = append(batch.Starts, start)
		}
	}
	for step, runs := range placed {
		klog.InfoS("Place", "Job", step.Job, "Occurrence", step.Occurrence, "Step", step.Step, "Runs", runs, "RoundMillis", int64(coordinator.roundDuration))
	}
	for _, agent := range coordinator.sessions {
		if batch, ok := byWorker[agent.incarnation]; ok {
			batch.StoredEnds, batch.Incarnation, batch.LapseBefore = agent.storedEnd, string(agent.incarnation), agent.lapseBefore
			if slices.ContainsFunc(batch.Starts, func(start session.Start) bool { return start.Copies }) {
				batch.ReportAge = max(0, coordinator.deps.Clock.Now().Sub(agent.reportedAt))
			}
			for _, part := range splitOrders(batch) {
				coordinator.enqueue(agent, part)
			}
		}
	}
}

// splitOrders splits a message whose starts exceed maxOrdersBytes. Agents of an earlier version refuse messages above 4 MiB.
func splitOrders(batch *session.Orders) []*session.Orders {
	var parts []*session.Orders
	starts := batch.Starts
	for begin := 0; begin == 0 || begin < len(starts); {
		end, size := begin, 0
		for end < len(starts) {
			size += len(starts[end].Payload) + len(starts[end].Saved) + startBytes
			if size > maxOrdersBytes && end > begin {
				break
			}
			end++
		}
		part := *batch
		part.Starts = starts[begin:end]
		if begin > 0 {
			part.Stops = nil
		}
		parts = append(parts, &part)
		if begin = end; end == 0 {
			break // There is no start.
		}
	}
	return parts
}

// newStart returns the message for a start order, or false if the run has ended since.
func newStart(order scheduler.Order) (session.Start, bool) {
	if !order.Job.HasRun(order.Name, order.Run) || order.Job.State.Final() {
		return session.Start{}, false
	}
	task := order.Job.Task(order.Name)
	step := order.Job.Spec.Steps[order.Name.Step]
	return session.Start{
		Incarnation: string(order.Worker), Task: order.Name.String(), Run: order.Run, Payload: order.Job.Spec.Payload,
		Saved: task.Saved, Reserved: step.Reserved(), Fills: step.Fills, CPU: step.Need.CPU, Target: step.Target, Image: step.Image,
		Copies: step.MayHaveCopies(),
	}, true
}

// IsErrOverrun reports whether err is or wraps an ErrOverrun.
func IsErrOverrun(err error) bool { return errors.As(err, new(ErrOverrun)) }
