package placement

import (
	"hyssopjunction/capacity"
	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Settings of a scheduler. A zero value of a field means its default.
type Settings struct {
	// Round is the interval of the Round event, default 500 ms. At 530 starts a second, two claim
	// transactions a second are then enough, and an urgent task is claimed at most one round after
	// its reservation.
	Round clock.Millis
	// ReservationTerm is how long agents hold a reservation, default
	// capacity.DefaultReservationTerm.
	ReservationTerm clock.Millis
	// MaxStarts bounds the reservations and claims that are not committed yet, default 400.
	MaxStarts int
	// MaxRows bounds the job rows of a transaction, default 256.
	MaxRows int
	// Candidates is the number of fitting workers scored per task, default 32.
	Candidates int
	// MaxSlowdown is the highest predicted slowdown in percent a placement may cause or suffer,
	// default 200. Urgent work ignores it.
	MaxSlowdown int
	// DisturbanceWait is how long ordinary work waits for a worker with a predicted slowdown of at
	// most MaxSlowdown, default 1 minute. Afterwards it takes the best worker that has room.
	// Without this limit, a wrong estimate could keep a class of work from starting anywhere, and
	// as nothing would be measured, it would never be corrected.
	DisturbanceWait clock.Millis
	// Starvation is how long ordinary work waits before it takes precedence over team fairness and
	// has workers kept free for it, default 10 minutes.
	Starvation clock.Millis
	// StarvedShare is the percentage of a round's starts that urgent work leaves to starved work,
	// default 20.
	StarvedShare int
	// MaxEvictions is the number of evictions of a task after which preemption spares it, default
	// 3.
	MaxEvictions int
	// MaxFailures is the number of failures after which a batch task is given up, default 10.
	// Failures for lack of memory do not end a task.
	MaxFailures int
	// CheckpointBound is how long a stop with a checkpoint may take before it is repeated without
	// one, default 1.5 s. With a round before it and a round after it, an urgent start stays below
	// 4.2 s.
	CheckpointBound clock.Millis
	// Retry is the interval at which unanswered starts, stops and reads are repeated, default 1 s.
	Retry clock.Millis
	// ParkAfter is how long the set of workers must be unchanged before a job that fits on none is
	// parked, default 30 s.
	ParkAfter clock.Millis
	// Ramp is how long a data centre that returned to service takes to be filled, default 60 s.
	Ramp clock.Millis
	// DrainBound is the time to empty a worker or data centre if the operator gives none, default 5
	// minutes.
	DrainBound clock.Millis
	// Refresh is how often the row of an unfinished job is read again if this scheduler did not
	// write it, default 30 s. It detects a write of an earlier home that arrives after this one
	// loaded the row.
	Refresh clock.Millis
	// NoDrain leaves the tasks of a closed data centre where they are until the bound, and then
	// stops them without a checkpoint. It is the baseline of the drain benchmark.
	NoDrain bool
	// FirstFit places each task on the first worker that fits, in order of name. It is the baseline
	// of the throughput benchmark.
	FirstFit bool
}

func (settings Settings) withDefaults() Settings {
	millis := func(value *clock.Millis, fallback clock.Millis) {
		if *value <= 0 {
			*value = fallback
		}
	}
	count := func(value *int, fallback int) {
		if *value <= 0 {
			*value = fallback
		}
	}
	millis(&settings.Round, 500*clock.Millisecond)
	millis(&settings.ReservationTerm, capacity.DefaultReservationTerm)
	count(&settings.MaxStarts, 400)
	count(&settings.MaxRows, 256)
	count(&settings.Candidates, 32)
	count(&settings.MaxSlowdown, 200)
	millis(&settings.Starvation, 10*clock.Minute)
	millis(&settings.DisturbanceWait, clock.Minute)
	count(&settings.StarvedShare, 20)
	count(&settings.MaxEvictions, 3)
	count(&settings.MaxFailures, 10)
	millis(&settings.CheckpointBound, 1500*clock.Millisecond)
	millis(&settings.Retry, clock.Second)
	millis(&settings.ParkAfter, 30*clock.Second)
	millis(&settings.Ramp, clock.Minute)
	millis(&settings.DrainBound, 5*clock.Minute)
	millis(&settings.Refresh, 30*clock.Second)
	return settings
}

// Dependencies of a scheduler. A nil policy means its trivial implementation.
type Dependencies struct {
	// Entry and Incarnation make write and reservation ids unique.
	Entry        ident.Entry
	Incarnation  ident.Incarnation
	Sizer        Sizer
	Interference Interference
	Health       Health
	Quotas       Quotas
	// Accounts holds the teams' rows. It must agree with Quotas, which is asked when a task is
	// placed, before the claim is charged to the account.
	Accounts Accounts
}

func (dependencies Dependencies) withDefaults() Dependencies {
	if dependencies.Sizer == nil {
		dependencies.Sizer = DeclaredSizes{}
	}
	if dependencies.Interference == nil {
		dependencies.Interference = NoInterference{}
	}
	if dependencies.Health == nil {
		dependencies.Health = AllUsable{}
	}
	if dependencies.Quotas == nil {
		dependencies.Quotas = Unlimited{}
	}
	if dependencies.Accounts == nil {
		dependencies.Accounts = newUsageCounters(dependencies.Quotas)
	}
	return dependencies
}
