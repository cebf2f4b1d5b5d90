package intake

import (
	"context"
	"errors"
	"testing"

	"hyssopjunction/backlog"
	"hyssopjunction/clock"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// fullLeader is the Leader of an entry whose leader takes no more jobs.
type fullLeader struct{ noLeader }

func (fullLeader) Backlog() backlog.Refusal {
	return backlog.Refusal{Large: clock.Second, All: 7 * clock.Second}
}

// unreadableStore is a store whose rows cannot be read.
type unreadableStore struct{ *fakeStore }

func (unreadableStore) List(context.Context, store.Table, string, string) (store.Rows, error) {
	return store.Rows{}, store.ErrUnknown{Reason: "silent"}
}

// assertPostponed fails the test unless the submission may be repeated after 7 s.
func assertPostponed(t *testing.T, got error) {
	t.Helper()
	var undecided ErrUndecided
	if !errors.As(got, &undecided) || undecided.RetryAfter != 7*clock.Second {
		t.Errorf("got %v, want ErrUndecided with a retry after 7 s", got)
	}
}

// TestSubmitToFullLeader guards against a job that is refused although an earlier attempt has stored it or is on its way.
func TestSubmitToFullLeader(t *testing.T) {
	spec := workflow.Spec{ID: "0123456789abcdef", Steps: []workflow.Step{{Count: 1}}}
	t.Run("not stored", func(t *testing.T) {
		fake := newFakeStore()
		assertPostponed(t, New(fake, clock.NewSystem(), fullLeader{}).Submit(t.Context(), spec))
		if fake.commits != 0 {
			t.Errorf("got %d commits, want none", fake.commits)
		}
	})
	t.Run("stored before", func(t *testing.T) {
		fake := newFakeStore()
		if err := New(fake, clock.NewSystem(), noLeader{}).Submit(t.Context(), spec); err != nil {
			t.Fatal(err)
		}
		if err := New(fake, clock.NewSystem(), fullLeader{}).Submit(t.Context(), spec); err != nil {
			t.Errorf("got %v, want success", err)
		}
	})
	t.Run("an earlier attempt on its way", func(t *testing.T) {
		fake := newFakeStore()
		full := New(fake, clock.NewSystem(), fullLeader{})
		assertPostponed(t, full.Submit(t.Context(), spec))
		if err := New(fake, clock.NewSystem(), noLeader{}).Submit(t.Context(), spec); err != nil {
			t.Fatal(err)
		}
		if err := full.Submit(t.Context(), spec); err != nil {
			t.Errorf("got %v, want success", err)
		}
	})
	t.Run("not known", func(t *testing.T) {
		assertPostponed(t, New(unreadableStore{newFakeStore()}, clock.NewSystem(), fullLeader{}).Submit(t.Context(), spec))
	})
}

// TestRefusalsLeaveTheStoreToOthers guards against refused submissions whose look-ups use up what the store allows.
func TestRefusalsLeaveTheStoreToOthers(t *testing.T) {
	intake := New(newFakeStore(), clock.NewSystem(), noLeader{})
	for range maxLookUps {
		intake.lookUps <- struct{}{}
	}
	spec := workflow.Spec{ID: "0123456789abcdef", Steps: []workflow.Step{{Count: 1}}}
	if err := intake.Submit(t.Context(), spec); err != nil {
		t.Fatal(err)
	}
	assertPostponed(t, intake.Postpone(t.Context(), spec.ID, "no memory", 7*clock.Second))
	<-intake.lookUps
	if err := intake.Postpone(t.Context(), spec.ID, "no memory", 7*clock.Second); err != nil {
		t.Errorf("got %v for a job that is stored, want success", err)
	}
}
