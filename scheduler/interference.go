package scheduler

import (
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/set"
	"hyssopjunction/workflow"
)

// milli converts thousandths.
const milli = 1000

// baseDecay is by how much the remembered peak of an undisturbed tail falls in a second, as a logarithm.
// The load of serving tasks swings within 10 to 20 s by a factor of about three.
const baseDecay = 0.15

// observe lets the model learn from a worker's newest listing and updates the tails that its serving
// runs would have undisturbed.
func (book *Scheduler) observe(target *worker, now clock.Time) {
	serving, filling := samples(target)
	if len(serving) == 0 {
		return
	}
	book.model.Observe(serving, filling, now)
	for _, active := range target.runs {
		if active.step.Target == 0 || active.figure == 0 {
			continue
		}
		tail := pacing.BaselineTail(newServing(active), filling, book.weights(now))
		decayed := active.base - baseDecay*float64(now.Sub(active.baseAt))/float64(clock.Second)
		if active.baseAt == 0 || tail > decayed {
			decayed = tail
		}
		active.base, active.baseAt = decayed, now
	}
}

// siblingInterval separates comparisons of siblings: one figure each.
const siblingInterval = 500 * clock.Millisecond

// compareSiblings lets the model learn from the standing tasks of each job, which share their load but not
// their neighbours.
func (book *Scheduler) compareSiblings(now clock.Time) {
	if now.Sub(book.comparedAt) < siblingInterval {
		return
	}
	book.comparedAt = now
	groups := map[workflow.Name][]pacing.Replica{}
	for _, incarnation := range book.sortedWorkers() {
		target := book.workers[incarnation]
		_, filling := samples(target)
		used := map[pacing.Image]float64{}
		for _, task := range filling {
			used[task.Image] += task.Used
		}
		for _, active := range sortedRuns(target) {
			if active.step.Target == 0 || active.figure == 0 || now.Sub(active.figureAt) > siblingInterval {
				continue
			}
			group := active.name
			group.Index = 0
			groups[group] = append(groups[group], pacing.Replica{
				Tail: clock.Millis(active.figure), Target: active.step.Target, Used: used,
			})
		}
	}
	for group, siblings := range groups {
		book.model.ObserveReplicas(pacing.Image(book.jobs[group.Job].job.Spec.Steps[group.Step].Image), siblings)
	}
}

// weights returns what the model knows at the time.
func (book *Scheduler) weights(now clock.Time) pacing.Weights {
	return func(serving, filling pacing.Image) float64 { return book.model.Weight(serving, filling, now) }
}

// samples returns the figures of the serving and the filling runs on a worker.
func samples(target *worker) ([]pacing.Serving, []pacing.Filling) {
	var serving []pacing.Serving
	var filling []pacing.Filling
	for _, active := range target.runs {
		switch {
		case active.figureAt == 0:
		case active.step.Target > 0:
			serving = append(serving, newServing(active))
		case active.step.Fills:
			filling = append(filling, pacing.Filling{
				Task: active.name.String(), Image: pacing.Image(active.step.Image),
				Cores: float64(active.step.Need.CPU) / milli, Used: float64(active.figure) / milli,
			})
		}
	}
	return serving, filling
}

func newServing(active *run) pacing.Serving {
	return pacing.Serving{
		Task: active.name.String(), Image: pacing.Image(active.step.Image), Tail: clock.Millis(active.figure), Target: active.step.Target,
	}
}

// speed returns the share of its speed with which a filling task could work on a worker without
// bringing a serving task there near its target. Runs of the task's own are left out.
func (book *Scheduler) speed(step *workflow.Step, target *worker, own *run, now clock.Time) float64 {
	cores := float64(step.Need.CPU) / milli
	if cores <= 0 {
		return 1
	}
	weights := book.weights(now)
	share := 1.0
	for _, active := range target.runs {
		if active.step.Target == 0 || active.baseAt == 0 {
			continue
		}
		serving := pacing.Image(active.step.Image)
		rise := 0.0
		for _, other := range target.runs {
			if other.step.Fills && other != own {
				rise += weights(serving, pacing.Image(other.step.Image)) * float64(other.step.Need.CPU) / milli
			}
		}
		share = math.Min(share, pacing.AllowedCores(active.base, rise, weights(serving, pacing.Image(step.Image)))/cores)
	}
	return share
}

// neighbours returns the share of a worker's serving tasks that have the same image, less that of the
// others, or 0 if there are none.
func neighbours(step *workflow.Step, target *worker) float64 {
	same, others := 0, 0
	for _, active := range target.runs {
		switch {
		case !active.step.Standing:
		case active.step.Image == step.Image:
			same++
		default:
			others++
		}
	}
	if same+others == 0 {
		return 0
	}
	return float64(same-others) / float64(same+others)
}

// Weight tells by how much one core of a filling image raises the logarithm of a serving image's tail.
type Weight struct {
	Serving  pacing.Image
	Filling  pacing.Image
	Increase float64
}

// Weights returns what is known about the images on a worker and those that wait.
func (book *Scheduler) Weights(incarnation Incarnation, now clock.Time) []Weight {
	target, ok := book.workers[incarnation]
	if !ok {
		return nil
	}
	serving, filling := set.New[pacing.Image](), set.New[pacing.Image]()
	for _, active := range target.runs {
		if active.step.Target > 0 {
			serving.Add(pacing.Image(active.step.Image))
		}
	}
	for _, found := range book.open {
		for position := range found.job.Spec.Steps {
			if step := &found.job.Spec.Steps[position]; step.Fills {
				filling.Add(pacing.Image(step.Image))
			}
		}
	}
	var list []Weight
	for _, victim := range set.Sorted(serving) {
		for _, image := range set.Sorted(filling) {
			list = append(list, Weight{Serving: victim, Filling: image, Increase: book.model.Weight(victim, image, now)})
		}
	}
	return list
}

// LearnedWeights returns what was learned about the disturbance of images.
func (book *Scheduler) LearnedWeights(now clock.Time) []pacing.LearnedWeight {
	return book.model.LearnedWeights(now)
}

// LoadWeights starts from the learned weights of an earlier leader.
func (book *Scheduler) LoadWeights(lessons []pacing.LearnedWeight) { book.model.LoadWeights(lessons) }
