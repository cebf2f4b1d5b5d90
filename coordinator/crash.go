package coordinator

import (
	"k8s.io/klog/v2"

	"hyssopjunction/blame"
	"hyssopjunction/clock"
	"hyssopjunction/scheduler"
	"hyssopjunction/session"
	"hyssopjunction/workflow"
)

const (
	// maxCrashAge bounds the age of a crash in a report.
	maxCrashAge = clock.Minute
	// coreMillisPerCoreSecond converts thousandths of a core times milliseconds to core seconds.
	coreMillisPerCoreSecond = 1e6
)

// recordCrash passes the crash of a worker to the scheduler. The runs that it names may have ended already, or belong to a worker
// of an earlier term.
func (coordinator *Coordinator) recordCrash(crash session.Crash) {
	now := coordinator.deps.Clock.Now()
	var runs []blame.Run
	for _, item := range crash.Runs {
		name, err := workflow.ParseName(item.Task)
		if err != nil {
			klog.ErrorS(err, "Run of a crashed worker ignored", "Worker", crash.Incarnation)
			continue
		}
		runs = append(runs, blame.Run{Name: name, Number: item.Run, Age: max(0, item.Age)})
	}
	coordinator.scheduler.RecordCrash(scheduler.Incarnation(crash.Incarnation), now.Add(-max(0, min(crash.Ago, maxCrashAge))), runs, now)
}

// logCrashes logs and counts the decisions about tasks after crashes once they are stored.
func (coordinator *Coordinator) logCrashes() {
	events := coordinator.scheduler.TakeCrashEvents()
	if len(events) == 0 {
		return
	}
	coordinator.onceStored = append(coordinator.onceStored, func() {
		for _, event := range events {
			coordinator.counters.crashEvents[event.Kind].Inc()
			klog.InfoS("Crash evidence", "Decision", event.Kind, "Task", event.Name.String(), "Run", event.Run, "Worker", event.Worker,
				"AgeMillis", int64(event.Age), "Alone", event.Alone, "Crashes", event.Crashes, "Verdict", event.Verdict.String(),
				"AtRiskCoreSeconds", event.AtRisk/coreMillisPerCoreSecond, "Term", coordinator.leadership.Term.Number)
		}
	})
}
