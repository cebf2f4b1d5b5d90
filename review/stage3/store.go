package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, as the wire has it.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     int64  `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type rowRef struct{ table, part, key string }

func (row row) ref() rowRef { return rowRef{row.Table, row.Part, row.Key} }

type txForm struct {
	ExpectedRevision, Puts, Remove []row
}

// rowStore is a stand-in of the platform's store as PROTOCOL.md describes it.
type rowStore struct {
	mu      sync.Mutex
	rows    map[rowRef]row
	history []row
	version int64
	changed chan struct{}
	begun   time.Time
}

func newRowStore() *rowStore {
	return &rowStore{rows: map[rowRef]row{}, changed: make(chan struct{}), begun: time.Now()}
}

// put writes a row as the operator does.
func (store *rowStore) put(table, part, key string, value any) {
	data, _ := json.Marshal(value)
	store.mu.Lock()
	defer store.mu.Unlock()
	store.apply(txForm{Puts: []row{{Table: table, Part: part, Key: key, Value: data}}})
}

// apply carries out a transaction and returns the rows of its conditions if they do not hold.
func (store *rowStore) apply(form txForm) (int64, []row, bool) {
	holds := true
	var present []row
	for _, condition := range form.ExpectedRevision {
		current, ok := store.rows[condition.ref()]
		if ok {
			present = append(present, current)
		}
		holds = holds && current.Ver == condition.Ver
	}
	if !holds {
		return 0, present, false
	}
	store.version++
	for _, put := range form.Puts {
		put.Ver, put.Deleted = store.version, false
		store.rows[put.ref()] = put
		store.history = append(store.history, put)
	}
	for _, removed := range form.Remove {
		if _, ok := store.rows[removed.ref()]; !ok {
			continue
		}
		delete(store.rows, removed.ref())
		removed.Ver, removed.Deleted, removed.Value = store.version, true, nil
		store.history = append(store.history, removed)
	}
	close(store.changed)
	store.changed = make(chan struct{})
	return store.version, nil, true
}

func (store *rowStore) reply(writer http.ResponseWriter, status int, answer map[string]any) {
	answer["NowMs"] = time.Since(store.begun).Milliseconds() + 1
	data, _ := json.Marshal(answer)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

// ServeHTTP implements http.Handler.
func (store *rowStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.serveWith(writer, request, func(value []byte) []byte { return value })
}

// serveWith serves a call, with each value that is read changed by the function.
func (store *rowStore) serveWith(writer http.ResponseWriter, request *http.Request, change func([]byte) []byte) {
	query := request.URL.Query()
	switch request.URL.Path {
	case "/api/rows-tx":
		var form txForm
		if err := json.NewDecoder(request.Body).Decode(&form); err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(4 * time.Millisecond)
		store.mu.Lock()
		version, present, ok := store.apply(form)
		latest := store.version
		store.mu.Unlock()
		if !ok {
			store.reply(writer, http.StatusPreconditionFailed, map[string]any{"rows": present, "Ver": latest})
			return
		}
		store.reply(writer, http.StatusOK, map[string]any{"Ver": version})
	case "/api/rows-get":
		store.mu.Lock()
		var rows []row
		for _, item := range store.rows {
			if item.Table == query.Get("Table") && item.Part == query.Get("part") && item.Key >= query.Get("From") &&
				(query.Get("To") == "" || item.Key < query.Get("To")) {
				item.Value = change(item.Value)
				rows = append(rows, item)
			}
		}
		latest := store.version
		store.mu.Unlock()
		slices.SortFunc(rows, func(left, right row) int {
			if left.Key < right.Key {
				return -1
			}
			return 1
		})
		limit, _ := strconv.Atoi(query.Get("Limit"))
		if limit <= 0 || limit > 500 {
			limit = 500
		}
		more := len(rows) > limit
		store.reply(writer, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "HasMore": more, "Ver": latest})
	case "/api/rows-feed":
		after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		deadline := time.After(time.Duration(wait) * time.Millisecond)
		for {
			store.mu.Lock()
			var rows []row
			for _, item := range store.history {
				if item.Ver > after && item.Table == query.Get("Table") {
					rows = append(rows, item)
				}
			}
			latest, changed := store.version, store.changed
			store.mu.Unlock()
			if len(rows) > 0 {
				store.reply(writer, http.StatusOK, map[string]any{"rows": rows, "Ver": latest})
				return
			}
			select {
			case <-changed:
			case <-deadline:
				store.reply(writer, http.StatusOK, map[string]any{"rows": []row{}, "Ver": latest})
				return
			case <-request.Context().Done():
				return
			}
		}
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}
