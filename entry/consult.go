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

// maxConsultations bounds the attempts to learn the ends of tasks from the runtime of a worker whose
// agent is silent. After them the tasks are placed again, because a worker that does not answer has
// failed as a whole.
const maxConsultations = 3

// consultRuntime asks the runtime of a worker whose agent's lease has lapsed how the tasks ended, and
// reports the ends in the agent's place. Without this, a task that finished while its agent was
// paused or dead would run again. It returns true once the incarnation may be declared over.
func (entry *Entry) consultRuntime(name ident.Worker) bool {
	known, ok := entry.grantOf(name)
	if !ok {
		return false
	}
	if known.runtime == "" || entry.runtimes == nil || known.consulted > maxConsultations {
		return true
	}
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	report, err := entry.runtimes(known.runtime, name).List(ctx)
	if err != nil {
		klog.InfoS("Runtime of a silent worker has no answer", "Worker", name, "Attempt", known.consulted, "Reason", err.Error())
		return false
	}
	for _, status := range report.Tasks {
		if status.State == worker.Running {
			klog.InfoS("Silent worker still runs a task", "Worker", name, "Task", status.Task.String(), "Epoch", status.Epoch)
			return false
		}
	}
	return entry.reportFor(ctx, name, known.incarnation, report.Tasks)
}

// grantOf returns a copy of the grant and counts the consultation. It returns false if the worker has
// another granter now.
func (entry *Entry) grantOf(name ident.Worker) (grant, bool) {
	var copied grant
	found := false
	entry.control.Call(func() {
		if known := entry.grants[name]; known != nil {
			known.consulted++
			copied, found = *known, true
		}
	})
	return copied, found
}

// reportFor reports ended tasks to the homes of their jobs and returns true if all have them.
func (entry *Entry) reportFor(ctx context.Context, name ident.Worker, incarnation ident.Incarnation, ended []worker.Status) bool {
	remote := map[string][]*controlpb.TaskStatus{}
	entry.control.Call(func() {
		live := entry.entries.Live(entry.time.Now())
		for _, status := range ended {
			home, ok := membership.JobHome(status.Task.Job, entry.settings.Region, live).Get()
			if !ok || home.ID == entry.settings.ID {
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
		if _, err := client.Report(ctx, request); err != nil {
			klog.InfoS("Ends of tasks were not reported", "Worker", name, "Entry", address, "Reason", err.Error())
			return false
		}
	}
	return true
}
