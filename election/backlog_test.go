package election

import (
	"testing"

	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/store"
)

// TestBacklogOfHeartbeat guards against a heartbeat that an entry of the other version cannot read, and against a refusal that
// outlives the heartbeat that stated it.
func TestBacklogOfHeartbeat(t *testing.T) {
	for _, test := range []struct {
		name, value string
		want        backlog.Refusal
	}{
		{"earlier version", `{"Term":1,"Count":5}`, backlog.Refusal{}},
		{"large jobs refused", `{"Term":1,"Count":6,"Backlog":{"Large":3000}}`, backlog.Refusal{Large: 3 * clock.Second}},
		{"later version", `{"Term":1,"Count":7,"Other":{}}`, backlog.Refusal{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			candidate := NewCandidate("node", "address")
			reading, err := Parse([]store.Row{{Ref: HeartbeatRef(), Value: []byte(test.value), Version: 3}})
			if err != nil {
				t.Fatal(err)
			}
			candidate.Observe(reading, 1)
			if got := candidate.Backlog(); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
