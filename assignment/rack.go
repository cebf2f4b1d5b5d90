package assignment

import (
	"container/heap"

	"hyssopjunction/clock"
	"hyssopjunction/unit"
)

// Ending is the expected end of an active run, which frees its reserved cores.
type Ending struct {
	At  clock.Time
	CPU unit.MilliCPU
}

// RackQueue estimates when waiting tasks start on the workers of a rack without free room, in the order in which they
// join. Every end of a run, active or queued, frees room for the tasks behind it. Create it with NewRackQueue.
type RackQueue struct {
	endings endings
	// freeCPU is what ends up to freeAt have freed and no task in the queue takes.
	freeCPU unit.MilliCPU
	freeAt  clock.Time
}

// NewRackQueue returns an empty queue for a rack with active runs. It takes over the list.
func NewRackQueue(active []Ending, now clock.Time) *RackQueue {
	queue := &RackQueue{endings: active, freeAt: now}
	heap.Init(&queue.endings)
	return queue
}

// NextStart returns when a task that joins the queue is expected to start, or false if no known end makes room for it.
func (queue *RackQueue) NextStart(cpu unit.MilliCPU) (clock.Time, bool) {
	for queue.freeCPU < cpu {
		if len(queue.endings) == 0 {
			return 0, false
		}
		ending, _ := heap.Pop(&queue.endings).(Ending)
		queue.freeCPU += ending.CPU
		queue.freeAt = max(queue.freeAt, ending.At)
	}
	return queue.freeAt, true
}

// Join adds a task that takes the duration once it has started. NextStart must have found room for it.
func (queue *RackQueue) Join(cpu unit.MilliCPU, duration clock.Millis) {
	queue.freeCPU -= cpu
	heap.Push(&queue.endings, Ending{At: queue.freeAt.Add(duration), CPU: cpu})
}

// endings is a heap of which the earliest end is the first.
type endings []Ending

func (list endings) Len() int           { return len(list) }
func (list endings) Less(i, j int) bool { return list[i].At.Before(list[j].At) }
func (list endings) Swap(i, j int)      { list[i], list[j] = list[j], list[i] }

// Push adds an Ending.
func (list *endings) Push(item any) {
	if ending, ok := item.(Ending); ok {
		*list = append(*list, ending)
	}
}

// Pop removes the last element.
func (list *endings) Pop() any {
	last := (*list)[len(*list)-1]
	*list = (*list)[:len(*list)-1]
	return last
}

// DataTask is a task without room on the rack that holds its data.
type DataTask struct {
	Estimate clock.Millis
	// Waited is for how long the task has waited for the rack.
	Waited clock.Millis
	// LatestStart is the last time at which a run at the full speed meets the objective of the task's job.
	LatestStart clock.Time
}

// queueCost is the cost of a wait relative to the task's own. Whoever joins the queue of a rack delays all tasks that come
// until the queue is empty, so a rack that stays hot would give each of them the delay of a remote run.
const queueCost = 3

// WaitsForRack reports whether the task ends sooner if it waits until a worker of the rack has room at the given time than
// if it starts elsewhere now. No task waits longer than its run on another rack would take, so that an estimate of the
// queue that proves too low costs at most that time.
func (bounds Bounds) WaitsForRack(task DataTask, start, now clock.Time) bool {
	wait := max(0, start.Sub(now))
	remoteRun := clock.Millis(float64(task.Estimate) * bounds.RemoteFactor)
	if wait+task.Estimate >= remoteRun || task.Waited+wait > remoteRun {
		return false
	}
	remoteMeets := !now.Add(remoteRun - task.Estimate).After(task.LatestStart)
	return !remoteMeets || queueCost*wait+task.Estimate < remoteRun
}
