package recorded

import (
	"fmt"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/job"
	"hyssopjunction/set"
	"hyssopjunction/unit"
)

// Losses breaks down why batch work of a session was not done. Times are sums over tasks.
type Losses struct {
	// Evictions counts stops by reason, except those of cancelled jobs.
	Evictions map[string]int
	// Waiting is the time that tasks waited, by the scheduler's reason.
	Waiting map[string]clock.Millis
	// Running is the time that batch tasks ran. Parts of it were lost: Throttled to throttles,
	// Noise to the interference of other tasks, and Overload to more demand for processor time than
	// the worker has.
	Running, Throttled, Noise, Overload clock.Millis
	// sampledSeconds counts the seconds in which tasks waited. The other fields are sums over the
	// workers and these seconds, in thousandths of a worker.
	sampledSeconds                    int64
	idle, reservedCPU, reservedMemory int64
	usedMemory                        int64
}

func newLosses() Losses {
	return Losses{Evictions: make(map[string]int), Waiting: make(map[string]clock.Millis)}
}

// Add adds the losses of another run.
func (losses *Losses) Add(other *Losses) {
	for reason, count := range other.Evictions {
		losses.Evictions[reason] += count
	}
	for reason, duration := range other.Waiting {
		losses.Waiting[reason] += duration
	}
	losses.Running += other.Running
	losses.Throttled += other.Throttled
	losses.Noise += other.Noise
	losses.Overload += other.Overload
	losses.sampledSeconds += other.sampledSeconds
	losses.idle += other.idle
	losses.reservedCPU += other.reservedCPU
	losses.reservedMemory += other.reservedMemory
	losses.usedMemory += other.usedMemory
}

// addStep adds one runtimeInterval of a batch task and the parts of it that were lost.
func (losses *Losses) addStep(runtime *runtime, task *runningTask) {
	gain := runtimeInterval * 100 / clock.Millis(runtime.slowdown(task))
	gainWithoutOverload := gain * clock.Millis(max(runtime.load(), 100)) / 100
	losses.Running += runtimeInterval
	losses.Throttled += gain - gain*clock.Millis(task.throttle)/100
	losses.Overload += gainWithoutOverload - gain
	losses.Noise += runtimeInterval - gainWithoutOverload
}

// sample adds one second of waiting for each task that waits now, by the reason that its job's home
// entry gives, and the present use of the workers if any task waits.
func (losses *Losses) sample(deployment *deployment) {
	waiting := 0
	for _, name := range deployment.jobs {
		home := deployment.jobHome(name)
		if name == "impossible" || home == nil {
			continue
		}
		explanation, _ := home.scheduler.Explain(name)
		count := explanation.States[job.Waiting] + explanation.States[job.Parked]
		if count > 0 {
			reason, _, _ := strings.Cut(explanation.Reason, ":")
			losses.Waiting[reason] += clock.Millis(count) * clock.Second
		}
		waiting += count
	}
	if waiting == 0 {
		return
	}
	losses.sampledSeconds++
	for _, agent := range deployment.agents {
		var reserved, used unit.Resources
		for _, task := range agent.runtime.tasks {
			reserved = reserved.Add(task.size)
			used = used.Add(task.profile.actual)
		}
		losses.idle += int64(max(0, 1000-10*agent.runtime.load()))
		losses.reservedCPU += int64(reserved.CPU) * 1000 / int64(agent.capacity.CPU)
		losses.reservedMemory += int64(reserved.Memory) * 1000 / int64(agent.capacity.Memory)
		losses.usedMemory += int64(used.Memory) * 1000 / int64(agent.capacity.Memory)
	}
}

// Text lists the losses. Shares are means over the seconds in which tasks waited, in percent of all
// workers.
func (losses *Losses) Text(workers int) string {
	var text strings.Builder
	share := func(sum int64) int64 { return sum / 10 / max(losses.sampledSeconds*int64(workers), 1) }
	fmt.Fprintf(&text, "Running=%s Throttled=%s Noise=%s Overload=%s", losses.Running, losses.Throttled, losses.Noise, losses.Overload)
	fmt.Fprintf(&text, " WhileWaiting=%ds: IdleCPU=%d%% ReservedCPU=%d%% ReservedMemory=%d%% UsedMemory=%d%% Evictions:", losses.sampledSeconds,
		share(losses.idle), share(losses.reservedCPU), share(losses.reservedMemory), share(losses.usedMemory))
	for _, reason := range set.SortedKeys(losses.Evictions) {
		fmt.Fprintf(&text, " %s=%d", reason, losses.Evictions[reason])
	}
	text.WriteString(" Waiting:")
	for _, reason := range set.SortedKeys(losses.Waiting) {
		fmt.Fprintf(&text, " %s=%s", reason, losses.Waiting[reason])
	}
	return text.String()
}
