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
// endpoints with common records. Its fields must not be changed.
type Platform struct {
	Clock     clock.Clock
	Table     *Table
	Objects   *Objects
	Records   *Records
	Workers   map[ident.Worker]*Worker
	Endpoints map[ident.Endpoint]*Endpoint

	addresses map[ident.Endpoint]string
	mu        sync.Mutex
	// serving holds the addresses of the endpoints that ServeEndpoint started.
	serving map[ident.Endpoint]string
	cancel  context.CancelFunc
	ticking chan struct{} // closed when the ticker has ended
}

// New returns a Platform in which nothing listens yet. Its ticker runs until Close.
func New(settings setting.StandIn, source clock.Clock) *Platform {
	seed := uint64(settings.Simulation.Seed)
	platform := &Platform{
		Clock: source,
		Table: NewTable(TableOptions{
			Clock: source, Seed: seed, ValueBytes: settings.Simulation.ValueBytes,
			HistoryCommits: settings.Simulation.HistoryCommits,
		}),
		Objects:   NewObjects(ObjectsOptions{Clock: source, Seed: seed + 1, ObjectBytes: settings.Simulation.ObjectBytes}),
		Records:   NewRecords(),
		Workers:   make(map[ident.Worker]*Worker),
		Endpoints: make(map[ident.Endpoint]*Endpoint),
		addresses: make(map[ident.Endpoint]string),
		serving:   make(map[ident.Endpoint]string),
		ticking:   make(chan struct{}),
	}
	platform.addWorkers(settings, seed)
	platform.addEndpoints(settings, seed)
	var ctx context.Context
	ctx, platform.cancel = context.WithCancel(context.Background())
	tick := settings.Simulation.TickMillis
	go func() {
		defer close(platform.ticking)
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
	for index, simulated := range settings.Workers {
		platform.Workers[simulated.Name] = NewWorker(WorkerOptions{
			Name: simulated.Name,
			Capacity: unit.Resources{
				CPU: simulated.CPU, Memory: simulated.Memory, Accelerators: simulated.Accelerators,
			},
			Clock: platform.Clock, ClockOffset: simulated.ClockOffsetMillis, UsageLag: simulated.UsageLagMillis,
			Matrix: matrix, Residents: residents[simulated.Name],
			Objects: platform.Objects, Records: platform.Records, Seed: seed + 1_000 + uint64(index),
		})
	}
}

func (platform *Platform) addEndpoints(settings setting.StandIn, seed uint64) {
	for index, simulated := range settings.Endpoints {
		options := EndpointOptions{
			Name: simulated.Name, Service: simulated.Service, Clock: platform.Clock,
			Seed: seed + 1_000_000 + uint64(index), Slots: simulated.Slots, Connections: simulated.Connections,
			Idempotent: simulated.Idempotent, StopOnClose: simulated.StopOnClose,
			MedianMillis: simulated.MedianMillis, Spread: simulated.Spread, ResponseBytes: simulated.ResponseBytes,
			StreamBytes: simulated.StreamBytes, ChunkBytes: simulated.ChunkBytes, ChunkMillis: simulated.ChunkMillis,
		}
		if host := platform.Workers[simulated.Worker]; host != nil {
			options.Slowdown = func() int { return host.EndpointSlowdown(simulated.Class) }
		}
		platform.Endpoints[simulated.Name] = NewEndpoint(options)
		platform.addresses[simulated.Name] = simulated.Listen
	}
}

// ServeEndpoints lets all endpoints listen on their addresses until ctx ends. It returns an error
// as soon as one of them can't listen.
func (platform *Platform) ServeEndpoints(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range set.SortedKeys(platform.Endpoints) {
		endpoint := platform.Endpoints[name]
		inner, err := net.Listen("tcp", platform.addresses[name])
		if err != nil {
			group.Go(func() error { return fmt.Errorf("endpoint %s: %w", name, err) })
			break
		}
		group.Go(func() error { return endpoint.Serve(inner) })
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

// ServeEndpoint lets one endpoint listen on its address and returns the address it listens on. A
// repeated call returns the same address. Close of the endpoint ends it.
func (platform *Platform) ServeEndpoint(name ident.Endpoint) (string, error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if address, ok := platform.serving[name]; ok {
		return address, nil
	}
	inner, err := net.Listen("tcp", platform.addresses[name])
	if err != nil {
		return "", fmt.Errorf("endpoint %s: %w", name, err)
	}
	platform.serving[name] = inner.Addr().String()
	served := platform.Endpoints[name]
	go func() { _ = served.Serve(inner) }()
	return platform.serving[name], nil
}

// Close stops the ticker and returns when it has ended.
func (platform *Platform) Close() {
	platform.cancel()
	<-platform.ticking
}
