package cmd

import (
	"testing"

	"hyssopjunction/clock"
)

// TestDaemonsCountSuspensions guards against agents and entries whose leases last longer than other daemons wait, because
// their clock stands still while their machine is suspended.
func TestDaemonsCountSuspensions(t *testing.T) {
	source := newClock()
	if _, ok := source.(*clock.Boot); !ok {
		t.Errorf("got a %T, want a clock that includes suspensions", source)
	}
}
