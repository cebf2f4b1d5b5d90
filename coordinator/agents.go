package coordinator

import (
	"errors"
	"math"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/workflow"
)

// queueLength bounds the orders that wait for an agent that does not read. Its session is ended then.
const queueLength = 64

// adviceInterval is how often agents are told which images disturb each other.
const adviceInterval = clock.Second

// milli is the precision of what they are told.
const milli = 1000

// ErrOverrun reports an agent that does not read its orders.
type ErrOverrun struct {
	Node string
}

// Error describes the agent.
func (err ErrOverrun) Error() string { return "agent " + err.Node + " does not read its orders" }

// attached is the session of an agent.
type attached struct {
	node        string
	incarnation scheduler.Incarnation
	queue       chan *session.Orders
	gone        chan struct{}
	closed      bool
	overrun     bool
	// answering reports that the worker responds to the agent.
	answering bool
	// introduced reports that the expected runs were sent.
	introduced bool
	// recorded is the highest number of an end that is stored.
	recorded int64
	// sequence is the newest report.
	sequence uint64
	// advisedAt is when the agent was last told which images disturb each other.
	advisedAt clock.Time
}

// Attend serves an agent until its stream or the term ends. Errors: ErrNotLeading, ErrOverrun, or
// that of the stream.
func (leader *Coordinator) Attend(stream session.Stream) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	agent := &attached{node: first.Node, queue: make(chan *session.Orders, queueLength), gone: make(chan struct{})}
	ok := leader.loop.Post(func() {
		if previous, ok := leader.sessions[agent.node]; ok {
			leader.detach(previous)
		}
		leader.sessions[agent.node] = agent
		klog.InfoS("Agent attached", "Node", agent.node, "Term", leader.won.Term.Number)
	})
	if !ok {
		return session.ErrNotLeading{}
	}
	leader.post(func() { leader.report(agent, first) })
	go func() {
		for {
			report, err := stream.Receive()
			if err != nil {
				leader.post(func() { leader.detach(agent) })
				return
			}
			leader.post(func() { leader.report(agent, report) })
		}
	}()
	for {
		select {
		case orders := <-agent.queue:
			if err := stream.Send(orders); err != nil {
				leader.post(func() { leader.detach(agent) })
				return err
			}
		case <-agent.gone:
			return ErrOverrun{Node: agent.node}
		case <-leader.base.Done():
			return session.ErrNotLeading{}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// detach ends a session. The worker keeps its lease until it lapses.
func (leader *Coordinator) detach(agent *attached) {
	if agent.closed {
		return
	}
	agent.closed = true
	close(agent.gone)
	if leader.sessions[agent.node] == agent {
		delete(leader.sessions, agent.node)
		leader.book.SetReachable(agent.incarnation, false)
		klog.InfoS("Agent detached", "Node", agent.node, "Worker", agent.incarnation, "Overrun", agent.overrun)
	}
}

// enqueue passes orders to the session without waiting.
func (leader *Coordinator) enqueue(agent *attached, orders *session.Orders) {
	if agent.closed {
		return
	}
	orders.Term = leader.won.Term.Number
	select {
	case agent.queue <- orders:
	default:
		agent.overrun = true
		leader.detach(agent)
	}
}

// report takes what an agent says.
func (leader *Coordinator) report(agent *attached, report *session.Report) {
	if agent.closed {
		return
	}
	now := leader.need.Clock.Now()
	agent.sequence = report.Sequence
	if report.Worker != nil {
		leader.describe(agent, report.Worker, now)
	}
	if agent.incarnation != "" {
		leader.takeEnds(agent, report.Ends, now)
		for _, rejected := range report.Rejections {
			leader.reject(rejected)
		}
		if report.Listed {
			leader.book.Progress(agent.incarnation, leader.progress(report.Progress), now)
		}
	}
	leader.grant(agent, now)
}

// grant extends the lease of the agent's worker, counted from when the agent sent its newest report.
func (leader *Coordinator) grant(agent *attached, now clock.Time) {
	if !leader.mayGrant() {
		return
	}
	if agent.incarnation != "" {
		leader.granted[agent.node] = grant{incarnation: agent.incarnation, at: now}
	}
	orders := &session.Orders{
		Sequence: agent.sequence, Lease: leader.lease, Recorded: agent.recorded, Incarnation: string(agent.incarnation),
	}
	orders.Doubtful = now.After(clock.Time(leader.validUntil.Load()))
	if now.Sub(agent.advisedAt) >= adviceInterval {
		agent.advisedAt = now
		for _, known := range leader.book.Weights(agent.incarnation, now) {
			orders.Weights = append(orders.Weights, session.Weight{
				Serving: string(known.Serving), Filling: string(known.Filling), Rise: math.Round(known.Increase*milli) / milli,
			})
		}
	}
	leader.enqueue(agent, orders)
}

// describe takes the profile of the agent's worker.
func (leader *Coordinator) describe(agent *attached, reported *session.Worker, now clock.Time) {
	incarnation := scheduler.Incarnation(reported.Incarnation)
	if agent.incarnation != incarnation {
		leader.replace(agent, incarnation)
	}
	leader.book.Update(scheduler.Profile{
		Incarnation: incarnation, Node: agent.node, Service: reported.Service, DataCentre: reported.DataCentre,
		Labels: reported.Labels, Capacity: reported.Capacity, Draining: reported.Draining,
	}, now)
	agent.answering = reported.Answering
	if reported.Lapsed {
		leader.book.Lapsed(incarnation)
	}
	if !agent.introduced {
		agent.introduced = true
		leader.waiting = append(leader.waiting, func() { leader.introduce(agent) })
		return
	}
	leader.book.SetReachable(incarnation, reported.Answering)
}

// replace records that the node has another incarnation of its worker, so that all earlier ones are over.
func (leader *Coordinator) replace(agent *attached, incarnation scheduler.Incarnation) {
	klog.InfoS("Worker registered", "Node", agent.node, "Worker", incarnation)
	for _, earlier := range leader.book.OtherIncarnations(agent.node, incarnation) {
		klog.InfoS("Worker replaced", "Node", agent.node, "Worker", earlier)
		leader.book.Lost(earlier)
	}
	agent.incarnation, agent.recorded, agent.introduced = incarnation, 0, false
}

// introduce sends all runs that the agent's worker should have. Those that it has already only take
// their description.
func (leader *Coordinator) introduce(agent *attached) {
	leader.send(leader.book.Expected(agent.incarnation))
	leader.book.SetReachable(agent.incarnation, agent.answering)
}

func (leader *Coordinator) takeEnds(agent *attached, ends []session.End, now clock.Time) {
	highest := agent.recorded
	for _, end := range ends {
		if end.Number <= highest {
			continue
		}
		highest = end.Number
		name, err := workflow.ParseName(end.Task)
		if err != nil {
			klog.ErrorS(err, "End ignored", "Node", agent.node)
			continue
		}
		leader.counters.end(end.Cause)
		klog.InfoS("Run ended", "Task", end.Task, "Run", end.Run, "Reason", end.Reason, "Worker", agent.incarnation)
		leader.book.Ended(agent.incarnation, scheduler.End{Name: name, Run: end.Run, Cause: end.Cause, Saved: end.Saved}, now)
	}
	if highest == agent.recorded {
		return
	}
	incarnation := agent.incarnation
	leader.waiting = append(leader.waiting, func() {
		if agent.incarnation != incarnation {
			return
		}
		agent.recorded = max(agent.recorded, highest)
		leader.enqueue(agent, &session.Orders{Recorded: agent.recorded, Incarnation: string(incarnation)})
	})
}

func (leader *Coordinator) reject(rejected session.Rejection) {
	name, err := workflow.ParseName(rejected.Task)
	if err != nil {
		klog.ErrorS(err, "Rejection ignored")
		return
	}
	leader.counters.rejections.Inc()
	klog.InfoS("Run rejected", "Task", rejected.Task, "Run", rejected.Run, "Worker", rejected.Incarnation, "Reason", rejected.Reason)
	leader.book.Rejected(scheduler.Incarnation(rejected.Incarnation), name, rejected.Run, leader.need.Clock.Now())
}

func (leader *Coordinator) progress(listed []session.Progress) []scheduler.Progress {
	converted := make([]scheduler.Progress, 0, len(listed))
	for _, item := range listed {
		name, err := workflow.ParseName(item.Task)
		if err != nil {
			klog.ErrorS(err, "Progress ignored")
			continue
		}
		converted = append(converted, scheduler.Progress{
			Name: name, Run: item.Run, Saved: item.Saved, Percent: item.Percent, Sample: item.Sample, Slowed: item.Slowed,
		})
	}
	return converted
}

// send passes orders to the sessions of their workers. Orders for workers without one are sent again
// when their agent attaches.
func (leader *Coordinator) send(orders []scheduler.Order) {
	if len(orders) == 0 {
		return
	}
	byWorker := map[scheduler.Incarnation]*session.Orders{}
	for _, order := range orders {
		batch, ok := byWorker[order.Worker]
		if !ok {
			batch = &session.Orders{}
			byWorker[order.Worker] = batch
		}
		if order.Stop {
			leader.counters.stops.Inc()
			klog.InfoS("Stop", "Task", order.Name.String(), "Run", order.Run, "Worker", order.Worker)
			batch.Stops = append(batch.Stops, session.Stop{Incarnation: string(order.Worker), Task: order.Name.String(), Run: order.Run})
			continue
		}
		if start, ok := newStart(order); ok {
			leader.counters.starts.Inc()
			klog.InfoS("Place", "Task", start.Task, "Run", order.Run, "Worker", order.Worker)
			batch.Starts = append(batch.Starts, start)
		}
	}
	for _, agent := range leader.sessions {
		if batch, ok := byWorker[agent.incarnation]; ok {
			leader.enqueue(agent, batch)
		}
	}
}

// newStart returns the message for a start order, and false if the run ended meanwhile.
func newStart(order scheduler.Order) (session.Start, bool) {
	task := order.Job.Task(order.Name)
	if task == nil || task.Run != order.Run || task.Phase != workflow.Active || order.Job.State.Final() {
		return session.Start{}, false
	}
	step := order.Job.Spec.Steps[order.Name.Step]
	return session.Start{
		Incarnation: string(order.Worker), Task: order.Name.String(), Run: order.Run, Payload: order.Job.Spec.Payload,
		Saved: task.Saved, Reserved: step.Reserved(), Fills: step.Fills, CPU: step.Need.CPU, Target: step.Target, Image: step.Image,
	}, true
}

// IsErrOverrun reports whether err is or wraps an ErrOverrun.
func IsErrOverrun(err error) bool { return errors.As(err, new(ErrOverrun)) }
