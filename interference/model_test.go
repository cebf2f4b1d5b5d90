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

// feed drives a Model with measurements of one service on one worker.
type feed struct {
	model  *interference.Model
	fake   *clock.Fake
	random *rand.Rand
}

func newFeed() *feed {
	return &feed{
		model:  interference.New(interference.Defaults()),
		fake:   clock.NewFake(clock.Time(clock.Minute)),
		random: rand.New(rand.NewPCG(3, 5)),
	}
}

func (feed *feed) residents(load int, classes ...string) {
	residents := []interference.Resident{{Class: "checks", Percent: 100}}
	for _, class := range classes {
		residents = append(residents, interference.Resident{Class: class, Percent: 100})
	}
	feed.model.Residents("worker", residents, load, feed.fake.Now())
}

// measure reports slowdown with noise of 5 points count times, one every 5 s.
func (feed *feed) measure(slowdown, count int, lag clock.Millis) {
	for range count {
		feed.fake.Advance(5 * clock.Second)
		feed.model.Observe("worker", "checks", slowdown+feed.random.IntN(11)-5, lag, feed.fake.Now())
	}
}

func assertNear(t *testing.T, what string, have, want, tolerance int) {
	t.Helper()
	if have < want-tolerance || have > want+tolerance {
		t.Errorf("%s: %d, want %d within %d", what, have, want, tolerance)
	}
}

// TestLag guards against blaming the work that is there when a measurement is reported for what was
// there when it was taken.
func TestLag(t *testing.T) {
	feed := newFeed()
	const lag = 20 * clock.Second
	for range 40 {
		// Both classes run for 30 s in turn; measurements of the noisy one arrive partly while the
		// quiet one runs and the other way round.
		feed.residents(60, "noisy")
		feed.measure(100, 4, lag)
		feed.measure(160, 2, lag)
		feed.residents(60, "quiet")
		feed.measure(160, 4, lag)
		feed.measure(100, 2, lag)
	}
	assertNear(t, "noisy", feed.model.Slowdown("checks", []string{"noisy"}), 160, 10)
	assertNear(t, "quiet", feed.model.Slowdown("checks", []string{"quiet"}), 100, 10)
	feed.model.ForgetWorker("worker")
	feed.measure(200, 1, lag)
	if feed.model.Dropped() == 0 {
		t.Error("a measurement without known residents was attributed")
	}
}

// TestSeparatesPairs guards against spreading the harm of one class over all that run beside it.
func TestSeparatesPairs(t *testing.T) {
	feed := newFeed()
	for range 60 {
		for _, round := range []struct {
			slowdown int
			classes  []string
		}{{160, []string{"noisy", "quiet"}}, {110, []string{"mild", "quiet"}}, {170, []string{"noisy", "mild"}}, {120, []string{"mild", "mild"}}} {
			feed.residents(60, round.classes...)
			feed.measure(round.slowdown, 2, 0)
		}
	}
	for class, want := range map[string]int{"noisy": 160, "mild": 110, "quiet": 100, "unknown": 100} {
		assertNear(t, class, feed.model.Slowdown("checks", []string{class}), want, 8)
	}
}

// TestShift guards against estimates that follow a shift of interference too slowly: after three
// times MaxWeight further measurements a twentieth of the difference may remain, plus the noise.
func TestShift(t *testing.T) {
	feed := newFeed()
	feed.residents(60, "batch")
	feed.measure(110, 1000, 0)
	feed.measure(200, 3*int(interference.Defaults().MaxWeight), 0)
	assertNear(t, "after the shift", feed.model.Slowdown("checks", []string{"batch"}), 200, 90/20+5)
}

// TestLoadBuckets guards against predicting the harm at one load from that at another.
func TestLoadBuckets(t *testing.T) {
	feed := newFeed()
	for range 20 {
		feed.residents(20, "batch")
		feed.measure(105, 5, 0)
		feed.residents(95, "batch")
		feed.measure(180, 5, 0)
	}
	assertNear(t, "low load", feed.model.At(20).Slowdown("checks", []string{"batch"}), 105, 10)
	assertNear(t, "high load", feed.model.At(95).Slowdown("checks", []string{"batch"}), 180, 10)
}

// TestForgetsPairs guards against acting on interference that was last seen long ago.
func TestForgetsPairs(t *testing.T) {
	feed := newFeed()
	feed.residents(60, "batch")
	feed.measure(200, 100, 0)
	feed.fake.Advance(20 * interference.Defaults().HalfLifeMillis)
	feed.residents(60)
	assertNear(t, "after 20 half-lives", feed.model.Slowdown("checks", []string{"batch"}), 100, 1)
}

// TestExchange guards against estimates echoing between entries, against repeating unchanged ones,
// and against an entry's estimates outliving it or coming from a malformed message.
func TestExchange(t *testing.T) {
	sender, receiver := newFeed(), newFeed()
	sender.residents(60, "batch")
	sender.measure(180, 100, 0)
	sent := sender.model.Export(10, false)
	if len(sent) != 1 || len(sender.model.Export(10, false)) != 0 {
		t.Fatalf("exported %v, then %v", sent, sender.model.Export(10, false))
	}
	receiver.residents(60)
	receiver.model.Import("entry-a", sent)
	assertNear(t, "imported", receiver.model.Slowdown("checks", []string{"batch"}), 180, 10)
	if echo := receiver.model.Export(10, true); len(echo) != 0 {
		t.Fatalf("imported estimates are passed on: %v", echo)
	}
	receiver.residents(60, "batch")
	receiver.measure(120, 200, 0)
	mixed := receiver.model.Slowdown("checks", []string{"batch"})
	if mixed <= 120 || mixed >= 150 {
		t.Fatalf("own estimate of 120 and imported one of 180 at half the weight give %d", mixed)
	}
	receiver.model.ForgetEntry("entry-a")
	assertNear(t, "without the sender", receiver.model.Slowdown("checks", []string{"batch"}), 120, 5)
	receiver.model.Import("entry-b", []*controlpb.PairEstimate{
		nil, {Victim: "checks", Aggressor: "batch", SlowdownPercent: -5, WeightMilli: 1 << 40}, {Victim: "checks", Aggressor: "batch", SlowdownPercent: 500},
	})
	assertNear(t, "after malformed estimates", receiver.model.Slowdown("checks", []string{"batch"}), 120, 5)
}

// TestBounded guards against memory that grows with the number of classes ever seen.
func TestBounded(t *testing.T) {
	feed := newFeed()
	limit := interference.Defaults().MaxPairs
	for index := range 2 * limit {
		feed.fake.Advance(5 * clock.Second)
		class := ident.Task{Job: "class", Index: index}.String()
		feed.residents(60, class)
		feed.fake.Advance(5 * clock.Second)
		feed.model.Observe("worker", "checks", 150, 0, feed.fake.Now())
	}
	if known := len(feed.model.Export(4*limit, true)); known > limit {
		t.Fatalf("%d pairs known, limit %d", known, limit)
	}
}
