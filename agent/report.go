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

// reportInterval is how often an end that is not yet recorded in the table is reported again.
const reportInterval = clock.Second

// report tells the home entries of the jobs which tasks ended, until they are recorded.
func (agent *Agent) report() {
	batches := map[string][]*controlpb.TaskStatus{}
	var incarnation ident.Incarnation
	agent.control.Call(func() {
		incarnation = agent.incarnation
		for name, status := range agent.ended {
			if address := agent.jobHome(name.Job); address != "" {
				batches[address] = append(batches[address], controlpb.FromStatus(status))
			}
		}
	})
	// An entry holds its reply until the ends are recorded, so the others are asked at the same time.
	var running sync.WaitGroup
	for _, address := range set.SortedKeys(batches) {
		running.Go(func() { agent.sendReport(address, incarnation, batches[address]) })
	}
	running.Wait()
}

func (agent *Agent) sendReport(address string, incarnation ident.Incarnation, batch []*controlpb.TaskStatus) {
	client, err := agent.entries.Entry(address)
	if err != nil {
		klog.ErrorS(err, "Report was not sent", "Entry", address)
		return
	}
	ctx, cancel := agent.call()
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
		if !agent.forget(name, epoch) {
			// The others are answered again. Waiting for each of them would hold up the next reports.
			return
		}
	}
}

// forget drops an ended task from the worker's records and from the ledger. It returns false if the
// worker did not confirm it.
func (agent *Agent) forget(name ident.Task, epoch ident.Epoch) bool {
	ctx, cancel := agent.workerCall()
	defer cancel()
	if err := agent.runtime.Forget(ctx, name, epoch); err != nil && !worker.IsErrNoSuchTask(err) && !worker.IsErrStaleEpoch(err) {
		klog.ErrorS(err, "Worker did not forget an ended task", "Task", name.String(), "Epoch", epoch)
		return false
	}
	agent.control.Call(func() {
		agent.ledger.Forget(name, epoch)
		if have, ok := agent.ended[name]; ok && have.Epoch <= epoch {
			delete(agent.ended, name)
		}
	})
	return true
}
