package cmd

import (
	"context"

	"hyssopjunction/ident"
	"hyssopjunction/operator"
	"hyssopjunction/unit"
)

func teamGroup(options *ctlOptions) commandGroup {
	return commandGroup{name: "team", short: "Teams and quotas", commands: []commandSpec{
		{"list", "List the teams", "Lists the teams with their quotas, usage and loans.", &teamList{options: options}},
		{
			"set", "Set a team's quota",
			"Creates a team or replaces its quota in one region. A lowered quota takes effect as the team's running work ends.",
			&teamSet{options: options},
		},
	}}
}

type teamList struct{ options *ctlOptions }

// Execute lists the teams.
func (command *teamList) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.TeamList, error) {
		return client.Teams(ctx)
	}, func(list operator.TeamList) table {
		output := table{header: []string{"TEAM", "REGION", "QUOTA", "GRANTED", "USED", "BORROWED", "LENT", "VERSION", "OPERATOR"}}
		for _, team := range list.Teams {
			output.add(string(team.Team), string(team.Region), formatResources(team.Quota), formatResources(team.Granted), formatResources(team.Used),
				formatResources(team.Borrowed), formatResources(team.Lent), formatNumber(team.Version), dashIfEmpty(team.Operator))
		}
		return output
	})
}

// sizeOptions are the options that state amounts of resources.
type sizeOptions struct {
	CPU          int64 `long:"cpu" value-name:"MILLICORES" required:"true" description:"Processor time in thousandths of a core"`
	Memory       int64 `long:"memory" value-name:"MIB" required:"true" description:"Memory in MiB"`
	Accelerators int64 `long:"accelerators" value-name:"COUNT" description:"Number of accelerators"`
}

func (size sizeOptions) resources() unit.Resources {
	return unit.Resources{
		CPU: unit.MilliCPU(size.CPU), Memory: unit.Mebibytes(size.Memory), Accelerators: unit.Accelerators(size.Accelerators),
	}
}

type teamSet struct {
	sizeOptions
	Region     string `long:"region" value-name:"REGION" description:"Region whose quota changes; the entry's own by default"`
	IfVersion  uint64 `long:"if-version" value-name:"VERSION" description:"Fail with a conflict unless the document has this version"`
	Positional struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`

	options *ctlOptions
}

// Execute sets the quota.
func (command *teamSet) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetTeam(ctx, operator.TeamChange{
			Team: ident.Team(command.Positional.Team), Region: ident.Region(command.Region),
			Quota: command.resources(), IfVersion: ident.Version(command.IfVersion),
		})
	}, acceptedTable)
}
