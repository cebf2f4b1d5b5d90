package routing_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"hyssopjunction/admission"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/routing"
)

// tick is the simulation's unit: 10 ticks are a millisecond, so that network times below a
// millisecond can be expressed. All times given to the packages are scaled by it.
const tick = 10

// scenario is one deployment under one disturbance.
type scenario struct {
	name string
	// network is the one-way time between data centres in ticks.
	network clock.Millis
	// load is the offered load as a part of the capacity.
	load float64
	// slowdown returns the factor of the service time at an endpoint.
	slowdown func(now clock.Time, endpoint int) float64
	// leaves is when endpoint 0 leaves, 0 for never.
	leaves clock.Time
	// patience of each request; answers after it do not count as goodput. It is unknown to
	// admission control unless admitted is set.
	patience clock.Millis
	admitted bool
	until    clock.Time
}

const (
	endpoints = 10
	slots     = 8
	entries   = 3
	service   = 10 * tick
	duration  = 60 * 1000 * tick
	heartbeat = 1000 * tick
	localHop  = 1
	usageLag  = 2000 * tick
	// forever is the patience of requests that admission control must not refuse.
	forever = 1000 * 1000 * tick
)

type event struct {
	at clock.Time
	do func()
}

// simulation runs requests of three entries through a routing policy and ten admission controllers.
type simulation struct {
	scenario
	policy string
	// arrivals is separate, so that all policies get the same arrivals.
	random, arrivals *rand.Rand
	queue            []event
	now              clock.Time
	number           int
	controllers      []*admission.Controller
	routers          []*routing.Router
	views            []*routing.View
	// outstanding counts per entry and endpoint, for the least-outstanding baseline.
	outstanding [entries][endpoints]int
	flights     map[ident.Request]*flight
	latencies   []float64
	good        int
	// next is the exact time of the next arrival.
	next float64
}

type flight struct {
	entry, endpoint int
	arrived, sent   clock.Time
	started         clock.Time
	decision        routing.Decision
	excluded        []ident.Endpoint
}

func newSimulation(scenario scenario, policy string) *simulation {
	simulation := &simulation{
		scenario: scenario, policy: policy, random: rand.New(rand.NewPCG(11, 13)), arrivals: rand.New(rand.NewPCG(17, 19)), now: 1, next: 1, flights: map[ident.Request]*flight{},
	}
	limits := admission.Settings{Queue: 1 << 20, AnswerRetention: 1, KeyedRetention: 1, RefusedRetention: 1000, PriorService: service}
	if scenario.admitted {
		limits.Queue = 0
	}
	for range endpoints {
		simulation.controllers = append(simulation.controllers, admission.New(limits))
	}
	for index := range entries {
		settings := routing.Defaults()
		settings.DataCentre = ident.DataCentre(fmt.Sprint("dc", index))
		settings.Seed = uint64(index + 1)
		settings.RemotePenalty = 2 * scenario.network
		settings.ReportHalfLife *= tick
		settings.RampUp *= tick
		simulation.routers = append(simulation.routers, routing.New(settings))
	}
	simulation.views = make([]*routing.View, entries)
	return simulation
}

func (simulation *simulation) after(delay clock.Millis, do func()) {
	simulation.number++
	at := simulation.now.Add(delay)
	// The queue is in descending order of time; of equal times the earlier event runs first.
	position, _ := slices.BinarySearchFunc(simulation.queue, at, func(queued event, at clock.Time) int { return cmp.Compare(at, queued.at) })
	simulation.queue = slices.Insert(simulation.queue, position, event{at: at, do: do})
}

// exponential draws an exponentially distributed time.
func (simulation *simulation) exponential(mean float64) clock.Millis {
	return clock.Millis(simulation.random.ExpFloat64() * mean)
}

func (simulation *simulation) report(endpoint int) routing.Report {
	load := simulation.controllers[endpoint].Load()
	// Interference is measured and announced with a lag.
	slowdown := simulation.slowdown(max(0, simulation.now.Add(-usageLag)), endpoint)
	return routing.Report{
		At: simulation.now, Slots: load.Slots, Connections: load.Connections, SlotsUsed: load.SlotsUsed,
		ConnectionsUsed: load.ConnectionsUsed, Queue: load.Queue, Service: load.Service,
		SlowdownPercent: int(100 * slowdown),
	}
}

func (simulation *simulation) announce() {
	known := make([]routing.Candidate, endpoints)
	for index := range known {
		known[index] = routing.Candidate{
			Endpoint: ident.Endpoint(fmt.Sprint("e", index)), DataCentre: ident.DataCentre(fmt.Sprint("dc", index%entries)),
			Report: simulation.report(index), Leaving: simulation.controllers[index].Load().Leaving,
		}
	}
	for entry := range entries {
		simulation.views[entry] = simulation.routers[entry].NewView(simulation.now, "s", known)
	}
	simulation.after(heartbeat, simulation.announce)
}

func (simulation *simulation) arrive() {
	id := ident.Request(fmt.Sprint(simulation.number))
	arrived := &flight{entry: simulation.arrivals.IntN(entries), arrived: simulation.now}
	simulation.flights[id] = arrived
	simulation.send(id, arrived)
	// Summed unrounded: rounding down each interval would raise the load by a third.
	simulation.next += simulation.arrivals.ExpFloat64() * service / (simulation.load * endpoints * slots)
	simulation.after(clock.Time(simulation.next).Sub(simulation.now), simulation.arrive)
}

func (simulation *simulation) hop(flight *flight) clock.Millis {
	if flight.endpoint%entries == flight.entry {
		return localHop
	}
	return simulation.network
}

// send chooses an endpoint by the policy under test.
func (simulation *simulation) send(id ident.Request, flight *flight) {
	switch simulation.policy {
	case "random":
		flight.endpoint = simulation.random.IntN(endpoints)
	case "least":
		flight.endpoint = simulation.least(flight)
	default:
		decision, err := simulation.views[flight.entry].Choose(simulation.now, flight.excluded)
		if err != nil {
			return
		}
		flight.decision = decision
		_, _ = fmt.Sscanf(string(decision.Endpoint), "e%d", &flight.endpoint)
	}
	simulation.outstanding[flight.entry][flight.endpoint]++
	flight.sent = simulation.now
	simulation.after(simulation.hop(flight), func() {
		left := simulation.patience - simulation.now.Sub(flight.arrived) - simulation.hop(flight)
		if !simulation.admitted {
			left = forever
		}
		simulation.act(flight.endpoint, simulation.controllers[flight.endpoint].Arrive(simulation.now, admission.Arrival{
			Request: id, Team: "t", Priority: admission.Normal, Idempotent: true, Patience: left,
		}))
	})
}

func (simulation *simulation) least(flight *flight) int {
	best, start := -1, simulation.random.IntN(endpoints)
	for step := range endpoints {
		index := (start + step) % endpoints
		if slices.Contains(flight.excluded, ident.Endpoint(fmt.Sprint("e", index))) {
			continue
		}
		if best < 0 || simulation.outstanding[flight.entry][index] < simulation.outstanding[flight.entry][best] {
			best = index
		}
	}
	return best
}

func (simulation *simulation) act(endpoint int, actions []admission.Action) {
	for _, action := range actions {
		id := action.Request
		flight := simulation.flights[id]
		switch action.Kind {
		case admission.Run:
			flight.started = simulation.now
			taken := simulation.exponential(service*simulation.slowdown(simulation.now, endpoint)) + 1
			simulation.after(taken, func() {
				answer := admission.Answer{Outcome: outcome.Ran, Service: taken}
				simulation.act(endpoint, simulation.controllers[endpoint].Finish(simulation.now, id, answer))
			})
		case admission.Deliver, admission.Refuse:
			report := simulation.report(endpoint)
			ran := action.Kind == admission.Deliver
			simulation.after(simulation.hop(flight), func() { simulation.receive(id, flight, ran, action, report) })
		case admission.Wait:
		}
	}
}

// receive handles the reply at the entry. A redirect of a leaving endpoint is followed.
func (simulation *simulation) receive(id ident.Request, flight *flight, ran bool, action admission.Action, report routing.Report) {
	simulation.outstanding[flight.entry][flight.endpoint]--
	if simulation.policy == "predicted" {
		flight.decision.Observe(report)
		flight.decision.Done(simulation.now, routing.Result{
			Leaving: action.Reason == admission.Leaving, Answered: ran, Latency: action.Answer.Service,
		})
	}
	if action.Reason == admission.Leaving {
		flight.excluded = append(flight.excluded, ident.Endpoint(fmt.Sprint("e", flight.endpoint)))
		simulation.send(id, flight)
		return
	}
	delete(simulation.flights, id)
	if !ran {
		return
	}
	latency := simulation.now.Sub(flight.arrived)
	simulation.latencies = append(simulation.latencies, float64(latency)/tick)
	if latency <= simulation.patience {
		simulation.good++
	}
}

func (simulation *simulation) run() {
	simulation.announce()
	simulation.arrive()
	if simulation.leaves > 0 {
		simulation.after(clock.Millis(simulation.leaves), func() {
			simulation.act(0, simulation.controllers[0].Leave(simulation.now))
		})
	}
	for simulation.now < simulation.until {
		last := len(simulation.queue) - 1
		next := simulation.queue[last]
		simulation.queue = simulation.queue[:last]
		simulation.now = next.at
		next.do()
	}
	slices.Sort(simulation.latencies)
}

// quantile returns a latency in milliseconds.
func (simulation *simulation) quantile(part float64) float64 {
	return simulation.latencies[int(float64(len(simulation.latencies)-1)*part)]
}

func steady(clock.Time, int) float64 { return 1 }

func slowOne(_ clock.Time, endpoint int) float64 {
	if endpoint == 1 {
		return 4
	}
	return 1
}

// noisyWave slows three endpoints down for 5 s in every 10 s.
func noisyWave(now clock.Time, endpoint int) float64 {
	if endpoint < 3 && now/(5000*tick)%2 == 1 {
		return 3
	}
	return 1
}

// BenchmarkTailLatency compares p99 and p999 with random and least-outstanding routing.
func BenchmarkTailLatency(b *testing.B) {
	for _, deployment := range []struct {
		name    string
		network clock.Millis
	}{{"Omaruru", 1 * tick}, {"Modelwerf", tick / 2}} {
		for _, disturbed := range []scenario{
			{name: "steady", load: 0.8, slowdown: steady},
			{name: "slow", load: 0.8, slowdown: slowOne},
			{name: "wave", load: 0.7, slowdown: noisyWave},
			{name: "leaving", load: 0.8, slowdown: steady, leaves: 30_000 * tick},
		} {
			b.Run(deployment.name+"/"+disturbed.name, func(b *testing.B) {
				disturbed.network, disturbed.until = deployment.network, 60_000*tick
				for range b.N {
					predicted := newSimulation(disturbed, "predicted")
					predicted.run()
					b.ReportMetric(predicted.quantile(0.99), "p99-ms")
					b.ReportMetric(predicted.quantile(0.999), "p999-ms")
					for _, policy := range []string{"random", "least"} {
						baseline := newSimulation(disturbed, policy)
						baseline.run()
						b.ReportMetric(predicted.quantile(0.99)/baseline.quantile(0.99), "p99-"+policy+"/baseline")
						b.ReportMetric(predicted.quantile(0.5)/baseline.quantile(0.5), "p50-"+policy+"/baseline")
						b.ReportMetric(predicted.quantile(0.999)/baseline.quantile(0.999), "p999-"+policy+"/baseline")
					}
				}
			})
		}
	}
}

// BenchmarkGoodput compares the answers within the patience with and without admission control, for
// a mean service time of 10 ms. The load is relative to the capacity; the peak is the best goodput
// with admission control. The target at 5 times the capacity is 0.95 of the peak.
func BenchmarkGoodput(b *testing.B) {
	for _, patience := range []clock.Millis{30, 50, 150, 1000} {
		b.Run(fmt.Sprint("patience-", patience), func(b *testing.B) {
			for range b.N {
				peak, last := 0, 0
				for _, load := range []float64{0.8, 1, 2, 5} {
					offered := scenario{
						network: tick, load: load, slowdown: steady, patience: patience * tick, admitted: true, until: 10_000 * tick,
					}
					controlled := newSimulation(offered, "predicted")
					controlled.run()
					offered.admitted = false
					baseline := newSimulation(offered, "predicted")
					baseline.run()
					b.ReportMetric(float64(controlled.good)/float64(max(1, baseline.good)), fmt.Sprintf("goodput-%gx/baseline", load))
					peak, last = max(peak, controlled.good), controlled.good
				}
				b.ReportMetric(float64(last)/float64(peak), "goodput-5x/peak")
				b.ReportMetric(float64(peak)*service/(endpoints*slots*10_000*tick), "peak/capacity")
			}
		})
	}
}

// BenchmarkDecision measures a choice and its end against a random pick and against a scan for the
// least outstanding endpoint.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{10, 100, 1200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			known := candidates(count)
			view := routing.New(settings()).NewView(1, "s", known)
			outstanding := make([]int, count)
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			b.ResetTimer()
			for index := range b.N {
				decision, err := view.Choose(clock.Time(index), nil)
				if err != nil {
					b.Fatal(err)
				}
				decision.Done(clock.Time(index), routing.Result{Answered: true, Latency: 5})
			}
			b.StopTimer()
			chosen := b.Elapsed()
			b.StartTimer()
			for range b.N {
				outstanding[random.IntN(count)]++
			}
			b.StopTimer()
			picked := b.Elapsed() - chosen
			b.StartTimer()
			for range b.N {
				least := 0
				for index := range outstanding {
					if outstanding[index] < outstanding[least] {
						least = index
					}
				}
				outstanding[least]++
			}
			b.StopTimer()
			scanned := b.Elapsed() - chosen - picked
			b.ReportMetric(float64(chosen.Nanoseconds())/float64(b.N), "ns/decision")
			b.ReportMetric(chosen.Seconds()/picked.Seconds(), "random/baseline")
			b.ReportMetric(chosen.Seconds()/scanned.Seconds(), "least/baseline")
		})
	}
}
