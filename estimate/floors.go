package estimate

import (
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// floors holds the memory floors of jobs that ran out of memory. Above maxJobs, the floor of a further
// job applies to its whole class, and above maxClasses to all jobs. A floor may thus become too high for
// other jobs, but none is lost.
type floors struct {
	maxJobs    int
	maxClasses int
	jobs       map[ident.Job]unit.Mebibytes
	classes    map[string]unit.Mebibytes
	overall    unit.Mebibytes
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
	_, exists := floors.jobs[job]
	if exists || len(floors.jobs) < floors.maxJobs {
		floors.jobs[job] = max(floors.jobs[job], floor)
		return
	}
	floors.raiseClass(class, floor)
}

func (floors *floors) raiseClass(class string, floor unit.Mebibytes) {
	_, exists := floors.classes[class]
	if exists || len(floors.classes) < floors.maxClasses {
		floors.classes[class] = max(floors.classes[class], floor)
		return
	}
	floors.overall = max(floors.overall, floor)
}

func (floors *floors) floorFor(job ident.Job, class string) unit.Mebibytes {
	return max(floors.jobs[job], floors.classes[class], floors.overall)
}
