package interference

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// maxReleaseBackoff is the maximum number of times that the release delay is doubled.
const maxReleaseBackoff = 3

// Governor decides when to throttle, checkpoint and evict tasks that slow services down. It is not safe
// for concurrent use.
type Governor struct {
	settings  GovernorSettings
	predictor Predictor
	workers   map[ident.Worker]*workerState
}

// NewGovernor returns a Governor without state. Without a predictor (nil), it assumes that all tasks
// have the same effect.
func NewGovernor(settings GovernorSettings, predictor Predictor) *Governor {
	return &Governor{settings: settings, predictor: predictor, workers: make(map[ident.Worker]*workerState)}
}

// SetSettings changes the settings. The state is kept, so that a change of the preset alone neither
// releases nor evicts tasks.
func (governor *Governor) SetSettings(settings GovernorSettings) {
	governor.settings = settings
}

// RemoveWorker removes the state of a worker that left or that has another home entry now.
func (governor *Governor) RemoveWorker(worker ident.Worker) {
	delete(governor.workers, worker)
}

// Throttled returns the number of tasks on a worker for which a throttle was requested.
func (governor *Governor) Throttled(worker ident.Worker) int {
	count := 0
	if state := governor.workers[worker]; state != nil {
		for _, request := range state.throttles {
			if request.percent < 100 {
				count++
			}
		}
	}
	return count
}

// Step processes a sample and returns the actions to carry out, in order.
func (governor *Governor) Step(sample Sample, now clock.Time) []Action {
	worker := governor.workers[sample.Worker]
	if worker == nil {
		worker = &workerState{services: make(map[ident.Service]*serviceState), throttles: make(map[run]throttleRequest)}
		governor.workers[sample.Worker] = worker
	}
	state := worker.services[sample.Service]
	if state == nil {
		// The first measurement may be a spike, so the smoothed slowdown starts at the target at most.
		state = &serviceState{smoothedSlowdown: float64(min(sample.Slowdown, sample.Target)), smoothedSpareSlots: float64(sample.SpareSlots), updatedAt: now, throttleLevels: make(map[run]int)}
		worker.services[sample.Service] = state
		governor.adoptThrottles(worker, state, sample, now)
	}
	byRun := make(map[run]Candidate, len(sample.Candidates))
	for _, candidate := range sample.Candidates {
		byRun[candidate.run()] = candidate
	}
	for key := range state.throttleLevels {
		if _, ok := byRun[key]; !ok {
			delete(state.throttleLevels, key)
		}
	}
	sample.Target += governor.spareMargin(state)
	governor.updateSlowdown(state, sample, now)
	var actions []Action
	switch {
	case state.evicting != (run{}):
		actions = governor.finishEviction(worker, state, sample, byRun, now)
	case now.Sub(state.lastStepAt) < governor.settings.DwellMillis && state.lastStepAt != 0:
	case state.aboveSince != 0 && now.Sub(state.aboveSince) >= governor.settings.EnterMillis:
		actions = governor.tighten(worker, state, sample, now)
	case state.belowSince != 0 && now.Sub(state.belowSince) >= governor.releaseDelay(state) && len(state.throttleLevels) > 0:
		governor.relax(state, sample, now)
	}
	return append(governor.updateThrottles(worker, sample, byRun, now), actions...)
}

// adoptThrottles derives the state from the throttles that the worker reports and that its previous home
// entry requested. Otherwise a change of the home entry would release all of them at once.
func (governor *Governor) adoptThrottles(worker *workerState, state *serviceState, sample Sample, now clock.Time) {
	for _, candidate := range sample.Candidates {
		if _, exists := worker.throttles[candidate.run()]; exists || candidate.Throttle <= 0 || candidate.Throttle >= 100 {
			continue
		}
		level := 0
		for level < len(governor.settings.ThrottlePercents) && (level == 0 || governor.settings.ThrottlePercents[level] >= candidate.Throttle) {
			level++
		}
		if level > 0 {
			state.throttleLevels[candidate.run()] = level
			worker.throttles[candidate.run()] = throttleRequest{percent: candidate.Throttle, at: now}
		}
	}
}

// spareMargin returns the points to add to the target of the service. It is SpareMargin while enough
// slots are free, and 0 otherwise.
func (governor *Governor) spareMargin(state *serviceState) int {
	if state.smoothedSpareSlots > 0 && state.smoothedSpareSlots >= float64(governor.settings.SpareSlots) {
		return governor.settings.SpareMargin
	}
	return 0
}

// updateSlowdown updates the smoothed values and the times since which the slowdown is outside the band
// around the target.
func (governor *Governor) updateSlowdown(state *serviceState, sample Sample, now clock.Time) {
	elapsed := float64(max(now.Sub(state.updatedAt), 0))
	share := 1 - math.Exp(-elapsed/float64(max(governor.settings.SmoothingMillis, 1)))
	state.smoothedSlowdown += share * (float64(sample.Slowdown) - state.smoothedSlowdown)
	state.smoothedSpareSlots += share * (float64(sample.SpareSlots) - state.smoothedSpareSlots)
	state.updatedAt = now
	if state.aboveSince == 0 {
		state.exhaustedSince = 0
	}
	state.aboveSince = holdsSince(state.aboveSince, state.smoothedSlowdown > float64(sample.Target+governor.settings.EnterMargin), now)
	state.belowSince = holdsSince(state.belowSince, state.smoothedSlowdown < float64(max(sample.Target-governor.settings.ExitMargin, 101)), now)
}

// tighten throttles the tasks with the most effect further, until the predicted relief covers the
// slowdown above the target. Once they have been throttled as far as allowed for EvictAfterMillis, it
// starts an eviction by requesting a checkpoint.
func (governor *Governor) tighten(worker *workerState, state *serviceState, sample Sample, now clock.Time) []Action {
	ranked := governor.rank(sample)
	if len(ranked) == 0 {
		return nil
	}
	state.lastStepAt = now
	if state.lastReleaseAt != 0 && now.Sub(state.lastReleaseAt) < 2*governor.releaseDelay(state) {
		state.releaseBackoff = min(state.releaseBackoff+1, maxReleaseBackoff)
	} else {
		state.releaseBackoff = 0
	}
	state.lastReleaseAt = 0
	maxLevel := len(governor.settings.ThrottlePercents)
	excess := state.smoothedSlowdown - float64(sample.Target)
	expectedRelief, tightened := 0.0, false
	for _, candidate := range ranked {
		effect := governor.effect(sample, candidate)
		// Several steps at once need a prediction that they help, so a task with little predicted effect
		// is throttled by one step at a time.
		levelLimit := state.throttleLevels[candidate.run()] + 1
		if effect >= governor.settings.LeastEffect {
			levelLimit = maxLevel
		}
		for level := state.throttleLevels[candidate.run()]; level < min(levelLimit, maxLevel) && expectedRelief < excess; level++ {
			state.throttleLevels[candidate.run()] = level + 1
			tightened = true
			expectedRelief += effect * governor.stepShare(level+1)
		}
	}
	if tightened {
		state.exhaustedSince = 0
		return nil
	}
	if state.exhaustedSince == 0 {
		state.exhaustedSince = now
	}
	// While slots are free, routing sends requests elsewhere, so that throttling without evictions is enough.
	if now.Sub(state.exhaustedSince) < governor.settings.EvictAfterMillis || governor.spareMargin(state) > 0 {
		return nil
	}
	recent := worker.evictions[:0]
	for _, at := range worker.evictions {
		if now.Sub(at) < clock.Hour {
			recent = append(recent, at)
		}
	}
	worker.evictions = recent
	if len(recent) >= governor.settings.MaxEvictions {
		return nil
	}
	candidate := ranked[0]
	if governor.effect(sample, candidate) < governor.settings.LeastEffect {
		return nil
	}
	state.evicting, state.checkpointRequestedAt = candidate.run(), now
	return []Action{governor.newAction(Checkpoint, sample, state, candidate, 0)}
}

// finishEviction evicts the task whose checkpoint was requested, unless the slowdown has ceased or the
// task has ended meanwhile. The request to evict is repeated after RetryMillis.
func (governor *Governor) finishEviction(worker *workerState, state *serviceState, sample Sample, byRun map[run]Candidate, now clock.Time) []Action {
	candidate, ok := byRun[state.evicting]
	switch {
	case !ok || (state.aboveSince == 0 && state.evictRequestedAt == 0):
		state.evicting, state.evictRequestedAt, state.lastStepAt = run{}, 0, now
		return nil
	case state.evictRequestedAt != 0:
		if now.Sub(state.evictRequestedAt) < governor.settings.RetryMillis {
			return nil
		}
	case now.Sub(state.checkpointRequestedAt) < governor.settings.CheckpointMillis:
		return nil
	default:
		worker.evictions = append(worker.evictions, now)
	}
	state.evictRequestedAt, state.lastStepAt = now, now
	return []Action{governor.newAction(Evict, sample, state, candidate, 0)}
}

// releaseDelay returns how long the slowdown must stay below the band before the next release.
func (governor *Governor) releaseDelay(state *serviceState) clock.Millis {
	return governor.settings.ReleaseMillis << state.releaseBackoff
}

// relax releases throttled tasks by one step each, those with the least effect first, as long as the
// predicted slowdown stays below the target. It releases at least one task.
func (governor *Governor) relax(state *serviceState, sample Sample, now clock.Time) {
	state.lastStepAt, state.lastReleaseAt = now, now
	// The slowdown must stay below the band for the whole delay again before the next release.
	state.belowSince = now
	var throttled []Candidate
	for _, candidate := range sortedByTask(sample.Candidates) {
		if state.throttleLevels[candidate.run()] > 0 {
			throttled = append(throttled, candidate)
		}
	}
	slices.SortStableFunc(throttled, func(left, right Candidate) int {
		return cmp.Compare(governor.effect(sample, left), governor.effect(sample, right))
	})
	margin := float64(sample.Target) - state.smoothedSlowdown
	for index, candidate := range throttled {
		level := state.throttleLevels[candidate.run()]
		margin -= governor.effect(sample, candidate) * governor.stepShare(level)
		if index > 0 && margin < 0 {
			return
		}
		if level == 1 {
			delete(state.throttleLevels, candidate.run())
			continue
		}
		state.throttleLevels[candidate.run()] = level - 1
	}
}

// stepShare returns the share of processor time, from 0 to 1, by which the throttle step to the level
// reduces a task.
func (governor *Governor) stepShare(level int) float64 {
	percents := governor.settings.ThrottlePercents
	level = min(level, len(percents))
	switch level {
	case 0:
		return 0
	case 1:
		return float64(100-percents[0]) / 100
	default:
		return float64(percents[level-2]-percents[level-1]) / 100
	}
}

// updateThrottles returns the requests that throttle each task as far as the strictest of the services
// on the worker requires. It repeats a request after RetryMillis if the worker reports another throttle.
func (governor *Governor) updateThrottles(worker *workerState, sample Sample, byRun map[run]Candidate, now clock.Time) []Action {
	for key := range worker.throttles {
		if _, ok := byRun[key]; !ok {
			delete(worker.throttles, key)
		}
	}
	var actions []Action
	state := worker.services[sample.Service]
	for _, candidate := range sortedByTask(sample.Candidates) {
		percent := 100
		for _, other := range worker.services {
			level := min(other.throttleLevels[candidate.run()], len(governor.settings.ThrottlePercents))
			if level > 0 {
				percent = min(percent, governor.settings.ThrottlePercents[level-1])
			}
		}
		request, exists := worker.throttles[candidate.run()]
		if !exists {
			request.percent = 100
		}
		mustRepeat := candidate.Throttle != 0 && candidate.Throttle != percent && now.Sub(request.at) >= governor.settings.RetryMillis
		if percent == request.percent && !mustRepeat {
			if percent == 100 && candidate.Throttle == 100 {
				delete(worker.throttles, candidate.run())
			}
			continue
		}
		worker.throttles[candidate.run()] = throttleRequest{percent: percent, at: now}
		actions = append(actions, governor.newAction(Throttle, sample, state, candidate, percent))
	}
	return actions
}

// rank returns the candidates in the order in which to act on them: batch tasks before standing ones,
// then by effect in relation to the work that an eviction would lose, highest first. Candidates with
// an effect below LeastEffect are omitted unless there are no others.
func (governor *Governor) rank(sample Sample) []Candidate {
	ranked := sortedByTask(sample.Candidates)
	score := func(candidate Candidate) float64 {
		minutes := float64(candidate.UnsavedMillis) / float64(clock.Minute)
		return governor.effect(sample, candidate) / (1 + governor.settings.LostWorkWeight*minutes)
	}
	slices.SortStableFunc(ranked, func(left, right Candidate) int {
		if left.Standing != right.Standing {
			if left.Standing {
				return 1
			}
			return -1
		}
		return cmp.Compare(score(right), score(left))
	})
	effective := slices.DeleteFunc(slices.Clone(ranked), func(candidate Candidate) bool {
		return governor.effect(sample, candidate) < governor.settings.LeastEffect
	})
	if len(effective) > 0 {
		return effective
	}
	return ranked
}

// effect returns the predicted slowdown that a candidate causes, in points, at least 1. Classes without
// measurements get 1, so that they rank after known causes.
func (governor *Governor) effect(sample Sample, candidate Candidate) float64 {
	predictor := governor.predictor
	if predictor == nil {
		return 1
	}
	if model, ok := predictor.(interface{ At(load int) LoadPredictor }); ok {
		predictor = model.At(sample.Load)
	}
	return max(float64(predictor.Slowdown(sample.Class, []string{candidate.Class})-100), 1)
}

// newAction returns an action with the current slowdown and target as reason.
func (governor *Governor) newAction(kind ActionKind, sample Sample, state *serviceState, candidate Candidate, percent int) Action {
	return Action{
		Kind: kind, Worker: sample.Worker, Service: sample.Service,
		Task: candidate.Task, Epoch: candidate.Epoch, Percent: percent,
		Reason: fmt.Sprintf("slowdown %.0f%%, target %d%%", state.smoothedSlowdown, sample.Target),
	}
}

// sortedByTask returns a copy of the candidates in ascending order of task.
func sortedByTask(candidates []Candidate) []Candidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(left, right Candidate) int {
		return cmp.Or(cmp.Compare(left.Task.Job, right.Task.Job), cmp.Compare(left.Task.Index, right.Task.Index))
	})
	return sorted
}

// Services returns the services with state on a worker, in ascending order.
func (governor *Governor) Services(worker ident.Worker) []ident.Service {
	state := governor.workers[worker]
	if state == nil {
		return nil
	}
	return set.SortedKeys(state.services)
}

// RemoveService removes the state of a service that left a worker. It returns the actions that end the
// throttles which no other service requires.
func (governor *Governor) RemoveService(worker ident.Worker, service ident.Service, candidates []Candidate, now clock.Time) []Action {
	state := governor.workers[worker]
	if state == nil || state.services[service] == nil {
		return nil
	}
	state.services[service].throttleLevels = nil
	byRun := make(map[run]Candidate, len(candidates))
	for _, candidate := range candidates {
		byRun[candidate.run()] = candidate
	}
	actions := governor.updateThrottles(state, Sample{Worker: worker, Service: service, Candidates: candidates}, byRun, now)
	delete(state.services, service)
	return actions
}
