package quarantine_test

import (
	"testing"

	"hyssopjunction/ident"
)

// TestJobLostWithWorkersIsParked guards against a job that takes down worker after worker without a pause, and against workers
// and other jobs that are blamed for it.
func TestJobLostWithWorkersIsParked(t *testing.T) {
	fixture := newFixture(10)
	for round := range 3 {
		now := fixture.fakeClock.Now()
		worker := fixture.fleet[round]
		fixture.tracker.Lost(ident.Task{Job: "crashing"}, worker, "lost", now)
		for neighbour := range 5 {
			fixture.tracker.Lost(ident.Task{Job: fixture.job(10*round + neighbour)}, worker, "lost", now)
		}
		if _, parked := fixture.tracker.Parked("crashing", now); parked != (round == 2) {
			t.Errorf("got parked %t after %d workers, want %t", parked, round+1, round == 2)
		}
	}
	for _, worker := range fixture.fleet {
		if !fixture.tracker.Usable(worker, fixture.fakeClock.Now()) {
			t.Errorf("worker %s is out of service, want it in service", worker)
		}
	}
	for neighbour := range 30 {
		if _, parked := fixture.tracker.Parked(fixture.job(neighbour), fixture.fakeClock.Now()); parked {
			t.Errorf("neighbour %d is parked, want it tried again", neighbour)
		}
	}
}
