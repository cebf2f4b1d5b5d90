package interference

import (
	"cmp"
	"math"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// bounds are the lower ends of the second and later load buckets, in percent of a worker's
// processor capacity. Interference rises steeply once the processors are nearly busy.
var bounds = [...]int{50, 80}

const (
	buckets = len(bounds) + 1
	// maxSlowdown bounds measurements and predictions in percent, so that a single wrong
	// measurement cannot dominate a pair for several half-lives.
	maxSlowdown = 1000
	// maxChanges bounds the remembered changes of residents per worker.
	maxChanges = 128
)

type pair struct {
	victim    string
	aggressor string
}

// estimate is the learned mean excess over 100 percent caused by one aggressor, with the number of
// measurements it stands on. The prior is one measurement of no excess.
type estimate struct {
	excess float64
	weight float64
	at     clock.Time
}

// decayed returns the estimate at now. Both the weight and the distance from the prior shrink.
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

type record struct {
	loads [buckets]estimate
	// sent is the estimate that was exported last.
	sent   int
	weight int64
}

// Resident is one piece of work on a worker.
type Resident struct {
	Class string
	// Percent is the share of processor time it may use; 100 is unthrottled. A throttled task
	// interferes in proportion.
	Percent int
}

type change struct {
	at        clock.Time
	load      int
	residents []Resident
}

// Model holds the pair estimates of one entry daemon. It is used by one goroutine.
type Model struct {
	settings Settings
	now      clock.Time
	pairs    map[pair]*record
	remote   map[ident.Entry]map[pair]estimate
	merged   map[pair]estimate
	history  map[ident.Worker][]change
	dropped  uint64
	cache    cache
}

// New returns a Model that has learned nothing and predicts no slowdown.
func New(settings Settings) *Model {
	return &Model{
		settings: settings,
		pairs:    make(map[pair]*record),
		remote:   make(map[ident.Entry]map[pair]estimate),
		merged:   make(map[pair]estimate),
		history:  make(map[ident.Worker][]change),
		cache:    cache{values: make(map[string]map[string]prediction)},
	}
}

// Residents records all work on a worker, services included, from at on. Load is the
// processor time in use in percent of the capacity. Calls for one worker must be in order of time.
func (model *Model) Residents(worker ident.Worker, residents []Resident, load int, at clock.Time) {
	model.now = max(model.now, at)
	sorted := slices.Clone(residents)
	slices.SortFunc(sorted, func(left, right Resident) int {
		return cmp.Or(cmp.Compare(left.Class, right.Class), cmp.Compare(left.Percent, right.Percent))
	})
	past := model.history[worker]
	if last := len(past) - 1; last >= 0 && bucketOf(past[last].load) == bucketOf(load) && slices.Equal(past[last].residents, sorted) {
		return
	}
	past = append(past, change{at: at, load: load, residents: sorted})
	// The change before the history's start still tells who was there at its start.
	for len(past) > maxChanges || (len(past) > 1 && at.Sub(past[1].at) >= model.settings.HistoryMillis) {
		past = slices.Delete(past, 0, 1)
	}
	model.history[worker] = past
}

// ForgetWorker drops the history of a worker that is gone or homed elsewhere.
func (model *Model) ForgetWorker(worker ident.Worker) {
	delete(model.history, worker)
}

// Dropped returns the number of measurements that could not be attributed.
func (model *Model) Dropped() uint64 {
	return model.dropped
}

// Observe learns from a measured slowdown of class on worker, in percent, taken lag before now. It
// is attributed to the residents at the time it was taken.
func (model *Model) Observe(worker ident.Worker, class string, slowdown int, lag clock.Millis, now clock.Time) {
	model.now = max(model.now, now)
	taken := now.Add(-lag)
	past := model.history[worker]
	index := len(past) - 1
	for index >= 0 && past[index].at.After(taken) {
		index--
	}
	if index < 0 || (index > 0 && taken.Sub(past[index].at) < model.settings.SettleMillis) {
		model.dropped++
		return
	}
	counts := others(class, past[index].residents)
	if len(counts) == 0 {
		return
	}
	model.learn(class, counts, bucketOf(past[index].load), slowdown, taken)
}

// learn spreads the prediction error over the present pairs in proportion to their uncertainty,
// which is the update of a Kalman filter with a diagonal covariance.
func (model *Model) learn(class string, counts map[string]float64, bucket, slowdown int, taken clock.Time) {
	measured := float64(min(max(slowdown, 100), maxSlowdown) - 100)
	aggressors := set.SortedKeys(counts)
	predicted, spread := 0.0, 1.0
	for _, aggressor := range aggressors {
		cell := model.cell(pair{victim: class, aggressor: aggressor}, bucket, taken)
		count := counts[aggressor]
		predicted += count * cell.excess
		spread += count * count / (cell.weight + 1)
	}
	for _, aggressor := range aggressors {
		cell := &model.pairs[pair{victim: class, aggressor: aggressor}].loads[bucket]
		count := counts[aggressor]
		model.cache.drop(class, aggressor)
		variance := 1 / (cell.weight + 1)
		cell.excess += variance * count / spread * (measured - predicted)
		cell.weight = min((cell.weight+1)/(1-variance*count*count/spread)-1, model.settings.MaxWeight)
	}
}

// cell returns the estimate of a pair at a load, decayed to at. A bucket without measurements starts
// from the pair's mean over the other buckets.
func (model *Model) cell(key pair, bucket int, at clock.Time) *estimate {
	known := model.pairs[key]
	if known == nil {
		if len(model.pairs) >= model.settings.MaxPairs {
			model.dropLightest(at)
		}
		known = &record{}
		model.pairs[key] = known
	}
	cell := &known.loads[bucket]
	*cell = cell.decayed(at, model.settings.HalfLifeMillis)
	if cell.weight < 0.01 {
		cell.excess = known.mean(at, model.settings.HalfLifeMillis).excess
	}
	return cell
}

// mean returns the pair's estimate over all loads.
func (known *record) mean(at clock.Time, halfLife clock.Millis) estimate {
	sum := estimate{at: at}
	for _, cell := range known.loads {
		cell = cell.decayed(at, halfLife)
		sum.excess += cell.excess * cell.weight
		sum.weight += cell.weight
	}
	if sum.weight > 0 {
		sum.excess /= sum.weight
	}
	return sum
}

func (model *Model) dropLightest(at clock.Time) {
	var lightest pair
	least := math.Inf(1)
	for key, known := range model.pairs {
		weight := known.mean(at, model.settings.HalfLifeMillis).weight
		if weight < least || (weight == least && before(key, lightest)) {
			lightest, least = key, weight
		}
	}
	delete(model.pairs, lightest)
	model.cache.drop(lightest.victim, lightest.aggressor)
}

// others sums the shares of the residents by class, without one instance of the measured class itself.
func others(class string, residents []Resident) map[string]float64 {
	counts := make(map[string]float64)
	skipped := false
	for _, resident := range residents {
		if resident.Class == class && !skipped {
			skipped = true
			continue
		}
		if resident.Percent > 0 {
			counts[resident.Class] += float64(resident.Percent) / 100
		}
	}
	return counts
}

func bucketOf(load int) int {
	bucket := 0
	for bucket < len(bounds) && load >= bounds[bucket] {
		bucket++
	}
	return bucket
}

func before(left, right pair) bool {
	if left.victim != right.victim {
		return left.victim < right.victim
	}
	return left.aggressor < right.aggressor
}
