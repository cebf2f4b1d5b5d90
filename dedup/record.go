// Package dedup keeps the claim rows Request/<service>/<key> of keyed submissions that are not
// idempotent. A submission is claimed before it is dispatched, so that it runs at most once even
// if the entry dies, the table's answers are lost, or callers repeat the key elsewhere.
package dedup

import (
	"encoding/json"

	"hyssopjunction/ident"
	"hyssopjunction/outcome"
	"hyssopjunction/table"
)

// State tells how far a claim got.
type State string

// States of a claim.
const (
	// Claimed means that the request may have been sent to the target.
	Claimed State = "Claimed"
	// Completed means that the answer is known.
	Completed State = "Completed"
	// Released means that the request certainly did not run at the target.
	Released State = "Released"
	// Lost means that the request may have run and its answer will never be known.
	Lost State = "Lost"
)

// Target is where a request is sent.
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
	// Bytes is the length of the answer, also when Body was too large to keep.
	Bytes int
	// Object names the body in the object store if it was too large for the row.
	Object string `json:",omitempty"`
	// Omitted marks an answer whose body was too large to keep.
	Omitted bool `json:",omitempty"`
}

// Record is the value of a claim row.
type Record struct {
	State   State
	Request ident.Request
	Target  Target
	// Attempt counts the targets the key was assigned to, from 1.
	Attempt int
	// Digest identifies the body, so that a key reused for another body is noticed.
	Digest string
	Answer *Answer `json:",omitempty"`
}

// Ticket is the right to act on a claim: the record as this entry wrote or read it.
type Ticket struct {
	Service  ident.Service
	Key      ident.Key
	Record   Record
	revision table.Revision
}

const prefix = "Request/"

func rowKey(service ident.Service, key ident.Key) table.Key {
	return table.Key(prefix + string(service) + "/" + string(key))
}

func encode(record Record) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		// Record holds only types that can always be encoded.
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
