package entry

import (
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/operator"
	"hyssopjunction/unit"
)

// TestServiceLimits guards against limits of a service, such as the tolerated slowdown and the
// retention, that the entry accepts from operators without applying them.
func TestServiceLimits(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		operations, call := fixture.entry.Operations(), operator.Call{Operator: "anna", Request: "r1"}
		if _, err := operations.SetDataCentre(fixture.Context(), call, operator.DataCentreChange{DataCentre: "dc1", State: operator.In}); err != nil {
			fixture.Fatal(err)
		}
		call.Request = "r2"
		if _, err := operations.SetTeam(fixture.Context(), call, operator.TeamChange{Team: "contest", Quota: unit.Resources{CPU: 1000, Memory: 1024}}); err != nil {
			fixture.Fatal(err)
		}
		call.Request = "r3"
		change := operator.ServiceChange{Service: "checks", Team: "contest", PatienceMillis: clock.Second, TargetSlowdown: 115, RetentionMillis: 2 * clock.Day}
		if _, err := operations.SetService(fixture.Context(), call, change); err != nil {
			fixture.Fatal(err)
		}
		list, err := operations.Services(fixture.Context())
		if err != nil || len(list.Services) != 1 || list.Services[0].TargetSlowdown != 115 || list.Services[0].RetentionMillis != 2*clock.Day {
			fixture.Errorf("listed %+v, %v", list.Services, err)
		}
		fixture.entry.control.Call(func() {
			if limit := fixture.entry.slowdownLimitPercent("checks"); limit != 115 {
				fixture.Errorf("the governor's limit is %d", limit)
			}
			if limit := fixture.entry.slowdownLimitPercent("others"); limit != config.DefaultPresets()[config.Ordinary].SlowdownLimitPercent {
				fixture.Errorf("the limit of a service without one is %d", limit)
			}
		})
		if retention := fixture.entry.retention("checks"); retention != 2*clock.Day {
			fixture.Errorf("retention of %d ms", retention)
		}
		if retention := fixture.entry.retention("others"); retention != fixture.entry.settings.Retention {
			fixture.Errorf("retention of %d ms for a service without one", retention)
		}
		presets, err := operations.Presets(fixture.Context())
		for _, preset := range presets.Presets {
			if preset.Description == "" {
				fixture.Errorf("preset %s has no description (%v)", preset.Preset, err)
			}
		}
	})
}
