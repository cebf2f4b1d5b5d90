package interference

import (
	"math"

	"hyssopjunction/clock"
)

// cacheMillis is how long computed predictions are kept. Decay changes an estimate by less than 1%
// in this time; learning and imports drop the predictions of their pairs at once.
const cacheMillis = 10 * clock.Second

// prediction is the excess caused by one aggressor per load bucket, and last over all loads.
type prediction [buckets + 1]float64

// cache holds predictions by victim and aggressor. Placement asks for the same pairs for every
// worker it considers.
type cache struct {
	values map[string]map[string]prediction
	at     clock.Time
}

// of returns the predictions for a victim, to be read and added to.
func (cache *cache) of(victim string, now clock.Time) map[string]prediction {
	if now.Sub(cache.at) >= cacheMillis {
		clear(cache.values)
		cache.at = now
	}
	known := cache.values[victim]
	if known == nil {
		known = make(map[string]prediction)
		cache.values[victim] = known
	}
	return known
}

func (cache *cache) drop(victim, aggressor string) {
	delete(cache.values[victim], aggressor)
}

// Slowdown predicts the slowdown of work of class beside the residents in percent, at the mean of
// the loads that were measured. The residents do not include the work itself.
func (model *Model) Slowdown(class string, residents []string) int {
	return model.predict(class, residents, buckets)
}

// At returns the predictions at a load, in percent of a worker's processor capacity. They follow
// later learning.
func (model *Model) At(load int) Loaded {
	return Loaded{model: model, bucket: bucketOf(load)}
}

// Loaded predicts slowdowns at one load.
type Loaded struct {
	model  *Model
	bucket int
}

// Slowdown predicts the slowdown of work of class beside the residents in percent.
func (loaded Loaded) Slowdown(class string, residents []string) int {
	return loaded.model.predict(class, residents, loaded.bucket)
}

func (model *Model) predict(class string, residents []string, bucket int) int {
	known := model.cache.of(class, model.now)
	excess := 0.0
	for _, resident := range residents {
		values, ok := known[resident]
		if !ok {
			for index := range values {
				values[index] = max(model.excess(pair{victim: class, aggressor: resident}, index), 0)
			}
			known[resident] = values
		}
		excess += values[bucket]
	}
	return min(100+int(math.Round(excess)), maxSlowdown)
}

// excess combines own and imported estimates of a pair. Bucket number buckets stands for the mean of all.
func (model *Model) excess(key pair, bucket int) float64 {
	halfLife := model.settings.HalfLifeMillis
	own := estimate{}
	if known := model.pairs[key]; known != nil {
		own = known.mean(model.now, halfLife)
		if bucket < buckets {
			if cell := known.loads[bucket].decayed(model.now, halfLife); cell.weight >= 0.01 {
				// The mean over all loads replaces the prior of no excess.
				own = estimate{excess: cell.excess + own.excess/(cell.weight+1), weight: cell.weight + 1}
			}
		}
	}
	shared, ok := model.merged[key]
	if !ok {
		return own.excess
	}
	shared = shared.decayed(model.now, halfLife)
	shared.weight *= float64(model.settings.ImportPercent) / 100
	if own.weight+shared.weight == 0 {
		return 0
	}
	return (own.excess*own.weight + shared.excess*shared.weight) / (own.weight + shared.weight)
}
