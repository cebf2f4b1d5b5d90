package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
)

// read makes a call that changes nothing.
func read[Result any](ctx context.Context, client *Client, path string, query url.Values) (Result, error) {
	var result Result
	err := client.call(ctx, http.MethodGet, path, query, "", nil, &result)
	return result, err
}

// write makes a call that changes something. All its attempts have the same request id.
func write[Result any](ctx context.Context, client *Client, method, path string, body any) (Result, error) {
	var result Result
	err := client.call(ctx, method, path, nil, client.newRequestID(), body, &result)
	return result, err
}

// parameters builds a query from pairs of name and value, without empty values and zeros.
func parameters(pairs ...string) url.Values {
	query := url.Values{}
	for index := 0; index+1 < len(pairs); index += 2 {
		if value := pairs[index+1]; value != "" && value != "0" {
			query.Set(pairs[index], value)
		}
	}
	return query
}

func escapePath[Name ~string](name Name) string {
	return url.PathEscape(string(name))
}

func formatVersion(version ident.Version) string {
	return strconv.FormatUint(uint64(version), 10)
}

// Presets returns the presets and the one in force.
func (client *Client) Presets(ctx context.Context) (PresetList, error) {
	return read[PresetList](ctx, client, "/presets", nil)
}

// SetPreset puts a preset in force.
func (client *Client) SetPreset(ctx context.Context, change PresetChange) (Accepted, error) {
	return write[Accepted](ctx, client, http.MethodPut, "/preset", change)
}

// DataCentres returns the data centres and their states.
func (client *Client) DataCentres(ctx context.Context) (DataCentreList, error) {
	return read[DataCentreList](ctx, client, "/datacentres", nil)
}

// SetDataCentre takes a data centre out or in.
func (client *Client) SetDataCentre(ctx context.Context, change DataCentreChange) (Accepted, error) {
	return write[Accepted](ctx, client, http.MethodPut, "/datacentres/"+escapePath(change.DataCentre), change)
}

// Services returns the services.
func (client *Client) Services(ctx context.Context) (ServiceList, error) {
	return read[ServiceList](ctx, client, "/services", nil)
}

// SetService creates or replaces a service.
func (client *Client) SetService(ctx context.Context, change ServiceChange) (Accepted, error) {
	return write[Accepted](ctx, client, http.MethodPut, "/services/"+escapePath(change.Service), change)
}

// Teams returns the teams with their quotas and usage.
func (client *Client) Teams(ctx context.Context) (TeamList, error) {
	return read[TeamList](ctx, client, "/teams", nil)
}

// SetTeam creates a team or replaces its quota.
func (client *Client) SetTeam(ctx context.Context, change TeamChange) (Accepted, error) {
	return write[Accepted](ctx, client, http.MethodPut, "/teams/"+escapePath(change.Team), change)
}

// SubmitJob submits a job.
func (client *Client) SubmitJob(ctx context.Context, submission JobSubmission) (JobState, error) {
	return write[JobState](ctx, client, http.MethodPost, "/jobs", submission)
}

// Jobs returns a page of the jobs that match.
func (client *Client) Jobs(ctx context.Context, filter JobFilter) (JobList, error) {
	return read[JobList](ctx, client, "/jobs", parameters("Team", string(filter.Team), "State", filter.State,
		"After", string(filter.After), "Limit", strconv.Itoa(filter.Limit)))
}

// Job returns one job.
func (client *Client) Job(ctx context.Context, job ident.Job) (JobState, error) {
	return read[JobState](ctx, client, "/jobs/"+escapePath(job), nil)
}

// ExplainJob explains why the job's tasks run where they do, or why they do not run.
func (client *Client) ExplainJob(ctx context.Context, job ident.Job) (Explanation, error) {
	return read[Explanation](ctx, client, "/jobs/"+escapePath(job)+"/explanation", nil)
}

// CancelJob cancels a job.
func (client *Client) CancelJob(ctx context.Context, job ident.Job) (JobState, error) {
	return write[JobState](ctx, client, http.MethodPost, "/jobs/"+escapePath(job)+"/cancel", nil)
}

// Workers returns a page of the workers that match.
func (client *Client) Workers(ctx context.Context, filter WorkerFilter) (WorkerList, error) {
	return read[WorkerList](ctx, client, "/workers", parameters("DataCentre", string(filter.DataCentre), "State", filter.State,
		"After", string(filter.After), "Limit", strconv.Itoa(filter.Limit)))
}

// DeclareLost declares that an incarnation of a worker has ended.
func (client *Client) DeclareLost(ctx context.Context, loss WorkerLoss) (Accepted, error) {
	return write[Accepted](ctx, client, http.MethodPost, "/workers/"+escapePath(loss.Worker)+"/lost", loss)
}

// History returns a page of configuration changes, newest first.
func (client *Client) History(ctx context.Context, filter HistoryFilter) (HistoryList, error) {
	return read[HistoryList](ctx, client, "/config/history", parameters("Document", filter.Document,
		"Before", formatVersion(filter.Before), "Limit", strconv.Itoa(filter.Limit)))
}

// Diff returns the documents that differ between two configuration versions.
func (client *Client) Diff(ctx context.Context, from, to ident.Version) (DiffList, error) {
	return read[DiffList](ctx, client, "/config/diff", parameters("From", formatVersion(from), "To", formatVersion(to)))
}

// Wait returns once the version is in force everywhere or patience has passed. The entry limits the
// patience of one call, so longer waits take several calls.
func (client *Client) Wait(ctx context.Context, version ident.Version, patience clock.Millis) (VersionStatus, error) {
	return read[VersionStatus](ctx, client, "/config/wait", parameters("Version", formatVersion(version),
		"PatienceMillis", strconv.FormatInt(int64(patience), 10)))
}

// Status returns a summary of the system.
func (client *Client) Status(ctx context.Context) (Status, error) {
	return read[Status](ctx, client, "/status", nil)
}
