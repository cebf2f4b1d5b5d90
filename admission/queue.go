package admission

import (
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// queue holds the queued requests in ascending order of deadline.
type queue struct {
	requests []*request
	// bytes is the total size of the bodies.
	bytes int
}

func (queue *queue) len() int {
	return len(queue.requests)
}

// position returns the number of queued requests whose deadline is not later than the given one.
func (queue *queue) position(deadline clock.Time) int {
	position, _ := slices.BinarySearchFunc(queue.requests, deadline, func(queued *request, deadline clock.Time) int {
		if queued.deadline.After(deadline) {
			return 1
		}
		return -1
	})
	return position
}

func (queue *queue) insert(request *request) {
	queue.requests = slices.Insert(queue.requests, queue.position(request.deadline), request)
	queue.bytes += request.Bytes
}

func (queue *queue) remove(request *request) {
	index := slices.Index(queue.requests, request)
	queue.requests = slices.Delete(queue.requests, index, index+1)
	queue.bytes -= request.Bytes
}

// countsOf returns the counts of a team, which it adds if there are none.
func (controller *Controller) countsOf(team ident.Team) *teamCounts {
	counts, ok := controller.teams[team]
	if !ok {
		counts = &teamCounts{}
		controller.teams[team] = counts
	}
	return counts
}

// removeIdleTeam removes the counts of a team without queued or running requests.
func (controller *Controller) removeIdleTeam(team ident.Team) {
	if counts, ok := controller.teams[team]; ok && *counts == (teamCounts{}) {
		delete(controller.teams, team)
	}
}

func (controller *Controller) enqueue(request *request) {
	request.state = Queued
	controller.requests[request.Request] = request
	controller.queue.insert(request)
	controller.countsOf(request.Team).queued++
	controller.checkLimits(request.Request)
}

func (controller *Controller) dequeue(request *request) {
	controller.queue.remove(request)
	controller.countsOf(request.Team).queued--
	controller.removeIdleTeam(request.Team)
	delete(controller.requests, request.Request)
}

// fairSlots returns the number of slots that each team can use if all teams with requests, and newTeams
// more, have an equal share. It is rounded up.
func (controller *Controller) fairSlots(newTeams int) int {
	active := max(1, len(controller.teams)+newTeams)
	return max(1, (controller.settings.Slots+active-1)/active)
}

// next returns the queued request to start next: the one with the earliest deadline among the teams
// that use less than their fair share of slots, or among all teams if there are none.
func (controller *Controller) next() *request {
	share := controller.fairSlots(0)
	for _, queued := range controller.queue.requests {
		if controller.teams[queued.Team].running < share {
			return queued
		}
	}
	return controller.queue.requests[0]
}

// fillSlots starts queued requests while slots are free. Requests that would finish too late are
// refused instead.
func (controller *Controller) fillSlots(now clock.Time, actions []Action) []Action {
	for controller.hasFreeSlot() && controller.queue.len() > 0 && !controller.leaving {
		request := controller.next()
		if controller.late(now, request) {
			controller.dequeue(request)
			actions = controller.refuse(actions, now, request.Request, Patience, controller.serviceTime.roundedMean())
			continue
		}
		controller.queue.remove(request)
		controller.countsOf(request.Team).queued--
		actions = append(actions, controller.start(request))
	}
	return actions
}

// refuseLate refuses the requests at the front of the queue that would finish too late.
func (controller *Controller) refuseLate(now clock.Time, actions []Action) []Action {
	for controller.queue.len() > 0 && controller.late(now, controller.queue.requests[0]) {
		request := controller.queue.requests[0]
		controller.dequeue(request)
		actions = controller.refuse(actions, now, request.Request, Patience, controller.serviceTime.roundedMean())
	}
	return actions
}

// late reports whether the request would probably miss its deadline if it started now.
func (controller *Controller) late(now clock.Time, request *request) bool {
	return float64(request.deadline.Sub(now)) < controller.serviceTime.typicalMillis()
}
