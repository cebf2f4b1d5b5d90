package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row as the store's protocol encodes it.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     int64
	Deleted bool `json:",omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	started time.Time
	// busy holds until when each part applies its transactions, one after another.
	busy map[string]time.Time
}

const transactionTime = 5 * time.Millisecond

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now(), busy: map[string]time.Time{}}
}

func (s *store) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	return nil
}

// put writes a row as the operator does.
func (s *store) put(table, part, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Part: part, Key: key, Value: data}}, nil)
}

// get returns the value of a row.
func (s *store) get(table, part, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.rows[rowKey{table, part, key}]
	return found.Value, ok
}

func (s *store) apply(puts, removes []row) {
	s.version++
	for _, item := range puts {
		item.Ver = s.version
		s.rows[rowKey{item.Table, item.Part, item.Key}] = item
		s.history = append(s.history, item)
	}
	for _, item := range removes {
		delete(s.rows, rowKey{item.Table, item.Part, item.Key})
		item.Ver, item.Deleted, item.Value = s.version, true, nil
		s.history = append(s.history, item)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool
	Ver     int64
	NowMs   int64
}

func (s *store) answer(rows []row) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{Rows: rows, Ver: s.version, NowMs: time.Since(s.started).Milliseconds() + 1}
}

func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	status, result := s.carryOut(request, body)
	writeJSON(writer, status, result)
}

func (s *store) carryOut(request *http.Request, body []byte) (int, any) {
	switch request.URL.Path {
	case "/api/rows-tx":
		return s.transact(body)
	case "/api/rows-get":
		return s.list(request)
	case "/api/rows-feed":
		return s.feed(request)
	}
	return http.StatusNotFound, struct{}{}
}

func (s *store) transact(body []byte) (int, any) {
	var form struct{ ExpectedRevision, Puts, Remove []row }
	if json.Unmarshal(body, &form) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	all := append(append(append([]row{}, form.ExpectedRevision...), form.Puts...), form.Remove...)
	if len(all) == 0 || len(all) > 100 {
		return http.StatusBadRequest, struct{}{}
	}
	for _, item := range all {
		if item.Part != all[0].Part || len(item.Value) > 65536 {
			return http.StatusBadRequest, struct{}{}
		}
	}
	for _, item := range append(append([]row{}, form.Puts...), form.Remove...) {
		if item.Table == "op" || item.Table == "servers" {
			return http.StatusForbidden, struct{}{}
		}
	}
	s.mu.Lock()
	begin := time.Now()
	if s.busy[all[0].Part].After(begin) {
		begin = s.busy[all[0].Part]
	}
	end := begin.Add(transactionTime)
	s.busy[all[0].Part] = end
	s.mu.Unlock()
	time.Sleep(time.Until(end))
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []row
	for _, expected := range form.ExpectedRevision {
		found, ok := s.rows[rowKey{expected.Table, expected.Part, expected.Key}]
		if ok {
			current = append(current, found)
		}
		holds = holds && found.Ver == expected.Ver
	}
	if !holds {
		return http.StatusPreconditionFailed, s.answer(current)
	}
	s.apply(form.Puts, form.Remove)
	return http.StatusOK, s.answer(nil)
}

func (s *store) list(request *http.Request) (int, any) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("Limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for key, item := range s.rows {
		if key.table == query.Get("Table") && key.part == query.Get("part") && key.key >= query.Get("From") && (query.Get("To") == "" || key.key < query.Get("To")) {
			rows = append(rows, item)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	if from, to, ok := strings.Cut(request.Header.Get("X-Rewrite"), " "); ok {
		for position := range rows {
			rows[position].Value = bytes.ReplaceAll(rows[position].Value, []byte(from), []byte(to))
		}
	}
	answer := s.answer(rows)
	answer.HasMore = more
	return http.StatusOK, answer
}

func (s *store) feed(request *http.Request) (int, any) {
	query := request.URL.Query()
	after, err := strconv.ParseInt(query.Get("After"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, item := range s.history {
			if item.Ver > after && item.Table == query.Get("Table") {
				rows = append(rows, item)
			}
		}
		answer, changed := s.answer(rows), s.changed
		s.mu.Unlock()
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

func writeJSON(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}
