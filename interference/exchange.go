package interference

import (
	"cmp"
	"math"
	"slices"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
)

const (
	// changedPercent is the change of an estimate, in points, from which it is exported again.
	changedPercent = 3
	// leastWeight is the weight in thousandths of a measurement below which a pair is not exported.
	leastWeight = 500
)

// Export returns up to limit own pair estimates that changed since they were last exported, or all
// if full, largest change first. Estimates taken over from other entries are not passed on.
func (model *Model) Export(limit int, full bool) []*controlpb.PairEstimate {
	type candidate struct {
		key      pair
		known    *record
		slowdown int
		weight   int64
		change   int
	}
	var candidates []candidate
	for key, known := range model.pairs {
		mean := known.mean(model.now, model.settings.HalfLifeMillis)
		slowdown, weight := 100+int(math.Round(max(mean.excess, 0))), int64(mean.weight*1000)
		if weight < leastWeight {
			continue
		}
		change := max(slowdown-known.sent, known.sent-slowdown)
		moved := change >= changedPercent || weight > 2*known.weight || 2*weight < known.weight
		if full || moved {
			candidates = append(candidates, candidate{key: key, known: known, slowdown: slowdown, weight: weight, change: change})
		}
	}
	slices.SortFunc(candidates, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(right.change, left.change),
			cmp.Compare(left.key.victim, right.key.victim), cmp.Compare(left.key.aggressor, right.key.aggressor))
	})
	var estimates []*controlpb.PairEstimate
	for _, chosen := range candidates[:min(limit, len(candidates))] {
		chosen.known.sent, chosen.known.weight = chosen.slowdown, chosen.weight
		estimates = append(estimates, &controlpb.PairEstimate{
			Victim: chosen.key.victim, Aggressor: chosen.key.aggressor,
			SlowdownPercent: int32(chosen.slowdown), WeightMilli: chosen.weight,
		})
	}
	return estimates
}

// Import takes over the pair estimates of another entry. Later estimates of the same entry replace
// its earlier ones. Malformed estimates and those above MaxPairs are dropped.
func (model *Model) Import(from ident.Entry, estimates []*controlpb.PairEstimate) {
	known := model.remote[from]
	if known == nil {
		known = make(map[pair]estimate)
		model.remote[from] = known
	}
	for _, shared := range estimates {
		key := pair{victim: shared.GetVictim(), aggressor: shared.GetAggressor()}
		slowdown := int(shared.GetSlowdownPercent())
		if key.victim == "" || key.aggressor == "" || slowdown < 100 || slowdown > maxSlowdown || shared.GetWeightMilli() <= 0 {
			model.dropped++
			continue
		}
		if _, replaced := known[key]; !replaced && len(known) >= model.settings.MaxPairs {
			model.dropped++
			continue
		}
		known[key] = estimate{excess: float64(slowdown - 100), weight: float64(shared.GetWeightMilli()) / 1000, at: model.now}
		model.merge(key)
	}
}

// ForgetEntry drops the estimates of an entry that left.
func (model *Model) ForgetEntry(from ident.Entry) {
	keys := model.remote[from]
	delete(model.remote, from)
	for key := range keys {
		model.merge(key)
	}
}

// merge recomputes the weighted mean of all entries' estimates of a pair.
func (model *Model) merge(key pair) {
	model.cache.drop(key.victim, key.aggressor)
	sum := estimate{at: model.now}
	entries := make([]ident.Entry, 0, len(model.remote))
	for entry := range model.remote {
		entries = append(entries, entry)
	}
	slices.Sort(entries)
	for _, entry := range entries {
		if shared, ok := model.remote[entry][key]; ok {
			shared = shared.decayed(model.now, model.settings.HalfLifeMillis)
			sum.excess += shared.excess * shared.weight
			sum.weight += shared.weight
		}
	}
	if sum.weight < 0.01 {
		delete(model.merged, key)
		return
	}
	sum.excess /= sum.weight
	model.merged[key] = sum
}
