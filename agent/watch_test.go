package agent

import (
	"context"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/worker"
)

// hangingRuntime is a worker that answers no call.
type hangingRuntime struct {
	worker.Runtime
	calls int
}

// List implements worker.Runtime.
func (runtime *hangingRuntime) List(ctx context.Context) (worker.Report, error) {
	runtime.calls++
	<-ctx.Done()
	return worker.Report{}, ctx.Err()
}

// TestUnresponsiveWorkerTimesOut guards against an unresponsive worker that blocks the agent for
// longer than WorkerTimeout. With another timeout the test does not end.
func TestUnresponsiveWorkerTimesOut(t *testing.T) {
	runtime := &hangingRuntime{}
	agent := &Agent{
		settings: Settings{WorkerTimeout: clock.Millisecond, CallTimeout: clock.Hour},
		time:     clock.NewFake(1000), runtime: runtime,
	}
	agent.watch()
	if runtime.calls != 1 {
		t.Errorf("%d calls", runtime.calls)
	}
}
