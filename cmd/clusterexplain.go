package cmd

import (
	"context"
	"fmt"
	"strconv"

	"hyssopjunction/clock"
	"hyssopjunction/election"
	"hyssopjunction/explanation"
	"hyssopjunction/intake"
	"hyssopjunction/platform"
	"hyssopjunction/session"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

type clusterExplain struct {
	jobIDArgument
	options *clusterOptions
	JSON    bool `long:"json" description:"Print JSON"`
}

// Execute asks the leader why a job is in its state, and prints the answer. Of a job that is not open it prints the state.
func (command *clusterExplain) Execute([]string) error {
	return command.options.run(func(ctx context.Context, clusterStore *platform.Store) error {
		reply, err := explainJob(ctx, clusterStore, command.id())
		if err != nil {
			return err
		}
		if !reply.Known {
			jobs := intake.New(clusterStore, clock.NewBoot(), noLeader{})
			defer jobs.Close()
			job, err := jobs.Job(ctx, command.id())
			if err != nil {
				return err
			}
			reply.Job = explanation.Job{ID: job.Spec.ID, Queue: job.Spec.Queue, State: job.State, Objective: job.Spec.Objective()}
		}
		if command.JSON {
			return printJSON(command.options.std.out, reply)
		}
		return command.print(reply)
	})
}

// explainJob asks the leader that the store names. Error: store.ErrUnavailable if it does not answer.
func explainJob(ctx context.Context, clusterStore *platform.Store, id workflow.ID) (*session.ExplainReply, error) {
	rows, err := clusterStore.List(ctx, election.Table(), "", "")
	if err != nil {
		return nil, err
	}
	leader, err := election.Parse(rows.Rows)
	if err != nil {
		return nil, err
	}
	if leader.Term.Address == "" {
		return nil, store.ErrUnavailable{Reason: "no entry leads"}
	}
	client, err := session.Dial(leader.Term.Address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	reply, err := client.ExplainJob(ctx, &session.ExplainRequest{ID: id})
	if err != nil {
		return nil, store.ErrUnavailable{Reason: fmt.Sprintf("the leader %s does not answer: %v", leader.Term.Address, err)}
	}
	return reply, nil
}

// print prints the explanation as tables; those without rows are left out.
func (command *clusterExplain) print(reply *session.ExplainReply) error {
	job := reply.Job
	summary := table{}
	summary.add("Job", string(job.ID))
	summary.add("Queue", string(job.Queue))
	summary.add("State", string(job.State))
	summary.add("ObjectiveMillis", millisText(job.Objective))
	if reply.Known {
		summary.add("AgeMillis", millisText(job.Age))
		summary.add("ExpectedEndMillis", millisText(job.ExpectedEnd))
		summary.add("Rank", job.Rank)
		summary.add("Runs", strconv.Itoa(job.RunCount))
		summary.add("Term", strconv.FormatInt(reply.Term, 10))
	} else {
		summary.notes = append(summary.notes, "The leader has no open job with this id.")
	}
	waiting := table{header: []string{"STEP", "WAITING", "POSITION", "REASON"}}
	for _, item := range job.Waiting {
		waiting.add(fmt.Sprintf("%d.%d", item.Occurrence, item.Step), strconv.Itoa(item.Tasks), strconv.Itoa(item.Position), item.Reason)
	}
	runs := table{header: []string{"TASK", "RUN", "WORKER", "PACE", "DONE", "AGE", "COPY", "STOPPING"}}
	for _, run := range job.Runs {
		pace := "-"
		if run.Pace >= 0 {
			pace = strconv.Itoa(run.Pace) + "%"
		}
		runs.add(run.Task, strconv.Itoa(int(run.Run)), run.Worker, pace, strconv.Itoa(run.Percent)+"%", millisText(run.Age),
			strconv.FormatBool(run.Copy), strconv.FormatBool(run.Stopping))
	}
	moves := table{header: []string{"MOVED TASK", "FROM", "AGE"}}
	for _, move := range job.Moves {
		moves.add(move.Task, move.From, millisText(move.Age))
	}
	decisions := table{header: []string{"DECISION", "COUNT", "AGE", "DETAIL"}}
	for _, decision := range job.Decisions {
		decisions.add(string(decision.Kind), strconv.Itoa(decision.Count), millisText(decision.Age), decision.Detail)
	}
	for _, output := range []table{summary, waiting, runs, moves, decisions} {
		if len(output.rows) == 0 {
			continue
		}
		if err := output.print(command.options.std.out); err != nil {
			return err
		}
	}
	return nil
}

func millisText(millis clock.Millis) string { return strconv.FormatInt(int64(millis), 10) }
