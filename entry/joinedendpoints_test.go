package entry

import (
	"fmt"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/operator"
	"hyssopjunction/unit"
)

// configureService takes the data centre in and creates the service checks.
func (fixture *fixture) configureService() {
	fixture.Helper()
	operations := fixture.entry.Operations()
	_, err := operations.SetDataCentre(fixture.Context(), operator.Call{Operator: "anna", Request: "r1"},
		operator.DataCentreChange{DataCentre: "dc1", State: operator.In})
	if err == nil {
		_, err = operations.SetTeam(fixture.Context(), operator.Call{Operator: "anna", Request: "r2"},
			operator.TeamChange{Team: "contest", Quota: unit.Resources{CPU: 1000, Memory: 1024}})
	}
	if err == nil {
		_, err = operations.SetService(fixture.Context(), operator.Call{Operator: "anna", Request: "r3"},
			operator.ServiceChange{Service: "checks", Team: "contest", PatienceMillis: clock.Second})
	}
	if err != nil {
		fixture.Fatal(err)
	}
}

// announceEndpoint sends a heartbeat of a worker with an endpoint of the service checks.
func (fixture *fixture) announceEndpoint(worker string, incarnation uint64) {
	fixture.Helper()
	fixture.sequence++
	if _, err := fixture.entry.Announce(fixture.Context(), &controlpb.AnnounceRequest{State: &controlpb.WorkerState{
		Worker: worker, AgentAddress: worker, RuntimeAddress: worker, Incarnation: incarnation,
		Sequence: fixture.sequence, Region: "north", DataCentre: "dc1",
		Endpoint: &controlpb.EndpointState{Endpoint: worker + "-e", Service: "checks", Healthy: true, Slots: 8, Connections: 64},
	}}); err != nil {
		fixture.Fatal(err)
	}
}

// wantUsable checks how many endpoints of the service checks requests can be sent to.
func (fixture *fixture) wantUsable(when string, want int) {
	fixture.Helper()
	_, view, ok := fixture.entry.Service("checks")
	if !ok || view.Usable() != want {
		fixture.Errorf("%s: %d endpoints are usable, want %d", when, view.Usable(), want)
	}
}

// TestJoinedEndpointIsUsedWithinTick guards against callers and streams that are refused although endpoints have
// announced themselves: an entry that had just published its view without them used them a second later.
func TestJoinedEndpointIsUsedWithinTick(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.configureService()
		const phases = 10
		for phase := range phases {
			fixture.advance(time.Duration(phase) * time.Second / phases)
			fixture.announceEndpoint(fmt.Sprint("w", phase), 1)
			fixture.advance(fixture.entry.settings.Tick.Duration())
			fixture.wantUsable(fmt.Sprint("phase ", phase), phase+1)
		}
	})
}

// TestEndpointsAreUsedAgainAfterStall guards against an entry that stands still for longer than its workers' expiry and
// then refuses callers for a second, although its workers have announced themselves again.
func TestEndpointsAreUsedAgainAfterStall(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.configureService()
		fixture.announceEndpoint("w1", 1)
		fixture.advance(2 * time.Second)
		fixture.wantUsable("before the stall", 1)
		fixture.entry.control.Call(func() { time.Sleep(2 * fixture.entry.settings.Membership.WorkerExpiryMillis.Duration()) })
		fixture.advance(fixture.entry.settings.Tick.Duration())
		fixture.wantUsable("after the stall", 0)
		fixture.announceEndpoint("w1", 1)
		fixture.advance(fixture.entry.settings.Tick.Duration())
		fixture.wantUsable("after an announcement", 1)
	})
}

// TestNewIncarnationIsUsedWithinTick guards against requests that an agent refuses for a second after its restart,
// because the entry still sends them to its last incarnation.
func TestNewIncarnationIsUsedWithinTick(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.configureService()
		for incarnation := uint64(1); incarnation < 6; incarnation++ {
			fixture.announceEndpoint("w1", incarnation)
			fixture.advance(fixture.entry.settings.Tick.Duration())
			_, view, _ := fixture.entry.Service("checks")
			if candidate, ok := view.Find("w1-e"); !ok || uint64(candidate.Incarnation) != incarnation {
				fixture.Errorf("requests go to incarnation %d, want %d", candidate.Incarnation, incarnation)
			}
		}
	})
}
