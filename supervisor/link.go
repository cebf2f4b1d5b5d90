package supervisor

import (
	"context"
	"reflect"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/session"
)

// Times of the session with the leader.
const (
	// reportInterval is how often the lease is renewed. The lease outlasts a gap of its length less this.
	reportInterval = 400 * clock.Millisecond
	// listInterval is how often the progress of all runs is told: once per figure of the worker.
	listInterval = 500 * clock.Millisecond
	// silence is the time without orders after which a session counts as dead: more than three reports.
	silence = 1500 * clock.Millisecond
	// openTimeout bounds the opening of a session. A machine that is gone does not answer.
	openTimeout = 600 * clock.Millisecond
	// findPause separates attempts to find the leader.
	findPause = 80 * clock.Millisecond
	// sentReports bounds the remembered times of reports.
	sentReports = 32
)

// Directory finds entries.
type Directory interface {
	// Next returns the address of an entry that may lead. Redirect is what the last one said, or empty.
	Next(ctx context.Context, redirect string) (string, error)
	// Later returns the address of the leader of a later term than the given one, if an entry knows it.
	Later(ctx context.Context, term int64) (string, bool)
}

// link is the state of the session with the leader. It belongs to the control loop.
type link struct {
	sequence uint64
	sent     map[uint64]clock.Time
	// profile is what the leader was told of the worker.
	profile *session.Worker
	// introduced is the incarnation that the leader was told of.
	introduced string
	// ends is the number of the last end that was told.
	ends     int64
	listedAt clock.Time
}

// Follow keeps a session with the leader until the agent is closed.
func (agent *Supervisor) Follow(directory Directory) {
	agent.background(func() {
		redirect := ""
		for agent.base.Err() == nil {
			address, err := directory.Next(agent.base, redirect)
			if err != nil {
				klog.InfoS("No entry found", "Reason", err.Error())
				redirect = ""
				agent.pause(findPause)
				continue
			}
			redirect = agent.attend(directory, address)
			if redirect == "" {
				agent.pause(findPause)
			}
		}
	})
}

// attend holds a session with the entry at the address and returns where it redirects to.
func (agent *Supervisor) attend(directory Directory, address string) string {
	client, err := session.Dial(address)
	if err != nil {
		klog.ErrorS(err, "Session not opened")
		return ""
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithCancel(agent.base)
	defer cancel()
	stream, err := agent.open(ctx, cancel, client)
	if err != nil {
		klog.InfoS("Session not opened", "Address", address, "Reason", err.Error())
		return ""
	}
	agent.loop.Call(func() { agent.link = link{sent: map[uint64]clock.Time{}} })
	incoming := make(chan *session.Orders)
	agent.background(func() {
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
	return agent.converse(ctx, directory, address, stream, incoming)
}

// open opens the stream and gives up after openTimeout.
func (agent *Supervisor) open(ctx context.Context, cancel func(), client *session.Client) (*session.AgentStream, error) {
	opened := make(chan struct{})
	defer close(opened)
	agent.background(func() {
		select {
		case <-agent.clock.After(openTimeout):
			cancel()
		case <-opened:
		}
	})
	return client.Attend(ctx)
}

// converse reports and takes orders until the session ends or falls silent.
func (agent *Supervisor) converse(ctx context.Context, directory Directory, address string,
	stream *session.AgentStream, incoming <-chan *session.Orders,
) string {
	heard := agent.clock.Now()
	timer := agent.clock.After(0)
	term := int64(0)
	later := make(chan string, 1)
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
			heard = agent.clock.Now()
			accepted := false
			agent.loop.Call(func() { accepted = agent.accept(orders) })
			if !accepted {
				klog.InfoS("Orders of an earlier leader refused", "Address", address, "Term", orders.Term)
				return ""
			}
			if orders.Doubtful && !searching {
				searching = true
				agent.background(func() { later <- agent.search(ctx, directory, orders.Term) })
			}
			if term == 0 {
				term = orders.Term
				klog.InfoS("Attached to the leader", "Address", address, "Term", term)
			}
			continue
		case found := <-later:
			if found != "" {
				klog.InfoS("A later leader is known", "Address", found, "Term", term)
				return found
			}
			searching = false
			continue
		case <-timer:
			timer = agent.clock.After(reportInterval)
		case <-agent.kick:
		}
		if agent.clock.Now().Sub(heard) > silence {
			klog.InfoS("Leader is silent", "Address", address, "Term", term)
			return ""
		}
		var report *session.Report
		agent.loop.Call(func() { report = agent.report() })
		if report == nil {
			return ""
		}
		if err := stream.Send(report); err != nil {
			klog.InfoS("Session ended", "Address", address, "Reason", err.Error())
			return ""
		}
	}
}

// search asks other entries for a later leader and returns its address, or nothing.
func (agent *Supervisor) search(ctx context.Context, directory Directory, term int64) string {
	found, ok := directory.Later(ctx, term)
	if !ok {
		agent.pause(findPause)
		return ""
	}
	return found
}

// accept takes orders and returns false if a later leader is known.
func (agent *Supervisor) accept(orders *session.Orders) bool {
	if orders.Term < agent.grant.term {
		return false
	}
	if orders.Term > agent.grant.term {
		agent.grant.term = orders.Term
	}
	if sent, ok := agent.link.sent[orders.Sequence]; ok && orders.Lease > 0 {
		agent.grant.until = max(agent.grant.until, sent.Add(orders.Lease))
		for sequence := range agent.link.sent {
			if sequence < orders.Sequence {
				delete(agent.link.sent, sequence)
			}
		}
	}
	agent.obey(orders)
	return true
}

// report returns what the leader has not been told.
func (agent *Supervisor) report() *session.Report {
	now := agent.clock.Now()
	told := &agent.link
	told.sequence++
	if len(told.sent) < sentReports {
		told.sent[told.sequence] = now
	}
	report := &session.Report{Sequence: told.sequence, Node: agent.node}
	present := agent.life
	if present == nil || present.readAt == 0 {
		return report
	}
	profile := &session.Worker{
		Incarnation: present.incarnation, Service: present.said.Service, DataCentre: present.said.DataCentre,
		Labels: present.said.Labels, Capacity: present.said.Capacity, Draining: present.said.Draining,
		Answering: present.silent < silentAfter, Lapsed: present.lapsed,
	}
	if told.introduced != present.incarnation {
		told.introduced, told.ends, told.listedAt, told.profile = present.incarnation, 0, 0, nil
	}
	if !reflect.DeepEqual(told.profile, profile) {
		report.Worker, told.profile = profile, profile
	}
	for _, ended := range present.listing.Ended {
		if ended.Number > told.ends {
			told.ends = ended.Number
			report.Ends = append(report.Ends, session.End{
				Number: ended.Number, Task: ended.Task, Run: ended.Run, Cause: ended.Cause, Reason: ended.Reason, Saved: ended.Saved,
			})
		}
	}
	report.Rejections, agent.rejections = agent.rejections, nil
	if now.Sub(told.listedAt) >= listInterval && present.silent < silentAfter {
		told.listedAt, report.Listed = now, true
		for _, item := range present.listing.Active {
			report.Progress = append(report.Progress, session.Progress{
				Task: item.Task, Run: item.Run, Saved: item.Saved, Percent: item.Percent, Sample: item.Sample,
				Slowed: present.slowed(item),
			})
		}
	}
	return report
}

// slowed returns by how many percent a run is slowed down.
func (present *life) slowed(item Active) int {
	known, ok := present.runs[runKey{item.Task, item.Run}]
	if !ok || known.paced == unknownPace {
		return 0
	}
	return pacing.FullPace - known.paced
}
