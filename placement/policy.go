package placement

import (
	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/unit"
)

// Sizer returns what to reserve for a task.
type Sizer interface {
	Size(job ident.Job, class string, declared unit.Resources) unit.Resources
}

// Interference predicts the slowdown of a task of class beside the classes in residents, in
// percent; 100 means no slowdown.
type Interference interface {
	Slowdown(class string, residents []string) int
}

// Health reports which workers may get tasks, and which jobs are parked because of failures.
type Health interface {
	Usable(worker ident.Worker, now clock.Time) bool
	Parked(job ident.Job, now clock.Time) (reason string, parked bool)
}

// Quotas decides whether a team may use want in addition to the usage in its row, as last passed to
// UsageObserver.
type Quotas interface {
	Admit(team ident.Team, want unit.Resources, urgent bool) (reason string, ok bool)
}

// UsageObserver is implemented by Quotas that need to know the teams' usage. Observe is called
// whenever this entry learns the content of a team's row.
type UsageObserver interface {
	Observe(team ident.Team, used unit.Resources)
}

// DeclaredSizes is the Sizer that returns the declared size.
type DeclaredSizes struct{}

// Size returns declared.
func (DeclaredSizes) Size(_ ident.Job, _ string, declared unit.Resources) unit.Resources {
	return declared
}

// NoInterference is the Interference model in which no task slows another down.
type NoInterference struct{}

// Slowdown returns 100.
func (NoInterference) Slowdown(string, []string) int { return 100 }

// AllUsable is the Health that allows every worker and job.
type AllUsable struct{}

// Usable returns true.
func (AllUsable) Usable(ident.Worker, clock.Time) bool { return true }

// Parked returns false.
func (AllUsable) Parked(ident.Job, clock.Time) (reason string, parked bool) { return "", false }

// Unlimited is the Quotas without limits.
type Unlimited struct{}

// Admit returns true.
func (Unlimited) Admit(ident.Team, unit.Resources, bool) (reason string, ok bool) { return "", true }
