package capacity

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

var whole = unit.Resources{CPU: 4000, Memory: 8000, Accelerators: 1}

func ready() *Ledger {
	ledger := New(Settings{})
	ledger.Rebuild(whole, nil, nil, 1000)
	return ledger
}

// model is what must hold of a ledger, kept apart from it.
type model struct {
	running map[ident.Task]Entry
	// over holds the highest epoch of each task that ended or was refused a start.
	over     map[ident.Task]ident.Epoch
	reserved map[ident.Task]clock.Time
	asked    map[ident.Task]Entry
	starts   int
}

// TestLedger runs random calls and guards against overcommitment (I1), a start without a live
// reservation or after its expiry (I4), and a start of an epoch that is over (I2, I3).
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		ledger, now := ready(), clock.Time(1000)
		known := &model{running: make(map[ident.Task]Entry), over: make(map[ident.Task]ident.Epoch), reserved: make(map[ident.Task]clock.Time), asked: make(map[ident.Task]Entry)}
		for range 300 {
			now = now.Add(clock.Millis(random.IntN(400)))
			known.step(t, ledger, random, now)
			var sum unit.Resources
			for _, entry := range ledger.Entries() {
				sum = sum.Add(entry.Size)
			}
			if sum != ledger.Used() || !sum.FitsIn(whole) {
				t.Fatalf("entries hold %s, ledger says %s", sum, ledger.Used())
			}
		}
		if known.starts == 0 {
			t.Fatal("nothing started, so the run checks nothing")
		}
	})
}

func (known *model) step(t *rapid.T, ledger *Ledger, random *rand.Rand, now clock.Time) {
	task := ident.Task{Job: "job", Index: random.IntN(4)}
	epoch := max(1, known.over[task]+ident.Epoch(random.IntN(3)))
	reservation := Reservation("one")
	if random.IntN(5) == 0 {
		reservation = "two"
	}
	size := unit.Resources{CPU: unit.MilliCPU(500 * (1 + random.IntN(5))), Memory: unit.Mebibytes(1000 * (1 + random.IntN(4))), Accelerators: unit.Accelerators(random.IntN(2))}
	// Most starts follow a reservation, as an entry's do; a refused one ends the epoch.
	if last, ok := known.asked[task]; ok && random.IntN(3) != 0 {
		epoch, reservation = last.Epoch, last.Reservation
	}
	switch random.IntN(8) {
	case 0, 1, 2:
		if err := ledger.Reserve(reservation, task, epoch, size, 0, now); err == nil {
			if known.over[task] >= epoch {
				t.Fatalf("epoch %d is over and was reserved", epoch)
			}
			known.reserved[task] = now
			known.asked[task] = Entry{Epoch: epoch, Reservation: reservation}
		}
	case 3, 4, 5:
		_, runs := known.running[task]
		already, err := ledger.Start(reservation, task, epoch, now)
		switch {
		case err == nil && !already && runs:
			t.Fatal("second start of a running task")
		case err == nil && !already && known.over[task] >= epoch:
			t.Fatalf("epoch %d is over and was started", epoch)
		case err == nil && !already && now.Sub(known.reserved[task]) > DefaultReservationTerm:
			t.Fatal("start after the expiry")
		case err == nil && !already:
			known.starts++
			known.running[task] = Entry{Task: task, Epoch: epoch}
		case err != nil:
			known.over[task] = max(known.over[task], epoch)
			delete(known.asked, task)
		}
	case 6:
		if entry, ok := known.running[task]; ok {
			if !ledger.Ended(task, entry.Epoch, now) {
				t.Fatal("running task is unknown")
			}
			if already, err := ledger.Start("late", task, entry.Epoch, now); !already || err != nil {
				t.Fatalf("repeated start of an ended task: %t %v", already, err)
			}
			delete(known.running, task)
			known.over[task] = max(known.over[task], entry.Epoch)
			ledger.Forget(task, entry.Epoch)
		}
	case 7:
		ledger.Release(reservation, task)
	}
}

// TestRebuild guards against admission before the worker's list is known, above a smaller capacity,
// and against a restart that forgets what runs or ended.
func TestRebuild(t *testing.T) {
	task, ended := ident.Task{Job: "job", Index: 1}, ident.Task{Job: "job", Index: 2}
	ledger := New(Settings{})
	if err := ledger.Reserve("one", task, 1, whole, 0, 1000); !IsErrNotRebuilt(err) {
		t.Fatalf("got %v", err)
	}
	if _, err := ledger.Start("one", task, 1, 1000); !IsErrNotRebuilt(err) {
		t.Fatalf("got %v", err)
	}
	ledger.Rebuild(unit.Resources{CPU: 1000, Memory: 1000}, []Entry{{Task: task, Epoch: 3, Size: whole}}, []Entry{{Task: ended, Epoch: 2}}, 1000)
	small := unit.Resources{CPU: 100, Memory: 100}
	if err := ledger.Reserve("one", ident.Task{Job: "job", Index: 3}, 1, small, 0, 1000); !IsErrNoRoom(err) {
		t.Fatalf("got %v", err)
	}
	if already, err := ledger.Start("", task, 3, 1000); !already || err != nil {
		t.Fatalf("running task is refused: %v", err)
	}
	if already, err := ledger.Start("", ended, 2, 1000); !already || err != nil {
		t.Fatalf("ended task is refused: %v", err)
	}
	if err := ledger.Reserve("one", ended, 2, small, 0, 1000); !IsErrStaleEpoch(err) {
		t.Fatalf("got %v", err)
	}
}

// TestDraining guards against new work on a worker that is being emptied.
func TestDraining(t *testing.T) {
	ledger, task := ready(), ident.Task{Job: "job"}
	if err := ledger.Reserve("one", task, 1, whole, 0, 1000); err != nil {
		t.Fatal(err)
	}
	ledger.Drain(true)
	if _, err := ledger.Start("one", task, 1, 1001); !IsErrDraining(err) {
		t.Fatalf("got %v", err)
	}
	if err := ledger.Reserve("one", task, 2, whole, 0, 1002); !IsErrDraining(err) {
		t.Fatalf("got %v", err)
	}
	if !ledger.Used().IsZero() {
		t.Fatal("refused start keeps its reservation")
	}
}

// TestFence guards against a start that arrives after the stop of its epoch was answered.
func TestFence(t *testing.T) {
	ledger, task := ready(), ident.Task{Job: "job"}
	if err := ledger.Reserve("one", task, 4, whole, 0, 1000); err != nil {
		t.Fatal(err)
	}
	if ledger.Fence(task, 4, 1001) {
		t.Fatal("a reservation counts as running")
	}
	if _, err := ledger.Start("one", task, 4, 1002); !IsErrStaleEpoch(err) {
		t.Fatalf("got %v", err)
	}
	if err := ledger.Reserve("two", task, 5, whole, 0, 1003); err != nil {
		t.Fatal(err)
	}
}
