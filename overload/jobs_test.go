package overload

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
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
