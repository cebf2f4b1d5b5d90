package leadership

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/set"
)

const (
	// deliveryInterval is the time between two attempts to pass kept reports on to the leader.
	deliveryInterval = 100 * clock.Millisecond
	// maxConcurrentDeliveries limits the concurrent calls, so that the leader stores several reports in one round.
	maxConcurrentDeliveries = 16
	// storeEndTimeout is how long a leader tries to store the end of a worker before it says that it is kept. It is
	// shorter than queryTimeout, so that the answer arrives.
	storeEndTimeout = 500 * clock.Millisecond
	// maxWorkerEnds limits the kept reports. Each is smaller than the list of ends of one worker.
	maxWorkerEnds = 1000
)

// workerEnds keeps the reports of workers' ends and lapses that no leader has stored yet, by session.WorkerEnd.Key. The
// agents that sent them may have ended too, so nobody else may know. It is safe for concurrent use.
type workerEnds struct {
	mu   sync.Mutex
	kept map[string]*session.WorkerEnd
}

// keep adds a report or replaces that of the same key. Error: ErrTooManyWorkerEnds.
func (ends *workerEnds) keep(end *session.WorkerEnd) error {
	ends.mu.Lock()
	defer ends.mu.Unlock()
	key := end.Key()
	if _, ok := ends.kept[key]; !ok {
		if len(ends.kept) >= maxWorkerEnds {
			return ErrTooManyWorkerEnds{}
		}
		klog.InfoS("End of a worker kept for the leader", "Node", end.Node, "Worker", end.Incarnation, "Lapsed", end.Lapsed)
	}
	ends.kept[key] = end
	return nil
}

// drop removes a report that is stored, unless a later one has replaced it since.
func (ends *workerEnds) drop(end *session.WorkerEnd) {
	ends.mu.Lock()
	defer ends.mu.Unlock()
	if key := end.Key(); ends.kept[key] == end {
		delete(ends.kept, key)
	}
}

// list returns the kept reports in the order of their keys.
func (ends *workerEnds) list() []*session.WorkerEnd {
	ends.mu.Lock()
	defer ends.mu.Unlock()
	listed := make([]*session.WorkerEnd, 0, len(ends.kept))
	for _, key := range set.SortedKeys(ends.kept) {
		listed = append(listed, ends.kept[key])
	}
	return listed
}

// ErrTooManyWorkerEnds reports that an entry keeps no further report of a worker's end.
type ErrTooManyWorkerEnds struct{}

// Error returns the message.
func (ErrTooManyWorkerEnds) Error() string { return "too many ends of workers are kept" }

// EndWorker stores the end or the lapse of a worker if this entry leads. Otherwise, or if the leader cannot store it in time, the
// entry keeps the report and passes it on to each leader until one has stored it. Error: ErrTooManyWorkerEnds.
func (elector *Elector) EndWorker(ctx context.Context, end *session.WorkerEnd) (*session.WorkerEndReply, error) {
	if coord := elector.coordinator.Load(); coord != nil {
		callCtx, cancel := context.WithTimeout(ctx, storeEndTimeout.Duration())
		err := coord.EndWorker(callCtx, end)
		cancel()
		if err == nil {
			return &session.WorkerEndReply{Stored: true}, nil
		}
		klog.V(1).InfoS("End of a worker not stored yet", "Worker", end.Incarnation, "Reason", err.Error())
	}
	if err := elector.workerEnds.keep(end); err != nil {
		return nil, err
	}
	return &session.WorkerEndReply{}, nil
}

// deliverWorkerEnds passes kept reports on to the leader until ctx ends. An entry that takes no part in the election any
// more still looks for the leader while it keeps reports.
func (elector *Elector) deliverWorkerEnds(ctx context.Context) {
	for ctx.Err() == nil {
		if ends := elector.workerEnds.list(); len(ends) > 0 {
			if elector.released.Load() {
				elector.observe(ctx)
			}
			elector.deliver(ctx, ends)
		}
		select {
		case <-elector.deps.Clock.After(deliveryInterval):
		case <-ctx.Done():
		}
	}
}

// deliver passes reports on to the leader, if there is one.
func (elector *Elector) deliver(ctx context.Context, ends []*session.WorkerEnd) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentDeliveries)
	for _, end := range ends {
		group.Go(func() error {
			reply, err := query(ctx, elector, end, (*Elector).storeWorkerEnd, (*session.Client).EndWorker)
			if err == nil && reply.Stored {
				elector.workerEnds.drop(end)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		klog.V(1).InfoS("Ends of workers not delivered", "Count", len(ends), "Reason", err.Error())
	}
}

// storeWorkerEnd stores the end of a worker if this entry leads. Error: session.ErrNotLeading.
func (elector *Elector) storeWorkerEnd(ctx context.Context, end *session.WorkerEnd) (*session.WorkerEndReply, error) {
	coord := elector.coordinator.Load()
	if coord == nil {
		return nil, session.ErrNotLeading{Leader: elector.otherLeader()}
	}
	callCtx, cancel := context.WithTimeout(ctx, storeEndTimeout.Duration())
	defer cancel()
	if err := coord.EndWorker(callCtx, end); err != nil {
		return nil, err
	}
	return &session.WorkerEndReply{Stored: true}, nil
}
