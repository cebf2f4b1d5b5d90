package estimate

import (
	"container/list"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Model holds the measurements and memory floors of jobs and classes at one entry. It must be used by one
// goroutine only.
type Model struct {
	settings Settings
	jobs     *records[ident.Job]
	classes  *records[string]
	// floors holds the memory below which a job is not placed because it ran out of memory there. A
	// floor stays when the job's measurements are removed.
	floors *floors
}

type record struct {
	cpu     histogram
	memory  histogram
	runTime histogram
}

// New returns a Model without measurements.
func New(settings Settings) *Model {
	return &Model{
		settings: settings,
		jobs:     newRecords[ident.Job](settings.MaxJobs),
		classes:  newRecords[string](settings.MaxClasses),
		floors:   newFloors(settings.MaxJobs, settings.MaxClasses),
	}
}

// RecordUsage records a measurement of the usage of one task.
func (model *Model) RecordUsage(job ident.Job, class string, usage unit.Resources, now clock.Time) {
	for _, record := range model.recordsOf(job, class) {
		record.cpu.add(cpuQuantity.scale, int64(usage.CPU), now, model.settings.HalfLifeMillis)
		record.memory.add(memoryQuantity.scale, int64(usage.Memory), now, model.settings.HalfLifeMillis)
	}
}

// RecordRunTime records the run time of a task that finished.
func (model *Model) RecordRunTime(job ident.Job, class string, elapsed clock.Millis, now clock.Time) {
	for _, record := range model.recordsOf(job, class) {
		record.runTime.add(runTimeQuantity.scale, int64(elapsed), now, model.settings.HalfLifeMillis)
	}
}

// RecordPeak records the peak memory usage of a task that has ended.
func (model *Model) RecordPeak(job ident.Job, class string, peak unit.Mebibytes, now clock.Time) {
	for _, record := range model.recordsOf(job, class) {
		record.memory.add(memoryQuantity.scale, int64(peak), now, model.settings.HalfLifeMillis)
	}
}

// RecordOutOfMemory records that a task of the job ran out of memory at its limit, and returns the job's memory
// floor. No later size of the job is smaller. The floor is raised to OutOfMemoryPercent of the limit.
// Largest is the memory of the largest worker, or 0 if that is unknown. It caps the floor, unless the task
// ran out of memory at a limit that was as high already.
func (model *Model) RecordOutOfMemory(job ident.Job, class string, limit, largest unit.Mebibytes) unit.Mebibytes {
	percent := unit.Mebibytes(max(model.settings.OutOfMemoryPercent, 100))
	floor := (limit*percent + 99) / 100
	if limit < largest {
		floor = min(floor, largest)
	}
	model.floors.raise(job, class, floor)
	return model.floors.floorFor(job, class)
}

// Floor returns the memory below which the job is not placed, or 0 if there is no floor.
func (model *Model) Floor(job ident.Job, class string) unit.Mebibytes {
	return model.floors.floorFor(job, class)
}

// RestoreFloor raises the floor of a job that ran out of memory under another home entry.
func (model *Model) RestoreFloor(job ident.Job, class string, floor unit.Mebibytes) {
	if floor > 0 {
		model.floors.raise(job, class, floor)
	}
}

// Size returns the resources to reserve for a task of the job. Accelerators are always as declared.
func (model *Model) Size(job ident.Job, class string, declared unit.Resources) unit.Resources {
	settings := model.settings
	jobRecord, classRecord := model.jobs.get(job), model.classes.get(class)
	cpu := cpuQuantity.blend(settings, settings.CPUPercentile, settings.PriorWeight, int64(declared.CPU), classRecord, jobRecord)
	needed := memoryQuantity.blend(settings, settings.MemoryPercentile, settings.MemoryPriorWeight, int64(declared.Memory), classRecord, jobRecord)
	// A smaller declared size never lowers the size below the memory measured for the job itself.
	measured, _ := memoryQuantity.learnedValue(jobRecord, settings, settings.MemoryPercentile)
	return unit.Resources{
		CPU:          unit.MilliCPU(ceil(cpu)),
		Memory:       max(unit.Mebibytes(ceil(max(needed, measured))), model.floors.floorFor(job, class)),
		Accelerators: declared.Accelerators,
	}
}

// RunTime returns the expected run time of a task of the job. Declared is the run time that the caller
// declared, or 0 if there is none.
func (model *Model) RunTime(job ident.Job, class string, declared clock.Millis) clock.Millis {
	jobRecord, classRecord := model.jobs.get(job), model.classes.get(class)
	return clock.Millis(ceil(runTimeQuantity.blend(model.settings, model.settings.RunTimePercentile, model.settings.PriorWeight,
		int64(declared), classRecord, jobRecord)))
}

// recordsOf returns the records of the job and its class. It adds missing ones.
func (model *Model) recordsOf(job ident.Job, class string) [2]*record {
	return [2]*record{model.jobs.getOrAdd(job), model.classes.getOrAdd(class)}
}

// records maps keys to records. If the limit is reached, a new record replaces the least recently updated
// one.
type records[Key ~string] struct {
	limit     int
	byKey     map[Key]*list.Element
	byRecency *list.List
}

type keyedRecord[Key ~string] struct {
	key    Key
	record record
}

func newRecords[Key ~string](limit int) *records[Key] {
	return &records[Key]{limit: max(limit, 1), byKey: make(map[Key]*list.Element), byRecency: list.New()}
}

func (records *records[Key]) get(key Key) *record {
	element := records.byKey[key]
	if element == nil {
		return nil
	}
	return &element.Value.(*keyedRecord[Key]).record
}

func (records *records[Key]) getOrAdd(key Key) *record {
	if element := records.byKey[key]; element != nil {
		records.byRecency.MoveToFront(element)
		return &element.Value.(*keyedRecord[Key]).record
	}
	if records.byRecency.Len() >= records.limit {
		oldest := records.byRecency.Back()
		delete(records.byKey, oldest.Value.(*keyedRecord[Key]).key)
		records.byRecency.Remove(oldest)
	}
	entry := &keyedRecord[Key]{key: key}
	records.byKey[key] = records.byRecency.PushFront(entry)
	return &entry.record
}
