package entry

import (
	"context"
	"fmt"

	"k8s.io/klog/v2"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/membership"
	"hyssopjunction/placement"
)

// maxDecisions bounds the decisions kept per job, maxExplained the jobs that have some.
const (
	maxDecisions = 8
	maxExplained = 1000
)

// decisionLog keeps the newest decisions on each job, so that operators can ask for them. It belongs
// to the control goroutine.
type decisionLog struct {
	lines map[ident.Job][]string
}

func newDecisionLog() *decisionLog {
	return &decisionLog{lines: map[ident.Job][]string{}}
}

// add keeps a decision. When too many jobs have some, an arbitrary one is dropped.
func (log *decisionLog) add(decision placement.Decision) {
	name := decision.Task.Job
	if _, ok := log.lines[name]; !ok && len(log.lines) >= maxExplained {
		for other := range log.lines {
			delete(log.lines, other)
			break
		}
	}
	line := fmt.Sprintf("%s %s epoch %d on %s (%s, %d considered): %s", decision.Kind, decision.Task, decision.Epoch,
		decision.Worker, decision.Size, decision.Considered, decision.Reason)
	kept := append([]string{line}, log.lines[name]...)
	log.lines[name] = kept[:min(len(kept), maxDecisions)]
}

// Explain tells why the tasks of a job homed here run or do not run.
func (entry *Entry) Explain(_ context.Context, request *controlpb.ExplainRequest) (*controlpb.ExplainReply, error) {
	reply := &controlpb.ExplainReply{}
	entry.control.Call(func() {
		name := ident.Job(request.GetJob())
		known, ok := entry.scheduler.Explain(name)
		if !ok {
			return
		}
		reply.Known = true
		reply.Reason, reply.WaitedMillis, reply.Late = known.Reason, int64(known.Waited), known.Late
		reply.Decisions = entry.decisions.lines[name]
		spec, _, _ := entry.scheduler.Spec(ident.Task{Job: name})
		reply.Size = controlpb.FromResources(entry.learned.Size(name, spec.Class, spec.Declared))
		if floor := entry.learned.sizes.Floor(name, spec.Class); floor > 0 {
			line := fmt.Sprintf("a task ran out of memory; the next ones are placed with at least %d MiB", floor)
			reply.Decisions = append([]string{line}, reply.Decisions...)
		}
	})
	return reply, nil
}

// explainAtHome asks the home of the job, which may be this entry.
func (entry *Entry) explainAtHome(ctx context.Context, row *job.Row) *controlpb.ExplainReply {
	spec := row.Spec
	request := &controlpb.ExplainRequest{Job: string(spec.Job)}
	var home membership.Entry
	entry.control.Call(func() {
		home, _ = membership.JobHome(spec.Job, entry.settings.Region, entry.entries.Live(entry.time.Now())).Get()
	})
	ctx, cancel := context.WithTimeout(ctx, entry.settings.CallTimeout.Duration())
	defer cancel()
	reply := &controlpb.ExplainReply{}
	if home.ID == entry.settings.ID {
		reply, _ = entry.Explain(ctx, request)
	} else if client, err := entry.connections.Entry(home.ControlAddress); err == nil {
		answered, err := client.Explain(ctx, request)
		if err != nil {
			klog.V(1).InfoS("Home of job did not explain", "Job", spec.Job, "Entry", home.ID, "Reason", err.Error())
			return reply
		}
		reply = answered
	}
	return reply
}
