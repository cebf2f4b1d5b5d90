package estimate

import (
	"cmp"
	"container/list"
	"math"

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
		record.cpu.add(cpuScale, int64(used.CPU), now, model.settings.HalfLifeMillis)
		record.memory.add(memoryScale, int64(used.Memory), now, model.settings.HalfLifeMillis)
	}
}

// Finished records the run time of a task that completed its work, in milliseconds.
func (model *Model) Finished(job ident.Job, class string, runTime clock.Millis, now clock.Time) {
	for _, record := range model.touch(job, class) {
		record.runTime.add(runTimeScale, int64(runTime), now, model.settings.HalfLifeMillis)
	}
}

// OutOfMemory records that a task of the job ran out of memory at the limit it was placed with.
// Later sizes of the job are at least OutOfMemoryPercent of that limit.
func (model *Model) OutOfMemory(job ident.Job, class string, limit unit.Mebibytes) {
	percent := unit.Mebibytes(max(model.settings.OutOfMemoryPercent, 100))
	model.floors.raise(job, class, (limit*percent+99)/100)
}

// Size returns the size to reserve for a task of the job. Accelerators are always as declared.
func (model *Model) Size(job ident.Job, class string, declared unit.Resources) unit.Resources {
	byJob, byClass := model.jobs.get(job), model.classes.get(class)
	settings := model.settings
	cpu := model.blend(int64(declared.CPU), settings.CPUPercentile, cpuScale, 0,
		cpuOf(byClass), cpuOf(byJob))
	memory := model.blend(int64(declared.Memory), settings.MemoryPercentile, memoryScale, settings.MemoryMarginPercent,
		memoryOf(byClass), memoryOf(byJob))
	return unit.Resources{
		CPU:          unit.MilliCPU(cpu),
		Memory:       max(unit.Mebibytes(memory), model.floors.of(job, class)),
		Accelerators: declared.Accelerators,
	}
}

// RunTime returns the run time to expect of a task of the job, in milliseconds. Declared is the
// owner's statement, or zero if there is none.
func (model *Model) RunTime(job ident.Job, class string, declared clock.Millis) clock.Millis {
	byJob, byClass := model.jobs.get(job), model.classes.get(class)
	return clock.Millis(model.blend(int64(declared), model.settings.RunTimePercentile, runTimeScale, 0,
		runTimeOf(byClass), runTimeOf(byJob)))
}

// blend starts from the declared value and moves towards the learned percentiles, first that of
// the class and then that of the job, in proportion to their weights against the prior's.
func (model *Model) blend(declared int64, percentile int, scale scale, margin int, sources ...*histogram) int64 {
	value := float64(declared)
	for position, source := range sources {
		if source == nil || source.total <= 0 {
			continue
		}
		learned := float64(source.percentile(scale, percentile)) * float64(100+margin) / 100
		prior := model.settings.PriorWeight
		if declared == 0 && position == 0 {
			prior = 0
		}
		share := source.total / (source.total + prior)
		value += (learned - value) * share
	}
	return int64(math.Ceil(value))
}

// touch returns the records of the job and its class, creating them as needed.
func (model *Model) touch(job ident.Job, class string) [2]*record {
	return [2]*record{model.jobs.touch(job), model.classes.touch(class)}
}

func cpuOf(record *record) *histogram {
	if record == nil {
		return nil
	}
	return &record.cpu
}

func memoryOf(record *record) *histogram {
	if record == nil {
		return nil
	}
	return &record.memory
}

func runTimeOf(record *record) *histogram {
	if record == nil {
		return nil
	}
	return &record.runTime
}

// records is a map of records bounded by dropping the least recently updated.
type records[Key cmp.Ordered] struct {
	limit  int
	byKey  map[Key]*list.Element
	recent *list.List
}

type keyed[Key cmp.Ordered] struct {
	key    Key
	record record
}

func newRecords[Key cmp.Ordered](limit int) *records[Key] {
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
