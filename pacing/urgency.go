package pacing

// Urgency orders the filling runs of a worker by what depends on their end. The pace that the worker allows goes to the
// most urgent runs first.
type Urgency int

// Levels of urgency. A run whose level is not known is Normal.
const (
	// Background runs use only what the others leave.
	Background Urgency = iota - 1
	Normal
	// Elevated runs belong to a job with little slack, or take much longer than their siblings.
	Elevated
	// Critical runs decide whether their job meets its objective.
	Critical
)

// Valid reports whether the urgency is one of the levels.
func (urgency Urgency) Valid() bool { return urgency >= Background && urgency <= Critical }
