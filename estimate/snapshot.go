package estimate

import (
	"cmp"
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/unit"
)

// Export adds up to jobs most recently measured jobs, all classes and all memory floors to a snapshot.
func (model *Model) Export(snapshot *controlpb.Learned, jobs int, now clock.Time) {
	snapshot.Jobs = model.jobs.export(jobs, now)
	snapshot.Classes = model.classes.export(model.settings.MaxClasses, now)
	floors := model.floors
	for _, job := range set.SortedKeys(floors.jobs) {
		snapshot.Floors = append(snapshot.Floors, &controlpb.MemoryFloor{Job: string(job), MemoryMib: int64(floors.jobs[job])})
	}
	for _, class := range set.SortedKeys(floors.classes) {
		snapshot.Floors = append(snapshot.Floors, &controlpb.MemoryFloor{Class: class, MemoryMib: int64(floors.classes[class])})
	}
	if floors.all > 0 {
		snapshot.Floors = append(snapshot.Floors, &controlpb.MemoryFloor{MemoryMib: int64(floors.all)})
	}
}

// Import takes over a snapshot that was written age ago. Of two histograms of one job or class the one
// with more weight is kept, so that a snapshot read again counts once. Malformed parts are dropped.
func (model *Model) Import(snapshot *controlpb.Learned, age clock.Millis, now clock.Time) {
	model.jobs.take(snapshot.GetJobs(), age, now)
	model.classes.take(snapshot.GetClasses(), age, now)
	for _, floor := range snapshot.GetFloors() {
		memory := unit.Mebibytes(floor.GetMemoryMib())
		switch {
		case memory <= 0:
		case floor.GetJob() != "":
			model.floors.raise(ident.Job(floor.GetJob()), floor.GetClass(), memory)
		case floor.GetClass() != "":
			model.floors.raiseClass(floor.GetClass(), memory)
		default:
			model.floors.all = max(model.floors.all, memory)
		}
	}
}

func (records *records[Key]) export(limit int, now clock.Time) []*controlpb.SizeRecord {
	var exported []*controlpb.SizeRecord
	for element := records.recent.Front(); element != nil && len(exported) < limit; element = element.Next() {
		entry := element.Value.(*keyed[Key])
		exported = append(exported, &controlpb.SizeRecord{
			Name: string(entry.key), Cpu: entry.record.cpu.export(now),
			Memory: entry.record.memory.export(now), RunTime: entry.record.runTime.export(now),
		})
	}
	return exported
}

// take adds records, the most recent of which come first.
func (records *records[Key]) take(told []*controlpb.SizeRecord, age clock.Millis, now clock.Time) {
	for index := len(told) - 1; index >= 0; index-- {
		if told[index].GetName() == "" {
			continue
		}
		record := records.touch(Key(told[index].GetName()))
		record.cpu.take(told[index].GetCpu(), age, now)
		record.memory.take(told[index].GetMemory(), age, now)
		record.runTime.take(told[index].GetRunTime(), age, now)
	}
}

func (histogram *histogram) export(now clock.Time) *controlpb.Histogram {
	if histogram.total <= 0 {
		return nil
	}
	exported := &controlpb.Histogram{Highest: histogram.highest, AgeMillis: int64(now.Sub(histogram.at))}
	for index, weight := range histogram.weights {
		if weight > 0 {
			exported.Cells = append(exported.Cells, uint32(index))
			exported.Weights = append(exported.Weights, weight)
		}
	}
	return exported
}

// take replaces the histogram by one with more weight.
func (histogram *histogram) take(told *controlpb.Histogram, age clock.Millis, now clock.Time) {
	taken, ok := fromMessage(told)
	if !ok || taken.total <= histogram.total {
		return
	}
	taken.at = now.Add(-age - clock.Millis(told.GetAgeMillis()))
	*histogram = taken
}

func fromMessage(told *controlpb.Histogram) (taken histogram, ok bool) {
	if len(told.GetCells()) != len(told.GetWeights()) || told.GetHighest() < 0 || told.GetAgeMillis() < 0 {
		return taken, false
	}
	for index, cell := range told.GetCells() {
		weight := told.GetWeights()[index]
		if cell >= cells || cmp.Compare(weight, 0) <= 0 || math.IsInf(float64(weight), 0) {
			return taken, false
		}
		taken.total += float64(weight - taken.weights[cell])
		taken.weights[cell] = weight
	}
	taken.highest = told.GetHighest()
	return taken, taken.total > 0
}
