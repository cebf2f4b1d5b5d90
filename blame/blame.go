// Package blame decides which of the runs on a worker caused the end of its process. It holds no jobs: the evidence against
// a task is stored with its job, as workflow.Crash. The package starts no goroutine and reads no clock.
package blame

import (
	"math"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/set"
	"hyssopjunction/workflow"
)

// Limits of the evidence against a task.
const (
	// ageError is how much too high an age may be: the time between two listings of a worker.
	ageError = 60 * clock.Millisecond
	// promptAge is the age at the crash up to which a run counts as having just started.
	promptAge = 160 * clock.Millisecond
	// immediateAge is the age up to which two crashes suffice, and ageTolerance how far the ages of the crashes of one task may
	// be apart, beside half of the age.
	immediateAge = 100 * clock.Millisecond
	ageTolerance = 100 * clock.Millisecond
	// minCrashes is the number of crashes from which a task may be given up, and minAloneCrashes the number of those without
	// another suspect unless all of them were immediate. While workers crash without a task that causes it, one more is needed.
	minCrashes      = 2
	minAloneCrashes = 2
	// maxPromptCrashes and maxCrashes are the numbers of crashes, prompt ones and any, after which a task is given up even if
	// it was never the only suspect. Each but the first follows a trial on a worker where nothing else starts.
	maxPromptCrashes = 4
	maxCrashes       = 5
	// maxWindow bounds how long a worker is kept from other starts for one trial.
	maxWindow = 3 * clock.Second
)

// Verdict is what the crashes under a task say about it.
type Verdict int

// Verdicts.
const (
	// Clear tasks have no evidence against them.
	Clear Verdict = iota
	// Watched tasks were among those that may have caused a crash, but had been running for a while.
	Watched
	// Suspect tasks start only as a trial: where nothing else starts at about the same time.
	Suspect
	// Culprit tasks crash the workers that start them.
	Culprit
)

// String returns the name of the verdict.
func (verdict Verdict) String() string {
	return [...]string{"clear", "watched", "suspect", "culprit"}[verdict]
}

// Assess returns the verdict on a task from the crashes recorded against it. If workers crash without a task that causes it,
// more evidence is needed.
func Assess(crashes []workflow.Crash, workersCrash bool) Verdict {
	crashes = youngestByWorker(crashes)
	prompt := 0
	for _, crash := range crashes {
		if crash.Age <= promptAge {
			prompt++
		}
	}
	switch {
	case isProven(crashes, workersCrash), prompt >= maxPromptCrashes, len(crashes) >= maxCrashes:
		return Culprit
	case prompt > 0, len(crashes) >= minCrashes:
		return Suspect
	case len(crashes) > 0:
		return Watched
	default:
		return Clear
	}
}

// youngestByWorker returns for each worker the crash whose run had started last. Several occurrences of a task may run on one
// worker, whose process ends only once.
func youngestByWorker(crashes []workflow.Crash) []workflow.Crash {
	positions := map[string]int{}
	var distinct []workflow.Crash
	for _, crash := range crashes {
		position, ok := positions[crash.Worker]
		switch {
		case !ok:
			positions[crash.Worker] = len(distinct)
			distinct = append(distinct, crash)
		case crash.Age < distinct[position].Age:
			distinct[position] = crash
		}
	}
	return distinct
}

// isProven reports whether a task has caused the crashes: they happened on different nodes and at about the same age, and it
// was the only suspect of enough of them. One such crash is enough if the age is so small that it is hardly by chance, unless
// workers crash without a task that causes it.
func isProven(crashes []workflow.Crash, workersCrash bool) bool {
	// Crashes of one node say as much about the node as about the task.
	nodes, aloneNodes := set.New[string](), set.New[string]()
	youngest, oldest := clock.Millis(math.MaxInt64), clock.Millis(0)
	for _, crash := range crashes {
		node := nodeOf(crash.Worker)
		nodes.Add(node)
		if crash.Alone {
			aloneNodes.Add(node)
		}
		youngest, oldest = min(youngest, crash.Age), max(oldest, crash.Age)
	}
	if len(crashes) >= maxPromptCrashes && aloneNodes.Len() >= minAloneCrashes {
		return true // An age may be measured wrongly, but hardly so many crashes are by chance.
	}
	if nodes.Len() < minCrashes || oldest > youngest+youngest/2+ageTolerance {
		return false
	}
	if workersCrash {
		return aloneNodes.Len() > minAloneCrashes
	}
	return oldest <= immediateAge && aloneNodes.Len() > 0 || len(crashes) > minCrashes && aloneNodes.Len() >= minAloneCrashes
}

// Weight orders suspects by how likely they are to cause crashes: by the number of crashes, and by how shortly before them
// they started.
func Weight(crashes []workflow.Crash) float64 {
	weight := 0.0
	for _, crash := range youngestByWorker(crashes) {
		weight += 1 / (1 + float64(crash.Age)/float64(ageError))
		if crash.Alone {
			weight++
		}
	}
	return weight
}

// Window returns how long before and after the start of a suspect no other run may start on its worker, so that a crash
// is attributed to it.
func Window(crashes []workflow.Crash) clock.Millis {
	return min(separation(maxAge(crashes)+ageError), maxWindow)
}

// Survival returns how long a run of a task must have been active to show that the task did not cause the crashes.
func Survival(crashes []workflow.Crash) clock.Millis {
	return separation(maxAge(crashes)+ageError) + promptAge
}

func maxAge(crashes []workflow.Crash) clock.Millis {
	oldest := clock.Millis(0)
	for _, crash := range crashes {
		oldest = max(oldest, crash.Age)
	}
	return oldest
}

// separation returns the age above which a run is much older than one of the given age. A task tends to crash its workers at
// the same age, so of two runs the one that started last is the more likely cause.
func separation(age clock.Millis) clock.Millis { return 2*age + ageTolerance }

// nodeOf returns the node of a worker's incarnation, or the incarnation itself if it names none.
func nodeOf(incarnation string) string {
	return incarnation[strings.LastIndexByte(incarnation, '@')+1:]
}
