package routing

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Explanation shows operators why an endpoint is or isn't chosen.
type Explanation struct {
	Endpoint   ident.Endpoint
	DataCentre ident.DataCentre
	// Usable is set if the endpoint can be chosen. If not, Reason is Leaving, Closed, Unhealthy or
	// Ejected.
	Usable bool
	Reason string
	// Cost is that of ScoredCandidate without the penalty for another data centre, in milliseconds.
	Cost float64
	// Load is the predicted number of requests at the endpoint; Outstanding of them are this entry's.
	Load        float64
	Outstanding int
	// Slots is the expected number of slots; it is reduced during ramp-up.
	Slots float64
	// ServiceMillis is the expected service time.
	ServiceMillis float64
	// EjectedMillis is the time until the ejection ends, 0 if the endpoint is not ejected.
	EjectedMillis clock.Millis
	// Failures counts consecutive failures.
	Failures int
}

// Explain returns an explanation for each candidate, in the order of the view.
func (view *View) Explain(now clock.Time) []Explanation {
	settings := view.router.settings
	explanations := make([]Explanation, 0, len(view.members))
	for index := range view.members {
		candidate := &view.members[index]
		explanation := Explanation{
			Endpoint: candidate.Endpoint, DataCentre: candidate.DataCentre,
			Cost:          candidate.cost(now, settings, view.medianMillis),
			Load:          candidate.load(now, settings),
			Outstanding:   int(candidate.state.outstanding.Load()),
			Slots:         candidate.slots(now, settings),
			ServiceMillis: candidate.service(view.medianMillis),
			EjectedMillis: max(0, clock.Time(candidate.state.ejectedUntil.Load()).Sub(now)),
			Failures:      int(candidate.state.failures.Load()),
		}
		switch {
		case candidate.Leaving || candidate.state.leavingSince.Load() > 0:
			explanation.Reason = "Leaving"
		case candidate.Closed:
			explanation.Reason = "Closed"
		case candidate.Unhealthy:
			explanation.Reason = "Unhealthy"
		case explanation.EjectedMillis > 0:
			explanation.Reason = "Ejected"
		default:
			explanation.Usable = true
		}
		explanations = append(explanations, explanation)
	}
	return explanations
}
