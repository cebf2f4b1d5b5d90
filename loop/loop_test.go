package loop

import (
	"sync"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestCallsRunOneAtATime guards against two events that run at the same time and so race on shared
// state.
func TestCallsRunOneAtATime(t *testing.T) {
	loop := New()
	defer loop.Close()
	count := 0
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 100 {
				loop.Call(func() { count++ })
			}
		})
	}
	callers.Wait()
	if count != 800 {
		t.Fatalf("have %d increments, want 800", count)
	}
}

// TestClosedLoopRejectsEvents guards against a caller that waits forever for a closed loop.
func TestClosedLoopRejectsEvents(t *testing.T) {
	loop := New()
	loop.Close()
	if loop.Call(func() {}) || loop.Post(func() {}) {
		t.Fatal("closed loop accepted an event")
	}
}
