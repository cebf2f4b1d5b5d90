package routing_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/routing"
)

func settings() routing.Settings {
	settings := routing.Defaults()
	settings.DataCentre = "dc0"
	return settings
}

// newCandidates returns idle endpoints e0, e1, ..., spread over three data centres.
func newCandidates(count int) []routing.Candidate {
	candidates := make([]routing.Candidate, count)
	for index := range candidates {
		candidates[index] = routing.Candidate{
			Endpoint: ident.Endpoint(fmt.Sprint("e", index)), DataCentre: ident.DataCentre(fmt.Sprint("dc", index%3)),
			Report: routing.Report{At: 1, Slots: 8, Connections: 64, ServiceTime: 10, SlowdownPercent: 100},
		}
	}
	return candidates
}

func choose(t interface{ Fatal(...any) }, view *routing.View, now clock.Time) routing.Decision {
	decision, err := view.Choose(now, nil)
	if err != nil {
		t.Fatal(err)
	}
	return decision
}

// share returns the fraction of count decisions whose endpoint matches. Each decision is cancelled at
// once, so the load stays the same.
func share(t *testing.T, view *routing.View, now clock.Time, count int, match func(routing.Candidate) bool) float64 {
	t.Helper()
	hits := 0
	for range count {
		decision := choose(t, view, now)
		if match(decision.Candidate) {
			hits++
		}
		decision.Cancel()
	}
	return float64(hits) / float64(count)
}

// TestChooseSkipsUnusableEndpoints guards against choosing an endpoint that is leaving, unhealthy,
// closed, excluded or ejected, and against ejecting more than a third of a view, under random events
// and changing views.
func TestChooseSkipsUnusableEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		router := routing.New(settings())
		now := clock.Time(1000)
		candidates := newCandidates(rapid.IntRange(1, 9).Draw(t, "endpoints"))
		view := router.NewView(now, "s", candidates)
		var open []routing.Decision
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				excluded := []ident.Endpoint{rapid.SampledFrom(candidates).Draw(t, "excluded").Endpoint}
				decision, err := view.Choose(now, excluded)
				if err != nil {
					return
				}
				if decision.Endpoint == excluded[0] || decision.Leaving || decision.Unhealthy || decision.Closed {
					t.Fatalf("chose %+v, excluded %v", decision.Candidate, excluded)
				}
				if decision.Reason == routing.Ejected && view.Ejected(now) == 0 {
					t.Fatal("chosen as ejected, but none is")
				}
				if len(decision.Considered()) == 0 || decision.Reason == "" {
					t.Fatalf("decision without reason: %+v", decision)
				}
				open = append(open, decision)
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("none open")
				}
				decision := open[0]
				open = open[1:]
				decision.Done(now, routing.Result{
					Failed: rapid.IntRange(0, 3).Draw(t, "failed") > 0, Answered: true, Latency: 5,
				})
			},
			"advance": func(t *rapid.T) { now = now.Add(clock.Millis(rapid.IntRange(0, 3000).Draw(t, "millis"))) },
			"view": func(t *rapid.T) {
				for index := range candidates {
					candidates[index].Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
					candidates[index].Unhealthy = rapid.IntRange(0, 5).Draw(t, "unhealthy") == 0
				}
				view = router.NewView(now, "s", candidates[:rapid.IntRange(1, len(candidates)).Draw(t, "left")])
			},
			"": func(t *rapid.T) {
				if ejected := view.Ejected(now); 3*ejected > view.Len() {
					t.Fatalf("%d of %d ejected", ejected, view.Len())
				}
				for index, explanation := range view.Explain(now) {
					unusable := candidates[index].Leaving || candidates[index].Unhealthy || explanation.EjectedMillis > 0
					if explanation.Usable == unusable || (explanation.Reason == "") == unusable {
						t.Fatalf("%+v is explained as %+v", candidates[index], explanation)
					}
				}
			},
		})
	})
}

// TestDataCentrePreference guards against routing to other data centres while local endpoints are
// idle, and against queueing at local endpoints while those of other data centres have free slots.
func TestDataCentrePreference(t *testing.T) {
	view := routing.New(settings()).NewView(1, "s", newCandidates(9))
	local := func(candidate routing.Candidate) bool { return candidate.DataCentre == "dc0" }
	if got := share(t, view, 1, 300, local); got != 1 {
		t.Fatalf("idle: %.2f stay in the data centre", got)
	}
	// The three local endpoints have 24 slots.
	for range 60 {
		choose(t, view, 1)
	}
	if got := share(t, view, 1, 300, local); got > 0.9 {
		t.Fatalf("loaded: %.2f stay in the data centre", got)
	}
}

// TestColdEndpointRampsUp guards against sending a new endpoint its full share of requests before it
// has warmed up.
func TestColdEndpointRampsUp(t *testing.T) {
	candidates := newCandidates(6)
	for index := range candidates {
		candidates[index].DataCentre = "dc0"
	}
	candidates[0].Since = 1000
	view := routing.New(settings()).NewView(1000, "s", candidates)
	cold := func(candidate routing.Candidate) bool { return candidate.Endpoint == "e0" }
	for range 12 {
		choose(t, view, 1000)
	}
	if got := share(t, view, 1000, 600, cold); got > 0.05 {
		t.Fatalf("the cold endpoint gets %.2f of the requests", got)
	}
	if got := share(t, view, 1000+clock.Time(settings().RampUp), 600, cold); got < 0.1 {
		t.Fatalf("the warm endpoint gets %.2f of the requests", got)
	}
}

// TestSlowedEndpointLosesShare guards against sending a full share of requests to an endpoint that
// interference slows down.
func TestSlowedEndpointLosesShare(t *testing.T) {
	candidates := newCandidates(6)
	for index := range candidates {
		candidates[index].DataCentre = "dc0"
	}
	candidates[0].Report.SlowdownPercent = 300
	view := routing.New(settings()).NewView(1, "s", candidates)
	slow := func(candidate routing.Candidate) bool { return candidate.Endpoint == "e0" }
	if got := share(t, view, 1, 600, slow); got > 0.05 {
		t.Fatalf("the slowed endpoint gets %.2f of the requests", got)
	}
}

// TestNoisyMeanKeepsShare guards against an endpoint that gets no requests because its mean service
// time is high by chance and its slowdown is 1%. Without requests the mean would never be corrected.
func TestNoisyMeanKeepsShare(t *testing.T) {
	candidates := newCandidates(6)
	for index := range candidates {
		candidates[index].DataCentre = "dc0"
		candidates[index].Report.SlowdownPercent = 101
	}
	candidates[0].Report.ServiceTime = 13
	view := routing.New(settings()).NewView(1, "s", candidates)
	noisy := func(candidate routing.Candidate) bool { return candidate.Endpoint == "e0" }
	if got := share(t, view, 1, 600, noisy); got < 0.1 {
		t.Fatalf("the endpoint gets %.2f of the requests, an equal share is 0.17", got)
	}
}

// TestConcurrentUse guards against data races, and against outstanding requests that are still counted
// after their end, when goroutines choose endpoints while new views are built.
func TestConcurrentUse(t *testing.T) {
	router := routing.New(settings())
	view := router.NewView(1, "s", newCandidates(6))
	var traffic sync.WaitGroup
	for goroutine := range 8 {
		traffic.Go(func() {
			for index := range 500 {
				decision := choose(t, view, clock.Time(index))
				decision.Observe(routing.Report{At: clock.Time(index), Slots: 8, ServiceTime: 5})
				decision.Done(clock.Time(index), routing.Result{Failed: index%3 == 0, Answered: true, Latency: 3})
				if goroutine == 0 && index%50 == 0 {
					router.NewView(clock.Time(index), "s", newCandidates(6))
				}
			}
		})
	}
	traffic.Wait()
	decision := choose(t, view, 1_000_000)
	for _, candidate := range decision.Considered() {
		if candidate.Outstanding != 0 {
			t.Fatalf("%d requests outstanding at %s", candidate.Outstanding, candidate.Endpoint)
		}
	}
}

// Fixes the seed of the randomised tests. The flag -rapid.seed overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
