package cmd

import (
	"context"

	"hyssopjunction/ident"
	"hyssopjunction/operator"
)

func workerGroup(options *ctlOptions) commandGroup {
	return commandGroup{name: "worker", short: "Workers", commands: []commandSpec{
		{"list", "List the workers", "Lists the workers.", &workerList{options: options}},
		{
			"lost", "Declare a worker lost",
			"States that an incarnation of a worker is over, so that its tasks are placed again. Tasks that in fact still run would then run twice, so be certain that the machine is off.",
			&workerLost{options: options},
		},
	}}
}

type workerList struct {
	DataCentre string `long:"datacentre" value-name:"DATACENTRE" description:"Only workers of this data centre"`
	State      string `long:"state" value-name:"STATE" description:"Only workers in this state"`
	Limit      int    `long:"limit" value-name:"COUNT" default:"5000" description:"Most workers to list"`

	options *ctlOptions
}

// Execute lists the workers, page by page.
func (command *workerList) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.WorkerList, error) {
		var all operator.WorkerList
		filter := operator.WorkerFilter{DataCentre: ident.DataCentre(command.DataCentre), State: command.State}
		for {
			filter.Limit = min(command.Limit-len(all.Workers), pageLength)
			page, err := client.Workers(ctx, filter)
			if err != nil {
				return all, err
			}
			all.Workers, all.More = append(all.Workers, page.Workers...), page.More
			if !page.More || len(page.Workers) == 0 || len(all.Workers) >= command.Limit {
				return all, nil
			}
			filter.After = page.Workers[len(page.Workers)-1].Worker
		}
	}, func(list operator.WorkerList) table {
		output := table{header: []string{"WORKER", "INCARNATION", "DATA CENTRE", "RACK", "STATE", "TASKS", "USED", "CAPACITY", "HOME", "AGE", "REASON"}}
		for _, worker := range list.Workers {
			output.add(string(worker.Worker), formatNumber(worker.Incarnation), string(worker.DataCentre), string(worker.Rack), worker.State,
				formatNumber(worker.Tasks), formatResources(worker.Used), formatResources(worker.Capacity), dashIfEmpty(worker.Home), formatMillis(worker.AgeMillis), dashIfEmpty(worker.Reason))
		}
		output.notes = truncationNote(list.More)
		return output
	})
}

type workerLost struct {
	Incarnation uint64 `long:"incarnation" value-name:"NUMBER" required:"true" description:"Incarnation that is over, as listed"`
	Reason      string `long:"reason" value-name:"TEXT" description:"Reason kept in the history"`
	Positional  struct {
		Worker string `positional-arg-name:"WORKER"`
	} `positional-args:"yes" required:"yes"`

	options *ctlOptions
}

// Execute declares the worker lost.
func (command *workerLost) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.DeclareLost(ctx, operator.WorkerLoss{
			Worker:      ident.Worker(command.Positional.Worker),
			Incarnation: ident.Incarnation(command.Incarnation), Reason: command.Reason,
		})
	}, acceptedTable)
}

// pageLength is the maximum number of rows requested in one call.
const pageLength = 1000

// truncationNote returns a note if a list was truncated at the limit.
func truncationNote(truncated bool) []string {
	if !truncated {
		return nil
	}
	return []string{"There are more; raise --limit to see them."}
}
