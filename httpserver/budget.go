// Package httpserver serves HTTP within limits of memory, connections and time, whatever its clients send.
package httpserver

import "golang.org/x/sys/unix"

// Parts of a process's memory and descriptors.
const (
	// connectionsPercent of the memory may be used by the connections of callers, and bodiesPercent by the parts of bodies
	// beyond the first chunk. A body costs up to three times its length until it is answered: as it was received, decoded
	// and encoded for the store.
	connectionsPercent = 30
	bodiesPercent      = 8
	// connectionBytes is the memory that a connection can cost without a part of the budget for bodies: buffers, header
	// and goroutines, those of a connection to the store included (48 KiB), bytes that were received and not read yet,
	// the first chunk of a body, and its decoded and encoded forms.
	connectionBytes = 48<<10 + receiveBufferBytes + 3*chunkBytes
	// fileDescriptors is the number of descriptors that are not for sockets.
	fileDescriptors = 200
	// callersShare is the divisor of the sockets that callers may have. Each request may need another one to the store; the
	// others are for sessions, probes and what the daemon itself asks of the store.
	callersShare = 3
	// defaultMemoryBytes applies to a process without a limit.
	defaultMemoryBytes = 1 << 30
	// minConnections and minBodyBytes are available in a process of any size.
	minConnections = 16
	minBodyBytes   = 2 << 20
)

// Budget is what the clients of a process may use.
type Budget struct {
	// Connections is the number of open connections of callers.
	Connections int
	// BodyBytes is the memory of bodies that are being read or handled.
	BodyBytes int64
}

// NewBudget divides the limits of a process: its memory in bytes and its descriptors. If memory is 0, the budget is that of a
// process with 1 GiB. The limit of the operating system applies if it is lower than descriptors, or if descriptors is 0.
func NewBudget(memory int64, descriptors int) Budget {
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	if limit := descriptorLimit(); descriptors <= 0 || descriptors > limit {
		descriptors = limit
	}
	connections := min(int(memory*connectionsPercent/100/connectionBytes), (descriptors-fileDescriptors)/callersShare)
	return Budget{Connections: max(connections, minConnections), BodyBytes: max(memory*bodiesPercent/100, minBodyBytes)}
}

// descriptorLimit returns the number of descriptors that the operating system allows the process.
func descriptorLimit() int {
	const limitUnknown = 1024
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return limitUnknown
	}
	return int(min(limit.Cur, 1<<20))
}
