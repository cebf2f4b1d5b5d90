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

// defaultSlowdownLimitPercent is the slowdown that a service tolerates if neither the service nor
// the preset in force sets one. 100 is no slowdown.
const defaultSlowdownLimitPercent = 130

// resident is a task on a worker, as its agent listed it.
type resident struct {
	task     ident.Task
	epoch    ident.Epoch
	size     unit.Resources
	class    string
	standing bool
	urgent   bool
	// batch is set for batch tasks, which urgent work may displace.
	batch bool
}

// recordUsage adds the samples of a heartbeat to the models and limits interference with the
// worker's endpoint.
func (entry *Entry) recordUsage(request *controlpb.AnnounceRequest, now clock.Time) {
	state := request.GetState()
	name := ident.Worker(state.GetWorker())
	if request.GetComplete() {
		entry.residents[name] = residentsFromMessages(request.GetTasks())
	}
	entry.models.interference.Residents(name, entry.interferenceResidents(state), int(state.GetLoadPercent()), now)
	for _, usage := range request.GetUsage() {
		task, _ := controlpb.ToTask(usage.GetTask())
		entry.models.sizes.RecordUsage(task.Job, usage.GetClass(), controlpb.ToResources(usage.GetResources()), now)
		entry.models.interference.Observe(name, usage.GetClass(), int(usage.GetSlowdownPercent()), clock.Millis(usage.GetLagMillis()), now)
	}
	if endpoint := state.GetEndpoint(); endpoint.GetService() != "" {
		entry.models.interference.Observe(name, endpoint.GetService(), int(endpoint.GetSlowdownPercent()), 0, now)
		entry.limitInterference(state, now)
	}
}

func residentsFromMessages(tasks []*controlpb.TaskStatus) []resident {
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

// interferenceResidents returns all work on a worker for the interference model.
func (entry *Entry) interferenceResidents(state *controlpb.WorkerState) []interference.Resident {
	var residents []interference.Resident
	if service := state.GetEndpoint().GetService(); service != "" {
		residents = append(residents, interference.Resident{Class: service, Percent: 100})
	}
	for _, count := range state.GetClasses() {
		for range count.GetTasks() {
			residents = append(residents, interference.Resident{Class: count.GetClass(), Percent: 100})
		}
	}
	return residents
}

// slowdownLimitPercent returns the slowdown that a service tolerates.
func (entry *Entry) slowdownLimitPercent(name ident.Service) int {
	service, _ := entry.configPublisher.Current().Service(name)
	return cmp.Or(service.SlowdownLimitPercent, entry.presetSlowdownLimitPercent)
}

// limitInterference throttles, checkpoints or evicts tasks that slow the worker's endpoint down too
// much.
func (entry *Entry) limitInterference(state *controlpb.WorkerState, now clock.Time) {
	name := ident.Worker(state.GetWorker())
	endpoint := state.GetEndpoint()
	service := ident.Service(endpoint.GetService())
	sample := interference.Sample{
		Worker: name, Service: service, Class: string(service),
		Slowdown: int(endpoint.GetSlowdownPercent()), Target: entry.slowdownLimitPercent(service),
		SpareSlots: interference.SpareSlots(int(endpoint.GetSlots()), int(endpoint.GetSlotsUsed()), int(endpoint.GetQueue())),
		Load:       int(state.GetLoadPercent()),
	}
	for _, task := range entry.residents[name] {
		if task.urgent {
			continue
		}
		sample.Candidates = append(sample.Candidates, interference.Candidate{
			Task: task.task, Epoch: task.epoch, Class: task.class, Standing: task.standing,
		})
	}
	for _, action := range entry.models.governor.Step(sample, now) {
		klog.InfoS("Interference decision", "Kind", action.Kind, "Worker", action.Worker, "Service", action.Service,
			"Task", action.Task.String(), "Epoch", action.Epoch, "Percent", action.Percent, "Reason", action.Reason)
		entry.executeInterference(action, ident.Incarnation(state.GetIncarnation()))
	}
}

// executeInterference carries out one action of the interference governor at the agent. The agent
// reports an evicted task to the job's home, which places it again.
func (entry *Entry) executeInterference(action interference.Action, incarnation ident.Incarnation) {
	refs := []placement.TaskRef{{Task: action.Task, Epoch: action.Epoch}}
	switch action.Kind {
	case interference.Throttle:
		entry.throttle(placement.Throttle{Worker: action.Worker, Incarnation: incarnation, Tasks: refs, Percent: action.Percent})
	case interference.Checkpoint:
		entry.checkpointTasks(action.Worker, incarnation, refs)
	case interference.Evict:
		entry.evictTasks(action.Worker, incarnation, refs)
	}
}

// checkpointTasks asks the agent to save checkpoints of the tasks.
func (entry *Entry) checkpointTasks(name ident.Worker, incarnation ident.Incarnation, refs []placement.TaskRef) {
	client, ok := entry.agentClient(name)
	if !ok {
		return
	}
	entry.agentCalls.enqueue(name, func() {
		ctx, cancel := entry.callContext(entry.settings.StopTimeout)
		defer cancel()
		if _, err := client.Save(ctx, &controlpb.SaveRequest{Incarnation: uint64(incarnation), Tasks: refMessages(refs)}); err != nil {
			klog.V(1).InfoS("Checkpoint was not answered", "Worker", name, "Reason", err.Error())
		}
	})
}

// evictTasks asks the agent to checkpoint and stop the tasks.
func (entry *Entry) evictTasks(name ident.Worker, incarnation ident.Incarnation, refs []placement.TaskRef) {
	client, ok := entry.agentClient(name)
	if !ok {
		return
	}
	request := &controlpb.StopRequest{Incarnation: uint64(incarnation), Tasks: refMessages(refs), Checkpoint: true, Reason: "interference"}
	entry.agentCalls.enqueue(name, func() {
		ctx, cancel := entry.callContext(entry.settings.StopTimeout)
		defer cancel()
		if _, err := client.Stop(ctx, request); err != nil {
			klog.V(1).InfoS("Eviction was not answered", "Worker", name, "Reason", err.Error())
		}
	})
}

// applyPreset applies the settings of the preset in force. Of the teams that own a service, the one
// with the highest weight of tail latency determines the weights that the governor uses.
func (entry *Entry) applyPreset(view *config.View) {
	name, preset := view.InForce()
	weights, serviceCount := preset.Other, 0
	for _, service := range view.Services() {
		if settings, ok := view.Service(service); ok {
			teamWeights := preset.WeightsOf(settings.Team)
			if serviceCount++; serviceCount == 1 || teamWeights.TailLatency > weights.TailLatency {
				weights = teamWeights
			}
		}
	}
	entry.models.governor.SetSettings(interference.SettingsForWeights(weights.TailLatency, weights.Evictions, preset.EvictionsPerHour))
	entry.presetSlowdownLimitPercent = defaultSlowdownLimitPercent
	if preset.SlowdownLimitPercent > 0 {
		entry.presetSlowdownLimitPercent = preset.SlowdownLimitPercent
	}
	entry.headroomPercent = preset.HeadroomPercent
	entry.models.startBatch = preset.StartBatch
	klog.InfoS("Preset in force", "Preset", name, "SlowdownLimitPercent", entry.presetSlowdownLimitPercent,
		"HeadroomPercent", entry.headroomPercent, "StartBatch", preset.StartBatch)
}
