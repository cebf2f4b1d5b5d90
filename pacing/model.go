// Package pacing keeps tasks that serve users below their target latency while other tasks fill the
// processors that are left. It learns which image disturbs which, and decides how fast the filling
// tasks of a worker may work. It has no goroutine and no clock.
package pacing

import (
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/set"
)

// Image names what a task executes.
type Image string

// Figures of the learning.
const (
	// Prior is the assumed rise of the logarithm of a tail latency per core of an unknown filling image.
	// It lies between the two groups that calm days show: below 0.03, and 0.1 to 0.45.
	Prior = 0.05
	// priorWeight is the weight of the prior in squared cores: that of about two changes of one task.
	priorWeight = 6.0
	// shortest and longest bound the time between the two samples of a difference. Figures are of the
	// last half second; the own load of a serving task moves within seconds.
	shortest = 400 * clock.Millisecond
	longest  = 2500 * clock.Millisecond
	// recalledWeight is the weight of a recalled lesson in squared cores.
	recalledWeight = 20.0
	// quiet is the change of use, in cores, below which a difference teaches nothing.
	quiet = 0.1
	// forget is the share of the evidence that is kept at each solution, one a second: half in a minute.
	forget = 0.99
	// resolve separates two solutions.
	resolve = clock.Second
	// saturated is the share of the target above which a tail is due to the own load of its task.
	saturated = 6
	// outlier bounds how far a difference may lie from what is expected, as a logarithm: that of 3 cores of a
	// heavy image. The own load of a serving task near its limit moves its tail by more.
	outlier = 0.9
	// harmless is the weight below which a filling image counts as not disturbing: 8 cores of it raise a
	// tail by 15 percent.
	harmless = 0.018
)

// Serving is a sample of a task that serves users.
type Serving struct {
	// Task names the run, so that successive samples are matched.
	Task   string
	Image  Image
	Tail   clock.Millis
	Target clock.Millis
}

// ratio returns the tail as a share of its target.
func (serving Serving) ratio() float64 {
	return math.Max(float64(serving.Tail), 1) / float64(max(serving.Target, 1))
}

// PoolTails gives tasks of the same group the geometric mean of their tails: tasks of one job on one worker share
// their load and what disturbs them, and single figures are rough.
func PoolTails(serving []Serving, group func(task string) string) {
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

// Filling is a sample of a task that fills.
type Filling struct {
	Task  string
	Image Image
	// Cores is the processor time that the task asks for, and Used what it took.
	Cores float64
	Used  float64
}

// Model learns by how much one core of a filling image raises the logarithm of the tail latency of a
// serving image. The logarithm makes the rise independent of the serving task's own load. Differences
// between successive samples of the same task cancel what the load contributes.
type Model struct {
	images map[Image]*evidence
	last   map[string]sample
}

type sample struct {
	at   clock.Time
	tail float64
	used map[Image]float64
}

// evidence holds the normal equations of one serving image.
type evidence struct {
	products map[[2]Image]float64
	sums     map[Image]float64
	solution map[Image]float64
	solvedAt clock.Time
	fresh    bool
}

// NewModel returns a model without evidence.
func NewModel() *Model {
	return &Model{images: map[Image]*evidence{}, last: map[string]sample{}}
}

// Observe takes the samples of one worker at a time.
func (model *Model) Observe(serving []Serving, filling []Filling, at clock.Time) {
	used := map[Image]float64{}
	for _, task := range filling {
		used[task.Image] += task.Used
	}
	for _, task := range serving {
		if task.Tail <= 0 || task.ratio() > saturated {
			delete(model.last, task.Task)
			continue
		}
		now := sample{at: at, tail: math.Log(float64(task.Tail)), used: used}
		previous, ok := model.last[task.Task]
		if ok && at.Sub(previous.at) < shortest {
			continue
		}
		model.last[task.Task] = now
		if ok && at.Sub(previous.at) <= longest {
			model.learn(task.Image, previous, now)
		}
	}
}

// Forget drops the samples of a run that ended.
func (model *Model) Forget(task string) { delete(model.last, task) }

func (model *Model) learn(image Image, before, after sample) {
	changes := map[Image]float64{}
	for filling, cores := range after.used {
		changes[filling] = cores
	}
	for filling, cores := range before.used {
		changes[filling] -= cores
	}
	model.take(image, changes, after.tail-before.tail)
}

// take adds the evidence of a rise of the logarithm of a tail with changes of use, in cores.
func (model *Model) take(image Image, changes map[Image]float64, measured float64) {
	for filling, change := range changes {
		if math.Abs(change) < quiet {
			delete(changes, filling)
		}
	}
	if len(changes) == 0 {
		return
	}
	known := model.evidence(image)
	expected := 0.0
	for filling, change := range changes {
		expected += change * known.weight(filling)
	}
	rise := expected + math.Max(-outlier, math.Min(outlier, measured-expected))
	for left, change := range changes {
		known.sums[left] += change * rise
		for right, other := range changes {
			known.products[[2]Image{left, right}] += change * other
		}
	}
	known.fresh = true
}

// evidence returns what is known about a serving image, which may be nothing.
func (model *Model) evidence(image Image) *evidence {
	known, ok := model.images[image]
	if !ok {
		known = &evidence{products: map[[2]Image]float64{}, sums: map[Image]float64{}}
		model.images[image] = known
	}
	return known
}

// refresh solves anew if there is evidence since the last solution.
func (known *evidence) refresh(now clock.Time) {
	if known.solution == nil || known.fresh && now.Sub(known.solvedAt) >= resolve {
		known.solve(now)
	}
}

// Weight returns the expected rise of the logarithm of the serving image's tail per core of the
// filling image, or 0 if the filling image counts as harmless.
func (model *Model) Weight(serving, filling Image, now clock.Time) float64 {
	known, ok := model.images[serving]
	if !ok {
		return Prior
	}
	known.refresh(now)
	if weight := known.weight(filling); weight >= harmless {
		return weight
	}
	return 0
}

// weight returns the solution for a filling image, or the prior.
func (known *evidence) weight(filling Image) float64 {
	weight, ok := known.solution[filling]
	if !ok {
		return Prior
	}
	return math.Max(0, weight)
}

// solve finds the weights by regularised least squares.
func (known *evidence) solve(now clock.Time) {
	images := set.SortedKeys(known.sums)
	matrix := make([][]float64, len(images))
	right := make([]float64, len(images))
	for row, left := range images {
		matrix[row] = make([]float64, len(images))
		for column, other := range images {
			matrix[row][column] = known.products[[2]Image{left, other}]
		}
		matrix[row][row] += priorWeight
		right[row] = known.sums[left] + priorWeight*Prior
	}
	known.solution = map[Image]float64{}
	for position, weight := range solveLinear(matrix, right) {
		known.solution[images[position]] = weight
	}
	known.solvedAt, known.fresh = now, false
	for key := range known.products {
		known.products[key] *= forget
	}
	for key := range known.sums {
		known.sums[key] *= forget
	}
}

// solveLinear solves a system with a symmetric positive definite matrix by elimination. It changes
// its arguments.
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

// LearnedWeight is what is known about a pair of images.
type LearnedWeight struct {
	Serving Image
	Filling Image
	Weight  float64
}

// LearnedWeights returns what was learned, in a reproducible order.
func (model *Model) LearnedWeights(now clock.Time) []LearnedWeight {
	var lessons []LearnedWeight
	for _, serving := range set.SortedKeys(model.images) {
		known := model.images[serving]
		known.refresh(now)
		for _, filling := range set.SortedKeys(known.solution) {
			lessons = append(lessons, LearnedWeight{Serving: serving, Filling: filling, Weight: known.solution[filling]})
		}
	}
	return lessons
}

// LoadWeights starts a model from the learned weights of an earlier one. They weigh as much as some seconds of evidence.
func (model *Model) LoadWeights(lessons []LearnedWeight) {
	for _, lesson := range lessons {
		known := model.evidence(lesson.Serving)
		known.products[[2]Image{lesson.Filling, lesson.Filling}] += recalledWeight
		known.sums[lesson.Filling] += recalledWeight * lesson.Weight
		known.fresh = true
	}
}

// Replica is the sample of one of several tasks that serve the same users at the same time.
type Replica struct {
	Tail   clock.Millis
	Target clock.Millis
	// Used holds the cores that filling tasks of each image use beside it.
	Used map[Image]float64
}

// ObserveReplicas learns from tasks of one image that share their load: what their tails differ by is due to
// what fills beside them.
func (model *Model) ObserveReplicas(image Image, group []Replica) {
	var fit []Replica
	tail := 0.0
	mean := map[Image]float64{}
	for _, sibling := range group {
		serving := Serving{Tail: sibling.Tail, Target: sibling.Target}
		if sibling.Tail <= 0 || serving.ratio() > saturated {
			continue
		}
		fit = append(fit, sibling)
		tail += math.Log(float64(sibling.Tail))
		for filling, cores := range sibling.Used {
			mean[filling] += cores
		}
	}
	if len(fit) < 2 {
		return
	}
	count := float64(len(fit))
	for _, sibling := range fit {
		changes := map[Image]float64{}
		for filling, sum := range mean {
			changes[filling] = sibling.Used[filling] - sum/count
		}
		model.take(image, changes, math.Log(float64(sibling.Tail))-tail/count)
	}
}
