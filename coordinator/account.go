package coordinator

import (
	"k8s.io/klog/v2"

	"hyssopjunction/account"
	"hyssopjunction/clock"
)

// logAccounts logs where the time of the jobs went that ended, one line for each job.
func (coordinator *Coordinator) logAccounts() {
	for _, entry := range coordinator.scheduler.TakeAccounts() {
		fields := []any{
			"Job", entry.Job, "Queue", entry.Queue, "State", entry.State, "Kind", entry.Kind, "Image", entry.Image, "AgeMillis", int64(entry.Age),
			"ObjectiveMillis", int64(entry.Objective), "PathMillis", int64(entry.Path), "WorkCoreMillis", entry.Work, "TailMillis", int64(entry.Tail),
		}
		for _, cause := range account.Causes() {
			if spent := entry.Spent[cause]; spent > 0 {
				fields = append(fields, cause.String(), int64(spent))
			}
		}
		klog.InfoS("Job account", fields...)
	}
}

// logLoad logs how the cores of the workers are used.
func (coordinator *Coordinator) logLoad(now clock.Time) {
	load := coordinator.scheduler.Load(now)
	if load.Workers == 0 {
		return
	}
	klog.InfoS("Load", "Workers", load.Workers, "Cores", load.Cores, "Reserved", load.Reserved, "Idle", load.Idle, "Usable", load.Usable, "Filling", load.Filling,
		"FillingPaced", load.FillingPaced, "FillingUsed", load.FillingUsed, "Serving", load.Serving, "ServingOver", load.ServingOver, "Waiting", load.Waiting,
		"StandingWaiting", load.StandingWaiting, "StandingCores", load.StandingCores, "LargestStanding", load.LargestStanding, "LargestFree", load.LargestFree)
}
