package supervisor

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/loop"
	"hyssopjunction/pacing"
	"hyssopjunction/session"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// Times and bounds of the agent.
const (
	// holdWait is how long the worker waits for an end. It bounds the age of the figures that pace
	// filling tasks, which are of half a second.
	holdWait = 400 * clock.Millisecond
	// callTimeout bounds an order to the worker.
	callTimeout = 500 * clock.Millisecond
	// holdGrace bounds a listing beyond its own waiting.
	holdGrace = 200 * clock.Millisecond
	// firstTimeout bounds the first attempt of an order; it doubles with each one that was not answered. The
	// worker is on the same machine and answers within a few milliseconds, six times as many on slow machines.
	// Orders that get no answer are carried out up to 12 s later, so they are repeated early.
	firstTimeout = 120 * clock.Millisecond
	// callRetry separates attempts that were answered or could not be made.
	callRetry = 150 * clock.Millisecond
	// holdPause keeps listings without news from following each other at once.
	holdPause = 60 * clock.Millisecond
	// calls bounds the orders that are carried out at the same time.
	calls = 6
	// startAttempts is how often a worker may answer that it did nothing before the run goes elsewhere.
	startAttempts = 3
	// startAge is how long an order to start is good for. It is given up after that, and the leader decides
	// anew: the worker may be draining (starts must end 2 s after that) or its data centre be out (5 s).
	startAge = 1800 * clock.Millisecond
	// silentAfter is the number of listings without an answer after which the worker gets no new runs and
	// its lease is not extended: any unanswered call may have been carried out.
	silentAfter = 3
	// goneAfter is how long nothing must listen at the worker's address: four listings.
	goneAfter = 250 * clock.Millisecond
)

// Supervisor is the agent of one worker. Create it with New.
type Supervisor struct {
	node    string
	clock   clock.Clock
	runtime Runtime
	lease   clock.Millis
	impact  clock.Millis
	loop    *loop.Loop
	base    context.Context
	end     context.CancelFunc
	tasks   sync.WaitGroup
	slots   chan struct{}
	kick    chan struct{}

	// The rest belongs to the control loop.
	life  *life
	grant grant
	// rejections wait for the next report.
	rejections []session.Rejection
	link       link
}

// grant is the permission to extend the worker's lease.
type grant struct {
	until clock.Time
	term  int64
}

// life is the worker as the agent knows it.
type life struct {
	said        Announcement
	incarnation string
	governor    *pacing.Governor
	runs        map[runKey]*run
	// clock is the worker's clock at the time read.
	clock  WorkerTime
	readAt clock.Time
	// held is the time of the last call that may have extended the lease.
	held clock.Time
	// silent counts listings without an answer.
	silent int
	lapsed bool
	// goneSince is the time from which nothing listened at the worker's address, or 0.
	goneSince clock.Time
	// recorded is the number of the last end that is stored.
	recorded int64
	weights  map[[2]pacing.Image]float64
	listing  Listing
}

// phase is the progress of an order at the worker.
type phase int

const (
	// starting runs are being ordered.
	starting phase = iota
	// started runs were confirmed or are listed.
	started
	// stopping runs are being stopped.
	stopping
	// stopped runs were confirmed to be stopped, or to be refused from now on.
	stopped
)

// unknownPace stands for the pace of a run that another process of the agent may have set.
const unknownPace = -1

// runKey names a run.
type runKey struct {
	task   string
	number workflow.Run
}

// run is an order of the leader.
type run struct {
	order session.Start
	phase phase
	// confirmedAt is when the worker confirmed the start or the stop.
	confirmedAt clock.Time
	// orderedAt is when the order to start arrived.
	orderedAt clock.Time
	// reason is why the run was given up.
	reason string
	// paced is the pace that was set last, in percent, or unknownPace.
	paced int
	// busy reports that a call about the run is under way, or waits to be repeated.
	busy bool
	// welcomed reports that the pace was decided after the start.
	welcomed bool
	// attempts counts the starts that the worker answered without doing anything.
	attempts int
	// described is false for runs that were listed but not ordered in this process.
	described bool
}

// New starts the agent of the node until Close. The lease is the longest that the worker accepts, and
// impact how long the target of a serving task may be exceeded through filling ones.
func New(source clock.Clock, runtime Runtime, node string, lease, impact clock.Millis) *Supervisor {
	base, end := context.WithCancel(context.Background())
	agent := &Supervisor{
		node: node, clock: source, runtime: runtime, lease: lease, impact: impact, loop: loop.New(), base: base, end: end,
		slots: make(chan struct{}, calls), kick: make(chan struct{}, 1),
	}
	agent.background(agent.hold)
	return agent
}

func (agent *Supervisor) background(work func()) {
	agent.tasks.Add(1)
	go func() {
		defer agent.tasks.Done()
		work()
	}()
}

// Close ends the agent. The worker keeps its tasks until its lease ends.
func (agent *Supervisor) Close() {
	agent.end()
	agent.tasks.Wait()
	agent.loop.Close()
}

// Announce takes what the worker says of itself. It returns false for a life that is over.
func (agent *Supervisor) Announce(said Announcement) bool {
	accepted := false
	agent.loop.Call(func() { accepted = agent.announce(said) })
	return accepted
}

func (agent *Supervisor) announce(said Announcement) bool {
	present := agent.life
	if present != nil && said.Incarnation == present.said.Incarnation {
		if said.Sequence <= present.said.Sequence {
			return true // A repeated or overtaken statement says nothing new.
		}
		if said.Draining != present.said.Draining {
			klog.InfoS("Worker state", "Worker", present.incarnation, "Draining", said.Draining, "RemainingMillis", int64(said.Remaining))
			agent.wake()
		}
		if present.said.Draining {
			said.Draining = true
		}
		present.said = said
		return true
	}
	if present != nil && said.Incarnation.Born <= present.said.Incarnation.Born {
		klog.InfoS("Statement of an earlier life ignored", "ID", said.Incarnation.ID, "Born", said.Incarnation.Born)
		return false
	}
	agent.life = &life{
		said: said, incarnation: fmt.Sprintf("%s@%d@%s", said.Incarnation.ID, said.Incarnation.Born, agent.node),
		governor: pacing.NewGovernor(agent.impact), runs: map[runKey]*run{},
	}
	klog.InfoS("Worker announced", "Worker", agent.life.incarnation, "Service", said.Service, "CPU", int64(said.Capacity.CPU), "Labels", said.Labels)
	agent.wake()
	return true
}

// Leave records that the worker with the id ends.
func (agent *Supervisor) Leave(id string) {
	agent.loop.Call(func() {
		if agent.life != nil && agent.life.said.Incarnation.ID == id {
			klog.InfoS("Worker leaves", "Worker", agent.life.incarnation)
			agent.life.said.Draining = true
			agent.wake()
		}
	})
}

// wake lets the session send a report at once.
func (agent *Supervisor) wake() {
	select {
	case agent.kick <- struct{}{}:
	default:
	}
}

// hold extends the worker's lease and lists its runs, one call after the other.
func (agent *Supervisor) hold() {
	for agent.base.Err() == nil {
		var present *life
		var call HoldCall
		agent.loop.Call(func() { present, call = agent.nextHold() })
		if present == nil {
			agent.pause(holdPause)
			continue
		}
		sent := agent.clock.Now()
		ctx, cancel := context.WithTimeout(agent.base, (call.Wait + holdGrace).Duration())
		listing, err := agent.runtime.Hold(ctx, call)
		cancel()
		news := false
		agent.loop.Call(func() { news = agent.listed(present, listing, sent, err) })
		if !news {
			agent.pause(holdPause)
		}
	}
}

func (agent *Supervisor) pause(millis clock.Millis) {
	select {
	case <-agent.clock.After(millis):
	case <-agent.base.Done():
	}
}

func (agent *Supervisor) nextHold() (*life, HoldCall) {
	present := agent.life
	if present == nil {
		return nil, HoldCall{}
	}
	call := HoldCall{Incarnation: present.said.Incarnation, Token: agent.grant.term, Seen: present.recorded, Wait: holdWait}
	if present.readAt == 0 {
		call.Wait = 0 // The first call only reads the clock and what runs.
	}
	if present.silent < silentAfter {
		call.Deadline = agent.deadline(present)
	}
	if call.Deadline > 0 {
		present.held = agent.clock.Now()
	}
	return present, call
}

// deadline returns the end of the granted lease on the worker's clock, or 0 if there is none. The
// clock was read before the answer arrived, so the result is never too late.
func (agent *Supervisor) deadline(present *life) WorkerTime {
	now := agent.clock.Now()
	if present.readAt == 0 || !now.Before(agent.grant.until) {
		return 0
	}
	return present.clock + WorkerTime(agent.grant.until.Sub(present.readAt))
}

// listed takes the answer to a hold and returns whether it had news.
func (agent *Supervisor) listed(present *life, listing Listing, sent clock.Time, err error) bool {
	if agent.life != present {
		return false
	}
	now := agent.clock.Now()
	if err != nil {
		present.silent++
		if present.silent == silentAfter {
			klog.ErrorS(err, "Worker does not answer", "Worker", present.incarnation)
			agent.wake()
		}
		if present.isGone(err, now) && !present.lapsed {
			klog.InfoS("Worker is gone", "Worker", present.incarnation, "Reason", err.Error())
			present.lapsed = true
			agent.wake()
		}
		if IsErrOtherIncarnation(err) && !present.lapsed {
			klog.InfoS("Worker has another life", "Worker", present.incarnation)
			present.lapsed = true
			agent.wake()
		}
		if !present.lapsed && present.held != 0 && now.Sub(present.held) > election.WorkerTerm(agent.lease) {
			klog.InfoS("Worker lapsed", "Worker", present.incarnation)
			present.lapsed = true
			agent.wake()
		}
		return false
	}
	if listing.Born != 0 && listing.Born != present.said.Incarnation.Born {
		present.lapsed = true
		agent.wake()
		return false
	}
	if present.silent >= silentAfter || present.lapsed {
		klog.InfoS("Worker answers again", "Worker", present.incarnation)
		present.lapsed = false
		agent.wake()
	}
	present.silent, present.goneSince = 0, 0
	present.clock, present.readAt = listing.Clock, now
	fresh := len(listing.Ended) > 0 && listing.Ended[len(listing.Ended)-1].Number > lastNumber(present.listing.Ended)
	first := len(present.listing.Active)+len(present.listing.Ended) == 0 && len(listing.Active) > 0
	present.listing = listing
	agent.compare(present, sent)
	agent.govern(present)
	if fresh || first {
		agent.wake()
	}
	return fresh || now.Sub(sent) >= holdPause // The worker waited before it answered.
}

// isGone reports whether nothing has listened at the worker's address for a while, so that nothing runs
// there: what a process ran ends with it, and the next one is another life.
func (present *life) isGone(err error, now clock.Time) bool {
	switch {
	case !IsErrNotListening(err):
		present.goneSince = 0
	case present.goneSince == 0:
		present.goneSince = now
	}
	return present.goneSince != 0 && now.Sub(present.goneSince) >= goneAfter
}

// compare settles the orders by what the worker listed in answer to a call sent at the time.
func (agent *Supervisor) compare(present *life, sent clock.Time) {
	active := map[runKey]struct{}{}
	for _, item := range present.listing.Active {
		key := runKey{item.Task, item.Run}
		active[key] = struct{}{}
		known, ok := present.runs[key]
		if !ok {
			present.runs[key] = &run{order: session.Start{Task: item.Task, Run: item.Run}, phase: started, paced: unknownPace}
			continue
		}
		if known.phase == starting {
			known.phase, known.confirmedAt = started, sent
		}
	}
	for _, item := range present.listing.Ended {
		delete(present.runs, runKey{item.Task, item.Run})
	}
	for key, known := range present.runs {
		if _, ok := active[key]; ok {
			continue
		}
		settled := known.confirmedAt != 0 && known.confirmedAt.Before(sent)
		switch {
		case known.phase == started && !known.described:
			delete(present.runs, key)
		case known.phase == started && settled:
			agent.abandon(present, known, "Vanished")
		case known.phase == stopped && settled:
			// The worker neither runs it nor lists its end, so it never ran and never will.
			delete(present.runs, key)
			agent.rejections = append(agent.rejections, session.Rejection{
				Incarnation: present.incarnation, Task: key.task, Run: key.number, Reason: known.reason,
			})
			agent.wake()
		}
	}
}

// reserved returns what the runs on the worker reserve.
func (present *life) reserved() unit.Resources {
	var total unit.Resources
	for _, known := range present.runs {
		total = total.Add(known.order.Reserved)
	}
	return total
}

// govern paces filling tasks by the tails of those that serve.
func (agent *Supervisor) govern(present *life) {
	serving, filling := present.samples()
	present.governor.Decide(serving, filling, present.weight, agent.clock.Now())
	agent.repaceAll(present)
}

// welcome paces the filling tasks of a worker anew when one was started, before its figures are known.
func (agent *Supervisor) welcome(present *life) {
	serving, filling := present.samples()
	present.governor.Allocate(serving, filling, present.weight)
	agent.repaceAll(present)
}

func (agent *Supervisor) repaceAll(present *life) {
	for _, known := range present.runs {
		if pace := present.governor.Pace(known.order.Task); known.order.Fills && known.phase == started && known.paced != pace && !known.busy {
			agent.repace(present, known, pace)
		}
	}
}

// samples returns the newest figures of serving tasks, and all filling tasks that were started. Those
// that are not listed yet have used nothing.
func (present *life) samples() ([]pacing.ServingSample, []pacing.FillingSample) {
	var serving []pacing.ServingSample
	used := map[runKey]int64{}
	for _, item := range present.listing.Active {
		key := runKey{item.Task, item.Run}
		used[key] = item.Sample
		if known, ok := present.runs[key]; ok && known.order.Target > 0 {
			serving = append(serving, pacing.ServingSample{
				Task: item.Task, Image: pacing.Image(known.order.Image), Tail: clock.Millis(item.Sample), Target: known.order.Target,
			})
		}
	}
	pacing.PoolTails(serving, stepOf)
	var filling []pacing.FillingSample
	for key, known := range present.runs {
		if known.order.Fills && known.phase == started {
			filling = append(filling, pacing.FillingSample{
				Task: key.task, Image: pacing.Image(known.order.Image), Cores: float64(known.order.CPU) / milli, Used: float64(used[key]) / milli,
			})
		}
	}
	return serving, filling
}

// stepOf returns a task's name without its index.
func stepOf(task string) string { return task[:max(0, strings.LastIndexByte(task, '.'))] }

// milli converts thousandths.
const milli = 1000

// weight returns what the leader told about a pair of images, or a cautious assumption.
func (present *life) weight(serving, filling pacing.Image) float64 {
	if rise, ok := present.weights[[2]pacing.Image{serving, filling}]; ok {
		return rise
	}
	return pacing.PriorWeight
}

func lastNumber(ends []Ended) int64 {
	if len(ends) == 0 {
		return 0
	}
	return ends[len(ends)-1].Number
}
