package standin

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
)

// Default limits of an endpoint. Slots and connections are those of the current deployments.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultRequestIDs  = 500_000
)

// maxRequestBytes limits the size of a request's body, and thus the memory that a request takes.
const maxRequestBytes = 16 << 20

// EndpointOptions configures an Endpoint. Limits of zero take the defaults.
type EndpointOptions struct {
	Name    ident.Endpoint
	Service ident.Service
	Clock   clock.Clock
	// Seed determines service times and which responses are affected by a fault.
	Seed        uint64
	Slots       int
	Connections int
	// RequestIDs is the number of request IDs whose executions are recorded, the newest ones.
	RequestIDs int
	// Idempotent is true if requests of the service may run more than once.
	Idempotent bool
	// StopOnClose ends a request and frees its slot as soon as its connection is closed. Otherwise
	// the execution continues to its end, as in a service that does not notice the closed
	// connection.
	StopOnClose bool
	// MedianMillis is the median service time.
	MedianMillis clock.Millis
	// Spread is the standard deviation of the natural logarithm of the service time; 0 makes the
	// service time constant.
	Spread float64
	// ResponseBytes is the minimum size of a response body.
	ResponseBytes int
	// Slowdown returns the current slowdown caused by tasks on the same worker, in percent; nil
	// means none.
	Slowdown func() int
	// StreamBytes is the length of every stream; 0 means that streams do not end.
	StreamBytes int64
	// ChunkBytes are sent on a stream every ChunkMillis.
	ChunkBytes  int
	ChunkMillis clock.Millis
}

// Endpoint is the HTTP server of a simulated endpoint of a service. It doesn't refuse requests
// above its slots or connections; its records count them as violations.
type Endpoint struct {
	options  EndpointOptions
	server   *http.Server
	listener *listener

	mu         sync.Mutex
	faults     EndpointFaults
	random     *rand.Rand
	inFlight   int
	previous   response
	records    EndpointRecords
	executions map[ident.Request]*Execution
	requestIDs []ident.Request // the keys of executions, oldest first
}

// NewEndpoint returns a healthy Endpoint that serves once Serve is called.
func NewEndpoint(options EndpointOptions) *Endpoint {
	if options.Slots == 0 {
		options.Slots = DefaultSlots
	}
	if options.Connections == 0 {
		options.Connections = DefaultConnections
	}
	if options.RequestIDs == 0 {
		options.RequestIDs = DefaultRequestIDs
	}
	if options.ChunkBytes == 0 {
		options.ChunkBytes = 256
	}
	if options.ChunkMillis == 0 {
		options.ChunkMillis = 100
	}
	endpoint := &Endpoint{
		options:    options,
		random:     newRandom(options.Seed),
		executions: make(map[ident.Request]*Execution),
	}
	router := mux.NewRouter()
	router.HandleFunc("/health", endpoint.health).Methods(http.MethodGet)
	router.HandleFunc("/streams/{Stream}", endpoint.stream).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(endpoint.serveRequest)
	endpoint.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	return endpoint
}

// Serve accepts connections until Close is called, and then returns nil. It must be called once.
func (endpoint *Endpoint) Serve(inner net.Listener) error {
	endpoint.mu.Lock()
	endpoint.listener = &listener{
		Listener: inner, clock: endpoint.options.Clock, limit: endpoint.options.Connections,
		onChange: endpoint.setOpenConnections, onExcess: endpoint.recordExcess, connections: set.New[*connection](), done: make(chan struct{}),
	}
	listener := endpoint.listener
	endpoint.mu.Unlock()
	klog.InfoS("Endpoint stand-in listens", "Endpoint", endpoint.options.Name, "Address", inner.Addr().String())
	if err := endpoint.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections.
func (endpoint *Endpoint) Close() error {
	return endpoint.server.Close()
}

// Faults returns the faults in force.
func (endpoint *Endpoint) Faults() EndpointFaults {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return endpoint.faults
}

// SetFaults replaces the faults in force. It returns ErrBadFault.
func (endpoint *Endpoint) SetFaults(faults EndpointFaults) error {
	return endpoint.UpdateFaults(replaceWith(faults))
}

// UpdateFaults changes the faults in force. If change returns an error or the result is out of
// range, the faults stay as they are.
func (endpoint *Endpoint) UpdateFaults(change func(faults *EndpointFaults) error) error {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	faults := endpoint.faults
	if err := change(&faults); err != nil {
		return err
	}
	if err := faults.Valid(); err != nil {
		return err
	}
	endpoint.faults = faults
	return nil
}

// SilenceConnections makes all open connections silent for good and returns their number. New
// connections work.
func (endpoint *Endpoint) SilenceConnections() int {
	endpoint.mu.Lock()
	listener := endpoint.listener
	endpoint.mu.Unlock()
	if listener == nil {
		return 0
	}
	return listener.silenceConnections()
}

func (endpoint *Endpoint) health(writer http.ResponseWriter, request *http.Request) {
	switch faults := endpoint.Faults(); {
	case faults.Silent:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case faults.Refuse:
		writer.WriteHeader(http.StatusServiceUnavailable)
	default:
		writer.WriteHeader(http.StatusOK)
	}
}

// serveRequest executes a request and sends the response, as changed by the faults in force.
func (endpoint *Endpoint) serveRequest(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxRequestBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if endpoint.Faults().Refuse {
		http.Error(writer, "stand-in refuses requests", http.StatusServiceUnavailable)
		return
	}
	execution := endpoint.beginExecution(request)
	duration, faults := endpoint.drawResponse()
	ctx := request.Context()
	if !endpoint.options.StopOnClose {
		ctx = context.WithoutCancel(ctx)
	}
	wait(ctx, endpoint.options.Clock, duration)
	response := endpoint.newResponse(execution, body)
	result := endpoint.endExecution(response, faults)
	endpoint.sendResponse(writer, request, result, faults)
}

// responseFaults are the faults that affect the response to one request.
type responseFaults struct {
	silent, crossed, truncated, doubled, failed bool
	delay                                       clock.Millis
}

// drawResponse draws the service time of a request and the faults that affect its response.
func (endpoint *Endpoint) drawResponse() (clock.Millis, responseFaults) {
	slowdown := 100
	if endpoint.options.Slowdown != nil {
		slowdown = endpoint.options.Slowdown()
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	faults := endpoint.faults
	duration := float64(endpoint.options.MedianMillis) * float64(slowdown) / 100
	if endpoint.options.Spread > 0 {
		duration *= math.Exp(endpoint.random.NormFloat64() * endpoint.options.Spread)
	}
	if faults.SlowPercent > 0 {
		duration *= float64(faults.SlowPercent) / 100
	}
	outcome := responseFaults{
		silent:    faults.Silent,
		crossed:   endpoint.chance(faults.CrossedRate),
		truncated: endpoint.chance(faults.TruncatedRate),
		doubled:   endpoint.chance(faults.DoubledRate),
		failed:    endpoint.chance(faults.ErrorRate),
	}
	if endpoint.chance(faults.LateRate) {
		outcome.delay = faults.LateMillis
	}
	return clock.Millis(math.Round(duration)), outcome
}

func (endpoint *Endpoint) chance(rate float64) bool {
	return rate > 0 && endpoint.random.Float64() < rate
}
