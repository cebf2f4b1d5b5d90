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
	// urgentInterval is how often the entry looks for waiting urgent work. With a round before it
	// and the checkpoints of displaced tasks after it, urgent work still starts within 4.2 s. It
	// equals the tick's interval, so that it causes no additional wakeups.
	urgentInterval = 250 * clock.Millisecond
	// maxUrgentCandidates is the number of workers whose tasks are listed each time. Entries do not
	// exchange the tasks of their jobs, because at the peak that would exceed the 7 KB/s to which
	// the control traffic of a daemon is limited.
	maxUrgentCandidates = 8
	// listingTTL is how long a listing is used.
	listingTTL = 5 * clock.Second
)

// taskListing is the tasks of a worker as its agent listed them on request.
type taskListing struct {
	tasks []resident
	at    clock.Time
}

// listTasksForUrgent returns calls that list the tasks of some workers while urgent work waits, so
// that the scheduler can displace batch tasks whose home is another entry. It runs on the control
// goroutine.
func (entry *Entry) listTasksForUrgent() []func() {
	spec, waiting := entry.waitingUrgentJob()
	if !waiting {
		return nil
	}
	var calls []func()
	for _, candidate := range entry.urgentCandidates(spec) {
		client, err := entry.connections.Agent(candidate.AgentAddress)
		if err != nil {
			continue
		}
		calls = append(calls, func() { entry.listTasks(candidate.ID, client) })
	}
	return calls
}

// waitingUrgentJob returns the spec of an urgent job with a waiting task, or false if there is
// none.
func (entry *Entry) waitingUrgentJob() (job.Spec, bool) {
	for _, name := range set.SortedKeys(entry.urgentJobs) {
		row, ok := entry.scheduler.Job(name)
		if !ok || row.Final() {
			delete(entry.urgentJobs, name)
			continue
		}
		if row.Count(job.Waiting) > 0 {
			return row.Spec, true
		}
	}
	return job.Spec{}, false
}

// urgentCandidates draws workers that could hold a task of the job if nothing else ran there.
func (entry *Entry) urgentCandidates(spec job.Spec) []membership.Worker {
	var workers []membership.Worker
	view := entry.configPublisher.Current()
	for _, worker := range entry.membershipPublisher.Current().Workers {
		centre, configured := view.DataCentre(worker.Place.DataCentre)
		if worker.Draining || !configured || !centre.Open || !spec.Allows(worker.Place.DataCentre) || !spec.Declared.FitsIn(worker.Capacity) {
			continue
		}
		workers = append(workers, worker)
	}
	entry.random.Shuffle(len(workers), func(first, second int) {
		workers[first], workers[second] = workers[second], workers[first]
	})
	return workers[:min(len(workers), maxUrgentCandidates)]
}

// listTasks lists the tasks of a worker at its agent and passes the worker's new state to the
// scheduler.
func (entry *Entry) listTasks(name ident.Worker, client controlpb.AgentClient) {
	ctx, cancel := entry.callContext(entry.settings.CallTimeout)
	defer cancel()
	reply, err := client.Tasks(ctx, &controlpb.TasksRequest{})
	if err != nil {
		klog.V(1).InfoS("Tasks were not listed", "Worker", name, "Reason", err.Error())
		return
	}
	entry.control.Call(func() {
		entry.listings[name] = taskListing{tasks: residentsFromMessages(reply.GetTasks()), at: entry.time.Now()}
		if state, ok := entry.workers.Get(name); ok && state.GetIncarnation() == reply.GetIncarnation() {
			entry.handle(placement.WorkerChanged{State: entry.placementState(state)})
		}
	})
}

// listedUsage returns the sum of the sizes of a worker's tasks in a current listing, or false if
// there is none.
func (entry *Entry) listedUsage(name ident.Worker) (usage unit.Resources, ok bool) {
	listing, ok := entry.listings[name]
	if !ok || entry.time.Now().Sub(listing.at) > listingTTL {
		return usage, false
	}
	for _, task := range listing.tasks {
		usage = usage.Add(task.size)
	}
	return usage, true
}

// placementResidents returns the tasks on a worker from a current listing, or else from the last
// heartbeat that listed them. The scheduler leaves out those of its own jobs.
func (entry *Entry) placementResidents(name ident.Worker) []placement.Resident {
	tasks := entry.residents[name]
	if listing, ok := entry.listings[name]; ok {
		if entry.time.Now().Sub(listing.at) > listingTTL {
			delete(entry.listings, name)
		} else {
			tasks = listing.tasks
		}
	}
	residents := make([]placement.Resident, 0, len(tasks))
	for _, task := range tasks {
		residents = append(residents, placement.Resident{
			Task: task.task, Epoch: task.epoch, Class: task.class, Size: task.size, Preemptible: task.batch && !task.urgent,
		})
	}
	return residents
}
