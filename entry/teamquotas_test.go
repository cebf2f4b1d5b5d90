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

// teamRow returns the row of the team, which the entry settles.
func (world *world) teamRow(team ident.Team) quota.Row {
	world.Helper()
	stored, err := world.store.Memory.Get(context.Background(), quota.Key(team))
	if err != nil || !stored.Exists() {
		world.Fatalf("no row of team %s: %v", team, err)
	}
	row, err := quota.Decode(stored.Key, stored.Value)
	if err != nil {
		world.Fatal(err)
	}
	return row
}

// charge writes the team's row as a claim by another entry does.
func (world *world) charge(team ident.Team, amount unit.Resources) {
	world.Helper()
	stored, _ := world.store.Memory.Get(context.Background(), quota.Key(team))
	row, err := world.teamRow(team).Charge(amount, false)
	if err != nil {
		world.Fatal(err)
	}
	value, err := quota.Encode(row)
	world.write(table.Condition{Key: stored.Key, Revision: stored.Revision}, table.Operation{Key: stored.Key, Value: value}, err)
}

// setQuota changes the quota of a team in the only data centre's region.
func (world *world) setQuota(team ident.Team, cores int) operator.Accepted {
	world.Helper()
	operations, call := world.entry.Operations(), operator.Call{Operator: "anna"}
	if _, known := world.entry.publisher.Current().DataCentre("dc1"); !known {
		_, err := operations.SetDataCentre(world.Context(), call, operator.DataCentreChange{DataCentre: "dc1", State: operator.In, Reason: "test"})
		if err != nil {
			world.Fatal(err)
		}
	}
	accepted, err := operations.SetTeam(world.Context(), call, operator.TeamChange{
		Team: team, Quota: unit.Resources{CPU: unit.MilliCPU(1000 * cores), Memory: unit.Mebibytes(1024 * cores)},
	})
	if err != nil {
		world.Fatal(err)
	}
	return accepted
}

// Guards against a quota that is not in force within 7 s because claims of other entries overtake the
// review of the team's row, and against a review that overwrites their charges.
func TestReviewAgainstClaims(t *testing.T) {
	for _, conflicts := range []int{0, 1, 3} {
		inWorld(t, func(world *world) {
			world.setQuota("team", 8)
			world.pass(7 * time.Second)
			left := conflicts
			world.store.hook(func(call string, key table.Key) {
				if call == "Range" && strings.HasPrefix(string(key), "Team/") && left > 0 {
					left--
					world.charge("team", size)
				}
			})
			world.setQuota("team", 16)
			world.pass(7 * time.Second)
			row := world.teamRow("team")
			if row.Target.CPU != 16_000 || row.Used != size.Times(int64(conflicts)) || left != 0 {
				world.Fatalf("%d conflicts: row is %+v", conflicts, row)
			}
		})
	}
}

// Guards against a wait that ends before all agents have a version, or goes on after the last has told.
func TestWaitForAgents(t *testing.T) {
	inWorld(t, func(world *world) {
		announce := func(version uint64) {
			world.sequence++
			_, err := world.entry.Announce(world.Context(), &controlpb.AnnounceRequest{State: &controlpb.WorkerState{
				Worker: "w1", AgentAddress: "w1", Incarnation: 1, Sequence: world.sequence, Region: "north", DataCentre: "dc1", ConfigVersion: version,
			}})
			if err != nil {
				world.Fatal(err)
			}
		}
		announce(0)
		accepted := world.setQuota("team", 8)
		wait := func() operator.InForce {
			state, err := world.entry.Operations().Wait(world.Context(), accepted.Version, 2*clock.Second)
			if err != nil {
				world.Fatal(err)
			}
			return state
		}
		if state := wait(); state.Everywhere || len(state.Lagging) != 1 || state.Lagging[0] != "w1" {
			world.Fatalf("before the agent told: %+v", state)
		}
		announce(uint64(accepted.Version))
		if state := wait(); !state.Everywhere || len(state.Lagging) != 0 {
			world.Fatalf("after the agent told: %+v", state)
		}
	})
}

// Guards against an explanation that waits without bound for a home that was lost without a sign.
func TestExplainWithLostHome(t *testing.T) {
	home := &otherHome{}
	inWorldWith(t, home, func(world *world) {
		other := membership.Entry{ID: "e2", State: membership.Live, Incarnation: 1, ControlAddress: "e2", Region: "north", DataCentre: "dc1"}
		world.entry.control.Call(func() { world.entry.entries.Heartbeat(other, world.entry.time.Now()) })
		name := world.theirs()
		world.submit(operator.JobSubmission{Job: name, Team: "team", Kind: worker.Batch, Tasks: 1, Resources: size})
		explain := func() string {
			explanation, err := world.entry.Operations().ExplainJob(world.Context(), name)
			if err != nil {
				world.Fatal(err)
			}
			return explanation.Summary + strings.Join(explanation.Decisions, "")
		}
		if text := explain(); !strings.Contains(text, "told by the home") {
			world.Fatalf("got %q", text)
		}
		home.lost.Store(true)
		began := world.entry.time.Now()
		if text := explain(); !strings.Contains(text, "did not answer") || world.entry.time.Now().Sub(began) > 2*clock.Second {
			world.Fatalf("got %q after %s", text, world.entry.time.Now().Sub(began))
		}
	})
}
