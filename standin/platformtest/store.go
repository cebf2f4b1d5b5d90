// Package platformtest is a stand-in of the platform that deployments run on, for tests. It holds the store of
// rows and the runners, and can inject the faults that they may have.
package platformtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is the way in which a call fails.
type Fault int

// Faults of calls.
const (
	// None carries the call out and responds.
	None Fault = iota
	// Busy responds 503 without carrying the call out.
	Busy
	// Reset breaks the connection without carrying the call out.
	Reset
	// Lost carries the call out and breaks the connection instead of responding.
	Lost
	// Silent neither carries the call out nor responds until the client gives up.
	Silent
	// Late carries the call out after the client has given up, when ReleaseLate is called.
	Late
)

// intercept handles a call that the fault keeps from being carried out. It returns false if the call must be
// carried out.
func (fault Fault) intercept(writer http.ResponseWriter, request *http.Request) bool {
	switch fault {
	case Busy:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		// The server detects that the client has disconnected only after the body is read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		return true
	case None, Lost, Late:
	}
	return false
}

// rowKey identifies a row.
type rowKey struct{ table, partition, key string }

// storedRow is a row as the protocol encodes it. In a condition, Ver is the version that the row must have, where
// 0 means that the row must not exist.
type storedRow struct {
	Table     string
	Partition string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       int64
	Deleted   bool `json:",omitempty"`
}

// Store is a stand-in of the platform's store of rows. It implements http.Handler and is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	history []storedRow
	// compactedVersion is the version up to which the history was removed.
	compactedVersion int64
	version          int64
	changed          chan struct{}
	startedAt        time.Time
	fault            func(request *http.Request) Fault
	calls            int
	// transactionTime is how long a partition takes for each transaction.
	transactionTime time.Duration
	// busyUntil is when each partition has applied its queued transactions.
	busyUntil map[string]time.Time
	// late holds the bodies of the transactions that are carried out late.
	late [][]byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]storedRow{}, changed: make(chan struct{}), startedAt: time.Now(), busyUntil: map[string]time.Time{}}
}

// SetTransactionTime sets how long a partition takes for each transaction. It applies them one after another.
func (store *Store) SetTransactionTime(duration time.Duration) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.transactionTime = duration
}

// maxRowBytes limits the value of a row.
const maxRowBytes = 64 << 10

// maxTransactionRows limits the rows of a transaction, conditions included.
const maxTransactionRows = 100

// maxQueueTime limits the wait of a transaction at its partition; one that would wait longer is refused.
const maxQueueTime = time.Second

// awaitTurn waits for the turn of a transaction at its partition. It returns false at once if the partition's
// queue is full.
func (store *Store) awaitTurn(partition string) bool {
	store.mu.Lock()
	now := time.Now()
	begin := store.busyUntil[partition]
	if begin.Before(now) {
		begin = now
	}
	if begin.Sub(now) > maxQueueTime {
		store.mu.Unlock()
		return false
	}
	end := begin.Add(store.transactionTime)
	store.busyUntil[partition] = end
	store.mu.Unlock()
	time.Sleep(time.Until(end))
	return true
}

// SetFault makes fault decide how each call fails from now on; nil means that no call fails.
func (store *Store) SetFault(fault func(request *http.Request) Fault) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.fault = fault
}

// CompactHistory removes the history, so that change feeds from an older version end with 410.
func (store *Store) CompactHistory() {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.history, store.compactedVersion = nil, store.version
}

// Put writes a row as an operator does, without conditions and faults.
func (store *Store) Put(table, partition, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.apply([]storedRow{{Table: table, Partition: partition, Key: key, Value: value}}, nil)
}

// Remove removes a row as an operator does, without conditions and faults.
func (store *Store) Remove(table, partition, key string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.apply(nil, []storedRow{{Table: table, Partition: partition, Key: key}})
}

// Row returns the value of a row and whether it exists.
func (store *Store) Row(table, partition, key string) ([]byte, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	row, ok := store.rows[rowKey{table, partition, key}]
	return row.Value, ok
}

// RowCount returns the number of rows of a table.
func (store *Store) RowCount(table string) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	count := 0
	for key := range store.rows {
		if key.table == table {
			count++
		}
	}
	return count
}

// apply writes and removes rows as one transaction. The caller must hold the lock.
func (store *Store) apply(puts, removes []storedRow) {
	store.version++
	for _, row := range puts {
		row.Ver = store.version
		store.rows[rowKey{row.Table, row.Partition, row.Key}] = row
		store.history = append(store.history, row)
	}
	for _, row := range removes {
		delete(store.rows, rowKey{row.Table, row.Partition, row.Key})
		row.Ver, row.Deleted, row.Value = store.version, true, nil
		store.history = append(store.history, row)
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.mu.Lock()
	store.calls++
	fault := None
	if store.fault != nil {
		fault = store.fault(request)
	}
	store.mu.Unlock()
	if fault.intercept(writer, request) {
		return
	}
	if fault == Late {
		store.holdBack(request)
		return
	}
	status, body := store.answer(request)
	if fault == Lost {
		panic(http.ErrAbortHandler)
	}
	reply(writer, status, body)
}

// holdBack keeps a transaction for ReleaseLate and waits until its client gives up.
func (store *Store) holdBack(request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	store.mu.Lock()
	store.late = append(store.late, body)
	store.mu.Unlock()
	<-request.Context().Done()
}

// ReleaseLate carries out the transactions that were held back, and returns how many of them were applied.
func (store *Store) ReleaseLate() int {
	store.mu.Lock()
	bodies := store.late
	store.late = nil
	store.mu.Unlock()
	applied := 0
	for _, body := range bodies {
		if status, _ := store.transact(bytes.NewReader(body)); status == http.StatusOK {
			applied++
		}
	}
	return applied
}

// LateCount returns the number of transactions that are held back.
func (store *Store) LateCount() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return len(store.late)
}

func (store *Store) answer(request *http.Request) (int, any) {
	switch request.URL.Path {
	case "/api/rows-tx":
		return store.transact(request.Body)
	case "/api/rows-get":
		return store.list(request)
	case "/api/rows-feed":
		return store.feed(request)
	default:
		return http.StatusNotFound, struct{}{}
	}
}

// rowsAnswer is the body of every response about rows.
type rowsAnswer struct {
	Rows    []storedRow `json:"rows"`
	HasMore bool
	Ver     int64
	NowMs   int64
}

func (store *Store) newAnswer(rows []storedRow) rowsAnswer {
	return rowsAnswer{Rows: rows, Ver: store.version, NowMs: time.Since(store.startedAt).Milliseconds() + 1}
}

func (store *Store) transact(body io.Reader) (int, any) {
	var form struct{ ExpectedRevision, Puts, Remove []storedRow }
	if err := json.NewDecoder(body).Decode(&form); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	rows := slices.Concat(form.ExpectedRevision, form.Puts, form.Remove)
	if len(rows) > maxTransactionRows {
		return http.StatusBadRequest, struct{}{}
	}
	for _, row := range rows {
		if row.Partition != rows[0].Partition || len(row.Value) > maxRowBytes {
			return http.StatusBadRequest, struct{}{}
		}
	}
	if len(rows) > 0 && !store.awaitTurn(rows[0].Partition) {
		return http.StatusTooManyRequests, struct{}{}
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	conditionsHold := true
	var currentRows []storedRow
	for _, expected := range form.ExpectedRevision {
		row, ok := store.rows[rowKey{expected.Table, expected.Partition, expected.Key}]
		if ok {
			currentRows = append(currentRows, row)
		}
		conditionsHold = conditionsHold && row.Ver == expected.Ver
	}
	if !conditionsHold {
		return http.StatusPreconditionFailed, store.newAnswer(currentRows)
	}
	store.apply(form.Puts, form.Remove)
	return http.StatusOK, store.newAnswer(nil)
}

func (store *Store) list(request *http.Request) (int, any) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("Limit"))
	if err != nil {
		limit = 500
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	var rows []storedRow
	for key, row := range store.rows {
		if key.table == query.Get("Table") && key.partition == query.Get("part") && key.key >= query.Get("From") &&
			(query.Get("To") == "" || key.key < query.Get("To")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(left, right storedRow) int { return strings.Compare(left.Key, right.Key) })
	answer := store.newAnswer(rows)
	if len(rows) > limit {
		answer.Rows, answer.HasMore = rows[:limit], true
	}
	return http.StatusOK, answer
}

func (store *Store) feed(request *http.Request) (int, any) {
	query := request.URL.Query()
	after, err := strconv.ParseInt(query.Get("After"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	wait, err := strconv.Atoi(query.Get("WaitMs"))
	if err != nil {
		wait = 0
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mu.Lock()
		if after < store.compactedVersion {
			store.mu.Unlock()
			return http.StatusGone, struct{}{}
		}
		var rows []storedRow
		for _, row := range store.history {
			if row.Ver > after && row.Table == query.Get("Table") {
				rows = append(rows, row)
			}
		}
		answer, changed := store.newAnswer(rows), store.changed
		store.mu.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, answer
		case <-request.Context().Done():
			return http.StatusOK, answer
		}
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data) // The client may have disconnected.
}
