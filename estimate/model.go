package estimate

import (
	"container/list"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Model holds what one entry daemon has learned. It is used by one goroutine.
type Model struct {
	settings Settings
	jobs     *records[ident.Job]
	classes  *records[string]
	// floors is the memory below which a job is not placed because it ran out of memory there.
	// Dropping a job's measurements keeps its floor.
	floors *floors
}

type record struct {
	cpu     histogram
	memory  histogram
	runTime histogram
}

// New returns a Model that has learned nothing.
func New(settings Settings) *Model {
	return &Model{
		settings: settings,
		jobs:     newRecords[ident.Job](settings.MaxJobs),
		classes:  newRecords[string](settings.MaxClasses),
		floors:   newFloors(settings.MaxJobs, settings.MaxClasses),
	}
}

// Usage records the measured usage of one task.
func (model *Model) Usage(job ident.Job, class string, used unit.Resources, now clock.Time) {
	for _, record := range model.touch(job, class) {
		record.cpu.add(processor.scale, int64(used.CPU), now, model.settings.HalfLifeMillis)
		record.memory.add(memory.scale, int64(used.Memory), now, model.settings.HalfLifeMillis)
	}
}

// Finished records the run time of a task that completed its work, in milliseconds.
func (model *Model) Finished(job ident.Job, class string, took clock.Millis, now clock.Time) {
	for _, record := range model.touch(job, class) {
		record.runTime.add(runTime.scale, int64(took), now, model.settings.HalfLifeMillis)
	}
}

// Peak records the most memory that an ended task used.
func (model *Model) Peak(job ident.Job, class string, used unit.Mebibytes, now clock.Time) {
	for _, record := range model.touch(job, class) {
		record.memory.add(memory.scale, int64(used), now, model.settings.HalfLifeMillis)
	}
}

// OutOfMemory records that a task of the job ran out of memory at the limit it was placed with.
// Later sizes of the job are at least the returned floor, which is OutOfMemoryPercent of that limit.
// It does not pass the largest worker until a task ran out of memory there; 0 means that the largest
// worker is not known.
func (model *Model) OutOfMemory(job ident.Job, class string, limit, largest unit.Mebibytes) unit.Mebibytes {
	percent := unit.Mebibytes(max(model.settings.OutOfMemoryPercent, 100))
	floor := (limit*percent + 99) / 100
	if limit < largest {
		floor = min(floor, largest)
	}
	model.floors.raise(job, class, floor)
	return model.floors.of(job, class)
}

// Floor returns the memory below which the job is not placed, 0 if it never ran out of memory.
func (model *Model) Floor(job ident.Job, class string) unit.Mebibytes {
	return model.floors.of(job, class)
}

// Restore takes over the floor of a job that ran out of memory while it had another home.
func (model *Model) Restore(job ident.Job, class string, floor unit.Mebibytes) {
	if floor > 0 {
		model.floors.raise(job, class, floor)
	}
}

// Size returns the size to reserve for a task of the job. Accelerators are always as declared.
func (model *Model) Size(job ident.Job, class string, declared unit.Resources) unit.Resources {
	settings := model.settings
	byJob, byClass := model.jobs.get(job), model.classes.get(class)
	cpu := processor.blend(settings, settings.CPUPercentile, settings.PriorWeight, int64(declared.CPU), byClass, byJob)
	needed := memory.blend(settings, settings.MemoryPercentile, settings.MemoryPriorWeight, int64(declared.Memory), byClass, byJob)
	// What the job itself was seen to need is never undercut by the prior.
	seen, _ := memory.learned(byJob, settings, settings.MemoryPercentile)
	return unit.Resources{
		CPU:          unit.MilliCPU(ceil(cpu)),
		Memory:       max(unit.Mebibytes(ceil(max(needed, seen))), model.floors.of(job, class)),
		Accelerators: declared.Accelerators,
	}
}

// RunTime returns the run time to expect of a task of the job, in milliseconds. Declared is the
// owner's statement, or zero if there is none.
func (model *Model) RunTime(job ident.Job, class string, declared clock.Millis) clock.Millis {
	byJob, byClass := model.jobs.get(job), model.classes.get(class)
	return clock.Millis(ceil(runTime.blend(model.settings, model.settings.RunTimePercentile, model.settings.PriorWeight,
		int64(declared), byClass, byJob)))
}

// touch returns the records of the job and its class, creating them as needed.
func (model *Model) touch(job ident.Job, class string) [2]*record {
	return [2]*record{model.jobs.touch(job), model.classes.touch(class)}
}

// records is a map of records bounded by dropping the least recently updated.
type records[Key ~string] struct {
	limit  int
	byKey  map[Key]*list.Element
	recent *list.List
}

type keyed[Key ~string] struct {
	key    Key
	record record
}

func newRecords[Key ~string](limit int) *records[Key] {
	return &records[Key]{limit: max(limit, 1), byKey: make(map[Key]*list.Element), recent: list.New()}
}

func (records *records[Key]) get(key Key) *record {
	element := records.byKey[key]
	if element == nil {
		return nil
	}
	return &element.Value.(*keyed[Key]).record
}

func (records *records[Key]) touch(key Key) *record {
	if element := records.byKey[key]; element != nil {
		records.recent.MoveToFront(element)
		return &element.Value.(*keyed[Key]).record
	}
	if records.recent.Len() >= records.limit {
		oldest := records.recent.Back()
		delete(records.byKey, oldest.Value.(*keyed[Key]).key)
		records.recent.Remove(oldest)
	}
	entry := &keyed[Key]{key: key}
	records.byKey[key] = records.recent.PushFront(entry)
	return &entry.record
}
