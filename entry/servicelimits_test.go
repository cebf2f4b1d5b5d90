package entry

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/operator"
	"hyssopjunction/unit"
)

// Guards against limits of a service that operators set and that the entry accepts without applying
// them, as it did with the tolerated slowdown and the retention.
func TestServiceLimits(t *testing.T) {
	inWorld(t, func(world *world) {
		operations, call := world.entry.Operations(), operator.Call{Operator: "anna", Request: "r1"}
		if _, err := operations.SetDataCentre(world.Context(), call, operator.DataCentreChange{DataCentre: "dc1", State: operator.In}); err != nil {
			world.Fatal(err)
		}
		call.Request = "r2"
		if _, err := operations.SetTeam(world.Context(), call, operator.TeamChange{Team: "contest", Quota: unit.Resources{CPU: 1000, Memory: 1024}}); err != nil {
			world.Fatal(err)
		}
		call.Request = "r3"
		change := operator.ServiceChange{Service: "checks", Team: "contest", PatienceMillis: clock.Second, TargetSlowdown: 115, RetentionMillis: 2 * clock.Day}
		if _, err := operations.SetService(world.Context(), call, change); err != nil {
			world.Fatal(err)
		}
		list, err := operations.Services(world.Context())
		if err != nil || len(list.Services) != 1 || list.Services[0].TargetSlowdown != 115 || list.Services[0].RetentionMillis != 2*clock.Day {
			world.Errorf("listed %+v, %v", list.Services, err)
		}
		world.entry.control.Call(func() {
			if limit := world.entry.slowdownLimit("checks"); limit != 115 {
				world.Errorf("the governor's limit is %d", limit)
			}
			if limit := world.entry.slowdownLimit("others"); limit != config.DefaultPresets()[config.Ordinary].SlowdownLimitPercent {
				world.Errorf("the limit without an own one is %d", limit)
			}
		})
		if kept := world.entry.retention("checks"); kept != 2*clock.Day {
			world.Errorf("kept for %d ms", kept)
		}
		if kept := world.entry.retention("others"); kept != world.entry.settings.Retention {
			world.Errorf("kept for %d ms without an own retention", kept)
		}
		presets, err := operations.Presets(world.Context())
		for _, preset := range presets.Presets {
			if preset.Description == "" {
				world.Errorf("preset %s has no description (%v)", preset.Preset, err)
			}
		}
	})
}
