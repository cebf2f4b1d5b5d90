package clock

import (
	"math/rand/v2"
	"testing"
	"time"
)

func assertTime(t *testing.T, have, want Time) {
	t.Helper()
	if have != want {
		t.Fatalf("have time %d, want %d", have, want)
	}
}

// TestFakeFiresDueTimersOnce guards against timers of the fake clock that fire early, twice or never.
func TestFakeFiresDueTimersOnce(t *testing.T) {
	fake := NewFake(1000)
	early, late := fake.After(10), fake.After(20)

	t.Run("before any is due", func(t *testing.T) {
		fake.Advance(9)
		select {
		case <-early:
			t.Fatal("timer fired before it was due")
		default:
		}
	})
	t.Run("first is due", func(t *testing.T) {
		fake.Advance(1)
		assertTime(t, <-early, 1010)
		if len(late) != 0 {
			t.Fatal("later timer fired with the earlier one")
		}
	})
	t.Run("second is due", func(t *testing.T) {
		fake.Advance(50)
		assertTime(t, <-late, 1060)
		fake.Advance(50)
		if len(early)+len(late) != 0 {
			t.Fatal("timer fired twice")
		}
	})
	t.Run("no wait", func(t *testing.T) {
		assertTime(t, <-fake.After(0), 1110)
	})
}

// TestSystemStartsAboveZero guards against a system clock whose first time is zero, which means "never".
func TestSystemStartsAboveZero(t *testing.T) {
	if now := NewSystem().Now(); now <= 0 {
		t.Fatalf("first reading is %d", now)
	}
}

// TestMillisConversionRoundsDown guards against rounding that lengthens a duration.
func TestMillisConversionRoundsDown(t *testing.T) {
	if have := FromDuration(1999 * time.Microsecond); have != 1 {
		t.Fatalf("have %d, want 1", have)
	}
	if have := (1500 * Millisecond).Duration(); have != 1500*time.Millisecond {
		t.Fatalf("have %s", have)
	}
}

// TestJitteredOnlyShortens guards against jitter that lengthens an interval, from which leases and timeouts
// are derived, and against intervals without jitter.
func TestJitteredOnlyShortens(t *testing.T) {
	random, intervals := rand.New(rand.NewPCG(1, 1)), map[Millis]bool{}
	for range 1000 {
		interval := Jittered(4*Second, random)
		if interval > 4*Second || interval < 3600 {
			t.Fatalf("have %d ms", interval)
		}
		intervals[interval] = true
	}
	if len(intervals) < 100 {
		t.Fatalf("%d different intervals of 1000", len(intervals))
	}
	if short := Jittered(5, random); short != 5 {
		t.Fatalf("have %d ms", short)
	}
}
