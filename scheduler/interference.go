package scheduler

import (
	"math"
	"slices"

	"hyssopjunction/assignment"
	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/set"
	"hyssopjunction/workflow"
)

// milliPerCore is the number of thousandths of a core in one core.
const milliPerCore = 1000

// learnFromListing passes the samples of a worker's latest listing to the model and adds them to the baseline tail
// latencies of its serving runs.
func (scheduler *Scheduler) learnFromListing(worker *workerState, now clock.Time) {
	serving, filling := workerSamples(worker)
	if len(serving) == 0 {
		return
	}
	worker.roomsValid = false
	scheduler.model.Observe(serving, filling, now)
	for _, run := range worker.runs {
		if run.step.Target == 0 || run.sample == 0 {
			continue
		}
		run.baseline.Observe(pacing.BaselineTail(servingSample(run), filling, scheduler.weightsAt(now)), now)
	}
}

// replicaInterval is the time between two comparisons of replicas, that of two reports of a run.
const replicaInterval = 600 * clock.Millisecond

// learnFromReplicas passes the samples of the serving tasks of each step to the model. They share their
// load but run beside different filling tasks.
func (scheduler *Scheduler) learnFromReplicas(now clock.Time) {
	if now.Sub(scheduler.replicasObservedAt) < replicaInterval {
		return
	}
	scheduler.replicasObservedAt = now
	groups := map[workflow.Name][]pacing.ReplicaSample{}
	for _, incarnation := range scheduler.sortedWorkers() {
		worker := scheduler.workers[incarnation]
		_, filling := workerSamples(worker)
		usage := map[pacing.Image]float64{}
		for _, task := range filling {
			usage[task.Image] += task.Used
		}
		for _, run := range sortedRuns(worker) {
			if run.step.Target == 0 || run.sample == 0 || now.Sub(run.sampledAt) > replicaInterval {
				continue
			}
			group := run.name
			group.Index = 0
			groups[group] = append(groups[group], pacing.ReplicaSample{
				Tail: clock.Millis(run.sample), Target: run.step.Target, Used: usage,
			})
		}
	}
	for group, replicas := range groups {
		scheduler.model.ObserveReplicas(pacing.Image(scheduler.jobs[group.Job].job.Spec.Steps[group.Step].Image), replicas)
	}
}

// weightsAt returns the model's weights at a time.
func (scheduler *Scheduler) weightsAt(now clock.Time) pacing.WeightFunc {
	return func(serving, filling pacing.Image) float64 { return scheduler.model.Weight(serving, filling, now) }
}

// workerSamples returns the latest samples of the serving and the filling runs on a worker.
func workerSamples(worker *workerState) ([]pacing.ServingSample, []pacing.FillingSample) {
	var serving []pacing.ServingSample
	var filling []pacing.FillingSample
	for _, run := range worker.runs {
		switch {
		case run.sampledAt == 0:
		case run.step.Target > 0:
			serving = append(serving, servingSample(run))
		case run.step.Fills:
			filling = append(filling, pacing.FillingSample{
				Task: run.name.String(), Image: pacing.Image(run.step.Image),
				Cores: float64(run.step.Need.CPU) / milliPerCore, Used: float64(run.sample) / milliPerCore,
			})
		}
	}
	return serving, filling
}

func servingSample(run *activeRun) pacing.ServingSample {
	return pacing.ServingSample{
		Task: run.name.String(), Image: pacing.Image(run.step.Image), Tail: clock.Millis(run.sample), Target: run.step.Target,
	}
}

// servingRoom is how much the tail latencies of the serving tasks of one image on a worker may still increase until
// the worst of them reaches the share of its target that the governor aims at.
type servingRoom struct {
	image pacing.Image
	assignment.Room
}

// servingRooms returns the rooms of the serving images on a worker, assuming that its filling runs work at full speed.
// They are kept until a run starts or ends there, or its samples change.
func (scheduler *Scheduler) servingRooms(worker *workerState, now clock.Time) []servingRoom {
	if worker.roomsValid {
		return worker.rooms
	}
	worker.rooms, worker.roomsValid = worker.rooms[:0], true
	for _, run := range worker.runs {
		if run.step.Target == 0 || !run.baseline.IsKnown() {
			continue
		}
		image, room := pacing.Image(run.step.Image), run.baseline.PlacementRoom()
		index := slices.IndexFunc(worker.rooms, func(other servingRoom) bool { return other.image == image })
		if index < 0 {
			worker.rooms = append(worker.rooms, servingRoom{image: image, Room: assignment.Room{Left: room}})
		} else if room < worker.rooms[index].Left {
			worker.rooms[index].Left = room
		}
	}
	for _, run := range worker.runs {
		if !run.step.Fills {
			continue
		}
		for index := range worker.rooms {
			room := &worker.rooms[index]
			room.Left -= scheduler.model.Weight(room.image, pacing.Image(run.step.Image), now) * cores(run.step) * run.usage.Share()
		}
	}
	return worker.rooms
}

// expectedSpeed returns the share of its requested cores that a filling task could use on a worker while the
// tail latencies of the serving tasks there stay at the share of their target that the governor aims at.
func (scheduler *Scheduler) expectedSpeed(step *workflow.Step, worker *workerState, now clock.Time) float64 {
	cores := cores(step)
	if cores <= 0 {
		return 1
	}
	speed := 1.0
	for _, room := range scheduler.servingRooms(worker, now) {
		if weight := scheduler.model.Weight(room.image, pacing.Image(step.Image), now); weight > 0 {
			speed = math.Min(speed, math.Max(0, room.Left)/(weight*cores))
		}
	}
	return speed
}

// imageAffinity returns the share of a worker's standing tasks that have the step's image minus the share of
// those that have another one, from -1 to 1. It is 0 if the worker has none.
func imageAffinity(step *workflow.Step, worker *workerState) float64 {
	same, others := 0, 0
	for _, run := range worker.runs {
		switch {
		case !run.step.Standing:
		case run.step.Image == step.Image:
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

// Weight is the increase of the log tail latency of a serving image per core of a filling image.
type Weight struct {
	Serving  pacing.Image
	Filling  pacing.Image
	Increase float64
}

// Weights returns the weights of all pairs of a serving image on the worker and a filling image of an open
// job.
func (scheduler *Scheduler) Weights(incarnation Incarnation, now clock.Time) []Weight {
	worker, ok := scheduler.workers[incarnation]
	if !ok {
		return nil
	}
	serving, filling := set.New[pacing.Image](), set.New[pacing.Image]()
	for _, run := range worker.runs {
		if run.step.Target > 0 {
			serving.Add(pacing.Image(run.step.Image))
		}
	}
	for _, record := range scheduler.open {
		for position := range record.job.Spec.Steps {
			if step := &record.job.Spec.Steps[position]; step.Fills {
				filling.Add(pacing.Image(step.Image))
			}
		}
	}
	var list []Weight
	for _, servingImage := range set.Sorted(serving) {
		for _, fillingImage := range set.Sorted(filling) {
			list = append(list, Weight{Serving: servingImage, Filling: fillingImage, Increase: scheduler.model.Weight(servingImage, fillingImage, now)})
		}
	}
	return list
}

// LearnedWeights returns the weights that the model has learned.
func (scheduler *Scheduler) LearnedWeights(now clock.Time) []pacing.LearnedWeight {
	return scheduler.model.LearnedWeights(now)
}

// LoadWeights adds the learned weights of an earlier leader to the model.
func (scheduler *Scheduler) LoadWeights(weights []pacing.LearnedWeight) {
	scheduler.model.LoadWeights(weights)
}
