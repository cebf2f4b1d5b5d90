package cmd

import (
	"context"
	"strconv"

	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

func serviceGroup(ctl *ctl) group {
	return group{name: "service", short: "Services", commands: []leaf{
		{"list", "List the services", "Lists the services.", &serviceList{ctl: ctl}},
		{"set", "Create or replace a service", "Creates a service or replaces its settings as a whole.", &serviceSet{ctl: ctl}},
	}}
}

type serviceList struct{ ctl *ctl }

// Execute lists the services.
func (command *serviceList) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.ServiceList, error) {
		return client.Services(ctx)
	}, func(list operator.ServiceList) table {
		shown := table{header: []string{"SERVICE", "TEAM", "IDEMPOTENT", "PATIENCE", "SLOWDOWN", "ENDPOINTS", "P99", "VERSION", "OPERATOR"}}
		for _, service := range list.Services {
			shown.add(string(service.Service), string(service.Team), strconv.FormatBool(service.Idempotent),
				millis(service.PatienceMillis), slowdown(service.TargetSlowdown), number(service.Endpoints),
				millis(service.P99Millis), number(service.Version), dash(service.Operator))
		}
		return shown
	})
}

// slowdown shows a service's tolerated slowdown, which is the preset's if the service names none.
func slowdown(percent int) string {
	if percent == 0 {
		return "preset"
	}
	return number(percent) + "%"
}

type serviceSet struct {
	Team       string `long:"team" value-name:"TEAM" required:"true" description:"Team that owns the service"`
	Idempotent bool   `long:"idempotent" description:"Requests may be retried after an unknown outcome"`
	Patience   wait   `long:"patience" value-name:"DURATION" required:"true" description:"Deadline of requests that name none"`
	Target     int    `long:"target-slowdown" value-name:"PERCENT" description:"Tolerated slowdown by colocated work; 100 is undisturbed; the limit of the preset if missing"`
	Retention  wait   `long:"retention" value-name:"DURATION" description:"How long results of keyed requests are kept, if longer than the entries' own time"`
	IfVersion  uint64 `long:"if-version" value-name:"VERSION" description:"Fail with a conflict unless the document has this version"`
	Positional struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
}

// Execute creates or replaces the service.
func (command *serviceSet) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetService(ctx, operator.ServiceChange{
			Service: ident.Service(command.Positional.Service), Team: ident.Team(command.Team),
			Idempotent: command.Idempotent, PatienceMillis: command.Patience.millis(), TargetSlowdown: command.Target,
			RetentionMillis: command.Retention.millis(), IfVersion: ident.Version(command.IfVersion),
		})
	}, showAccepted)
}
