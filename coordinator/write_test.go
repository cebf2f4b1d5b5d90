package coordinator

import (
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/scheduler"
	"hyssopjunction/store"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// storeEntries is how many entries the platform's store takes in a transaction.
const storeEntries = 100

// Guards against a transaction that the store refuses for its size, which stops the leader for good: a
// burst of changed jobs in the round that also renews the lease and removes states of archived jobs. It
// was found by trouble-2 of bandentry-nam-grown.
func TestRoundsFitTheStore(t *testing.T) {
	leader := &Coordinator{need: Dependencies{Clock: clock.NewBoot()}, book: scheduler.New(), rows: map[workflow.ID]store.Version{}}
	var jobs []*workflow.Job
	for number := range 130 {
		jobs = append(jobs, workflow.New(workflow.Spec{
			ID: workflow.ID(fmt.Sprintf("%016x", number)), Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1}}},
		}))
		leader.dropped = append(leader.dropped, archived{id: workflow.ID(fmt.Sprintf("old-%d", number)), version: 1})
	}
	writes, err := leader.prepare(jobs, true)
	if err != nil {
		t.Fatal(err)
	}
	stored := 0
	for number, item := range writes {
		stored += len(item.states)
		if got := len(item.tx.Conditions) + len(item.tx.Puts) + len(item.tx.Removes); got > storeEntries {
			t.Errorf("transaction %d has %d entries, want at most %d", number, got, storeEntries)
		}
	}
	if stored != len(jobs) {
		t.Errorf("%d jobs stored, want %d", stored, len(jobs))
	}
	if len(writes[0].tx.Removes) == 0 {
		t.Error("no state of an archived job is removed")
	}
}

// mute is a store that was not heard of yet, so that its clock is not known.
type mute struct{ store.Store }

func (mute) Now() clock.Time { return 0 }

// Guards against the end of a job that is forgotten too early, so that its id names a second job: a leader
// that only ever reached the store by way of other entries does not know the store's clock.
func TestNothingIsArchivedWithoutTheStoresClock(t *testing.T) {
	leader := &Coordinator{
		need: Dependencies{Clock: clock.NewBoot(), Store: mute{}, Retention: DefaultRetention()},
		book: scheduler.New(), endedAt: map[workflow.ID]clock.Time{"0123456789abcdef": 0},
	}
	leader.archive(leader.need.Clock.Now().Add(clock.Hour))
	if leader.archiving {
		t.Error("a job is archived, want none")
	}
}
