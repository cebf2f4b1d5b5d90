package standalone

import (
	"context"
	"io"
	"net"
	"sync"

	"hyssopjunction/ident"
)

// LinkState is how a Link treats connections.
type LinkState int

const (
	// LinkOpen forwards all data.
	LinkOpen LinkState = iota
	// LinkRefused closes the open connections and refuses new ones.
	LinkRefused
	// LinkSilent keeps connections open and discards the data that arrives. A connection that was open
	// in this state stays silent for good, because its streams have a gap.
	LinkSilent
)

// relayBuffer is the size of the read buffer of a relayed connection, in bytes.
const relayBuffer = 16 << 10

// Link relays the TCP connections between the entries of two regions over loopback, so that a test
// can cut the network between the regions while the network within each region works.
type Link struct {
	mu     sync.Mutex
	state  LinkState
	closed bool
	// connections holds the open connections.
	connections map[*relayedConnection]struct{}
	listeners   []net.Listener
	goroutines  sync.WaitGroup
}

// relayedConnection is one connection from a daemon of one region to a daemon of the other.
type relayedConnection struct {
	client, server net.Conn
	// silent is true if all data is discarded. It is never reset, because data may have been lost.
	silent bool
}

func newLink() *Link {
	return &Link{connections: map[*relayedConnection]struct{}{}}
}

// Set changes the state of the link, for both directions.
func (link *Link) Set(state LinkState) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.state = state
	for connection := range link.connections {
		switch state {
		case LinkRefused:
			connection.close()
		case LinkSilent:
			connection.silent = true
		case LinkOpen:
		}
	}
}

// Close closes all connections and listeners and waits until nothing is relayed any more.
func (link *Link) Close() {
	link.mu.Lock()
	link.closed = true
	for _, listener := range link.listeners {
		_ = listener.Close()
	}
	for connection := range link.connections {
		connection.close()
	}
	link.mu.Unlock()
	link.goroutines.Wait()
}

// listen listens on loopback on behalf of an entry and returns the address at which it does. resolve
// is called for each connection and returns the entry's own address, empty while it isn't running.
func (link *Link) listen(resolve func() string) (string, error) {
	listener, err := loopbackListener()
	if err != nil {
		return "", err
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	link.listeners = append(link.listeners, listener)
	link.goroutines.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			link.goroutines.Go(func() { link.forward(client, resolve()) })
		}
	})
	return listener.Addr().String(), nil
}

// forward relays one connection to the address until either end closes it.
func (link *Link) forward(client net.Conn, address string) {
	server, err := new(net.Dialer).DialContext(context.Background(), "tcp", address)
	if err != nil {
		_ = client.Close()
		return
	}
	connection := &relayedConnection{client: client, server: server}
	if !link.register(connection) {
		connection.close()
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { link.copy(connection, client, server) })
	link.copy(connection, server, client)
	copies.Wait()
	link.mu.Lock()
	defer link.mu.Unlock()
	delete(link.connections, connection)
}

// register adds a connection and reports whether the link accepts it in its present state.
func (link *Link) register(connection *relayedConnection) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.closed || link.state == LinkRefused {
		return false
	}
	connection.silent = link.state == LinkSilent
	link.connections[connection] = struct{}{}
	return true
}

// copy forwards data in one direction until that ends, and then closes the whole connection.
func (link *Link) copy(connection *relayedConnection, from io.Reader, to io.Writer) {
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

func (link *Link) silent(connection *relayedConnection) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return connection.silent
}

func (connection *relayedConnection) close() {
	_ = connection.client.Close()
	_ = connection.server.Close()
}

// relayEntries returns one address for each entry of a layout, at which the link relays to the entry.
// lookup returns the deployment of the layout, or nil before it has started.
func (link *Link) relayEntries(layout Layout, lookup func() *Deployment) ([]string, error) {
	var addresses []string
	for _, centre := range layout.DataCentres {
		id := EntryID(centre)
		address, err := link.listen(func() string {
			if deployment := lookup(); deployment != nil {
				return deployment.controlAddress(id)
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

// controlAddress returns the control address of an entry, or an empty one if it isn't running.
func (deployment *Deployment) controlAddress(id ident.Entry) string {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	if node := deployment.entries[id]; node != nil {
		return node.controlAddress
	}
	return ""
}
