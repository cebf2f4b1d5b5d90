package intake

import (
	"context"
	"testing"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/session"
	"hyssopjunction/store"
	"hyssopjunction/unit"
	"hyssopjunction/workflow"
)

// scripted is a store whose commits fail as scripted before they succeed.
type scripted struct {
	errors  []error
	commits int
	rows    map[store.Ref]store.Row
}

func (script *scripted) Commit(_ context.Context, tx store.Tx) (store.Version, error) {
	script.commits++
	if len(script.errors) > 0 {
		err := script.errors[0]
		script.errors = script.errors[1:]
		return 0, err
	}
	for _, condition := range tx.Conditions {
		if row := script.rows[condition.Ref]; row.Version != condition.Version {
			return 0, store.ErrConflict{Rows: []store.Row{row}}
		}
	}
	for _, put := range tx.Puts {
		script.rows[put.Ref] = store.Row{Ref: put.Ref, Value: put.Value, Version: store.Version(script.commits)}
	}
	return store.Version(script.commits), nil
}

func (script *scripted) List(_ context.Context, table store.Table, from, _ string) (store.Rows, error) {
	row, ok := script.rows[store.Ref{Table: table, Key: from}]
	if !ok {
		return store.Rows{}, nil
	}
	return store.Rows{Rows: []store.Row{row}}, nil
}

func (script *scripted) Changes(context.Context, store.Table, store.Version, clock.Millis) (store.Rows, error) {
	return store.Rows{}, nil
}

func (script *scripted) Now() clock.Time { return 1 }

type silentLeader struct{}

func (silentLeader) State(context.Context, workflow.ID) (workflow.State, bool, error) {
	return "", false, session.ErrNotLeading{}
}

func (silentLeader) Pending(context.Context, workflow.Queue) (int, error) {
	return 0, session.ErrNotLeading{}
}

func newScript(errors ...error) *scripted {
	return &scripted{errors: errors, rows: map[store.Ref]store.Row{}}
}

func submit(t *testing.T, script *scripted, within time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	spec := workflow.Spec{ID: "0123456789abcdef", Steps: []workflow.Step{{Count: 1, Need: unit.Resources{CPU: 1}}}}
	return New(script, clock.NewSystem(), silentLeader{}).Submit(ctx, spec)
}

// Guards against an answer "not accepted" for a job that may be stored, and against giving up while the
// outcome is open: on days on which the store resets its connections for 4 s, callers used up their
// retries within milliseconds.
func TestSubmitWhileOutcomeIsOpen(t *testing.T) {
	unknown, refused := store.ErrUnknown{Reason: "reset"}, store.ErrUnavailable{Reason: "503"}
	cases := map[string]struct {
		script *scripted
		within time.Duration
		want   func(error) bool
	}{
		"stored at once":         {newScript(), time.Second, func(err error) bool { return err == nil }},
		"refused by all":         {newScript(refused), time.Second, IsErrNotAccepted},
		"unknown, then stored":   {newScript(unknown, unknown), time.Second, func(err error) bool { return err == nil }},
		"unknown until the end":  {newScript(many(unknown)...), 300 * time.Millisecond, IsErrUndecided},
		"unknown, then refusing": {newScript(append([]error{unknown}, many(refused)...)...), 300 * time.Millisecond, IsErrUndecided},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if err := submit(t, test.script, test.within); !test.want(err) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func many(err error) []error {
	list := make([]error, 200)
	for position := range list {
		list[position] = err
	}
	return list
}

// Guards against a 410 for a job that is stored but that the leader has not seen yet.
func TestStateOfStoredJobWithoutLeader(t *testing.T) {
	script := newScript()
	intake := New(script, clock.NewSystem(), silentLeader{})
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
