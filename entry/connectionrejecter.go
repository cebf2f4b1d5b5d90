package entry

import (
	"net"
	"time"

	"k8s.io/klog/v2"
)

// gate closes the connections of a listener until it is released. A connection that is not accepted
// would keep the other side waiting for its own timeout.
type gate struct {
	listener expiring
	ended    chan struct{}
}

// expiring is a listener whose Accept can be ended without closing it.
type expiring interface {
	SetDeadline(until time.Time) error
}

// newGate starts to close connections. A listener without deadlines, such as one of a test, is left alone.
func newGate(listener net.Listener) *gate {
	gate := &gate{ended: make(chan struct{})}
	var ok bool
	if gate.listener, ok = listener.(expiring); !ok {
		close(gate.ended)
		return gate
	}
	go func() {
		defer close(gate.ended)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_ = connection.Close()
		}
	}()
	return gate
}

// release leaves the listener to the caller.
func (gate *gate) release() {
	if gate.listener == nil {
		return
	}
	if err := gate.listener.SetDeadline(time.Now()); err != nil {
		klog.ErrorS(err, "Control listener has no deadline")
		return
	}
	<-gate.ended
	if err := gate.listener.SetDeadline(time.Time{}); err != nil {
		klog.ErrorS(err, "Control listener keeps its deadline")
	}
}
