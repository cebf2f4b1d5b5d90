package session

import (
	"errors"

	"hyssopjunction/clock"
	"hyssopjunction/store"
)

// RelayRequest requests an entry to make one call to the store for another entry. Exactly one field is set.
type RelayRequest struct {
	Commit  *store.Tx     `json:",omitempty"`
	List    *RelayList    `json:",omitempty"`
	Changes *RelayChanges `json:",omitempty"`
}

// RelayList holds the arguments of store.Store.List.
type RelayList struct {
	Table    store.Table
	From, To string
}

// RelayChanges holds the arguments of store.Store.Changes.
type RelayChanges struct {
	Table store.Table
	After store.Version
	Wait  clock.Millis
}

// Failure is the kind of error of a relayed call.
type Failure string

// Failures of relayed calls. Each stands for an error type of package store.
const (
	Conflict    Failure = "Conflict"
	Unavailable Failure = "Unavailable"
	Unknown     Failure = "Unknown"
	HistoryGone Failure = "HistoryGone"
	// Rejected is an unknown outcome to entries of an earlier version.
	Rejected Failure = "Rejected"
)

// RelayReply is the result of a relayed call. With the failure Conflict, Rows holds the present rows.
type RelayReply struct {
	Rows    store.Rows
	Failure Failure `json:",omitempty"`
	Reason  string  `json:",omitempty"`
}

// SetErr sets the error of the call, which may be nil.
func (reply *RelayReply) SetErr(err error) {
	if err == nil {
		return
	}
	var conflict store.ErrConflict
	reply.Reason = err.Error()
	switch {
	case errors.As(err, &conflict):
		reply.Failure, reply.Rows = Conflict, store.Rows{Rows: conflict.Rows}
	case store.IsErrHistoryGone(err):
		reply.Failure = HistoryGone
	case store.IsErrRejected(err):
		reply.Failure = Rejected
	case store.IsErrUnavailable(err):
		reply.Failure = Unavailable
	default:
		reply.Failure = Unknown
	}
}

// Err returns the error of the call as a type of package store, or nil.
func (reply *RelayReply) Err() error {
	switch reply.Failure {
	case "":
		return nil
	case Conflict:
		return store.ErrConflict{Rows: reply.Rows.Rows}
	case HistoryGone:
		return store.ErrHistoryGone{}
	case Rejected:
		return store.ErrRejected{Reason: reply.Reason}
	case Unavailable:
		return store.ErrUnavailable{Reason: reply.Reason}
	default:
		return store.ErrUnknown{Reason: reply.Reason}
	}
}
