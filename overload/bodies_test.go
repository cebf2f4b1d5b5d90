package overload

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestLargeChunks guards against clients whose chunked bodies stop short of their end and take all memory.
func TestLargeChunks(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
	part := chunk(strings.Repeat(" ", 32_768))
	newCrowd(t, entry.callersAddress(), 600, func(conn net.Conn, number int) {
		if !write(conn, chunked(http.MethodPost, jobPath(number))) {
			return
		}
		for range maxBodyBytes/32_768 - 1 {
			if !write(conn, part) {
				return
			}
		}
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestTinyChunks guards against clients whose bodies come in chunks of a byte and take all memory.
func TestTinyChunks(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
	part := strings.Repeat(chunk(" "), 2048)
	newCrowd(t, entry.callersAddress(), 800, func(conn net.Conn, number int) {
		if !write(conn, chunked(http.MethodPost, jobPath(number))) {
			return
		}
		for range 64 {
			if !write(conn, part) {
				return
			}
		}
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestLargeBodies guards against clients whose bodies of legal size stop a byte short of their end and take all memory.
func TestLargeBodies(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
	body := paddedJob(maxBodyBytes)
	newCrowd(t, entry.callersAddress(), 600, func(conn net.Conn, number int) {
		_ = write(conn, declared(http.MethodPost, jobPath(number), maxBodyBytes)) && write(conn, body[:maxBodyBytes-1])
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestBodiesInPieces guards against clients that send large bodies piece by piece, stop a byte short of the end and take all
// memory.
func TestBodiesInPieces(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
	body := paddedJob(maxBodyBytes)
	newCrowd(t, entry.callersAddress(), 600, func(conn net.Conn, number int) {
		if !write(conn, declared(http.MethodPost, jobPath(number), maxBodyBytes)) {
			return
		}
		for begin := 0; begin < maxBodyBytes; begin += 16_384 {
			time.Sleep(50 * time.Millisecond)
			if !write(conn, body[begin:min(begin+16_384, maxBodyBytes-1)]) {
				return
			}
		}
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestWholeBodies guards against complete bodies of legal size that take all memory while they are handled.
func TestWholeBodies(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
	body := paddedJob(maxBodyBytes)
	newCrowd(t, entry.callersAddress(), 600, func(conn net.Conn, number int) {
		_ = write(conn, declared(http.MethodPost, jobPath(number), maxBodyBytes)+body)
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// expandingBodies returns bodies of legal size whose decoded form is much larger.
func expandingBodies() map[string]string {
	fill := func(begin, part, end string) string {
		return begin + strings.Repeat(part+",", (maxBodyBytes-len(begin)-len(part)-len(end))/(len(part)+1)) + part + end
	}
	steps := "[" + strings.Repeat("{},", 60) + "{}]"
	return map[string]string{
		"steps":        fill(`{"Steps":[`, `{}`, `]}`),
		"dependencies": fill(`{"Steps":[{"Count":1},{"Count":1,"After":[`, `0`, `]}]}`),
		"repetitions":  fill(`{`, `"Steps":`+steps, `}`),
		"nesting":      `{"Steps":` + strings.Repeat("[", maxBodyBytes-20),
	}
}

// TestExpandingBodies guards against bodies of legal size whose decoded form takes all memory.
func TestExpandingBodies(t *testing.T) {
	for name, body := range expandingBodies() {
		t.Run(name, func(t *testing.T) {
			entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
			newCrowd(t, entry.callersAddress(), 20, func(net.Conn, int) {
				for number := range 5 {
					call(entry.callersAddress(), http.MethodPost, jobPath(number), body)
				}
			}).await()
			entry.assertServes(t)
			entry.assertWithinLimits(t)
		})
	}
}

// TestExpandingBodiesOfJobAPI guards against bodies of the product's own API whose decoded form takes all memory.
func TestExpandingBodiesOfJobAPI(t *testing.T) {
	for name, body := range expandingBodies() {
		t.Run(name, func(t *testing.T) {
			entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
			newCrowd(t, entry.metricsAddress(), 50, func(net.Conn, int) {
				for range 5 {
					call(entry.metricsAddress(), http.MethodPut, "/v1/queues/route/jobs/0000000000000001", body)
				}
			}).await()
			entry.assertServes(t)
			entry.assertWithinLimits(t)
		})
	}
}

// TestLargeBodiesOfJobAPI guards against unfinished bodies of the product's own API that take all memory.
func TestLargeBodiesOfJobAPI(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
	body := `{"Payload":"` + strings.Repeat("s", maxBodyBytes)
	newCrowd(t, entry.metricsAddress(), 600, func(conn net.Conn, _ int) {
		_ = write(conn, declared(http.MethodPut, "/v1/queues/route/jobs/0000000000000001", maxBodyBytes)+body[:maxBodyBytes-1])
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestLargeAnnouncements guards against unfinished announcements that take all memory of an agent.
func TestLargeAnnouncements(t *testing.T) {
	agent := start(t, "agent", agentIP, newPlatform(t).address, limits{memoryMb: 100, descriptors: 1500})
	path := "/api/instances/i-1"
	agent.assertRegisters(t)
	newCrowd(t, agent.workersAddress(), 300, func(conn net.Conn, _ int) {
		_ = write(conn, declared(http.MethodPut, path, 1<<20)+`{"Service":"`+strings.Repeat("s", 1<<20-100))
	}).await()
	agent.assertRegisters(t)
	agent.assertWithinLimits(t)
}

// assertRegisters fails the test unless the agent accepts an announcement of a worker that repeats it.
func (process *process) assertRegisters(t *testing.T) {
	t.Helper()
	body := `{"Service":"desk","Address":"10.0.0.1:1","Zone":"zone-1","Version":"v1","Slots":8,"ColdRemainingMs":0,"ClockMs":5,"State":"ready",` +
		`"Capacity":{"Cpu":4000,"MemoryLimitMb":8000,"Gpu":0},"Labels":["a"],"Sequence":1,"born":1001}`
	status := 0
	for begun := time.Now(); time.Since(begun) < patience; time.Sleep(100 * time.Millisecond) {
		if status = call(process.workersAddress(), http.MethodPut, "/api/instances/i-1", body); status == http.StatusOK {
			return
		}
	}
	t.Errorf("announcement: got status %d at last, want %d", status, http.StatusOK)
}
