package interference_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/interference"
)

func TestMain(main *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(main.Run())
}

// modelFixture is a Model with measurements of one service on one worker.
type modelFixture struct {
	model     *interference.Model
	fakeClock *clock.Fake
	random    *rand.Rand
}

func newModelFixture() *modelFixture {
	return &modelFixture{
		model:     interference.NewModel(interference.Defaults()),
		fakeClock: clock.NewFake(clock.Time(clock.Minute)),
		random:    rand.New(rand.NewPCG(3, 5)),
	}
}

// residents sets the residents beside the service to one unthrottled task of each class.
func (fixture *modelFixture) residents(load int, classes ...string) {
	residents := []interference.Resident{{Class: "checks", Percent: 100}}
	for _, class := range classes {
		residents = append(residents, interference.Resident{Class: class, Percent: 100})
	}
	fixture.model.Residents("worker", residents, load, fixture.fakeClock.Now())
}

// measure passes count measurements of the slowdown to the model, one every 5 s, with uniform noise of up
// to 5 points.
func (fixture *modelFixture) measure(slowdown, count int, lag clock.Millis) {
	for range count {
		fixture.fakeClock.Advance(5 * clock.Second)
		fixture.model.Observe("worker", "checks", slowdown+fixture.random.IntN(11)-5, lag, fixture.fakeClock.Now())
	}
}

func assertNear(t *testing.T, what string, have, want, tolerance int) {
	t.Helper()
	if have < want-tolerance || have > want+tolerance {
		t.Errorf("%s: %d, want %d within %d", what, have, want, tolerance)
	}
}

// TestLaggedMeasurementsMatchResidents guards against attributing a measurement to the residents at the
// time of its report instead of those at the time of the measurement.
func TestLaggedMeasurementsMatchResidents(t *testing.T) {
	fixture := newModelFixture()
	const lag = 20 * clock.Second
	for range 40 {
		// The two classes run in turn for 30 s each, so that with a lag of 20 s most measurements of one
		// arrive while the other runs.
		fixture.residents(60, "noisy")
		fixture.measure(100, 4, lag)
		fixture.measure(160, 2, lag)
		fixture.residents(60, "quiet")
		fixture.measure(160, 4, lag)
		fixture.measure(100, 2, lag)
	}
	assertNear(t, "noisy", fixture.model.Slowdown("checks", []string{"noisy"}), 160, 10)
	assertNear(t, "quiet", fixture.model.Slowdown("checks", []string{"quiet"}), 100, 10)
	fixture.model.RemoveWorker("worker")
	fixture.measure(200, 1, lag)
	if fixture.model.Discarded() == 0 {
		t.Error("a measurement without a history of residents was attributed")
	}
}

// TestModelSeparatesPairs guards against attributing the effect of one class to the classes that run
// beside it.
func TestModelSeparatesPairs(t *testing.T) {
	fixture := newModelFixture()
	for range 60 {
		for _, round := range []struct {
			slowdown int
			classes  []string
		}{{160, []string{"noisy", "quiet"}}, {110, []string{"mild", "quiet"}}, {170, []string{"noisy", "mild"}}, {120, []string{"mild", "mild"}}} {
			fixture.residents(60, round.classes...)
			fixture.measure(round.slowdown, 2, 0)
		}
	}
	for class, want := range map[string]int{"noisy": 160, "mild": 110, "quiet": 100, "unknown": 100} {
		assertNear(t, class, fixture.model.Slowdown("checks", []string{class}), want, 8)
	}
}

// TestModelFollowsShift guards against estimates that follow a shift of interference too slowly: after
// three times MaxWeight measurements, a twentieth of the difference may remain, plus the noise.
func TestModelFollowsShift(t *testing.T) {
	fixture := newModelFixture()
	fixture.residents(60, "batch")
	fixture.measure(110, 1000, 0)
	fixture.measure(200, 3*int(interference.Defaults().MaxWeight), 0)
	assertNear(t, "after the shift", fixture.model.Slowdown("checks", []string{"batch"}), 200, 90/20+5)
}

// TestLoadBuckets guards against predicting the slowdown at one load from measurements at another.
func TestLoadBuckets(t *testing.T) {
	fixture := newModelFixture()
	for range 20 {
		fixture.residents(20, "batch")
		fixture.measure(105, 5, 0)
		fixture.residents(95, "batch")
		fixture.measure(180, 5, 0)
	}
	assertNear(t, "low load", fixture.model.At(20).Slowdown("checks", []string{"batch"}), 105, 10)
	assertNear(t, "high load", fixture.model.At(95).Slowdown("checks", []string{"batch"}), 180, 10)
}

// TestEstimatesDecay guards against predictions from measurements that are many half-lives old.
func TestEstimatesDecay(t *testing.T) {
	fixture := newModelFixture()
	fixture.residents(60, "batch")
	fixture.measure(200, 100, 0)
	fixture.fakeClock.Advance(20 * interference.Defaults().HalfLifeMillis)
	fixture.residents(60)
	assertNear(t, "after 20 half-lives", fixture.model.Slowdown("checks", []string{"batch"}), 100, 1)
}

// TestEstimateExchange guards against estimates that echo between entries, against exporting unchanged
// ones, against keeping those of an entry that left, and against importing malformed ones.
func TestEstimateExchange(t *testing.T) {
	sender, receiver := newModelFixture(), newModelFixture()
	sender.residents(60, "batch")
	sender.measure(180, 100, 0)
	exported := sender.model.Export(10, false)
	if len(exported) != 1 || len(sender.model.Export(10, false)) != 0 {
		t.Fatalf("exported %v, then %v", exported, sender.model.Export(10, false))
	}
	receiver.residents(60)
	receiver.model.Import("entry-a", exported)
	assertNear(t, "imported", receiver.model.Slowdown("checks", []string{"batch"}), 180, 10)
	if echo := receiver.model.Export(10, true); len(echo) != 0 {
		t.Fatalf("imported estimates are passed on: %v", echo)
	}
	receiver.residents(60, "batch")
	receiver.measure(120, 200, 0)
	combined := receiver.model.Slowdown("checks", []string{"batch"})
	if combined <= 120 || combined >= 150 {
		t.Fatalf("own estimate of 120 and imported one of 180 at half the weight give %d", combined)
	}
	receiver.model.RemoveEntry("entry-a")
	assertNear(t, "without the sender", receiver.model.Slowdown("checks", []string{"batch"}), 120, 5)
	receiver.model.Import("entry-b", []*controlpb.PairEstimate{
		nil, {Victim: "checks", Aggressor: "batch", SlowdownPercent: -5, WeightMilli: 1 << 40}, {Victim: "checks", Aggressor: "batch", SlowdownPercent: 500},
	})
	assertNear(t, "after malformed estimates", receiver.model.Slowdown("checks", []string{"batch"}), 120, 5)
}

// TestPairsAreBounded guards against memory use that grows with the number of classes ever observed.
func TestPairsAreBounded(t *testing.T) {
	fixture := newModelFixture()
	limit := interference.Defaults().MaxPairs
	for index := range 2 * limit {
		fixture.fakeClock.Advance(5 * clock.Second)
		class := ident.Task{Job: "class", Index: index}.String()
		fixture.residents(60, class)
		fixture.fakeClock.Advance(5 * clock.Second)
		fixture.model.Observe("worker", "checks", 150, 0, fixture.fakeClock.Now())
	}
	if count := len(fixture.model.Export(4*limit, true)); count > limit {
		t.Fatalf("%d pairs stored, limit %d", count, limit)
	}
}
