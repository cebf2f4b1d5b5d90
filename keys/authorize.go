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

// StatedSender is the role and the name that a message states of its sender.
type StatedSender = Identity

// Authorize returns the options of a gRPC server that allows a peer to call only the methods of its
// certificate's role, and to send messages only under the name in its certificate. The keys of callers
// are full method names; methods that are not listed are denied to all. Function statedSender returns the
// sender that a request states, with RoleNone if it states none. Denied calls end with code
// PermissionDenied and do not reach the service.
func Authorize(callers map[string][]Role, statedSender func(request any) StatedSender) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
			identity := peerIdentity(ctx)
			err := checkRole(identity, info.FullMethod, callers[info.FullMethod])
			if err == nil {
				err = checkSender(identity, statedSender(request))
			}
			if err != nil {
				return nil, denyCall(err, info.FullMethod)
			}
			return handler(ctx, request)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
			if err := checkRole(peerIdentity(stream.Context()), info.FullMethod, callers[info.FullMethod]); err != nil {
				return denyCall(err, info.FullMethod)
			}
			return handler(server, stream)
		}),
	}
}

// denyCall counts and logs a denied call, and returns the error as a gRPC status.
func denyCall(err error, method string) error {
	deniedCalls.Inc()
	klog.ErrorS(err, "Call denied", "Method", method)
	return status.Error(codes.PermissionDenied, err.Error())
}

// peerIdentity returns the identity of a call's peer. Its role is RoleNone if the peer has no
// certificate.
func peerIdentity(ctx context.Context) Identity {
	caller, ok := peer.FromContext(ctx)
	if !ok {
		return Identity{}
	}
	info, ok := caller.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return Identity{}
	}
	return IdentityOf(info.State.PeerCertificates[0])
}

// checkRole returns ErrDenied unless the identity has one of the allowed roles.
func checkRole(identity Identity, method string, allowed []Role) error {
	if identity.Role == RoleNone || !slices.Contains(allowed, identity.Role) {
		return ErrDenied{Role: identity.Role, Name: identity.Name, Reason: fmt.Sprintf("the role may not call %s", method)}
	}
	return nil
}

// checkSender returns ErrDenied if a message states another name than the certificate of its sender. A
// stated name of another role is not checked, because the message is then about a third party, as when an
// entry reports on the tasks of an unresponsive worker.
func checkSender(identity Identity, sender StatedSender) error {
	if sender.Role != identity.Role || identity.Name == "" || identity.Name == sender.Name {
		return nil
	}
	return ErrDenied{Role: identity.Role, Name: identity.Name, Reason: fmt.Sprintf("the message is of %q", sender.Name)}
}
