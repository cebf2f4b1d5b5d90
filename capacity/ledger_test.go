package capacity

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

var workerCapacity = unit.Resources{CPU: 4000, Memory: 8000, Accelerators: 1}

// newReadyLedger returns an empty ledger that admits tasks.
func newReadyLedger() *Ledger {
	ledger := New(Settings{})
	ledger.Rebuild(workerCapacity, nil, nil, 1000)
	return ledger
}

// model is the expected state of a ledger.
type model struct {
	running map[ident.Task]Entry
	// ended holds the highest epoch of each task that ended or was refused a start.
	ended      map[ident.Task]ident.Epoch
	reservedAt map[ident.Task]clock.Time
	// reservations holds the last reservation of each task.
	reservations map[ident.Task]Entry
	starts       int
}

// TestRandomCallsKeepInvariants makes random calls and guards against overcommitment (I1), a start
// after the reservation expired (I4), and a start of an epoch that is over (I2, I3).
func TestRandomCallsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		ledger, now := newReadyLedger(), clock.Time(1000)
		model := &model{running: make(map[ident.Task]Entry), ended: make(map[ident.Task]ident.Epoch), reservedAt: make(map[ident.Task]clock.Time), reservations: make(map[ident.Task]Entry)}
		for range 300 {
			now = now.Add(clock.Millis(random.IntN(400)))
			model.step(t, ledger, random, now)
			var sum unit.Resources
			for _, entry := range ledger.Entries() {
				sum = sum.Add(entry.Size)
			}
			if sum != ledger.Used() || !sum.FitsIn(workerCapacity) {
				t.Fatalf("entries hold %s, ledger says %s", sum, ledger.Used())
			}
		}
		if model.starts == 0 {
			t.Fatal("nothing started, so the run checks nothing")
		}
	})
}

func (model *model) step(t *rapid.T, ledger *Ledger, random *rand.Rand, now clock.Time) {
	task := ident.Task{Job: "job", Index: random.IntN(4)}
	epoch := max(1, model.ended[task]+ident.Epoch(random.IntN(3)))
	reservation := Reservation("one")
	if random.IntN(5) == 0 {
		reservation = "two"
	}
	size := unit.Resources{CPU: unit.MilliCPU(500 * (1 + random.IntN(5))), Memory: unit.Mebibytes(1000 * (1 + random.IntN(4))), Accelerators: unit.Accelerators(random.IntN(2))}
	// Most starts use the last reservation, as those of an entry do. A refused start ends the epoch.
	if reserved, ok := model.reservations[task]; ok && random.IntN(3) != 0 {
		epoch, reservation = reserved.Epoch, reserved.Reservation
	}
	switch random.IntN(8) {
	case 0, 1, 2:
		if err := ledger.Reserve(reservation, task, epoch, size, 0, now); err == nil {
			if model.ended[task] >= epoch {
				t.Fatalf("epoch %d is over and was reserved", epoch)
			}
			model.reservedAt[task] = now
			model.reservations[task] = Entry{Epoch: epoch, Reservation: reservation}
		}
	case 3, 4, 5:
		_, runs := model.running[task]
		alreadyStarted, err := ledger.Start(reservation, task, epoch, now)
		switch {
		case err == nil && !alreadyStarted && runs:
			t.Fatal("second start of a running task")
		case err == nil && !alreadyStarted && model.ended[task] >= epoch:
			t.Fatalf("epoch %d is over and was started", epoch)
		case err == nil && !alreadyStarted && now.Sub(model.reservedAt[task]) > DefaultReservationTerm:
			t.Fatal("start after the expiry")
		case err == nil && !alreadyStarted:
			model.starts++
			model.running[task] = Entry{Task: task, Epoch: epoch}
		case err != nil:
			model.ended[task] = max(model.ended[task], epoch)
			delete(model.reservations, task)
		}
	case 6:
		if entry, ok := model.running[task]; ok {
			if !ledger.Ended(task, entry.Epoch, now) {
				t.Fatal("running task is unknown")
			}
			if alreadyStarted, err := ledger.Start("late", task, entry.Epoch, now); !alreadyStarted || err != nil {
				t.Fatalf("repeated start of an ended task: %t %v", alreadyStarted, err)
			}
			delete(model.running, task)
			model.ended[task] = max(model.ended[task], entry.Epoch)
			ledger.RemoveEnded(task, entry.Epoch)
		}
	case 7:
		ledger.Release(reservation, task)
	}
}

// TestRebuildRestoresWorkerList guards against admitting tasks before the worker's list was read or
// while the running tasks exceed the capacity, and against losing running or ended tasks on a restart.
func TestRebuildRestoresWorkerList(t *testing.T) {
	task, ended := ident.Task{Job: "job", Index: 1}, ident.Task{Job: "job", Index: 2}
	ledger := New(Settings{})
	if err := ledger.Reserve("one", task, 1, workerCapacity, 0, 1000); !IsErrNotRebuilt(err) {
		t.Fatalf("got %v", err)
	}
	if _, err := ledger.Start("one", task, 1, 1000); !IsErrNotRebuilt(err) {
		t.Fatalf("got %v", err)
	}
	ledger.Rebuild(unit.Resources{CPU: 1000, Memory: 1000}, []Entry{{Task: task, Epoch: 3, Size: workerCapacity}}, []Entry{{Task: ended, Epoch: 2}}, 1000)
	small := unit.Resources{CPU: 100, Memory: 100}
	if err := ledger.Reserve("one", ident.Task{Job: "job", Index: 3}, 1, small, 0, 1000); !IsErrNoRoom(err) {
		t.Fatalf("got %v", err)
	}
	if alreadyStarted, err := ledger.Start("", task, 3, 1000); !alreadyStarted || err != nil {
		t.Fatalf("running task is refused: %v", err)
	}
	if alreadyStarted, err := ledger.Start("", ended, 2, 1000); !alreadyStarted || err != nil {
		t.Fatalf("ended task is refused: %v", err)
	}
	if err := ledger.Reserve("one", ended, 2, small, 0, 1000); !IsErrStaleEpoch(err) {
		t.Fatalf("got %v", err)
	}
}

// TestDrainingWorkerTakesNoWork guards against reservations and starts on a worker that is draining.
func TestDrainingWorkerTakesNoWork(t *testing.T) {
	ledger, task := newReadyLedger(), ident.Task{Job: "job"}
	if err := ledger.Reserve("one", task, 1, workerCapacity, 0, 1000); err != nil {
		t.Fatal(err)
	}
	ledger.Drain(true)
	if _, err := ledger.Start("one", task, 1, 1001); !IsErrDraining(err) {
		t.Fatalf("got %v", err)
	}
	if err := ledger.Reserve("one", task, 2, workerCapacity, 0, 1002); !IsErrDraining(err) {
		t.Fatalf("got %v", err)
	}
	if !ledger.Used().IsZero() {
		t.Fatal("refused start keeps its reservation")
	}
}

// TestFencedEpochCannotStart guards against a start that arrives after the stop of its epoch was
// confirmed.
func TestFencedEpochCannotStart(t *testing.T) {
	ledger, task := newReadyLedger(), ident.Task{Job: "job"}
	if err := ledger.Reserve("one", task, 4, workerCapacity, 0, 1000); err != nil {
		t.Fatal(err)
	}
	if ledger.Fence(task, 4, 1001) {
		t.Fatal("a reservation counts as running")
	}
	if _, err := ledger.Start("one", task, 4, 1002); !IsErrStaleEpoch(err) {
		t.Fatalf("got %v", err)
	}
	if err := ledger.Reserve("two", task, 5, workerCapacity, 0, 1003); err != nil {
		t.Fatal(err)
	}
}
