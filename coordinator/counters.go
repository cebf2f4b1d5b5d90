package coordinator

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"hyssopjunction/scheduler"
	"hyssopjunction/speculation"
	"hyssopjunction/workflow"
)

// counters are the metrics of the coordinator. All terms of a process share them.
type counters struct {
	terms, rounds, starts, stops, rejections *metrics.Counter
	withheldStarts                           *metrics.Counter
	finished, faulted, interrupted           *metrics.Counter
	workerEnds, workerLapses, workersAwaited *metrics.Counter
	roundMillis                              *metrics.Histogram
	assignment                               assignmentCounters
	copies                                   map[speculation.Evidence]*metrics.Counter
	copyOutcomes                             map[scheduler.CopyOutcome]*metrics.Counter
	copyMillis                               *metrics.Counter
	failedEvents                             *metrics.Counter
	fittedStates                             *metrics.Counter
	crashEvents                              map[scheduler.CrashEventKind]*metrics.Counter
}

func newCounters() counters {
	copies, copyOutcomes := map[speculation.Evidence]*metrics.Counter{}, map[scheduler.CopyOutcome]*metrics.Counter{}
	for _, evidence := range speculation.AllEvidence {
		copies[evidence] = metrics.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_speculation_copies_total{evidence=%q}`, evidence.String()))
	}
	for _, outcome := range scheduler.CopyOutcomes {
		copyOutcomes[outcome] = metrics.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_speculation_outcomes_total{outcome=%q}`, outcome))
	}
	crashEvents := map[scheduler.CrashEventKind]*metrics.Counter{}
	for _, kind := range scheduler.CrashEventKinds {
		crashEvents[kind] = metrics.GetOrCreateCounter(fmt.Sprintf(`hyssopjunction_coordinator_crash_evidence_total{decision=%q}`, kind))
	}
	return counters{
		crashEvents:  crashEvents,
		fittedStates: metrics.GetOrCreateCounter("hyssopjunction_coordinator_fitted_states_total"),
		failedEvents: metrics.GetOrCreateCounter("hyssopjunction_coordinator_failed_events_total"),
		copies:       copies, copyOutcomes: copyOutcomes,
		copyMillis:     metrics.GetOrCreateCounter("hyssopjunction_speculation_core_milliseconds_total"),
		terms:          metrics.GetOrCreateCounter("hyssopjunction_coordinator_terms_total"),
		rounds:         metrics.GetOrCreateCounter("hyssopjunction_coordinator_rounds_total"),
		starts:         metrics.GetOrCreateCounter("hyssopjunction_coordinator_starts_total"),
		stops:          metrics.GetOrCreateCounter("hyssopjunction_coordinator_stops_total"),
		withheldStarts: metrics.GetOrCreateCounter("hyssopjunction_coordinator_withheld_starts_total"),
		rejections:     metrics.GetOrCreateCounter("hyssopjunction_coordinator_rejections_total"),
		finished:       metrics.GetOrCreateCounter(`hyssopjunction_coordinator_ends_total{cause="Finished"}`),
		faulted:        metrics.GetOrCreateCounter(`hyssopjunction_coordinator_ends_total{cause="Faulted"}`),
		interrupted:    metrics.GetOrCreateCounter(`hyssopjunction_coordinator_ends_total{cause="Interrupted"}`),
		workerEnds:     metrics.GetOrCreateCounter("hyssopjunction_coordinator_worker_ends_total"),
		workerLapses:   metrics.GetOrCreateCounter("hyssopjunction_coordinator_worker_lapses_total"),
		workersAwaited: metrics.GetOrCreateCounter("hyssopjunction_coordinator_workers_awaited_total"),
		assignment:     newAssignmentCounters(),
		roundMillis:    metrics.GetOrCreateHistogram("hyssopjunction_coordinator_round_millis"),
	}
}

func (counters counters) countEnd(cause workflow.Cause) {
	switch cause {
	case workflow.Finished:
		counters.finished.Inc()
	case workflow.Faulted:
		counters.faulted.Inc()
	case workflow.Interrupted:
		counters.interrupted.Inc()
	}
}
