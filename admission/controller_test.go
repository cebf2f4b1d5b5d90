package admission_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
)

// Fixes the seed of the randomised tests. The flag -rapid.seed overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var smallSettings = admission.Settings{
	Slots: 3, Connections: 6, Queue: 5, QueueBytes: 20, PriorService: 10,
	AnswerRetention: 200, KeyedRetention: 500, RefusedRetention: 20_000, FencedRetention: 50_000, AnswerBytes: 64,
}

// controllerModel drives a controller with random events and checks its actions against the earlier
// ones.
type controllerModel struct {
	controller *admission.Controller
	now        clock.Time
	nextID     int
	arrivals   []admission.Arrival
	// running holds the start time of each running request, ran the number of runs of each request.
	running   map[ident.Request]clock.Time
	ran       map[ident.Request]int
	refusedAt map[ident.Request]clock.Time
	waiting   map[ident.Request]bool
	answers   map[ident.Request]string
	streams   int
	leaving   bool
}

func newControllerModel(settings admission.Settings) *controllerModel {
	return &controllerModel{
		controller: admission.New(settings), now: 1,
		running: map[ident.Request]clock.Time{}, ran: map[ident.Request]int{},
		refusedAt: map[ident.Request]clock.Time{}, waiting: map[ident.Request]bool{}, answers: map[ident.Request]string{},
	}
}

func (model *controllerModel) apply(t *rapid.T, actions []admission.Action) {
	for _, action := range actions {
		id := action.Request
		switch action.Kind {
		case admission.Run:
			if at, ok := model.refusedAt[id]; ok {
				t.Fatalf("%s runs after it was refused at %d", id, at)
			}
			if model.leaving {
				t.Fatalf("%s runs at a leaving endpoint", id)
			}
			model.ran[id]++
			model.running[id] = model.now
			delete(model.waiting, id)
		case admission.Refuse:
			if action.Outcome == outcome.NotRun && model.ran[id] > 0 {
				t.Fatalf("%s is refused as not run after it ran", id)
			}
			if action.Outcome == outcome.NotRun {
				model.refusedAt[id] = model.now
			}
			delete(model.waiting, id)
		case admission.Deliver:
			if body := string(action.Answer.Body); !action.Answer.BodyRemoved && body != model.answers[id] {
				t.Fatalf("%s is answered with %q, first answer was %q", id, body, model.answers[id])
			}
		case admission.Wait:
			if _, ok := model.running[id]; !ok {
				model.waiting[id] = true
			}
		}
	}
}

func (model *controllerModel) arrive(t *rapid.T) {
	arrival := admission.Arrival{
		Request:    ident.Request(fmt.Sprintf("r%d", model.nextID)),
		Team:       rapid.SampledFrom([]ident.Team{"a", "b", "c"}).Draw(t, "team"),
		Priority:   admission.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Patience:   clock.Millis(rapid.IntRange(-1, 120).Draw(t, "patience")),
		Bytes:      rapid.IntRange(0, 10).Draw(t, "bytes"),
	}
	model.nextID++
	model.arrivals = append(model.arrivals, arrival)
	model.apply(t, model.controller.Arrive(model.now, arrival))
}

// repeat sends a late copy of an earlier request.
func (model *controllerModel) repeat(t *rapid.T) {
	if len(model.arrivals) == 0 {
		t.Skip("nothing to repeat")
	}
	arrival := rapid.SampledFrom(model.arrivals).Draw(t, "copy")
	before := model.ran[arrival.Request]
	model.apply(t, model.controller.Arrive(model.now, arrival))
	if !arrival.Idempotent && before > 0 && model.ran[arrival.Request] > before {
		t.Fatalf("%s is not idempotent and ran again", arrival.Request)
	}
}

func (model *controllerModel) finish(t *rapid.T) {
	ids := make([]ident.Request, 0, len(model.running))
	for _, arrival := range model.arrivals {
		if _, ok := model.running[arrival.Request]; ok {
			ids = append(ids, arrival.Request)
		}
	}
	if len(ids) == 0 {
		t.Skip("nothing runs")
	}
	id := rapid.SampledFrom(ids).Draw(t, "finished")
	result := rapid.SampledFrom([]outcome.Outcome{outcome.Ran, outcome.Ran, outcome.Unknown, outcome.NotRun}).Draw(t, "outcome")
	answer := admission.Answer{Outcome: result, ServiceTime: model.now.Sub(model.running[id])}
	if result == outcome.Ran {
		answer.Body = fmt.Appendf(nil, "%s at %d", id, model.now)
	}
	delete(model.running, id)
	if result == outcome.NotRun {
		// The endpoint did not receive the request.
		model.ran[id]--
	}
	model.answers[id] = string(answer.Body)
	model.apply(t, model.controller.Finish(model.now, id, answer))
}

func (model *controllerModel) query(t *rapid.T) {
	if len(model.arrivals) == 0 {
		t.Skip("nothing to query")
	}
	id := rapid.SampledFrom(model.arrivals).Draw(t, "queried").Request
	status := model.controller.Query(model.now, id, rapid.Bool().Draw(t, "refuse if absent"))
	if status.State != admission.Denied {
		return
	}
	if _, ok := model.running[id]; ok {
		t.Fatalf("%s is denied while it runs", id)
	}
	if model.ran[id] > 0 {
		t.Fatalf("%s is denied after it ran", id)
	}
	model.refusedAt[id] = model.now
}

func (model *controllerModel) check(t *rapid.T) {
	load := model.controller.Load()
	if load.SlotsUsed > smallSettings.Slots || load.ConnectionsUsed > smallSettings.Connections || load.Queue > smallSettings.Queue {
		t.Fatalf("limits exceeded: %+v", load)
	}
	if load.SlotsUsed != len(model.running) || load.Queue != len(model.waiting) {
		t.Fatalf("load %+v, but %d run and %d wait", load, len(model.running), len(model.waiting))
	}
	if load.Queue > 0 && load.SlotsUsed < smallSettings.Slots && load.ConnectionsUsed < smallSettings.Connections {
		t.Fatalf("a slot idles while requests wait: %+v", load)
	}
	for id, at := range model.refusedAt {
		// After the retention a copy may run.
		if model.now.Sub(at) > smallSettings.RefusedRetention {
			delete(model.refusedAt, id)
		}
	}
}

// TestControllerKeepsLimitsAndRefusals guards against exceeded limits, requests that run after they
// were refused or finished, queued requests that are lost, and requests started at a leaving endpoint,
// under random sequences of events.
func TestControllerKeepsLimitsAndRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newControllerModel(smallSettings)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":  model.arrive,
			"arrive2": model.arrive,
			"arrive3": model.arrive,
			"repeat":  model.repeat,
			"finish":  model.finish,
			"query":   model.query,
			"cancel": func(t *rapid.T) {
				if len(model.arrivals) > 0 {
					id := rapid.SampledFrom(model.arrivals).Draw(t, "cancelled").Request
					model.apply(t, model.controller.Cancel(model.now, id))
				}
			},
			"advance": func(t *rapid.T) {
				model.now = model.now.Add(clock.Millis(rapid.IntRange(1, 60).Draw(t, "millis")))
				model.apply(t, model.controller.Tick(model.now))
			},
			"open stream": func(*rapid.T) {
				if model.controller.OpenStream() {
					model.streams++
				}
			},
			"close stream": func(t *rapid.T) {
				if model.streams == 0 {
					t.Skip("no stream")
				}
				model.streams--
				model.controller.CloseStream()
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "really leave") == 0 {
					model.apply(t, model.controller.Leave(model.now))
					model.leaving = true
				}
			},
			"": model.check,
		})
	})
}

func newArrival(id ident.Request, team ident.Team, priority admission.Priority, patience clock.Millis) admission.Arrival {
	return admission.Arrival{Request: id, Team: team, Priority: priority, Idempotent: true, Patience: patience}
}

// fillSlotsAndQueue occupies all slots with requests of the team and queues count more.
func fillSlotsAndQueue(controller *admission.Controller, count int, team ident.Team, priority admission.Priority) {
	for index := range smallSettings.Slots + count {
		controller.Arrive(1, newArrival(ident.Request(fmt.Sprintf("%s%d", team, index)), team, priority, 100))
	}
}

func assertAction(t *testing.T, actions []admission.Action, kind admission.Kind, id ident.Request, reason admission.Reason) {
	t.Helper()
	for _, action := range actions {
		if action.Kind == kind && action.Request == id && action.Reason == reason {
			return
		}
	}
	t.Fatalf("no action %d for %s with reason %q in %+v", kind, id, reason, actions)
}

// TestLateRequestIsRefusedOnArrival guards against queueing requests that can't meet their deadline,
// and against refusals without a retry-after.
func TestLateRequestIsRefusedOnArrival(t *testing.T) {
	controller := admission.New(smallSettings)
	fillSlotsAndQueue(controller, 3, "a", admission.Normal)
	actions := controller.Arrive(1, newArrival("late", "a", admission.Normal, 11))
	assertAction(t, actions, admission.Refuse, "late", admission.Patience)
	if retryAfter := actions[len(actions)-1].RetryAfter; retryAfter <= 0 {
		t.Fatalf("retry-after is %s", retryAfter)
	}
}

// TestLowPriorityIsShedFirst guards against refusing a request of high priority while the queue is full
// of low priority ones.
func TestLowPriorityIsShedFirst(t *testing.T) {
	controller := admission.New(smallSettings)
	fillSlotsAndQueue(controller, 5, "a", admission.Low)
	actions := controller.Arrive(1, newArrival("high", "a", admission.High, 100))
	assertAction(t, actions, admission.Refuse, "a7", admission.Shed)
	assertAction(t, actions, admission.Wait, "high", "")
	actions = controller.Arrive(1, newArrival("low", "a", admission.Low, 100))
	assertAction(t, actions, admission.Refuse, "low", admission.Overload)
}

// TestTeamsShareSlotsAndQueue guards against a team that occupies all slots and the whole queue, so
// that no request of another team runs.
func TestTeamsShareSlotsAndQueue(t *testing.T) {
	controller := admission.New(smallSettings)
	fillSlotsAndQueue(controller, 5, "a", admission.Normal)
	actions := controller.Arrive(1, newArrival("b0", "b", admission.Normal, 100))
	assertAction(t, actions, admission.Wait, "b0", "")
	actions = controller.Finish(2, "a0", admission.Answer{Outcome: outcome.Ran, ServiceTime: 1})
	assertAction(t, actions, admission.Run, "b0", "")
}

// TestRefusalRetention guards against ids of refused requests that are removed before their retention
// has passed, whenever the generations rotate, and against an id set that grows beyond its limit.
func TestRefusalRetention(t *testing.T) {
	settings := smallSettings
	settings.RefusedIDs = 2
	rapid.Check(t, func(t *rapid.T) {
		controller := admission.New(settings)
		now := clock.Time(rapid.IntRange(1, 100_000).Draw(t, "start"))
		fence := rapid.Bool().Draw(t, "fence")
		retention := settings.RefusedRetention
		if fence {
			retention = settings.FencedRetention
			controller.Query(now, "x", true)
		} else {
			controller.Arrive(now, admission.Arrival{Request: "x"})
		}
		last := now.Add(retention)
		for now.Before(last) {
			now = now.Add(clock.Millis(rapid.IntRange(1, int(retention)).Draw(t, "step")))
			controller.Tick(min(now, last))
		}
		actions := controller.Arrive(last.Add(-1), admission.Arrival{Request: "x", Patience: 100})
		if len(actions) != 1 || actions[0].Reason != admission.Refused {
			t.Fatalf("refused id: %+v", actions)
		}
		for _, id := range []ident.Request{"y1", "y2", "y3"} {
			actions = controller.Arrive(last, admission.Arrival{Request: id})
		}
		if actions[0].Outcome != outcome.Unknown {
			t.Fatalf("a refusal that is not remembered is reported as %s", actions[0].Outcome)
		}
	})
}

// TestLimiterBoundsRequests guards against more requests inside an entry than its limit, and against
// refusing requests of high priority below it.
func TestLimiterBoundsRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		limiter := admission.NewLimiter(limit, 5)
		inFlight := 0
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				priority := admission.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
				retryAfter, ok := limiter.Acquire(priority)
				switch {
				case ok:
					inFlight++
				case retryAfter != 5:
					t.Fatalf("retry-after is %s", retryAfter)
				case priority == admission.High && inFlight < limit:
					t.Fatalf("high priority refused at %d of %d", inFlight, limit)
				}
			},
			"release": func(t *rapid.T) {
				if inFlight == 0 {
					t.Skip("nothing held")
				}
				limiter.Release()
				inFlight--
			},
			"": func(t *rapid.T) {
				if inFlight > limit || limiter.InFlight() != inFlight {
					t.Fatalf("%d in flight, %d held, limit %d", limiter.InFlight(), inFlight, limit)
				}
			},
		})
	})
}
