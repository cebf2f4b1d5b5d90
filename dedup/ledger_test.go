package dedup_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/dedup"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/table"
)

// The seed is fixed so that runs are reproducible; -rapid.seed overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// store is a table that injects faults: it refuses calls, loses the answers of commits that did or did
// not take effect, and delays commits.
type store struct {
	rows    map[table.Key]table.Row
	delayed []table.Transaction
	fault   func() string
}

func newStore() *store {
	return &store{rows: map[table.Key]table.Row{}, fault: func() string { return "" }}
}

func (store *store) Get(_ context.Context, key table.Key) (table.Row, error) {
	if store.fault() == "unavailable" {
		return table.Row{}, table.ErrUnavailable{Reason: "fault"}
	}
	row := store.rows[key]
	row.Key = key
	return row, nil
}

func (store *store) Range(_ context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	var rows []table.Row
	for _, key := range slices.Sorted(maps.Keys(store.rows)) {
		if strings.HasPrefix(string(key), string(prefix)) && key > after && store.rows[key].Exists() && len(rows) < limit {
			rows = append(rows, store.rows[key])
		}
	}
	return rows, nil
}

func (store *store) Commit(_ context.Context, transaction table.Transaction) (table.Result, error) {
	lost := table.ErrUnknownOutcome{Write: transaction.Write}
	switch store.fault() {
	case "unavailable":
		return table.Result{}, table.ErrUnavailable{Reason: "fault"}
	case "lost before":
		return table.Result{}, lost
	case "lost after":
		// The answer is lost, whether or not the conditions held.
		_, _ = store.commit(transaction)
		return table.Result{}, lost
	case "delayed":
		store.delayed = append(store.delayed, transaction)
		return table.Result{}, lost
	}
	return store.commit(transaction)
}

func (store *store) commit(transaction table.Transaction) (table.Result, error) {
	for _, condition := range transaction.Conditions {
		if row := store.rows[condition.Key]; row.Revision != condition.Revision {
			return table.Result{}, table.ErrConflict{Key: condition.Key, Want: condition.Revision, Have: row.Revision, Winner: row.Write}
		}
	}
	for _, operation := range transaction.Operations {
		store.rows[operation.Key] = table.Row{
			Key: operation.Key, Value: operation.Value, Deleted: operation.Delete,
			Revision: store.rows[operation.Key].Revision + 1, Write: transaction.Write,
		}
	}
	return table.Result{}, nil
}

// fixture holds the table and the agents' records. Actors submit the same key to it concurrently.
type fixture struct {
	*store
	outcomes    map[string]outcome.Outcome
	answers     map[string]string
	runs        []string
	lastWrite   int
	lastRequest int
}

// actor is an entry that handles one submission. It yields before each call, so that the test can run
// other actors in between or crash this one.
type actor struct {
	*fixture
	yield   func(struct{}) bool
	crashed bool
	result  string
	err     error
}

var errCrashed = table.ErrUnavailable{Reason: "crashed"}

func (actor *actor) proceed() bool {
	actor.crashed = actor.crashed || !actor.yield(struct{}{})
	return !actor.crashed
}

func (actor *actor) Get(ctx context.Context, key table.Key) (table.Row, error) {
	if !actor.proceed() {
		return table.Row{}, errCrashed
	}
	return actor.store.Get(ctx, key)
}

func (actor *actor) Commit(ctx context.Context, transaction table.Transaction) (table.Result, error) {
	if !actor.proceed() {
		return table.Result{}, errCrashed
	}
	return actor.store.Commit(ctx, transaction)
}

// send runs the request at its target unless the agent has already refused or run it.
func (actor *actor) send(ticket dedup.Ticket) outcome.Outcome {
	if !actor.proceed() {
		return outcome.Unknown
	}
	name := fmt.Sprint(ticket.Record.Request, "@", ticket.Record.Target.Endpoint)
	if previous, ok := actor.outcomes[name]; ok {
		return previous
	}
	if actor.fault() == "unavailable" {
		actor.outcomes[name] = outcome.NotRun
		return outcome.NotRun
	}
	actor.outcomes[name] = outcome.Ran
	actor.answers[name] = "answer of " + name
	actor.runs = append(actor.runs, name)
	return outcome.Ran
}

// query returns the outcome at the agent, which refuses the request from then on if it has not arrived.
func (actor *actor) query(ticket dedup.Ticket) outcome.Outcome {
	if !actor.proceed() {
		return outcome.Unknown
	}
	name := fmt.Sprint(ticket.Record.Request, "@", ticket.Record.Target.Endpoint)
	if _, ok := actor.outcomes[name]; !ok {
		actor.outcomes[name] = outcome.NotRun
	}
	return actor.outcomes[name]
}

func (fixture *fixture) id() ident.Request {
	fixture.lastRequest++
	return ident.Request(fmt.Sprint("r", fixture.lastRequest))
}

func (fixture *fixture) target() dedup.Target {
	return dedup.Target{Endpoint: ident.Endpoint(fmt.Sprint("e", fixture.lastRequest%3))}
}

func (actor *actor) submit(settings dedup.Settings) {
	ctx := context.Background()
	ledger := dedup.New(actor, func() ident.Write {
		actor.lastWrite++
		return ident.Write(fmt.Sprint("w", actor.lastWrite))
	}, settings)
	ticket, answer, err := ledger.Claim(ctx, dedup.Claim{Service: "s", Key: "k", Request: actor.id(), Digest: "d", Target: actor.target()})
	for range 5 {
		var running dedup.ErrStillRunning
		var requestOutcome outcome.Outcome
		switch {
		case answer != nil:
			actor.result = string(answer.Body)
			return
		case errors.As(err, &running):
			ticket = running.Ticket
			requestOutcome = actor.query(ticket)
		case err != nil:
			actor.err = err
			return
		default:
			requestOutcome = actor.send(ticket)
		}
		switch requestOutcome {
		case outcome.Ran:
			name := fmt.Sprint(ticket.Record.Request, "@", ticket.Record.Target.Endpoint)
			actor.result = actor.answers[name]
			actor.err = ledger.Complete(ctx, ticket, dedup.Answer{Outcome: outcome.Ran, Body: []byte(actor.result)})
			return
		case outcome.NotRun:
			if ticket, err = ledger.Reassign(ctx, ticket, requestOutcome, actor.id(), actor.target()); dedup.IsErrSuperseded(err) {
				ticket, answer, err = ledger.Claim(ctx, dedup.Claim{Service: "s", Key: "k", Request: actor.id(), Digest: "d", Target: actor.target()})
			}
		default:
			return
		}
	}
}

// TestKeyedSubmissionRunsAtMostOnce guards against a key that runs twice or gets another answer than its
// first, while entries race for it and crash at any step and the table loses answers.
func TestKeyedSubmissionRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := &fixture{store: newStore(), outcomes: map[string]outcome.Outcome{}, answers: map[string]string{}}
		faults := rapid.SampledFrom([]string{"", "", "", "unavailable", "lost before", "lost after", "delayed"})
		fixture.fault = func() string { return faults.Draw(t, "fault") }
		var actors []*actor
		var steps []func() (struct{}, bool)
		var stops []func()
		for range rapid.IntRange(1, 4).Draw(t, "entries") {
			entry := &actor{fixture: fixture}
			step, stop := iter.Pull(func(yield func(struct{}) bool) {
				entry.yield = yield
				entry.submit(dedup.Defaults())
			})
			defer stop()
			actors, steps, stops = append(actors, entry), append(steps, step), append(stops, stop)
		}
		for range 120 {
			index := rapid.IntRange(0, len(actors)-1).Draw(t, "entry")
			if rapid.IntRange(0, 30).Draw(t, "crash") == 0 {
				stops[index]()
			}
			steps[index]()
			if len(fixture.delayed) > 0 && rapid.Bool().Draw(t, "land") {
				// The error is ignored: a delayed commit whose condition fails changes nothing.
				_, _ = fixture.commit(fixture.delayed[0])
				fixture.delayed = fixture.delayed[1:]
			}
		}
		if len(fixture.runs) > 1 {
			t.Fatalf("ran %d times: %v", len(fixture.runs), fixture.runs)
		}
		for _, entry := range actors {
			if entry.result != "" && entry.result != fixture.answers[fixture.runs[0]] {
				t.Fatalf("answered %q, the request that ran is %v", entry.result, fixture.runs)
			}
		}
	})
}

func newLedger(store dedup.Table) *dedup.Ledger {
	count := 0
	return dedup.New(store, func() ident.Write { count++; return ident.Write(fmt.Sprint("w", count)) }, dedup.Defaults())
}

func claim(t *testing.T, ledger *dedup.Ledger, request ident.Request, digest string) (dedup.Ticket, *dedup.Answer, error) {
	t.Helper()
	return ledger.Claim(t.Context(), dedup.Claim{Service: "s", Key: "k", Request: request, Digest: digest, Target: dedup.Target{Endpoint: "e1"}})
}

func assertError(t *testing.T, err error, is func(error) bool) {
	t.Helper()
	if !is(err) {
		t.Fatalf("unexpected error %v", err)
	}
}

// TestRepeatedKeyIsAnsweredByState guards against a repeated key that does not get the error or answer
// for the state of its claim.
func TestRepeatedKeyIsAnsweredByState(t *testing.T) {
	ledger := newLedger(newStore())
	ticket, _, err := claim(t, ledger, "r1", "d")
	assertError(t, err, func(err error) bool { return err == nil })
	_, _, err = claim(t, ledger, "r2", "d")
	assertError(t, err, dedup.IsErrStillRunning)
	_, _, err = claim(t, ledger, "r2", "other")
	assertError(t, err, dedup.IsErrKeyReused)
	assertError(t, ledger.MarkLost(t.Context(), ticket), func(err error) bool { return err == nil })
	_, _, err = claim(t, ledger, "r2", "d")
	assertError(t, err, dedup.IsErrUnknownOutcome)
	// The answer arrives after all and replaces the state Lost.
	err = ledger.Complete(t.Context(), ticket, dedup.Answer{Outcome: outcome.Ran, Body: make([]byte, 1<<20)})
	assertError(t, err, func(err error) bool { return err == nil })
	_, answer, _ := claim(t, ledger, "r2", "d")
	if answer == nil || !answer.Omitted || answer.Bytes != 1<<20 || len(answer.Body) > 0 {
		t.Fatalf("answer %+v", answer)
	}
}

// objects is an object store whose Put fails while fail is set.
type objects struct {
	bodies map[string][]byte
	fail   bool
}

func (objects *objects) Put(_ context.Context, name string, body []byte) error {
	if objects.fail {
		return errCrashed
	}
	objects.bodies[name] = body
	return nil
}

func (objects *objects) Get(_ context.Context, name string) ([]byte, error) {
	return objects.bodies[name], nil
}

func (objects *objects) Delete(_ context.Context, name string) error {
	delete(objects.bodies, name)
	return nil
}

// TestLargeAnswerIsStoredWithItsBody guards against a large answer that is recorded without its body,
// returned with another body, or never deleted.
func TestLargeAnswerIsStoredWithItsBody(t *testing.T) {
	store, bodies := newStore(), &objects{bodies: map[string][]byte{}, fail: true}
	ledger := newLedger(store).WithBodies(bodies)
	ticket, _, _ := claim(t, ledger, "r1", "d")
	large := dedup.Answer{Outcome: outcome.Ran, Body: []byte(strings.Repeat("x", 1<<20))}
	assertError(t, ledger.Complete(t.Context(), ticket, large), dedup.IsErrUnavailable)
	_, _, err := claim(t, ledger, "r2", "d")
	assertError(t, err, dedup.IsErrStillRunning)
	bodies.fail = false
	assertError(t, ledger.Complete(t.Context(), ticket, large), func(err error) bool { return err == nil })
	_, answer, _ := claim(t, ledger, "r2", "d")
	loaded, err := ledger.Load(t.Context(), *answer)
	if err != nil || string(loaded.Body) != string(large.Body) {
		t.Fatalf("%d bytes, %v", len(loaded.Body), err)
	}
	bodies.bodies[answer.Object] = []byte("short")
	_, err = ledger.Load(t.Context(), *answer)
	assertError(t, err, dedup.IsErrBody)
	sweeper := dedup.NewSweeper(store, func() ident.Write { return "sweep" }, func(ident.Service) clock.Millis { return 0 }).WithBodies(bodies)
	if deleted, err := sweeper.Step(t.Context(), 1, 10); deleted != 1 || err != nil || len(bodies.bodies) != 0 {
		t.Fatalf("%d rows deleted, %d bodies left, %v", deleted, len(bodies.bodies), err)
	}
}

// TestReassignNeedsNotRun guards against a claim that is reassigned although its request may have run.
func TestReassignNeedsNotRun(t *testing.T) {
	ledger := newLedger(newStore())
	ticket, _, _ := claim(t, ledger, "r1", "d")
	for _, confirmed := range []outcome.Outcome{outcome.Unknown, outcome.Ran} {
		func() {
			defer func() {
				if err, ok := recover().(error); !ok || !dedup.IsErrInvariant(err) {
					t.Fatalf("no invariant panic for %s", confirmed)
				}
			}()
			_, err := ledger.Reassign(t.Context(), ticket, confirmed, "r2", dedup.Target{Endpoint: "e2"})
			t.Fatalf("reassigned after %s: %v", confirmed, err)
		}()
	}
}

// TestSweeperDeletesRowsAfterRetention guards against rows that are deleted too early, in particular
// after a change, or never.
func TestSweeperDeletesRowsAfterRetention(t *testing.T) {
	store := newStore()
	ledger := newLedger(store)
	ticket, _, _ := claim(t, ledger, "r1", "d")
	sweeper := dedup.NewSweeper(store, func() ident.Write { return "sweep" }, func(ident.Service) clock.Millis { return 100 })
	sweepAt := func(now clock.Time, want int) {
		t.Helper()
		if deleted, err := sweeper.Step(t.Context(), now, 10); deleted != want || err != nil {
			t.Fatalf("at %d deleted %d, want %d (%v)", now, deleted, want, err)
		}
	}
	sweepAt(1, 0)
	sweepAt(99, 0)
	assertError(t, ledger.Complete(t.Context(), ticket, dedup.Answer{Outcome: outcome.Ran}), func(err error) bool { return err == nil })
	sweepAt(150, 0)
	sweepAt(249, 0)
	sweepAt(250, 1)
	sweepAt(400, 0)
}
