package interference

import (
	"math"

	"hyssopjunction/clock"
)

// cacheLifetime is how long predictions are cached. Within this time, decay changes an estimate by less
// than 1%. Learning and imports invalidate the predictions of their pairs at once.
const cacheLifetime = 10 * clock.Second

// predictions holds the predicted excess by one aggressor per load bucket, in points. The last element
// is the one at the mean load.
type predictions [loadBucketCount + 1]float64

// cache holds predictions by victim and aggressor, because placement requests the same pairs for every
// worker that it considers.
type cache struct {
	byVictim map[string]map[string]predictions
	// clearedAt is the time at which the whole cache was last cleared.
	clearedAt clock.Time
}

// forVictim returns the cached predictions for a victim by aggressor. The caller adds missing ones to the
// returned map.
func (cache *cache) forVictim(victim string, now clock.Time) map[string]predictions {
	if now.Sub(cache.clearedAt) >= cacheLifetime {
		clear(cache.byVictim)
		cache.clearedAt = now
	}
	byAggressor := cache.byVictim[victim]
	if byAggressor == nil {
		byAggressor = make(map[string]predictions)
		cache.byVictim[victim] = byAggressor
	}
	return byAggressor
}

// remove invalidates the predictions of a pair.
func (cache *cache) remove(victim, aggressor string) {
	delete(cache.byVictim[victim], aggressor)
}

// Slowdown predicts the slowdown of work of the class beside the residents, in percent, at the mean load
// of the measurements. The residents must not include the work itself.
func (model *Model) Slowdown(class string, residents []string) int {
	return model.predict(class, residents, loadBucketCount)
}

// At returns a predictor for a load in percent of a worker's processor capacity. It uses the current
// estimates of the model, also after later measurements.
func (model *Model) At(load int) LoadPredictor {
	return LoadPredictor{model: model, bucket: bucketOf(load)}
}

// LoadPredictor predicts slowdowns in one load bucket.
type LoadPredictor struct {
	model  *Model
	bucket int
}

// Slowdown predicts the slowdown of work of the class beside the residents, in percent.
func (predictor LoadPredictor) Slowdown(class string, residents []string) int {
	return predictor.model.predict(class, residents, predictor.bucket)
}

// predict returns the predicted slowdown in a load bucket, in percent, where the bucket loadBucketCount
// stands for the mean load. The effects of the residents add up.
func (model *Model) predict(class string, residents []string, bucket int) int {
	byAggressor := model.cache.forVictim(class, model.now)
	excess := 0.0
	for _, resident := range residents {
		values, ok := byAggressor[resident]
		if !ok {
			for index := range values {
				values[index] = max(model.excess(pair{victim: class, aggressor: resident}, index), 0)
			}
			byAggressor[resident] = values
		}
		excess += values[bucket]
	}
	return min(100+int(math.Round(excess)), maxSlowdownPercent)
}

// excess returns the weighted mean of the own and the imported estimate of a pair in a load bucket, in
// points. The bucket loadBucketCount stands for the mean load. Imported estimates count for
// ImportPercent of their weight.
func (model *Model) excess(key pair, bucket int) float64 {
	halfLife := model.settings.HalfLifeMillis
	own := estimate{}
	if record := model.pairs[key]; record != nil {
		own = record.mean(model.now, halfLife)
		if bucket < loadBucketCount {
			if atLoad := record.byLoad[bucket].decayed(model.now, halfLife); atLoad.weight >= 0.01 {
				// The mean over all loads takes the place of the prior, which is no slowdown.
				own = estimate{excess: atLoad.excess + own.excess/(atLoad.weight+1), weight: atLoad.weight + 1}
			}
		}
	}
	imported, ok := model.merged[key]
	if !ok {
		return own.excess
	}
	imported = imported.decayed(model.now, halfLife)
	imported.weight *= float64(model.settings.ImportPercent) / 100
	if own.weight+imported.weight == 0 {
		return 0
	}
	return (own.excess*own.weight + imported.excess*imported.weight) / (own.weight + imported.weight)
}
