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

// maxRequestBytes bounds the memory a request can take.
const maxRequestBytes = 16 << 20

// EndpointOptions configure an Endpoint. Limits of zero take the defaults.
type EndpointOptions struct {
	Name    ident.Endpoint
	Service ident.Service
	Clock   clock.Clock
	// Seed determines service times and which requests meet a fault.
	Seed        uint64
	Slots       int
	Connections int
	// RequestIDs is the number of newest request ids whose executions are recorded.
	RequestIDs int
	// Idempotent is true if requests of the service may run more than once.
	Idempotent bool
	// StopOnClose frees the slot of a request as soon as its connection is closed. Otherwise the
	// execution continues to its end, as in a service that does not notice.
	StopOnClose bool
	// MedianMillis is the median service time.
	MedianMillis clock.Millis
	// Spread is the standard deviation of the logarithm of the service time; 0 is constant.
	Spread float64
	// ResponseBytes is the least size of a response body.
	ResponseBytes int
	// Slowdown returns the current slowdown by colocated tasks in percent; nil means none.
	Slowdown func() int
	// StreamBytes is the length of every stream; 0 means that streams do not end.
	StreamBytes int64
	// ChunkBytes are sent on a stream every ChunkMillis.
	ChunkBytes  int
	ChunkMillis clock.Millis
}

// Endpoint is a simulated endpoint of a service, an HTTP server. It never refuses a request for
// lack of slots or connections; its records count that as a violation.
type Endpoint struct {
	options  EndpointOptions
	server   *http.Server
	listener *listener

	mu       sync.Mutex
	faults   EndpointFaults
	random   *rand.Rand
	inFlight int
	previous response
	records  EndpointRecords
	byID     map[ident.Request]*Execution
	order    []ident.Request // the keys of byID, oldest first
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
		options: options,
		random:  newRandom(options.Seed),
		byID:    make(map[ident.Request]*Execution),
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
		opened: endpoint.opened, exceeded: endpoint.exceeded, open: set.New[*connection](), ended: make(chan struct{}),
	}
	accepting := endpoint.listener
	endpoint.mu.Unlock()
	klog.InfoS("Endpoint stand-in listens", "Endpoint", endpoint.options.Name, "Address", inner.Addr().String())
	if err := endpoint.server.Serve(accepting); !errors.Is(err, http.ErrServerClosed) {
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
	return endpoint.UpdateFaults(replaceBy(faults))
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
	accepting := endpoint.listener
	endpoint.mu.Unlock()
	if accepting == nil {
		return 0
	}
	return accepting.silence()
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

// serveRequest executes one request.
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
	execution := endpoint.begin(request)
	millis, fate := endpoint.draw()
	ctx := request.Context()
	if !endpoint.options.StopOnClose {
		ctx = context.WithoutCancel(ctx)
	}
	wait(ctx, endpoint.options.Clock, millis)
	own := endpoint.respond(execution, body)
	answer := endpoint.finish(own, fate)
	endpoint.answer(writer, request, answer, fate)
}

// fate is what happens to the response of one request.
type fate struct {
	silent, crossed, truncated, doubled, failed bool
	late                                        clock.Millis
}

// draw returns the service time and the fate of a request.
func (endpoint *Endpoint) draw() (clock.Millis, fate) {
	slowdown := 100
	if endpoint.options.Slowdown != nil {
		slowdown = endpoint.options.Slowdown()
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	faults := endpoint.faults
	millis := float64(endpoint.options.MedianMillis) * float64(slowdown) / 100
	if endpoint.options.Spread > 0 {
		millis *= math.Exp(endpoint.random.NormFloat64() * endpoint.options.Spread)
	}
	if faults.SlowPercent > 0 {
		millis *= float64(faults.SlowPercent) / 100
	}
	drawn := fate{
		silent:    faults.Silent,
		crossed:   endpoint.chance(faults.CrossedRate),
		truncated: endpoint.chance(faults.TruncatedRate),
		doubled:   endpoint.chance(faults.DoubledRate),
		failed:    endpoint.chance(faults.ErrorRate),
	}
	if endpoint.chance(faults.LateRate) {
		drawn.late = faults.LateMillis
	}
	return clock.Millis(math.Round(millis)), drawn
}

func (endpoint *Endpoint) chance(rate float64) bool {
	return rate > 0 && endpoint.random.Float64() < rate
}
