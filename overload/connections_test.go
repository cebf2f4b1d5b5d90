package overload

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestIdleConnections guards against clients that use up the descriptors with connections on which they sent one request.
func TestIdleConnections(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 700})
	newCrowd(t, entry.callersAddress(), 1500, func(conn net.Conn, number int) {
		if !write(conn, header(http.MethodGet, jobPath(number))+"\r\n") {
			return
		}
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_ = response.Body.Close()
		}
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestSilentConnections guards against clients that use up the descriptors with connections on which they send nothing.
func TestSilentConnections(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 700})
	newCrowd(t, entry.callersAddress(), 1500, func(net.Conn, int) {}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestConnectionsOfOtherListeners guards against clients that use up the descriptors at the addresses of metrics, readiness and
// workers.
func TestConnectionsOfOtherListeners(t *testing.T) {
	for name, port := range map[string]string{"metrics": ":9180", "readiness": ":8167", "workers": ":8166"} {
		t.Run(name, func(t *testing.T) {
			entry := newEntry(t, limits{memoryMb: 100, descriptors: 700})
			newCrowd(t, entry.ip+port, 1500, func(conn net.Conn, _ int) {
				_ = write(conn, "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
			}).await()
			entry.assertServes(t)
			if status := call(entry.ip+":8167", http.MethodGet, "/api/readyz", ""); status != http.StatusOK {
				t.Errorf("readiness: got status %d, want %d", status, http.StatusOK)
			}
			entry.assertWithinLimits(t)
		})
	}
}

// TestUnreadBodies guards against connections that stay open because a body that no handler reads never ends.
func TestUnreadBodies(t *testing.T) {
	cases := map[string]string{
		"state":         declared(http.MethodGet, jobPath(1), 100_000),
		"cancel":        declared(http.MethodDelete, jobPath(1), 100_000),
		"unknown queue": declared(http.MethodPost, "/none/0000000000000001", 100_000),
		"other method":  declared(http.MethodPatch, jobPath(1), 100_000),
		"chunks":        chunked(http.MethodGet, jobPath(1)) + "c350\r\n",
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			entry := newEntry(t, limits{memoryMb: 100, descriptors: 700})
			newCrowd(t, entry.callersAddress(), 1500, func(conn net.Conn, _ int) {
				_ = write(conn, begin+strings.Repeat("s", 50_000))
			}).await()
			entry.assertServes(t)
			entry.assertWithinLimits(t)
		})
	}
}

// TestUnreadBodiesBeforeConfiguration guards against connections that stay open because their requests came before the entry
// knew its configuration.
func TestUnreadBodiesBeforeConfiguration(t *testing.T) {
	fixture := newPlatform(t)
	entry := start(t, "entry", entryIP, fixture.address, limits{memoryMb: 100, descriptors: 700})
	for begun := time.Now(); call(entry.callersAddress(), http.MethodGet, jobPath(1), "") == 0 && time.Since(begun) < patience; {
		time.Sleep(50 * time.Millisecond)
	}
	newCrowd(t, entry.callersAddress(), 1500, func(conn net.Conn, number int) {
		_ = write(conn, declared(http.MethodPost, jobPath(number), 100_000)+strings.Repeat("s", 50_000))
	}).await()
	fixture.configure(t, 1, maxBodyBytes)
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestGrowingHeaders guards against clients whose headers grow without end and take all memory.
func TestGrowingHeaders(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
	field := "Field: " + strings.Repeat("s", 4000) + "\r\n"
	newCrowd(t, entry.callersAddress(), 600, func(conn net.Conn, number int) {
		if !write(conn, header(http.MethodGet, jobPath(number))) {
			return
		}
		for range 240 {
			if !write(conn, field) {
				return
			}
		}
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestManyFields guards against clients whose headers of legal size hold so many fields that they take all memory, while their
// bodies never end.
func TestManyFields(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
	var fields strings.Builder
	for number := range 2000 {
		fields.WriteString(strconv.FormatInt(int64(number), 36) + ":\r\n")
	}
	newCrowd(t, entry.callersAddress(), 600, func(conn net.Conn, number int) {
		text := declared(http.MethodPost, jobPath(number), 100)
		_ = write(conn, strings.Replace(text, "\r\n", "\r\n"+fields.String(), 1))
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestUnreadResponses guards against clients that send requests without pause and never read a response.
func TestUnreadResponses(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 700})
	requests := strings.Repeat(header(http.MethodGet, "/none/")+"\r\n", 64)
	newCrowd(t, entry.callersAddress(), 1500, func(conn net.Conn, _ int) {
		for begun := time.Now(); time.Since(begun) < 4*time.Second; {
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // Fails only on a closed connection.
			if !write(conn, requests) {
				return
			}
		}
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}

// TestHalfClosedConnections guards against clients that close their side in the middle of a body and use up the descriptors.
func TestHalfClosedConnections(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 700})
	newCrowd(t, entry.callersAddress(), 1500, func(conn net.Conn, number int) {
		if write(conn, declared(http.MethodPost, jobPath(number), maxBodyBytes)+strings.Repeat(" ", 200_000)) {
			_ = conn.(*net.TCPConn).CloseWrite() // The server may have closed it.
		}
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}
