package keys

import (
	"context"
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"
)

var deniedCalls = metrics.NewCounter("hyssopjunction_keys_denied_calls_total")

// Authorize returns the options of a gRPC server that lets a peer call only the methods of its
// certificate's role. The keys of callers are full method names. Methods that are not listed are
// denied to everyone. Denied calls end with code PermissionDenied and do not reach the service.
func Authorize(callers map[string][]Role) []grpc.ServerOption {
	check := func(ctx context.Context, method string) error {
		err := authorize(ctx, method, callers[method])
		if err == nil {
			return nil
		}
		deniedCalls.Inc()
		klog.ErrorS(err, "Call denied", "Method", method)
		return status.Error(codes.PermissionDenied, err.Error())
	}
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
			if err := check(ctx, info.FullMethod); err != nil {
				return nil, err
			}
			return handler(ctx, request)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
			if err := check(stream.Context(), info.FullMethod); err != nil {
				return err
			}
			return handler(server, stream)
		}),
	}
}

// authorize fails with ErrDenied unless the call's peer has one of the allowed roles.
func authorize(ctx context.Context, method string, allowed []Role) error {
	role := RoleNone
	if caller, ok := peer.FromContext(ctx); ok {
		if info, ok := caller.AuthInfo.(credentials.TLSInfo); ok {
			role = PeerRole(&info.State)
		}
	}
	if role == RoleNone || !slices.Contains(allowed, role) {
		return ErrDenied{Role: role, Reason: fmt.Sprintf("the role may not call %s", method)}
	}
	return nil
}
