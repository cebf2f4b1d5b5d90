package scheduler

import "hyssopjunction/clock"

// runPace is what the reports tell about the speed of a run.
type runPace struct {
	// reportedAt is when the run was last reported, or 0, and throttlePercent by how much it was throttled then.
	reportedAt      clock.Time
	throttlePercent int
	// worked is the time since the first report times the pace in it. The progress was firstPercent at that report.
	worked       float64
	firstPercent int
}

// record records a report. The pace that it states applies to the time since the report before.
func (state *runPace) record(item Progress, now clock.Time) {
	if state.reportedAt == 0 {
		state.firstPercent = item.Percent
	} else {
		state.worked += float64(now.Sub(state.reportedAt)) * (1 - float64(state.throttlePercent+item.ThrottlePercent)/200)
	}
	state.reportedAt, state.throttlePercent = now, item.ThrottlePercent
}
