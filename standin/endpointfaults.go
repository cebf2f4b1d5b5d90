package standin

import "hyssopjunction/clock"

// EndpointFaults are the faults of one endpoint. The zero value is a healthy endpoint. Rates are
// probabilities from 0 to 1 and are drawn once per request.
type EndpointFaults struct {
	// Silent makes the endpoint execute requests without ever answering.
	Silent bool
	// Refuse answers every request with status 503 without executing it.
	Refuse bool
	// SlowPercent scales service times; 0 and 100 leave them unchanged.
	SlowPercent int
	// LateRate and LateMillis delay the response after the execution.
	LateRate   float64
	LateMillis clock.Millis
	// CrossedRate answers with the response to the previous request.
	CrossedRate float64
	// TruncatedRate ends the connection in the middle of the body.
	TruncatedRate float64
	// DoubledRate sends the response twice on the connection.
	DoubledRate float64
	// ErrorRate answers with status 500 after the execution.
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
