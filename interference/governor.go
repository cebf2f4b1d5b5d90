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

// ActionKind names what a Governor asks of a worker.
type ActionKind string

// Actions of a Governor.
const (
	// Throttle sets the share of processor time of a task; 100 ends the throttling.
	Throttle ActionKind = "Throttle"
	// Checkpoint saves a task's progress.
	Checkpoint ActionKind = "Checkpoint"
	// Evict stops a task so that it is placed elsewhere.
	Evict ActionKind = "Evict"
)

// Action is one request to a worker.
type Action struct {
	Kind    ActionKind
	Worker  ident.Worker
	Service ident.Service
	Task    ident.Task
	Epoch   ident.Epoch
	// Percent is the share of processor time, for Throttle only.
	Percent int
	Reason  string
}

// Candidate is a task that may be acted on. Urgent work is never a candidate.
type Candidate struct {
	Task  ident.Task
	Epoch ident.Epoch
	Class string
	// Standing tasks are evicted only when no batch task is left to act on.
	Standing bool
	// Throttle is the share the worker reports, in percent; 0 means not known.
	Throttle int
	// UnsavedMillis is the work done since the last checkpoint.
	UnsavedMillis clock.Millis
}

// Reading is what is known of one service on one worker. It must be given for every heartbeat, as
// the time spent above or below the target counts.
type Reading struct {
	Worker  ident.Worker
	Service ident.Service
	// Class of the service's work in the Model.
	Class string
	// Slowdown is measured, and Target what the service tolerates, in percent; 100 is undisturbed.
	Slowdown int
	Target   int
	// Residents are the classes of all other work on the worker.
	Residents  []string
	Candidates []Candidate
}

// Predictor tells which slowdown residents cause; Model and Loaded implement it.
type Predictor interface {
	Slowdown(class string, residents []string) int
}

// Governor keeps the state of throttling, checkpoints and evictions. It is used by one goroutine.
type Governor struct {
	settings  GovernorSettings
	predictor Predictor
	workers   map[ident.Worker]*governed
}

type governed struct {
	services  map[ident.Service]*watched
	applied   map[ident.Task]request
	evictions []clock.Time
}

// request is the last throttle asked for, to repeat it if the worker does not follow.
type request struct {
	percent int
	at      clock.Time
}

// watched is the state for one service target on one worker.
type watched struct {
	smoothed float64
	seen     clock.Time
	aboveAt  clock.Time
	belowAt  clock.Time
	stepAt   clock.Time
	// levels is the index of the next throttle step per chosen task.
	levels map[ident.Task]int
	// leaving is the task that was asked to checkpoint before its eviction.
	leaving   ident.Task
	leavingAt clock.Time
	evictedAt clock.Time
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
		known = &governed{services: make(map[ident.Service]*watched), applied: make(map[ident.Task]request)}
		governor.workers[reading.Worker] = known
	}
	state := known.services[reading.Service]
	if state == nil {
		state = &watched{smoothed: float64(reading.Slowdown), seen: now, levels: make(map[ident.Task]int)}
		known.services[reading.Service] = state
		governor.adopt(known, state, reading, now)
	}
	present := make(map[ident.Task]Candidate, len(reading.Candidates))
	for _, candidate := range reading.Candidates {
		present[candidate.Task] = candidate
	}
	for task := range state.levels {
		if _, ok := present[task]; !ok {
			delete(state.levels, task)
		}
	}
	governor.smooth(state, reading, now)
	var actions []Action
	switch {
	case state.leaving != (ident.Task{}):
		actions = governor.finishEviction(known, state, reading, present, now)
	case now.Sub(state.stepAt) < governor.settings.DwellMillis && state.stepAt != 0:
	case state.aboveAt != 0 && now.Sub(state.aboveAt) >= governor.settings.EnterMillis:
		actions = governor.tighten(known, state, reading, now)
	case state.belowAt != 0 && now.Sub(state.belowAt) >= governor.settings.ReleaseMillis && len(state.levels) > 0:
		governor.relax(state, now)
	}
	return append(governor.apply(known, reading, present, now), actions...)
}

// adopt takes over the throttles that an earlier home of the worker asked for, so that a change of
// home does not release them all at once.
func (governor *Governor) adopt(known *governed, state *watched, reading Reading, now clock.Time) {
	for _, candidate := range reading.Candidates {
		if _, asked := known.applied[candidate.Task]; asked || candidate.Throttle <= 0 || candidate.Throttle >= 100 {
			continue
		}
		level := 0
		for level < len(governor.settings.ThrottlePercents) && (level == 0 || governor.settings.ThrottlePercents[level] >= candidate.Throttle) {
			level++
		}
		if level > 0 {
			state.levels[candidate.Task] = level
			known.applied[candidate.Task] = request{percent: candidate.Throttle, at: now}
		}
	}
}

// smooth updates the smoothed slowdown and since when it is outside the band around the target.
func (governor *Governor) smooth(state *watched, reading Reading, now clock.Time) {
	elapsed := float64(max(now.Sub(state.seen), 0))
	share := 1 - math.Exp(-elapsed/float64(max(governor.settings.SmoothingMillis, 1)))
	state.smoothed += share * (float64(reading.Slowdown) - state.smoothed)
	state.seen = now
	state.aboveAt = since(state.aboveAt, state.smoothed > float64(reading.Target+governor.settings.EnterMargin), now)
	state.belowAt = since(state.belowAt, state.smoothed < float64(max(reading.Target-governor.settings.ExitMargin, 101)), now)
}

func since(start clock.Time, holds bool, now clock.Time) clock.Time {
	switch {
	case !holds:
		return 0
	case start == 0:
		return now
	default:
		return start
	}
}

// tighten throttles the tasks that cause the excess by one more step, or starts an eviction once
// they are throttled as far as allowed.
func (governor *Governor) tighten(known *governed, state *watched, reading Reading, now clock.Time) []Action {
	ranked := governor.rank(reading)
	if len(ranked) == 0 {
		return nil
	}
	state.stepAt = now
	deepest := len(governor.settings.ThrottlePercents)
	excess := state.smoothed - float64(reading.Target)
	explained, moved := 0.0, false
	for _, candidate := range ranked {
		if level := state.levels[candidate.Task]; level < deepest {
			state.levels[candidate.Task] = level + 1
			moved = true
			explained += governor.effect(reading, candidate)
			if explained >= excess {
				break
			}
		}
	}
	if moved {
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
	state.leaving, state.leavingAt = chosen.Task, now
	return []Action{governor.action(Checkpoint, reading, state, chosen, 0)}
}

// finishEviction evicts the task whose checkpoint was asked for, unless the slowdown has gone or
// the task has ended meanwhile.
func (governor *Governor) finishEviction(known *governed, state *watched, reading Reading, present map[ident.Task]Candidate, now clock.Time) []Action {
	candidate, ok := present[state.leaving]
	switch {
	case !ok || (state.aboveAt == 0 && state.evictedAt == 0):
		state.leaving, state.evictedAt, state.stepAt = ident.Task{}, 0, now
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

// relax takes every chosen task back by one throttle step.
func (governor *Governor) relax(state *watched, now clock.Time) {
	state.stepAt = now
	// The next step needs a full term below the target again.
	state.belowAt = now
	for task, level := range state.levels {
		if level <= 1 {
			delete(state.levels, task)
			continue
		}
		state.levels[task] = level - 1
	}
}

// apply asks for the strictest throttle that any service on the worker wants for each task.
func (governor *Governor) apply(known *governed, reading Reading, present map[ident.Task]Candidate, now clock.Time) []Action {
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
			if level := other.levels[candidate.Task]; level > 0 {
				level = min(level, len(governor.settings.ThrottlePercents))
				want = min(want, governor.settings.ThrottlePercents[level-1])
			}
		}
		last, asked := known.applied[candidate.Task]
		if !asked {
			last.percent = 100
		}
		stale := candidate.Throttle != 0 && candidate.Throttle != want && now.Sub(last.at) >= governor.settings.RetryMillis
		if want == last.percent && !stale {
			if want == 100 && candidate.Throttle == 100 {
				delete(known.applied, candidate.Task)
			}
			continue
		}
		known.applied[candidate.Task] = request{percent: want, at: now}
		actions = append(actions, governor.action(Throttle, reading, state, candidate, want))
	}
	return actions
}

// rank orders the candidates by effect per cost, best first; batch before standing work.
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
	return ranked
}

// effect is the predicted slowdown that a candidate causes, in points. Unknown classes count as one
// point, so that they are acted on after known causes.
func (governor *Governor) effect(reading Reading, candidate Candidate) float64 {
	if governor.predictor == nil {
		return 1
	}
	return max(float64(governor.predictor.Slowdown(reading.Class, []string{candidate.Class})-100), 1)
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
	present := make(map[ident.Task]Candidate, len(candidates))
	for _, candidate := range candidates {
		present[candidate.Task] = candidate
	}
	actions := governor.apply(known, Reading{Worker: worker, Service: service, Candidates: candidates}, present, now)
	delete(known.services, service)
	return actions
}
