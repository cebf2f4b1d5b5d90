package httpserver

import (
	"testing"

	"hyssopjunction/clock"
)

// newTestMemory returns a Memory and its clock.
func newTestMemory(total int64) (*Memory, *clock.Fake) {
	source := clock.NewFake(1)
	return NewMemory(total, source), source
}

func assertGrown(t *testing.T, grant *grant, bytes int64) {
	t.Helper()
	if err := grant.grow(bytes); err != nil {
		t.Errorf("grow by %d: got %v, want no error", bytes, err)
	}
}

func assertBusy(t *testing.T, err error) {
	t.Helper()
	if !IsErrBusy(err) {
		t.Errorf("got %v, want ErrBusy", err)
	}
}

// TestMemory guards against memory that stalled bodies keep from others, and against bodies that lose theirs while they arrive
// or are handled.
func TestMemory(t *testing.T) {
	ignore := func() {}
	t.Run("stalled bodies give way, the longest first", func(t *testing.T) {
		memory, source := newTestMemory(30)
		var revoked []string
		first := memory.newGrant(func() { revoked = append(revoked, "first") })
		assertGrown(t, first, 15)
		source.Advance(1)
		second := memory.newGrant(func() { revoked = append(revoked, "second") })
		assertGrown(t, second, 15)
		source.Advance(stallTime)
		assertGrown(t, memory.newGrant(ignore), 10)
		if len(revoked) != 1 || revoked[0] != "first" {
			t.Errorf("got %v revoked, want the first", revoked)
		}
		assertBusy(t, first.progress())
		assertBusy(t, first.grow(1))
	})
	t.Run("bodies that arrive are kept", func(t *testing.T) {
		memory, source := newTestMemory(30)
		owner := memory.newGrant(func() { t.Error("the body was revoked") })
		assertGrown(t, owner, 30)
		source.Advance(stallTime - 1)
		if err := owner.progress(); err != nil {
			t.Error(err)
		}
		source.Advance(stallTime - 1)
		assertBusy(t, memory.newGrant(ignore).grow(1))
		owner.release()
		owner.release()
		assertGrown(t, memory.newGrant(ignore), 30)
	})
	t.Run("complete bodies are kept", func(t *testing.T) {
		memory, source := newTestMemory(30)
		owner := memory.newGrant(func() { t.Error("the body was revoked") })
		assertGrown(t, owner, 30)
		if err := owner.complete(); err != nil {
			t.Error(err)
		}
		source.Advance(clock.Minute)
		assertBusy(t, memory.newGrant(ignore).grow(1))
	})
	t.Run("a declared length reserves nothing", func(t *testing.T) {
		memory, _ := newTestMemory(30)
		for range 3 {
			if err := memory.canHold(30); err != nil {
				t.Error(err)
			}
		}
		assertGrown(t, memory.newGrant(ignore), 1)
		assertBusy(t, memory.canHold(30))
	})
}

// TestNewBudget guards against budgets that exceed a process of any size, or leave nothing for callers.
func TestNewBudget(t *testing.T) {
	for _, test := range []struct {
		name        string
		memory      int64
		descriptors int
	}{
		{"smallest entry", 184 << 20, 4100},
		{"largest entry", 536 << 20, 8192},
		{"few descriptors", 284 << 20, 700},
		{"no limits", 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(test.memory, test.descriptors)
			if budget.Connections < minConnections || budget.BodyBytes < minBodyBytes {
				t.Errorf("got %+v, want more", budget)
			}
			if test.memory > 0 && int64(budget.Connections)*connectionBytes+3*budget.BodyBytes > test.memory*2/3 {
				t.Errorf("got %+v, which needs more than two thirds of the memory", budget)
			}
			if test.descriptors > 0 && budget.Connections > (test.descriptors-fileDescriptors)/callersShare {
				t.Errorf("got %+v, which leaves too few sockets", budget)
			}
		})
	}
}
