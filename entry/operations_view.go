package entry

import (
	"context"
	"strings"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/lease"
	"hyssopjunction/operator"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

const (
	// waitPollInterval is how often Wait checks the versions that the daemons have reported.
	waitPollInterval = 200 * clock.Millisecond
	// maxLagging bounds the names in the answer to Wait.
	maxLagging = 20
)

// Workers returns the workers that match, in ascending order of name.
func (operations *operations) Workers(_ context.Context, filter operator.WorkerFilter) (operator.WorkerList, error) {
	list := operator.WorkerList{}
	now := operations.entry.time.Now()
	quarantined := operations.quarantinedWorkers()
	for _, worker := range operations.entry.membershipPublisher.Current().Workers {
		state := operator.WorkerState{
			Worker: worker.ID, Incarnation: worker.Incarnation, Region: worker.Place.Region,
			DataCentre: worker.Place.DataCentre, Rack: worker.Rack, State: "Live",
			Capacity: worker.Capacity, Used: worker.Used, Tasks: worker.Tasks, Home: worker.Home,
			AgeMillis: now.Sub(worker.SeenAt),
		}
		switch {
		case worker.Draining:
			state.State = "Draining"
		case quarantined.Has(worker.ID):
			state.State, state.Reason = "Quarantined", "tasks of many jobs failed on it"
		}
		if (filter.DataCentre != "" && state.DataCentre != filter.DataCentre) || (filter.State != "" && state.State != filter.State) ||
			(filter.After != "" && state.Worker <= filter.After) {
			continue
		}
		if filter.Limit > 0 && len(list.Workers) == filter.Limit {
			list.More = true
			break
		}
		list.Workers = append(list.Workers, state)
	}
	return list, nil
}

func (operations *operations) quarantinedWorkers() set.Set[ident.Worker] {
	workers := set.New[ident.Worker]()
	operations.entry.control.Call(func() {
		workers = set.New(operations.entry.models.health.Quarantined()...)
	})
	return workers
}

// DeclareLost declares an incarnation of a worker over. It returns ErrBadRequest for a worker that
// still announces itself, because its tasks would run twice.
func (operations *operations) DeclareLost(ctx context.Context, call operator.Call, loss operator.WorkerLoss) (operator.Accepted, error) {
	entry := operations.entry
	row, err := entry.store.Get(ctx, lease.Key(loss.Worker))
	if err != nil {
		return operator.Accepted{}, operatorError(err, call.Request)
	}
	record, err := lease.DecodeRecord(row)
	if err != nil {
		return operator.Accepted{}, err
	}
	accepted := operator.Accepted{Document: string(lease.Key(loss.Worker)), Version: ident.Version(row.Revision)}
	switch {
	case !row.Exists():
		return operator.Accepted{}, operator.ErrNotFound{Kind: "Worker", Name: string(loss.Worker)}
	case record.Over >= loss.Incarnation:
		return accepted, nil
	case record.Incarnation != loss.Incarnation:
		return operator.Accepted{}, operator.ErrConflict{Document: accepted.Document, Winner: string(record.Granter.Entry), Version: accepted.Version}
	case !entry.acceptDeclaration(loss.Worker, record):
		return operator.Accepted{}, operator.ErrBadRequest{Field: "Worker", Reason: "is not silent: its agent announces itself, so its tasks would run twice"}
	}
	err = entry.endIncarnation(ctx, row, loss.Worker, loss.Incarnation, lease.OperatorDeclaration)
	if table.IsErrConflict(err) {
		return operator.Accepted{}, operator.ErrConflict{Document: accepted.Document, Winner: string(record.Granter.Entry)}
	}
	if err != nil {
		return operator.Accepted{}, operatorError(err, call.Request)
	}
	entry.control.Call(func() {
		entry.declarationWritten(loss.Worker, loss.Incarnation)
		entry.incarnationEnded(loss.Worker, loss.Incarnation, lease.OperatorDeclaration)
	})
	accepted.Version++
	return accepted, nil
}

// History returns configuration changes, newest first.
func (operations *operations) History(ctx context.Context, filter operator.HistoryFilter) (operator.HistoryList, error) {
	list := operator.HistoryList{}
	limit := filter.Limit
	if limit <= 0 {
		limit = 50
	}
	newest := operations.view().Version()
	if filter.Before > 0 && filter.Before <= newest {
		newest = filter.Before - 1
	}
	for newest > 0 && len(list.Changes) < limit {
		from := ident.Version(0)
		if newest > rowsPerPage {
			from = newest - rowsPerPage
		}
		records, err := config.History(ctx, operations.entry.store, from, int(newest-from))
		if err != nil {
			return list, operatorError(err, "")
		}
		for index := len(records) - 1; index >= 0 && len(list.Changes) < limit; index-- {
			list.Changes = append(list.Changes, historyChanges(records[index], filter.Document)...)
		}
		newest = from
	}
	list.More = newest > 0
	return list, nil
}

func historyChanges(record config.Record, wanted string) []operator.HistoryChange {
	var changes []operator.HistoryChange
	summaries := map[config.Name][]string{}
	for _, change := range config.Diff(record) {
		summaries[change.Document] = append(summaries[change.Document], change.Field+": "+change.Before+" -> "+change.After)
	}
	for _, document := range record.After {
		if wanted != "" && string(document.Name) != wanted {
			continue
		}
		changes = append(changes, operator.HistoryChange{
			Version: record.Version, Document: string(document.Name), Operator: record.Operator,
			Request: ident.Request(record.Change), Written: record.Time, Summary: strings.Join(summaries[document.Name], "; "),
		})
	}
	return changes
}

// Diff returns the documents that differ between two configuration versions.
func (operations *operations) Diff(ctx context.Context, from, to ident.Version) (operator.DiffList, error) {
	list := operator.DiffList{From: from, To: to}
	if to <= from {
		return list, operator.ErrBadRequest{Field: "To", Reason: "must be above From"}
	}
	before, after := map[config.Name]string{}, map[config.Name]string{}
	for version := from; version < to; version += rowsPerPage {
		records, err := config.History(ctx, operations.entry.store, version, min(rowsPerPage, int(to-version)))
		if err != nil {
			return list, operatorError(err, "")
		}
		for _, record := range records {
			for index, document := range record.After {
				if _, exists := before[document.Name]; !exists {
					before[document.Name] = string(record.Before[index].Value)
				}
				after[document.Name] = string(document.Value)
			}
		}
	}
	for _, name := range set.SortedKeys(after) {
		if before[name] != after[name] {
			list.Documents = append(list.Documents, operator.DocumentDiff{Document: string(name), Before: before[name], After: after[name]})
		}
	}
	return list, nil
}

// Wait returns once the version is in force everywhere or patience has passed.
func (operations *operations) Wait(ctx context.Context, version ident.Version, patience clock.Millis) (operator.VersionStatus, error) {
	deadline := operations.entry.time.Now().Add(patience)
	for {
		lagging := operations.entry.lagging(version)
		result := operator.VersionStatus{Version: version, Everywhere: len(lagging) == 0, Lagging: lagging[:min(len(lagging), maxLagging)]}
		if result.Everywhere || !operations.entry.time.Now().Before(deadline) {
			return result, nil
		}
		select {
		case <-operations.entry.time.After(waitPollInterval):
		case <-ctx.Done():
			return result, nil
		}
	}
}

// Status returns a summary of the system as this entry sees it.
func (operations *operations) Status(context.Context) (operator.Status, error) {
	entry, view, snapshot := operations.entry, operations.view(), operations.entry.membershipPublisher.Current()
	preset, _ := view.InForce()
	status := operator.Status{
		Entry: entry.settings.ID, Region: entry.settings.Region, Preset: preset, ConfigVersion: view.Version(),
		Entries: len(snapshot.Entries), Workers: len(snapshot.Workers), Services: len(view.Services()), Teams: len(view.Teams()),
		TableAvailable: true,
	}
	for _, worker := range snapshot.Workers {
		status.TasksRunning += worker.Tasks
		status.Capacity = status.Capacity.Add(worker.Capacity)
		status.Used = status.Used.Add(worker.Used)
	}
	if breaker, ok := entry.store.(interface{ Outage() bool }); ok && breaker.Outage() {
		status.TableAvailable = false
		status.Notes = append(status.Notes, "table service unavailable: running work goes on, changes and starts wait")
	}
	entry.control.Call(func() {
		status.Quarantined = len(entry.models.health.Quarantined())
		status.WorkersDown = len(entry.unresponsive)
		status.JobsWaiting = entry.scheduler.Stats().Waiting
	})
	return status, nil
}
