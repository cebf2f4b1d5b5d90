package membership

import (
	"testing"

	"hyssopjunction/clock"
)

// TestExpeditedExchangeIsDueOnce guards against operators who wait for a whole exchange interval to
// learn that a change is in force, and against a loop of exchanges while one waits.
func TestExpeditedExchangeIsDueOnce(t *testing.T) {
	workers := NewWorkers("e1", DefaultSettings())
	urgent := workers.settings.UrgentMillis
	sent := clock.Time(clock.Minute)
	workers.ExpediteExchange("unknown")
	workers.NextExchange("e2", sent)
	workers.ExpediteExchange("e2")
	if workers.Due("e2", sent.Add(urgent-1)) {
		t.Fatal("due at once after the last exchange")
	}
	if !workers.Due("e2", sent.Add(urgent)) {
		t.Fatal("not due after the interval of urgent exchanges")
	}
	workers.NextExchange("e2", sent.Add(urgent))
	if workers.Due("e2", sent.Add(2*urgent)) {
		t.Fatal("due again although no exchange was expedited")
	}
}
