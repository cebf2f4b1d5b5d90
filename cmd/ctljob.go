package cmd

import (
	"context"
	"fmt"
	"os"
	"strings"

	"hyssopjunction/ident"
	"hyssopjunction/operator"
	"hyssopjunction/set"
	"hyssopjunction/worker"
)

func jobGroup(options *ctlOptions) commandGroup {
	return commandGroup{name: "job", short: "Jobs", commands: []commandSpec{
		{"submit", "Submit a job", "Submits a job of equal tasks. The name must be new.", &jobSubmit{options: options}},
		{"list", "List the jobs", "Lists the jobs.", &jobList{options: options}},
		{"show", "Show a job", "Shows a job and where its tasks run.", &jobShow{options: options}},
		{"explain", "Explain a job's placement", "Tells why a job's tasks run where they do, or why they do not run.", &jobExplain{options: options}},
		{"cancel", "Cancel a job", "Cancels a job. This is final: no task of the job starts afterwards.", &jobCancel{options: options}},
	}}
}

type jobSubmit struct {
	sizeOptions
	Team        string         `long:"team" value-name:"TEAM" required:"true" description:"Team whose quota the job uses"`
	Class       string         `long:"class" value-name:"CLASS" description:"Class of work for learned sizes and interference"`
	Kind        string         `long:"kind" choice:"Batch" choice:"Standing" default:"Batch" description:"Batch tasks run to completion, standing ones until cancelled"`
	Tasks       int            `long:"tasks" value-name:"COUNT" default:"1" description:"Number of tasks"`
	Patience    durationOption `long:"patience" value-name:"DURATION" description:"Time in which the job is wanted"`
	Urgent      bool           `long:"urgent" description:"Start within seconds, if need be in place of ordinary work"`
	Payload     string         `long:"payload" value-name:"TEXT" description:"Passed to each task unchanged"`
	PayloadFile string         `long:"payload-file" value-name:"FILE" description:"File whose content is the payload"`
	Positional  struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`

	options *ctlOptions
}

// Execute submits the job.
func (command *jobSubmit) Execute([]string) error {
	payload := command.Payload
	if command.PayloadFile != "" {
		if payload != "" {
			return ErrExit{Code: ExitUsage, Reason: "give --payload or --payload-file, not both"}
		}
		content, err := os.ReadFile(command.PayloadFile)
		if err != nil {
			return ErrExit{Code: ExitUsage, Reason: err.Error()}
		}
		payload = string(content)
	}
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.JobState, error) {
		return client.SubmitJob(ctx, operator.JobSubmission{
			Job: ident.Job(command.Positional.Job), Team: ident.Team(command.Team), Class: command.Class,
			Kind: worker.Kind(command.Kind), Tasks: command.Tasks, Resources: command.resources(),
			PatienceMillis: command.Patience.millis(),
			Urgent:         command.Urgent, Payload: payload,
		})
	}, jobTable)
}

type jobList struct {
	Team  string `long:"team" value-name:"TEAM" description:"Only jobs of this team"`
	State string `long:"state" value-name:"STATE" description:"Only jobs in this state"`
	Limit int    `long:"limit" value-name:"COUNT" default:"1000" description:"Most jobs to list"`

	options *ctlOptions
}

// Execute lists the jobs, page by page.
func (command *jobList) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.JobList, error) {
		var all operator.JobList
		filter := operator.JobFilter{Team: ident.Team(command.Team), State: command.State}
		for {
			filter.Limit = min(command.Limit-len(all.Jobs), pageLength)
			page, err := client.Jobs(ctx, filter)
			if err != nil {
				return all, err
			}
			all.Jobs, all.More = append(all.Jobs, page.Jobs...), page.More
			if !page.More || len(page.Jobs) == 0 || len(all.Jobs) >= command.Limit {
				return all, nil
			}
			filter.After = page.Jobs[len(page.Jobs)-1].Job
		}
	}, func(list operator.JobList) table {
		output := table{header: []string{"JOB", "TEAM", "KIND", "STATE", "TASKS", "URGENT", "REASON"}}
		for _, job := range list.Jobs {
			urgent := "no"
			if job.Urgent {
				urgent = "yes"
			}
			output.add(string(job.Job), string(job.Team), string(job.Kind), job.State, formatTaskCounts(job), urgent, dashIfEmpty(job.Reason))
		}
		output.notes = truncationNote(list.More)
		return output
	})
}

// jobNameArgument is the positional argument with a job's name.
type jobNameArgument struct {
	Positional struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

func (argument jobNameArgument) job() ident.Job { return ident.Job(argument.Positional.Job) }

type jobShow struct {
	jobNameArgument
	options *ctlOptions
}

// Execute shows the job.
func (command *jobShow) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.JobState, error) {
		return client.Job(ctx, command.job())
	}, jobTable)
}

type jobCancel struct {
	jobNameArgument
	options *ctlOptions
}

// Execute cancels the job.
func (command *jobCancel) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.JobState, error) {
		return client.CancelJob(ctx, command.job())
	}, jobTable)
}

type jobExplain struct {
	jobNameArgument
	options *ctlOptions
}

// Execute explains the job's placement.
func (command *jobExplain) Execute([]string) error {
	return callAndPrint(command.options, func(ctx context.Context, client *operator.Client) (operator.Explanation, error) {
		return client.ExplainJob(ctx, command.job())
	}, func(explanation operator.Explanation) table {
		output := table{rows: [][]string{
			{"Job", string(explanation.Job)},
			{"Summary", explanation.Summary},
			{"Size", formatResources(explanation.Size)},
			{"Declared", formatResources(explanation.Declared)},
		}}
		for _, refusal := range explanation.Refusals {
			output.add("Refused by "+formatNumber(refusal.Workers)+" workers", refusal.Reason)
		}
		output.notes = explanation.Decisions
		return output
	})
}

func jobTable(job operator.JobState) table {
	output := table{rows: [][]string{
		{"Job", string(job.Job)},
		{"Team", string(job.Team)},
		{"Class", dashIfEmpty(job.Class)},
		{"Kind", string(job.Kind)},
		{"State", job.State},
		{"Reason", dashIfEmpty(job.Reason)},
		{"Tasks", formatTaskCounts(job)},
		{"Declared size", formatResources(job.Resources)},
		{"Patience", formatMillis(job.PatienceMillis)},
	}}
	for _, placement := range job.Running {
		output.add("Task "+placement.Task.String(), fmt.Sprintf("epoch %d on %s in %s", placement.Epoch, placement.Worker, placement.DataCentre))
	}
	return output
}

// formatTaskCounts formats the number of tasks, in total and by state.
func formatTaskCounts(job operator.JobState) string {
	var parts []string
	for _, state := range set.SortedKeys(job.Counts) {
		parts = append(parts, fmt.Sprintf("%d %s", job.Counts[state], state))
	}
	if len(parts) == 0 {
		return formatNumber(job.Tasks)
	}
	return fmt.Sprintf("%d (%s)", job.Tasks, strings.Join(parts, ", "))
}
