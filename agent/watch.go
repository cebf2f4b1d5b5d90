package agent

import (
	"k8s.io/klog/v2"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// watch reads the worker's list of tasks, records ends, renews the lease on the worker, repeats
// unanswered starts, and stops the tasks when the agent's lease is about to lapse.
func (agent *Agent) watch() {
	ctx, cancel := agent.workerCallContext()
	defer cancel()
	sent := agent.time.Now()
	report, err := agent.runtime.List(ctx)
	if err != nil {
		klog.ErrorS(err, "Worker did not report", "Worker", agent.settings.Worker)
		return
	}
	received := agent.time.Now()
	var unstarted []ident.Task
	var vanished []*stoppingTask
	var expiry worker.Instant
	var renew, lapsing bool
	agent.control.Call(func() {
		agent.holder.SetWorkerClock(sent, received, report.Now)
		unstarted, vanished = agent.applyReport(report, sent, received)
		expiry, renew = agent.holder.WorkerExpiry(agent.time.Now())
		renew = renew && expiry > agent.renewedExpiry && agent.holder.Valid(agent.time.Now())
		lapsing = agent.leaseLapsing(agent.time.Now())
	})
	if renew {
		agent.renew(expiry)
	}
	for _, name := range unstarted {
		// Hanging starts must not delay the next renewal of the lease on the worker.
		agent.spawn(func() { agent.launch(name) })
	}
	agent.stopOnWorker(ctx, vanished, false, "worker has no record of the task")
	if lapsing {
		agent.stopAll("lease is about to lapse")
	}
	agent.updateSlowdown()
}

// applyReport applies the worker's report, which was requested at sent. It returns the tasks to
// start again and the confirmed tasks that the worker no longer lists.
func (agent *Agent) applyReport(report worker.Report, sent, now clock.Time) (unstarted []ident.Task, vanished []*stoppingTask) {
	agent.usage = report.Usage
	agent.loadPercent = usedCPUPercent(report)
	for _, usage := range report.Usage {
		if task := agent.tasks[usage.Task]; task != nil {
			task.peakMemory = max(task.peakMemory, usage.Resources.Memory)
		}
	}
	if !agent.ledger.Ready() {
		agent.rebuild(report, now)
		return nil, nil
	}
	agent.ledger.Resize(report.Capacity)
	agent.ledger.Expire(now)
	listed := make(map[ident.Task]ident.Epoch, len(report.Tasks))
	for _, status := range report.Tasks {
		listed[status.Task] = max(listed[status.Task], status.Epoch)
		if status.State != worker.Running {
			agent.recordEnd(status, now)
		}
	}
	return agent.matchListed(listed, sent, now)
}

// usedCPUPercent returns the CPU usage of all tasks in percent of the worker's capacity.
func usedCPUPercent(report worker.Report) int32 {
	used := unit.MilliCPU(0)
	for _, usage := range report.Usage {
		used += usage.Resources.CPU
	}
	return int32(used * 100 / max(report.Capacity.CPU, 1))
}

// confirm records that the task runs on the worker, if that was not yet confirmed.
func (task *task) confirm(now clock.Time) {
	if !task.confirmed {
		task.confirmed, task.confirmedAt = true, now
	}
}

// matchListed confirms the running tasks that the worker lists; listed maps each task to its epoch.
// It returns the other running tasks: unstarted ones have to be started again, vanished ones were
// confirmed before the list was requested.
func (agent *Agent) matchListed(listed map[ident.Task]ident.Epoch, sent, now clock.Time) (unstarted []ident.Task, vanished []*stoppingTask) {
	inLedger := map[ident.Task]bool{}
	for _, entry := range agent.ledger.Entries() {
		inLedger[entry.Task] = true
		task := agent.tasks[entry.Task]
		if !entry.Running || task == nil {
			continue
		}
		if listed[entry.Task] == entry.Epoch {
			task.confirm(now)
			continue
		}
		switch {
		case task.confirmed && sent.After(task.confirmedAt):
			vanished = append(vanished, &stoppingTask{name: entry.Task, epoch: entry.Epoch, lost: true})
		case !task.starting && !task.confirmed:
			unstarted = append(unstarted, entry.Task)
		}
	}
	for name := range agent.tasks {
		if !inLedger[name] {
			delete(agent.tasks, name)
		}
	}
	return unstarted, vanished
}

// rebuild fills the ledger and the task records from the worker's list.
func (agent *Agent) rebuild(report worker.Report, now clock.Time) {
	var running, ended []capacity.Entry
	for _, status := range report.Tasks {
		entry := capacity.Entry{Task: status.Task, Epoch: status.Epoch, Size: status.Resources}
		if status.State == worker.Running {
			running = append(running, entry)
			agent.tasks[status.Task] = &task{confirmed: true, confirmedAt: now}
			continue
		}
		ended = append(ended, entry)
		agent.unrecorded[status.Task] = status
	}
	agent.ledger.Rebuild(report.Capacity, running, ended, now)
	klog.InfoS("Rebuilt from the worker's list", "Worker", agent.settings.Worker, "Running", len(running), "Ended", len(ended))
	wake(agent.announceNow)
}

// recordEnd records the end of a task, which is then reported to the home entry of its job.
func (agent *Agent) recordEnd(status worker.Status, now clock.Time) {
	if end, ok := agent.unrecorded[status.Task]; ok && end.Epoch >= status.Epoch {
		return
	}
	if !agent.ledger.Ended(status.Task, status.Epoch, now) && !agent.ledger.EndedUnrecorded(status.Task, status.Epoch) {
		return
	}
	if task := agent.tasks[status.Task]; task != nil && task.spec.Epoch == status.Epoch {
		status = task.completeStatus(status, now)
	}
	agent.unrecorded[status.Task] = status
	klog.InfoS("Task ended", "Worker", agent.settings.Worker, "Task", status.Task.String(), "Epoch", status.Epoch,
		"State", status.State, "Reason", status.Reason)
	wake(agent.reportNow)
}

// completeStatus fills in the peak memory and the running time from the agent's own samples if the
// worker did not report them.
func (task *task) completeStatus(status worker.Status, now clock.Time) worker.Status {
	status.Peak = max(status.Peak, task.peakMemory)
	if status.Ran == 0 && task.confirmed {
		status.Ran = now.Sub(task.confirmedAt)
	}
	return status
}

// renew extends the lease on the worker. The expiry is an instant of the worker's own clock, so
// that a delayed call cannot extend the lease beyond it.
func (agent *Agent) renew(expiry worker.Instant) {
	ctx, cancel := agent.workerCallContext()
	defer cancel()
	if _, err := agent.runtime.Renew(ctx, expiry); err != nil {
		klog.ErrorS(err, "Worker's lease was not renewed", "Worker", agent.settings.Worker)
		return
	}
	agent.control.Call(func() { agent.renewedExpiry = max(agent.renewedExpiry, expiry) })
}

// leaseLapsing reports whether the remaining lease is down to StopMargin while the ledger holds
// tasks, so that they must be stopped.
func (agent *Agent) leaseLapsing(now clock.Time) bool {
	return agent.holder.Expiry() != 0 && agent.holder.Remaining(now) <= agent.settings.StopMargin && len(agent.ledger.Entries()) > 0
}

// updateSlowdown passes the endpoint's current slowdown to the gate.
func (agent *Agent) updateSlowdown() {
	if agent.gate == nil {
		return
	}
	latency := clock.Millis(agent.gate.State().GetLatencyMillis())
	agent.gate.SetSlowdown(agent.meter.measure(latency, agent.time.Now()))
}
