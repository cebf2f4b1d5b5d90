package estimate

import (
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// floors holds the memory floors of jobs that ran out of memory. When there is no room for
// another job, its floor applies to its class, and then to all work: a floor can become too
// high through the bound, but is never lost.
type floors struct {
	maxJobs    int
	maxClasses int
	jobs       map[ident.Job]unit.Mebibytes
	classes    map[string]unit.Mebibytes
	all        unit.Mebibytes
}

func newFloors(maxJobs, maxClasses int) *floors {
	return &floors{
		maxJobs:    maxJobs,
		maxClasses: maxClasses,
		jobs:       make(map[ident.Job]unit.Mebibytes),
		classes:    make(map[string]unit.Mebibytes),
	}
}

func (floors *floors) raise(job ident.Job, class string, floor unit.Mebibytes) {
	_, known := floors.jobs[job]
	if known || len(floors.jobs) < floors.maxJobs {
		floors.jobs[job] = max(floors.jobs[job], floor)
		return
	}
	floors.raiseClass(class, floor)
}

func (floors *floors) raiseClass(class string, floor unit.Mebibytes) {
	_, known := floors.classes[class]
	if known || len(floors.classes) < floors.maxClasses {
		floors.classes[class] = max(floors.classes[class], floor)
		return
	}
	floors.all = max(floors.all, floor)
}

func (floors *floors) of(job ident.Job, class string) unit.Mebibytes {
	return max(floors.jobs[job], floors.classes[class], floors.all)
}

// forget drops the floor of a job that ended for good.
func (floors *floors) forget(job ident.Job) {
	delete(floors.jobs, job)
}

// Ended drops the memory floor of a job that will not run again, which makes room for others.
func (model *Model) Ended(job ident.Job) {
	model.floors.forget(job)
}
