package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages give them.
const (
	rowBytes        = 65536
	transactionRows = 100
	transactionSize = 1 << 20
	transactionTime = 5 * time.Millisecond
	pageRows        = 500
	historyTime     = 20 * time.Second
)

type rowKey struct{ table, part, key string }

// storedRow is a row as the protocol encodes it.
type storedRow struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     int64
	Deleted bool `json:",omitempty"`
}

// store is a stand-in of the platform's store of rows. It is linearizable and loses nothing.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	history []storedRow
	// writtenAt holds when each entry of the history was written, and compacted the version up to which it was dropped.
	writtenAt []time.Time
	compacted int64
	version   int64
	changed   chan struct{}
	startedAt time.Time
	// refused counts the transactions that were refused because a value is longer than rowBytes.
	refused int
	record  *record
	// largest is the size of the longest value that was sent.
	largest int
	// isDown makes the store answer 503 to all calls.
	isDown bool
}

func newStore(record *record) *store {
	return &store{rows: map[rowKey]storedRow{}, changed: make(chan struct{}), startedAt: time.Now(), record: record}
}

// setDown makes the store answer 503 to all calls, or serve them again.
func (store *store) setDown(isDown bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.isDown = isDown
}

// handlerFor returns the handler of the calls of one node.
func (store *store) handlerFor(node string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		store.mu.Lock()
		isDown := store.isDown
		store.mu.Unlock()
		if isDown {
			_, _ = io.Copy(io.Discard, request.Body)
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		status, body := store.answer(node, request)
		reply(writer, status, body)
	})
}

// put writes a row as the operator does.
func (store *store) put(table, key string, value []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.apply([]storedRow{{Table: table, Key: key, Value: value}}, nil)
}

// get returns the value of a row.
func (store *store) get(table, part, key string) ([]byte, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	row, ok := store.rows[rowKey{table, part, key}]
	return row.Value, ok
}

func (store *store) refusals() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.refused
}

func (store *store) apply(puts, removes []storedRow) {
	store.version++
	for _, row := range puts {
		row.Ver = store.version
		store.rows[rowKey{row.Table, row.Part, row.Key}] = row
		store.history = append(store.history, row)
	}
	for _, row := range removes {
		delete(store.rows, rowKey{row.Table, row.Part, row.Key})
		row.Ver, row.Deleted, row.Value = store.version, true, nil
		store.history = append(store.history, row)
	}
	now := time.Now()
	for len(store.writtenAt) < len(store.history) {
		store.writtenAt = append(store.writtenAt, now)
	}
	dropped := 0
	for dropped < len(store.history) && now.Sub(store.writtenAt[dropped]) > historyTime {
		store.compacted = store.history[dropped].Ver
		dropped++
	}
	if dropped > 0 {
		store.history, store.writtenAt = slices.Clone(store.history[dropped:]), slices.Clone(store.writtenAt[dropped:])
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows    []storedRow `json:"rows"`
	HasMore bool
	Ver     int64
	NowMs   int64
}

func (store *store) newAnswer(rows []storedRow) rowsAnswer {
	return rowsAnswer{Rows: rows, Ver: store.version, NowMs: time.Since(store.startedAt).Milliseconds() + 1}
}

func (store *store) answer(node string, request *http.Request) (int, any) {
	switch request.URL.Path {
	case "/api/rows-tx":
		return store.transact(node, request)
	case "/api/rows-get":
		return store.list(request)
	case "/api/rows-feed":
		return store.feed(request)
	default:
		return http.StatusNotFound, struct{}{}
	}
}

func (store *store) transact(node string, request *http.Request) (int, any) {
	data, err := io.ReadAll(request.Body)
	if err != nil || len(data) > transactionSize {
		return http.StatusBadRequest, struct{}{}
	}
	var form struct{ ExpectedRevision, Puts, Remove []storedRow }
	if err := json.Unmarshal(data, &form); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	rows := slices.Concat(form.ExpectedRevision, form.Puts, form.Remove)
	if len(rows) > transactionRows {
		return http.StatusBadRequest, struct{}{}
	}
	for _, row := range rows {
		if row.Part != rows[0].Part {
			return http.StatusBadRequest, struct{}{}
		}
	}
	for _, row := range form.Puts {
		if row.Table == "op" || row.Table == "servers" {
			return http.StatusForbidden, struct{}{}
		}
		store.mu.Lock()
		store.largest = max(store.largest, len(row.Value))
		store.mu.Unlock()
		if len(row.Value) > rowBytes {
			store.mu.Lock()
			store.refused++
			first := store.refused == 1
			store.mu.Unlock()
			if first {
				store.record.printf("store: %s: 400, the value of row %s/%s has %d bytes; RowBytes is %d (further ones are counted only)", node, row.Table, row.Key, len(row.Value), rowBytes)
			}
			return http.StatusBadRequest, struct{}{}
		}
	}
	time.Sleep(transactionTime)
	store.mu.Lock()
	defer store.mu.Unlock()
	holds := true
	var current []storedRow
	for _, expected := range form.ExpectedRevision {
		row, ok := store.rows[rowKey{expected.Table, expected.Part, expected.Key}]
		if ok {
			current = append(current, row)
		}
		holds = holds && row.Ver == expected.Ver
	}
	if !holds {
		return http.StatusPreconditionFailed, store.newAnswer(current)
	}
	store.apply(form.Puts, form.Remove)
	return http.StatusOK, store.newAnswer(nil)
}

func (store *store) list(request *http.Request) (int, any) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("Limit"))
	if err != nil || limit > pageRows {
		limit = pageRows
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	var rows []storedRow
	for key, row := range store.rows {
		if key.table == query.Get("Table") && key.part == query.Get("part") && key.key >= query.Get("From") &&
			(query.Get("To") == "" || key.key < query.Get("To")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(left, right storedRow) int { return strings.Compare(left.Key, right.Key) })
	size := 0
	for position, row := range rows {
		size += len(row.Value)*4/3 + len(row.Key) + 100
		if position == limit || position > 0 && size > transactionSize {
			answer := store.newAnswer(rows[:position])
			answer.HasMore = true
			return http.StatusOK, answer
		}
	}
	return http.StatusOK, store.newAnswer(rows)
}

func (store *store) feed(request *http.Request) (int, any) {
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
		if after < store.compacted {
			store.mu.Unlock()
			return http.StatusGone, struct{}{}
		}
		var rows []storedRow
		first, _ := slices.BinarySearchFunc(store.history, after+1, func(row storedRow, version int64) int { return int(row.Ver - version) })
		for _, row := range store.history[first:] {
			if row.Table == query.Get("Table") {
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
	_, _ = writer.Write(data)
}
