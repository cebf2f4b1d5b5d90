package agent

import (
	"sync"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/worker"
)

// reportInterval is the interval at which unrecorded ends of tasks are reported again.
const reportInterval = clock.Second

// report sends the ends of tasks to their jobs' home entries until these confirm that they are
// recorded.
func (agent *Agent) report() {
	batches := map[string][]*controlpb.TaskStatus{}
	var incarnation ident.Incarnation
	agent.control.Call(func() {
		incarnation = agent.incarnation
		for name, status := range agent.unrecorded {
			if address := agent.jobHome(name.Job); address != "" {
				batches[address] = append(batches[address], controlpb.FromStatus(status))
			}
		}
	})
	// An entry delays its reply until the ends are recorded, so the entries are called
	// concurrently.
	var calls sync.WaitGroup
	for _, address := range set.SortedKeys(batches) {
		calls.Go(func() { agent.sendReport(address, incarnation, batches[address]) })
	}
	calls.Wait()
}

func (agent *Agent) sendReport(address string, incarnation ident.Incarnation, batch []*controlpb.TaskStatus) {
	client, err := agent.entries.Entry(address)
	if err != nil {
		klog.ErrorS(err, "Report was not sent", "Entry", address)
		return
	}
	ctx, cancel := agent.callContext()
	defer cancel()
	reply, err := client.Report(ctx, &controlpb.ReportRequest{
		Worker: string(agent.settings.Worker), Incarnation: uint64(incarnation), Ended: batch,
	})
	if err != nil {
		klog.ErrorS(err, "Report had no answer", "Entry", address)
		agent.entries.Discard(address)
		return
	}
	for _, ref := range reply.Recorded {
		name, epoch := controlpb.ToTask(ref)
		if !agent.removeEnded(name, epoch) {
			// The next report repeats the remaining tasks. Waiting for the worker's timeout for
			// each of them would delay other reports.
			return
		}
	}
}

// removeEnded removes a recorded task from the worker's records and from the ledger. It returns
// false if the worker did not confirm the removal.
func (agent *Agent) removeEnded(name ident.Task, epoch ident.Epoch) bool {
	ctx, cancel := agent.workerCallContext()
	defer cancel()
	if err := agent.runtime.Forget(ctx, name, epoch); err != nil && !worker.IsErrNoSuchTask(err) && !worker.IsErrStaleEpoch(err) {
		klog.ErrorS(err, "Worker did not forget an ended task", "Task", name.String(), "Epoch", epoch)
		return false
	}
	agent.control.Call(func() {
		agent.ledger.RemoveEnded(name, epoch)
		if status, ok := agent.unrecorded[name]; ok && status.Epoch <= epoch {
			delete(agent.unrecorded, name)
		}
	})
	return true
}
