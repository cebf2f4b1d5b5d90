package coordinator

import (
	"testing"

	"hyssopjunction/intake"
	"hyssopjunction/session"
	"hyssopjunction/store"
	"hyssopjunction/workflow"
)

// TestNewLeaderStartsNothingOfCancelledJob guards against a new leader that starts a run that its predecessor stored, or
// places waiting tasks of the same job, although the job's cancellation was stored before it took over.
func TestNewLeaderStartsNothingOfCancelledJob(t *testing.T) {
	former, _, _, _ := newLeaderWithPlacedTask(t)
	job := former.scheduler.ExpectedOrders("i-1@1@side-1")[0].Job
	spec, err := workflow.EncodeSpec(job.Spec)
	if err != nil {
		t.Fatal(err)
	}
	state, err := workflow.EncodeState(job)
	if err != nil {
		t.Fatal(err)
	}
	row := func(kind intake.Kind, version store.Version, value []byte) store.Row {
		return store.Row{Ref: store.Ref{Table: intake.Table, Key: string(kind) + "/" + string(testJob)}, Value: value, Version: version}
	}
	// A listing has the cancellation before the submission, in the order of their keys.
	rows := []store.Row{row(intake.Cancellation, 9, []byte("{}")), row(intake.Submission, 4, spec)}
	coordinator, source := newTestLeader(t)
	coordinator.deps.Store = unreachedStore{}
	coordinator.stateVersions, coordinator.inboxVersions = map[workflow.ID]store.Version{}, map[workflow.ID]intake.Versions{}
	coordinator.jobStates = map[workflow.ID]workflow.State{}
	coordinator.applyInbox(rows, map[workflow.ID]store.Row{testJob: {Value: state, Version: 7}})
	agent := newTestSession("side-1")
	coordinator.sessions[agent.node] = agent
	coordinator.handleReport(agent, newWorkerReport())
	coordinator.scheduler.Plan(source.Now(), 0)
	jobs, orders := coordinator.scheduler.TakeChanges()
	if len(jobs) != 1 || jobs[0].State != workflow.Cancelled {
		t.Errorf("stores %d jobs, want the cancelled one", len(jobs))
	}
	coordinator.finishRound(orders, coordinator.takeOnceStored())
	var starts []session.Start
	stops := 0
	for _, message := range agent.takeMessages() {
		starts = append(starts, message.Starts...)
		stops += len(message.Stops)
	}
	if len(starts) != 0 || stops == 0 {
		t.Errorf("sent starts %+v and %d stops, want no start and the stop of the stored run", starts, stops)
	}
}
