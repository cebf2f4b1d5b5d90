package loop

import (
	"sync"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against two events that change control state at the same time.
func TestCallsRunOneAtATime(t *testing.T) {
	control := New()
	defer control.Close()
	count := 0
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 100 {
				control.Call(func() { count++ })
			}
		})
	}
	callers.Wait()
	if count != 800 {
		t.Fatalf("have %d increments, want 800", count)
	}
}

// Guards against a caller that waits forever on a closed loop.
func TestClosedLoopRefuses(t *testing.T) {
	control := New()
	control.Close()
	if control.Call(func() {}) || control.Post(func() {}) {
		t.Fatal("closed loop accepted an event")
	}
}
