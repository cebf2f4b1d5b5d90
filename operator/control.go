// Package operator implements the operators' HTTP API under /operator/v1/: the server that runs in an
// entry daemon and the client that the command line uses.
package operator

import (
	"context"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// Call identifies a change and its author. Changes are idempotent by Request: a repeated call with the
// same Request returns the result of the first and has no second effect.
type Call struct {
	Operator string
	Request  ident.Request
}

// Control carries out operators' calls in the entry daemon. Its errors are ErrBadRequest, ErrConflict,
// ErrElsewhere, ErrNotFound, ErrRetryLater, ErrTaken, ErrUnknownOutcome and the errors of package table;
// any other error is reported as internal. A call that fails with ErrRetryLater had no effect.
type Control interface {
	// Presets returns the presets and the one in force.
	Presets(ctx context.Context) (PresetList, error)
	// SetPreset puts a preset in force.
	SetPreset(ctx context.Context, call Call, change PresetChange) (Accepted, error)
	// DataCentres returns the data centres and their states.
	DataCentres(ctx context.Context) (DataCentreList, error)
	// SetDataCentre takes a data centre out or in.
	SetDataCentre(ctx context.Context, call Call, change DataCentreChange) (Accepted, error)
	// Services returns the services.
	Services(ctx context.Context) (ServiceList, error)
	// SetService creates or replaces a service.
	SetService(ctx context.Context, call Call, change ServiceChange) (Accepted, error)
	// Teams returns the teams with their quotas and usage.
	Teams(ctx context.Context) (TeamList, error)
	// SetTeam creates a team or replaces its quota.
	SetTeam(ctx context.Context, call Call, change TeamChange) (Accepted, error)
	// SubmitJob accepts a job. Its name must be new.
	SubmitJob(ctx context.Context, call Call, submission JobSubmission) (JobState, error)
	// Jobs returns the jobs that match, in ascending order of name.
	Jobs(ctx context.Context, filter JobFilter) (JobList, error)
	// Job returns one job.
	Job(ctx context.Context, job ident.Job) (JobState, error)
	// ExplainJob explains why the job's tasks run where they do, or why they do not run.
	ExplainJob(ctx context.Context, job ident.Job) (Explanation, error)
	// CancelJob cancels a job. It is final: no task of the job starts afterwards.
	CancelJob(ctx context.Context, call Call, job ident.Job) (JobState, error)
	// Workers returns the workers that match, in ascending order of name.
	Workers(ctx context.Context, filter WorkerFilter) (WorkerList, error)
	// DeclareLost declares that an incarnation of a worker has ended, so that its tasks are placed again.
	DeclareLost(ctx context.Context, call Call, loss WorkerLoss) (Accepted, error)
	// History returns configuration changes, newest first.
	History(ctx context.Context, filter HistoryFilter) (HistoryList, error)
	// Diff returns the documents that differ between two configuration versions.
	Diff(ctx context.Context, from, to ident.Version) (DiffList, error)
	// Wait returns once the version is in force everywhere or patience has passed.
	Wait(ctx context.Context, version ident.Version, patience clock.Millis) (VersionStatus, error)
	// Status returns a summary of the system.
	Status(ctx context.Context) (Status, error)
}
