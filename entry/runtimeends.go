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

// maxConsultations bounds the attempts without an answer to learn the ends of tasks from the runtime
// of a worker whose agent is silent. After them the tasks are placed again, because a worker that does
// not answer has failed as a whole. A worker that answers is asked again until it runs no task.
const maxConsultations = 3

// maxReports bounds the attempts, one a second, to have the ends of tasks recorded before their
// incarnation is declared over. An entry that becomes home of a job reads its row within a minute.
const maxReports = 120

// consultRuntime asks the runtime of a worker whose agent's lease has lapsed how the tasks ended, and
// reports the ends in the agent's place. Without this, a task that finished while its agent was
// paused or dead would run again. It returns true once the incarnation may be declared over.
func (entry *Entry) consultRuntime(name ident.Worker) bool {
	known, ok := entry.grantOf(name)
	if !ok {
		return false
	}
	if known.runtime == "" || entry.runtimes == nil || known.unanswered >= maxConsultations {
		return true
	}
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	report, err := entry.runtimes(known.runtime, name).List(ctx)
	if err != nil {
		klog.InfoS("Runtime of a silent worker has no answer", "Worker", name, "Attempt", known.unanswered+1, "Reason", err.Error())
		entry.changeGrant(name, func(known *grant) { known.unanswered++ })
		return false
	}
	for _, status := range report.Tasks {
		if status.State == worker.Running {
			klog.InfoS("Silent worker still runs a task", "Worker", name, "Task", status.Task.String(), "Epoch", status.Epoch)
			return false
		}
	}
	if entry.reportFor(ctx, name, known.incarnation, report.Tasks) {
		return true
	}
	entry.changeGrant(name, func(known *grant) { known.reports++ })
	return known.reports >= maxReports
}

// grantOf returns a copy of the grant, or false if the worker has another granter now.
func (entry *Entry) grantOf(name ident.Worker) (grant, bool) {
	var copied grant
	found := entry.changeGrant(name, func(known *grant) { copied = *known })
	return copied, found
}

// changeGrant applies change to the grant on the control goroutine and reports whether there is one.
func (entry *Entry) changeGrant(name ident.Worker, change func(known *grant)) bool {
	found := false
	entry.control.Call(func() {
		if known := entry.grants[name]; known != nil {
			change(known)
			found = true
		}
	})
	return found
}

// reportFor reports ended tasks to the homes of their jobs and returns true if all ends are recorded
// in the table. A home that has not read the job's row yet drops the report.
func (entry *Entry) reportFor(ctx context.Context, name ident.Worker, incarnation ident.Incarnation, ended []worker.Status) bool {
	remote := map[string][]*controlpb.TaskStatus{}
	recorded := 0
	entry.control.Call(func() {
		live := entry.entries.Live(entry.time.Now())
		for _, status := range ended {
			if known, ok := entry.recorded[status.Task]; ok && known.epoch >= status.Epoch {
				recorded++
				continue
			}
			home, ok := membership.JobHome(status.Task.Job, entry.settings.Region, live).Get()
			if !ok || home.ID == entry.settings.ID {
				entry.countEnd(name, status, entry.time.Now())
				entry.knowJob(status)
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
