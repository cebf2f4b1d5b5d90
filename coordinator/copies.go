package coordinator

import (
	"k8s.io/klog/v2"

	"hyssopjunction/scheduler"
)

// logCopies logs and counts the decisions for copies and their ends once they are stored.
func (coordinator *Coordinator) logCopies() {
	events := coordinator.scheduler.TakeCopyEvents()
	if len(events) == 0 {
		return
	}
	coordinator.onceStored = append(coordinator.onceStored, func() {
		for _, event := range events {
			coordinator.logCopy(event)
		}
	})
}

func (coordinator *Coordinator) logCopy(event scheduler.CopyEvent) {
	if event.Outcome != "" {
		coordinator.counters.copyOutcomes[event.Outcome].Inc()
		coordinator.counters.copyMillis.Add(int(event.Took.CoreMillis()))
		klog.InfoS("Copy ended", "Task", event.Name.String(), "Run", event.Run, "Worker", event.Worker, "Evidence", event.Evidence.String(),
			"Outcome", event.Outcome, "CoreSeconds", event.Took.CoreSeconds())
		return
	}
	coordinator.counters.copies[event.Evidence].Inc()
	state := event.State
	klog.InfoS("Copy", "Task", event.Name.String(), "Run", event.Run, "Worker", event.Worker, "Evidence", event.Evidence.String(),
		"OtherRun", event.OtherRun, "OtherWorker", event.OtherWorker, "ElapsedMillis", int64(state.Elapsed), "Finished", event.Siblings.Finished,
		"MedianMillis", int64(event.Siblings.Median), "ExpectedMillis", int64(event.Duration), "Percent", state.Percent, "ProgressAgeMillis", int64(state.ProgressAge),
		"ReportAgeMillis", int64(state.ReportAge), "LeftCoreSeconds", event.Left.CoreSeconds(), "SlowCopiesFirst", event.Successes, "SlowCopies", event.SlowOutcomes)
}
