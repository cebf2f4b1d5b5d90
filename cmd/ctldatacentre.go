package cmd

import (
	"context"

	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

func dataCentreGroup(ctl *ctl) group {
	return group{name: "datacentre", short: "Data centres", commands: []leaf{
		{"list", "List the data centres", "Lists the data centres and their states.", &dataCentreList{ctl: ctl}},
		{
			"out", "Take a data centre out",
			"Takes a data centre out. No work starts there a few seconds later, and running work leaves within the drain bound.",
			&dataCentreOut{ctl: ctl},
		},
		{"in", "Take a data centre in", "Takes a data centre in again. Its load comes back gradually.", &dataCentreIn{ctl: ctl}},
	}}
}

type dataCentreList struct{ ctl *ctl }

// Execute lists the data centres.
func (command *dataCentreList) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.DataCentreList, error) {
		return client.DataCentres(ctx)
	}, func(list operator.DataCentreList) table {
		shown := table{header: []string{"DATA CENTRE", "REGION", "STATE", "WORKERS", "TASKS", "VERSION", "OPERATOR"}}
		for _, centre := range list.DataCentres {
			shown.add(string(centre.DataCentre), string(centre.Region), centre.State, number(centre.Workers),
				number(centre.Tasks), number(centre.Version), dash(centre.Operator))
		}
		return shown
	})
}

// dataCentreTarget names the data centre of a change.
type dataCentreTarget struct {
	IfVersion  uint64 `long:"if-version" value-name:"VERSION" description:"Fail with a conflict unless the document has this version"`
	Reason     string `long:"reason" value-name:"TEXT" description:"Reason kept in the history"`
	Positional struct {
		DataCentre string `positional-arg-name:"DATACENTRE"`
	} `positional-args:"yes" required:"yes"`
}

func (target dataCentreTarget) change(state string) operator.DataCentreChange {
	return operator.DataCentreChange{
		DataCentre: ident.DataCentre(target.Positional.DataCentre), State: state,
		Reason: target.Reason, IfVersion: ident.Version(target.IfVersion),
	}
}

type dataCentreOut struct {
	dataCentreTarget
	Drain wait `long:"drain" value-name:"DURATION" default:"10m" description:"Bound on the time in which running work leaves"`
	Lost  bool `long:"lost" description:"State that the data centre is gone: its tasks are placed again elsewhere at once. Tasks that in fact still run there would then run twice"`

	ctl *ctl
}

// Execute takes the data centre out.
func (command *dataCentreOut) Execute([]string) error {
	change := command.change(operator.Out)
	change.DrainMillis = command.Drain.millis()
	if command.Lost {
		change.State, change.DrainMillis = operator.Lost, 0
	}
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetDataCentre(ctx, change)
	}, showAccepted)
}

type dataCentreIn struct {
	dataCentreTarget

	ctl *ctl
}

// Execute takes the data centre in.
func (command *dataCentreIn) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetDataCentre(ctx, command.change(operator.In))
	}, showAccepted)
}
