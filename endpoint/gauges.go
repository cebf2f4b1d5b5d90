package endpoint

import "github.com/VictoriaMetrics/metrics"

// Register adds gauges of the endpoint's load to set, which the agent exposes.
func (gate *Gate) Register(set *metrics.Set) {
	label := `{endpoint="` + string(gate.settings.Endpoint) + `"}`
	set.NewGauge(`hyssopjunction_endpoint_slots_used`+label, func() float64 { return float64(gate.State().GetSlotsUsed()) })
	set.NewGauge(`hyssopjunction_endpoint_connections_used`+label, func() float64 { return float64(gate.State().GetConnectionsUsed()) })
	set.NewGauge(`hyssopjunction_endpoint_queue`+label, func() float64 { return float64(gate.State().GetQueue()) })
	set.NewGauge(`hyssopjunction_endpoint_service_millis`+label, func() float64 { return float64(gate.State().GetLatencyMillis()) })
	set.NewGauge(`hyssopjunction_endpoint_healthy`+label, func() float64 {
		if gate.State().GetHealthy() {
			return 1
		}
		return 0
	})
}
