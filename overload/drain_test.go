package overload

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestDrainWithCrowd guards against unfinished requests that keep a process from stopping within its grace of 6 s, or make it
// exceed its limits meanwhile.
func TestDrainWithCrowd(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 700})
	newCrowd(t, entry.callersAddress(), 600, func(conn net.Conn, number int) {
		switch number % 3 {
		case 0:
			_ = write(conn, declared(http.MethodPost, jobPath(number), maxBodyBytes)+strings.Repeat(" ", maxBodyBytes-1))
		case 1:
			_ = write(conn, header(http.MethodGet, jobPath(number)))
		default:
			_ = write(conn, declared(http.MethodGet, jobPath(number), 100_000))
		}
	}).await()
	entry.stop(t)
	entry.assertServes(t)
	select {
	case <-entry.ended:
	case <-time.After(6 * time.Second):
		t.Error("the process did not stop within its grace")
		return
	}
	if !entry.command.ProcessState.Success() {
		t.Errorf("the process ended with %s, want success", entry.command.ProcessState)
	}
	if peak := entry.peakUse(); peak.bytes > entry.limits.memoryMb<<20 || peak.descriptors > entry.limits.descriptors {
		t.Errorf("got %+v at the peak, want at most %+v", peak, entry.limits)
	}
}

// TestChangeOfLimits guards against a process that keeps to the limits of an earlier configuration, or exceeds its memory
// while the limit on bodies changes.
func TestChangeOfLimits(t *testing.T) {
	fixture := newPlatform(t)
	fixture.configure(t, 1, maxBodyBytes)
	entry := start(t, "entry", entryIP, fixture.address, limits{memoryMb: 100, descriptors: 1500})
	entry.assertServes(t)
	newCrowd(t, entry.callersAddress(), 600, func(conn net.Conn, number int) {
		if number == 300 {
			fixture.configure(t, 2, 4*maxBodyBytes)
		}
		_ = write(conn, declared(http.MethodPost, jobPath(number), maxBodyBytes)+strings.Repeat(" ", maxBodyBytes-1))
	}).await()
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}
