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
	// priorStrength is how strongly PriorWeight counts against evidence, in squared cores: as much as about two
	// changes in the usage of one task.
	priorStrength = 6.0
	// minSampleGap and maxSampleGap bound the time between two samples that are compared. A sample covers the
	// last half second, and the own load of a serving task changes within seconds.
	minSampleGap = 400 * clock.Millisecond
	maxSampleGap = 2500 * clock.Millisecond
	// loadedStrength is how strongly a loaded weight counts against evidence, in squared cores. It corresponds to
	// some seconds of evidence.
	loadedStrength = 20.0
	// minUsageChangeCores is the change of usage below which a difference is ignored.
	minUsageChangeCores = 0.1
	// evidenceDecay is the factor on the evidence at each solution, at most one per second. Half of the evidence
	// remains after about a minute.
	evidenceDecay = 0.99
	// solveInterval is the minimum time between two solutions for an image.
	solveInterval = clock.Second
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
	// Cores is the number of cores that the task requests, and Used the number that it uses.
	Cores float64
	Used  float64
}

// Model learns the weight of each pair of images: by how much one core of a filling image increases the
// logarithm of the tail latency of a serving image. The logarithm makes the increase independent of the
// serving task's own load, and differences between successive samples of a task cancel the effect of a steady
// load. A Model is not safe for concurrent use.
type Model struct {
	images map[Image]*imageEvidence
	// lastSamples holds the last sample of each serving task.
	lastSamples map[string]sample
}

// sample is the log tail latency of a serving task, with the cores that filling tasks of each image used on its
// worker.
type sample struct {
	at      clock.Time
	logTail float64
	usage   map[Image]float64
}

// imageEvidence holds the normal equations of the weights of one serving image, and their solution by filling
// image. It is dirty if evidence was added after the last solution.
type imageEvidence struct {
	products map[[2]Image]float64
	sums     map[Image]float64
	solution map[Image]float64
	solvedAt clock.Time
	dirty    bool
}

// NewModel returns a model without evidence.
func NewModel() *Model {
	return &Model{images: map[Image]*imageEvidence{}, lastSamples: map[string]sample{}}
}

// Observe learns from the samples of one worker that were taken at the same time.
func (model *Model) Observe(serving []ServingSample, filling []FillingSample, at clock.Time) {
	usage := map[Image]float64{}
	for _, task := range filling {
		usage[task.Image] += task.Used
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
			model.addDifference(task.Image, previous, current)
		}
	}
}

// RemoveRun removes the last sample of a task whose run ended.
func (model *Model) RemoveRun(task string) { delete(model.lastSamples, task) }

// addDifference learns from two successive samples of a task of the image.
func (model *Model) addDifference(image Image, before, after sample) {
	changes := map[Image]float64{}
	for filling, cores := range after.usage {
		changes[filling] = cores
	}
	for filling, cores := range before.usage {
		changes[filling] -= cores
	}
	model.addEvidence(image, changes, after.logTail-before.logTail)
}

// addEvidence adds a measured increase of a log tail latency together with the changes of usage that caused it,
// in cores by filling image. It changes the map.
func (model *Model) addEvidence(image Image, changes map[Image]float64, measuredIncrease float64) {
	for filling, change := range changes {
		if math.Abs(change) < minUsageChangeCores {
			delete(changes, filling)
		}
	}
	if len(changes) == 0 {
		return
	}
	evidence := model.evidenceFor(image)
	expectedIncrease := 0.0
	for filling, change := range changes {
		expectedIncrease += change * evidence.weight(filling)
	}
	increase := expectedIncrease + math.Max(-maxResidual, math.Min(maxResidual, measuredIncrease-expectedIncrease))
	for left, change := range changes {
		evidence.sums[left] += change * increase
		for right, other := range changes {
			evidence.products[[2]Image{left, right}] += change * other
		}
	}
	evidence.dirty = true
}

// evidenceFor returns the evidence for a serving image, and creates it if there is none.
func (model *Model) evidenceFor(image Image) *imageEvidence {
	evidence, ok := model.images[image]
	if !ok {
		evidence = &imageEvidence{products: map[[2]Image]float64{}, sums: map[Image]float64{}}
		model.images[image] = evidence
	}
	return evidence
}

// solveIfDirty updates the solution if there is none, or if it is dirty and older than solveInterval.
func (evidence *imageEvidence) solveIfDirty(now clock.Time) {
	if evidence.solution == nil || evidence.dirty && now.Sub(evidence.solvedAt) >= solveInterval {
		evidence.solve(now)
	}
}

// Weight returns the weight of a filling image for a serving image, or 0 if it is below negligibleWeight.
func (model *Model) Weight(serving, filling Image, now clock.Time) float64 {
	evidence, ok := model.images[serving]
	if !ok {
		return PriorWeight
	}
	evidence.solveIfDirty(now)
	if weight := evidence.weight(filling); weight >= negligibleWeight {
		return weight
	}
	return 0
}

// weight returns the solution for a filling image, at least 0, or PriorWeight if there is none.
func (evidence *imageEvidence) weight(filling Image) float64 {
	weight, ok := evidence.solution[filling]
	if !ok {
		return PriorWeight
	}
	return math.Max(0, weight)
}

// solve computes the weights by regularised least squares and then decays the evidence.
func (evidence *imageEvidence) solve(now clock.Time) {
	images := set.SortedKeys(evidence.sums)
	matrix := make([][]float64, len(images))
	right := make([]float64, len(images))
	for row, left := range images {
		matrix[row] = make([]float64, len(images))
		for column, other := range images {
			matrix[row][column] = evidence.products[[2]Image{left, other}]
		}
		matrix[row][row] += priorStrength
		right[row] = evidence.sums[left] + priorStrength*PriorWeight
	}
	evidence.solution = map[Image]float64{}
	for position, weight := range solveLinear(matrix, right) {
		evidence.solution[images[position]] = weight
	}
	evidence.solvedAt, evidence.dirty = now, false
	for key := range evidence.products {
		evidence.products[key] *= evidenceDecay
	}
	for key := range evidence.sums {
		evidence.sums[key] *= evidenceDecay
	}
}

// solveLinear solves a linear system with a symmetric positive definite matrix by elimination. It changes its
// arguments.
func solveLinear(matrix [][]float64, right []float64) []float64 {
	size := len(right)
	for pivot := range size {
		for row := pivot + 1; row < size; row++ {
			factor := matrix[row][pivot] / matrix[pivot][pivot]
			for column := pivot; column < size; column++ {
				matrix[row][column] -= factor * matrix[pivot][column]
			}
			right[row] -= factor * right[pivot]
		}
	}
	solution := make([]float64, size)
	for row := size - 1; row >= 0; row-- {
		rest := right[row]
		for column := row + 1; column < size; column++ {
			rest -= matrix[row][column] * solution[column]
		}
		solution[row] = rest / matrix[row][row]
	}
	return solution
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
		for _, filling := range set.SortedKeys(evidence.solution) {
			weights = append(weights, LearnedWeight{Serving: serving, Filling: filling, Weight: evidence.solution[filling]})
		}
	}
	return weights
}

// LoadWeights adds the learned weights of an earlier model as evidence.
func (model *Model) LoadWeights(weights []LearnedWeight) {
	for _, weight := range weights {
		evidence := model.evidenceFor(weight.Serving)
		evidence.products[[2]Image{weight.Filling, weight.Filling}] += loadedStrength
		evidence.sums[weight.Filling] += loadedStrength * weight.Weight
		evidence.dirty = true
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
	usageSums := map[Image]float64{}
	for _, replica := range replicas {
		sample := ServingSample{Tail: replica.Tail, Target: replica.Target}
		if replica.Tail <= 0 || sample.ratio() > saturationRatio {
			continue
		}
		usable = append(usable, replica)
		logTailSum += math.Log(float64(replica.Tail))
		for filling, cores := range replica.Used {
			usageSums[filling] += cores
		}
	}
	if len(usable) < 2 {
		return
	}
	count := float64(len(usable))
	for _, replica := range usable {
		changes := map[Image]float64{}
		for filling, sum := range usageSums {
			changes[filling] = replica.Used[filling] - sum/count
		}
		model.addEvidence(image, changes, math.Log(float64(replica.Tail))-logTailSum/count)
	}
}
