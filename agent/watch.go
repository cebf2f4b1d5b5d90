package agent

import (
	"k8s.io/klog/v2"

	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// watch reads the worker's own list, takes over what ended, renews the worker's lease, repeats
// starts without an answer, and stops the tasks when the agent's lease is about to lapse.
func (agent *Agent) watch() {
	ctx, cancel := agent.workerCall()
	defer cancel()
	sent := agent.time.Now()
	report, err := agent.runtime.List(ctx)
	if err != nil {
		klog.ErrorS(err, "Worker did not report", "Worker", agent.settings.Worker)
		return
	}
	received := agent.time.Now()
	var repeat []ident.Task
	var vanished []*stopping
	var expiry worker.Instant
	var renew, lapsing bool
	agent.control.Call(func() {
		agent.holder.Sampled(sent, received, report.Now)
		repeat, vanished = agent.observe(report, sent, received)
		expiry, renew = agent.holder.WorkerExpiry()
		renew = renew && expiry > agent.renewed && agent.holder.Valid(agent.time.Now())
		lapsing = agent.lapsing(agent.time.Now())
	})
	if renew {
		agent.renew(expiry)
	}
	for _, name := range repeat {
		// Starts that hang must not delay the next renewal of the worker's lease.
		agent.spawn(func() { agent.launch(name) })
	}
	agent.end(ctx, vanished, false, "worker has no record of the task")
	if lapsing {
		agent.stopAll("lease is about to lapse")
	}
	agent.observeSlowdown()
}

// observe applies the worker's report, which was requested at sent. It returns the tasks whose start
// has to be repeated and those that the worker ran and lost its record of.
func (agent *Agent) observe(report worker.Report, sent, now clock.Time) (missing []ident.Task, vanished []*stopping) {
	agent.usage = report.Usage
	agent.load = load(report)
	for _, usage := range report.Usage {
		if known := agent.tasks[usage.Task]; known != nil {
			known.peak = max(known.peak, usage.Resources.Memory)
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
			agent.taskEnded(status, now)
		}
	}
	return agent.unlisted(listed, sent, now)
}

// load returns the processor time in use in percent of the worker's capacity.
func load(report worker.Report) int32 {
	used := unit.MilliCPU(0)
	for _, usage := range report.Usage {
		used += usage.Resources.CPU
	}
	return int32(used * 100 / max(report.Capacity.CPU, 1))
}

// confirm notes that the worker ran the task.
func (known *task) confirm(now clock.Time) {
	if !known.confirmed {
		known.confirmed, known.confirmedAt = true, now
	}
}

// unlisted marks the listed running tasks as confirmed and returns the others: those to start again,
// and those that were confirmed before the list was requested.
func (agent *Agent) unlisted(listed map[ident.Task]ident.Epoch, sent, now clock.Time) (missing []ident.Task, vanished []*stopping) {
	held := map[ident.Task]bool{}
	for _, entry := range agent.ledger.Entries() {
		held[entry.Task] = true
		known := agent.tasks[entry.Task]
		if !entry.Running || known == nil {
			continue
		}
		if listed[entry.Task] == entry.Epoch {
			known.confirm(now)
			continue
		}
		switch {
		case known.confirmed && sent.After(known.confirmedAt):
			vanished = append(vanished, &stopping{name: entry.Task, epoch: entry.Epoch})
		case !known.starting && !known.confirmed:
			missing = append(missing, entry.Task)
		}
	}
	for name := range agent.tasks {
		if !held[name] {
			delete(agent.tasks, name)
		}
	}
	return missing, vanished
}

// rebuild opens the ledger with what the worker says it runs.
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
		agent.ended[status.Task] = status
	}
	agent.ledger.Rebuild(report.Capacity, running, ended, now)
	klog.InfoS("Rebuilt from the worker's list", "Worker", agent.settings.Worker, "Running", len(running), "Ended", len(ended))
	wake(agent.kick)
}

// taskEnded records that a task ended, to be reported to its job's home.
func (agent *Agent) taskEnded(status worker.Status, now clock.Time) {
	if have, ok := agent.ended[status.Task]; ok && have.Epoch >= status.Epoch {
		return
	}
	if !agent.ledger.Ended(status.Task, status.Epoch, now) && !agent.ledger.EndedUnrecorded(status.Task, status.Epoch) {
		return
	}
	if known := agent.tasks[status.Task]; known != nil && known.spec.Epoch == status.Epoch {
		status = known.complete(status, now)
	}
	agent.ended[status.Task] = status
	klog.InfoS("Task ended", "Worker", agent.settings.Worker, "Task", status.Task.String(), "Epoch", status.Epoch,
		"State", status.State, "Reason", status.Reason)
	wake(agent.reported)
}

// complete fills in what the worker did not tell about an end from the agent's own measurements.
func (known *task) complete(status worker.Status, now clock.Time) worker.Status {
	status.Peak = max(status.Peak, known.peak)
	if status.Ran == 0 && known.confirmed {
		status.Ran = now.Sub(known.confirmedAt)
	}
	return status
}

// renew passes the agent's lease on to the worker as an instant of the worker's own clock, so that a
// delayed call cannot extend it.
func (agent *Agent) renew(expiry worker.Instant) {
	ctx, cancel := agent.workerCall()
	defer cancel()
	if _, err := agent.runtime.Renew(ctx, expiry); err != nil {
		klog.ErrorS(err, "Worker's lease was not renewed", "Worker", agent.settings.Worker)
		return
	}
	agent.control.Call(func() { agent.renewed = max(agent.renewed, expiry) })
}

// lapsing reports whether running tasks must be saved and stopped before the lease lapses.
func (agent *Agent) lapsing(now clock.Time) bool {
	return agent.holder.Expiry() != 0 && agent.holder.Left(now) <= agent.settings.StopMargin && len(agent.ledger.Entries()) > 0
}

// observeSlowdown tells the gate how much the endpoint is slowed down by its neighbours.
func (agent *Agent) observeSlowdown() {
	if agent.gate == nil {
		return
	}
	latency := clock.Millis(agent.gate.State().GetLatencyMillis())
	agent.gate.SetSlowdown(agent.meter.measure(latency, agent.time.Now()))
}
