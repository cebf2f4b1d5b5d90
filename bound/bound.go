// Package bound calculates how much of a recorded demand could have ended within its objectives at most, if only the cores that
// were idle limited it. It is a calculation for analysis and takes no part in decisions.
package bound

import (
	"cmp"
	"slices"

	"hyssopjunction/clock"
)

// Job is a job as recorded. Its tasks may be split among all cores at will, so that the result is an upper bound.
type Job struct {
	// Begin is when the job was accepted, and End when it should have ended.
	Begin, End clock.Time
	// Work is its work in core-milliseconds, and Value what it earns if all of it is done in time.
	Work, Value float64
}

// Capacity holds the idle cores in consecutive intervals of equal length from a time on.
type Capacity struct {
	From     clock.Time
	Interval clock.Millis
	Cores    []float64
}

// OnTime returns the highest value that any plan earns, if a job of which a part is done in time earns that part of its value.
// The amounts of work that fit form a polymatroid, so the job with the highest value for its work comes first.
func OnTime(jobs []Job, capacity Capacity) float64 {
	order := slices.Clone(jobs)
	order = slices.DeleteFunc(order, func(job Job) bool { return job.Work <= 0 })
	slices.SortStableFunc(order, func(left, right Job) int { return cmp.Compare(right.Value/right.Work, left.Value/left.Work) })
	plan := newPlan(order, capacity)
	value := 0.0
	for position, job := range order {
		value += job.Value * plan.add(position) / job.Work
	}
	return value
}

// plan is a flow of work from jobs to intervals.
type plan struct {
	jobs []Job
	// first and last are the intervals of each job, last exclusive.
	first, last []int
	free        []float64
	// done holds the work of each job in each interval.
	done [][]float64
}

func newPlan(jobs []Job, capacity Capacity) *plan {
	created := &plan{
		jobs: jobs, first: make([]int, len(jobs)), last: make([]int, len(jobs)), free: make([]float64, len(capacity.Cores)), done: make([][]float64, len(jobs)),
	}
	for interval, cores := range capacity.Cores {
		created.free[interval] = cores * float64(capacity.Interval)
	}
	limit := len(capacity.Cores)
	for position, job := range jobs {
		created.first[position] = min(max(int(job.Begin.Sub(capacity.From)/capacity.Interval), 0), limit)
		created.last[position] = min(max(int((job.End.Sub(capacity.From)+capacity.Interval-1)/capacity.Interval), 0), limit)
		created.done[position] = make([]float64, limit)
	}
	return created
}

// minWork is the work, in core-milliseconds, below which a path is not followed.
const minWork = 1e-6

// add does as much of a job's work as fits without doing less of any other, and returns it.
func (plan *plan) add(job int) float64 {
	left := plan.jobs[job].Work
	for left > minWork {
		moved := plan.augment(job, left)
		if moved <= minWork {
			break
		}
		left -= moved
	}
	return plan.jobs[job].Work - left
}

// augment moves work along the shortest path from a job to an interval with free cores: into an interval of the job, out of
// which another job moves work to one of its own, and so on. It returns the work that it added.
func (plan *plan) augment(job int, most float64) float64 {
	const unvisited = -1
	// from holds the job that moves work into an interval, and via the interval that this job moves it out of.
	from, via := make([]int, len(plan.free)), make([]int, len(plan.free))
	for interval := range from {
		from[interval] = unvisited
	}
	queue := []int{}
	visit := func(mover, out int) {
		for interval := plan.first[mover]; interval < plan.last[mover]; interval++ {
			if from[interval] == unvisited {
				from[interval], via[interval] = mover, out
				queue = append(queue, interval)
			}
		}
	}
	visit(job, unvisited)
	visited := make([]bool, len(plan.jobs))
	visited[job] = true
	for len(queue) > 0 {
		interval := queue[0]
		queue = queue[1:]
		if plan.free[interval] > minWork {
			return plan.follow(interval, from, via, min(most, plan.free[interval]))
		}
		for mover := range plan.jobs {
			if !visited[mover] && plan.done[mover][interval] > minWork {
				visited[mover] = true
				visit(mover, interval)
			}
		}
	}
	return 0
}

// follow moves work along the path that ends in an interval.
func (plan *plan) follow(end int, from, via []int, amount float64) float64 {
	for interval := end; via[interval] >= 0; interval = via[interval] {
		amount = min(amount, plan.done[from[interval]][via[interval]])
	}
	plan.free[end] -= amount
	for interval := end; interval >= 0; interval = via[interval] {
		plan.done[from[interval]][interval] += amount
		if via[interval] >= 0 {
			plan.done[from[interval]][via[interval]] -= amount
		}
	}
	return amount
}
