package agent

import (
	"context"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/worker"
)

// silentRuntime is a worker that answers no call.
type silentRuntime struct {
	worker.Runtime
	calls int
}

// List implements worker.Runtime.
func (runtime *silentRuntime) List(ctx context.Context) (worker.Report, error) {
	runtime.calls++
	<-ctx.Done()
	return worker.Report{}, ctx.Err()
}

// Guards against a silent worker that holds the agent for longer than the worker's timeout; with
// another bound the test does not end.
func TestSilentWorker(t *testing.T) {
	runtime := &silentRuntime{}
	agent := &Agent{
		settings: Settings{WorkerTimeout: clock.Millisecond, CallTimeout: clock.Hour},
		time:     clock.NewFake(1000), runtime: runtime,
	}
	agent.watch()
	if runtime.calls != 1 {
		t.Errorf("%d calls", runtime.calls)
	}
}
