package routing

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Explanation tells operators how a view judges one endpoint.
type Explanation struct {
	Endpoint   ident.Endpoint
	DataCentre ident.DataCentre
	// Usable endpoints are drawn; Reason names why others are not.
	Usable bool
	Reason string
	// Cost is as in Considered, without the penalty of another data centre.
	Cost float64
	// Load is the predicted number of requests, of which this entry knows Outstanding.
	Load        float64
	Outstanding int
	// Slots is the number of slots counted on, fewer while the endpoint ramps up.
	Slots float64
	// ServiceMillis is the expected service time.
	ServiceMillis float64
	// EjectedMillis is the time until the end of an ejection.
	EjectedMillis clock.Millis
	// Failures counts consecutive failures.
	Failures int
}

// Explain describes all candidates in the order of the view.
func (view *View) Explain(now clock.Time) []Explanation {
	settings := view.router.settings
	explanations := make([]Explanation, 0, len(view.members))
	for index := range view.members {
		candidate := &view.members[index]
		explanation := Explanation{
			Endpoint: candidate.Endpoint, DataCentre: candidate.DataCentre,
			Cost:          candidate.cost(now, settings, view.median),
			Load:          candidate.load(now, settings),
			Outstanding:   int(candidate.track.outstanding.Load()),
			Slots:         candidate.slots(now, settings),
			ServiceMillis: candidate.service(view.median),
			EjectedMillis: max(0, clock.Time(candidate.track.ejectedUntil.Load()).Sub(now)),
			Failures:      int(candidate.track.failures.Load()),
		}
		switch {
		case candidate.Leaving || candidate.track.leftAt.Load() > 0:
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
