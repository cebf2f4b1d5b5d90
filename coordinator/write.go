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

// pump plans, stores what changed, and sends what depends on it. One round of writes is active at a
// time; what happens meanwhile is part of the next one.
func (leader *Coordinator) pump() {
	now := leader.need.Clock.Now()
	if leader.writing || leader.base.Err() != nil || now.Sub(leader.wroteAt) < roundGap {
		return
	}
	if leader.heed() {
		leader.book.Plan(now, leader.need.TimeOfDay())
	}
	jobs, orders := leader.book.TakeChanges()
	renew := now.Sub(leader.renewedAt) >= election.Renewal
	if len(jobs) == 0 && !renew {
		leader.finish(orders, leader.takeWaiting())
		return
	}
	writes, err := leader.prepare(jobs, renew)
	if err != nil {
		leader.stepDown(err.Error())
		return
	}
	waiting := leader.takeWaiting()
	leader.writing = true
	leader.background(func() { leader.write(writes, orders, waiting) })
}

func (leader *Coordinator) takeWaiting() []func() {
	waiting := leader.waiting
	leader.waiting = nil
	return waiting
}

// pending is a transaction of a round with the jobs that it stores.
type pending struct {
	tx     store.Tx
	states map[workflow.ID]workflow.State
	beat   bool
	// lessons reports that the transaction stores what was learned.
	lessons bool
}

// entries returns the number of entries of the transaction, as the store counts them.
func (item pending) entries() int {
	return len(item.tx.Conditions) + len(item.tx.Puts) + len(item.tx.Removes)
}

// prepare returns the transactions of a round. Each depends on the term.
func (leader *Coordinator) prepare(jobs []*workflow.Job, renew bool) ([]pending, error) {
	var writes []pending
	current := leader.newPending()
	size := 0
	if renew {
		beat := leader.beat
		beat.Count++
		tx, err := leader.renewal(beat)
		if err != nil {
			return nil, err
		}
		leader.beat = beat
		leader.drop(&tx, leader.need.Clock.Now())
		current.tx, current.beat = tx, true
		if now := leader.need.Clock.Now(); now.Sub(leader.lessonAt) >= lessonInterval {
			leader.lessonAt = now
			if learned, ok := leader.lessonsTx(now); ok {
				current.tx.Conditions = append(current.tx.Conditions, learned.Conditions...)
				current.tx.Puts = append(current.tx.Puts, learned.Puts...)
				current.lessons = true
			}
		}
	}
	for _, job := range jobs {
		value, err := workflow.EncodeState(job)
		if err != nil {
			return nil, fmt.Errorf("encoding job %s: %w", job.Spec.ID, err)
		}
		if current.entries()+entriesPerJob > entriesPerTx || size+len(value) > bytesPerTx {
			writes = append(writes, current)
			current, size = leader.newPending(), 0
		}
		id := job.Spec.ID
		ref := store.Ref{Table: runTable, Key: string(id)}
		current.tx.Conditions = append(current.tx.Conditions, store.Condition{Ref: ref, Version: leader.rows[id]})
		current.tx.Puts = append(current.tx.Puts, store.Put{Ref: ref, Value: value})
		current.states[id] = job.State
		size += len(value)
	}
	return append(writes, current), nil
}

func (leader *Coordinator) newPending() pending {
	return pending{
		tx:     store.Tx{Conditions: []store.Condition{{Ref: election.TermRef(), Version: leader.won.TermVersion}}},
		states: map[workflow.ID]workflow.State{},
	}
}

// renewal returns the transaction that extends the leader's lease.
func (leader *Coordinator) renewal(beat election.Heartbeat) (store.Tx, error) {
	value, err := json.Marshal(beat)
	if err != nil {
		return store.Tx{}, fmt.Errorf("encoding the beat: %w", err)
	}
	return store.Tx{
		Conditions: []store.Condition{
			{Ref: election.TermRef(), Version: leader.won.TermVersion}, {Ref: election.HeartbeatRef(), Version: leader.beatVersion},
		},
		Puts: []store.Put{{Ref: election.HeartbeatRef(), Value: value}},
	}, nil
}

// write commits a round and reports to the control loop. It runs outside the loop.
func (leader *Coordinator) write(writes []pending, orders []scheduler.Order, waiting []func()) {
	began := leader.need.Clock.Now()
	leader.counters.rounds.Inc()
	for _, item := range writes {
		sent := leader.need.Clock.Now()
		version, err := leader.settle(item.tx)
		var conflict store.ErrConflict
		if errors.As(err, &conflict) {
			leader.stepDown(fmt.Sprintf("conflict: term row has version %d, not %d", conflict.Row(election.TermRef()).Version, leader.won.TermVersion))
			return
		}
		if err != nil {
			return // The term ended.
		}
		if item.beat {
			leader.validUntil.Store(int64(sent.Add(election.Lease)))
		}
		leader.loop.Post(func() { leader.stored(item, version, sent) })
	}
	took := leader.need.Clock.Now().Sub(began)
	leader.counters.roundMillis.Update(float64(took))
	leader.post(func() {
		leader.writing, leader.roundTook = false, took
		leader.wroteAt = leader.need.Clock.Now()
		leader.finish(orders, waiting)
	})
}

// settle commits tx, however long the store takes. Error: ErrConflict, or that of the context once
// the term ended.
func (leader *Coordinator) settle(tx store.Tx) (store.Version, error) {
	logged := false
	for {
		version, err := store.CommitUntilKnown(leader.base, leader.need.Store, leader.need.Clock, tx)
		if err == nil || !store.IsErrUnavailable(err) && !store.IsErrUnknown(err) {
			if logged {
				klog.InfoS("Store regained", "Term", leader.won.Term.Number)
			}
			return version, err
		}
		if !logged && leader.base.Err() == nil {
			klog.ErrorS(err, "Store lost", "Term", leader.won.Term.Number)
		}
		logged = true
		select {
		case <-leader.need.Clock.After(feedRetry):
		case <-leader.base.Done():
			return 0, context.Cause(leader.base)
		}
	}
}

// stored takes the versions of a transaction that was applied.
func (leader *Coordinator) stored(item pending, version store.Version, sent clock.Time) {
	if item.beat {
		leader.beatVersion, leader.renewedAt = version, sent
	}
	if item.lessons {
		leader.lessonVersion = version
	}
	for id, state := range item.states {
		leader.rows[id] = version
		leader.show(id, state)
		if state.Final() {
			klog.InfoS("Job ended", "Job", id, "State", state)
			if _, known := leader.endedAt[id]; !known {
				leader.endedAt[id] = leader.need.Clock.Now()
			}
		}
	}
}

// finish sends the orders of a round and does what waited for it.
func (leader *Coordinator) finish(orders []scheduler.Order, waiting []func()) {
	leader.send(orders)
	for _, effect := range waiting {
		effect()
	}
}
