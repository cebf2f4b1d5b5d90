package entry

import (
	"sync"

	"hyssopjunction/ident"
)

// lanes carries out calls to agents in order per worker and in parallel between workers. A worker
// has a goroutine only while calls to it wait.
type lanes struct {
	mu      sync.Mutex
	waiting map[ident.Worker][]func()
	closed  bool
	running sync.WaitGroup
}

func newLanes() *lanes {
	return &lanes{waiting: map[ident.Worker][]func(){}}
}

// maxWaiting bounds the calls that wait for one agent. The scheduler repeats unanswered calls each
// second, so the calls to an agent that hangs until their timeouts would add up.
const maxWaiting = 32

// do queues a call to the worker's agent. It returns false if too many calls wait already.
func (lanes *lanes) do(worker ident.Worker, call func()) bool {
	lanes.mu.Lock()
	defer lanes.mu.Unlock()
	if lanes.closed {
		return true
	}
	queue, active := lanes.waiting[worker]
	if len(queue) >= maxWaiting {
		return false
	}
	lanes.waiting[worker] = append(queue, call)
	if !active {
		lanes.running.Go(func() { lanes.drain(worker) })
	}
	return true
}

func (lanes *lanes) drain(worker ident.Worker) {
	for {
		lanes.mu.Lock()
		queue := lanes.waiting[worker]
		if len(queue) == 0 || lanes.closed {
			delete(lanes.waiting, worker)
			lanes.mu.Unlock()
			return
		}
		call := queue[0]
		lanes.waiting[worker] = queue[1:]
		lanes.mu.Unlock()
		call()
	}
}

// close drops the queued calls and waits for the running ones.
func (lanes *lanes) close() {
	lanes.mu.Lock()
	lanes.closed = true
	lanes.mu.Unlock()
	lanes.running.Wait()
}
