package coordinator

import (
	"encoding/json"
	"math"
	"slices"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/store"
)

const (
	// weightsTable holds the learned interference weights, so that a new leader has them.
	weightsTable store.Table = "learned"
	weightsKey   string      = "interference"
	// weightsStoreInterval is how often the weights are stored. A new leader lacks the evidence of at most
	// this time; shorter intervals cost more writes.
	weightsStoreInterval clock.Millis = 4 * clock.Second
	// maxStoredWeights keeps the row below the store's limit of 64 KB. The row shares its transaction with the renewal
	// of the leader's lease, so a row that is too large would end the term.
	maxStoredWeights = 800
)

// weightRow is the stored form of a learned weight. The JSON names are short because one row holds all pairs.
type weightRow struct {
	Serving pacing.Image `json:"S"`
	Filling pacing.Image `json:"F"`
	Weight  float64      `json:"W"`
}

// loadWeights passes the weights that earlier leaders learned to the scheduler. If they cannot be decoded,
// the leader learns them anew.
func (coordinator *Coordinator) loadWeights(rows []store.Row) {
	for _, row := range rows {
		if row.Key != weightsKey {
			continue
		}
		coordinator.weightsVersion = row.Version
		var weightRows []weightRow
		if err := json.Unmarshal(row.Value, &weightRows); err != nil {
			klog.ErrorS(err, "Stored weights ignored")
			return
		}
		weights := make([]pacing.LearnedWeight, 0, len(weightRows))
		for _, item := range weightRows {
			weights = append(weights, pacing.LearnedWeight{Serving: item.Serving, Filling: item.Filling, Weight: item.Weight})
		}
		coordinator.scheduler.LoadWeights(weights)
	}
}

// weightsTx returns the transaction that stores the learned weights, or false if there are none.
func (coordinator *Coordinator) weightsTx(now clock.Time) (store.Tx, bool) {
	weights := coordinator.scheduler.LearnedWeights(now)
	value, ok := encodeWeights(weights, maxStoredWeights)
	for limit := min(len(weights), maxStoredWeights) / 2; ok && len(value) > coordinator.deps.maxRowBytes(); limit /= 2 {
		value, ok = encodeWeights(weights, limit) // The names of images have any length.
	}
	if !ok {
		return store.Tx{}, false
	}
	ref := store.Ref{Table: weightsTable, Key: weightsKey}
	return store.Tx{
		Conditions: []store.Condition{{Ref: ref, Version: coordinator.weightsVersion}}, Puts: []store.Put{{Ref: ref, Value: value}},
	}, true
}

// encodeWeights encodes the most informative weights, at most limit of them, or returns false if there are none.
func encodeWeights(weights []pacing.LearnedWeight, limit int) ([]byte, bool) {
	var rows []weightRow
	for _, weight := range mostInformative(weights, limit) {
		rows = append(rows, weightRow{Serving: weight.Serving, Filling: weight.Filling, Weight: math.Round(weight.Weight*weightScale) / weightScale})
	}
	if len(rows) == 0 {
		return nil, false
	}
	value, err := json.Marshal(rows)
	if err != nil {
		klog.ErrorS(err, "Could not encode the learned weights")
		return nil, false
	}
	return value, true
}

// mostInformative returns at most limit of the weights: those that differ most from the prior, in the order
// given.
func mostInformative(weights []pacing.LearnedWeight, limit int) []pacing.LearnedWeight {
	if limit == 0 {
		return nil
	}
	if len(weights) <= limit {
		return weights
	}
	distances := make([]float64, len(weights))
	for position, weight := range weights {
		distances[position] = math.Abs(weight.Weight - pacing.PriorWeight)
	}
	sorted := slices.Clone(distances)
	slices.Sort(sorted)
	least := sorted[len(sorted)-limit]
	var kept []pacing.LearnedWeight
	for position, weight := range weights {
		if distances[position] >= least && len(kept) < limit {
			kept = append(kept, weight)
		}
	}
	return kept
}
