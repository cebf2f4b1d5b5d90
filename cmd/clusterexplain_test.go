package cmd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"

	"hyssopjunction/cmd"
	"hyssopjunction/explanation"
	"hyssopjunction/session"
)

// explainer is a leader that has one open job.
type explainer struct {
	session.Handler
	job explanation.Job
}

func (leader explainer) ExplainJob(_ context.Context, request *session.ExplainRequest) (*session.ExplainReply, error) {
	if request.ID != leader.job.ID {
		return &session.ExplainReply{Term: 3}, nil
	}
	return &session.ExplainReply{Known: true, Term: 3, Job: leader.job}, nil
}

// TestClusterExplain guards against an explanation that does not reach the operator, and against a job taken for unknown
// because no leader answers.
func TestClusterExplain(t *testing.T) {
	settings, _, service := deploymentStore(t)
	explain := func(want int, id string, options ...string) string {
		return run(t, want, append([]string{"cluster", "--settings", settings, "job", "explain", id}, options...)...)
	}
	const id = "0123456789abcdef"
	explain(cmd.ExitRetry, id) // No entry leads.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := session.NewServer(explainer{job: explanation.Job{
		ID: id, Rank: "late", Objective: 400, RunCount: 1,
		Waiting:   []explanation.Waiting{{Step: 1, Tasks: 4, Position: 9, Reason: "3 workers: full"}},
		Runs:      []explanation.Run{{Task: "task-1", Worker: "worker-1", Pace: 35}},
		Moves:     []explanation.Move{{Task: "task-2", From: "worker-2"}},
		Decisions: []explanation.Decision{{Kind: explanation.Moved, Count: 2, Detail: "gain 300 ms"}},
	}})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	service.Put("lead", "main", "term", []byte(fmt.Sprintf(`{"Number":3,"Holder":"edge-1","Address":%q}`, listener.Addr())))
	wantText(t, explain(cmd.ExitOK, id), "late", "3 workers: full", "worker-1", "35%", "task-2", "worker-2", "Moved", "gain 300 ms")
	var reply session.ExplainReply
	if err := json.Unmarshal([]byte(explain(cmd.ExitOK, id, "--json")), &reply); err != nil || !reply.Known || reply.Job.Waiting[0].Position != 9 {
		t.Errorf("got %+v, %v", reply, err)
	}
	explain(cmd.ExitNotFound, "fedcba9876543210")
}
