package store

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hyssopjunction/clock"
)

// scripted is a store whose commits return one error after another, and the last one from then on.
type scripted struct {
	Store
	errs  []error
	calls int
}

func (fake *scripted) Commit(context.Context, Tx) (Version, error) {
	err := fake.errs[min(fake.calls, len(fake.errs)-1)]
	fake.calls++
	return 5, err
}

func (fake *scripted) Partition(ref Ref) string { return string(ref.Table) }

// TestRetrierIsTruthful guards against ErrUnavailable, which callers get as "not accepted", after an attempt that may have
// had an effect, and against giving up while there is time.
func TestRetrierIsTruthful(t *testing.T) {
	row := Row{Ref: Ref{Table: "t", Key: "k"}, Value: []byte("v"), Version: 3}
	tx := Tx{Conditions: []Condition{{Ref: row.Ref}}, Puts: []Put{{Ref: row.Ref, Value: row.Value}}}
	unavailable, unknown, conflict := ErrUnavailable{Reason: "503"}, ErrUnknown{Reason: "reset"}, ErrConflict{Rows: []Row{row}}
	for name, test := range map[string]struct {
		errs    []error
		version Version
		is      func(error) bool
	}{
		"applied by a lost attempt": {[]error{unknown, unavailable, conflict}, 3, nil},
		"written by another caller": {[]error{unavailable, conflict}, 0, func(err error) bool { return !IsErrUnavailable(err) && !IsErrUnknown(err) }},
		"served at last":            {[]error{unavailable, unavailable, nil}, 5, nil},
		"unavailable to the end":    {[]error{unavailable}, 0, IsErrUnavailable},
		"unknown to the end":        {[]error{unavailable, unknown, unavailable}, 0, IsErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
			defer cancel()
			fake := &scripted{errs: test.errs}
			version, err := NewRetrier(fake, clock.NewSystem()).Commit(ctx, tx)
			if (test.is == nil) != (err == nil) || test.is != nil && !test.is(err) || version != test.version {
				t.Errorf("got %d, %v", version, err)
			}
			if test.is != nil && fake.calls < 2 {
				t.Errorf("%d attempts, want retries", fake.calls)
			}
		})
	}
}

// TestRetryBudget guards against retries that multiply the load of a store that is away while callers flood it, and against
// a budget of one partition that another one uses up.
func TestRetryBudget(t *testing.T) {
	const calls, seconds = 1000, 10
	budgets, granted := NewRetryBudgets(), 0
	start := clock.Time(clock.Second)
	for call := range calls {
		now := start.Add(clock.Millis(call) * seconds * clock.Second / calls)
		budgets.RecordCall("busy", now)
		for budgets.Take("busy", now) == 0 {
			granted++
			budgets.buckets["busy"].takenAt = 0 // No retry is joined with this one.
		}
	}
	if limit := calls/10 + seconds + 5; granted > limit || granted < calls/10 {
		t.Errorf("%d retries of %d calls, want at most %d", granted, calls, limit)
	}
	now := start.Add(seconds * clock.Second)
	if wait := budgets.Take("busy", now); wait <= 0 || wait > clock.Second {
		t.Errorf("wait of %d ms for the next retry, want at most one second", wait)
	}
	if wait := budgets.Take("idle", now); wait != 0 {
		t.Errorf("the partition without calls waits %d ms", wait)
	}
	if wait := budgets.Take("idle", now.Add(joinWindow-1)); wait != 0 {
		t.Errorf("a retry that can be joined waits %d ms", wait)
	}
}

// recovering is a store that is unavailable until it recovers, just after an attempt has failed.
type recovering struct {
	Store
	recoversAfter time.Time
	answers       atomic.Bool
}

func (fake *recovering) Commit(context.Context, Tx) (Version, error) {
	if fake.answers.Load() {
		return 1, nil
	}
	fake.answers.Store(time.Now().After(fake.recoversAfter))
	return 0, ErrUnavailable{Reason: "rejected"}
}

func (fake *recovering) Partition(ref Ref) string { return string(ref.Table) }

// TestRetriesFollowAnswers guards against callers that wait for the budget of their partition, and are answered too late,
// although the store answers others again.
func TestRetriesFollowAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &recovering{recoversAfter: time.Now().Add(1200 * time.Millisecond)}
		retrier := NewRetrier(fake, clock.NewSystem())
		commit := func(table Table) error {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := retrier.Commit(ctx, Tx{Conditions: []Condition{{Ref: Ref{Table: table}}}})
			return err
		}
		var group sync.WaitGroup
		done := make([]time.Time, 6)
		for caller := range done {
			group.Go(func() {
				// They use up the budget of one partition.
				time.Sleep(time.Duration(100*caller) * time.Millisecond)
				if err := commit("waiting"); err != nil {
					t.Errorf("caller %d: got %v, want a commit", caller, err)
				}
				done[caller] = time.Now()
			})
		}
		for !fake.answers.Load() {
			time.Sleep(time.Millisecond)
		}
		recovered := time.Now()
		if err := commit("other"); err != nil {
			t.Fatal(err)
		}
		group.Wait()
		for caller, at := range done {
			if after := at.Sub(recovered); after > maxRetryPause.Duration() {
				t.Errorf("caller %d was answered %s after the store had recovered, want at most %s", caller, after, maxRetryPause)
			}
		}
	})
}
