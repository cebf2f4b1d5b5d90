package interference

import (
	"cmp"
	"math"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// loadBucketBounds are the lower bounds of the second and later load buckets, in percent of a worker's
// processor capacity. Estimates are separate per bucket, because interference rises steeply once the
// processors are nearly busy.
var loadBucketBounds = [...]int{50, 80}

const (
	loadBucketCount = len(loadBucketBounds) + 1
	// maxSlowdownPercent is the limit of measurements and predictions, so that a single wrong measurement
	// can't dominate a pair for several half-lives.
	maxSlowdownPercent = 1000
	// maxResidentChanges is the maximum number of stored changes of residents per worker.
	maxResidentChanges = 128
)

// pair identifies the slowdown of work of the class victim by work of the class aggressor.
type pair struct {
	victim    string
	aggressor string
}

// estimate is the learned slowdown by one unthrottled aggressor. The prior is a single measurement of no
// slowdown.
type estimate struct {
	// excess is the mean slowdown above 100 percent, in points.
	excess float64
	// weight is the number of measurements behind the estimate, decayed with age, without the prior.
	weight float64
	// at is the time up to which the estimate is decayed.
	at clock.Time
}

// decayed returns the estimate decayed to now: its weight halves per half-life, and its excess moves
// towards the prior.
func (estimate estimate) decayed(now clock.Time, halfLife clock.Millis) estimate {
	if !now.After(estimate.at) {
		return estimate
	}
	factor := math.Exp2(-float64(now.Sub(estimate.at)) / float64(halfLife))
	weight := estimate.weight * factor
	estimate.excess *= factor * (estimate.weight + 1) / (weight + 1)
	estimate.weight = weight
	estimate.at = now
	return estimate
}

// pairRecord holds the estimates of a pair per load bucket.
type pairRecord struct {
	byLoad [loadBucketCount]estimate
	// exportedSlowdown, in percent, and exportedWeight, in thousandths, are the values of the latest
	// export.
	exportedSlowdown int
	exportedWeight   int64
}

// Resident is a task or service on a worker.
type Resident struct {
	Class string
	// Percent is the share of processor time that it may use; 100 means unthrottled. The interference by
	// a throttled task is assumed to be proportional to it.
	Percent int
}

// residentChange holds the residents and the load of a worker from the time at on.
type residentChange struct {
	at clock.Time
	// load is the processor time in use, in percent of the capacity.
	load      int
	residents []Resident
}

// Model learns how much classes of work slow each other down and predicts slowdowns. It exchanges its
// estimates with the models of other entries. It is not safe for concurrent use.
type Model struct {
	settings Settings
	// now is the latest time passed to Residents or Observe.
	now clock.Time
	// pairs holds the estimates that this entry learned.
	pairs map[pair]*pairRecord
	// imported holds the estimates of other entries, and merged their weighted means.
	imported map[ident.Entry]map[pair]estimate
	merged   map[pair]estimate
	// history holds the changes of residents per worker, oldest first.
	history   map[ident.Worker][]residentChange
	discarded uint64
	cache     cache
}

// NewModel returns a Model without estimates. It predicts no slowdown.
func NewModel(settings Settings) *Model {
	return &Model{
		settings: settings,
		pairs:    make(map[pair]*pairRecord),
		imported: make(map[ident.Entry]map[pair]estimate),
		merged:   make(map[pair]estimate),
		history:  make(map[ident.Worker][]residentChange),
		cache:    cache{byVictim: make(map[string]map[string]predictions)},
	}
}

// Residents records all work on a worker, including services, from the time at on. Load is the processor
// time in use, in percent of the capacity. Calls for the same worker must be in order of time.
func (model *Model) Residents(worker ident.Worker, residents []Resident, load int, at clock.Time) {
	model.now = max(model.now, at)
	sorted := slices.Clone(residents)
	slices.SortFunc(sorted, func(left, right Resident) int {
		return cmp.Or(cmp.Compare(left.Class, right.Class), cmp.Compare(left.Percent, right.Percent))
	})
	changes := model.history[worker]
	if last := len(changes) - 1; last >= 0 && bucketOf(changes[last].load) == bucketOf(load) && slices.Equal(changes[last].residents, sorted) {
		return
	}
	changes = append(changes, residentChange{at: at, load: load, residents: sorted})
	// The latest change before the start of the history is kept, because its residents were still
	// present at that time.
	for len(changes) > maxResidentChanges || (len(changes) > 1 && at.Sub(changes[1].at) >= model.settings.HistoryMillis) {
		changes = slices.Delete(changes, 0, 1)
	}
	model.history[worker] = changes
}

// RemoveWorker removes the history of a worker that left or that has another home entry now.
func (model *Model) RemoveWorker(worker ident.Worker) {
	delete(model.history, worker)
}

// Discarded returns the number of measurements that could not be attributed to residents and of imported
// estimates that were malformed or above MaxPairs.
func (model *Model) Discarded() uint64 {
	return model.discarded
}

// Observe learns from a slowdown of class on worker, in percent, that was measured lag before now. The
// slowdown is attributed to the residents at the time of the measurement.
func (model *Model) Observe(worker ident.Worker, class string, slowdown int, lag clock.Millis, now clock.Time) {
	model.now = max(model.now, now)
	measuredAt := now.Add(-lag)
	changes := model.history[worker]
	index := len(changes) - 1
	for index >= 0 && changes[index].at.After(measuredAt) {
		index--
	}
	if index < 0 || (index > 0 && measuredAt.Sub(changes[index].at) < model.settings.SettleMillis) {
		model.discarded++
		return
	}
	shares := otherShares(class, changes[index].residents)
	if len(shares) == 0 {
		return
	}
	model.learn(class, shares, bucketOf(changes[index].load), slowdown, measuredAt)
}

// learn distributes the prediction error over the pairs of the class with all aggressors in shares, in
// proportion to the uncertainty of their estimates. This is the update of a Kalman filter with a
// diagonal covariance.
func (model *Model) learn(class string, shares map[string]float64, bucket, slowdown int, measuredAt clock.Time) {
	measured := float64(min(max(slowdown, 100), maxSlowdownPercent) - 100)
	aggressors := set.SortedKeys(shares)
	predicted, innovationVariance := 0.0, 1.0
	for _, aggressor := range aggressors {
		estimate := model.ensureEstimate(pair{victim: class, aggressor: aggressor}, bucket, measuredAt)
		share := shares[aggressor]
		predicted += share * estimate.excess
		innovationVariance += share * share / (estimate.weight + 1)
	}
	for _, aggressor := range aggressors {
		estimate := &model.pairs[pair{victim: class, aggressor: aggressor}].byLoad[bucket]
		share := shares[aggressor]
		model.cache.remove(class, aggressor)
		variance := 1 / (estimate.weight + 1)
		estimate.excess += variance * share / innovationVariance * (measured - predicted)
		estimate.weight = min((estimate.weight+1)/(1-variance*share*share/innovationVariance)-1, model.settings.MaxWeight)
	}
}

// ensureEstimate returns the estimate of a pair in a load bucket, decayed to the time at, and adds one if
// there is none. A bucket without measurements, or whose weight has decayed below 0.01, starts from the
// mean of the other buckets.
func (model *Model) ensureEstimate(key pair, bucket int, at clock.Time) *estimate {
	record := model.pairs[key]
	if record == nil {
		if len(model.pairs) >= model.settings.MaxPairs {
			model.removeLightestPair(at)
		}
		record = &pairRecord{}
		model.pairs[key] = record
	}
	estimate := &record.byLoad[bucket]
	*estimate = estimate.decayed(at, model.settings.HalfLifeMillis)
	if estimate.weight < 0.01 {
		estimate.excess = record.mean(at, model.settings.HalfLifeMillis).excess
	}
	return estimate
}

// mean returns the weighted mean of the estimates in all load buckets, decayed to the time at.
func (record *pairRecord) mean(at clock.Time, halfLife clock.Millis) estimate {
	sum := estimate{at: at}
	for _, estimate := range record.byLoad {
		estimate = estimate.decayed(at, halfLife)
		sum.excess += estimate.excess * estimate.weight
		sum.weight += estimate.weight
	}
	if sum.weight > 0 {
		sum.excess /= sum.weight
	}
	return sum
}

// removeLightestPair removes the pair with the least weight.
func (model *Model) removeLightestPair(at clock.Time) {
	var lightest pair
	minWeight := math.Inf(1)
	for key, record := range model.pairs {
		weight := record.mean(at, model.settings.HalfLifeMillis).weight
		if weight < minWeight || (weight == minWeight && pairLess(key, lightest)) {
			lightest, minWeight = key, weight
		}
	}
	delete(model.pairs, lightest)
	model.cache.remove(lightest.victim, lightest.aggressor)
}

// otherShares returns the sums of the residents' shares of processor time by class, where 1 is one
// unthrottled resident. It omits one resident of the measured class, which is the measured work itself.
func otherShares(class string, residents []Resident) map[string]float64 {
	shares := make(map[string]float64)
	skipped := false
	for _, resident := range residents {
		if resident.Class == class && !skipped {
			skipped = true
			continue
		}
		if resident.Percent > 0 {
			shares[resident.Class] += float64(resident.Percent) / 100
		}
	}
	return shares
}

// bucketOf returns the index of the load bucket of a load in percent.
func bucketOf(load int) int {
	bucket := 0
	for bucket < len(loadBucketBounds) && load >= loadBucketBounds[bucket] {
		bucket++
	}
	return bucket
}

// pairLess reports whether left sorts before right.
func pairLess(left, right pair) bool {
	if left.victim != right.victim {
		return left.victim < right.victim
	}
	return left.aggressor < right.aggressor
}
