package bench

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	"hyssopjunction/controlpb"
)

// meter counts the bytes on TCP connections, including framing, and the gRPC messages.
type meter struct {
	received, sent, messages atomic.Uint64
}

// traffic is a reading of a meter, or the difference of two: bytes in both directions and messages.
type traffic struct {
	received, sent, messages float64
}

func (meter *meter) read() traffic {
	return traffic{float64(meter.received.Load()), float64(meter.sent.Load()), float64(meter.messages.Load())}
}

func (reading traffic) since(earlier traffic) traffic {
	return traffic{reading.received - earlier.received, reading.sent - earlier.sent, reading.messages - earlier.messages}
}

// bytes returns the sum of the bytes in both directions.
func (reading traffic) bytes() float64 { return reading.received + reading.sent }

// meteredConn is a connection whose bytes a meter counts.
type meteredConn struct {
	net.Conn
	meter *meter
}

func (conn meteredConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	conn.meter.received.Add(uint64(count))
	return count, err
}

func (conn meteredConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	conn.meter.sent.Add(uint64(count))
	return count, err
}

// meteredListener is a listener that accepts metered connections.
type meteredListener struct {
	net.Listener
	meter *meter
}

func (listener meteredListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{conn, listener.meter}, nil
}

func (meter *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return meteredConn{conn, meter}, nil
}

// TagRPC implements stats.Handler and changes nothing.
func (meter *meter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler and changes nothing.
func (meter *meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler and does nothing.
func (meter *meter) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC counts the messages in both directions.
func (meter *meter) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch event.(type) {
	case *stats.InPayload, *stats.OutPayload:
		meter.messages.Add(1)
	}
}

// pool returns a pool of connections with the options of the daemons, whose traffic the meter counts.
func (meter *meter) pool() *controlpb.Pool {
	options := append(controlpb.DialOptions(insecure.NewCredentials()), grpc.WithStatsHandler(meter),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return meter.dial(ctx, "tcp", address)
		}))
	return controlpb.NewPool(options...)
}

// client returns an HTTP client whose traffic the meter counts.
func (meter *meter) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: meter.dial, MaxConnsPerHost: 16, MaxIdleConnsPerHost: 16}}
}

// listen returns a listener on loopback whose connections the meter counts.
func (meter *meter) listen(b testing.TB) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return meteredListener{listener, meter}
}

// processorTime returns the user and system time of the process.
func processorTime(b testing.TB) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}
