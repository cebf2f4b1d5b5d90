package scheduler

import (
	"hyssopjunction/clock"
)

// Load sums up how the workers that take tasks are used. Figures of cores are in whole cores.
type Load struct {
	// Workers is the number of workers that take tasks, and Cores their capacity.
	Workers, Cores int
	// Reserved holds the cores that tasks other than filling ones request, and Idle those that they are expected to leave.
	Reserved, Idle int
	// Filling holds the cores that filling runs request, and FillingUsed those that they use by the last reports.
	Filling, FillingUsed int
	// FillingPaced holds the cores that filling runs request at the pace that agents allow.
	FillingPaced int
	// Usable holds the idle cores that filling tasks can use beside the serving tasks where these are, by the learned weights.
	Usable int
	// Serving counts the serving runs, and ServingOver those over their target by the last reports.
	Serving, ServingOver int
	// Waiting holds the cores that waiting filling tasks request.
	Waiting int
	// StandingWaiting counts the waiting standing tasks, StandingCores holds the cores that they request, and LargestStanding
	// those of the largest one.
	StandingWaiting, StandingCores, LargestStanding int
	// LargestFree holds the most cores that a worker has unreserved. Standing tasks that request more wait although the workers
	// together may have room for them.
	LargestFree int
}

// Load returns the use of the workers.
func (scheduler *Scheduler) Load(now clock.Time) Load {
	var load Load
	usable, view := 0.0, scheduler.fillingView(now)
	var cores, reserved, idle, filling, used, paced, waiting, standing int64
	for _, worker := range scheduler.workers {
		if !worker.reachable || worker.Draining || scheduler.outDataCentres.Has(worker.DataCentre) {
			continue
		}
		load.Workers++
		load.LargestFree = max(load.LargestFree, int((worker.Capacity.CPU-worker.reserved.CPU)/milliPerCore))
		usable += view.usableOn(worker, nil, nil)
		cores += int64(worker.Capacity.CPU)
		reserved += int64(worker.reserved.CPU)
		idle += int64(max(0, worker.idleCPU()))
		filling += int64(worker.fillingCPU)
		for _, run := range worker.runs {
			switch {
			case run.step.Fills:
				used += run.sample
				paced += int64(run.step.Need.CPU) * int64(100-run.pace.throttlePercent) / 100
			case run.step.Target > 0:
				load.Serving++
				if run.sample > int64(run.step.Target) {
					load.ServingOver++
				}
			}
		}
	}
	for _, record := range scheduler.open {
		for _, occurrence := range record.job.Occurrences {
			for position := range record.job.Spec.Steps {
				step := &record.job.Spec.Steps[position]
				if !step.Fills && !step.Standing || occurrence.Unfinished(position) == 0 || !record.job.Ready(occurrence, position) {
					continue
				}
				count := occurrence.Waiting(position)
				switch {
				case count == 0:
				case step.Fills:
					waiting += int64(count) * int64(step.Need.CPU)
				default:
					load.StandingWaiting += count
					standing += int64(count) * int64(step.Need.CPU)
					load.LargestStanding = max(load.LargestStanding, int(step.Need.CPU/milliPerCore))
				}
			}
		}
	}
	load.Cores, load.Reserved, load.Idle = int(cores/milliPerCore), int(reserved/milliPerCore), int(idle/milliPerCore)
	load.Filling, load.FillingUsed, load.Waiting = int(filling/milliPerCore), int(used/milliPerCore), int(waiting/milliPerCore)
	load.StandingCores = int(standing / milliPerCore)
	load.Usable, load.FillingPaced = int(usable), int(paced/milliPerCore)
	return load
}
