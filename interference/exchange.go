package interference

import (
	"cmp"
	"math"
	"slices"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
)

const (
	// minExportChangePoints is the minimum change of an estimate for exporting it again.
	minExportChangePoints = 3
	// minExportWeightMilli is the minimum weight of an exported pair, in thousandths of a measurement.
	minExportWeightMilli = 500
)

// Export returns up to limit of this entry's own estimates, those with the largest change since their
// last export first. Unless full is set, it omits estimates that hardly changed. It never returns
// imported estimates, which would echo between entries.
func (model *Model) Export(limit int, full bool) []*controlpb.PairEstimate {
	type candidate struct {
		key      pair
		record   *pairRecord
		slowdown int
		weight   int64
		change   int
	}
	var candidates []candidate
	for key, record := range model.pairs {
		mean := record.mean(model.now, model.settings.HalfLifeMillis)
		slowdown, weight := 100+int(math.Round(max(mean.excess, 0))), int64(mean.weight*1000)
		if weight < minExportWeightMilli {
			continue
		}
		change := max(slowdown-record.exportedSlowdown, record.exportedSlowdown-slowdown)
		changed := change >= minExportChangePoints || weight > 2*record.exportedWeight || 2*weight < record.exportedWeight
		if full || changed {
			candidates = append(candidates, candidate{key: key, record: record, slowdown: slowdown, weight: weight, change: change})
		}
	}
	slices.SortFunc(candidates, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(right.change, left.change),
			cmp.Compare(left.key.victim, right.key.victim), cmp.Compare(left.key.aggressor, right.key.aggressor))
	})
	var estimates []*controlpb.PairEstimate
	for _, candidate := range candidates[:min(limit, len(candidates))] {
		candidate.record.exportedSlowdown, candidate.record.exportedWeight = candidate.slowdown, candidate.weight
		estimates = append(estimates, &controlpb.PairEstimate{
			Victim: candidate.key.victim, Aggressor: candidate.key.aggressor,
			SlowdownPercent: int32(candidate.slowdown), WeightMilli: candidate.weight,
		})
	}
	return estimates
}

// Import stores the estimates of another entry. They replace earlier estimates of the same pairs by the
// same entry. Malformed estimates and those above MaxPairs are discarded.
func (model *Model) Import(from ident.Entry, estimates []*controlpb.PairEstimate) {
	imported := model.imported[from]
	if imported == nil {
		imported = make(map[pair]estimate)
		model.imported[from] = imported
	}
	for _, received := range estimates {
		key := pair{victim: received.GetVictim(), aggressor: received.GetAggressor()}
		slowdown := int(received.GetSlowdownPercent())
		if key.victim == "" || key.aggressor == "" || slowdown < 100 || slowdown > maxSlowdownPercent || received.GetWeightMilli() <= 0 {
			model.discarded++
			continue
		}
		if _, replaced := imported[key]; !replaced && len(imported) >= model.settings.MaxPairs {
			model.discarded++
			continue
		}
		imported[key] = estimate{excess: float64(slowdown - 100), weight: float64(received.GetWeightMilli()) / 1000, at: model.now}
		model.merge(key)
	}
}

// RemoveEntry removes the estimates of an entry that left.
func (model *Model) RemoveEntry(from ident.Entry) {
	estimates := model.imported[from]
	delete(model.imported, from)
	for key := range estimates {
		model.merge(key)
	}
}

// merge recomputes the weighted mean of the imported estimates of a pair.
func (model *Model) merge(key pair) {
	model.cache.remove(key.victim, key.aggressor)
	sum := estimate{at: model.now}
	entries := make([]ident.Entry, 0, len(model.imported))
	for entry := range model.imported {
		entries = append(entries, entry)
	}
	slices.Sort(entries)
	for _, entry := range entries {
		if imported, ok := model.imported[entry][key]; ok {
			imported = imported.decayed(model.now, model.settings.HalfLifeMillis)
			sum.excess += imported.excess * imported.weight
			sum.weight += imported.weight
		}
	}
	if sum.weight < 0.01 {
		delete(model.merged, key)
		return
	}
	sum.excess /= sum.weight
	model.merged[key] = sum
}
