package controlpb

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
)

const (
	// keepaliveInterval and keepaliveTimeout close a silent connection with open calls. The library allows
	// no interval below 10 s.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	// maxConnectBackoff is the longest time between two attempts to connect. It is short, so that a peer
	// that becomes reachable gets configuration changes within the 7 s in which they must be in force
	// everywhere.
	maxConnectBackoff = 2 * time.Second
	// maxMessageBytes limits the size of a message. The bodies of callers are limited to 1 MiB by default.
	maxMessageBytes = 16 << 20
	// streamWindowBytes and connectionWindowBytes are fixed, because the library otherwise measures the
	// bandwidth of a connection with a ping at nearly every message. A ping and its answer are 34 bytes,
	// and each wakes both processes. The windows hold a caller's body and allow a connection 1 GB/s at a
	// round-trip time of 1 ms.
	streamWindowBytes     = 1 << 20
	connectionWindowBytes = 4 << 20
)

// DialOptions returns the options of client connections between daemons.
func DialOptions(transport credentials.TransportCredentials) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(transport),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: maxConnectBackoff},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithStaticStreamWindowSize(streamWindowBytes),
		grpc.WithStaticConnWindowSize(connectionWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}
}

// ServerOptions returns the options of the daemons' servers.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2}),
		grpc.StaticStreamWindowSize(streamWindowBytes),
		grpc.StaticConnWindowSize(connectionWindowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
	}
}
