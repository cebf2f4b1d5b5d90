package entry

import (
	"net"
	"time"

	"k8s.io/klog/v2"
)

// connectionRejecter closes all connections to a listener until it is released. Without it, clients
// would wait for their own timeouts, because connections that nobody accepts stay open.
type connectionRejecter struct {
	listener deadlineListener
	done     chan struct{}
}

// deadlineListener is a listener whose Accept can be interrupted without closing it.
type deadlineListener interface {
	SetDeadline(until time.Time) error
}

// newConnectionRejecter starts to close connections. It does nothing for a listener without
// deadlines, such as an in-memory one.
func newConnectionRejecter(listener net.Listener) *connectionRejecter {
	rejecter := &connectionRejecter{done: make(chan struct{})}
	var ok bool
	if rejecter.listener, ok = listener.(deadlineListener); !ok {
		close(rejecter.done)
		return rejecter
	}
	go func() {
		defer close(rejecter.done)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_ = connection.Close()
		}
	}()
	return rejecter
}

// release stops closing connections and leaves the listener to its owner.
func (rejecter *connectionRejecter) release() {
	if rejecter.listener == nil {
		return
	}
	if err := rejecter.listener.SetDeadline(time.Now()); err != nil {
		klog.ErrorS(err, "Deadline of the control listener was not set")
		return
	}
	<-rejecter.done
	if err := rejecter.listener.SetDeadline(time.Time{}); err != nil {
		klog.ErrorS(err, "Deadline of the control listener was not removed")
	}
}
