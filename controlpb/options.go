package controlpb

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
)

const (
	// pingAfter and pingTimeout end a connection that went silent while calls are open. The library
	// allows no shorter interval than 10 s.
	pingAfter   = 10 * time.Second
	pingTimeout = 3 * time.Second
	// maxDelay bounds the time between two attempts to connect. It is short, because a peer that
	// returns must be reached within the 7 s in which configuration is in force everywhere.
	maxDelay = 2 * time.Second
	// maxMessageBytes bounds a message; callers' bodies are bounded to 1 MiB by default.
	maxMessageBytes = 16 << 20
	// streamWindow and connectionWindow are fixed, because the library otherwise measures the bandwidth
	// of a connection with a ping at nearly every message. A ping and its answer are 34 bytes, and each
	// wakes both processes. The windows hold a caller's body and let a connection carry 1 GB/s at a
	// round trip of 1 ms.
	streamWindow     = 1 << 20
	connectionWindow = 4 << 20
)

// DialOptions returns the options of connections between daemons.
func DialOptions(transport credentials.TransportCredentials) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(transport),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: maxDelay},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(connectionWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}
}

// ServerOptions returns the options of the daemons' servers.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingAfter / 2}),
		grpc.StaticStreamWindowSize(streamWindow),
		grpc.StaticConnWindowSize(connectionWindow),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
	}
}
