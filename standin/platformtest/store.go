// Package platformtest is a stand-in of the platform that deployments run on: its store of rows and its
// runners, with the faults that they may show. It exists for tests.
package platformtest

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

// Fault is how a call fails.
type Fault int

// Faults of calls.
const (
	// None: the call is carried out and answered.
	None Fault = iota
	// Busy: 503, nothing was done.
	Busy
	// Reset: the connection breaks, nothing was done.
	Reset
	// Lost: the call is carried out and its connection breaks.
	Lost
	// Silent: the call gets no answer until its caller gives up, and is not carried out.
	Silent
)

// prevents reports whether the call must not be carried out, and answers it then as the fault says.
func (fault Fault) prevents(writer http.ResponseWriter, request *http.Request) bool {
	switch fault {
	case Busy:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		// A server notices that its caller left only once the body is read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		return true
	case None, Lost:
	}
	return false
}

// rowKey names a row.
type rowKey struct{ table, part, key string }

// storedRow is a row in the form of the protocol.
type storedRow struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     int64
	Deleted bool `json:",omitempty"`
}

// Store is the platform's store of rows. It implements http.Handler and is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	history []storedRow
	// oldest is the version after which the history is kept.
	oldest  int64
	version int64
	changed chan struct{}
	began   time.Time
	fault   func(request *http.Request) Fault
	calls   int
	// slowness is how long a part is busy with each transaction, and busy until when it is.
	slowness time.Duration
	busy     map[string]time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]storedRow{}, changed: make(chan struct{}), began: time.Now(), busy: map[string]time.Time{}}
}

// SetSlowness makes each part take so long for a transaction, one after another.
func (service *Store) SetSlowness(slowness time.Duration) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.slowness = slowness
}

// mostEntries is how many entries a transaction may hold.
const mostEntries = 100

// longestQueue is how much waiting work a part accepts.
const longestQueue = time.Second

// queue waits for the turn of a transaction at its part and reports whether the part accepts it.
func (service *Store) queue(part string) bool {
	service.mu.Lock()
	now := time.Now()
	begin := service.busy[part]
	if begin.Before(now) {
		begin = now
	}
	if begin.Sub(now) > longestQueue {
		service.mu.Unlock()
		return false
	}
	end := begin.Add(service.slowness)
	service.busy[part] = end
	service.mu.Unlock()
	time.Sleep(time.Until(end))
	return true
}

// SetFault decides how calls fail from now on; nil means that none does.
func (service *Store) SetFault(fault func(request *http.Request) Fault) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.fault = fault
}

// CompactHistory drops the history, as a compaction does.
func (service *Store) CompactHistory() {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.history, service.oldest = nil, service.version
}

// Put writes a row of the operators.
func (service *Store) Put(table, part, key string, value []byte) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.apply([]storedRow{{Table: table, Part: part, Key: key, Value: value}}, nil)
}

// Row returns the value of a row and whether it exists.
func (service *Store) Row(table, part, key string) ([]byte, bool) {
	service.mu.Lock()
	defer service.mu.Unlock()
	row, ok := service.rows[rowKey{table, part, key}]
	return row.Value, ok
}

// apply is called with the lock held.
func (service *Store) apply(puts, removes []storedRow) {
	service.version++
	for _, row := range puts {
		row.Ver = service.version
		service.rows[rowKey{row.Table, row.Part, row.Key}] = row
		service.history = append(service.history, row)
	}
	for _, row := range removes {
		delete(service.rows, rowKey{row.Table, row.Part, row.Key})
		row.Ver, row.Deleted, row.Value = service.version, true, nil
		service.history = append(service.history, row)
	}
	close(service.changed)
	service.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (service *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	service.mu.Lock()
	service.calls++
	fault := None
	if service.fault != nil {
		fault = service.fault(request)
	}
	service.mu.Unlock()
	if fault.prevents(writer, request) {
		return
	}
	status, body := service.answer(request)
	if fault == Lost {
		panic(http.ErrAbortHandler)
	}
	reply(writer, status, body)
}

func (service *Store) answer(request *http.Request) (int, any) {
	switch request.URL.Path {
	case "/api/rows-tx":
		return service.transact(request)
	case "/api/rows-get":
		return service.list(request)
	case "/api/rows-feed":
		return service.feed(request)
	default:
		return http.StatusNotFound, struct{}{}
	}
}

// rowsAnswer is the body of an answer about rows.
type rowsAnswer struct {
	Rows    []storedRow `json:"rows"`
	HasMore bool
	Ver     int64
	NowMs   int64
}

func (service *Store) newAnswer(rows []storedRow) rowsAnswer {
	return rowsAnswer{Rows: rows, Ver: service.version, NowMs: time.Since(service.began).Milliseconds() + 1}
}

func (service *Store) transact(request *http.Request) (int, any) {
	var form struct{ ExpectedRevision, Puts, Remove []storedRow }
	if err := json.NewDecoder(request.Body).Decode(&form); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	rows := slices.Concat(form.ExpectedRevision, form.Puts, form.Remove)
	if len(rows) > mostEntries {
		return http.StatusBadRequest, struct{}{}
	}
	for _, row := range rows {
		if row.Part != rows[0].Part {
			return http.StatusBadRequest, struct{}{}
		}
	}
	if len(rows) > 0 && !service.queue(rows[0].Part) {
		return http.StatusTooManyRequests, struct{}{}
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	holds := true
	var present []storedRow
	for _, expected := range form.ExpectedRevision {
		row, ok := service.rows[rowKey{expected.Table, expected.Part, expected.Key}]
		if ok {
			present = append(present, row)
		}
		holds = holds && row.Ver == expected.Ver
	}
	if !holds {
		return http.StatusPreconditionFailed, service.newAnswer(present)
	}
	service.apply(form.Puts, form.Remove)
	return http.StatusOK, service.newAnswer(nil)
}

func (service *Store) list(request *http.Request) (int, any) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("Limit"))
	if err != nil {
		limit = 500
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	var rows []storedRow
	for key, row := range service.rows {
		if key.table == query.Get("Table") && key.part == query.Get("part") && key.key >= query.Get("From") &&
			(query.Get("To") == "" || key.key < query.Get("To")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(left, right storedRow) int { return strings.Compare(left.Key, right.Key) })
	answer := service.newAnswer(rows)
	if len(rows) > limit {
		answer.Rows, answer.HasMore = rows[:limit], true
	}
	return http.StatusOK, answer
}

func (service *Store) feed(request *http.Request) (int, any) {
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
		service.mu.Lock()
		if after < service.oldest {
			service.mu.Unlock()
			return http.StatusGone, struct{}{}
		}
		var rows []storedRow
		for _, row := range service.history {
			if row.Ver > after && row.Table == query.Get("Table") {
				rows = append(rows, row)
			}
		}
		answer, changed := service.newAnswer(rows), service.changed
		service.mu.Unlock()
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
	_, _ = writer.Write(data) // A caller that left needs no answer.
}
