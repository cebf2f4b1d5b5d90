package entry

import (
	"context"
	"fmt"
	"reflect"

	"hyssopjunction/clock"
	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/job"
	"hyssopjunction/operator"
	"hyssopjunction/set"
	"hyssopjunction/table"
)

// maxCancelAttempts bounds the attempts of a cancellation that conflicts with other writes of the
// row.
const maxCancelAttempts = 8

// withPending adds the pending row that asks the job's home to read the job's row.
func withPending(transaction table.Transaction, name ident.Job) table.Transaction {
	transaction.Operations = append(transaction.Operations, table.Operation{Key: pendingKey(name), Value: []byte("1")})
	return transaction
}

// SubmitJob accepts a job once its row is committed. A repeated submission of the same job is
// answered with the job's state.
func (operations *operations) SubmitJob(ctx context.Context, call operator.Call, submission operator.JobSubmission) (operator.JobState, error) {
	spec := job.Spec{
		Job: submission.Job, Team: submission.Team, Kind: submission.Kind, Count: submission.Tasks,
		Declared: submission.Resources, Urgent: submission.Urgent, Class: submission.Class,
		Payload: submission.Payload, Region: operations.entry.settings.Region, Patience: submission.PatienceMillis,
	}
	if _, exists := operations.view().Team(spec.Team); !exists {
		return operator.JobState{}, operator.ErrNotFound{Kind: "Team", Name: string(spec.Team)}
	}
	transaction, err := job.Submission(spec, operations.entry.newWrite())
	if err != nil {
		return operator.JobState{}, jobError(err)
	}
	if err := operations.checkFits(spec); err != nil {
		return operator.JobState{}, err
	}
	_, err = operations.entry.store.Commit(ctx, withPending(transaction, spec.Job))
	if table.IsErrConflict(err) {
		return operations.answerRepeated(ctx, spec)
	}
	if err != nil {
		return operator.JobState{}, operatorError(err, call.Request)
	}
	operations.entry.jobSubmitted(ctx, spec)
	return operations.Job(ctx, spec.Job)
}

// checkFits refuses a job that is too large for every worker with a reported state.
func (operations *operations) checkFits(spec job.Spec) error {
	reason, ok := "", true
	operations.entry.control.Call(func() { reason, ok = operations.entry.scheduler.Fits(spec) })
	if ok {
		return nil
	}
	return operator.ErrBadRequest{Field: "Resources", Reason: reason}
}

// answerRepeated answers a submission whose job name is in use.
func (operations *operations) answerRepeated(ctx context.Context, spec job.Spec) (operator.JobState, error) {
	content, _, err := operations.readJob(ctx, spec.Job)
	if err != nil {
		return operator.JobState{}, err
	}
	if !reflect.DeepEqual(content.Spec, spec) {
		return operator.JobState{}, operator.ErrTaken{Kind: "Job", Name: string(spec.Job), Team: content.Spec.Team}
	}
	return jobState(content), nil
}

// readJob reads a job's row.
func (operations *operations) readJob(ctx context.Context, name ident.Job) (*job.Row, table.Row, error) {
	row, err := operations.entry.store.Get(ctx, job.Key(name))
	if err != nil {
		return nil, row, operatorError(err, "")
	}
	if !row.Exists() {
		return nil, row, operator.ErrNotFound{Kind: "Job", Name: string(name)}
	}
	content, err := job.Decode(row.Value)
	return content, row, err
}

// Jobs returns the jobs that match, in ascending order of name.
func (operations *operations) Jobs(ctx context.Context, filter operator.JobFilter) (operator.JobList, error) {
	list := operator.JobList{}
	limit := filter.Limit
	if limit <= 0 {
		limit = rowsPerPage
	}
	after := table.Key("")
	if filter.After != "" {
		after = job.Key(filter.After)
	}
	for {
		rows, err := operations.entry.store.Range(ctx, job.KeyPrefix, after, rowsPerPage)
		if err != nil {
			return list, operatorError(err, "")
		}
		for _, row := range rows {
			after = row.Key
			content, err := job.Decode(row.Value)
			if err != nil {
				return list, err
			}
			state := jobState(content)
			if (filter.Team != "" && state.Team != filter.Team) || (filter.State != "" && state.State != filter.State) {
				continue
			}
			if len(list.Jobs) == limit {
				list.More = true
				return list, nil
			}
			list.Jobs = append(list.Jobs, state)
		}
		if len(rows) < rowsPerPage {
			return list, nil
		}
	}
}

// Job returns one job.
func (operations *operations) Job(ctx context.Context, name ident.Job) (operator.JobState, error) {
	content, _, err := operations.readJob(ctx, name)
	if err != nil {
		return operator.JobState{}, err
	}
	return jobState(content), nil
}

// CancelJob cancels a job in its row, so that no task can be claimed afterwards.
func (operations *operations) CancelJob(ctx context.Context, call operator.Call, name ident.Job) (operator.JobState, error) {
	for range maxCancelAttempts {
		content, row, err := operations.readJob(ctx, name)
		if err != nil {
			return operator.JobState{}, err
		}
		if content.Cancelled || content.Final() {
			return jobState(content), nil
		}
		if err := content.Apply(job.Change{Step: job.StepCancel}); err != nil {
			return operator.JobState{}, err
		}
		_, err = operations.entry.store.Commit(ctx, withPending(table.Transaction{
			Write:      operations.entry.newWrite(),
			Conditions: []table.Condition{{Key: row.Key, Revision: row.Revision}},
			Operations: []table.Operation{{Key: row.Key, Value: content.Encode()}},
		}, name))
		if table.IsErrConflict(err) {
			continue
		}
		if err != nil {
			return operator.JobState{}, operatorError(err, call.Request)
		}
		operations.entry.notifyHome(ctx, name)
		return jobState(content), nil
	}
	return operator.JobState{}, operator.ErrRetryLater{Reason: "the job's row changes too often", RetryAfter: retryAfterOutage}
}

// ExplainJob explains why the job's tasks run where they do or do not run. The reasons that are not
// in the job's row come from its home.
func (operations *operations) ExplainJob(ctx context.Context, name ident.Job) (operator.Explanation, error) {
	content, _, err := operations.readJob(ctx, name)
	if err != nil {
		return operator.Explanation{}, err
	}
	explanation := operator.Explanation{Job: name, Declared: content.Spec.Declared, Size: content.Spec.Declared}
	state := jobState(content)
	explanation.Summary = fmt.Sprintf("%s: %s", state.State, countsText(state.Counts))
	if state.Reason != "" {
		explanation.Summary += "; " + state.Reason
	}
	reply := operations.entry.explainAtHome(ctx, content)
	if !reply.GetKnown() {
		explanation.Decisions = append(explanation.Decisions, "the entry that schedules this job did not answer")
		return explanation, nil
	}
	explanation.Size = controlpb.ToResources(reply.GetSize())
	explanation.Decisions = reply.GetDecisions()
	if reply.GetReason() != "" {
		explanation.Summary += "; " + reply.GetReason()
	}
	if reply.GetLate() {
		explanation.Summary += fmt.Sprintf("; waited %s, longer than its patience", clock.Millis(reply.GetWaitedMillis()))
	}
	return explanation, nil
}

// jobState summarises a job's row.
func jobState(row *job.Row) operator.JobState {
	spec := row.Spec
	state := operator.JobState{
		JobSubmission: operator.JobSubmission{
			Job: spec.Job, Team: spec.Team, Class: spec.Class, Kind: spec.Kind, Tasks: spec.Count,
			Resources: spec.Declared, PatienceMillis: spec.Patience, Urgent: spec.Urgent, Payload: spec.Payload,
		},
		Counts: map[string]int{},
	}
	for index, task := range row.Tasks {
		state.Counts[string(task.State)]++
		if task.Reason != "" {
			state.Reason = task.Reason
		}
		if task.State.Live() {
			state.Running = append(state.Running, operator.TaskPlacement{
				Task: ident.Task{Job: spec.Job, Index: index}, Epoch: task.Epoch,
				Worker: task.Placement.Worker, DataCentre: task.Placement.DataCentre,
			})
		}
	}
	state.State = summaryState(row)
	return state
}

// summaryState returns the state of the job as a whole.
func summaryState(row *job.Row) string {
	for _, state := range []job.State{job.Running, job.Claimed, job.Evicting, job.Waiting, job.Parked} {
		if row.Count(state) > 0 {
			return string(state)
		}
	}
	for _, state := range []job.State{job.Failed, job.Cancelled} {
		if row.Count(state) > 0 {
			return string(state)
		}
	}
	return string(job.Finished)
}

func countsText(counts map[string]int) string {
	text := ""
	for _, state := range set.SortedKeys(counts) {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d %s", counts[state], state)
	}
	return text
}

func jobError(err error) error {
	if invalid, ok := err.(job.ErrInvalidSpec); ok {
		return operator.ErrBadRequest{Field: invalid.Field, Reason: invalid.Reason}
	}
	return err
}
