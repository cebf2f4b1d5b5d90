package blame

import (
	"cmp"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/set"
	"hyssopjunction/workflow"
)

// Times of the ledger.
const (
	// SettleTime is how long after a crash the crashes of other workers are awaited that had the same cause. Agents notice
	// them up to half a second apart.
	SettleTime = 400 * clock.Millisecond
	// coincidence is the time between two crashes up to which they may have one cause outside the workers.
	coincidence = 300 * clock.Millisecond
	// recentCrash is how long a crash without a task that caused it makes further ones likely.
	recentCrash = 30 * clock.Second
	// repeatedReport is the time up to which two crashes of one incarnation are the same. A worker that was taken for crashed
	// by mistake may crash later.
	repeatedReport = 5 * clock.Second
	// memory is how long a crash is remembered.
	memory = 2 * clock.Minute
	// minUnexplained is the number of crashes of a node for which no task was found from which its worker is not used for
	// a while, firstBlock at first and twice as long after each further one, up to maxBlock.
	minUnexplained = 3
	firstBlock     = 4 * clock.Second
	maxBlock       = 30 * clock.Second
)

// Run is a run on a worker at its crash. Age is how long before the crash it was started.
type Run struct {
	Name   workflow.Name
	Number workflow.Run
	Age    clock.Millis
}

// Crash is the end of a worker's process that the worker had not announced.
type Crash struct {
	// Worker is the worker's incarnation, and DataCentre is where it is, or empty if that is not known.
	Worker, DataCentre string
	At                 clock.Time
	Runs               []Run
}

// Ledger remembers the latest crashes and the tasks that may have caused them. Create it with NewLedger. It is not stored: the
// evidence that counts is kept with the jobs, and AddSuspect restores the suspects from it.
type Ledger struct {
	crashes map[string]*entry
	// unexplained holds the times of the crashes of a node for which no task was found.
	unexplained map[string][]clock.Time
}

// entry is a crash in the ledger.
type entry struct {
	Crash
	// suspects holds the tasks that are under suspicion, and others the older runs, by ascending age.
	suspects set.Set[workflow.Name]
	others   []Run
	// isPrompt reports that a run had just started. Without one, the crash needs another explanation.
	isPrompt bool
	// isRestored reports that only the suspects are known, from what an earlier leader stored.
	isRestored bool
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{crashes: map[string]*entry{}, unexplained: map[string][]clock.Time{}}
}

// Record adds a crash. It returns the evidence against the tasks that are under suspicion first, which are those that
// started last, and the workers whose earlier crashes may have had the same cause outside of them: the evidence of these
// crashes must not count as Alone any more. It returns nothing for a crash that is known.
func (ledger *Ledger) Record(crash Crash, now clock.Time) (evidence []workflow.Crash, sharing []string) {
	ledger.expire(now)
	known, ok := ledger.crashes[crash.Worker]
	if ok && !known.isRestored && crash.At.Sub(known.At) < repeatedReport {
		return nil, nil
	}
	runs := slices.Clone(crash.Runs)
	slices.SortStableFunc(runs, func(left, right Run) int { return cmp.Compare(left.Age, right.Age) })
	added := &entry{Crash: crash, suspects: set.New[workflow.Name](), others: runs, isPrompt: len(runs) > 0 && runs[0].Age <= promptAge}
	if ok {
		added.suspects = known.suspects
	}
	ledger.crashes[crash.Worker] = added
	sharing = ledger.sharing(added)
	evidence = added.nextSuspects()
	if len(runs) == 0 {
		ledger.addUnexplained(added, now)
	}
	// A node that has crashed without a task that caused it may have done so again.
	if len(sharing) > 0 || ledger.IsUnreliable(nodeOf(crash.Worker)) {
		for position := range evidence {
			evidence[position].Alone = false
		}
	}
	return evidence, sharing
}

// IsUnreliable reports whether a node has crashed without a task that caused it.
func (ledger *Ledger) IsUnreliable(node string) bool { return len(ledger.unexplained[node]) > 0 }

// AddSuspect adds a task that is under suspicion because of a crash that an earlier leader recorded.
func (ledger *Ledger) AddSuspect(crash workflow.Crash, now clock.Time) {
	known, ok := ledger.crashes[crash.Worker]
	if !ok {
		known = &entry{Crash: Crash{Worker: crash.Worker, At: now}, suspects: set.New[workflow.Name](), isPrompt: true, isRestored: true}
		ledger.crashes[crash.Worker] = known
	}
	known.suspects.Add(crash.Name)
}

// Exonerate records that a task did not cause the crash of a worker. If it was the last suspect, the evidence against the
// next ones is returned. If there are none, the crash counts against the node.
func (ledger *Ledger) Exonerate(worker string, name workflow.Name, now clock.Time) []workflow.Crash {
	known, ok := ledger.crashes[worker]
	if !ok || !known.suspects.Has(name) {
		return nil
	}
	known.suspects.Remove(name)
	if known.suspects.Len() > 0 {
		return nil
	}
	evidence := known.nextSuspects()
	if len(evidence) == 0 {
		ledger.addUnexplained(known, now)
	}
	if ledger.IsUnreliable(nodeOf(worker)) {
		for position := range evidence {
			evidence[position].Alone = false
		}
	}
	return evidence
}

// Explain records that the cause of a worker's crash is known.
func (ledger *Ledger) Explain(worker string) {
	if known, ok := ledger.crashes[worker]; ok {
		known.suspects, known.others = set.New[workflow.Name](), nil
	}
}

// BlockedUntil returns until when the worker of a node is not used because its crashes have no explanation.
func (ledger *Ledger) BlockedUntil(node string) clock.Time {
	times := ledger.unexplained[node]
	if len(times) < minUnexplained {
		return 0
	}
	block := firstBlock
	for range len(times) - minUnexplained {
		block = min(2*block, maxBlock)
	}
	return times[len(times)-1].Add(block)
}

// WorkersCrash reports whether a worker has lately crashed without a task that caused it.
func (ledger *Ledger) WorkersCrash(now clock.Time) bool {
	for _, times := range ledger.unexplained {
		if now.Sub(times[len(times)-1]) < recentCrash {
			return true
		}
	}
	return false
}

// HasUnexplained reports whether any node had crashes without an explanation.
func (ledger *Ledger) HasUnexplained() bool { return len(ledger.unexplained) > 0 }

// nextSuspects moves the youngest of the other runs to the suspects and returns the evidence against them.
func (crash *entry) nextSuspects() []workflow.Crash {
	if len(crash.others) == 0 {
		return nil
	}
	youngest := crash.others[0].Age
	oldest := youngest + max(ageTolerance, youngest)
	var evidence []workflow.Crash
	for len(crash.others) > 0 && crash.others[0].Age <= oldest {
		run := crash.others[0]
		crash.others = crash.others[1:]
		crash.suspects.Add(run.Name)
		evidence = append(evidence, workflow.Crash{
			Name: run.Name, Run: run.Number, Worker: crash.Worker, Age: run.Age, Alone: isAlone(run, crash.Runs),
		})
	}
	return evidence
}

// isAlone reports whether all runs of other jobs are much older than the run.
func isAlone(run Run, runs []Run) bool {
	for _, other := range runs {
		if other.Name.Job != run.Name.Job && other.Age <= separation(run.Age) {
			return false
		}
	}
	return true
}

// sharing returns the workers that crashed at about the same time in the same data centre if one of the crashes has no run
// that had just started: then a cause outside of the workers is likely, such as the loss of a rack.
func (ledger *Ledger) sharing(crash *entry) []string {
	var workers []string
	explained := crash.isPrompt
	for worker, other := range ledger.crashes {
		if other == crash || other.DataCentre == "" || other.DataCentre != crash.DataCentre ||
			max(other.At.Sub(crash.At), crash.At.Sub(other.At)) > coincidence {
			continue
		}
		workers = append(workers, worker)
		explained = explained && other.isPrompt
	}
	if explained {
		return nil
	}
	slices.Sort(workers)
	return workers
}

func (ledger *Ledger) addUnexplained(crash *entry, now clock.Time) {
	node := nodeOf(crash.Worker)
	ledger.unexplained[node] = append(ledger.unexplained[node], now)
}

// expire removes what is older than memory.
func (ledger *Ledger) expire(now clock.Time) {
	for worker, crash := range ledger.crashes {
		if now.Sub(crash.At) > memory {
			delete(ledger.crashes, worker)
		}
	}
	for node, times := range ledger.unexplained {
		times = slices.DeleteFunc(times, func(at clock.Time) bool { return now.Sub(at) > memory })
		if len(times) == 0 {
			delete(ledger.unexplained, node)
			continue
		}
		ledger.unexplained[node] = times
	}
}
