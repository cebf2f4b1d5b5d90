package platformtest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestEndCountsUnlessLeaseLapsed guards against a check that takes an end for acknowledged although the runner's lease
// lapsed before, and against one that overlooks an acknowledgement in time.
func TestEndCountsUnlessLeaseLapsed(t *testing.T) {
	for name, test := range map[string]struct {
		pause time.Duration
		want  bool
	}{
		"within the lease": {500 * time.Millisecond, true},
		"after a lapse":    {2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &Log{}
				runner := NewRunner("i-1", 1, log, func(string) (time.Duration, bool) { return 100 * time.Millisecond, false })
				call := func(path, body string) {
					t.Helper()
					recorder := httptest.NewRecorder()
					runner.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
					if recorder.Code != http.StatusOK {
						t.Fatalf("%s answered %d", path, recorder.Code)
					}
				}
				call("/api/run-start", `{"Task":"0123456789abcdef.0.0.0","RunId":1,"DeadlineMs":1000}`)
				time.Sleep(test.pause)
				call("/api/hold", `{"DeadlineMs":9000}`)
				call("/api/hold", `{"LastSeen":1}`)
				run := log.Runs()[0]
				if run.Result != "done" || run.Acknowledged != test.want {
					t.Errorf("got result %s, acknowledged %v, want done and %v", run.Result, run.Acknowledged, test.want)
				}
			})
		})
	}
}

// TestSuspensionDoesNotCount guards against a stand-in whose leases end during a suspension of its machine, or whose log has
// the times of its own clock.
func TestSuspensionDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &Log{}
		runner := NewRunner("i-1", 1, log, func(string) (time.Duration, bool) { return 0, false })
		begun := time.Now()
		recorder := httptest.NewRecorder()
		runner.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/api/run-start", strings.NewReader(`{"Task":"0123456789abcdef.0.0.0","RunId":1,"DeadlineMs":1000}`)))
		time.Sleep(500 * time.Millisecond)
		runner.Suspend()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			runner.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/api/hold", strings.NewReader(`{}`)))
		}()
		time.Sleep(3 * time.Second)
		runner.Advance()
		select {
		case <-answered:
			t.Error("a call was answered during the suspension")
		default:
		}
		if ended := log.Runs()[0].Ended; !ended.IsZero() {
			t.Errorf("the run ended after %s, during the suspension", ended.Sub(begun))
		}
		runner.Resume()
		time.Sleep(600 * time.Millisecond)
		runner.Advance()
		if got, want := log.Runs()[0].Ended.Sub(begun), 4*time.Second; got != want {
			t.Errorf("the run lapsed after %s, want %s", got, want)
		}
	})
}
