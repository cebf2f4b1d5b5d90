package entry

import (
	"context"

	"k8s.io/klog/v2"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/placement"
	"hyssopjunction/set"
	"hyssopjunction/worker"
)

// maxRuntimeAttempts bounds the unanswered attempts to list the tasks of a worker at its runtime
// once its agent is unresponsive. After them the tasks are placed again, because a worker whose
// agent and runtime do not answer has failed as a whole. A worker that answers is asked until it
// runs no task.
const maxRuntimeAttempts = 3

// maxReportAttempts is the number of attempts, one a second, to have the ends of tasks recorded
// before their incarnation is declared over. It covers the minute within which an entry that
// becomes the home of a job reads the job's row.
const maxReportAttempts = 120

// reportEndsFromRuntime asks the runtime of a worker, whose agent's lease has lapsed, for its tasks
// and reports the ended ones in the agent's place. Otherwise a task that finished while its agent
// was paused or dead would run again. It returns true once the incarnation may be declared over.
func (entry *Entry) reportEndsFromRuntime(name ident.Worker) bool {
	grant, ok := entry.copyGrant(name)
	if !ok {
		return false
	}
	if grant.runtime == "" || entry.runtimes == nil || grant.runtimeFailures >= maxRuntimeAttempts {
		return true
	}
	ctx, cancel := entry.callContext(entry.settings.CallTimeout)
	defer cancel()
	report, err := entry.runtimes(grant.runtime, name).List(ctx)
	if err != nil {
		klog.InfoS("Runtime of an unresponsive worker did not answer", "Worker", name, "Attempt", grant.runtimeFailures+1, "Reason", err.Error())
		entry.changeGrant(name, func(grant *workerGrant) { grant.runtimeFailures++ })
		return false
	}
	for _, status := range report.Tasks {
		if status.State == worker.Running {
			klog.InfoS("Unresponsive worker still runs a task", "Worker", name, "Task", status.Task.String(), "Epoch", status.Epoch)
			return false
		}
	}
	if entry.reportEnds(ctx, name, grant.incarnation, report.Tasks) {
		return true
	}
	entry.changeGrant(name, func(grant *workerGrant) { grant.reportAttempts++ })
	return grant.reportAttempts >= maxReportAttempts
}

// copyGrant returns a copy of the worker's grant, or false if another entry is the granter now.
func (entry *Entry) copyGrant(name ident.Worker) (workerGrant, bool) {
	var copied workerGrant
	exists := entry.changeGrant(name, func(grant *workerGrant) { copied = *grant })
	return copied, exists
}

// changeGrant applies change to the worker's grant on the control goroutine and reports whether
// there is one.
func (entry *Entry) changeGrant(name ident.Worker, change func(grant *workerGrant)) bool {
	exists := false
	entry.control.Call(func() {
		if grant := entry.grants[name]; grant != nil {
			change(grant)
			exists = true
		}
	})
	return exists
}

// reportEnds reports ended tasks to the homes of their jobs and returns true if all ends are
// recorded in the table. A home that has not read a job's row yet ignores the report, so it must be
// repeated.
func (entry *Entry) reportEnds(ctx context.Context, name ident.Worker, incarnation ident.Incarnation, ended []worker.Status) bool {
	remote := map[string][]*controlpb.TaskStatus{}
	recorded := 0
	entry.control.Call(func() {
		live := entry.entries.Live(entry.time.Now())
		for _, status := range ended {
			if end, ok := entry.recordedEnds[status.Task]; ok && end.epoch >= status.Epoch {
				recorded++
				continue
			}
			home, ok := membership.JobHome(status.Task.Job, entry.settings.Region, live).Get()
			if !ok || home.ID == entry.settings.ID {
				entry.countEnd(name, status, entry.time.Now())
				entry.loadUnknownJob(status)
				entry.handle(placement.TaskEnded{Worker: name, Status: status})
				continue
			}
			remote[home.ControlAddress] = append(remote[home.ControlAddress], controlpb.FromStatus(status))
		}
	})
	for _, address := range set.SortedKeys(remote) {
		client, err := entry.connections.Entry(address)
		if err != nil {
			return false
		}
		request := &controlpb.ReportRequest{Worker: string(name), Incarnation: uint64(incarnation), Ended: remote[address]}
		reply, err := client.Report(ctx, request)
		if err != nil {
			klog.InfoS("Ends of tasks were not reported", "Worker", name, "Entry", address, "Reason", err.Error())
			return false
		}
		recorded += len(reply.Recorded)
	}
	return recorded == len(ended)
}
