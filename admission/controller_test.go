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

// The seed is fixed; -rapid.seed overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var small = admission.Settings{
	Slots: 3, Connections: 6, Queue: 5, QueueBytes: 20, PriorService: 10,
	AnswerRetention: 200, KeyedRetention: 500, RefusedRetention: 20_000, FencedRetention: 50_000, AnswerBytes: 64,
}

// machine drives a controller with random events and checks its actions against a record of all
// earlier ones.
type machine struct {
	controller *admission.Controller
	now        clock.Time
	next       int
	seen       []admission.Arrival
	running    map[ident.Request]clock.Time
	ran        map[ident.Request]int
	refusedAt  map[ident.Request]clock.Time
	waiting    map[ident.Request]bool
	answers    map[ident.Request]string
	streams    int
	left       bool
}

func newMachine(settings admission.Settings) *machine {
	return &machine{
		controller: admission.New(settings), now: 1,
		running: map[ident.Request]clock.Time{}, ran: map[ident.Request]int{},
		refusedAt: map[ident.Request]clock.Time{}, waiting: map[ident.Request]bool{}, answers: map[ident.Request]string{},
	}
}

func (machine *machine) apply(t *rapid.T, actions []admission.Action) {
	for _, action := range actions {
		id := action.Request
		switch action.Kind {
		case admission.Run:
			if at, ok := machine.refusedAt[id]; ok {
				t.Fatalf("%s runs after it was refused at %d", id, at)
			}
			if machine.left {
				t.Fatalf("%s runs at a leaving endpoint", id)
			}
			machine.ran[id]++
			machine.running[id] = machine.now
			delete(machine.waiting, id)
		case admission.Refuse:
			if action.Outcome == outcome.NotRun && machine.ran[id] > 0 {
				t.Fatalf("%s is refused as not run after it ran", id)
			}
			if action.Outcome == outcome.NotRun {
				machine.refusedAt[id] = machine.now
			}
			delete(machine.waiting, id)
		case admission.Deliver:
			if body := string(action.Answer.Body); !action.Answer.Dropped && body != machine.answers[id] {
				t.Fatalf("%s is answered with %q, first answer was %q", id, body, machine.answers[id])
			}
		case admission.Wait:
			if _, ok := machine.running[id]; !ok {
				machine.waiting[id] = true
			}
		}
	}
}

func (machine *machine) arrive(t *rapid.T) {
	arrival := admission.Arrival{
		Request:    ident.Request(fmt.Sprintf("r%d", machine.next)),
		Team:       rapid.SampledFrom([]ident.Team{"a", "b", "c"}).Draw(t, "team"),
		Priority:   admission.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Patience:   clock.Millis(rapid.IntRange(-1, 120).Draw(t, "patience")),
		Bytes:      rapid.IntRange(0, 10).Draw(t, "bytes"),
	}
	machine.next++
	machine.seen = append(machine.seen, arrival)
	machine.apply(t, machine.controller.Arrive(machine.now, arrival))
}

// repeat sends a late copy of an earlier request.
func (machine *machine) repeat(t *rapid.T) {
	if len(machine.seen) == 0 {
		t.Skip("nothing to repeat")
	}
	arrival := rapid.SampledFrom(machine.seen).Draw(t, "copy")
	before := machine.ran[arrival.Request]
	machine.apply(t, machine.controller.Arrive(machine.now, arrival))
	if !arrival.Idempotent && before > 0 && machine.ran[arrival.Request] > before {
		t.Fatalf("%s is not idempotent and ran again", arrival.Request)
	}
}

func (machine *machine) finish(t *rapid.T) {
	ids := make([]ident.Request, 0, len(machine.running))
	for _, arrival := range machine.seen {
		if _, ok := machine.running[arrival.Request]; ok {
			ids = append(ids, arrival.Request)
		}
	}
	if len(ids) == 0 {
		t.Skip("nothing runs")
	}
	id := rapid.SampledFrom(ids).Draw(t, "finished")
	known := rapid.SampledFrom([]outcome.Outcome{outcome.Ran, outcome.Ran, outcome.Unknown, outcome.NotRun}).Draw(t, "outcome")
	answer := admission.Answer{Outcome: known, Service: machine.now.Sub(machine.running[id])}
	if known == outcome.Ran {
		answer.Body = fmt.Appendf(nil, "%s at %d", id, machine.now)
	}
	delete(machine.running, id)
	if known == outcome.NotRun {
		// The endpoint never received it.
		machine.ran[id]--
	}
	machine.answers[id] = string(answer.Body)
	machine.apply(t, machine.controller.Finish(machine.now, id, answer))
}

func (machine *machine) query(t *rapid.T) {
	if len(machine.seen) == 0 {
		t.Skip("nothing to query")
	}
	id := rapid.SampledFrom(machine.seen).Draw(t, "queried").Request
	status := machine.controller.Query(machine.now, id, rapid.Bool().Draw(t, "refuse if absent"))
	if status.State != admission.Denied {
		return
	}
	if _, ok := machine.running[id]; ok {
		t.Fatalf("%s is denied while it runs", id)
	}
	if machine.ran[id] > 0 {
		t.Fatalf("%s is denied after it ran", id)
	}
	machine.refusedAt[id] = machine.now
}

func (machine *machine) check(t *rapid.T) {
	load := machine.controller.Load()
	if load.SlotsUsed > small.Slots || load.ConnectionsUsed > small.Connections || load.Queue > small.Queue {
		t.Fatalf("limits exceeded: %+v", load)
	}
	if load.SlotsUsed != len(machine.running) || load.Queue != len(machine.waiting) {
		t.Fatalf("load %+v, but %d run and %d wait", load, len(machine.running), len(machine.waiting))
	}
	if load.Queue > 0 && load.SlotsUsed < small.Slots && load.ConnectionsUsed < small.Connections {
		t.Fatalf("a slot idles while requests wait: %+v", load)
	}
	for id, at := range machine.refusedAt {
		// Beyond the retention a copy is accepted again by design.
		if machine.now.Sub(at) > small.RefusedRetention {
			delete(machine.refusedAt, id)
		}
	}
}

// Guards against exceeded limits, refused or finished requests that run, lost waiters, and work
// started at a leaving endpoint, under any order of events.
func TestControllerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newMachine(small)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":  machine.arrive,
			"arrive2": machine.arrive,
			"arrive3": machine.arrive,
			"repeat":  machine.repeat,
			"finish":  machine.finish,
			"query":   machine.query,
			"cancel": func(t *rapid.T) {
				if len(machine.seen) > 0 {
					id := rapid.SampledFrom(machine.seen).Draw(t, "cancelled").Request
					machine.apply(t, machine.controller.Cancel(machine.now, id))
				}
			},
			"advance": func(t *rapid.T) {
				machine.now = machine.now.Add(clock.Millis(rapid.IntRange(1, 60).Draw(t, "millis")))
				machine.apply(t, machine.controller.Tick(machine.now))
			},
			"open stream": func(*rapid.T) {
				if machine.controller.OpenStream() {
					machine.streams++
				}
			},
			"close stream": func(t *rapid.T) {
				if machine.streams == 0 {
					t.Skip("no stream")
				}
				machine.streams--
				machine.controller.CloseStream()
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "really leave") == 0 {
					machine.apply(t, machine.controller.Leave(machine.now))
					machine.left = true
				}
			},
			"": machine.check,
		})
	})
}

func arrival(id ident.Request, team ident.Team, priority admission.Priority, patience clock.Millis) admission.Arrival {
	return admission.Arrival{Request: id, Team: team, Priority: priority, Idempotent: true, Patience: patience}
}

// fill occupies all slots and queues count requests of team.
func fill(controller *admission.Controller, count int, team ident.Team, priority admission.Priority) {
	for index := range small.Slots + count {
		controller.Arrive(1, arrival(ident.Request(fmt.Sprintf("%s%d", team, index)), team, priority, 100))
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

// Guards against requests that wait although their deadline cannot be met, and against refusals
// without a time to come back.
func TestEarlyRefusal(t *testing.T) {
	controller := admission.New(small)
	fill(controller, 3, "a", admission.Normal)
	actions := controller.Arrive(1, arrival("late", "a", admission.Normal, 11))
	assertAction(t, actions, admission.Refuse, "late", admission.Patience)
	if after := actions[len(actions)-1].RetryAfter; after <= 0 {
		t.Fatalf("retry-after is %s", after)
	}
}

// Guards against a high priority request that is refused while low priority ones keep their place.
func TestPriorityShedding(t *testing.T) {
	controller := admission.New(small)
	fill(controller, 5, "a", admission.Low)
	actions := controller.Arrive(1, arrival("high", "a", admission.High, 100))
	assertAction(t, actions, admission.Refuse, "a7", admission.Shed)
	assertAction(t, actions, admission.Wait, "high", "")
	actions = controller.Arrive(1, arrival("low", "a", admission.Low, 100))
	assertAction(t, actions, admission.Refuse, "low", admission.Overload)
}

// Guards against a team that fills the queue and the slots and thereby locks out another one.
func TestTeamFairness(t *testing.T) {
	controller := admission.New(small)
	fill(controller, 5, "a", admission.Normal)
	actions := controller.Arrive(1, arrival("b0", "b", admission.Normal, 100))
	assertAction(t, actions, admission.Wait, "b0", "")
	actions = controller.Finish(2, "a0", admission.Answer{Outcome: outcome.Ran, Service: 1})
	assertAction(t, actions, admission.Run, "b0", "")
}

// Guards against refusals that are forgotten before their retention has passed, however the
// generations of the memory rotate, and against a memory that grows without bound.
func TestRefusalRetention(t *testing.T) {
	settings := small
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

// Guards against an entry that takes more than its limit or refuses important work first.
func TestLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		limiter := admission.NewLimiter(limit, 5)
		held := 0
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				priority := admission.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
				after, ok := limiter.Acquire(priority)
				switch {
				case ok:
					held++
				case after != 5:
					t.Fatalf("retry-after is %s", after)
				case priority == admission.High && held < limit:
					t.Fatalf("high priority refused at %d of %d", held, limit)
				}
			},
			"release": func(t *rapid.T) {
				if held == 0 {
					t.Skip("nothing held")
				}
				limiter.Release()
				held--
			},
			"": func(t *rapid.T) {
				if held > limit || limiter.InFlight() != held {
					t.Fatalf("%d in flight, %d held, limit %d", limiter.InFlight(), held, limit)
				}
			},
		})
	})
}
