package standalone

import (
	"context"
	"io"
	"net"
	"sync"

	"hyssopjunction/ident"
)

// LinkState tells what a Link does with connections.
type LinkState int

const (
	// LinkOpen passes everything on.
	LinkOpen LinkState = iota
	// LinkRefused ends the open connections and refuses new ones.
	LinkRefused
	// LinkSilent keeps connections open and drops what arrives. A connection that was open meanwhile
	// stays silent after the link is open again, because its streams have a gap.
	LinkSilent
)

// relayBuffer is the size of one read of a relayed connection in bytes.
const relayBuffer = 16 << 10

// Link relays the TCP connections between the entries of two regions over loopback, so that the
// network between regions can be cut while each region's own network works.
type Link struct {
	mu     sync.Mutex
	state  LinkState
	closed bool
	// relayed holds the open connections; the value is set once bytes of the connection may be lost.
	relayed   map[*relayed]struct{}
	listeners []net.Listener
	running   sync.WaitGroup
}

// relayed is one connection from a daemon of one region to a daemon of the other.
type relayed struct {
	near, far net.Conn
	silent    bool
}

func newLink() *Link {
	return &Link{relayed: map[*relayed]struct{}{}}
}

// Set changes the state of the link in both directions.
func (link *Link) Set(state LinkState) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.state = state
	for connection := range link.relayed {
		switch state {
		case LinkRefused:
			connection.close()
		case LinkSilent:
			connection.silent = true
		case LinkOpen:
		}
	}
}

// Close ends all connections and listeners.
func (link *Link) Close() {
	link.mu.Lock()
	link.closed = true
	for _, listener := range link.listeners {
		_ = listener.Close()
	}
	for connection := range link.relayed {
		connection.close()
	}
	link.mu.Unlock()
	link.running.Wait()
}

// relay listens on loopback for the entry that target gives the address of, and returns the address
// to use instead. Target is called for each connection and returns an empty address while the entry
// does not run.
func (link *Link) relay(target func() string) (string, error) {
	listener, err := loopbackListener()
	if err != nil {
		return "", err
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	link.listeners = append(link.listeners, listener)
	link.running.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			link.running.Go(func() { link.pass(near, target()) })
		}
	})
	return listener.Addr().String(), nil
}

// pass relays one connection until either end closes it.
func (link *Link) pass(near net.Conn, address string) {
	far, err := new(net.Dialer).DialContext(context.Background(), "tcp", address)
	if err != nil {
		_ = near.Close()
		return
	}
	connection := &relayed{near: near, far: far}
	if !link.add(connection) {
		connection.close()
		return
	}
	var copying sync.WaitGroup
	copying.Go(func() { link.copy(connection, near, far) })
	link.copy(connection, far, near)
	copying.Wait()
	link.mu.Lock()
	defer link.mu.Unlock()
	delete(link.relayed, connection)
}

// add registers a connection and reports whether the link takes it.
func (link *Link) add(connection *relayed) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.closed || link.state == LinkRefused {
		return false
	}
	connection.silent = link.state == LinkSilent
	link.relayed[connection] = struct{}{}
	return true
}

// copy passes bytes on in one direction, and ends both directions with it.
func (link *Link) copy(connection *relayed, from io.Reader, to io.Writer) {
	defer connection.close()
	buffer := make([]byte, relayBuffer)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !link.silent(connection) {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (link *Link) silent(connection *relayed) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return connection.silent
}

func (connection *relayed) close() {
	_ = connection.near.Close()
	_ = connection.far.Close()
}

// relayEntries returns addresses at which the link relays to the entries of a layout, which run in
// the deployment that region returns once it started.
func (link *Link) relayEntries(layout Layout, region func() *Deployment) ([]string, error) {
	var addresses []string
	for _, centre := range layout.DataCentres {
		id := EntryID(centre)
		address, err := link.relay(func() string {
			if deployment := region(); deployment != nil {
				return deployment.control(id)
			}
			return ""
		})
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// control returns the control address of a running entry.
func (deployment *Deployment) control(id ident.Entry) string {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	if node := deployment.entries[id]; node != nil {
		return node.control
	}
	return ""
}
