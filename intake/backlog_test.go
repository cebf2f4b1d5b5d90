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

// TestSubmitToFullLeader guards against a job that is refused although an earlier attempt has stored it, and against a refusal while
// that is not known.
func TestSubmitToFullLeader(t *testing.T) {
	spec := workflow.Spec{ID: "0123456789abcdef", Steps: []workflow.Step{{Count: 1}}}
	t.Run("not stored", func(t *testing.T) {
		fake := newFakeStore()
		err := New(fake, clock.NewSystem(), fullLeader{}).Submit(t.Context(), spec)
		var refused ErrNotAccepted
		if !errors.As(err, &refused) || refused.RetryAfter != 7*clock.Second {
			t.Errorf("got %v, want ErrNotAccepted with a retry after 7 s", err)
		}
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
	t.Run("not known", func(t *testing.T) {
		err := New(unreadableStore{newFakeStore()}, clock.NewSystem(), fullLeader{}).Submit(t.Context(), spec)
		if !IsErrUndecided(err) {
			t.Errorf("got %v, want ErrUndecided", err)
		}
	})
}

// TestRefusalsLeaveTheStoreToOthers guards against refused submissions whose look-ups use up what the store allows.
func TestRefusalsLeaveTheStoreToOthers(t *testing.T) {
	intake := New(newFakeStore(), clock.NewSystem(), noLeader{})
	for range maxLookUps {
		intake.lookUps <- struct{}{}
	}
	if err := intake.Refuse(t.Context(), "0123456789abcdef", "no memory", clock.Second); !IsErrUndecided(err) {
		t.Errorf("got %v, want ErrUndecided", err)
	}
	<-intake.lookUps
	if err := intake.Refuse(t.Context(), "0123456789abcdef", "no memory", clock.Second); !IsErrNotAccepted(err) {
		t.Errorf("got %v, want ErrNotAccepted", err)
	}
}
