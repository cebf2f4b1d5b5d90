package admission

import (
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// queue holds waiting requests in ascending order of deadline.
type queue struct {
	items []*item
	// bytes is the length of all bodies.
	bytes int
}

func (queue *queue) len() int {
	return len(queue.items)
}

// position returns the number of requests with a deadline no later than that of entrant.
func (queue *queue) position(deadline clock.Time) int {
	position, _ := slices.BinarySearchFunc(queue.items, deadline, func(waiting *item, deadline clock.Time) int {
		if waiting.deadline.After(deadline) {
			return 1
		}
		return -1
	})
	return position
}

func (queue *queue) insert(entrant *item) {
	queue.items = slices.Insert(queue.items, queue.position(entrant.deadline), entrant)
	queue.bytes += entrant.Bytes
}

func (queue *queue) remove(waiting *item) {
	index := slices.Index(queue.items, waiting)
	queue.items = slices.Delete(queue.items, index, index+1)
	queue.bytes -= waiting.Bytes
}

func (controller *Controller) share(team ident.Team) *share {
	counts, ok := controller.teams[team]
	if !ok {
		counts = &share{}
		controller.teams[team] = counts
	}
	return counts
}

func (controller *Controller) dropShare(team ident.Team) {
	if counts, ok := controller.teams[team]; ok && *counts == (share{}) {
		delete(controller.teams, team)
	}
}

func (controller *Controller) enqueue(entrant *item) {
	entrant.state = Queued
	controller.requests[entrant.Request] = entrant
	controller.queue.insert(entrant)
	controller.share(entrant.Team).queued++
	controller.check(entrant.Request)
}

func (controller *Controller) dequeue(waiting *item) {
	controller.queue.remove(waiting)
	controller.share(waiting.Team).queued--
	controller.dropShare(waiting.Team)
	delete(controller.requests, waiting.Request)
}

// fairSlots is the number of slots a team may use while other teams wait.
func (controller *Controller) fairSlots(extra int) int {
	active := max(1, len(controller.teams)+extra)
	return max(1, (controller.settings.Slots+active-1)/active)
}

// next returns the waiting request with the earliest deadline of a team that is below its fair
// share of slots, or the earliest of all if every waiting team has its share.
func (controller *Controller) next() *item {
	fair := controller.fairSlots(0)
	for _, waiting := range controller.queue.items {
		if controller.teams[waiting.Team].running < fair {
			return waiting
		}
	}
	return controller.queue.items[0]
}

// fillSlots starts waiting requests while there is room. A request that can no longer finish in
// time is refused and does not occupy a slot.
func (controller *Controller) fillSlots(now clock.Time, actions []Action) []Action {
	for controller.room() && controller.queue.len() > 0 && !controller.leaving {
		waiting := controller.next()
		if controller.late(now, waiting) {
			controller.dequeue(waiting)
			actions = controller.refuse(actions, now, waiting.Request, Patience, controller.service.whole())
			continue
		}
		controller.queue.remove(waiting)
		controller.share(waiting.Team).queued--
		actions = append(actions, controller.start(waiting))
	}
	return actions
}

// expire refuses waiting requests whose deadline is too near, from the front of the queue.
func (controller *Controller) expire(now clock.Time, actions []Action) []Action {
	for controller.queue.len() > 0 && controller.late(now, controller.queue.items[0]) {
		waiting := controller.queue.items[0]
		controller.dequeue(waiting)
		actions = controller.refuse(actions, now, waiting.Request, Patience, controller.service.whole())
	}
	return actions
}

func (controller *Controller) late(now clock.Time, waiting *item) bool {
	return float64(waiting.deadline.Sub(now)) < controller.service.usual()
}
