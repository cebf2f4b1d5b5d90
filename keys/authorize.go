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

// Claim is the role and name that the sender of a message states in it.
type Claim = Identity

// Authorize returns the options of a gRPC server that lets a peer call only the methods of its
// certificate's role, and speak only for the name in its certificate. The keys of callers are full
// method names; methods that are not listed are denied to everyone. Function claimed returns what a
// request states of its sender, RoleNone if nothing. Denied calls end with code PermissionDenied and
// do not reach the service.
func Authorize(callers map[string][]Role, claimed func(request any) Claim) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
			identity := peerIdentity(ctx)
			err := authorize(identity, info.FullMethod, callers[info.FullMethod])
			if err == nil {
				err = checkClaim(identity, claimed(request))
			}
			if err != nil {
				return nil, deny(err, info.FullMethod)
			}
			return handler(ctx, request)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
			if err := authorize(peerIdentity(stream.Context()), info.FullMethod, callers[info.FullMethod]); err != nil {
				return deny(err, info.FullMethod)
			}
			return handler(server, stream)
		}),
	}
}

// deny counts and logs a refusal, and returns it as a gRPC status.
func deny(err error, method string) error {
	deniedCalls.Inc()
	klog.ErrorS(err, "Call denied", "Method", method)
	return status.Error(codes.PermissionDenied, err.Error())
}

// peerIdentity returns the identity of a call's peer, whose role is RoleNone without a certificate.
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

// authorize fails with ErrDenied unless the identity has one of the allowed roles.
func authorize(identity Identity, method string, allowed []Role) error {
	if identity.Role == RoleNone || !slices.Contains(allowed, identity.Role) {
		return ErrDenied{Role: identity.Role, Name: identity.Name, Reason: fmt.Sprintf("the role may not call %s", method)}
	}
	return nil
}

// checkClaim fails with ErrDenied if a message states another name than its sender's certificate. A
// claim of another role is about a third party, as in an entry's report on a silent worker's tasks.
func checkClaim(identity Identity, claim Claim) error {
	if claim.Role != identity.Role || identity.Name == "" || identity.Name == claim.Name {
		return nil
	}
	return ErrDenied{Role: identity.Role, Name: identity.Name, Reason: fmt.Sprintf("the message is of %q", claim.Name)}
}
