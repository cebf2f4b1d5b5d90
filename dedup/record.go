// Package dedup stores the claims of keyed submissions that are not idempotent, in the rows
// Request/<service>/<key>. A submission is claimed before it is dispatched, so that it runs at most once
// even if the entry crashes, the table's answers are lost, or callers repeat the key at another entry.
package dedup

import (
	"encoding/json"

	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/table"
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	// Claimed means that the request may have been sent to the target.
	Claimed State = "Claimed"
	// Completed means that the request ran and its answer is recorded.
	Completed State = "Completed"
	// Released means that the request certainly did not run. The key can be claimed again.
	Released State = "Released"
	// Lost means that the request may have run and that its answer cannot be obtained from the target.
	Lost State = "Lost"
)

// Target is the endpoint that a request is sent to, with the address and incarnation of its agent.
type Target struct {
	Endpoint    ident.Endpoint
	Worker      ident.Worker
	Address     string
	Incarnation ident.Incarnation
}

// Answer is the first answer to a key.
type Answer struct {
	Outcome     outcome.Outcome
	Status      int
	ContentType string
	Body        []byte
	// Bytes is the length of the answer's body, also if Body does not hold it.
	Bytes int
	// Object is the name of the body in the object store if it was too large for the row.
	Object string `json:",omitempty"`
	// Omitted is set if the body was too large for the row and there is no object store.
	Omitted bool `json:",omitempty"`
}

// Record is the value of a claim row.
type Record struct {
	State   State
	Request ident.Request
	Target  Target
	// Attempt counts the claims and reassignments of the key, starting at 1.
	Attempt int
	// Digest is a hash of the submission. It differs if the key is reused for another body.
	Digest string
	Answer *Answer `json:",omitempty"`
}

// Ticket is a claim as this entry wrote or read it. A change of the claim requires that its row still
// has the ticket's revision.
type Ticket struct {
	Service  ident.Service
	Key      ident.Key
	Record   Record
	revision table.Revision
}

const keyPrefix = "Request/"

func rowKey(service ident.Service, key ident.Key) table.Key {
	return table.Key(keyPrefix + string(service) + "/" + string(key))
}

func encode(record Record) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		// Record holds only types whose encoding never fails.
		panic(err)
	}
	return value
}

func decode(row table.Row) (Record, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, ErrBadRow{Key: row.Key, Reason: err.Error()}
	}
	return record, nil
}
