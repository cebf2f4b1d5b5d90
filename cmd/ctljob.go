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

func jobGroup(ctl *ctl) group {
	return group{name: "job", short: "Jobs", commands: []leaf{
		{"submit", "Submit a job", "Submits a job of equal tasks. The name must be new.", &jobSubmit{ctl: ctl}},
		{"list", "List the jobs", "Lists the jobs.", &jobList{ctl: ctl}},
		{"show", "Show a job", "Shows a job and where its tasks run.", &jobShow{ctl: ctl}},
		{"explain", "Explain a job's placement", "Tells why a job's tasks run where they do, or why they do not run.", &jobExplain{ctl: ctl}},
		{"cancel", "Cancel a job", "Cancels a job. This is final: no task of the job starts afterwards.", &jobCancel{ctl: ctl}},
	}}
}

type jobSubmit struct {
	sizeOptions
	Team        string `long:"team" value-name:"TEAM" required:"true" description:"Team whose quota the job uses"`
	Class       string `long:"class" value-name:"CLASS" description:"Class of work for learned sizes and interference"`
	Kind        string `long:"kind" choice:"Batch" choice:"Standing" default:"Batch" description:"Batch tasks run to completion, standing ones until cancelled"`
	Tasks       int    `long:"tasks" value-name:"COUNT" default:"1" description:"Number of tasks"`
	Patience    wait   `long:"patience" value-name:"DURATION" description:"Time in which the job is wanted"`
	Urgent      bool   `long:"urgent" description:"Start within seconds, if need be in place of ordinary work"`
	Payload     string `long:"payload" value-name:"TEXT" description:"Passed to each task unchanged"`
	PayloadFile string `long:"payload-file" value-name:"FILE" description:"File whose content is the payload"`
	Positional  struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`

	ctl *ctl
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
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.JobState, error) {
		return client.SubmitJob(ctx, operator.JobSubmission{
			Job: ident.Job(command.Positional.Job), Team: ident.Team(command.Team), Class: command.Class,
			Kind: worker.Kind(command.Kind), Tasks: command.Tasks, Resources: command.resources(),
			PatienceMillis: command.Patience.millis(),
			Urgent:         command.Urgent, Payload: payload,
		})
	}, showJob)
}

type jobList struct {
	Team  string `long:"team" value-name:"TEAM" description:"Only jobs of this team"`
	State string `long:"state" value-name:"STATE" description:"Only jobs in this state"`
	Limit int    `long:"limit" value-name:"COUNT" default:"1000" description:"Most jobs to list"`

	ctl *ctl
}

// Execute lists the jobs, page by page.
func (command *jobList) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.JobList, error) {
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
		shown := table{header: []string{"JOB", "TEAM", "KIND", "STATE", "TASKS", "URGENT", "REASON"}}
		for _, job := range list.Jobs {
			urgent := "no"
			if job.Urgent {
				urgent = "yes"
			}
			shown.add(string(job.Job), string(job.Team), string(job.Kind), job.State, counts(job), urgent, dash(job.Reason))
		}
		shown.notes = more(list.More)
		return shown
	})
}

// jobTarget names the job of a command.
type jobTarget struct {
	Positional struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

func (target jobTarget) job() ident.Job { return ident.Job(target.Positional.Job) }

type jobShow struct {
	jobTarget
	ctl *ctl
}

// Execute shows the job.
func (command *jobShow) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.JobState, error) {
		return client.Job(ctx, command.job())
	}, showJob)
}

type jobCancel struct {
	jobTarget
	ctl *ctl
}

// Execute cancels the job.
func (command *jobCancel) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.JobState, error) {
		return client.CancelJob(ctx, command.job())
	}, showJob)
}

type jobExplain struct {
	jobTarget
	ctl *ctl
}

// Execute explains the job's placement.
func (command *jobExplain) Execute([]string) error {
	return ask(command.ctl, func(ctx context.Context, client *operator.Client) (operator.Explanation, error) {
		return client.ExplainJob(ctx, command.job())
	}, func(explanation operator.Explanation) table {
		shown := table{rows: [][]string{
			{"Job", string(explanation.Job)},
			{"Summary", explanation.Summary},
			{"Size", quantity(explanation.Size)},
			{"Declared", quantity(explanation.Declared)},
		}}
		for _, refusal := range explanation.Refusals {
			shown.add("Refused by "+number(refusal.Workers)+" workers", refusal.Reason)
		}
		shown.notes = explanation.Decisions
		return shown
	})
}

func showJob(job operator.JobState) table {
	shown := table{rows: [][]string{
		{"Job", string(job.Job)},
		{"Team", string(job.Team)},
		{"Class", dash(job.Class)},
		{"Kind", string(job.Kind)},
		{"State", job.State},
		{"Reason", dash(job.Reason)},
		{"Tasks", counts(job)},
		{"Declared size", quantity(job.Resources)},
		{"Patience", millis(job.PatienceMillis)},
	}}
	for _, placed := range job.Running {
		shown.add("Task "+placed.Task.String(), fmt.Sprintf("epoch %d on %s in %s", placed.Epoch, placed.Worker, placed.DataCentre))
	}
	return shown
}

// counts formats the number of tasks and their states.
func counts(job operator.JobState) string {
	var parts []string
	for _, state := range set.SortedKeys(job.Counts) {
		parts = append(parts, fmt.Sprintf("%d %s", job.Counts[state], state))
	}
	if len(parts) == 0 {
		return number(job.Tasks)
	}
	return fmt.Sprintf("%d (%s)", job.Tasks, strings.Join(parts, ", "))
}
