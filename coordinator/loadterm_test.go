package coordinator_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/coordinator"
	"hyssopjunction/election"
	"hyssopjunction/ident"
	"hyssopjunction/intake"
	"hyssopjunction/set"
	"hyssopjunction/store"
)

// slowStore takes a time to list the inbox.
type slowStore struct {
	*memoryStore
	delay time.Duration
	// onList is called in the middle of that time.
	onList func()
	once   sync.Once
}

func (slow *slowStore) List(ctx context.Context, table store.Table, from, to string) (store.Rows, error) {
	if table == intake.Table {
		time.Sleep(slow.delay / 2)
		slow.once.Do(slow.onList)
		select {
		case <-time.After(slow.delay / 2):
		case <-ctx.Done():
			return store.Rows{}, ctx.Err()
		}
	}
	return slow.memoryStore.List(ctx, table, from, to)
}

// startSlowly takes the lead of a deployment whose jobs take the time to load, and calls onList in the middle of it.
func startSlowly(t *testing.T, memory *memoryStore, delay time.Duration, onList func()) (*coordinator.Coordinator, error) {
	t.Helper()
	source := clock.NewSystem()
	candidate := election.NewCandidate("a", "a:1")
	if !candidate.Observe(readElection(t, memory), source.Now()) {
		t.Fatal("the first candidate may not take over")
	}
	sent := source.Now()
	tx, term, err := candidate.TakeOver(sent)
	if err != nil {
		t.Fatal(err)
	}
	version, err := memory.Commit(t.Context(), tx)
	if err != nil {
		t.Fatal(err)
	}
	return coordinator.Start(t.Context(), coordinator.Dependencies{
		Store: &slowStore{memoryStore: memory, delay: delay, onList: onList}, Clock: source, TimeOfDay: func() int64 { return time.Now().UnixMilli() },
		Retention: coordinator.DefaultRetention(), Out: func() (set.Set[ident.DataCentre], bool) { return set.New[ident.DataCentre](), true },
	}, coordinator.Leadership{Term: term, TermVersion: version, HeartbeatVersion: version, Sent: sent}, 6*clock.Second)
}

func readElection(t *testing.T, memory *memoryStore) election.Reading {
	t.Helper()
	rows, err := memory.List(t.Context(), election.Table(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	reading, err := election.Parse(rows.Rows)
	if err != nil {
		t.Fatal(err)
	}
	return reading
}

// TestTermIsRenewedWhileJobsAreLoaded guards against a deployment that no entry leads: the jobs take longer to load than a term
// lasts without a renewal, so entries take the term from each other, and each begins anew.
func TestTermIsRenewedWhileJobsAreLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const loadTime = 9 * time.Second
		memory, other, source := newMemoryStore(), election.NewCandidate("b", "b:1"), clock.NewSystem()
		stop := make(chan struct{})
		var watching sync.WaitGroup
		watching.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(election.PollInterval.Duration()):
				}
				if reading := readElection(t, memory); reading.TermVersion != 0 && other.Observe(reading, source.Now()) {
					t.Errorf("another entry may take over after the renewal %d", reading.Heartbeat.Count)
				}
			}
		})
		leader, err := startSlowly(t, memory, loadTime, func() {})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second) // The control loop goes on with the renewals.
		close(stop)
		watching.Wait()
		select {
		case <-leader.Lost():
			t.Error("the leader lost its term")
		default:
		}
		leader.Close()
	})
}

// TestLoadEndsWithTerm guards against a leader that goes on to load the jobs after another entry has taken over.
func TestLoadEndsWithTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newMemoryStore()
		_, err := startSlowly(t, memory, 20*time.Second, func() {
			value, err := json.Marshal(election.Heartbeat{Term: 2})
			if err != nil {
				t.Error(err)
			}
			ref := election.HeartbeatRef()
			if _, err := memory.Commit(t.Context(), store.Tx{Puts: []store.Put{{Ref: ref, Value: value}}}); err != nil {
				t.Error(err)
			}
		})
		if !store.IsErrConflict(err) {
			t.Errorf("got %v, want a conflict", err)
		}
	})
}
