package agent

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/worker"
)

// suspendedClock includes the time during which the machine is suspended. The clock that it is based on does not.
type suspendedClock struct {
	clock.Clock
	suspended atomic.Int64
}

func (source *suspendedClock) Now() clock.Time {
	return source.Clock.Now().Add(clock.Millis(source.suspended.Load()))
}

// TestSuspensionEndsLease guards against tasks that run on after the home entry has placed them elsewhere: the machine of the
// agent and the worker was suspended for most of the lease, which the worker's clock did not count.
func TestSuspensionEndsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steady := clock.NewSystem()
		source := &suspendedClock{Clock: steady}
		fixture := &fixture{T: t, clock: source, entry: &fakeEntry{}}
		fixture.runtime = &fakeRuntime{time: steady, tasks: map[ident.Task]worker.Status{}, fences: map[ident.Task]ident.Epoch{}}
		fixture.startAgent(1)
		defer fixture.agent.Close()
		fixture.sleep(time.Second)
		fixture.launch(1)
		fixture.entry.setAnswer(func(*controlpb.AnnounceRequest) (*controlpb.AnnounceReply, error) {
			return nil, worker.ErrUnavailable{Reason: "test"}
		})
		source.suspended.Store(int64(16 * clock.Second))
		fixture.sleep(time.Second)
		fixture.wantState(worker.Stopped)
	})
}
