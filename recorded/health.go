package recorded

import (
	"hyssopjunction/ident"
	"hyssopjunction/membership"
)

// healthTold is what an incarnation of another entry knows of the health of workers.
type healthTold struct {
	incarnation ident.Incarnation
	upTo        uint64
}

// maxSuspects is as in package entry.
const maxSuspects = 16

// shareHealth tells the other entries what changed about the health of workers, as in package entry.
func (entry *entry) shareHealth() {
	deployment := entry.deployment
	now := deployment.now()
	var live []ident.Entry
	for _, known := range deployment.live() {
		live = append(live, known.ID)
	}
	entry.health.SetEntries(entry.id, live)
	fault := entry.health.PlatformFault(now)
	for _, other := range deployment.entries {
		if other == entry || !other.alive {
			continue
		}
		told := entry.healthTold[other.id]
		if told.incarnation != other.incarnation {
			told = healthTold{incarnation: other.incarnation}
		}
		health, upTo := entry.health.Export(told.upTo, maxSuspects, now)
		incarnation := other.incarnation
		// A fixed delay leaves the random delays of all other messages as they are.
		deployment.after(deployment.session.HopHigh, func() {
			if other.alive && other.incarnation == incarnation {
				other.health.Import(entry.id, health, fault, deployment.now())
				other.logHealth()
				entry.healthTold[other.id] = healthTold{incarnation: incarnation, upTo: upTo}
			}
		})
	}
}

// everyExchange shares the health of workers until the process ends.
func (entry *entry) everyExchange(running func() bool) {
	entry.healthTold = make(map[ident.Entry]healthTold)
	entry.deployment.every(membership.DefaultSettings().ExchangeMillis, func() bool {
		if running() {
			entry.shareHealth()
		}
		return running()
	})
}

// logHealth logs the decisions about faults and checks the cap.
func (entry *entry) logHealth() {
	for _, action := range entry.health.Actions() {
		entry.deployment.log.write("%s Quarantine Kind=%s Worker=%s Job=%s Term=%s Reason=%q", entry.id, action.Kind, action.Worker, action.Job, action.TermMillis, action.Reason)
	}
	if err := entry.health.Check(); err != nil {
		entry.deployment.checks.broken("quarantine: %v", err)
	}
}
