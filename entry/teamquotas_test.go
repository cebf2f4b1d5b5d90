package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/membership"
	"hyssopjunction/operator"
	"hyssopjunction/quota"
	"hyssopjunction/table"
	"hyssopjunction/unit"
	"hyssopjunction/worker"
)

// teamRow returns the team's row in the table.
func (fixture *fixture) teamRow(team ident.Team) quota.Row {
	fixture.Helper()
	stored, err := fixture.store.Memory.Get(context.Background(), quota.Key(team))
	if err != nil || !stored.Exists() {
		fixture.Fatalf("no row of team %s: %v", team, err)
	}
	row, err := quota.Decode(stored.Key, stored.Value)
	if err != nil {
		fixture.Fatal(err)
	}
	return row
}

// chargeTeam writes the team's row as a claim by another entry does.
func (fixture *fixture) chargeTeam(team ident.Team, amount unit.Resources) {
	fixture.Helper()
	stored, _ := fixture.store.Memory.Get(context.Background(), quota.Key(team))
	row, err := fixture.teamRow(team).Charge(amount, false)
	if err != nil {
		fixture.Fatal(err)
	}
	value, err := quota.Encode(row)
	fixture.writeRow(table.Condition{Key: stored.Key, Revision: stored.Revision}, table.Operation{Key: stored.Key, Value: value}, err)
}

// setQuota sets the quota of a team in the region of the only data centre, which it creates if
// needed.
func (fixture *fixture) setQuota(team ident.Team, cores int) operator.Accepted {
	fixture.Helper()
	operations, call := fixture.entry.Operations(), operator.Call{Operator: "anna"}
	if _, exists := fixture.entry.configPublisher.Current().DataCentre("dc1"); !exists {
		_, err := operations.SetDataCentre(fixture.Context(), call, operator.DataCentreChange{DataCentre: "dc1", State: operator.In, Reason: "test"})
		if err != nil {
			fixture.Fatal(err)
		}
	}
	accepted, err := operations.SetTeam(fixture.Context(), call, operator.TeamChange{
		Team: team, Quota: unit.Resources{CPU: unit.MilliCPU(1000 * cores), Memory: unit.Mebibytes(1024 * cores)},
	})
	if err != nil {
		fixture.Fatal(err)
	}
	return accepted
}

// TestQuotaReviewRacesClaims guards against a quota that is not in force within 7 s because claims
// of other entries conflict with the review of the team's row, and against a review that overwrites
// their charges.
func TestQuotaReviewRacesClaims(t *testing.T) {
	for _, conflicts := range []int{0, 1, 3} {
		runFixture(t, func(fixture *fixture) {
			fixture.setQuota("team", 8)
			fixture.advance(7 * time.Second)
			remaining := conflicts
			fixture.store.setHook(func(call string, key table.Key) {
				if call == "Range" && strings.HasPrefix(string(key), "Team/") && remaining > 0 {
					remaining--
					fixture.chargeTeam("team", taskSize)
				}
			})
			fixture.setQuota("team", 16)
			fixture.advance(7 * time.Second)
			row := fixture.teamRow("team")
			if row.Target.CPU != 16_000 || row.Used != taskSize.Times(int64(conflicts)) || remaining != 0 {
				fixture.Fatalf("%d conflicts: row is %+v", conflicts, row)
			}
		})
	}
}

// TestWaitForAgents guards against a wait that ends before all agents have the version, or goes on
// after the last one has reported it.
func TestWaitForAgents(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		announce := func(version uint64) {
			fixture.sequence++
			_, err := fixture.entry.Announce(fixture.Context(), &controlpb.AnnounceRequest{State: &controlpb.WorkerState{
				Worker: "w1", AgentAddress: "w1", Incarnation: 1, Sequence: fixture.sequence, Region: "north", DataCentre: "dc1", ConfigVersion: version,
			}})
			if err != nil {
				fixture.Fatal(err)
			}
		}
		announce(0)
		accepted := fixture.setQuota("team", 8)
		wait := func() operator.VersionStatus {
			state, err := fixture.entry.Operations().Wait(fixture.Context(), accepted.Version, 2*clock.Second)
			if err != nil {
				fixture.Fatal(err)
			}
			return state
		}
		if state := wait(); state.Everywhere || len(state.Lagging) != 1 || state.Lagging[0] != "w1" {
			fixture.Fatalf("before the agent reported the version: %+v", state)
		}
		announce(uint64(accepted.Version))
		if state := wait(); !state.Everywhere || len(state.Lagging) != 0 {
			fixture.Fatalf("after the agent reported the version: %+v", state)
		}
	})
}

// TestExplainWithLostHome guards against an explanation that waits without bound for a home that
// was lost without notice.
func TestExplainWithLostHome(t *testing.T) {
	home := &remoteHome{}
	runFixtureWith(t, home, func(fixture *fixture) {
		other := membership.Entry{ID: "e2", State: membership.Live, Incarnation: 1, ControlAddress: "e2", Region: "north", DataCentre: "dc1"}
		fixture.entry.control.Call(func() { fixture.entry.entries.ApplyHeartbeat(other, fixture.entry.time.Now()) })
		name := fixture.remoteJob()
		fixture.submit(operator.JobSubmission{Job: name, Team: "team", Kind: worker.Batch, Tasks: 1, Resources: taskSize})
		explain := func() string {
			explanation, err := fixture.entry.Operations().ExplainJob(fixture.Context(), name)
			if err != nil {
				fixture.Fatal(err)
			}
			return explanation.Summary + strings.Join(explanation.Decisions, "")
		}
		if text := explain(); !strings.Contains(text, "explained by the home") {
			fixture.Fatalf("got %q", text)
		}
		home.lost.Store(true)
		began := fixture.entry.time.Now()
		if text := explain(); !strings.Contains(text, "did not answer") || fixture.entry.time.Now().Sub(began) > 2*clock.Second {
			fixture.Fatalf("got %q after %s", text, fixture.entry.time.Now().Sub(began))
		}
	})
}
