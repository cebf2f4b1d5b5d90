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

const (
	// seedsVariable is the environment variable with the seeds of a manual run, as in "1-50", and
	// secondsVariable the one with the seconds of fault injection per seed.
	seedsVariable   = "HYSSOPJUNCTION_SOAK_SEEDS"
	secondsVariable = "HYSSOPJUNCTION_SOAK_SECONDS"
	// ciSeconds is the time of fault injection per seed in CI.
	ciSeconds = 8
	// submitInterval is the time between two submissions.
	submitInterval = 70 * time.Millisecond
	// cancelProbability is the share of jobs that are cancelled shortly after they were accepted.
	cancelProbability = 0.1
	// failureProbability is the share of runs that fail.
	failureProbability = 0.03
	// settleTimeout is the time after the last fault within which all jobs must end. It is several times the sum
	// of the longest lease, a change of leaders and the work itself.
	settleTimeout = 30 * time.Second
)

// ciSeeds returns the seeds that run in CI. Every seed that fails once must be added.
func ciSeeds() []uint64 { return []uint64{1, 2} }

// TestSoak guards against jobs that are lost, run twice, run although their submission was refused, reported
// in a state that contradicts their runs, or not ended after their cancellation, while processes are killed,
// paused and stopped, links are silenced, slowed and reset, the store fails in several ways, and workers
// crash.
func TestSoak(t *testing.T) {
	seeds, seconds := ciSeeds(), ciSeconds
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

func soak(t *testing.T, seed uint64, duration time.Duration) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	deployment := newDeployment(t, planRun)
	callers := &callers{deployment: deployment, submissions: map[string]*submission{}}
	callers.await(t, "the first job", func() bool { return callers.submit("first", 0) })
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { callers.submitJobs(rand.New(rand.NewPCG(seed, 1)), stop) })
	for start := time.Now(); time.Since(start) < duration; {
		deployment.injectFault(t, random, &group)
		time.Sleep(time.Duration(200+random.IntN(900)) * time.Millisecond)
	}
	close(stop)
	group.Wait()
	callers.check(t)
	if t.Failed() {
		savedDir, err := os.MkdirTemp("", "soak-failed")
		if err == nil {
			err = os.CopyFS(savedDir, os.DirFS(deployment.dir))
		}
		t.Logf("seed %d: logs in %s (%v)", seed, savedDir, err)
	}
}

// planRun derives from a task's name how long it runs and whether it fails.
func planRun(task string) (time.Duration, bool) {
	sum := 0
	for _, letter := range task {
		sum = (sum*31 + int(letter)) % 1000
	}
	return time.Duration(100+sum) * time.Millisecond, float64(sum) < failureProbability*1000
}

// injectFault starts a random fault, which ends by itself.
func (deployment *deployment) injectFault(t *testing.T, random *rand.Rand, group *sync.WaitGroup) {
	t.Helper()
	nodes := deployment.nodes()
	node := nodes[random.IntN(len(nodes))]
	entry := deployment.entries[random.IntN(len(deployment.entries))]
	worker := deployment.workers[random.IntN(len(deployment.workers))]
	duration := time.Duration(300+random.IntN(3000)) * time.Millisecond
	during := func(begin, end func()) {
		begin()
		group.Go(func() {
			time.Sleep(duration)
			end()
		})
	}
	faults := []struct {
		name string
		run  func()
	}{
		{"kill", func() { node.signal(syscall.SIGKILL) }},
		{"end", func() { entry.signal(syscall.SIGTERM) }},
		{"reload", func() { node.signal(syscall.SIGHUP) }},
		{"kill all", func() {
			for _, each := range nodes {
				each.signal(syscall.SIGKILL)
			}
		}},
		{"pause", func() {
			during(func() { node.signal(syscall.SIGSTOP) }, func() { node.signal(syscall.SIGCONT) })
		}},
		{"silence the store's link", func() {
			during(func() { node.storeLink.setFault(true, 0) }, func() { node.storeLink.setFault(false, 0) })
		}},
		{"slow the store's link", func() {
			during(func() { node.storeLink.setFault(false, 100*time.Millisecond) }, func() { node.storeLink.setFault(false, 0) })
		}},
		{"reset the store's link", node.storeLink.reset},
		{"silence a worker's link", func() {
			during(func() { worker.agentLink.setFault(true, 0) }, func() { worker.agentLink.setFault(false, 0) })
		}},
		{"reset a worker's link", worker.agentLink.reset},
		{"crash a worker", func() { worker.restart(deployment) }},
		{"store busy", func() { deployment.failStore(during, platformtest.Busy, random.Float64()) }},
		{"store resets", func() { deployment.failStore(during, platformtest.Reset, random.Float64()) }},
		{"store loses answers", func() { deployment.failStore(during, platformtest.Lost, random.Float64()) }},
		{"store silent", func() { deployment.failStore(during, platformtest.Silent, random.Float64()) }},
		{"store compacts its history", deployment.store.CompactHistory},
		{"store slow", func() {
			during(func() { deployment.store.SetTransactionTime(150 * time.Millisecond) }, func() { deployment.store.SetTransactionTime(0) })
		}},
		{"configure", func() { deployment.configure(int(time.Now().UnixMilli() % 1e9)) }},
	}
	fault := faults[random.IntN(len(faults))]
	t.Logf("%s: %s on %s, %s, %s", time.Now().Format("05.000"), fault.name, node.name, entry.name, worker.agent.ip)
	fault.run()
}

func (deployment *deployment) failStore(during func(begin, end func()), fault platformtest.Fault, probability float64) {
	random := rand.New(rand.NewPCG(uint64(probability*1e9), 2))
	var mu sync.Mutex
	during(func() {
		deployment.store.SetFault(func(*http.Request) platformtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < probability {
				return fault
			}
			return platformtest.None
		})
	}, func() { deployment.store.SetFault(nil) })
}
