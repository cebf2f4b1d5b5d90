package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/setting"
	"hyssopjunction/unit"
)

// Platform is a whole stand-in: one table, one object store, and any number of workers and
// endpoints with shared records. Its fields must not be changed.
type Platform struct {
	Clock     clock.Clock
	Table     *Table
	Objects   *Objects
	Records   *Records
	Workers   map[ident.Worker]*Worker
	Endpoints map[ident.Endpoint]*Endpoint

	addresses map[ident.Endpoint]string
	mu        sync.Mutex
	// servedAddresses are the addresses of the endpoints that ServeEndpoint started.
	servedAddresses map[ident.Endpoint]string
	cancel          context.CancelFunc
	tickerDone      chan struct{} // closed when the ticker has ended
}

// New returns a Platform. Nothing listens yet; the ticker of the workers runs until Close.
func New(settings setting.StandIn, source clock.Clock) *Platform {
	seed := uint64(settings.Simulation.Seed)
	platform := &Platform{
		Clock: source,
		Table: NewTable(TableOptions{
			Clock: source, Seed: seed, ValueBytes: settings.Simulation.ValueBytes,
			HistoryCommits: settings.Simulation.HistoryCommits,
		}),
		Objects:         NewObjects(ObjectsOptions{Clock: source, Seed: seed + 1, ObjectBytes: settings.Simulation.ObjectBytes}),
		Records:         NewRecords(),
		Workers:         make(map[ident.Worker]*Worker),
		Endpoints:       make(map[ident.Endpoint]*Endpoint),
		addresses:       make(map[ident.Endpoint]string),
		servedAddresses: make(map[ident.Endpoint]string),
		tickerDone:      make(chan struct{}),
	}
	platform.addWorkers(settings, seed)
	platform.addEndpoints(settings, seed)
	var ctx context.Context
	ctx, platform.cancel = context.WithCancel(context.Background())
	tick := settings.Simulation.TickMillis
	go func() {
		defer close(platform.tickerDone)
		for wait(ctx, source, max(tick, 1)) {
			for _, runtime := range platform.Workers {
				runtime.Tick(ctx)
			}
		}
	}()
	return platform
}

func (platform *Platform) addWorkers(settings setting.StandIn, seed uint64) {
	matrix := make(Matrix)
	for _, pair := range settings.Interference {
		if matrix[pair.Victim] == nil {
			matrix[pair.Victim] = make(map[string]int)
		}
		matrix[pair.Victim][pair.Aggressor] = pair.Percent
	}
	residents := make(map[ident.Worker][]string)
	for _, endpoint := range settings.Endpoints {
		if endpoint.Worker != "" && endpoint.Class != "" {
			residents[endpoint.Worker] = append(residents[endpoint.Worker], endpoint.Class)
		}
	}
	for index, worker := range settings.Workers {
		platform.Workers[worker.Name] = NewWorker(WorkerOptions{
			Name: worker.Name,
			Capacity: unit.Resources{
				CPU: worker.CPU, Memory: worker.Memory, Accelerators: worker.Accelerators,
			},
			Clock: platform.Clock, ClockOffset: worker.ClockOffsetMillis, UsageLag: worker.UsageLagMillis,
			Matrix: matrix, Residents: residents[worker.Name],
			Objects: platform.Objects, Records: platform.Records, Seed: seed + 1_000 + uint64(index),
		})
	}
}

func (platform *Platform) addEndpoints(settings setting.StandIn, seed uint64) {
	for index, endpoint := range settings.Endpoints {
		options := EndpointOptions{
			Name: endpoint.Name, Service: endpoint.Service, Clock: platform.Clock,
			Seed: seed + 1_000_000 + uint64(index), Slots: endpoint.Slots, Connections: endpoint.Connections,
			Idempotent: endpoint.Idempotent, StopOnClose: endpoint.StopOnClose,
			MedianMillis: endpoint.MedianMillis, Spread: endpoint.Spread, ResponseBytes: endpoint.ResponseBytes,
			StreamBytes: endpoint.StreamBytes, ChunkBytes: endpoint.ChunkBytes, ChunkMillis: endpoint.ChunkMillis,
		}
		if host := platform.Workers[endpoint.Worker]; host != nil {
			options.Slowdown = func() int { return host.EndpointSlowdown(endpoint.Class) }
		}
		platform.Endpoints[endpoint.Name] = NewEndpoint(options)
		platform.addresses[endpoint.Name] = endpoint.Listen
	}
}

// ServeEndpoints makes all endpoints listen on their addresses until ctx ends. It fails at once if
// one of them can't listen.
func (platform *Platform) ServeEndpoints(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range set.SortedKeys(platform.Endpoints) {
		endpoint := platform.Endpoints[name]
		listener, err := net.Listen("tcp", platform.addresses[name])
		if err != nil {
			group.Go(func() error { return fmt.Errorf("endpoint %s: %w", name, err) })
			break
		}
		group.Go(func() error { return endpoint.Serve(listener) })
	}
	group.Go(func() error {
		<-ctx.Done()
		var failures []error
		for _, endpoint := range platform.Endpoints {
			failures = append(failures, endpoint.Close())
		}
		return errors.Join(failures...)
	})
	return group.Wait()
}

// ServeEndpoint makes one endpoint listen and returns the address. Repeated calls return the same
// address. The endpoint listens until it is closed.
func (platform *Platform) ServeEndpoint(name ident.Endpoint) (string, error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if address, ok := platform.servedAddresses[name]; ok {
		return address, nil
	}
	listener, err := net.Listen("tcp", platform.addresses[name])
	if err != nil {
		return "", fmt.Errorf("endpoint %s: %w", name, err)
	}
	platform.servedAddresses[name] = listener.Addr().String()
	endpoint := platform.Endpoints[name]
	go func() { _ = endpoint.Serve(listener) }()
	return platform.servedAddresses[name], nil
}

// Close stops the ticker and waits for its end.
func (platform *Platform) Close() {
	platform.cancel()
	<-platform.tickerDone
}
