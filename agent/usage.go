package agent

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/worker"
)

const (
	// usageRepeat is how often an unchanged measurement is sent again. Sending each measurement with
	// each heartbeat takes 10 bytes a second and task, which is above 7 KB/s for a home of 50 agents.
	usageRepeat = clock.Minute
	// usageChange is the change in percent of a quantity that is sent at once.
	usageChange = 10
	// usageBatch bounds the measurements in one heartbeat.
	usageBatch = 32
)

// sentUsage is the measurement of a task that was sent last.
type sentUsage struct {
	usage worker.Usage
	at    clock.Time
}

// usageFilter picks the measurements that are worth sending.
type usageFilter struct {
	sent map[ident.Task]sentUsage
}

func newUsageFilter() *usageFilter {
	return &usageFilter{sent: map[ident.Task]sentUsage{}}
}

// pick returns the measurements that are new, changed or due again, and forgets tasks that are not
// measured any more.
func (filter *usageFilter) pick(measured []worker.Usage, now clock.Time) []worker.Usage {
	kept := make(map[ident.Task]sentUsage, len(measured))
	var picked []worker.Usage
	for _, usage := range measured {
		last, known := filter.sent[usage.Task]
		if known && now.Sub(last.at) < usageRepeat && !changed(last.usage, usage) || len(picked) == usageBatch {
			if known {
				kept[usage.Task] = last
			}
			continue
		}
		kept[usage.Task] = sentUsage{usage: usage, at: now}
		picked = append(picked, usage)
	}
	filter.sent = kept
	return picked
}

// changed reports whether a quantity differs by more than usageChange.
func changed(last, next worker.Usage) bool {
	return differs(int64(last.Resources.CPU), int64(next.Resources.CPU)) ||
		differs(int64(last.Resources.Memory), int64(next.Resources.Memory)) ||
		differs(int64(last.Slowdown), int64(next.Slowdown))
}

func differs(last, next int64) bool {
	return max(last, next)-min(last, next) > last*usageChange/100
}
