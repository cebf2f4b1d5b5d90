package table

import (
	"context"
)

// commit commits one transaction and resolves a lost response before it returns. After ErrConflict,
// ErrUnavailable and ErrTooLarge the transaction had no effect; after ErrUnknownOutcome it may have
// taken effect. charged means that the first call has already been charged to the rate limit.
func (client *Client) commit(ctx context.Context, transaction Transaction, charged bool) (Result, error) {
	fenced := transaction.fenced()
	var lostErr error
	var lastErr error
	for attempt := range client.settings.Attempts {
		if attempt > 0 {
			if client.pause(ctx, client.backoff(attempt)) != nil {
				break
			}
		}
		admit := client.checkBreaker
		if attempt > 0 || !charged {
			admit = func() error { return client.admit(ctx, client.writes) }
		}
		if err := admit(); err != nil {
			lastErr = err
			if lostErr == nil {
				return Result{}, err
			}
			continue
		}
		result, err := client.commitOnce(ctx, transaction)
		switch {
		case err == nil:
			return result, nil
		case IsErrTooLarge(err) && lostErr == nil:
			return Result{}, err
		case IsErrConflict(err) && lostErr == nil:
			return Result{}, err
		case IsErrConflict(err):
			return client.resolveConflict(ctx, transaction, err)
		case IsErrUnavailable(err):
			lastErr = err
		default:
			lostErr = err
			if !fenced {
				// Sending it again could take effect twice.
				return client.resolveUnfenced(ctx, transaction, lostErr)
			}
		}
	}
	if lostErr != nil {
		client.stats.unknown.Add(1)
		return Result{}, ErrUnknownOutcome{Write: transaction.Write, Reason: lostErr.Error()}
	}
	if lastErr == nil {
		lastErr = ErrUnavailable{Reason: "cancelled"}
	}
	return Result{}, lastErr
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

// resolveConflict finds the outcome of a fenced transaction whose first response was lost and whose
// retry got a conflict. Revisions only increase, so the transaction cannot take effect any more; the
// rows show whether the first attempt did.
func (client *Client) resolveConflict(ctx context.Context, transaction Transaction, conflict error) (Result, error) {
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
			return transaction.appliedResult(), nil
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

// readBackResult is the outcome of a transaction according to the rows that it writes.
type readBackResult int

const (
	// undecided means that reading the rows again may show the outcome.
	undecided readBackResult = iota
	applied
	notApplied
	// overwritten means that later writes have replaced the transaction's write id, if the rows had it.
	overwritten
)

// readBack reads the transaction's rows until one of them shows the outcome.
func (client *Client) readBack(ctx context.Context, transaction Transaction) readBackResult {
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

// unchanged reports whether a row is certain to still have the revision. It commits a transaction
// without operations for that, because a read may return an old copy of the row.
func (client *Client) unchanged(ctx context.Context, condition Condition) bool {
	if client.admit(ctx, client.writes) != nil {
		return false
	}
	_, err := client.commitOnce(ctx, Transaction{Write: client.newWriteID(), Conditions: []Condition{condition}})
	return err == nil
}

// resolveUnfenced reads the rows of a transaction that must not be sent again. It can only prove that
// the transaction took effect; if the rows do not show it, the transaction may still arrive.
func (client *Client) resolveUnfenced(ctx context.Context, transaction Transaction, lostErr error) (Result, error) {
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
	return Result{}, ErrUnknownOutcome{Write: transaction.Write, Reason: lostErr.Error()}
}

// readRevisions returns the revisions of the transaction's rows if all of them have its write id.
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

// conditions returns the revisions that the transaction requires, by key.
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

// appliedResult returns the result of a fenced transaction that took effect, from its conditions.
func (transaction Transaction) appliedResult() Result {
	conditions := transaction.conditions()
	result := Result{Revisions: make(map[Key]Revision, len(transaction.Operations))}
	for _, operation := range transaction.Operations {
		result.Revisions[operation.Key] = conditions[operation.Key] + 1
	}
	return result
}
