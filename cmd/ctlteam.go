package cmd

import (
	"context"

	"hyssopjunction/ident"
	"hyssopjunction/operator"
	"hyssopjunction/unit"
)

func teamGroup(ctl *ctl) group {
	return group{name: "team", short: "Teams and quotas", commands: []leaf{
		{"list", "List the teams", "Lists the teams with their quotas, usage and loans.", &teamList{ctl: ctl}},
		{
			"set", "Set a team's quota",
			"Creates a team or replaces its quota in one region. A lowered quota takes effect as the team's running work ends.",
			&teamSet{ctl: ctl},
		},
	}}
}

type teamList struct{ ctl *ctl }

// Execute lists the teams.
func (command *teamList) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.TeamList, error) {
		return client.Teams(ctx)
	}, func(list operator.TeamList) table {
		shown := table{header: []string{"TEAM", "REGION", "QUOTA", "GRANTED", "USED", "BORROWED", "LENT", "VERSION", "OPERATOR"}}
		for _, team := range list.Teams {
			shown.add(string(team.Team), string(team.Region), quantity(team.Quota), quantity(team.Granted), quantity(team.Used),
				quantity(team.Borrowed), quantity(team.Lent), number(team.Version), dash(team.Operator))
		}
		return shown
	})
}

// sizeOptions are the options of resource quantities.
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

	ctl *ctl
}

// Execute sets the quota.
func (command *teamSet) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetTeam(ctx, operator.TeamChange{
			Team: ident.Team(command.Positional.Team), Region: ident.Region(command.Region),
			Quota: command.resources(), IfVersion: ident.Version(command.IfVersion),
		})
	}, showAccepted)
}
