// Package httpserver serves HTTP within limits of memory, whatever its clients send.
package httpserver

const (
	// bodiesPercent of the memory of a process may be used by the parts of bodies beyond the first chunk. A body costs up to
	// three times its length until it is answered: as it was received, decoded and encoded for the store.
	bodiesPercent = 8
	// defaultMemoryBytes applies to a process without a limit.
	defaultMemoryBytes = 1 << 30
	// minBodyBytes are available in a process of any size.
	minBodyBytes = 2 << 20
)

// Budget is what the clients of a process may use.
type Budget struct {
	// BodyBytes is the memory of bodies that are being read or handled.
	BodyBytes int64
}

// NewBudget divides the memory of a process, in bytes. If memory is 0, the budget is that of a process with 1 GiB.
func NewBudget(memory int64) Budget {
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	return Budget{BodyBytes: max(memory*bodiesPercent/100, minBodyBytes)}
}
