package entry

import (
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/membership"
	"hyssopjunction/placement"
	"hyssopjunction/set"
	"hyssopjunction/unit"
)

const (
	// urgentInterval is how often waiting urgent work is looked for. With a round before and the
	// checkpoints of displaced tasks after it, urgent work still starts within 4.2 s. It is the interval of
	// the tick, so that it needs no wakeup of its own.
	urgentInterval = 250 * clock.Millisecond
	// urgentCandidates is the number of workers whose tasks are listed per look. Tasks of other homes'
	// jobs are not exchanged between entries, because that would take more than 7 KB/s at the peak.
	urgentCandidates = 8
	// residentsFresh is how long such a list is used.
	residentsFresh = 5 * clock.Second
)

// listedResidents are the tasks of a worker as its agent listed them on request.
type listedResidents struct {
	tasks []resident
	at    clock.Time
}

// assistUrgent returns the calls that list the tasks of some workers for the scheduler while urgent work
// waits, so that it can displace batch tasks whose home is another entry. It runs on the control
// goroutine.
func (entry *Entry) assistUrgent() []func() {
	size, waiting := entry.urgentWaiting()
	if !waiting {
		return nil
	}
	var calls []func()
	for _, candidate := range entry.urgentCandidates(size) {
		client, err := entry.connections.Agent(candidate.AgentAddress)
		if err != nil {
			continue
		}
		calls = append(calls, func() { entry.listResidents(candidate.ID, client) })
	}
	return calls
}

// urgentWaiting returns the declared size of an urgent task that waits, if there is one.
func (entry *Entry) urgentWaiting() (job.Spec, bool) {
	for _, name := range set.SortedKeys(entry.urgent) {
		row, known := entry.scheduler.Job(name)
		if !known || row.Final() {
			delete(entry.urgent, name)
			continue
		}
		if row.Count(job.Waiting) > 0 {
			return row.Spec, true
		}
	}
	return job.Spec{}, false
}

// urgentCandidates draws workers that could hold the task if nothing else ran there.
func (entry *Entry) urgentCandidates(spec job.Spec) []membership.Worker {
	var fitting []membership.Worker
	view := entry.publisher.Current()
	for _, known := range entry.view.Current().Workers {
		centre, configured := view.DataCentre(known.Place.DataCentre)
		if known.Draining || !configured || !centre.Open || !spec.Allows(known.Place.DataCentre) || !spec.Declared.FitsIn(known.Capacity) {
			continue
		}
		fitting = append(fitting, known)
	}
	entry.random.Shuffle(len(fitting), func(first, second int) {
		fitting[first], fitting[second] = fitting[second], fitting[first]
	})
	return fitting[:min(len(fitting), urgentCandidates)]
}

func (entry *Entry) listResidents(name ident.Worker, client controlpb.AgentClient) {
	ctx, cancel := entry.call(entry.settings.CallTimeout)
	defer cancel()
	reply, err := client.Tasks(ctx, &controlpb.TasksRequest{})
	if err != nil {
		klog.V(1).InfoS("Tasks were not listed", "Worker", name, "Reason", err.Error())
		return
	}
	entry.control.Call(func() {
		entry.listed[name] = listedResidents{tasks: residentsOf(reply.GetTasks()), at: entry.time.Now()}
		if state, ok := entry.workers.Get(name); ok && state.GetIncarnation() == reply.GetIncarnation() {
			entry.handle(placement.WorkerChanged{State: entry.placementState(state)})
		}
	})
}

// listedUse returns what the tasks that an agent listed lately take, or false if there is no such list.
func (entry *Entry) listedUse(name ident.Worker) (used unit.Resources, ok bool) {
	listed, ok := entry.listed[name]
	if !ok || entry.time.Now().Sub(listed.at) > residentsFresh {
		return used, false
	}
	for _, task := range listed.tasks {
		used = used.Add(task.size)
	}
	return used, true
}

// residentsFor returns the tasks on a worker as far as this entry knows them. The scheduler leaves
// out those of its own jobs.
func (entry *Entry) residentsFor(name ident.Worker) []placement.Resident {
	known := entry.residents[name]
	if listed, ok := entry.listed[name]; ok {
		if entry.time.Now().Sub(listed.at) > residentsFresh {
			delete(entry.listed, name)
		} else {
			known = listed.tasks
		}
	}
	residents := make([]placement.Resident, 0, len(known))
	for _, task := range known {
		residents = append(residents, placement.Resident{
			Task: task.task, Epoch: task.epoch, Class: task.class, Size: task.size, Preemptible: task.batch && !task.urgent,
		})
	}
	return residents
}
