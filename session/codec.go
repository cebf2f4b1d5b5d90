package session

import "encoding/json"

// codec encodes gRPC messages as JSON. Both ends of a connection use it.
type codec struct{}

// Marshal encodes a message.
func (codec) Marshal(message any) ([]byte, error) { return json.Marshal(message) }

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, message any) error { return json.Unmarshal(data, message) }

// Name is the content subtype of the connections.
func (codec) Name() string { return "json" }
