package entry

import (
	"sync"

	"hyssopjunction/ident"
)

// callQueues runs calls to agents, in order per worker and concurrently for different workers. A
// worker has a goroutine only while calls to it are queued.
type callQueues struct {
	mu         sync.Mutex
	queues     map[ident.Worker][]func()
	closed     bool
	goroutines sync.WaitGroup
}

func newCallQueues() *callQueues {
	return &callQueues{queues: map[ident.Worker][]func(){}}
}

// maxQueuedCalls bounds the calls that wait for one agent. The scheduler repeats unanswered calls
// each second, so calls to an agent that hangs would otherwise accumulate until their timeouts.
const maxQueuedCalls = 32

// enqueue queues a call to the worker's agent. It returns false if too many calls are queued
// already.
func (calls *callQueues) enqueue(worker ident.Worker, call func()) bool {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	if calls.closed {
		return true
	}
	queue, active := calls.queues[worker]
	if len(queue) >= maxQueuedCalls {
		return false
	}
	calls.queues[worker] = append(queue, call)
	if !active {
		calls.goroutines.Go(func() { calls.runQueue(worker) })
	}
	return true
}

// runQueue runs the worker's calls until its queue is empty.
func (calls *callQueues) runQueue(worker ident.Worker) {
	for {
		calls.mu.Lock()
		queue := calls.queues[worker]
		if len(queue) == 0 || calls.closed {
			delete(calls.queues, worker)
			calls.mu.Unlock()
			return
		}
		call := queue[0]
		calls.queues[worker] = queue[1:]
		calls.mu.Unlock()
		call()
	}
}

// close discards the queued calls and waits for the running ones.
func (calls *callQueues) close() {
	calls.mu.Lock()
	calls.closed = true
	calls.mu.Unlock()
	calls.goroutines.Wait()
}
