package intake

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/store"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

const cancelledID workflow.ID = "0123456789abcdef"

// newCancelTest returns an Intake on a store without rows.
func newCancelTest(t *testing.T) (*Intake, *fakeStore) {
	t.Helper()
	fake := newFakeStore()
	intake := New(fake, clock.NewSystem(), noLeader{})
	t.Cleanup(intake.Close)
	return intake, fake
}

func cancelledSpec() workflow.Spec {
	return workflow.Spec{ID: cancelledID, Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1}}}}
}

func assertCancelled(t *testing.T, got error) {
	t.Helper()
	var cancelled ErrCancelled
	if !errors.As(got, &cancelled) || cancelled.RetryAfter <= 0 || cancelled.RetryAfter > TombstoneRetention {
		t.Errorf("got %v, want ErrCancelled with a time within the retention", got)
	}
}

func assertNoJob(t *testing.T, got error) {
	t.Helper()
	if !IsErrNoJob(got) {
		t.Errorf("got %v, want ErrNoJob", got)
	}
}

// submitted submits the job.
func submitted(t *testing.T, intake *Intake) {
	t.Helper()
	if err := intake.Submit(t.Context(), cancelledSpec()); err != nil {
		t.Fatal(err)
	}
}

// TestCancelledJobIsNotStored guards against a job that is stored and runs after the answer that there is no such job.
func TestCancelledJobIsNotStored(t *testing.T) {
	t.Run("submission after the cancellation", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		assertNoJob(t, intake.Cancel(t.Context(), cancelledID))
		assertCancelled(t, intake.Submit(t.Context(), cancelledSpec()))
		_, err := intake.State(t.Context(), cancelledID)
		assertNoJob(t, err)
		_, err = intake.Job(t.Context(), cancelledID)
		assertNoJob(t, err)
		if _, ok := fake.rows[ref(Submission, cancelledID)]; ok {
			t.Error("the submission is stored")
		}
	})
	t.Run("cancelled again", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		assertNoJob(t, intake.Cancel(t.Context(), cancelledID))
		_, before := fake.count()
		assertNoJob(t, intake.Cancel(t.Context(), cancelledID))
		if _, after := fake.count(); after != before {
			t.Errorf("%d commits, want %d: the first tombstone suffices", after, before)
		}
	})
	t.Run("stored during the cancellation", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		fake.afterList = func() {
			if err := intake.Submit(t.Context(), cancelledSpec()); err != nil {
				t.Error(err)
			}
		}
		if err := intake.Cancel(t.Context(), cancelledID); err != nil {
			t.Errorf("got %v, want the job to be cancelled", err)
		}
		if _, ok := fake.rows[ref(Cancellation, cancelledID)]; !ok {
			t.Error("the cancellation is not stored")
		}
	})
	t.Run("archived", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		fake.rows[endedRef(cancelledID)] = store.Row{Ref: endedRef(cancelledID), Value: []byte(`{"State":"completed","At":1}`), Version: 7}
		if err := intake.Cancel(t.Context(), cancelledID); err != nil {
			t.Errorf("got %v, want success", err)
		}
		if err := intake.Submit(t.Context(), cancelledSpec()); err != nil {
			t.Errorf("got %v for a repetition of an archived job, want success", err)
		}
		if state, err := intake.State(t.Context(), cancelledID); err != nil || state != workflow.Completed {
			t.Errorf("got %q, %v, want %q", state, err, workflow.Completed)
		}
	})
	t.Run("no id of a job", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		assertNoJob(t, intake.Cancel(t.Context(), "no-such-id"))
		if rows, commits := fake.count(); rows != 0 || commits != 0 {
			t.Errorf("%d rows and %d commits, want none", rows, commits)
		}
	})
	t.Run("time of the store not known", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		assertNoJob(t, intake.Cancel(t.Context(), cancelledID))
		fake.now = 0
		assertCancelled(t, intake.Submit(t.Context(), cancelledSpec()))
		if err := intake.Cancel(t.Context(), cancelledID); !IsErrNoAnswer(err) {
			t.Errorf("got %v, want ErrNoAnswer: the tombstone may be about to be removed", err)
		}
	})
	t.Run("outcome of the write not known", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		fake.commitErrors = []error{store.ErrRejected{Reason: "400"}}
		if err := intake.Cancel(t.Context(), cancelledID); !IsErrUndecided(err) {
			t.Errorf("got %v, want ErrUndecided", err)
		}
	})
}

// TestCancellationOfReplacedJob guards against the acknowledgement of a cancellation that has no effect, because the job was archived
// during the call and its id was used again. An entry that stands still for long may be that late.
func TestCancellationOfReplacedJob(t *testing.T) {
	t.Run("archived", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		submitted(t, intake)
		fake.afterList = func() {
			delete(fake.rows, ref(Submission, cancelledID))
			fake.rows[endedRef(cancelledID)] = store.Row{Ref: endedRef(cancelledID), Value: []byte(`{"State":"completed","At":1}`), Version: 7}
		}
		if err := intake.Cancel(t.Context(), cancelledID); err != nil {
			t.Errorf("got %v, want success", err)
		}
	})
	t.Run("archived and submitted again", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		submitted(t, intake)
		fake.afterList = func() {
			row := fake.rows[ref(Submission, cancelledID)]
			row.Version += 100
			fake.rows[ref(Submission, cancelledID)] = row
		}
		if err := intake.Cancel(t.Context(), cancelledID); err != nil {
			t.Errorf("got %v, want success", err)
		}
		if _, ok := fake.rows[ref(Cancellation, cancelledID)]; !ok {
			t.Error("the cancellation was acknowledged and is not stored")
		}
	})
	t.Run("archived, and its end removed", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		submitted(t, intake)
		fake.afterList = func() { delete(fake.rows, ref(Submission, cancelledID)) }
		assertNoJob(t, intake.Cancel(t.Context(), cancelledID))
		assertCancelled(t, intake.Submit(t.Context(), cancelledSpec()))
	})
	t.Run("cancelled by another call", func(t *testing.T) {
		intake, fake := newCancelTest(t)
		submitted(t, intake)
		fake.afterList = func() {
			fake.rows[ref(Cancellation, cancelledID)] = store.Row{Ref: ref(Cancellation, cancelledID), Value: []byte("{}"), Version: 9}
		}
		if err := intake.Cancel(t.Context(), cancelledID); err != nil {
			t.Errorf("got %v, want success", err)
		}
	})
}

// cancelNumbered cancels jobs that are not stored, by their numbers, and returns how many cancellations were not acknowledged.
func cancelNumbered(t *testing.T, intake *Intake, from, count int) (limited int) {
	t.Helper()
	for number := from; number < from+count; number++ {
		err := intake.Cancel(t.Context(), workflow.ID(fmt.Sprintf("%016x", number)))
		var busy ErrNoAnswer
		switch {
		case errors.As(err, &busy) && busy.RetryAfter > 0:
			limited++
		case !IsErrNoJob(err):
			t.Fatalf("got %v, want ErrNoJob or ErrNoAnswer", err)
		}
	}
	return limited
}

// TestTombstonesAreLimited guards against clients that fill the store, or use up what it allows, by cancelling what nobody submitted,
// and against cancellations of accepted jobs that suffer from it.
func TestTombstonesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 1000
		intake, fake := newCancelTest(t)
		if got := cancelNumbered(t, intake, 0, calls); got != calls-tombstoneBurst {
			t.Errorf("%d cancellations were limited, want %d", got, calls-tombstoneBurst)
		}
		if rows, commits := fake.count(); rows != tombstoneBurst || commits != tombstoneBurst {
			t.Errorf("%d rows and %d commits, want %d", rows, commits, tombstoneBurst)
		}
		if err := intake.Submit(t.Context(), cancelledSpec()); err != nil {
			t.Fatal(err)
		}
		if err := intake.Cancel(t.Context(), cancelledID); err != nil {
			t.Errorf("got %v for the cancellation of an accepted job, want success", err)
		}
		peak := 0
		for second := range 3 * int(TombstoneRetention/clock.Second) {
			time.Sleep(time.Second)
			cancelNumbered(t, intake, calls+second*tombstoneBurst, 5*tombstonesPerSecond)
			rows, _ := fake.count()
			peak = max(peak, rows)
		}
		if want := maxTombstones + 2; peak > want {
			t.Errorf("%d rows during a flood, want at most %d", peak, want)
		}
	})
}

// TestTombstonesAreRemoved guards against tombstones that stay for good, also if the store does not remove them at first, and against
// ids that cannot be used again.
func TestTombstonesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		intake, fake := newCancelTest(t)
		assertNoJob(t, intake.Cancel(t.Context(), cancelledID))
		cancelNumbered(t, intake, 0, tombstoneBurst/2)
		time.Sleep((TombstoneRetention - 1).Duration())
		if rows, _ := fake.count(); rows != tombstoneBurst/2+1 {
			t.Errorf("%d tombstones before the end of their retention, want %d", rows, tombstoneBurst/2+1)
		}
		fake.mu.Lock()
		fake.commitErrors = []error{store.ErrUnavailable{Reason: "503"}, store.ErrUnknown{Reason: "reset"}}
		fake.mu.Unlock()
		time.Sleep((3 * removalInterval).Duration())
		synctest.Wait()
		if rows, _ := fake.count(); rows != 0 {
			t.Errorf("%d tombstones after their retention, want none", rows)
		}
		if err := intake.Submit(t.Context(), cancelledSpec()); err != nil {
			t.Errorf("got %v for an id whose tombstone is removed, want success", err)
		}
	})
}

// TestEarlierVersionsReadTombstones guards against entries of an earlier version that store or show a job whose id has a tombstone:
// they take it for an archived job.
func TestEarlierVersionsReadTombstones(t *testing.T) {
	intake, fake := newCancelTest(t)
	assertNoJob(t, intake.Cancel(t.Context(), cancelledID))
	row, ok := fake.rows[endedRef(cancelledID)]
	if !ok {
		t.Fatal("the tombstone is not in the table on which submissions of earlier versions depend")
	}
	ended, err := DecodeEnded(row)
	if err != nil || ended.State != workflow.Cancelled || ended.At == 0 {
		t.Errorf("got %+v, %v, want a cancelled job with its time", ended, err)
	}
}
