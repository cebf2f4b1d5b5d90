package table

import (
	"context"
)

// commit commits one transaction and resolves a lost answer before it returns. Conflict,
// unavailability and size are certain outcomes; ErrUnknownOutcome is returned only if the
// transaction may have taken effect. Charged tells that the first call was already charged against
// the rate limit.
func (client *Client) commit(ctx context.Context, transaction Transaction, charged bool) (Result, error) {
	fenced := transaction.fenced()
	var lost error
	var last error
	for attempt := range client.settings.Attempts {
		if attempt > 0 {
			if client.pause(ctx, client.backoff(attempt)) != nil {
				break
			}
		}
		admit := client.enter
		if attempt > 0 || !charged {
			admit = func() error { return client.admit(ctx, client.writes) }
		}
		if err := admit(); err != nil {
			last = err
			if lost == nil {
				return Result{}, err
			}
			continue
		}
		result, err := client.commitOnce(ctx, transaction)
		switch {
		case err == nil:
			return result, nil
		case IsErrTooLarge(err) && lost == nil:
			return Result{}, err
		case IsErrConflict(err) && lost == nil:
			return Result{}, err
		case IsErrConflict(err):
			return client.resolve(ctx, transaction, err)
		case IsErrUnavailable(err):
			last = err
		default:
			lost = err
			if !fenced {
				// A resend could take effect twice.
				return client.resolveUnfenced(ctx, transaction, lost)
			}
		}
	}
	if lost != nil {
		client.stats.unknown.Add(1)
		return Result{}, ErrUnknownOutcome{Write: transaction.Write, Reason: lost.Error()}
	}
	if last == nil {
		last = ErrUnavailable{Reason: "cancelled"}
	}
	return Result{}, last
}

func (client *Client) commitOnce(ctx context.Context, transaction Transaction) (Result, error) {
	client.stats.commits.Add(1)
	commitCalls.Inc()
	var result Result
	err := client.call(ctx, func(ctx context.Context) error {
		var err error
		result, err = client.store.Commit(ctx, transaction)
		return err
	})
	return result, err
}

// resolve decides the outcome of a fenced transaction whose first answer was lost and whose resend
// met a conflict. The conflict means that the transaction cannot take effect any more, because
// revisions only rise; the written rows tell whether it did before.
func (client *Client) resolve(ctx context.Context, transaction Transaction, conflict error) (Result, error) {
	client.stats.readBacks.Add(1)
	if len(transaction.Operations) == 0 {
		return Result{}, conflict
	}
	for attempt := range client.settings.Attempts {
		if attempt > 0 && client.pause(ctx, client.backoff(attempt)) != nil {
			break
		}
		switch client.readBack(ctx, transaction) {
		case applied:
			return transaction.applied(), nil
		case notApplied:
			return Result{}, conflict
		case overwritten:
			client.stats.unknown.Add(1)
			return Result{}, ErrUnknownOutcome{Write: transaction.Write, Reason: "rows were overwritten before read-back"}
		}
	}
	client.stats.unknown.Add(1)
	return Result{}, ErrUnknownOutcome{Write: transaction.Write, Reason: "rows could not be read back"}
}

// finding is what reading the written rows showed.
type finding int

const (
	// undecided findings may change when the rows are read again.
	undecided finding = iota
	applied
	notApplied
	// overwritten rows have lost the trace of the transaction.
	overwritten
)

// readBack reads the written rows until one of them tells the outcome.
func (client *Client) readBack(ctx context.Context, transaction Transaction) finding {
	conditions := transaction.conditions()
	result := overwritten
	for _, operation := range transaction.Operations {
		row, err := client.Get(ctx, operation.Key)
		if err != nil {
			result = undecided
			continue
		}
		before := conditions[operation.Key]
		switch {
		case row.Write == transaction.Write && row.Revision > before:
			return applied
		case row.Revision == before+1:
			return notApplied
		case row.Revision > before:
		case client.unchanged(ctx, Condition{Key: operation.Key, Revision: before}):
			return notApplied
		default:
			result = undecided
		}
	}
	return result
}

// unchanged reports whether a row certainly still has the revision. It asks with a transaction
// without operations, because a read may be answered from an old copy of the row.
func (client *Client) unchanged(ctx context.Context, condition Condition) bool {
	if client.admit(ctx, client.writes) != nil {
		return false
	}
	_, err := client.commitOnce(ctx, Transaction{Write: client.nextWrite(), Conditions: []Condition{condition}})
	return err == nil
}

// resolveUnfenced reads the rows of a transaction that cannot be sent again. Only a positive result
// is certain, because the transaction may still be on its way.
func (client *Client) resolveUnfenced(ctx context.Context, transaction Transaction, lost error) (Result, error) {
	client.stats.readBacks.Add(1)
	for _, operation := range transaction.Operations {
		row, err := client.Get(ctx, operation.Key)
		if err != nil || row.Write != transaction.Write {
			continue
		}
		if result, complete := client.readRevisions(ctx, transaction); complete {
			return result, nil
		}
	}
	client.stats.unknown.Add(1)
	return Result{}, ErrUnknownOutcome{Write: transaction.Write, Reason: lost.Error()}
}

// readRevisions returns the revisions of the written rows if all of them still carry the write id.
func (client *Client) readRevisions(ctx context.Context, transaction Transaction) (Result, bool) {
	result := Result{Revisions: make(map[Key]Revision, len(transaction.Operations))}
	for _, operation := range transaction.Operations {
		row, err := client.Get(ctx, operation.Key)
		if err != nil || row.Write != transaction.Write {
			return Result{}, false
		}
		result.Revisions[operation.Key] = row.Revision
	}
	return result, true
}

// conditions returns the required revisions by key.
func (transaction Transaction) conditions() map[Key]Revision {
	revisions := make(map[Key]Revision, len(transaction.Conditions))
	for _, condition := range transaction.Conditions {
		revisions[condition.Key] = condition.Revision
	}
	return revisions
}

// fenced reports whether each written row has a condition, so that the transaction cannot take
// effect twice.
func (transaction Transaction) fenced() bool {
	conditions := transaction.conditions()
	for _, operation := range transaction.Operations {
		if _, ok := conditions[operation.Key]; !ok {
			return false
		}
	}
	return true
}

// applied returns the result of a fenced transaction that took effect.
func (transaction Transaction) applied() Result {
	conditions := transaction.conditions()
	result := Result{Revisions: make(map[Key]Revision, len(transaction.Operations))}
	for _, operation := range transaction.Operations {
		result.Revisions[operation.Key] = conditions[operation.Key] + 1
	}
	return result
}
