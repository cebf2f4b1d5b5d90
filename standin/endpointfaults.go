package standin

import "hyssopjunction/clock"

// EndpointFaults are the faults of an endpoint. The zero value is a healthy endpoint. Rates are
// probabilities from 0 to 1, drawn once per request.
type EndpointFaults struct {
	// Silent executes requests without answering.
	Silent bool
	// Refuse answers requests with status 503 without executing them.
	Refuse bool
	// SlowPercent scales service times; 0 and 100 leave them unchanged.
	SlowPercent int
	// LateRate is the probability that a response is delayed by LateMillis after the execution.
	LateRate   float64
	LateMillis clock.Millis
	// CrossedRate is the probability that the response to the previous request is sent instead.
	CrossedRate float64
	// TruncatedRate is the probability that the connection ends in the middle of the response body.
	TruncatedRate float64
	// DoubledRate is the probability that the response is sent twice on the connection.
	DoubledRate float64
	// ErrorRate is the probability that the response has status 500, after the execution.
	ErrorRate float64
}

// Valid returns ErrBadFault if a value is out of range.
func (faults EndpointFaults) Valid() error {
	if faults.SlowPercent < 0 || faults.LateMillis < 0 {
		return ErrBadFault{Reason: "SlowPercent and LateMillis must not be negative"}
	}
	for _, rate := range []float64{
		faults.LateRate, faults.CrossedRate, faults.TruncatedRate, faults.DoubledRate, faults.ErrorRate,
	} {
		if !isRate(rate) {
			return ErrBadFault{Reason: "rates must be from 0 to 1"}
		}
	}
	return nil
}
