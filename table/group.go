package table

import (
	"context"
	"errors"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// requestState is the state of a commitRequest.
type requestState int

const (
	waiting requestState = iota
	inFlight
	// withdrawn requests are not sent, or not sent again with another write id.
	withdrawn
)

// commitRequest is a transaction that a caller asked to commit, alone or merged with others.
type commitRequest struct {
	transaction Transaction
	// alone is set for a transaction with a caller's write id, which is never merged.
	alone bool
	// state is guarded by Client.mu.
	state requestState
	// write is the write id of the last attempt to send the request; guarded by Client.mu.
	write ident.Write
	// requestedAt is when the caller made the request.
	requestedAt clock.Time
	answer      chan answer
}

type answer struct {
	result Result
	err    error
}

// Commit implements Store. It resolves lost responses. If ctx ends after the transaction was sent, the
// error is ErrUnknownOutcome with the write id that the rows carry if the transaction took effect.
func (client *Client) Commit(ctx context.Context, transaction Transaction) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{}, ErrUnavailable{Reason: err.Error()}
	}
	request := &commitRequest{
		transaction: transaction, alone: transaction.Write != "",
		requestedAt: client.clock.Now(), answer: make(chan answer, 1),
	}
	client.mu.Lock()
	if client.isClosed {
		client.mu.Unlock()
		return Result{}, ErrUnavailable{Reason: "client closed"}
	}
	if len(client.pending) >= client.settings.PendingMax {
		client.mu.Unlock()
		rateRefused.Inc()
		return Result{}, ErrUnavailable{Reason: "too many transactions wait", RetryAfter: client.settings.RateWaitMillis}
	}
	client.pending = append(client.pending, request)
	client.mu.Unlock()
	client.stats.requests.Add(1)
	select {
	case client.wake <- struct{}{}:
	default:
	}
	select {
	case reply := <-request.answer:
		return reply.result, reply.err
	case <-ctx.Done():
		return client.withdraw(ctx, request)
	}
}

// withdraw withdraws the request of a caller whose context ended, and returns the result of Commit.
func (client *Client) withdraw(ctx context.Context, request *commitRequest) (Result, error) {
	client.mu.Lock()
	defer client.mu.Unlock()
	select {
	case reply := <-request.answer:
		return reply.result, reply.err
	default:
	}
	request.state = withdrawn
	if request.write == "" {
		return Result{}, ErrUnavailable{Reason: ctx.Err().Error()}
	}
	return Result{}, ErrUnknownOutcome{Write: request.write, Reason: ctx.Err().Error()}
}

// dispatch collects requests for GroupMillis, waits for a free sender and for the rate limit, and hands
// as many as can be merged to the sender. Requests that arrive during these waits can be merged too.
func (client *Client) dispatch() {
	defer client.refusePending("client closed")
	defer close(client.batches)
	for {
		select {
		case <-client.wake:
		case <-client.closed:
			return
		}
		if client.pause(client.baseCtx, client.settings.GroupMillis) != nil {
			return
		}
		for client.hasPending() {
			if !client.acquireSender() {
				return
			}
			if !client.awaitRate() {
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

// hasPending reports whether a request waits to be sent.
func (client *Client) hasPending() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return len(client.pending) > 0
}

// acquireSender waits for a free sender. If all senders wait for a service that does not respond, the
// pending requests are refused. It returns false if the Client was closed.
func (client *Client) acquireSender() bool {
	for {
		select {
		case client.senders <- struct{}{}:
			return true
		case <-client.closed:
			return false
		case <-client.clock.After(client.settings.ProbeMillis):
			if client.breaker.isOpen() {
				client.refusePending("circuit breaker open")
			}
		}
	}
}

// awaitRate waits until the rate limit permits a commit. During an outage it returns at once, because
// the breaker decides then. It returns false if the Client was closed.
func (client *Client) awaitRate() bool {
	for !client.breaker.isOpen() {
		wait, ok := client.writes.reserve(client.clock.Now())
		if client.pause(client.baseCtx, wait) != nil {
			return false
		}
		if ok {
			return true
		}
		client.refuseOverdue()
	}
	return client.baseCtx.Err() == nil
}

// refuseOverdue refuses the requests that have waited longer than RateWaitMillis.
func (client *Client) refuseOverdue() {
	client.mu.Lock()
	defer client.mu.Unlock()
	now := client.clock.Now()
	remaining := client.pending[:0]
	for _, request := range client.pending {
		if now.Sub(request.requestedAt) <= client.settings.RateWaitMillis {
			remaining = append(remaining, request)
			continue
		}
		rateRefused.Inc()
		request.state = withdrawn
		request.answer <- answer{err: ErrUnavailable{Reason: "own rate limit", RetryAfter: client.settings.RateWaitMillis}}
	}
	clear(client.pending[len(remaining):])
	client.pending = remaining
}

// refusePending refuses the requests that have not been sent yet.
func (client *Client) refusePending(reason string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, request := range client.pending {
		request.state = withdrawn
		request.answer <- answer{err: ErrUnavailable{Reason: reason, RetryAfter: client.settings.ProbeMillis}}
	}
	client.pending = nil
}

func (client *Client) replyAll(batch []*commitRequest, reply answer) {
	for _, request := range batch {
		request.answer <- reply
	}
}

// takeBatch removes the oldest pending request and those that can be merged with it.
func (client *Client) takeBatch() []*commitRequest {
	client.mu.Lock()
	defer client.mu.Unlock()
	merger := newMerger(client.settings)
	remaining := client.pending[:0]
	var batch []*commitRequest
	for _, request := range client.pending {
		switch {
		case request.state == withdrawn:
		case merger.add(request):
			request.state = inFlight
			batch = append(batch, request)
		default:
			remaining = append(remaining, request)
		}
	}
	clear(client.pending[len(remaining):])
	client.pending = remaining
	return batch
}

// commitBatch commits a batch. If the merged transaction conflicts, the requests that can never commit
// get the conflict, others with a condition on the row in conflict are committed separately, and the
// rest is merged again. A merged transaction that is too large is split into halves. charged means that
// the first commit has already been charged to the rate limit.
func (client *Client) commitBatch(batch []*commitRequest, charged bool) {
	for len(batch) > 1 {
		write := client.newWriteID()
		batch = client.assignWriteID(batch, write)
		if len(batch) < 2 {
			break
		}
		merged := merge(batch)
		merged.Write = write
		result, err := client.commit(client.baseCtx, merged, charged)
		charged = false
		switch {
		case err == nil:
			client.stats.merged.Add(uint64(len(batch)))
			client.stats.saved.Add(uint64(len(batch) - 1))
			for _, request := range batch {
				request.answer <- answer{result: request.resultOf(result)}
			}
			return
		case IsErrTooLarge(err):
			client.stats.splits.Add(1)
			client.commitBatch(batch[:len(batch)/2], false)
			batch = batch[len(batch)/2:]
		case IsErrConflict(err):
			client.stats.splits.Add(1)
			batch = client.splitOnConflict(batch, err)
		default:
			client.replyAll(batch, answer{err: err})
			return
		}
	}
	for _, request := range batch {
		client.commitAlone(request, charged)
	}
}

// splitOnConflict answers the requests of a merged transaction that have a condition on the row in
// conflict, and returns the others.
func (client *Client) splitOnConflict(batch []*commitRequest, err error) []*commitRequest {
	var conflict ErrConflict
	errors.As(err, &conflict)
	var remaining, separate []*commitRequest
	for _, request := range batch {
		required, depends := request.requires(conflict.Key)
		switch {
		case depends && required < conflict.Have:
			// Revisions only increase, so this request can never be committed.
			conflict.Want = required
			request.answer <- answer{err: conflict}
		case depends:
			separate = append(separate, request)
		default:
			remaining = append(remaining, request)
		}
	}
	if len(remaining) == len(batch) {
		// No request has a condition on the row that the error names, so each is committed alone.
		separate, remaining = remaining, nil
	}
	for _, request := range separate {
		client.commitAlone(request, false)
	}
	return remaining
}

func (client *Client) commitAlone(request *commitRequest, charged bool) {
	transaction := request.transaction
	if transaction.Write == "" {
		transaction.Write = client.newWriteID()
	}
	if len(client.assignWriteID([]*commitRequest{request}, transaction.Write)) == 0 {
		return
	}
	result, err := client.commit(client.baseCtx, transaction, charged)
	request.answer <- answer{result: result, err: err}
}

// assignWriteID records the write id with which the requests are sent next, and returns the requests that
// were not withdrawn. A caller that gave up has received the last write id in ErrUnknownOutcome, so its
// request must not be sent with another one.
func (client *Client) assignWriteID(batch []*commitRequest, write ident.Write) []*commitRequest {
	client.mu.Lock()
	defer client.mu.Unlock()
	active := make([]*commitRequest, 0, len(batch))
	for _, request := range batch {
		if request.state == withdrawn {
			continue
		}
		request.write = write
		active = append(active, request)
	}
	return active
}
