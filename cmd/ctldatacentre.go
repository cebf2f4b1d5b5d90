package cmd

import (
	"context"

	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

func dataCentreGroup(options *ctlOptions) commandGroup {
	return commandGroup{name: "datacentre", short: "Data centres", commands: []commandSpec{
		{"list", "List the data centres", "Lists the data centres and their states.", &dataCentreList{options: options}},
		{
			"out", "Take a data centre out",
			"Takes a data centre out. No work starts there a few seconds later, and running work leaves within the drain bound.",
			&dataCentreOut{options: options},
		},
		{"in", "Take a data centre in", "Takes a data centre in again. Its load comes back gradually.", &dataCentreIn{options: options}},
	}}
}

type dataCentreList struct{ options *ctlOptions }

// Execute lists the data centres.
func (command *dataCentreList) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.DataCentreList, error) {
		return client.DataCentres(ctx)
	}, func(list operator.DataCentreList) table {
		output := table{header: []string{"DATA CENTRE", "REGION", "STATE", "WORKERS", "TASKS", "VERSION", "OPERATOR"}}
		for _, centre := range list.DataCentres {
			output.add(string(centre.DataCentre), string(centre.Region), centre.State, formatNumber(centre.Workers),
				formatNumber(centre.Tasks), formatNumber(centre.Version), dashIfEmpty(centre.Operator))
		}
		return output
	})
}

// dataCentreArguments are the options and arguments shared by the changes of a data centre.
type dataCentreArguments struct {
	IfVersion  uint64 `long:"if-version" value-name:"VERSION" description:"Fail with a conflict unless the document has this version"`
	Reason     string `long:"reason" value-name:"TEXT" description:"Reason kept in the history"`
	Positional struct {
		DataCentre string `positional-arg-name:"DATACENTRE"`
	} `positional-args:"yes" required:"yes"`
}

func (arguments dataCentreArguments) newChange(state string) operator.DataCentreChange {
	return operator.DataCentreChange{
		DataCentre: ident.DataCentre(arguments.Positional.DataCentre), State: state,
		Reason: arguments.Reason, IfVersion: ident.Version(arguments.IfVersion),
	}
}

type dataCentreOut struct {
	dataCentreArguments
	Drain durationOption `long:"drain" value-name:"DURATION" default:"10m" description:"Bound on the time in which running work leaves"`
	Lost  bool           `long:"lost" description:"State that the data centre is gone: its tasks are placed again elsewhere at once. Tasks that in fact still run there would then run twice"`

	options *ctlOptions
}

// Execute takes the data centre out.
func (command *dataCentreOut) Execute([]string) error {
	change := command.newChange(operator.Out)
	change.DrainMillis = command.Drain.millis()
	if command.Lost {
		change.State, change.DrainMillis = operator.Lost, 0
	}
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetDataCentre(ctx, change)
	}, acceptedTable)
}

type dataCentreIn struct {
	dataCentreArguments

	options *ctlOptions
}

// Execute takes the data centre in.
func (command *dataCentreIn) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetDataCentre(ctx, command.newChange(operator.In))
	}, acceptedTable)
}
