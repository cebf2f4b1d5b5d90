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

// maxBackoff bounds the doublings of the release term.
const maxBackoff = 3

// Governor keeps the state of throttling, checkpoints and evictions. It is used by one goroutine.
type Governor struct {
	settings  GovernorSettings
	predictor Predictor
	workers   map[ident.Worker]*governed
}

// NewGovernor returns a Governor that has acted on nothing.
func NewGovernor(settings GovernorSettings, predictor Predictor) *Governor {
	return &Governor{settings: settings, predictor: predictor, workers: make(map[ident.Worker]*governed)}
}

// SetSettings takes over the settings of a new preset. The state is kept, so that a change of
// preset releases or evicts nothing by itself.
func (governor *Governor) SetSettings(settings GovernorSettings) {
	governor.settings = settings
}

// Forget drops the state of a worker that is gone or homed elsewhere.
func (governor *Governor) Forget(worker ident.Worker) {
	delete(governor.workers, worker)
}

// Throttled returns how many tasks of a worker are throttled by request.
func (governor *Governor) Throttled(worker ident.Worker) int {
	count := 0
	if known := governor.workers[worker]; known != nil {
		for _, asked := range known.applied {
			if asked.percent < 100 {
				count++
			}
		}
	}
	return count
}

// Step takes a reading and returns the actions to carry out, in order.
func (governor *Governor) Step(reading Reading, now clock.Time) []Action {
	known := governor.workers[reading.Worker]
	if known == nil {
		known = &governed{services: make(map[ident.Service]*watched), applied: make(map[run]request)}
		governor.workers[reading.Worker] = known
	}
	state := known.services[reading.Service]
	if state == nil {
		// A first measurement above the target may be a spike, so the mean starts at the target.
		state = &watched{smoothed: float64(min(reading.Slowdown, reading.Target)), spare: float64(reading.SpareSlots), seen: now, levels: make(map[run]int)}
		known.services[reading.Service] = state
		governor.adopt(known, state, reading, now)
	}
	present := make(map[run]Candidate, len(reading.Candidates))
	for _, candidate := range reading.Candidates {
		present[candidate.run()] = candidate
	}
	for task := range state.levels {
		if _, ok := present[task]; !ok {
			delete(state.levels, task)
		}
	}
	reading.Target += governor.spareMargin(state)
	governor.smooth(state, reading, now)
	var actions []Action
	switch {
	case state.leaving != (run{}):
		actions = governor.finishEviction(known, state, reading, present, now)
	case now.Sub(state.stepAt) < governor.settings.DwellMillis && state.stepAt != 0:
	case state.aboveAt != 0 && now.Sub(state.aboveAt) >= governor.settings.EnterMillis:
		actions = governor.tighten(known, state, reading, now)
	case state.belowAt != 0 && now.Sub(state.belowAt) >= governor.releaseTerm(state) && len(state.levels) > 0:
		governor.relax(state, reading, now)
	}
	return append(governor.apply(known, reading, present, now), actions...)
}

// adopt takes over the throttles that an earlier home of the worker asked for, so that a change of
// home does not release them all at once.
func (governor *Governor) adopt(known *governed, state *watched, reading Reading, now clock.Time) {
	for _, candidate := range reading.Candidates {
		if _, asked := known.applied[candidate.run()]; asked || candidate.Throttle <= 0 || candidate.Throttle >= 100 {
			continue
		}
		level := 0
		for level < len(governor.settings.ThrottlePercents) && (level == 0 || governor.settings.ThrottlePercents[level] >= candidate.Throttle) {
			level++
		}
		if level > 0 {
			state.levels[candidate.run()] = level
			known.applied[candidate.run()] = request{percent: candidate.Throttle, at: now}
		}
	}
}

// spareMargin is what the service tolerates beyond its target because its slots are mostly free.
func (governor *Governor) spareMargin(state *watched) int {
	if state.spare > 0 && state.spare >= float64(governor.settings.SpareSlots) {
		return governor.settings.SpareMargin
	}
	return 0
}

// smooth updates the smoothed slowdown and since when it is outside the band around the target.
func (governor *Governor) smooth(state *watched, reading Reading, now clock.Time) {
	elapsed := float64(max(now.Sub(state.seen), 0))
	share := 1 - math.Exp(-elapsed/float64(max(governor.settings.SmoothingMillis, 1)))
	state.smoothed += share * (float64(reading.Slowdown) - state.smoothed)
	state.spare += share * (float64(reading.SpareSlots) - state.spare)
	state.seen = now
	if state.aboveAt == 0 {
		state.deepAt = 0
	}
	state.aboveAt = since(state.aboveAt, state.smoothed > float64(reading.Target+governor.settings.EnterMargin), now)
	state.belowAt = since(state.belowAt, state.smoothed < float64(max(reading.Target-governor.settings.ExitMargin, 101)), now)
}

// tighten throttles the tasks that cause the excess by one more step, or starts an eviction once
// they are throttled as far as allowed.
func (governor *Governor) tighten(known *governed, state *watched, reading Reading, now clock.Time) []Action {
	ranked := governor.rank(reading)
	if len(ranked) == 0 {
		return nil
	}
	state.stepAt = now
	if state.relaxedAt != 0 && now.Sub(state.relaxedAt) < 2*governor.releaseTerm(state) {
		state.backoff = min(state.backoff+1, maxBackoff)
	} else {
		state.backoff = 0
	}
	state.relaxedAt = 0
	deepest := len(governor.settings.ThrottlePercents)
	excess := state.smoothed - float64(reading.Target)
	explained, moved := 0.0, false
	for _, candidate := range ranked {
		effect := governor.effect(reading, candidate)
		// Several steps at once need a prediction that they will help.
		most := state.levels[candidate.run()] + 1
		if effect >= governor.settings.LeastEffect {
			most = deepest
		}
		for level := state.levels[candidate.run()]; level < min(most, deepest) && explained < excess; level++ {
			state.levels[candidate.run()] = level + 1
			moved = true
			explained += effect * governor.step(level+1)
		}
	}
	if moved {
		state.deepAt = 0
		return nil
	}
	if state.deepAt == 0 {
		state.deepAt = now
	}
	// While slots are free routing bridges the slowdown, so that throttling suffices.
	if now.Sub(state.deepAt) < governor.settings.EvictAfterMillis || governor.spareMargin(state) > 0 {
		return nil
	}
	recent := known.evictions[:0]
	for _, at := range known.evictions {
		if now.Sub(at) < clock.Hour {
			recent = append(recent, at)
		}
	}
	known.evictions = recent
	if len(recent) >= governor.settings.MaxEvictions {
		return nil
	}
	chosen := ranked[0]
	if governor.effect(reading, chosen) < governor.settings.LeastEffect {
		return nil
	}
	state.leaving, state.leavingAt = chosen.run(), now
	return []Action{governor.action(Checkpoint, reading, state, chosen, 0)}
}

// finishEviction evicts the task whose checkpoint was asked for, unless the slowdown has gone or
// the task has ended meanwhile.
func (governor *Governor) finishEviction(known *governed, state *watched, reading Reading, present map[run]Candidate, now clock.Time) []Action {
	candidate, ok := present[state.leaving]
	switch {
	case !ok || (state.aboveAt == 0 && state.evictedAt == 0):
		state.leaving, state.evictedAt, state.stepAt = run{}, 0, now
		return nil
	case state.evictedAt != 0:
		if now.Sub(state.evictedAt) < governor.settings.RetryMillis {
			return nil
		}
	case now.Sub(state.leavingAt) < governor.settings.CheckpointMillis:
		return nil
	default:
		known.evictions = append(known.evictions, now)
	}
	state.evictedAt, state.stepAt = now, now
	return []Action{governor.action(Evict, reading, state, candidate, 0)}
}

// releaseTerm is how long the slowdown must stay below before the next release.
func (governor *Governor) releaseTerm(state *watched) clock.Millis {
	return governor.settings.ReleaseMillis << state.backoff
}

// relax takes chosen tasks back by one throttle step, the least harmful first, as long as the
// predicted slowdown stays below the target. At least one task is taken back.
func (governor *Governor) relax(state *watched, reading Reading, now clock.Time) {
	state.stepAt, state.relaxedAt = now, now
	// The next step needs a full term below the target again.
	state.belowAt = now
	var throttled []Candidate
	for _, candidate := range byTask(reading.Candidates) {
		if state.levels[candidate.run()] > 0 {
			throttled = append(throttled, candidate)
		}
	}
	slices.SortStableFunc(throttled, func(left, right Candidate) int {
		return cmp.Compare(governor.effect(reading, left), governor.effect(reading, right))
	})
	room := float64(reading.Target) - state.smoothed
	for index, candidate := range throttled {
		level := state.levels[candidate.run()]
		room -= governor.effect(reading, candidate) * governor.step(level)
		if index > 0 && room < 0 {
			return
		}
		if level == 1 {
			delete(state.levels, candidate.run())
			continue
		}
		state.levels[candidate.run()] = level - 1
	}
}

// step is the share of processor time that the throttle step up to level takes, from 0 to 1.
func (governor *Governor) step(level int) float64 {
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

// apply asks for the strictest throttle that any service on the worker wants for each task.
func (governor *Governor) apply(known *governed, reading Reading, present map[run]Candidate, now clock.Time) []Action {
	for task := range known.applied {
		if _, ok := present[task]; !ok {
			delete(known.applied, task)
		}
	}
	var actions []Action
	state := known.services[reading.Service]
	for _, candidate := range byTask(reading.Candidates) {
		want := 100
		for _, other := range known.services {
			level := min(other.levels[candidate.run()], len(governor.settings.ThrottlePercents))
			if level > 0 {
				want = min(want, governor.settings.ThrottlePercents[level-1])
			}
		}
		last, asked := known.applied[candidate.run()]
		if !asked {
			last.percent = 100
		}
		stale := candidate.Throttle != 0 && candidate.Throttle != want && now.Sub(last.at) >= governor.settings.RetryMillis
		if want == last.percent && !stale {
			if want == 100 && candidate.Throttle == 100 {
				delete(known.applied, candidate.run())
			}
			continue
		}
		known.applied[candidate.run()] = request{percent: want, at: now}
		actions = append(actions, governor.action(Throttle, reading, state, candidate, want))
	}
	return actions
}

// rank orders the candidates by effect per cost, best first; batch before standing work. Candidates
// with little effect are left out unless there are no others.
func (governor *Governor) rank(reading Reading) []Candidate {
	ranked := byTask(reading.Candidates)
	score := func(candidate Candidate) float64 {
		minutes := float64(candidate.UnsavedMillis) / float64(clock.Minute)
		return governor.effect(reading, candidate) / (1 + governor.settings.LostWorkWeight*minutes)
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
	harmful := slices.DeleteFunc(slices.Clone(ranked), func(candidate Candidate) bool {
		return governor.effect(reading, candidate) < governor.settings.LeastEffect
	})
	if len(harmful) > 0 {
		return harmful
	}
	return ranked
}

// effect is the predicted slowdown that a candidate causes, in points. Unknown classes count as one
// point, so that they are acted on after known causes.
func (governor *Governor) effect(reading Reading, candidate Candidate) float64 {
	predictor := governor.predictor
	if predictor == nil {
		return 1
	}
	if model, ok := predictor.(interface{ At(load int) Loaded }); ok {
		predictor = model.At(reading.Load)
	}
	return max(float64(predictor.Slowdown(reading.Class, []string{candidate.Class})-100), 1)
}

func (governor *Governor) action(kind ActionKind, reading Reading, state *watched, candidate Candidate, percent int) Action {
	return Action{
		Kind: kind, Worker: reading.Worker, Service: reading.Service,
		Task: candidate.Task, Epoch: candidate.Epoch, Percent: percent,
		Reason: fmt.Sprintf("slowdown %.0f%%, target %d%%", state.smoothed, reading.Target),
	}
}

// byTask returns the candidates in ascending order of task.
func byTask(candidates []Candidate) []Candidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(left, right Candidate) int {
		return cmp.Or(cmp.Compare(left.Task.Job, right.Task.Job), cmp.Compare(left.Task.Index, right.Task.Index))
	})
	return sorted
}

// Services returns the services watched on a worker, in ascending order.
func (governor *Governor) Services(worker ident.Worker) []ident.Service {
	known := governor.workers[worker]
	if known == nil {
		return nil
	}
	return set.SortedKeys(known.services)
}

// ForgetService drops the state of a service that left a worker, and returns the actions that end
// the throttles it alone caused.
func (governor *Governor) ForgetService(worker ident.Worker, service ident.Service, candidates []Candidate, now clock.Time) []Action {
	known := governor.workers[worker]
	if known == nil || known.services[service] == nil {
		return nil
	}
	known.services[service].levels = nil
	present := make(map[run]Candidate, len(candidates))
	for _, candidate := range candidates {
		present[candidate.run()] = candidate
	}
	actions := governor.apply(known, Reading{Worker: worker, Service: service, Candidates: candidates}, present, now)
	delete(known.services, service)
	return actions
}
