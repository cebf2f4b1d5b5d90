// Package pacing keeps serving tasks below their target tail latency while filling tasks use the idle cores.
// Model learns how much each filling image slows each serving image, and Governor decides how much the filling
// tasks of a worker are throttled. The package starts no goroutine and reads no clock.
package pacing

import (
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/set"
)

// Image identifies the program that a task runs.
type Image string

// Parameters of the model. A weight is the increase of the log tail latency of a serving image per core of a
// filling image.
const (
	// PriorWeight is the weight assumed for a pair of images without evidence. It lies between the weights of
	// images that hardly interfere, below 0.03, and of those that do, 0.1 to 0.45.
	PriorWeight = 0.05
	// minSampleGap and maxSampleGap bound the time between two samples that are compared. A sample covers the
	// last half second, and the own load of a serving task changes within seconds.
	minSampleGap = 400 * clock.Millisecond
	maxSampleGap = 2500 * clock.Millisecond
	// minUsageChangeCores is the change of usage below which a difference is ignored.
	minUsageChangeCores = 0.1
	// saturationRatio is the share of the target above which a tail latency is attributed to the task's own load.
	saturationRatio = 6
	// maxResidual is the maximum difference between a measured and the expected increase of a log tail latency:
	// that of 3 cores of a heavy image. The own load of a serving task near its limit can cause larger ones.
	maxResidual = 0.9
	// negligibleWeight is the weight below which a filling image counts as harmless: 8 cores of it increase a
	// tail latency by 15 percent.
	negligibleWeight = 0.018
)

// ServingSample is the tail latency of a serving task.
type ServingSample struct {
	// Task identifies the task, so that its successive samples can be compared.
	Task   string
	Image  Image
	Tail   clock.Millis
	Target clock.Millis
}

// ratio returns the tail latency as a share of its target.
func (sample ServingSample) ratio() float64 {
	return math.Max(float64(sample.Tail), 1) / float64(max(sample.Target, 1))
}

// PoolTails replaces the tail latencies of tasks of the same group by their geometric mean. Tasks of one step on
// one worker share their load and their interference, and single samples are noisy.
func PoolTails(serving []ServingSample, group func(task string) string) {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, task := range serving {
		if task.Tail > 0 {
			sums[group(task.Task)] += math.Log(float64(task.Tail))
			counts[group(task.Task)]++
		}
	}
	for position, task := range serving {
		if count := counts[group(task.Task)]; count > 1 && task.Tail > 0 {
			serving[position].Tail = clock.Millis(math.Round(math.Exp(sums[group(task.Task)] / count)))
		}
	}
}

// FillingSample is the CPU usage of a filling task.
type FillingSample struct {
	Task  string
	Image Image
	// Cores is the number of cores that the task is expected to use at full pace, and Used the number that it uses.
	Cores float64
	Used  float64
}

// Model learns the weight of each pair of images: by how much one core of a filling image increases the
// logarithm of the tail latency of a serving image. The logarithm makes the increase independent of the
// serving task's own load, and differences between successive samples of a task cancel the effect of a steady
// load. A Model is not safe for concurrent use.
type Model struct {
	images map[Image]*imageEvidence
	// positions holds the position of each filling image in the vectors of usage and evidence.
	positions map[Image]int
	// lastSamples holds the last sample of each serving task.
	lastSamples map[string]sample
	// changes is reused by addEvidence.
	changes []usageChange
	// factorsAt is when factors were last fitted.
	factorsAt clock.Time
	// rank was chosen at rankAt from rankPairs pairs.
	rank      rankChoice
	rankAt    clock.Time
	rankPairs int
	// usesFactors reports that factors predict the weights of pairs without evidence.
	usesFactors bool
}

// sample is the log tail latency of a serving task, with the cores that filling tasks of each image used on its
// worker, by position of the image.
type sample struct {
	at      clock.Time
	logTail float64
	usage   []float64
}

// usageChange is a change of the cores that filling tasks of an image use.
type usageChange struct {
	position int
	cores    float64
}

// NewModel returns a model without evidence.
func NewModel() *Model {
	return &Model{images: map[Image]*imageEvidence{}, positions: map[Image]int{}, lastSamples: map[string]sample{}, usesFactors: true}
}

// DisableFactors makes the model assume PriorWeight for all pairs without evidence.
func (model *Model) DisableFactors() { model.usesFactors = false }

// position returns the position of a filling image, which is new if the model has not seen the image.
func (model *Model) position(image Image) int {
	position, ok := model.positions[image]
	if !ok {
		position = len(model.positions)
		model.positions[image] = position
	}
	return position
}

// Observe learns from the samples of one worker that were taken at the same time.
func (model *Model) Observe(serving []ServingSample, filling []FillingSample, at clock.Time) {
	model.refitFactors(at)
	for _, task := range filling {
		model.position(task.Image)
	}
	usage := make([]float64, len(model.positions))
	for _, task := range filling {
		usage[model.positions[task.Image]] += task.Used
	}
	for _, task := range serving {
		if task.Tail <= 0 || task.ratio() > saturationRatio {
			delete(model.lastSamples, task.Task)
			continue
		}
		current := sample{at: at, logTail: math.Log(float64(task.Tail)), usage: usage}
		previous, ok := model.lastSamples[task.Task]
		if ok && at.Sub(previous.at) < minSampleGap {
			continue
		}
		model.lastSamples[task.Task] = current
		if ok && at.Sub(previous.at) <= maxSampleGap {
			model.addEvidence(task.Image, previous.usage, current.usage, current.logTail-previous.logTail)
		}
	}
}

// RemoveRun removes the last sample of a task whose run ended.
func (model *Model) RemoveRun(task string) { delete(model.lastSamples, task) }

// addEvidence adds a measured increase of a log tail latency together with the usage before and after it. The
// usage before may lack the last positions.
func (model *Model) addEvidence(image Image, before, after []float64, measuredIncrease float64) {
	model.changes = model.changes[:0]
	for position, cores := range after {
		if position < len(before) {
			cores -= before[position]
		}
		if math.Abs(cores) >= minUsageChangeCores {
			model.changes = append(model.changes, usageChange{position: position, cores: cores})
		}
	}
	if len(model.changes) > 0 {
		model.evidenceFor(image).add(model.changes, measuredIncrease, len(model.positions))
	}
}

// evidenceFor returns the evidence for a serving image, and creates it if there is none.
func (model *Model) evidenceFor(image Image) *imageEvidence {
	evidence, ok := model.images[image]
	if !ok {
		evidence = &imageEvidence{priorStrength: priorStrength}
		model.images[image] = evidence
	}
	return evidence
}

// Weight returns the weight of a filling image for a serving image, or 0 if it is below negligibleWeight.
func (model *Model) Weight(serving, filling Image, now clock.Time) float64 {
	evidence, ok := model.images[serving]
	if !ok {
		return PriorWeight
	}
	position, ok := model.positions[filling]
	if !ok {
		return PriorWeight
	}
	evidence.solveIfDirty(now)
	if weight := evidence.weight(position); weight >= negligibleWeight {
		return weight
	}
	return 0
}

// LearnedWeight is the learned weight of a pair of images.
type LearnedWeight struct {
	Serving Image
	Filling Image
	Weight  float64
}

// LearnedWeights returns the learned weights, sorted by serving and filling image.
func (model *Model) LearnedWeights(now clock.Time) []LearnedWeight {
	var weights []LearnedWeight
	for _, serving := range set.SortedKeys(model.images) {
		evidence := model.images[serving]
		evidence.solveIfDirty(now)
		for _, filling := range set.SortedKeys(model.positions) {
			if position := model.positions[filling]; evidence.isSolved(position) {
				weights = append(weights, LearnedWeight{Serving: serving, Filling: filling, Weight: evidence.solution[position]})
			}
		}
	}
	return weights
}

// LoadWeights adds the learned weights of an earlier model as evidence.
func (model *Model) LoadWeights(weights []LearnedWeight) {
	for _, weight := range weights {
		position := model.position(weight.Filling)
		model.evidenceFor(weight.Serving).addWeight(position, weight.Weight, len(model.positions))
	}
}

// ReplicaSample is the tail latency of one of several tasks that share a load.
type ReplicaSample struct {
	Tail   clock.Millis
	Target clock.Millis
	// Used is the number of cores that filling tasks use on the same worker, by image.
	Used map[Image]float64
}

// ObserveReplicas learns from tasks of one image that share their load. Differences between their tail latencies
// are attributed to the filling tasks on their workers.
func (model *Model) ObserveReplicas(image Image, replicas []ReplicaSample) {
	var usable []ReplicaSample
	logTailSum := 0.0
	for _, replica := range replicas {
		sample := ServingSample{Tail: replica.Tail, Target: replica.Target}
		if replica.Tail <= 0 || sample.ratio() > saturationRatio {
			continue
		}
		usable = append(usable, replica)
		logTailSum += math.Log(float64(replica.Tail))
		for filling := range replica.Used {
			model.position(filling)
		}
	}
	if len(usable) < 2 {
		return
	}
	count := float64(len(usable))
	means, usage := make([]float64, len(model.positions)), make([]float64, len(model.positions))
	for _, replica := range usable {
		for filling, cores := range replica.Used {
			means[model.positions[filling]] += cores / count
		}
	}
	for _, replica := range usable {
		clear(usage)
		for filling, cores := range replica.Used {
			usage[model.positions[filling]] = cores
		}
		model.addEvidence(image, means, usage, math.Log(float64(replica.Tail))-logTailSum/count)
	}
}
