package assignment

import "math"

// Parameters of the joint assignment of filling tasks.
const (
	// freeWeight makes a worker's share of free cores count half as much as the speed of the run: loads change while a run
	// lasts, and a worker with more free cores bears a higher one.
	freeWeight = 0.5
	// failureCost is the value that a worker loses by each failure of the same job there, in units of the run's cores. It is
	// more than the difference between the fastest and the slowest worker.
	failureCost = 2
)

// Room is by how much the tail latencies of the serving tasks of one image on a worker may still rise.
type Room struct {
	// Left is the room, as a logarithm, that the filling runs leave.
	Left float64
	// Weights holds the increase per core of each filling image, by the image's position.
	Weights []float64
}

// Worker is a worker as filling tasks see it. Cores are numbers of cores.
type Worker struct {
	Capacity float64
	// Idle is what tasks with reservations leave unused, and Filling what filling tasks request of it.
	Idle    float64
	Filling float64
	// Speed is at which share of the usual speed runs proceed on the worker.
	Speed float64
	Rooms []Room
}

// Group is a group of equal waiting filling tasks.
type Group struct {
	// Image is the position of the image.
	Image int
	Cores float64
	// MinSpeed is the share of its full speed that a run must be expected to reach. Anywhere ignores it, and idle cores.
	MinSpeed float64
	Anywhere bool
}

// Round assigns the waiting filling tasks of a round. Create it with NewRound.
type Round struct {
	workers []Worker
}

// NewRound returns a round with workers. It takes them over.
func NewRound(workers []Worker) *Round { return &Round{workers: workers} }

// HasIdleCores reports whether a worker has idle cores for a run of the group. A worker without filling runs takes a first
// one of any size.
func (round *Round) HasIdleCores(position int, group Group) bool {
	worker := &round.workers[position]
	return worker.Filling == 0 && worker.Idle > 0 || worker.Filling+group.Cores <= worker.Idle
}

// PaceShare returns the share of its requested cores that a run of the group could use on a worker while the tail latencies
// of the serving tasks there stay at the share of their target that the governor aims at.
func (worker *Worker) PaceShare(group Group) float64 {
	share := 1.0
	for index := range worker.Rooms {
		room := &worker.Rooms[index]
		if weight := room.Weights[group.Image]; weight > 0 && group.Cores > 0 {
			share = math.Min(share, math.Max(0, room.Left)/(weight*group.Cores))
		}
	}
	return share
}

// Value returns what a run of the group on a worker is worth, in cores: the cores that it uses at its expected speed, with
// a preference for free ones. It reports whether the run may be placed. The parameter dataFactor is by how much
// longer it takes because of its data's location, and failures is the number of failures of the job there.
func (round *Round) Value(position int, group Group, dataFactor float64, failures int) (value float64, ok bool) {
	worker := &round.workers[position]
	if !group.Anywhere && !round.HasIdleCores(position, group) {
		return 0, false
	}
	share := worker.PaceShare(group)
	if !group.Anywhere && share < group.MinSpeed {
		return 0, false
	}
	free := (worker.Idle - worker.Filling) / math.Max(worker.Capacity, 1)
	value = group.Cores * (share*worker.Speed/dataFactor + freeWeight*free - failureCost*float64(failures))
	return value, true
}

// Speed returns the share of its full speed that a run of the group is expected to reach on a worker that holds its data.
func (round *Round) Speed(position int, group Group) float64 {
	worker := &round.workers[position]
	return worker.PaceShare(group) * worker.Speed
}

// Place takes the capacity of a run of the group on a worker.
func (round *Round) Place(position int, group Group) { round.take(position, group, group.Cores) }

// Release gives back the capacity of a run of the group on a worker.
func (round *Round) Release(position int, group Group) { round.take(position, group, -group.Cores) }

func (round *Round) take(position int, group Group, cores float64) {
	worker := &round.workers[position]
	worker.Filling += cores
	for index := range worker.Rooms {
		room := &worker.Rooms[index]
		room.Left -= room.Weights[group.Image] * cores
	}
}
