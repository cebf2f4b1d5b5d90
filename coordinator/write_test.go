package coordinator

import (
	"encoding/base64"
	"fmt"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/pacing"
	"hyssopjunction/scheduler"
	"hyssopjunction/store"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// maxStoreTxEntries is the limit of the platform's store on the entries of a transaction.
const maxStoreTxEntries = 100

// TestRoundTransactionsFitStoreLimit guards against a transaction that the store refuses for its size, after
// which the leader stops for good. It occurs when many jobs change in a round that also renews the lease and
// removes states of archived jobs.
func TestRoundTransactionsFitStoreLimit(t *testing.T) {
	coordinator := &Coordinator{deps: Dependencies{Clock: clock.NewBoot()}, scheduler: scheduler.New(), stateVersions: map[workflow.ID]store.Version{}}
	var jobs []*workflow.Job
	for number := range 130 {
		jobs = append(jobs, workflow.New(workflow.Spec{
			ID: workflow.ID(fmt.Sprintf("%016x", number)), Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1}}},
		}))
		coordinator.archivedJobs = append(coordinator.archivedJobs, archivedJob{id: workflow.ID(fmt.Sprintf("old-%d", number)), version: 1})
	}
	txs, err := coordinator.prepareRound(jobs, true)
	if err != nil {
		t.Fatal(err)
	}
	stored := 0
	for number, tx := range txs {
		stored += len(tx.states)
		if got := len(tx.storeTx.Conditions) + len(tx.storeTx.Puts) + len(tx.storeTx.Removes); got > maxStoreTxEntries {
			t.Errorf("transaction %d has %d entries, want at most %d", number, got, maxStoreTxEntries)
		}
	}
	if stored != len(jobs) {
		t.Errorf("%d jobs stored, want %d", stored, len(jobs))
	}
	if len(txs[0].storeTx.Removes) == 0 {
		t.Error("no state of an archived job is removed")
	}
}

// unreachedStore is a store that has not answered yet, so that its clock is not known.
type unreachedStore struct{ store.Store }

func (unreachedStore) Partition(store.Ref) string { return "" }

func (unreachedStore) Now() clock.Time { return 0 }

// TestNoArchivingBeforeStoreClockIsKnown guards against an archived job that expires at once, so that its id
// is accepted for a second job. A leader that has reached the store only through other entries does not know
// the store's clock.
func TestNoArchivingBeforeStoreClockIsKnown(t *testing.T) {
	coordinator := &Coordinator{
		deps:      Dependencies{Clock: clock.NewBoot(), Store: unreachedStore{}, Retention: DefaultRetention()},
		scheduler: scheduler.New(), endedAt: map[workflow.ID]clock.Time{"0123456789abcdef": 0},
	}
	coordinator.archive(coordinator.deps.Clock.Now().Add(clock.Hour))
	if coordinator.archiving {
		t.Error("a job is archived, want none")
	}
}

// maxStoreRowBytes is the limit of the platform's store on the value of a row, after encoding in base64.
const maxStoreRowBytes = 65536

// TestLearnedWeightsFitOneRow guards against a row of learned weights that the store refuses: its transaction renews the
// leader's lease too, so the leader would lose its term every few seconds once many images were seen.
func TestLearnedWeightsFitOneRow(t *testing.T) {
	coordinator := &Coordinator{deps: Dependencies{Clock: clock.NewBoot()}, scheduler: scheduler.New()}
	var weights []pacing.LearnedWeight
	for serving := range 40 {
		for filling := range 100 {
			weights = append(weights, pacing.LearnedWeight{
				Serving: pacing.Image(fmt.Sprintf("serving-image-%d", serving)), Filling: pacing.Image(fmt.Sprintf("filling-image-%d", filling)), Weight: float64(filling%10) / 30,
			})
		}
	}
	coordinator.scheduler.LoadWeights(weights)
	tx, ok := coordinator.weightsTx(clock.Time(clock.Minute))
	if !ok {
		t.Fatal("no weights are stored")
	}
	if got := base64.StdEncoding.EncodedLen(len(tx.Puts[0].Value)); got > maxStoreRowBytes {
		t.Errorf("the row has %d bytes, want at most %d", got, maxStoreRowBytes)
	}
}
