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

// tick is the number of ticks per millisecond. The simulation counts time in ticks because network
// delays are shorter than a millisecond. It passes all times to the packages under test in ticks.
const tick = 10

// scenario is a deployment with a load and a pattern of interference. All times are in ticks.
type scenario struct {
	name string
	// networkDelay is the one-way delay between data centres.
	networkDelay clock.Millis
	// load is the offered load as a fraction of the capacity.
	load float64
	// slowdown returns the factor by which the service time of an endpoint is increased.
	slowdown func(now clock.Time, endpoint int) float64
	// leavesAt is when endpoint 0 starts to leave, 0 for never.
	leavesAt clock.Time
	// patience is how long the caller of each request waits; only answers within it count as goodput.
	patience clock.Millis
	// admissionControl passes the patience on to the admission controllers, with the default length of
	// the queue. Otherwise patience and queue are unlimited.
	admissionControl bool
	until            clock.Time
}

// The size of the simulated deployment, and its times in ticks.
const (
	endpoints   = 10
	slots       = 8
	entries     = 3
	serviceTime = 10 * tick
	duration    = 60 * 1000 * tick
	heartbeat   = 1000 * tick
	localDelay  = 1
	// slowdownLag is how long agents take to measure and announce interference.
	slowdownLag = 2000 * tick
	// unlimitedPatience keeps admission control from refusing a request as late.
	unlimitedPatience = 1000 * 1000 * tick
)

type event struct {
	at     clock.Time
	action func()
}

// simulation runs requests of three entries through a routing policy and ten admission controllers. The
// policy is predicted (package routing), random or least (fewest outstanding requests).
type simulation struct {
	scenario
	policy string
	// arrivals draws the arrivals only, so that they are the same for all policies.
	random, arrivals *rand.Rand
	queue            []event
	now              clock.Time
	eventCount       int
	controllers      []*admission.Controller
	routers          []*routing.Router
	views            []*routing.View
	// outstanding counts the unanswered requests of each entry at each endpoint, for policy least.
	outstanding   [entries][endpoints]int
	requests      map[ident.Request]*request
	latencies     []float64
	answersInTime int
	// nextArrival is the unrounded time of the next arrival.
	nextArrival float64
}

type request struct {
	entry, endpoint int
	arrived, sent   clock.Time
	started         clock.Time
	decision        routing.Decision
	excluded        []ident.Endpoint
}

func newSimulation(scenario scenario, policy string) *simulation {
	simulation := &simulation{
		scenario: scenario, policy: policy, random: rand.New(rand.NewPCG(11, 13)), arrivals: rand.New(rand.NewPCG(17, 19)), now: 1, nextArrival: 1, requests: map[ident.Request]*request{},
	}
	limits := admission.Settings{Queue: 1 << 20, AnswerRetention: 1, KeyedRetention: 1, RefusedRetention: 1000, PriorService: serviceTime}
	if scenario.admissionControl {
		limits.Queue = 0
	}
	for range endpoints {
		simulation.controllers = append(simulation.controllers, admission.New(limits))
	}
	for index := range entries {
		settings := routing.Defaults()
		settings.DataCentre = ident.DataCentre(fmt.Sprint("dc", index))
		settings.Seed = uint64(index + 1)
		settings.RemotePenalty = 2 * scenario.networkDelay
		settings.ReportHalfLife *= tick
		settings.RampUp *= tick
		simulation.routers = append(simulation.routers, routing.New(settings))
	}
	simulation.views = make([]*routing.View, entries)
	return simulation
}

func (simulation *simulation) schedule(delay clock.Millis, action func()) {
	simulation.eventCount++
	at := simulation.now.Add(delay)
	// The queue is in descending order of time. Events with the same time run in the order in which
	// they were scheduled.
	position, _ := slices.BinarySearchFunc(simulation.queue, at, func(queued event, at clock.Time) int { return cmp.Compare(at, queued.at) })
	simulation.queue = slices.Insert(simulation.queue, position, event{at: at, action: action})
}

// exponential returns an exponentially distributed random time with the given mean.
func (simulation *simulation) exponential(mean float64) clock.Millis {
	return clock.Millis(simulation.random.ExpFloat64() * mean)
}

func (simulation *simulation) report(endpoint int) routing.Report {
	load := simulation.controllers[endpoint].Load()
	slowdown := simulation.slowdown(max(0, simulation.now.Add(-slowdownLag)), endpoint)
	return routing.Report{
		At: simulation.now, Slots: load.Slots, Connections: load.Connections, SlotsUsed: load.SlotsUsed,
		ConnectionsUsed: load.ConnectionsUsed, Queue: load.Queue, ServiceTime: load.ServiceTime,
		SlowdownPercent: int(100 * slowdown),
	}
}

func (simulation *simulation) announce() {
	candidates := make([]routing.Candidate, endpoints)
	for index := range candidates {
		candidates[index] = routing.Candidate{
			Endpoint: ident.Endpoint(fmt.Sprint("e", index)), DataCentre: ident.DataCentre(fmt.Sprint("dc", index%entries)),
			Report: simulation.report(index), Leaving: simulation.controllers[index].Load().Leaving,
		}
	}
	for entry := range entries {
		simulation.views[entry] = simulation.routers[entry].NewView(simulation.now, "s", candidates)
	}
	simulation.schedule(heartbeat, simulation.announce)
}

func (simulation *simulation) arrive() {
	id := ident.Request(fmt.Sprint(simulation.eventCount))
	request := &request{entry: simulation.arrivals.IntN(entries), arrived: simulation.now}
	simulation.requests[id] = request
	simulation.send(id, request)
	// The intervals are added up unrounded: rounding each one down would raise the load by a third.
	simulation.nextArrival += simulation.arrivals.ExpFloat64() * serviceTime / (simulation.load * endpoints * slots)
	simulation.schedule(clock.Time(simulation.nextArrival).Sub(simulation.now), simulation.arrive)
}

func (simulation *simulation) delay(request *request) clock.Millis {
	if request.endpoint%entries == request.entry {
		return localDelay
	}
	return simulation.networkDelay
}

// send chooses an endpoint by the simulated policy and sends the request there.
func (simulation *simulation) send(id ident.Request, request *request) {
	switch simulation.policy {
	case "random":
		request.endpoint = simulation.random.IntN(endpoints)
	case "least":
		request.endpoint = simulation.leastOutstanding(request)
	default:
		decision, err := simulation.views[request.entry].Choose(simulation.now, request.excluded)
		if err != nil {
			return
		}
		request.decision = decision
		_, _ = fmt.Sscanf(string(decision.Endpoint), "e%d", &request.endpoint)
	}
	simulation.outstanding[request.entry][request.endpoint]++
	request.sent = simulation.now
	simulation.schedule(simulation.delay(request), func() {
		patience := simulation.patience - simulation.now.Sub(request.arrived) - simulation.delay(request)
		if !simulation.admissionControl {
			patience = unlimitedPatience
		}
		simulation.apply(request.endpoint, simulation.controllers[request.endpoint].Arrive(simulation.now, admission.Arrival{
			Request: id, Team: "t", Priority: admission.Normal, Idempotent: true, Patience: patience,
		}))
	})
}

func (simulation *simulation) leastOutstanding(request *request) int {
	best, start := -1, simulation.random.IntN(endpoints)
	for offset := range endpoints {
		index := (start + offset) % endpoints
		if slices.Contains(request.excluded, ident.Endpoint(fmt.Sprint("e", index))) {
			continue
		}
		if best < 0 || simulation.outstanding[request.entry][index] < simulation.outstanding[request.entry][best] {
			best = index
		}
	}
	return best
}

func (simulation *simulation) apply(endpoint int, actions []admission.Action) {
	for _, action := range actions {
		id := action.Request
		request := simulation.requests[id]
		switch action.Kind {
		case admission.Run:
			request.started = simulation.now
			runTime := simulation.exponential(serviceTime*simulation.slowdown(simulation.now, endpoint)) + 1
			simulation.schedule(runTime, func() {
				answer := admission.Answer{Outcome: outcome.Ran, ServiceTime: runTime}
				simulation.apply(endpoint, simulation.controllers[endpoint].Finish(simulation.now, id, answer))
			})
		case admission.Deliver, admission.Refuse:
			report := simulation.report(endpoint)
			answered := action.Kind == admission.Deliver
			simulation.schedule(simulation.delay(request), func() { simulation.receive(id, request, answered, action, report) })
		case admission.Wait:
		}
	}
}

// receive handles a reply at the entry. A request that a leaving endpoint refused is sent to another
// one.
func (simulation *simulation) receive(id ident.Request, request *request, answered bool, action admission.Action, report routing.Report) {
	simulation.outstanding[request.entry][request.endpoint]--
	if simulation.policy == "predicted" {
		request.decision.Observe(report)
		request.decision.Done(simulation.now, routing.Result{
			Leaving: action.Reason == admission.Leaving, Answered: answered, Latency: action.Answer.ServiceTime,
		})
	}
	if action.Reason == admission.Leaving {
		request.excluded = append(request.excluded, ident.Endpoint(fmt.Sprint("e", request.endpoint)))
		simulation.send(id, request)
		return
	}
	delete(simulation.requests, id)
	if !answered {
		return
	}
	latency := simulation.now.Sub(request.arrived)
	simulation.latencies = append(simulation.latencies, float64(latency)/tick)
	if latency <= simulation.patience {
		simulation.answersInTime++
	}
}

func (simulation *simulation) run() {
	simulation.announce()
	simulation.arrive()
	if simulation.leavesAt > 0 {
		simulation.schedule(clock.Millis(simulation.leavesAt), func() {
			simulation.apply(0, simulation.controllers[0].Leave(simulation.now))
		})
	}
	for simulation.now < simulation.until {
		last := len(simulation.queue) - 1
		event := simulation.queue[last]
		simulation.queue = simulation.queue[:last]
		simulation.now = event.at
		event.action()
	}
	slices.Sort(simulation.latencies)
}

// quantile returns the latency in milliseconds that the given fraction of the requests stays below.
func (simulation *simulation) quantile(fraction float64) float64 {
	return simulation.latencies[int(float64(len(simulation.latencies)-1)*fraction)]
}

func noSlowdown(clock.Time, int) float64 { return 1 }

func oneSlowEndpoint(_ clock.Time, endpoint int) float64 {
	if endpoint == 1 {
		return 4
	}
	return 1
}

// periodicSlowdown slows three endpoints down during 5 s of every 10 s.
func periodicSlowdown(now clock.Time, endpoint int) float64 {
	if endpoint < 3 && now/(5000*tick)%2 == 1 {
		return 3
	}
	return 1
}

// BenchmarkTailLatency compares the latency quantiles with those of random and least-outstanding
// routing.
func BenchmarkTailLatency(b *testing.B) {
	for _, deployment := range []struct {
		name    string
		network clock.Millis
	}{{"Omaruru", 1 * tick}, {"Modelwerf", tick / 2}} {
		for _, scenario := range []scenario{
			{name: "steady", load: 0.8, slowdown: noSlowdown},
			{name: "slow", load: 0.8, slowdown: oneSlowEndpoint},
			{name: "wave", load: 0.7, slowdown: periodicSlowdown},
			{name: "leaving", load: 0.8, slowdown: noSlowdown, leavesAt: 30_000 * tick},
		} {
			b.Run(deployment.name+"/"+scenario.name, func(b *testing.B) {
				scenario.networkDelay, scenario.until = deployment.network, 60_000*tick
				for range b.N {
					predicted := newSimulation(scenario, "predicted")
					predicted.run()
					b.ReportMetric(predicted.quantile(0.99), "p99-ms")
					b.ReportMetric(predicted.quantile(0.999), "p999-ms")
					for _, policy := range []string{"random", "least"} {
						baseline := newSimulation(scenario, policy)
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

// BenchmarkGoodput compares the number of answers within the patience (goodput) with and without
// admission control, for a mean service time of 10 ms. Loads are relative to the capacity. The peak is
// the highest goodput with admission control; at 5 times the capacity the target is 0.95 of it.
func BenchmarkGoodput(b *testing.B) {
	for _, patience := range []clock.Millis{30, 50, 150, 1000} {
		b.Run(fmt.Sprint("patience-", patience), func(b *testing.B) {
			for range b.N {
				peakGoodput, lastGoodput := 0, 0
				for _, load := range []float64{0.8, 1, 2, 5} {
					setup := scenario{
						networkDelay: tick, load: load, slowdown: noSlowdown, patience: patience * tick, admissionControl: true, until: 10_000 * tick,
					}
					admitting := newSimulation(setup, "predicted")
					admitting.run()
					setup.admissionControl = false
					baseline := newSimulation(setup, "predicted")
					baseline.run()
					b.ReportMetric(float64(admitting.answersInTime)/float64(max(1, baseline.answersInTime)), fmt.Sprintf("goodput-%gx/baseline", load))
					peakGoodput, lastGoodput = max(peakGoodput, admitting.answersInTime), admitting.answersInTime
				}
				b.ReportMetric(float64(lastGoodput)/float64(peakGoodput), "goodput-5x/peak")
				b.ReportMetric(float64(peakGoodput)*serviceTime/(endpoints*slots*10_000*tick), "peak/capacity")
			}
		})
	}
}

// BenchmarkDecision compares the time of Choose and Done with that of a random pick and that of a scan
// for the endpoint with the fewest outstanding requests.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{10, 100, 1200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			candidates := newCandidates(count)
			view := routing.New(settings()).NewView(1, "s", candidates)
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
			choiceTime := b.Elapsed()
			b.StartTimer()
			for range b.N {
				outstanding[random.IntN(count)]++
			}
			b.StopTimer()
			randomTime := b.Elapsed() - choiceTime
			b.StartTimer()
			for range b.N {
				lowest := 0
				for index := range outstanding {
					if outstanding[index] < outstanding[lowest] {
						lowest = index
					}
				}
				outstanding[lowest]++
			}
			b.StopTimer()
			scanTime := b.Elapsed() - choiceTime - randomTime
			b.ReportMetric(float64(choiceTime.Nanoseconds())/float64(b.N), "ns/decision")
			b.ReportMetric(choiceTime.Seconds()/randomTime.Seconds(), "random/baseline")
			b.ReportMetric(choiceTime.Seconds()/scanTime.Seconds(), "least/baseline")
		})
	}
}
