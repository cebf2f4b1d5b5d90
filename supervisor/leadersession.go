package supervisor

import (
	"context"
	"reflect"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/session"
)

// Timeouts and limits of the session with the leader.
const (
	// reportInterval is how often a report is sent. Each one renews the lease, so the worker keeps its runs if the
	// leader does not answer for up to the length of the lease minus reportInterval.
	reportInterval = session.ReportInterval
	// progressInterval is the shortest time between two reports of the progress of all runs: that of a sample of the
	// worker. The reports of reportInterval have it, those of an end only if it has passed.
	progressInterval = 500 * clock.Millisecond
	// sessionTimeout is the time without orders after which a session is ended: more than three report intervals.
	sessionTimeout = 2000 * clock.Millisecond
	// openTimeout limits the opening of a session. An attempt to connect to a machine that is down gets no answer.
	openTimeout = 600 * clock.Millisecond
	// findRetryInterval is the time between two attempts to find the leader.
	findRetryInterval = 80 * clock.Millisecond
)

// Directory returns the addresses of entries that may be the leader.
type Directory interface {
	// NextEntry returns the address of an entry that may be the leader. The parameter redirect is the address that the
	// last entry referred to, or empty.
	NextEntry(ctx context.Context, redirect string) (string, error)
	// LeaderAfter returns the address of the leader of a later term than the given one, and false if no entry reports one.
	LeaderAfter(ctx context.Context, term int64) (string, bool)
	// EndWorker reports that a worker has ended, first to the leader if its address is known. It returns whether a leader
	// has stored that, and an error if no entry keeps the report.
	EndWorker(ctx context.Context, leader string, end *session.WorkerEnd) (bool, error)
}

// sessionState is the state of the session with the leader. It may be accessed only on the control loop.
type sessionState struct {
	// startedAt is when the session was opened.
	startedAt clock.Time
	// leader is the address of the leader after its first orders, or empty.
	leader string
	// hasListing reports that the worker answered a listing that was requested during the session.
	hasListing bool
	// sequence is the number of the last report.
	sequence uint64
	// sentAt holds the times at which the last report that the leader received and all later ones were sent, by sequence.
	sentAt map[uint64]clock.Time
	// reportedWorker is the last profile of the worker that was reported.
	reportedWorker *session.Worker
	// lapseSequence is the number of the last report that said that the worker has lapsed, or 0.
	lapseSequence uint64
	// reportedIncarnation is the last incarnation that was reported.
	reportedIncarnation string
	// reportedEnd is the number of the last end that was reported.
	reportedEnd        int64
	progressReportedAt clock.Time
}

// Follow keeps a session with the leader until the supervisor is closed. It does not block.
func (supervisor *Supervisor) Follow(directory Directory) {
	supervisor.loop.Call(func() { supervisor.directory = directory })
	supervisor.background(func() {
		redirect := ""
		for supervisor.baseContext.Err() == nil {
			address, err := directory.NextEntry(supervisor.baseContext, redirect)
			if err != nil {
				klog.InfoS("No entry found", "Reason", err.Error())
				redirect = ""
				supervisor.sleep(findRetryInterval)
				continue
			}
			redirect = supervisor.runSession(directory, address)
			if redirect == "" {
				supervisor.sleep(findRetryInterval)
			}
		}
	})
}

// runSession runs a session with the entry at the address until it ends. It returns the address that the entry
// redirects to, or an empty string.
func (supervisor *Supervisor) runSession(directory Directory, address string) string {
	client, err := session.Dial(address)
	if err != nil {
		klog.ErrorS(err, "Session not opened")
		return ""
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithCancel(supervisor.baseContext)
	defer cancel()
	stream, err := supervisor.openStream(ctx, cancel, client)
	if err != nil {
		klog.InfoS("Session not opened", "Address", address, "Reason", err.Error())
		return ""
	}
	supervisor.loop.Call(supervisor.beginSession)
	incoming := make(chan *session.Orders)
	supervisor.background(func() {
		defer close(incoming)
		for {
			orders, err := stream.Receive()
			if err != nil {
				return
			}
			select {
			case incoming <- orders:
			case <-ctx.Done():
				return
			}
		}
	})
	return supervisor.exchange(ctx, directory, address, stream, incoming)
}

// beginSession discards what an earlier session reported.
func (supervisor *Supervisor) beginSession() {
	supervisor.session = sessionState{startedAt: supervisor.clocks.Boot.Now(), sentAt: map[uint64]clock.Time{}}
}

// isResponsive reports whether the leader may place runs on the worker. A leader that has just taken over places
// many tasks at once and knows nothing of earlier failures, so the first unanswered listing counts until the
// worker has answered one in this session.
func (supervisor *Supervisor) isResponsive(worker *workerState) bool {
	if worker.successor != nil || worker.awaitsLapse() {
		return false
	}
	if !supervisor.session.hasListing {
		return worker.unansweredListings == 0
	}
	return worker.unansweredListings < unresponsiveListings
}

// openStream opens the stream of a session. It calls cancel if that takes longer than openTimeout.
func (supervisor *Supervisor) openStream(ctx context.Context, cancel func(), client *session.Client) (*session.AgentStream, error) {
	opened := make(chan struct{})
	defer close(opened)
	supervisor.background(func() {
		select {
		case <-supervisor.clocks.Boot.After(openTimeout):
			cancel()
		case <-opened:
		}
	})
	return client.Attend(ctx)
}

// exchange sends reports and applies orders until the session ends or times out. It returns the address of
// another leader, or an empty string.
func (supervisor *Supervisor) exchange(ctx context.Context, directory Directory, address string,
	stream *session.AgentStream, incoming <-chan *session.Orders,
) string {
	lastOrdersAt := supervisor.clocks.Boot.Now()
	reportTimer := supervisor.clocks.Boot.After(0)
	term := int64(0)
	laterLeaders := make(chan string, 1)
	searching := false
	for {
		select {
		case <-ctx.Done():
			return ""
		case orders, ok := <-incoming:
			if !ok {
				return ""
			}
			if orders.Term == 0 {
				return orders.Redirect
			}
			lastOrdersAt = supervisor.clocks.Boot.Now()
			accepted := false
			supervisor.loop.Call(func() { accepted = supervisor.acceptOrders(orders) })
			if !accepted {
				klog.InfoS("Orders of an earlier leader refused", "Address", address, "Term", orders.Term)
				return ""
			}
			if orders.LeaderLeaseEnded && !searching {
				searching = true
				supervisor.background(func() { laterLeaders <- supervisor.findLaterLeader(ctx, directory, orders.Term) })
			}
			if term == 0 {
				term = orders.Term
				supervisor.loop.Call(func() { supervisor.session.leader = address })
				klog.InfoS("Attached to the leader", "Address", address, "Term", term)
			}
			continue
		case leader := <-laterLeaders:
			if leader != "" {
				klog.InfoS("A later leader is known", "Address", leader, "Term", term)
				return leader
			}
			searching = false
			continue
		case <-reportTimer:
			reportTimer = supervisor.clocks.Boot.After(reportInterval)
		case <-supervisor.reportRequests:
		}
		if supervisor.clocks.Boot.Now().Sub(lastOrdersAt) > sessionTimeout {
			klog.InfoS("Leader is unresponsive", "Address", address, "Term", term)
			return ""
		}
		var report *session.Report
		supervisor.loop.Call(func() { report = supervisor.nextReport() })
		if report == nil {
			return ""
		}
		if err := stream.Send(report); err != nil {
			klog.InfoS("Session ended", "Address", address, "Reason", err.Error())
			return ""
		}
	}
}

// findLaterLeader asks other entries for the leader of a later term and returns its address, or an empty string
// after a pause if there is none.
func (supervisor *Supervisor) findLaterLeader(ctx context.Context, directory Directory, term int64) string {
	leader, ok := directory.LeaderAfter(ctx, term)
	if !ok {
		supervisor.sleep(findRetryInterval)
		return ""
	}
	return leader
}

// acceptOrders applies orders and extends the grant if they grant a lease. It returns false if they are of an
// earlier term than the last ones.
func (supervisor *Supervisor) acceptOrders(orders *session.Orders) bool {
	if orders.Term < supervisor.grant.term {
		return false
	}
	if orders.Term > supervisor.grant.term {
		supervisor.grant.term = orders.Term
	}
	if supervisor.worker != nil {
		supervisor.observeGrantEnd(supervisor.worker)
	}
	if sentAt, ok := supervisor.session.sentAt[orders.Sequence]; ok && orders.Lease > 0 {
		supervisor.extendGrant(sentAt.Add(orders.Lease))
	}
	for sequence := range supervisor.session.sentAt {
		if sequence < orders.Sequence {
			delete(supervisor.session.sentAt, sequence)
		}
	}
	supervisor.applyOrders(orders)
	return true
}

// extendGrant records that the worker's lease is granted until a time.
func (supervisor *Supervisor) extendGrant(until clock.Time) {
	now := supervisor.clocks.Boot.Now()
	if ended := supervisor.grant.until; ended != 0 && !now.Before(ended) && now.Before(until) {
		waiting := 0
		if supervisor.worker != nil {
			for _, run := range supervisor.worker.runs {
				if run.phase == phaseStarting {
					waiting++
				}
			}
		}
		klog.InfoS("Lease granted after its end", "Term", supervisor.grant.term, "EndedMillis", int64(now.Sub(ended)), "WaitingStarts", waiting)
	}
	supervisor.grant.until = max(supervisor.grant.until, until)
}

// nextReport returns a report with everything that has changed since the last one. The lease is granted from the
// time at which a report is sent.
func (supervisor *Supervisor) nextReport() *session.Report {
	now := supervisor.clocks.Boot.Now()
	state := &supervisor.session
	state.sequence++
	state.sentAt[state.sequence] = now
	report := &session.Report{Sequence: state.sequence, Node: supervisor.node, At: now, Crashes: supervisor.pendingCrashes(now)}
	worker := supervisor.worker
	if worker == nil || worker.clockReadAt == 0 {
		return report
	}
	profile := &session.Worker{
		Incarnation: worker.incarnation, Service: worker.announcement.Service, DataCentre: worker.announcement.DataCentre,
		Labels: worker.announcement.Labels, Capacity: worker.announcement.Capacity, Draining: worker.announcement.Draining,
		Responsive: supervisor.isResponsive(worker), Lapsed: worker.lapsed,
	}
	if state.reportedIncarnation != worker.incarnation {
		state.reportedIncarnation, state.reportedEnd, state.progressReportedAt, state.reportedWorker = worker.incarnation, 0, 0, nil
	}
	if !reflect.DeepEqual(state.reportedWorker, profile) {
		report.Worker, state.reportedWorker = profile, profile
		if profile.Lapsed {
			state.lapseSequence = state.sequence
			worker.endStarts(now)
		}
	}
	for _, end := range worker.listing.Ended {
		if end.Number > state.reportedEnd {
			state.reportedEnd = end.Number
			klog.InfoS("Run ended", "Task", end.Task, "Run", end.Run, "Reason", end.Reason, "Worker", worker.incarnation)
			report.Ends = append(report.Ends, newSessionEnd(end))
		}
	}
	report.Rejections, supervisor.rejections = supervisor.rejections, nil
	if now.Sub(state.progressReportedAt) >= progressInterval && worker.unansweredListings < unresponsiveListings && worker.successor == nil {
		state.progressReportedAt, report.Listed = now, true
		for _, item := range worker.listing.Active {
			report.Progress = append(report.Progress, session.Progress{
				Task: item.Task, Run: item.Run, Saved: item.Saved, Percent: item.Percent, Sample: item.Sample,
				ThrottlePercent: worker.throttlePercent(item),
			})
		}
	}
	return report
}

// newSessionEnd converts an end that the worker lists.
func newSessionEnd(end Ended) session.End {
	return session.End{Number: end.Number, Task: end.Task, Run: end.Run, Cause: end.Cause, Reason: end.Reason, Saved: end.Saved}
}

// throttlePercent returns by how many percent a run is throttled.
func (worker *workerState) throttlePercent(item Active) int {
	run, ok := worker.runs[runKey{item.Task, item.Run}]
	if !ok || run.pacePercent == unknownPacePercent {
		return 0
	}
	return pacing.FullPace - run.pacePercent
}
