package coordinator_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/intake"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// putEnded stores records of ended jobs under their ids.
func putEnded(t *testing.T, memory *memoryStore, records map[workflow.ID]intake.Ended) {
	t.Helper()
	for id, ended := range records {
		value, err := json.Marshal(ended)
		if err != nil {
			t.Fatal(err)
		}
		put := store.Put{Ref: store.Ref{Table: intake.EndedTable, Key: string(id)}, Value: value}
		if _, err := memory.Commit(t.Context(), store.Tx{Puts: []store.Put{put}}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLeaderRemovesTombstones guards against tombstones of an entry that has ended which stay for good or take memory of the leader, and
// against a leader that shows a job which was never stored.
func TestLeaderRemovesTombstones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const archived, cancelled workflow.ID = "0000000000000001", "0000000000000002"
		memory := newMemoryStore()
		putEnded(t, memory, map[workflow.ID]intake.Ended{
			archived:  {State: workflow.Completed, At: memory.Now()},
			cancelled: {State: workflow.Cancelled, At: memory.Now(), Tombstone: true},
		})
		leader, err := startSlowly(t, memory, 0, func() {})
		if err != nil {
			t.Fatal(err)
		}
		defer leader.Close()
		time.Sleep(time.Second)
		if state, ok := leader.State(cancelled); ok {
			t.Errorf("the leader shows a job that was never stored as %q", state)
		}
		time.Sleep((intake.TombstoneRetention + 5*clock.Minute).Duration())
		rows, err := memory.List(t.Context(), intake.EndedTable, "", "")
		if err != nil {
			t.Fatal(err)
		}
		if len(rows.Rows) != 1 || rows.Rows[0].Key != string(archived) {
			t.Errorf("got %+v, want the archived job alone", rows.Rows)
		}
		if state, ok := leader.State(archived); !ok || state != workflow.Completed {
			t.Errorf("got %q, %v for the archived job, want %q", state, ok, workflow.Completed)
		}
	})
}
