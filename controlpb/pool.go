package controlpb

import (
	"sync"

	"google.golang.org/grpc"
)

// Pool holds one connection for each address of a daemon. It is safe for concurrent use.
type Pool struct {
	options []grpc.DialOption

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// NewPool returns a pool that dials with the given options, which include the transport credentials.
func NewPool(options ...grpc.DialOption) *Pool {
	return &Pool{options: options, connections: map[string]*grpc.ClientConn{}}
}

// Agent returns a client of the agent at address (IP address and port).
func (pool *Pool) Agent(address string) (AgentClient, error) {
	connection, err := pool.connection(address)
	if err != nil {
		return nil, err
	}
	return NewAgentClient(connection), nil
}

// Entry returns a client of the entry at address (IP address and port).
func (pool *Pool) Entry(address string) (EntryClient, error) {
	connection, err := pool.connection(address)
	if err != nil {
		return nil, err
	}
	return NewEntryClient(connection), nil
}

// Discard closes and removes the connection to address, so that the next client gets a new one. It is
// called if the connection may be silent.
func (pool *Pool) Discard(address string) {
	pool.mu.Lock()
	connection := pool.connections[address]
	delete(pool.connections, address)
	pool.mu.Unlock()
	if connection != nil {
		_ = connection.Close()
	}
}

// Close closes and removes all connections.
func (pool *Pool) Close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for address, connection := range pool.connections {
		_ = connection.Close()
		delete(pool.connections, address)
	}
}

// connection returns the connection to address and creates it if there is none.
func (pool *Pool) connection(address string) (*grpc.ClientConn, error) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if connection, ok := pool.connections[address]; ok {
		return connection, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address, pool.options...)
	if err != nil {
		return nil, ErrDial{Address: address, Cause: err}
	}
	pool.connections[address] = connection
	return connection, nil
}
