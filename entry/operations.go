package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"hyssopjunction/clock"
	"hyssopjunction/config"
	"hyssopjunction/ident"
	"hyssopjunction/operator"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// defaultDrainTimeout is the time for the drain of a data centre if operators set none.
const defaultDrainTimeout = 5 * clock.Minute

// retryAfterOutage is how long operators should wait before they retry a change that could not be
// made.
const retryAfterOutage = 2 * clock.Second

// operations implements the operators' calls.
type operations struct {
	entry *Entry
}

// Operations returns the implementation of the operators' API.
func (entry *Entry) Operations() operator.Control {
	return &operations{entry: entry}
}

// change commits one configuration change.
func (operations *operations) change(ctx context.Context, call operator.Call, edits ...config.Edit) (operator.Accepted, error) {
	version, err := operations.entry.editor.Apply(ctx, config.Change{
		ID: string(call.Request), Operator: call.Operator, Time: time.Now().UTC().Format(time.RFC3339), Edits: edits,
	})
	if err != nil {
		return operator.Accepted{}, operatorError(err, call.Request)
	}
	return operator.Accepted{Document: string(edits[0].Document), Version: version}, nil
}

// edit returns an edit of a document, based on the version that the operator named or, if that is
// 0, on the newest one.
func (operations *operations) edit(ctx context.Context, name config.Name, base ident.Version, value any) (config.Edit, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return config.Edit{}, err
	}
	if base == 0 {
		if err := operations.entry.reader.Refresh(ctx); err != nil {
			return config.Edit{}, operatorError(err, "")
		}
		document, _ := operations.view().Document(name)
		base = document.Version
	}
	return config.Edit{Document: name, Base: base, Value: text}, nil
}

func (operations *operations) view() *config.View {
	return operations.entry.configPublisher.Current()
}

// operatorError converts errors of the configuration and the table to those of the operators' API.
func operatorError(err error, request ident.Request) error {
	var conflict config.ErrConflict
	var invalid config.ErrInvalid
	var unknown config.ErrUnknownOutcome
	var elsewhere config.ErrElsewhere
	var tableUnknown table.ErrUnknownOutcome
	switch {
	case errors.As(err, &conflict):
		return operator.ErrConflict{Document: string(conflict.Document), Winner: conflict.Winner, Version: conflict.Have}
	case errors.As(err, &invalid):
		return operator.ErrBadRequest{Field: string(invalid.Faults[0].Document), Reason: invalid.Error()}
	case errors.As(err, &elsewhere):
		return operator.ErrElsewhere{Document: string(elsewhere.Document), Region: elsewhere.Region}
	case errors.As(err, &unknown):
		return operator.ErrUnknownOutcome{Request: request, Reason: unknown.Error()}
	case errors.As(err, &tableUnknown):
		return operator.ErrUnknownOutcome{Request: request, Reason: tableUnknown.Error()}
	case config.IsErrBusy(err), config.IsErrNotReady(err), table.IsErrUnavailable(err):
		return operator.ErrRetryLater{Reason: err.Error(), RetryAfter: retryAfterOutage}
	}
	return err
}

// Presets returns the presets and which one is in force.
func (operations *operations) Presets(context.Context) (operator.PresetList, error) {
	view := operations.view()
	inForce, _ := view.InForce()
	document, _ := view.Document(config.PresetInForce)
	list := operator.PresetList{InForce: inForce, Version: document.Version, Operator: document.Operator}
	for _, name := range view.Presets() {
		preset, _ := view.Preset(name)
		list.Presets = append(list.Presets, operator.PresetState{Preset: name, Description: preset.Description})
	}
	return list, nil
}

// SetPreset puts a preset in force.
func (operations *operations) SetPreset(ctx context.Context, call operator.Call, change operator.PresetChange) (operator.Accepted, error) {
	if _, ok := operations.view().Preset(change.Preset); !ok {
		return operator.Accepted{}, operator.ErrNotFound{Kind: "Preset", Name: string(change.Preset)}
	}
	edit, err := operations.edit(ctx, config.PresetInForce, change.IfVersion, config.Choice{Preset: change.Preset})
	if err != nil {
		return operator.Accepted{}, err
	}
	return operations.change(ctx, call, edit)
}

// DataCentres returns the data centres and their states.
func (operations *operations) DataCentres(context.Context) (operator.DataCentreList, error) {
	view := operations.view()
	list := operator.DataCentreList{}
	for _, name := range view.DataCentres() {
		centre, _ := view.DataCentre(name)
		document, _ := view.Document(config.DataCentreName(name))
		state := operator.DataCentreState{
			DataCentre: name, Region: centre.Region, State: operator.Out, Version: document.Version, Operator: document.Operator,
		}
		switch {
		case centre.Open:
			state.State = operator.In
		case centre.Lost:
			state.State = operator.Lost
		}
		for _, worker := range operations.entry.membershipPublisher.Current().Workers {
			if worker.Place.DataCentre == name {
				state.Workers++
				state.Tasks += worker.Tasks
			}
		}
		list.DataCentres = append(list.DataCentres, state)
	}
	return list, nil
}

// SetDataCentre takes a data centre out of service or puts it back. The state Lost also ends the
// incarnations of workers that are or become unresponsive there, so that their tasks are placed
// elsewhere.
func (operations *operations) SetDataCentre(ctx context.Context, call operator.Call, change operator.DataCentreChange) (operator.Accepted, error) {
	current, exists := operations.view().DataCentre(change.DataCentre)
	value := config.DataCentre{
		Open: change.State == operator.In, Lost: change.State == operator.Lost,
		Region: operations.entry.settings.Region, DrainMillis: change.DrainMillis,
	}
	if value.DrainMillis == 0 {
		value.DrainMillis = defaultDrainTimeout
	}
	if exists {
		value.Region = current.Region
		if change.DrainMillis == 0 {
			value.DrainMillis = current.DrainMillis
		}
	}
	edit, err := operations.edit(ctx, config.DataCentreName(change.DataCentre), change.IfVersion, value)
	if err != nil {
		return operator.Accepted{}, err
	}
	accepted, err := operations.change(ctx, call, edit)
	if err != nil || change.State != operator.Lost {
		return accepted, err
	}
	// The change is accepted. Workers whose end cannot be written now are reviewed again later.
	operations.entry.control.Call(func() { operations.entry.scheduleReviews(change.DataCentre, operations.entry.time.Now()) })
	operations.entry.reviewUnresponsive()
	return accepted, nil
}

// Services returns the services.
func (operations *operations) Services(context.Context) (operator.ServiceList, error) {
	view := operations.view()
	list := operator.ServiceList{}
	for _, name := range view.Services() {
		service, _ := view.Service(name)
		document, _ := view.Document(config.ServiceName(name))
		list.Services = append(list.Services, operator.ServiceState{
			ServiceChange: operator.ServiceChange{
				Service: name, Team: service.Team, Idempotent: service.Idempotent, PatienceMillis: service.PatienceMillis,
				TargetSlowdown: service.SlowdownLimitPercent, RetentionMillis: service.RetentionMillis,
			},
			Version: document.Version, Operator: document.Operator,
			P99Millis: operations.entry.dispatcher.P99(name),
			Endpoints: len(operations.entry.membershipPublisher.Current().Endpoints[name]),
		})
	}
	return list, nil
}

// SetService creates or replaces a service.
func (operations *operations) SetService(ctx context.Context, call operator.Call, change operator.ServiceChange) (operator.Accepted, error) {
	value := config.Service{
		Team: change.Team, Idempotent: change.Idempotent, PatienceMillis: change.PatienceMillis,
		SlowdownLimitPercent: change.TargetSlowdown, RetentionMillis: change.RetentionMillis,
	}
	edit, err := operations.edit(ctx, config.ServiceName(change.Service), change.IfVersion, value)
	if err != nil {
		return operator.Accepted{}, err
	}
	return operations.change(ctx, call, edit)
}

// Teams returns the teams with their quotas.
func (operations *operations) Teams(context.Context) (operator.TeamList, error) {
	view := operations.view()
	list := operator.TeamList{}
	for _, name := range view.Teams() {
		team, _ := view.Team(name)
		document, _ := view.Document(config.TeamName(name))
		for region, quota := range team.Quotas {
			state := operator.TeamState{
				Team: name, Region: region, Quota: quota, Version: document.Version, Operator: document.Operator,
			}
			if region == operations.entry.settings.Region {
				operations.fillQuotas(name, &state)
			}
			list.Teams = append(list.Teams, state)
		}
	}
	return list, nil
}

// fillQuotas adds the quota, usage and loans in the team's row to state.
func (operations *operations) fillQuotas(team ident.Team, state *operator.TeamState) {
	operations.entry.control.Call(func() {
		row, _ := operations.entry.quotas.Row(team)
		state.Granted, state.Used = row.Grant, row.Used
		for _, amount := range row.Borrowed {
			state.Borrowed = state.Borrowed.Add(amount)
		}
		for _, amount := range row.Lent {
			state.Lent = state.Lent.Add(amount)
		}
	})
}

// SetTeam creates a team or replaces its quota in one region.
func (operations *operations) SetTeam(ctx context.Context, call operator.Call, change operator.TeamChange) (operator.Accepted, error) {
	region := change.Region
	if region == "" {
		region = operations.entry.settings.Region
	}
	value, exists := operations.view().Team(change.Team)
	if !exists {
		value = config.Team{}
	}
	quotas := map[ident.Region]unit.Resources{region: change.Quota}
	for other, quota := range value.Quotas {
		if other != region {
			quotas[other] = quota
		}
	}
	value.Quotas = quotas
	edit, err := operations.edit(ctx, config.TeamName(change.Team), change.IfVersion, value)
	if err != nil {
		return operator.Accepted{}, err
	}
	return operations.change(ctx, call, edit)
}
