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
	"Omaruru": interference.Omaruru(), "Modelwerf": interference.Modelwerf(),
}

// harmful predicts 30 points for each resident.
type harmful struct{}

func (harmful) Slowdown(_ string, residents []string) int { return 100 + 30*len(residents) }

// post drives a Governor on one worker with one service.
type post struct {
	governor *interference.Governor
	fake     *clock.Fake
	tasks    map[ident.Task]*interference.Candidate
	spare    int
}

func newPost(settings interference.GovernorSettings, tasks int) *post {
	post := &post{
		governor: interference.NewGovernor(settings, harmful{}),
		fake:     clock.NewFake(clock.Time(clock.Minute)),
		tasks:    make(map[ident.Task]*interference.Candidate),
	}
	for index := range tasks {
		name := ident.Task{Job: "job", Index: index}
		post.tasks[name] = &interference.Candidate{Task: name, Epoch: 1, Class: "batch", Throttle: 100}
	}
	return post
}

// step reads slowdown and carries the actions out.
func (post *post) step(slowdown int) []interference.Action {
	post.fake.Advance(clock.Second)
	reading := interference.Reading{Worker: "worker", Service: "checks", Class: "checks", Slowdown: slowdown, Target: 120, SpareSlots: post.spare}
	for _, candidate := range post.tasks {
		reading.Candidates = append(reading.Candidates, *candidate)
	}
	actions := post.governor.Step(reading, post.fake.Now())
	for _, action := range actions {
		switch action.Kind {
		case interference.Throttle:
			post.tasks[action.Task].Throttle = action.Percent
		case interference.Evict:
			delete(post.tasks, action.Task)
		}
	}
	return actions
}

// TestGovernorRules guards, for any course of slowdowns, against steps that follow each other faster
// than their effect can be seen, evictions without a checkpoint before, more evictions than
// allowed, shares outside the preset and actions on tasks that are not there.
func TestGovernorRules(t *testing.T) {
	for name, settings := range presets {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(check *rapid.T) {
				post := newPost(settings, rapid.IntRange(0, 5).Draw(check, "tasks"))
				saved := map[ident.Task]clock.Time{}
				var evictions []clock.Time
				var stepped clock.Time
				next := 100
				follow := func(check *rapid.T, slowdown int) {
					before := make(map[ident.Task]bool)
					for task := range post.tasks {
						before[task] = true
					}
					now := post.fake.Now().Add(clock.Second)
					throttled := false
					for _, action := range post.step(slowdown) {
						if !before[action.Task] || action.Epoch != 1 {
							check.Fatalf("action %+v on a task that is not there", action)
						}
						switch action.Kind {
						case interference.Throttle:
							throttled = true
							if action.Percent != 100 && !slices.Contains(settings.ThrottlePercents, action.Percent) {
								check.Fatalf("share %d is not in the preset", action.Percent)
							}
						case interference.Checkpoint:
							saved[action.Task] = now
						case interference.Evict:
							asked, ok := saved[action.Task]
							if !ok || now.Sub(asked) < settings.CheckpointMillis {
								check.Fatalf("%s evicted at %d, checkpoint asked for at %d", action.Task, now, asked)
							}
							evictions = append(evictions, now)
						}
					}
					if throttled {
						if stepped != 0 && now.Sub(stepped) < settings.DwellMillis {
							check.Fatalf("steps at %d and %d, dwell %s", stepped, now, settings.DwellMillis)
						}
						stepped = now
					}
					if last := len(evictions) - 1 - settings.MaxEvictions; last >= 0 && evictions[len(evictions)-1].Sub(evictions[last]) < clock.Hour {
						check.Fatalf("more than %d evictions within an hour", settings.MaxEvictions)
					}
				}
				check.Repeat(map[string]func(*rapid.T){
					"steady": func(check *rapid.T) {
						slowdown := rapid.IntRange(100, 400).Draw(check, "slowdown")
						for range rapid.IntRange(1, 300).Draw(check, "seconds") {
							follow(check, slowdown)
						}
					},
					"arrive": func(*rapid.T) {
						next++
						name := ident.Task{Job: "job", Index: next}
						post.tasks[name] = &interference.Candidate{Task: name, Epoch: 1, Class: "batch", Throttle: 100}
					},
					"finish": func(check *rapid.T) {
						for index := range 5 {
							delete(post.tasks, ident.Task{Job: "job", Index: index})
						}
					},
				})
			})
		})
	}
}

// TestNoFlapping guards against acting on noise: inside the band and on short spikes nothing is
// done, and at the edge of the band steps are bounded by the release term.
func TestNoFlapping(t *testing.T) {
	for name, settings := range presets {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			inside := newPost(settings, 4)
			for range 3600 {
				if actions := inside.step(120 - settings.ExitMargin + random.IntN(settings.EnterMargin+settings.ExitMargin+1)); len(actions) > 0 {
					t.Fatalf("acted inside the band: %+v", actions)
				}
			}
			spikes := newPost(settings, 4)
			for second := range 3600 {
				slowdown := 100
				if second%60 == 0 {
					slowdown = 180
				}
				if actions := spikes.step(slowdown); len(actions) > 0 {
					t.Fatalf("acted on a spike of one second: %+v", actions)
				}
			}
			edge := newPost(settings, 1)
			turns, last := 0, 0
			for range 3600 {
				// The one task explains the noise: throttling it brings the slowdown far below.
				slowdown := 105 + random.IntN(11)
				if edge.tasks[ident.Task{Job: "job"}] != nil && edge.tasks[ident.Task{Job: "job"}].Throttle > 60 {
					slowdown = 130 + random.IntN(31)
				}
				for _, action := range edge.step(slowdown) {
					if action.Kind == interference.Throttle {
						if (action.Percent == 100) != (last == 100) {
							turns++
						}
						last = action.Percent
					}
				}
			}
			// The release term doubles to eightfold, so that an hour holds at most the three short
			// cycles and those with the longest term, with two turns each.
			if most := 2 * (4 + int(clock.Hour/(8*settings.ReleaseMillis))); turns > most {
				t.Fatalf("%d turns in an hour, at most %d expected", turns, most)
			}
		})
	}
}

// TestGovernorEscalates guards against a harmful task staying for ever: it is throttled, then asked
// for a checkpoint, then evicted, in this order.
func TestGovernorEscalates(t *testing.T) {
	for name, settings := range presets {
		t.Run(name, func(t *testing.T) {
			post := newPost(settings, 1)
			var actions []interference.Action
			for range 3600 {
				actions = append(actions, post.step(200)...)
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
			if deepest := settings.ThrottlePercents[len(settings.ThrottlePercents)-1]; percent != deepest {
				t.Fatalf("evicted at a share of %d%%, although %d%% is allowed", percent, deepest)
			}
		})
	}
}

// TestGovernorTakesOver guards against a new home of a worker releasing all throttles at once, and
// against throttles that outlast the service they were for.
func TestGovernorTakesOver(t *testing.T) {
	settings := interference.Omaruru()
	post := newPost(settings, 2)
	name := ident.Task{Job: "job", Index: 1}
	post.tasks[name].Throttle = 50
	for range 30 {
		if actions := post.step(118); len(actions) > 0 {
			t.Fatalf("took over with %+v", actions)
		}
	}
	candidate := *post.tasks[name]
	actions := post.governor.ForgetService("worker", "checks", []interference.Candidate{candidate}, post.fake.Now())
	if len(actions) != 1 || actions[0].Task != name || actions[0].Percent != 100 {
		t.Fatalf("actions %+v after the service left", actions)
	}
}

// TestPresetsKeepTheirOrder guards against presets that do not put first what they are for: Omaruru
// the tail latency, Modelwerf few evictions and batch throughput.
func TestPresetsKeepTheirOrder(t *testing.T) {
	results := make(map[string]*world)
	for name, settings := range presets {
		results[name] = newWorld(11, &settings, true)
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

// TestSettings guards against shipping settings that Check refuses, and against presets that would
// throttle in no order or act without a band of hysteresis.
func TestSettings(t *testing.T) {
	if err := interference.Defaults().Check(); err != nil {
		t.Error(err)
	}
	for name, settings := range presets {
		if err := settings.Check(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		unordered, band := settings, settings
		unordered.ThrottlePercents = []int{50, 60}
		band.EnterMargin, band.ExitMargin = 0, 0
		for _, bad := range []interference.GovernorSettings{{}, unordered, band} {
			if err := bad.Check(); !interference.IsErrBadSettings(err) {
				t.Errorf("%s: settings %+v: error %v, want ErrBadSettings", name, bad, err)
			}
		}
	}
}

// TestStrictestServiceWins guards against one service's release undoing the throttle that another
// service on the same worker still needs.
func TestStrictestServiceWins(t *testing.T) {
	settings := interference.Omaruru()
	post := newPost(settings, 1)
	quiet := interference.Reading{Worker: "worker", Service: "sheets", Class: "sheets", Slowdown: 100, Target: 120}
	disturbed := false
	for range 600 {
		post.step(140)
		quiet.Candidates = nil
		for _, candidate := range post.tasks {
			quiet.Candidates = append(quiet.Candidates, *candidate)
		}
		for _, action := range post.governor.Step(quiet, post.fake.Now()) {
			t.Fatalf("the undisturbed service caused %+v", action)
		}
		for _, candidate := range post.tasks {
			disturbed = disturbed || candidate.Throttle < 100
		}
	}
	if !disturbed {
		t.Fatal("the disturbed service caused no throttle")
	}
}

// TestSpareSlots guards against throttling batch work beside an endpoint that does not suffer, and
// against not throttling it once the endpoint's slots fill.
func TestSpareSlots(t *testing.T) {
	for name, settings := range presets {
		t.Run(name, func(t *testing.T) {
			post := newPost(settings, 3)
			tolerated := 120 + settings.EnterMargin + settings.SpareMargin
			acts := func(slowdown, spare int) bool {
				post.spare = spare
				for range 60 {
					if len(post.step(slowdown)) > 0 {
						return true
					}
				}
				return false
			}
			if acts(tolerated, 100) {
				t.Errorf("the governor acts at a slowdown of %d%% while all slots are free", tolerated)
			}
			if !acts(tolerated, 0) {
				t.Errorf("the governor does not act at a slowdown of %d%% while no slot is free", tolerated)
			}
			post = newPost(settings, 3)
			if !acts(tolerated+10, 100) {
				t.Errorf("the governor tolerates a slowdown of %d%% because slots are free", tolerated+10)
			}
		})
	}
}

// TestSpareSlotsEvict guards against evictions beside an endpoint whose slots are free, where a
// throttle suffices, and against none once they fill.
func TestSpareSlotsEvict(t *testing.T) {
	for name, settings := range presets {
		t.Run(name, func(t *testing.T) {
			post := newPost(settings, 3)
			evicts := func(spare int) bool {
				post.spare = spare
				for range 20 * int(clock.Minute/clock.Second) {
					for _, action := range post.step(300) {
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
