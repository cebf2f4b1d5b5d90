package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/scheduler"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// startRound plans tasks, stores the jobs that changed, and then sends the orders. Only one round of writes
// is active at a time; changes during a round are part of the next one.
func (coordinator *Coordinator) startRound() {
	now := coordinator.deps.Clock.Now()
	coordinator.attention.observe(now)
	if coordinator.writing || coordinator.ctx.Err() != nil || now.Sub(coordinator.roundEndedAt) < minRoundPause {
		return
	}
	coordinator.updateOverdue(now)
	if coordinator.maySendStarts(now) && coordinator.updateOutDataCentres() {
		coordinator.resumeStarts()
		coordinator.scheduler.Plan(now, coordinator.deps.TimeOfDay())
		coordinator.reportAssignments(now)
	}
	jobs, orders := coordinator.scheduler.TakeChanges()
	coordinator.logCopies()
	coordinator.logCrashes()
	coordinator.logAccounts()
	renew := now.Sub(coordinator.renewedAt) >= election.RenewalInterval || coordinator.ledger.NeedsRenewal(now)
	if len(jobs) == 0 && !renew {
		coordinator.finishRound(orders, coordinator.takeOnceStored())
		return
	}
	txs, err := coordinator.prepareRound(jobs, renew)
	if err != nil {
		coordinator.stepDown(err.Error())
		return
	}
	actions := coordinator.takeOnceStored()
	coordinator.writing = true
	coordinator.background(func() { coordinator.writeRound(txs, orders, actions) })
}

// takeOnceStored returns the actions that wait for the next round and removes them from the list. Ends that are reported
// from now on belong to a later round.
func (coordinator *Coordinator) takeOnceStored() []func() {
	actions := coordinator.onceStored
	coordinator.onceStored = nil
	clear(coordinator.endsToStore)
	return actions
}

// roundTx is one transaction of a round.
type roundTx struct {
	storeTx store.Tx
	// states holds the states of the jobs that the transaction stores.
	states map[workflow.ID]workflow.State
	// renewsLease reports that the transaction renews the leader's lease.
	renewsLease bool
	// storesWeights reports that the transaction stores the learned weights.
	storesWeights bool
}

// entries returns the number of entries of the transaction as the store counts them.
func (tx roundTx) entries() int {
	return len(tx.storeTx.Conditions) + len(tx.storeTx.Puts) + len(tx.storeTx.Removes)
}

// prepareRound returns the transactions of a round. Each has the condition that the term row is unchanged.
func (coordinator *Coordinator) prepareRound(jobs []*workflow.Job, renew bool) ([]roundTx, error) {
	var txs []roundTx
	current := coordinator.newRoundTx()
	size := 0
	if renew {
		heartbeat := coordinator.heartbeat
		heartbeat.Count++
		heartbeat.Grants = coordinator.ledger.Compose(coordinator.scheduler.BusyNodes(), coordinator.deps.Clock.Now())
		heartbeat.Backlog = coordinator.storedRefusal()
		tx, err := coordinator.renewalTx(heartbeat)
		if err != nil {
			return nil, err
		}
		coordinator.heartbeat = heartbeat
		coordinator.addStateRemovals(&tx, coordinator.deps.Clock.Now())
		current.storeTx, current.renewsLease = tx, true
		if now := coordinator.deps.Clock.Now(); now.Sub(coordinator.weightsStoredAt) >= weightsStoreInterval {
			coordinator.weightsStoredAt = now
			if weights, ok := coordinator.weightsTx(now); ok {
				current.storeTx.Conditions = append(current.storeTx.Conditions, weights.Conditions...)
				current.storeTx.Puts = append(current.storeTx.Puts, weights.Puts...)
				current.storesWeights = true
			}
		}
	}
	for _, job := range jobs {
		value, err := coordinator.encodeState(job)
		if err != nil {
			return nil, err
		}
		if current.entries()+entriesPerJob > maxTxEntries || size+len(value) > maxTxBytes {
			txs = append(txs, current)
			current, size = coordinator.newRoundTx(), 0
		}
		id := job.Spec.ID
		ref := store.Ref{Table: stateTable, Key: string(id)}
		current.storeTx.Conditions = append(current.storeTx.Conditions, store.Condition{Ref: ref, Version: coordinator.stateVersions[id]})
		current.storeTx.Puts = append(current.storeTx.Puts, store.Put{Ref: ref, Value: value})
		current.states[id] = job.State
		size += len(value)
	}
	return append(txs, current), nil
}

func (coordinator *Coordinator) newRoundTx() roundTx {
	return roundTx{
		storeTx: store.Tx{Conditions: []store.Condition{{Ref: election.TermRef(), Version: coordinator.leadership.TermVersion}}},
		states:  map[workflow.ID]workflow.State{},
	}
}

// renewalTx returns the transaction that extends the leader's lease.
func (coordinator *Coordinator) renewalTx(heartbeat election.Heartbeat) (store.Tx, error) {
	value, err := json.Marshal(heartbeat)
	if err != nil {
		return store.Tx{}, fmt.Errorf("encoding the heartbeat: %w", err)
	}
	return store.Tx{
		Conditions: []store.Condition{
			{Ref: election.TermRef(), Version: coordinator.leadership.TermVersion}, {Ref: election.HeartbeatRef(), Version: coordinator.heartbeatVersion},
		},
		Puts: []store.Put{{Ref: election.HeartbeatRef(), Value: value}},
	}, nil
}

// writeRound commits the transactions of a round and passes the results to the control loop. It runs outside
// the loop.
func (coordinator *Coordinator) writeRound(txs []roundTx, orders []scheduler.Order, actions []func()) {
	start := coordinator.deps.Clock.Now()
	coordinator.counters.rounds.Inc()
	for _, tx := range txs {
		sent := coordinator.deps.Clock.Now()
		version, err := coordinator.commitUntilApplied(tx.storeTx)
		var conflict store.ErrConflict
		if errors.As(err, &conflict) {
			coordinator.stepDown(fmt.Sprintf("conflict: term row has version %d, not %d", conflict.Row(election.TermRef()).Version, coordinator.leadership.TermVersion))
			return
		}
		if store.IsErrRejected(err) {
			coordinator.isolateRejected(tx, err)
			return
		}
		if err != nil {
			return // The term ended.
		}
		if tx.renewsLease {
			coordinator.validUntil.Store(int64(sent.Add(election.LeaderLease)))
		}
		coordinator.loop.Post(func() { coordinator.recordStored(tx, version, sent) })
	}
	duration := coordinator.deps.Clock.Now().Sub(start)
	coordinator.counters.roundMillis.Update(float64(duration))
	coordinator.post(func() {
		coordinator.writing, coordinator.roundDuration = false, duration
		coordinator.roundEndedAt = coordinator.deps.Clock.Now()
		coordinator.finishRound(orders, actions)
	})
}

// commitUntilApplied commits tx and retries until the store answers. Errors: store.ErrConflict, store.ErrRejected, or the error
// of the context when the term ends.
func (coordinator *Coordinator) commitUntilApplied(tx store.Tx) (store.Version, error) {
	logged := false
	for {
		version, err := store.CommitUntilKnown(coordinator.ctx, coordinator.deps.Store, coordinator.deps.Clock, tx)
		if err == nil || !store.IsErrUnavailable(err) && !store.IsErrUnknown(err) {
			if logged {
				klog.InfoS("Store available again", "Term", coordinator.leadership.Term.Number)
			}
			return version, err
		}
		if !logged && coordinator.ctx.Err() == nil {
			klog.ErrorS(err, "Store unavailable", "Term", coordinator.leadership.Term.Number)
		}
		logged = true
		select {
		case <-coordinator.deps.Clock.After(storeRetryPause):
		case <-coordinator.ctx.Done():
			return 0, context.Cause(coordinator.ctx)
		}
	}
}

// recordStored records the versions and job states of a transaction that was applied.
func (coordinator *Coordinator) recordStored(tx roundTx, version store.Version, sent clock.Time) {
	if tx.renewsLease {
		coordinator.heartbeatVersion, coordinator.renewedAt = version, sent
		coordinator.recordRenewal()
	}
	if tx.storesWeights {
		coordinator.weightsVersion = version
	}
	for id, state := range tx.states {
		coordinator.stateVersions[id] = version
		coordinator.setJobState(id, state)
		if state.Final() {
			klog.InfoS("Job ended", "Job", id, "State", state)
			if _, ok := coordinator.endedAt[id]; !ok {
				coordinator.endedAt[id] = coordinator.deps.Clock.Now()
			}
		}
	}
}

// finishRound sends the orders of a round and runs the actions that waited for it.
func (coordinator *Coordinator) finishRound(orders []scheduler.Order, actions []func()) {
	coordinator.sendOrders(orders)
	for _, action := range actions {
		action()
	}
}
