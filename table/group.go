package table

import (
	"context"
	"errors"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// offerState tells whether an offered transaction may have been sent.
type offerState int

const (
	waiting offerState = iota
	taken
	// withdrawn offers are not sent, or not sent again under another write id.
	withdrawn
)

// offer is a transaction that waits to be committed, alone or merged with others.
type offer struct {
	transaction Transaction
	// alone marks a transaction with a caller's write id, which is never merged.
	alone bool
	// state is guarded by Client.mu.
	state offerState
	// write is the id under which the offer was sent last; guarded by Client.mu.
	write ident.Write
	// since is when the offer was made.
	since  clock.Time
	answer chan answer
}

type answer struct {
	result Result
	err    error
}

// Commit applies the transaction if all its conditions hold, see Store. It resolves lost answers. If
// ctx ends after the transaction was sent, the error is ErrUnknownOutcome with the write id that
// the rows carry if it took effect.
func (client *Client) Commit(ctx context.Context, transaction Transaction) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{}, ErrUnavailable{Reason: err.Error()}
	}
	proposed := &offer{
		transaction: transaction, alone: transaction.Write != "",
		since: client.clock.Now(), answer: make(chan answer, 1),
	}
	client.mu.Lock()
	if client.shut {
		client.mu.Unlock()
		return Result{}, ErrUnavailable{Reason: "client closed"}
	}
	if len(client.pending) >= client.settings.PendingMax {
		client.mu.Unlock()
		rateRefused.Inc()
		return Result{}, ErrUnavailable{Reason: "too many transactions wait", RetryAfter: client.settings.RateWaitMillis}
	}
	client.pending = append(client.pending, proposed)
	client.mu.Unlock()
	client.stats.offers.Add(1)
	select {
	case client.offered <- struct{}{}:
	default:
	}
	select {
	case reply := <-proposed.answer:
		return reply.result, reply.err
	case <-ctx.Done():
		return client.withdraw(ctx, proposed)
	}
}

// withdraw ends the wait for an offer whose caller gave up.
func (client *Client) withdraw(ctx context.Context, proposed *offer) (Result, error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	select {
	case reply := <-proposed.answer:
		return reply.result, reply.err
	default:
	}
	proposed.state = withdrawn
	if proposed.write == "" {
		return Result{}, ErrUnavailable{Reason: ctx.Err().Error()}
	}
	return Result{}, ErrUnknownOutcome{Write: proposed.write, Reason: ctx.Err().Error()}
}

// dispatch collects offers for the group interval, waits for a free sender and for the rate limit,
// and hands over as many as can be merged. Offers that arrive during these waits join the group.
func (client *Client) dispatch() {
	defer client.drain("client closed")
	defer close(client.batches)
	for {
		select {
		case <-client.offered:
		case <-client.closed:
			return
		}
		if client.pause(client.base, client.settings.GroupMillis) != nil {
			return
		}
		for client.waiting() {
			if !client.acquire() {
				return
			}
			if !client.charge() {
				return
			}
			batch := client.takeBatch()
			if len(batch) == 0 {
				<-client.senders
				continue
			}
			client.batches <- batch
		}
	}
}

// waiting reports whether an offer waits to be sent.
func (client *Client) waiting() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return len(client.pending) > 0
}

// acquire waits for a free sender. While all of them wait for a service that does not answer, the
// offers are refused instead of waiting too. It returns false if the Client was closed.
func (client *Client) acquire() bool {
	for {
		select {
		case client.senders <- struct{}{}:
			return true
		case <-client.closed:
			return false
		case <-client.clock.After(client.settings.ProbeMillis):
			if client.breaker.isOpen() {
				client.drain("circuit breaker open")
			}
		}
	}
}

// charge waits until the rate limit permits a commit. It returns false if the Client was closed.
func (client *Client) charge() bool {
	for !client.breaker.isOpen() {
		wait, ok := client.writes.take(client.clock.Now())
		if client.pause(client.base, wait) != nil {
			return false
		}
		if ok {
			return true
		}
		client.refuseLate()
	}
	return client.base.Err() == nil
}

// refuseLate refuses the offers that waited longer than the longest wait for the rate limit.
func (client *Client) refuseLate() {
	client.mu.Lock()
	defer client.mu.Unlock()
	now := client.clock.Now()
	rest := client.pending[:0]
	for _, proposed := range client.pending {
		if now.Sub(proposed.since) <= client.settings.RateWaitMillis {
			rest = append(rest, proposed)
			continue
		}
		rateRefused.Inc()
		proposed.state = withdrawn
		proposed.answer <- answer{err: ErrUnavailable{Reason: "own rate limit", RetryAfter: client.settings.RateWaitMillis}}
	}
	clear(client.pending[len(rest):])
	client.pending = rest
}

// drain refuses the offers that were not sent yet.
func (client *Client) drain(reason string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, proposed := range client.pending {
		proposed.state = withdrawn
		proposed.answer <- answer{err: ErrUnavailable{Reason: reason, RetryAfter: client.settings.ProbeMillis}}
	}
	client.pending = nil
}

func (client *Client) finish(batch []*offer, reply answer) {
	for _, proposed := range batch {
		proposed.answer <- reply
	}
}

// takeBatch removes the longest-waiting offer and those that can be merged with it.
func (client *Client) takeBatch() []*offer {
	client.mu.Lock()
	defer client.mu.Unlock()
	group := newMerger(client.settings)
	rest := client.pending[:0]
	var batch []*offer
	for _, proposed := range client.pending {
		switch {
		case proposed.state == withdrawn:
		case group.add(proposed):
			proposed.state = taken
			batch = append(batch, proposed)
		default:
			rest = append(rest, proposed)
		}
	}
	clear(client.pending[len(rest):])
	client.pending = rest
	return batch
}

// send commits a batch. A merged transaction that conflicts is split: the parts that the conflict
// rules out are answered with it, others that depend on the row in conflict are committed
// separately, and the rest is merged again. One that is too large is split in halves. Charged tells
// that the first commit is charged against the rate limit already.
func (client *Client) send(batch []*offer, charged bool) {
	for len(batch) > 1 {
		write := client.nextWrite()
		batch = client.named(batch, write)
		if len(batch) < 2 {
			break
		}
		merged := merge(batch)
		merged.Write = write
		result, err := client.commit(client.base, merged, charged)
		charged = false
		switch {
		case err == nil:
			client.stats.merged.Add(uint64(len(batch)))
			client.stats.saved.Add(uint64(len(batch) - 1))
			for _, proposed := range batch {
				proposed.answer <- answer{result: proposed.part(result)}
			}
			return
		case IsErrTooLarge(err):
			client.stats.splits.Add(1)
			client.send(batch[:len(batch)/2], false)
			batch = batch[len(batch)/2:]
		case IsErrConflict(err):
			client.stats.splits.Add(1)
			batch = client.split(batch, err)
		default:
			client.finish(batch, answer{err: err})
			return
		}
	}
	for _, proposed := range batch {
		client.sendAlone(proposed, charged)
	}
}

// split ends the parts of a merged transaction that depend on the row in conflict and returns the
// others.
func (client *Client) split(batch []*offer, err error) []*offer {
	var conflict ErrConflict
	errors.As(err, &conflict)
	var rest, apart []*offer
	for _, proposed := range batch {
		required, depends := proposed.requires(conflict.Key)
		switch {
		case depends && required < conflict.Have:
			// Revisions only rise, so this part can never commit.
			conflict.Want = required
			proposed.answer <- answer{err: conflict}
		case depends:
			apart = append(apart, proposed)
		default:
			rest = append(rest, proposed)
		}
	}
	if len(rest) == len(batch) {
		// The error names no row of the batch, so nothing tells the parts from each other.
		apart, rest = rest, nil
	}
	for _, proposed := range apart {
		client.sendAlone(proposed, false)
	}
	return rest
}

func (client *Client) sendAlone(proposed *offer, charged bool) {
	transaction := proposed.transaction
	if transaction.Write == "" {
		transaction.Write = client.nextWrite()
	}
	if len(client.named([]*offer{proposed}, transaction.Write)) == 0 {
		return
	}
	result, err := client.commit(client.base, transaction, charged)
	proposed.answer <- answer{result: result, err: err}
}

// named records the write id under which the offers are sent next, and returns those that were not
// withdrawn. A caller that gave up was told the id of the last send, so no other may be used.
func (client *Client) named(batch []*offer, write ident.Write) []*offer {
	client.mu.Lock()
	defer client.mu.Unlock()
	kept := make([]*offer, 0, len(batch))
	for _, proposed := range batch {
		if proposed.state == withdrawn {
			continue
		}
		proposed.write = write
		kept = append(kept, proposed)
	}
	return kept
}
