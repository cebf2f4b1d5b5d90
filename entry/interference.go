package entry

import (
	"cmp"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/interference"
	"hyssopjunction/placement"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// defaultSlowdownTarget is the tolerated slowdown in percent of a service whose preset sets none.
const defaultSlowdownTarget = 130

// resident is a task on a worker homed here, as its agent listed it.
type resident struct {
	task     ident.Task
	epoch    ident.Epoch
	size     unit.Resources
	class    string
	standing bool
	urgent   bool
	// batch is set if the task is known to be batch work, which urgent work may displace.
	batch bool
}

// learnUsage feeds the measurements of a heartbeat to the estimates and lets the governor act on the
// tasks beside the endpoint.
func (entry *Entry) learnUsage(request *controlpb.AnnounceRequest, now clock.Time) {
	state := request.GetState()
	name := ident.Worker(state.GetWorker())
	if request.GetComplete() {
		entry.residents[name] = residentsOf(request.GetTasks())
	}
	entry.learned.pairs.Residents(name, entry.colocated(state), int(state.GetLoadPercent()), now)
	for _, usage := range request.GetUsage() {
		task, _ := controlpb.ToTask(usage.GetTask())
		entry.learned.sizes.Usage(task.Job, usage.GetClass(), controlpb.ToResources(usage.GetResources()), now)
		entry.learned.pairs.Observe(name, usage.GetClass(), int(usage.GetSlowdownPercent()), clock.Millis(usage.GetLagMillis()), now)
	}
	if endpoint := state.GetEndpoint(); endpoint.GetService() != "" {
		entry.learned.pairs.Observe(name, endpoint.GetService(), int(endpoint.GetSlowdownPercent()), 0, now)
		entry.govern(state, now)
	}
}

func residentsOf(tasks []*controlpb.TaskStatus) []resident {
	residents := make([]resident, 0, len(tasks))
	for _, message := range tasks {
		task, epoch := controlpb.ToTask(message.GetTask())
		residents = append(residents, resident{
			task: task, epoch: epoch, class: message.GetClass(), size: controlpb.ToResources(message.GetResources()),
			standing: message.GetKind() == string(worker.Standing), urgent: message.GetUrgent(),
			batch: message.GetKind() == string(worker.Batch),
		})
	}
	return residents
}

// colocated returns all work on a worker for the interference model.
func (entry *Entry) colocated(state *controlpb.WorkerState) []interference.Resident {
	var all []interference.Resident
	if service := state.GetEndpoint().GetService(); service != "" {
		all = append(all, interference.Resident{Class: service, Percent: 100})
	}
	for _, count := range state.GetClasses() {
		for range count.GetTasks() {
			all = append(all, interference.Resident{Class: count.GetClass(), Percent: 100})
		}
	}
	return all
}

// slowdownLimit is the slowdown that a service tolerates, in percent.
func (entry *Entry) slowdownLimit(name ident.Service) int {
	service, _ := entry.publisher.Current().Service(name)
	return cmp.Or(service.SlowdownLimitPercent, entry.slowdownTarget)
}

// govern throttles, checkpoints or evicts tasks that slow the endpoint down too much.
func (entry *Entry) govern(state *controlpb.WorkerState, now clock.Time) {
	name := ident.Worker(state.GetWorker())
	endpoint := state.GetEndpoint()
	service := ident.Service(endpoint.GetService())
	reading := interference.Reading{
		Worker: name, Service: service, Class: string(service),
		Slowdown: int(endpoint.GetSlowdownPercent()), Target: entry.slowdownLimit(service),
		SpareSlots: interference.SpareSlots(int(endpoint.GetSlots()), int(endpoint.GetSlotsUsed()), int(endpoint.GetQueue())),
		Load:       int(state.GetLoadPercent()),
	}
	for _, known := range entry.residents[name] {
		if known.urgent {
			continue
		}
		reading.Candidates = append(reading.Candidates, interference.Candidate{
			Task: known.task, Epoch: known.epoch, Class: known.class, Standing: known.standing,
		})
	}
	for _, action := range entry.learned.governor.Step(reading, now) {
		klog.InfoS("Interference decision", "Kind", action.Kind, "Worker", action.Worker, "Service", action.Service,
			"Task", action.Task.String(), "Epoch", action.Epoch, "Percent", action.Percent, "Reason", action.Reason)
		entry.relieve(action, ident.Incarnation(state.GetIncarnation()))
	}
}

// relieve carries out one action of the governor at the agent. An evicted task is reported by its
// agent to the job's home, which places it again.
func (entry *Entry) relieve(action interference.Action, incarnation ident.Incarnation) {
	refs := []placement.TaskRef{{Task: action.Task, Epoch: action.Epoch}}
	switch action.Kind {
	case interference.Throttle:
		entry.throttle(placement.Throttle{Worker: action.Worker, Incarnation: incarnation, Tasks: refs, Percent: action.Percent})
	case interference.Checkpoint:
		entry.save(action.Worker, incarnation, refs)
	case interference.Evict:
		entry.evict(action.Worker, incarnation, refs)
	}
}

func (entry *Entry) save(name ident.Worker, incarnation ident.Incarnation, refs []placement.TaskRef) {
	client, ok := entry.agentOf(name)
	if !ok {
		return
	}
	entry.lanes.do(name, func() {
		ctx, cancel := entry.call(entry.settings.StopTimeout)
		defer cancel()
		if _, err := client.Save(ctx, &controlpb.SaveRequest{Incarnation: uint64(incarnation), Tasks: refMessages(refs)}); err != nil {
			klog.V(1).InfoS("Checkpoint had no answer", "Worker", name, "Reason", err.Error())
		}
	})
}

func (entry *Entry) evict(name ident.Worker, incarnation ident.Incarnation, refs []placement.TaskRef) {
	client, ok := entry.agentOf(name)
	if !ok {
		return
	}
	request := &controlpb.StopRequest{Incarnation: uint64(incarnation), Tasks: refMessages(refs), Checkpoint: true, Reason: "interference"}
	entry.lanes.do(name, func() {
		ctx, cancel := entry.call(entry.settings.StopTimeout)
		defer cancel()
		if _, err := client.Stop(ctx, request); err != nil {
			klog.V(1).InfoS("Eviction had no answer", "Worker", name, "Reason", err.Error())
		}
	})
}

// applyPreset puts the weights of the preset in force into the policies. The service's owner with
// the highest weight of tail latency decides how the governor acts.
func (entry *Entry) applyPreset(view *config.View) {
	name, preset := view.InForce()
	weights, owners := preset.Other, 0
	for _, service := range view.Services() {
		if owned, ok := view.Service(service); ok {
			own := preset.WeightsOf(owned.Team)
			if owners++; owners == 1 || own.TailLatency > weights.TailLatency {
				weights = own
			}
		}
	}
	entry.learned.governor.SetSettings(interference.Weighted(weights.TailLatency, weights.Evictions, preset.EvictionsPerHour))
	entry.slowdownTarget = defaultSlowdownTarget
	if preset.SlowdownLimitPercent > 0 {
		entry.slowdownTarget = preset.SlowdownLimitPercent
	}
	entry.headroom = preset.HeadroomPercent
	entry.learned.startBatch = preset.StartBatch
	klog.InfoS("Preset in force", "Preset", name, "SlowdownLimitPercent", entry.slowdownTarget,
		"HeadroomPercent", entry.headroom, "StartBatch", preset.StartBatch)
}
