package agent

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"hyssopjunction/controlpb"
)

// Server serves an agent's gRPC API.
type Server struct {
	agent   *Agent
	control *grpc.Server
}

// NewServer serves the agent on the listener.
func NewServer(agent *Agent, listener net.Listener, options ...grpc.ServerOption) *Server {
	server := &Server{agent: agent, control: grpc.NewServer(append(controlpb.ServerOptions(), options...)...)}
	controlpb.RegisterAgentServer(server.control, agent)
	go func() {
		if err := server.control.Serve(listener); err != nil {
			klog.ErrorS(err, "Control server ended")
		}
	}()
	return server
}

// Shutdown shuts the agent down gracefully, within the timeout in its settings, and then stops the
// server.
func (server *Server) Shutdown(ctx context.Context) error {
	err := server.agent.Shutdown(ctx)
	server.control.Stop()
	return err
}

// Close stops the server and the agent at once, as a crash would.
func (server *Server) Close() {
	server.control.Stop()
	server.agent.Close()
}
