package recorded

import (
	"hyssopjunction/ident"
	"hyssopjunction/membership"
)

// healthExport records how much of the health of workers an incarnation of another entry has received.
type healthExport struct {
	incarnation ident.Incarnation
	// upTo is the change number up to which it has received everything, see quarantine.Tracker.Export.
	upTo uint64
}

// maxExchangedSuspects bounds the workers in one exchange that have failures but are not quarantined,
// with the value of the constant of this name in package entry.
const maxExchangedSuspects = 16

// shareHealth sends the changes in the health of workers to the other entries, as in package entry.
func (entry *entry) shareHealth() {
	deployment := entry.deployment
	now := deployment.now()
	var live []ident.Entry
	for _, other := range deployment.liveEntries() {
		live = append(live, other.ID)
	}
	entry.health.SetEntries(entry.id, live)
	fault := entry.health.PlatformFault(now)
	for _, other := range deployment.entries {
		if other == entry || !other.alive {
			continue
		}
		export := entry.healthExports[other.id]
		if export.incarnation != other.incarnation {
			export = healthExport{incarnation: other.incarnation}
		}
		health, upTo := entry.health.Export(export.upTo, maxExchangedSuspects, now)
		incarnation := other.incarnation
		// A fixed delay draws no random number and so does not change the random delays of other
		// messages.
		deployment.after(deployment.session.MaxHop, func() {
			if other.alive && other.incarnation == incarnation {
				other.health.Import(entry.id, health, fault, deployment.now())
				other.logHealth()
				entry.healthExports[other.id] = healthExport{incarnation: incarnation, upTo: upTo}
			}
		})
	}
}

// scheduleHealthExchange shares the health of workers periodically until the process ends.
func (entry *entry) scheduleHealthExchange(running func() bool) {
	entry.healthExports = make(map[ident.Entry]healthExport)
	entry.deployment.every(membership.DefaultSettings().ExchangeMillis, func() bool {
		if running() {
			entry.shareHealth()
		}
		return running()
	})
}

// logHealth logs quarantine decisions and checks the limit of quarantined workers.
func (entry *entry) logHealth() {
	for _, action := range entry.health.Actions() {
		entry.deployment.log.write("%s Quarantine Kind=%s Worker=%s Job=%s Term=%s Reason=%q", entry.id, action.Kind, action.Worker, action.Job, action.Duration, action.Reason)
	}
	if err := entry.health.Check(); err != nil {
		entry.deployment.checks.fail("quarantine: %v", err)
	}
}
