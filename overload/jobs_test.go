package overload

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hyssopjunction/standin/platformtest"
)

// TestAcceptedJobs guards against a leader that takes all memory for the legal jobs that it accepts.
func TestAcceptedJobs(t *testing.T) {
	entry := newEntry(t, limits{memoryMb: 100, descriptors: 1500})
	var accepted atomic.Int64
	newCrowd(t, entry.callersAddress(), 30, func(_ net.Conn, client int) {
		for number := range 200 {
			body := `{"Spec":"text","Steps":[{"Count":1000,"Cpu":500,"MemoryLimitMb":100,"EstimatedMs":1000}]}`
			if call(entry.callersAddress(), http.MethodPost, jobPath(client*1000+number), body) == http.StatusOK {
				accepted.Add(1)
			}
		}
	}).await()
	t.Logf("%d jobs were accepted", accepted.Load())
	if accepted.Load() == 0 {
		t.Error("got no accepted job")
	}
	entry.assertAnswer(t, http.MethodGet, "")
	entry.assertWithinLimits(t)
}

// TestJobsBesideSilentStore guards against complete jobs of legal size that take all memory while they wait for a store that does
// not answer.
func TestJobsBesideSilentStore(t *testing.T) {
	fixture := newPlatform(t)
	fixture.configure(t, 1, maxBodyBytes)
	entry := start(t, "entry", entryIP, fixture.address, limits{memoryMb: 100, descriptors: 1500})
	entry.assertServes(t)
	fixture.store.SetFault(func(*http.Request) platformtest.Fault { return platformtest.Silent })
	body := `{"Spec":"text","Steps":[{"Count":1,"Cpu":500,"Requirements":"` + strings.Repeat("s", 45_000) + `"}]}`
	newCrowd(t, entry.callersAddress(), 600, func(conn net.Conn, number int) {
		_ = write(conn, declared(http.MethodPost, jobPath(number), len(body))+body)
	}).await()
	time.Sleep(time.Second) // The requests wait for the store.
	fixture.store.SetFault(nil)
	entry.assertServes(t)
	entry.assertWithinLimits(t)
}
