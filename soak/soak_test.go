package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hyssopjunction/standin/platformtest"
)

// The variable names the seeds of a run by hand, as "1-50"; its second one is the seconds of faults.
const (
	seedsVariable   = "HYSSOPJUNCTION_SOAK_SEEDS"
	secondsVariable = "HYSSOPJUNCTION_SOAK_SECONDS"
	// shortSeconds of faults with shortSeeds are part of CI.
	shortSeconds = 8
	// submitGap separates the jobs that callers submit.
	submitGap = 70 * time.Millisecond
	// cancelShare of the jobs are cancelled a while after they were accepted.
	cancelShare = 0.1
	// failShare of the runs fail.
	failShare = 0.03
	// settleTime is how long after the last fault all jobs must have ended: the longest lease, a change of
	// leaders and the work itself, several times over.
	settleTime = 30 * time.Second
)

// shortSeeds run in CI, together with each seed that ever failed.
func shortSeeds() []uint64 { return []uint64{1, 2} }

// Guards against jobs that are lost, doubled, run without having been accepted, shown in a state that their
// runs do not bear out, or run for ever after their cancellation, while processes are killed, paused and ended, links are cut, silenced, slowed and reset, the
// store fails in its ways, and workers crash.
func TestSoak(t *testing.T) {
	seeds, seconds := shortSeeds(), shortSeconds
	if text := os.Getenv(seedsVariable); text != "" {
		from, to, _ := strings.Cut(text, "-")
		first, err := strconv.ParseUint(from, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		last := first
		if to != "" {
			if last, err = strconv.ParseUint(to, 10, 64); err != nil {
				t.Fatal(err)
			}
		}
		seeds = nil
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	if text := os.Getenv(secondsVariable); text != "" {
		var err error
		if seconds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	if testing.Short() {
		t.Skip("starts seven processes")
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed, time.Duration(seconds)*time.Second) })
	}
}

func soak(t *testing.T, seed uint64, lasting time.Duration) {
	t.Helper()
	source := rand.New(rand.NewPCG(seed, 0))
	world := newDeployment(t, lengthOf)
	callers := &callers{world: world, known: map[string]*submission{}}
	callers.await(t, "the first job", func() bool { return callers.submit("first", 0) })
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { callers.work(rand.New(rand.NewPCG(seed, 1)), stop) })
	for began := time.Now(); time.Since(began) < lasting; {
		world.disturb(t, source, &group)
		time.Sleep(time.Duration(200+source.IntN(900)) * time.Millisecond)
	}
	close(stop)
	group.Wait()
	callers.check(t)
	if t.Failed() {
		kept, err := os.MkdirTemp("", "soak-failed")
		if err == nil {
			err = os.CopyFS(kept, os.DirFS(world.dir))
		}
		t.Logf("seed %d: logs in %s (%v)", seed, kept, err)
	}
}

// lengthOf decides by the name how long a task runs and whether the run fails.
func lengthOf(task string) (time.Duration, bool) {
	sum := 0
	for _, letter := range task {
		sum = (sum*31 + int(letter)) % 1000
	}
	return time.Duration(100+sum) * time.Millisecond, float64(sum) < failShare*1000
}

// disturb begins a fault, which ends by itself.
func (world *deployment) disturb(t *testing.T, source *rand.Rand, group *sync.WaitGroup) {
	t.Helper()
	nodes := world.nodes()
	target := nodes[source.IntN(len(nodes))]
	entry := world.entries[source.IntN(len(world.entries))]
	worker := world.workers[source.IntN(len(world.workers))]
	lasting := time.Duration(300+source.IntN(3000)) * time.Millisecond
	during := func(begin, end func()) {
		begin()
		group.Go(func() {
			time.Sleep(lasting)
			end()
		})
	}
	faults := []struct {
		name string
		run  func()
	}{
		{"kill", func() { target.signal(syscall.SIGKILL) }},
		{"end", func() { entry.signal(syscall.SIGTERM) }},
		{"reload", func() { target.signal(syscall.SIGHUP) }},
		{"kill all", func() {
			for _, each := range nodes {
				each.signal(syscall.SIGKILL)
			}
		}},
		{"pause", func() {
			during(func() { target.signal(syscall.SIGSTOP) }, func() { target.signal(syscall.SIGCONT) })
		}},
		{"silence the store's link", func() { during(func() { target.link.set(true, 0) }, func() { target.link.set(false, 0) }) }},
		{"slow the store's link", func() {
			during(func() { target.link.set(false, 100*time.Millisecond) }, func() { target.link.set(false, 0) })
		}},
		{"reset the store's link", target.link.reset},
		{"silence a worker's link", func() { during(func() { worker.link.set(true, 0) }, func() { worker.link.set(false, 0) }) }},
		{"reset a worker's link", worker.link.reset},
		{"crash a worker", func() { worker.reborn(world) }},
		{"store busy", func() { world.failStore(during, platformtest.Busy, source.Float64()) }},
		{"store resets", func() { world.failStore(during, platformtest.Reset, source.Float64()) }},
		{"store loses answers", func() { world.failStore(during, platformtest.Lost, source.Float64()) }},
		{"store silent", func() { world.failStore(during, platformtest.Silent, source.Float64()) }},
		{"store forgets", world.store.CompactHistory},
		{"store slow", func() {
			during(func() { world.store.SetSlowness(150 * time.Millisecond) }, func() { world.store.SetSlowness(0) })
		}},
		{"configure", func() { world.configure(int(time.Now().UnixMilli() % 1e9)) }},
	}
	chosen := faults[source.IntN(len(faults))]
	t.Logf("%s: %s on %s, %s, %s", time.Now().Format("05.000"), chosen.name, target.name, entry.name, worker.agent.ip)
	chosen.run()
}

func (world *deployment) failStore(during func(begin, end func()), fault platformtest.Fault, share float64) {
	chance := rand.New(rand.NewPCG(uint64(share*1e9), 2))
	var mu sync.Mutex
	during(func() {
		world.store.SetFault(func(*http.Request) platformtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if chance.Float64() < share {
				return fault
			}
			return platformtest.None
		})
	}, func() { world.store.SetFault(nil) })
}
