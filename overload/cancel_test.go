package overload

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// floodVariable is the environment variable with the seconds of a flood in a manual run, and floodSeconds those in CI.
	floodVariable = "HYSSOPJUNCTION_FLOOD_SECONDS"
	floodSeconds  = 5
	floodClients  = 30
	// maxTombstones is the number of rows that one entry may leave in the store.
	maxTombstones = 640
)

// floodTime returns how long clients flood the entry.
func floodTime(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv(floodVariable)
	if text == "" {
		return floodSeconds * time.Second
	}
	seconds, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %s", floodVariable, err)
	}
	return time.Duration(seconds) * time.Second
}

// answers counts the answers to the cancellations of a flood.
type answers struct {
	mu           sync.Mutex
	acknowledged []int
	refused      int
	others       map[int]int
}

func (answers *answers) record(number, status int) {
	answers.mu.Lock()
	defer answers.mu.Unlock()
	switch status {
	case http.StatusGone:
		answers.acknowledged = append(answers.acknowledged, number)
	case http.StatusServiceUnavailable:
		answers.refused++
	default:
		answers.others[status]++
	}
}

// TestCancellationsOfUnknownJobs guards against clients that fill the store, or keep others from using it, by cancelling what nobody
// submitted, and against an acknowledgement under this load that does not hold.
func TestCancellationsOfUnknownJobs(t *testing.T) {
	fixture := newPlatform(t)
	fixture.configure(t, 1, maxBodyBytes)
	entry := start(t, "entry", entryIP, fixture.address, limits{memoryMb: 100, descriptors: 1500})
	entry.assertServes(t)
	got, until := &answers{others: map[int]int{}}, time.Now().Add(floodTime(t))
	crowd := newCrowd(t, entry.callersAddress(), floodClients, func(_ net.Conn, client int) {
		for number := client << 24; time.Now().Before(until); number++ {
			got.record(number, call(entry.callersAddress(), http.MethodDelete, jobPath(number), ""))
		}
	})
	accepted, peak := 0, 0
	for ; time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		id := fmt.Sprintf("/quick/e%015x", accepted)
		if status := call(entry.callersAddress(), http.MethodPost, id, ordinaryJob()); status != http.StatusOK {
			t.Fatalf("got status %d for job %d beside the flood, want %d", status, accepted, http.StatusOK)
		}
		if status := call(entry.callersAddress(), http.MethodDelete, id, ""); status != http.StatusOK {
			t.Fatalf("got status %d for the cancellation of the accepted job %d, want %d", status, accepted, http.StatusOK)
		}
		accepted++
		peak = max(peak, fixture.store.RowCount("ended"))
	}
	crowd.await()
	t.Logf("%d cancellations acknowledged, %d not, %d ordinary jobs, at most %d rows", len(got.acknowledged), got.refused, accepted, peak)
	if len(got.others) != 0 || len(got.acknowledged) == 0 || got.refused == 0 {
		t.Errorf("got %d answers 410, %d answers 503 and others by status %v, want 410 and 503 only", len(got.acknowledged), got.refused, got.others)
	}
	if want := maxTombstones + accepted; peak > want {
		t.Errorf("got %d rows at the peak, want at most %d", peak, want)
	}
	for _, number := range got.acknowledged[len(got.acknowledged)-10:] {
		if status := call(entry.callersAddress(), http.MethodPost, jobPath(number), ordinaryJob()); status != http.StatusServiceUnavailable {
			t.Errorf("got status %d for the submission of a cancelled job, want %d", status, http.StatusServiceUnavailable)
		}
	}
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}
