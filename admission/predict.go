package admission

import (
	"math"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// estimate is a moving average of measured service times in milliseconds.
type estimate struct {
	mean     float64
	measured bool
}

// serviceWeight is the weight of one measurement; about the last 16 count.
const serviceWeight = 1.0 / 16

func newEstimate(prior clock.Millis) estimate {
	return estimate{mean: float64(prior)}
}

func (service *estimate) observe(measured clock.Millis) {
	// Times below the clock's resolution count as half a millisecond, so the mean stays positive.
	sample := math.Max(float64(measured), 0.5)
	if !service.measured {
		service.mean, service.measured = sample, true
		return
	}
	service.mean += (sample - service.mean) * serviceWeight
}

func (service *estimate) whole() clock.Millis {
	return max(1, clock.Millis(math.Ceil(service.mean)))
}

// predict returns the milliseconds until entrant would finish if it were queued now. The fair
// share of slots bounds the effect of other teams' earlier deadlines.
func (controller *Controller) predict(entrant *item) float64 {
	service := controller.service.mean
	ahead := controller.queue.position(entrant.deadline)
	wait := float64(ahead+1) * service / float64(controller.settings.Slots)
	own, extra := 0, 1
	if counts, ok := controller.teams[entrant.Team]; ok {
		own, extra = counts.queued, 0
	}
	fair := controller.fairSlots(extra)
	if own < ahead {
		wait = math.Min(wait, float64(own+1)*service/float64(fair))
	}
	return wait + service
}

// makeRoom decides whether entrant can be queued. It sheds less important requests where that
// makes entrant meet its deadline, or where the queue is full. A reason means refusal.
func (controller *Controller) makeRoom(now clock.Time, entrant *item) ([]Action, Reason, clock.Millis) {
	actions := controller.expire(now, nil)
	patience := float64(entrant.Patience)
	predicted := controller.predict(entrant)
	if predicted > patience {
		needed := int(math.Ceil((predicted - patience) * float64(controller.settings.Slots) / controller.service.mean))
		if controller.countBelow(entrant) < needed {
			return actions, Patience, max(1, clock.Millis(math.Ceil(predicted-patience)))
		}
		for range needed {
			victim := controller.victimBelow(entrant)
			controller.dequeue(victim)
			actions = controller.refuse(actions, now, victim.Request, Shed, controller.service.whole())
		}
	}
	if controller.queue.len() < controller.settings.Queue {
		return actions, "", 0
	}
	victim := controller.victimWhenFull(entrant)
	if victim == nil {
		return actions, Overload, max(1, clock.Millis(math.Ceil(predicted)))
	}
	controller.dequeue(victim)
	return controller.refuse(actions, now, victim.Request, Shed, controller.service.whole()), "", 0
}

// countBelow counts the requests that run before entrant and are less important.
func (controller *Controller) countBelow(entrant *item) int {
	count := 0
	for _, waiting := range controller.queue.items[:controller.queue.position(entrant.deadline)] {
		if waiting.Priority < entrant.Priority {
			count++
		}
	}
	return count
}

// victimBelow returns the least important request before entrant, the latest among equals.
func (controller *Controller) victimBelow(entrant *item) *item {
	var victim *item
	for _, waiting := range controller.queue.items[:controller.queue.position(entrant.deadline)] {
		if waiting.Priority < entrant.Priority && (victim == nil || waiting.Priority <= victim.Priority) {
			victim = waiting
		}
	}
	return victim
}

// victimWhenFull returns the request that gives way to entrant in a full queue: the latest one of
// lower priority, else the latest one of the team that holds the most places, provided it holds
// at least two more than entrant's team.
func (controller *Controller) victimWhenFull(entrant *item) *item {
	var lower *item
	for _, waiting := range controller.queue.items {
		if waiting.Priority < entrant.Priority && (lower == nil || waiting.Priority <= lower.Priority) {
			lower = waiting
		}
	}
	if lower != nil {
		return lower
	}
	own := 0
	if counts, ok := controller.teams[entrant.Team]; ok {
		own = counts.queued
	}
	var largest ident.Team
	most := own + 1
	for _, waiting := range controller.queue.items {
		if queued := controller.teams[waiting.Team].queued; queued > most {
			largest, most = waiting.Team, queued
		}
	}
	var victim *item
	for _, waiting := range controller.queue.items {
		if most > own+1 && waiting.Team == largest && waiting.Priority <= entrant.Priority {
			victim = waiting
		}
	}
	return victim
}
