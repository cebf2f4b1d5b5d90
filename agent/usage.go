package agent

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/worker"
)

const (
	// usageRepeatInterval is the interval at which an unchanged sample is sent again. Sending each
	// sample with each heartbeat takes 10 bytes a second and task. A home with 50 agents would
	// exceed the 7 KB/s to which the control traffic of a daemon is limited.
	usageRepeatInterval = clock.Minute
	// usageChangePercent is the change of a quantity above which a sample is sent at once.
	usageChangePercent = 10
	// maxUsageSamples is the maximum number of samples in one heartbeat.
	maxUsageSamples = 32
)

// sentUsage is the last sample of a task that was sent.
type sentUsage struct {
	usage  worker.Usage
	sentAt clock.Time
}

// usageFilter selects the usage samples to send with a heartbeat.
type usageFilter struct {
	sent map[ident.Task]sentUsage
}

func newUsageFilter() *usageFilter {
	return &usageFilter{sent: map[ident.Task]sentUsage{}}
}

// pick returns the samples that are new, changed or due again, at most maxUsageSamples. Tasks
// without a sample are removed from the filter.
func (filter *usageFilter) pick(samples []worker.Usage, now clock.Time) []worker.Usage {
	sent := make(map[ident.Task]sentUsage, len(samples))
	var picked []worker.Usage
	for _, usage := range samples {
		last, ok := filter.sent[usage.Task]
		if ok && now.Sub(last.sentAt) < usageRepeatInterval && !changed(last.usage, usage) || len(picked) == maxUsageSamples {
			if ok {
				sent[usage.Task] = last
			}
			continue
		}
		sent[usage.Task] = sentUsage{usage: usage, sentAt: now}
		picked = append(picked, usage)
	}
	filter.sent = sent
	return picked
}

// changed reports whether a quantity differs by more than usageChangePercent.
func changed(last, next worker.Usage) bool {
	return differs(int64(last.Resources.CPU), int64(next.Resources.CPU)) ||
		differs(int64(last.Resources.Memory), int64(next.Resources.Memory)) ||
		differs(int64(last.Slowdown), int64(next.Slowdown))
}

func differs(last, next int64) bool {
	return max(last, next)-min(last, next) > last*usageChangePercent/100
}
