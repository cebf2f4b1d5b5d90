package intake

import (
	"context"
	"sync"
	"testing"
	"time"

	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/store"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// fakeStore is a store whose first commits fail with commitErrors, one after the other.
type fakeStore struct {
	mu           sync.Mutex
	commitErrors []error
	commits      int
	rows         map[store.Ref]store.Row
	// now is the time of the store.
	now clock.Time
	// afterList, if set, is called once after the next read.
	afterList func()
}

func (fake *fakeStore) Commit(_ context.Context, tx store.Tx) (store.Version, error) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.commits++
	if len(fake.commitErrors) > 0 {
		err := fake.commitErrors[0]
		fake.commitErrors = fake.commitErrors[1:]
		return 0, err
	}
	for _, condition := range tx.Conditions {
		if row := fake.rows[condition.Ref]; row.Version != condition.Version {
			return 0, store.ErrConflict{Rows: fake.current(tx)}
		}
	}
	for _, put := range tx.Puts {
		fake.rows[put.Ref] = store.Row{Ref: put.Ref, Value: put.Value, Version: store.Version(fake.commits)}
	}
	for _, ref := range tx.Removes {
		delete(fake.rows, ref)
	}
	return store.Version(fake.commits), nil
}

// current returns the rows of the conditions of tx that exist.
func (fake *fakeStore) current(tx store.Tx) []store.Row {
	var rows []store.Row
	for _, condition := range tx.Conditions {
		if row, ok := fake.rows[condition.Ref]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// count returns the number of rows and of commits.
func (fake *fakeStore) count() (rows, commits int) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return len(fake.rows), fake.commits
}

func (fake *fakeStore) List(_ context.Context, table store.Table, from, _ string) (store.Rows, error) {
	fake.mu.Lock()
	row, ok := fake.rows[store.Ref{Table: table, Key: from}]
	after := fake.afterList
	fake.afterList = nil
	fake.mu.Unlock()
	if after != nil {
		after()
	}
	if !ok {
		return store.Rows{}, nil
	}
	return store.Rows{Rows: []store.Row{row}}, nil
}

func (fake *fakeStore) Changes(context.Context, store.Table, store.Version, clock.Millis) (store.Rows, error) {
	return store.Rows{}, nil
}

func (fake *fakeStore) Partition(store.Ref) string { return "" }

func (fake *fakeStore) Now() clock.Time { return fake.now }

// noLeader is the Leader of an entry that does not know a leader.
type noLeader struct{}

func (noLeader) State(context.Context, workflow.ID) (workflow.State, bool, error) {
	return "", false, session.ErrNotLeading{}
}

func (noLeader) Backlog() backlog.Refusal { return backlog.Refusal{} }

func (noLeader) Pending(context.Context, workflow.Queue) (int, error) {
	return 0, session.ErrNotLeading{}
}

func newFakeStore(commitErrors ...error) *fakeStore {
	return &fakeStore{commitErrors: commitErrors, rows: map[store.Ref]store.Row{}, now: clock.Time(10 * clock.Minute)}
}

func submit(t *testing.T, fake *fakeStore, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	spec := workflow.Spec{ID: "0123456789abcdef", Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1}}}}
	return New(fake, clock.NewSystem(), noLeader{}).Submit(ctx, spec)
}

// TestSubmitRetriesWhileOutcomeIsUnknown guards against the answer "not accepted" for a job that may be stored, also by an earlier
// submission than the one that the store refuses, and against giving up while the outcome is unknown: when the store reset its connections for 4 s, callers
// used up their retries within milliseconds. It also guards against the answer "not accepted" while the caller has time left:
// the store rejected a third of the entries for 9 s, and 134 jobs were refused at the first attempt.
func TestSubmitRetriesWhileOutcomeIsUnknown(t *testing.T) {
	unknown, unavailable := store.ErrUnknown{Reason: "reset"}, store.ErrUnavailable{Reason: "503"}
	cases := map[string]struct {
		fake    *fakeStore
		timeout time.Duration
		want    func(error) bool
	}{
		"stored at once":         {newFakeStore(), time.Second, func(err error) bool { return err == nil }},
		"refused, then stored":   {newFakeStore(unavailable, unavailable), time.Second, func(err error) bool { return err == nil }},
		"refused until the end":  {newFakeStore(repeatError(unavailable)...), 300 * time.Millisecond, IsErrUndecided},
		"unknown, then stored":   {newFakeStore(unknown, unknown), time.Second, func(err error) bool { return err == nil }},
		"unknown until the end":  {newFakeStore(repeatError(unknown)...), 300 * time.Millisecond, IsErrUndecided},
		"unknown, then refusing": {newFakeStore(append([]error{unknown}, repeatError(unavailable)...)...), 300 * time.Millisecond, IsErrUndecided},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if err := submit(t, test.fake, test.timeout); !test.want(err) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func repeatError(err error) []error {
	list := make([]error, 200)
	for position := range list {
		list[position] = err
	}
	return list
}

// TestStateOfStoredJobWithoutLeader guards against the status 410 for a job that is stored but that the leader
// has not read yet.
func TestStateOfStoredJobWithoutLeader(t *testing.T) {
	fake := newFakeStore()
	intake := New(fake, clock.NewSystem(), noLeader{})
	spec := workflow.Spec{ID: "0123456789abcdef", Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1}}}}
	if err := intake.Submit(t.Context(), spec); err != nil {
		t.Fatal(err)
	}
	if got, err := intake.State(t.Context(), spec.ID); err != nil || got != workflow.Queued {
		t.Errorf("got %q, %v; want %q", got, err, workflow.Queued)
	}
	if _, err := intake.State(t.Context(), "fedcba9876543210"); !IsErrNoJob(err) {
		t.Errorf("got %v, want ErrNoJob", err)
	}
}
