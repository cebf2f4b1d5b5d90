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

// maxDecisionsPerJob bounds the decisions stored per job, maxExplainedJobs the jobs that have any.
const (
	maxDecisionsPerJob = 8
	maxExplainedJobs   = 1000
)

// decisionLog stores the newest placement decisions of each job for operators. It belongs to the
// control goroutine.
type decisionLog struct {
	lines map[ident.Job][]string
}

func newDecisionLog() *decisionLog {
	return &decisionLog{lines: map[ident.Job][]string{}}
}

// add stores a decision. If too many jobs have decisions, it removes those of an arbitrary other
// job.
func (log *decisionLog) add(decision placement.Decision) {
	name := decision.Task.Job
	if _, ok := log.lines[name]; !ok && len(log.lines) >= maxExplainedJobs {
		for other := range log.lines {
			delete(log.lines, other)
			break
		}
	}
	line := fmt.Sprintf("%s %s epoch %d on %s (%s, %d considered): %s", decision.Kind, decision.Task, decision.Epoch,
		decision.Worker, decision.Size, decision.Considered, decision.Reason)
	lines := append([]string{line}, log.lines[name]...)
	log.lines[name] = lines[:min(len(lines), maxDecisionsPerJob)]
}

// Explain returns why the tasks of a job homed here run or do not run.
func (entry *Entry) Explain(_ context.Context, request *controlpb.ExplainRequest) (*controlpb.ExplainReply, error) {
	reply := &controlpb.ExplainReply{}
	entry.control.Call(func() {
		name := ident.Job(request.GetJob())
		explanation, ok := entry.scheduler.Explain(name)
		if !ok {
			return
		}
		reply.Known = true
		reply.Reason, reply.WaitedMillis, reply.Late = explanation.Reason, int64(explanation.Waited), explanation.Late
		reply.Decisions = entry.decisions.lines[name]
		spec, _, _ := entry.scheduler.Spec(ident.Task{Job: name})
		reply.Size = controlpb.FromResources(entry.models.Size(name, spec.Class, spec.Declared))
		if floor := entry.models.sizes.Floor(name, spec.Class); floor > 0 {
			line := fmt.Sprintf("a task ran out of memory; the next ones are placed with at least %d MiB", floor)
			reply.Decisions = append([]string{line}, reply.Decisions...)
		}
	})
	return reply, nil
}

// explainAtHome asks the job's home entry, which may be this one, for an explanation.
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
		remote, err := client.Explain(ctx, request)
		if err != nil {
			klog.V(1).InfoS("Home of job did not answer", "Job", spec.Job, "Entry", home.ID, "Reason", err.Error())
			return reply
		}
		reply = remote
	}
	return reply
}
