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

// Export writes the jobs, classes and memory floors to a snapshot. Of the jobs it includes the most
// recently measured ones, at most as many as the parameter jobs.
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
	if floors.overall > 0 {
		snapshot.Floors = append(snapshot.Floors, &controlpb.MemoryFloor{MemoryMib: int64(floors.overall)})
	}
}

// Import merges a snapshot that was written age ago. Of two histograms of a job or class it keeps the one
// with more weight, so that a snapshot that is imported twice counts once. Malformed parts are ignored.
func (model *Model) Import(snapshot *controlpb.Learned, age clock.Millis, now clock.Time) {
	model.jobs.importRecords(snapshot.GetJobs(), age, now)
	model.classes.importRecords(snapshot.GetClasses(), age, now)
	for _, floor := range snapshot.GetFloors() {
		memory := unit.Mebibytes(floor.GetMemoryMib())
		switch {
		case memory <= 0:
		case floor.GetJob() != "":
			model.floors.raise(ident.Job(floor.GetJob()), floor.GetClass(), memory)
		case floor.GetClass() != "":
			model.floors.raiseClass(floor.GetClass(), memory)
		default:
			model.floors.overall = max(model.floors.overall, memory)
		}
	}
}

func (records *records[Key]) export(limit int, now clock.Time) []*controlpb.SizeRecord {
	var exported []*controlpb.SizeRecord
	for element := records.byRecency.Front(); element != nil && len(exported) < limit; element = element.Next() {
		entry := element.Value.(*keyedRecord[Key])
		exported = append(exported, &controlpb.SizeRecord{
			Name: string(entry.key), Cpu: entry.record.cpu.export(now),
			Memory: entry.record.memory.export(now), RunTime: entry.record.runTime.export(now),
		})
	}
	return exported
}

// importRecords merges records that are sorted from the most to the least recent.
func (records *records[Key]) importRecords(messages []*controlpb.SizeRecord, age clock.Millis, now clock.Time) {
	for index := len(messages) - 1; index >= 0; index-- {
		if messages[index].GetName() == "" {
			continue
		}
		record := records.getOrAdd(Key(messages[index].GetName()))
		record.cpu.importHistogram(messages[index].GetCpu(), age, now)
		record.memory.importHistogram(messages[index].GetMemory(), age, now)
		record.runTime.importHistogram(messages[index].GetRunTime(), age, now)
	}
}

func (histogram *histogram) export(now clock.Time) *controlpb.Histogram {
	if histogram.total <= 0 {
		return nil
	}
	exported := &controlpb.Histogram{Highest: histogram.highest, AgeMillis: int64(now.Sub(histogram.decayedAt))}
	for index, weight := range histogram.weights {
		if weight > 0 {
			exported.Cells = append(exported.Cells, uint32(index))
			exported.Weights = append(exported.Weights, weight)
		}
	}
	return exported
}

// importHistogram replaces the histogram by the one in the message if that is valid and has more weight.
func (histogram *histogram) importHistogram(message *controlpb.Histogram, age clock.Millis, now clock.Time) {
	imported, ok := decodeHistogram(message)
	if !ok || imported.total <= histogram.total {
		return
	}
	imported.decayedAt = now.Add(-age - clock.Millis(message.GetAgeMillis()))
	*histogram = imported
}

func decodeHistogram(message *controlpb.Histogram) (decoded histogram, ok bool) {
	if len(message.GetCells()) != len(message.GetWeights()) || message.GetHighest() < 0 || message.GetAgeMillis() < 0 {
		return decoded, false
	}
	for index, cell := range message.GetCells() {
		weight := message.GetWeights()[index]
		if cell >= cellCount || cmp.Compare(weight, 0) <= 0 || math.IsInf(float64(weight), 0) {
			return decoded, false
		}
		decoded.total += float64(weight - decoded.weights[cell])
		decoded.weights[cell] = weight
	}
	decoded.highest = message.GetHighest()
	return decoded, decoded.total > 0
}
