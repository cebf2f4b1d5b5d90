package interference_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/interference"
)

var presets = map[string]interference.GovernorSettings{
	"Omaruru": interference.LatencyFirst(), "Modelwerf": interference.ThroughputFirst(),
}

// constantPredictor predicts a slowdown of 30 points by each resident.
type constantPredictor struct{}

func (constantPredictor) Slowdown(_ string, residents []string) int { return 100 + 30*len(residents) }

// governorFixture is a Governor for one worker with one service and several batch tasks.
type governorFixture struct {
	governor   *interference.Governor
	fakeClock  *clock.Fake
	tasks      map[ident.Task]*interference.Candidate
	spareSlots int
}

func newGovernorFixture(settings interference.GovernorSettings, tasks int) *governorFixture {
	fixture := &governorFixture{
		governor:  interference.NewGovernor(settings, constantPredictor{}),
		fakeClock: clock.NewFake(clock.Time(clock.Minute)),
		tasks:     make(map[ident.Task]*interference.Candidate),
	}
	for index := range tasks {
		name := ident.Task{Job: "job", Index: index}
		fixture.tasks[name] = &interference.Candidate{Task: name, Epoch: 1, Class: "batch", Throttle: 100}
	}
	return fixture
}

// step advances the clock by a second, passes the slowdown to the governor and carries out its actions.
func (fixture *governorFixture) step(slowdown int) []interference.Action {
	fixture.fakeClock.Advance(clock.Second)
	sample := interference.Sample{Worker: "worker", Service: "checks", Class: "checks", Slowdown: slowdown, Target: 120, SpareSlots: fixture.spareSlots}
	for _, candidate := range fixture.tasks {
		sample.Candidates = append(sample.Candidates, *candidate)
	}
	actions := fixture.governor.Step(sample, fixture.fakeClock.Now())
	for _, action := range actions {
		switch action.Kind {
		case interference.Throttle:
			fixture.tasks[action.Task].Throttle = action.Percent
		case interference.Evict:
			delete(fixture.tasks, action.Task)
		}
	}
	return actions
}

// TestGovernorInvariants guards, for random courses of the slowdown, against throttle steps in less than
// DwellMillis, evictions without a checkpoint, more evictions than allowed, shares that are not in the
// preset, and actions on tasks that do not exist.
func TestGovernorInvariants(t *testing.T) {
	for name, settings := range presets {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(check *rapid.T) {
				fixture := newGovernorFixture(settings, rapid.IntRange(0, 5).Draw(check, "tasks"))
				checkpoints := map[ident.Task]clock.Time{}
				var evictions []clock.Time
				var lastStepAt clock.Time
				lastTask := 100
				step := func(check *rapid.T, slowdown int) {
					running := make(map[ident.Task]bool)
					for task := range fixture.tasks {
						running[task] = true
					}
					now := fixture.fakeClock.Now().Add(clock.Second)
					throttled := false
					for _, action := range fixture.step(slowdown) {
						if !running[action.Task] || action.Epoch != 1 {
							check.Fatalf("action %+v on a task that does not exist", action)
						}
						switch action.Kind {
						case interference.Throttle:
							throttled = true
							if action.Percent != 100 && !slices.Contains(settings.ThrottlePercents, action.Percent) {
								check.Fatalf("share %d is not in the preset", action.Percent)
							}
						case interference.Checkpoint:
							checkpoints[action.Task] = now
						case interference.Evict:
							checkpointAt, ok := checkpoints[action.Task]
							if !ok || now.Sub(checkpointAt) < settings.CheckpointMillis {
								check.Fatalf("%s evicted at %d, checkpoint requested at %d", action.Task, now, checkpointAt)
							}
							evictions = append(evictions, now)
						}
					}
					if throttled {
						if lastStepAt != 0 && now.Sub(lastStepAt) < settings.DwellMillis {
							check.Fatalf("steps at %d and %d, dwell %s", lastStepAt, now, settings.DwellMillis)
						}
						lastStepAt = now
					}
					if last := len(evictions) - 1 - settings.MaxEvictions; last >= 0 && evictions[len(evictions)-1].Sub(evictions[last]) < clock.Hour {
						check.Fatalf("more than %d evictions within an hour", settings.MaxEvictions)
					}
				}
				check.Repeat(map[string]func(*rapid.T){
					"steady": func(check *rapid.T) {
						slowdown := rapid.IntRange(100, 400).Draw(check, "slowdown")
						for range rapid.IntRange(1, 300).Draw(check, "seconds") {
							step(check, slowdown)
						}
					},
					"arrive": func(*rapid.T) {
						lastTask++
						name := ident.Task{Job: "job", Index: lastTask}
						fixture.tasks[name] = &interference.Candidate{Task: name, Epoch: 1, Class: "batch", Throttle: 100}
					},
					"finish": func(check *rapid.T) {
						for index := range 5 {
							delete(fixture.tasks, ident.Task{Job: "job", Index: index})
						}
					},
				})
			})
		})
	}
}

// TestGovernorIgnoresNoise guards against actions on a slowdown inside the band or on short spikes, and
// against throttling and releasing in quick succession at the edge of the band.
func TestGovernorIgnoresNoise(t *testing.T) {
	for name, settings := range presets {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			inside := newGovernorFixture(settings, 4)
			for range 3600 {
				if actions := inside.step(120 - settings.ExitMargin + random.IntN(settings.EnterMargin+settings.ExitMargin+1)); len(actions) > 0 {
					t.Fatalf("acted inside the band: %+v", actions)
				}
			}
			spikes := newGovernorFixture(settings, 4)
			for second := range 3600 {
				slowdown := 100
				if second%60 == 0 {
					slowdown = 180
				}
				if actions := spikes.step(slowdown); len(actions) > 0 {
					t.Fatalf("acted on a spike of one second: %+v", actions)
				}
			}
			edge := newGovernorFixture(settings, 1)
			transitions, lastPercent := 0, 0
			for range 3600 {
				// The single task causes the slowdown: if it is throttled, the slowdown is far below the band.
				slowdown := 105 + random.IntN(11)
				if edge.tasks[ident.Task{Job: "job"}] != nil && edge.tasks[ident.Task{Job: "job"}].Throttle > 60 {
					slowdown = 130 + random.IntN(31)
				}
				for _, action := range edge.step(slowdown) {
					if action.Kind == interference.Throttle {
						if (action.Percent == 100) != (lastPercent == 100) {
							transitions++
						}
						lastPercent = action.Percent
					}
				}
			}
			// The release delay doubles three times, to eight times its length. So an hour contains at most
			// three shorter cycles and those with the longest delay, with two transitions each.
			if maxTransitions := 2 * (4 + int(clock.Hour/(8*settings.ReleaseMillis))); transitions > maxTransitions {
				t.Fatalf("%d transitions in an hour, at most %d expected", transitions, maxTransitions)
			}
		})
	}
}

// TestGovernorEscalates guards against a task that keeps slowing the service down: it must be throttled,
// then save a checkpoint and then be evicted, in this order.
func TestGovernorEscalates(t *testing.T) {
	for name, settings := range presets {
		t.Run(name, func(t *testing.T) {
			fixture := newGovernorFixture(settings, 1)
			var actions []interference.Action
			for range 3600 {
				actions = append(actions, fixture.step(200)...)
			}
			throttles := len(actions) - 2
			if throttles < 1 || actions[throttles].Kind != interference.Checkpoint || actions[throttles+1].Kind != interference.Evict {
				t.Fatalf("actions %+v, want throttles, a checkpoint and an eviction", actions)
			}
			percent := 100
			for _, action := range actions[:throttles] {
				if action.Kind != interference.Throttle || action.Percent >= percent {
					t.Fatalf("actions %+v, want ever stricter throttles first", actions)
				}
				percent = action.Percent
			}
			if strictest := settings.ThrottlePercents[len(settings.ThrottlePercents)-1]; percent != strictest {
				t.Fatalf("evicted at a share of %d%%, although %d%% is allowed", percent, strictest)
			}
		})
	}
}

// TestGovernorAdoptsThrottles guards against a new home entry of a worker that releases all throttles at
// once, and against throttles that remain after their service left the worker.
func TestGovernorAdoptsThrottles(t *testing.T) {
	settings := interference.LatencyFirst()
	fixture := newGovernorFixture(settings, 2)
	name := ident.Task{Job: "job", Index: 1}
	fixture.tasks[name].Throttle = 50
	for range 30 {
		if actions := fixture.step(118); len(actions) > 0 {
			t.Fatalf("the new home entry requests %+v", actions)
		}
	}
	candidate := *fixture.tasks[name]
	actions := fixture.governor.RemoveService("worker", "checks", []interference.Candidate{candidate}, fixture.fakeClock.Now())
	if len(actions) != 1 || actions[0].Task != name || actions[0].Percent != 100 {
		t.Fatalf("actions %+v after the service left", actions)
	}
}

// TestPresetsMeetTheirPriorities guards against an Omaruru preset with a higher tail latency than
// Modelwerf, and against a Modelwerf preset with more evictions or less batch throughput than Omaruru.
func TestPresetsMeetTheirPriorities(t *testing.T) {
	results := make(map[string]*simulation)
	for name, settings := range presets {
		results[name] = newSimulation(11, &settings, true)
		results[name].run(2 * clock.Hour)
	}
	omaruru, modelwerf := results["Omaruru"], results["Modelwerf"]
	if omaruru.p99() > modelwerf.p99() {
		t.Errorf("p99 slowdown %d with Omaruru, %d with Modelwerf", omaruru.p99(), modelwerf.p99())
	}
	if modelwerf.evictions > omaruru.evictions || modelwerf.finished < omaruru.finished {
		t.Errorf("Modelwerf evicts %d and finishes %d, Omaruru %d and %d",
			modelwerf.evictions, modelwerf.finished, omaruru.evictions, omaruru.finished)
	}
}

// TestSettings guards against default settings and presets that Check refuses, and against accepting
// settings that are empty, whose throttle steps don't fall or that have no hysteresis.
func TestSettings(t *testing.T) {
	if err := interference.Defaults().Check(); err != nil {
		t.Error(err)
	}
	for name, settings := range presets {
		if err := settings.Check(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		unordered, withoutBand := settings, settings
		unordered.ThrottlePercents = []int{50, 60}
		withoutBand.EnterMargin, withoutBand.ExitMargin = 0, 0
		for _, invalid := range []interference.GovernorSettings{{}, unordered, withoutBand} {
			if err := invalid.Check(); !interference.IsErrBadSettings(err) {
				t.Errorf("%s: settings %+v: error %v, want ErrBadSettings", name, invalid, err)
			}
		}
	}
}

// TestStrictestThrottleApplies guards against a service without a slowdown that releases the throttles
// which another service on the same worker requires.
func TestStrictestThrottleApplies(t *testing.T) {
	settings := interference.LatencyFirst()
	fixture := newGovernorFixture(settings, 1)
	sample := interference.Sample{Worker: "worker", Service: "sheets", Class: "sheets", Slowdown: 100, Target: 120}
	throttled := false
	for range 600 {
		fixture.step(140)
		sample.Candidates = nil
		for _, candidate := range fixture.tasks {
			sample.Candidates = append(sample.Candidates, *candidate)
		}
		for _, action := range fixture.governor.Step(sample, fixture.fakeClock.Now()) {
			t.Fatalf("the service without a slowdown caused %+v", action)
		}
		for _, candidate := range fixture.tasks {
			throttled = throttled || candidate.Throttle < 100
		}
	}
	if !throttled {
		t.Fatal("the service with a slowdown caused no throttle")
	}
}

// TestSpareSlotsRaiseTheTarget guards against throttling batch tasks because of a moderate slowdown of an
// endpoint with free slots, and against not throttling them once its slots are used.
func TestSpareSlotsRaiseTheTarget(t *testing.T) {
	for name, settings := range presets {
		t.Run(name, func(t *testing.T) {
			fixture := newGovernorFixture(settings, 3)
			slowdownLimit := 120 + settings.EnterMargin + settings.SpareMargin
			acts := func(slowdown, spareSlots int) bool {
				fixture.spareSlots = spareSlots
				for range 60 {
					if len(fixture.step(slowdown)) > 0 {
						return true
					}
				}
				return false
			}
			if acts(slowdownLimit, 100) {
				t.Errorf("the governor acts at a slowdown of %d%% while all slots are free", slowdownLimit)
			}
			if !acts(slowdownLimit, 0) {
				t.Errorf("the governor does not act at a slowdown of %d%% while no slot is free", slowdownLimit)
			}
			fixture = newGovernorFixture(settings, 3)
			if !acts(slowdownLimit+10, 100) {
				t.Errorf("the governor tolerates a slowdown of %d%% because slots are free", slowdownLimit+10)
			}
		})
	}
}

// TestSpareSlotsPreventEvictions guards against evictions beside an endpoint with free slots, where
// throttling is enough, and against a missing eviction once its slots are used.
func TestSpareSlotsPreventEvictions(t *testing.T) {
	for name, settings := range presets {
		t.Run(name, func(t *testing.T) {
			fixture := newGovernorFixture(settings, 3)
			evicts := func(spareSlots int) bool {
				fixture.spareSlots = spareSlots
				for range 20 * int(clock.Minute/clock.Second) {
					for _, action := range fixture.step(300) {
						if action.Kind == interference.Evict {
							return true
						}
					}
				}
				return false
			}
			if evicts(100) {
				t.Error("a task is evicted while all slots are free")
			}
			if !evicts(0) {
				t.Error("no task is evicted while no slot is free")
			}
		})
	}
}
