package cmd

import (
	"context"
	"strconv"

	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

func serviceGroup(options *ctlOptions) commandGroup {
	return commandGroup{name: "service", short: "Services", commands: []commandSpec{
		{"list", "List the services", "Lists the services.", &serviceList{options: options}},
		{"set", "Create or replace a service", "Creates a service or replaces its settings as a whole.", &serviceSet{options: options}},
	}}
}

type serviceList struct{ options *ctlOptions }

// Execute lists the services.
func (command *serviceList) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.ServiceList, error) {
		return client.Services(ctx)
	}, func(list operator.ServiceList) table {
		output := table{header: []string{"SERVICE", "TEAM", "IDEMPOTENT", "PATIENCE", "SLOWDOWN", "ENDPOINTS", "P99", "VERSION", "OPERATOR"}}
		for _, service := range list.Services {
			output.add(string(service.Service), string(service.Team), strconv.FormatBool(service.Idempotent),
				formatMillis(service.PatienceMillis), formatSlowdown(service.TargetSlowdown), formatNumber(service.Endpoints),
				formatMillis(service.P99Millis), formatNumber(service.Version), dashIfEmpty(service.Operator))
		}
		return output
	})
}

// formatSlowdown formats a service's tolerated slowdown; 0 stands for the one of the preset.
func formatSlowdown(percent int) string {
	if percent == 0 {
		return "preset"
	}
	return formatNumber(percent) + "%"
}

type serviceSet struct {
	Team       string         `long:"team" value-name:"TEAM" required:"true" description:"Team that owns the service"`
	Idempotent bool           `long:"idempotent" description:"Requests may be retried after an unknown outcome"`
	Patience   durationOption `long:"patience" value-name:"DURATION" required:"true" description:"Deadline of requests that name none"`
	Target     int            `long:"target-slowdown" value-name:"PERCENT" description:"Tolerated slowdown by colocated work; 100 is undisturbed; the limit of the preset if missing"`
	Retention  durationOption `long:"retention" value-name:"DURATION" description:"How long results of keyed requests are kept, if longer than the entries' own time"`
	IfVersion  uint64         `long:"if-version" value-name:"VERSION" description:"Fail with a conflict unless the document has this version"`
	Positional struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`

	options *ctlOptions
}

// Execute creates or replaces the service.
func (command *serviceSet) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetService(ctx, operator.ServiceChange{
			Service: ident.Service(command.Positional.Service), Team: ident.Team(command.Team),
			Idempotent: command.Idempotent, PatienceMillis: command.Patience.millis(), TargetSlowdown: command.Target,
			RetentionMillis: command.Retention.millis(), IfVersion: ident.Version(command.IfVersion),
		})
	}, acceptedTable)
}
