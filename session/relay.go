package session

import (
	"errors"

	"hyssopjunction/clock"
	"hyssopjunction/store"
)

// RelayRequest asks an entry to make one call to the store for another one.
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

// Failure names the error of a relayed call.
type Failure string

// Failures of relayed calls, named like the errors of package store.
const (
	Conflict    Failure = "Conflict"
	Unavailable Failure = "Unavailable"
	Unknown     Failure = "Unknown"
	HistoryGone Failure = "HistoryGone"
)

// RelayReply is the store's answer. On a Conflict Rows holds the present rows.
type RelayReply struct {
	Rows    store.Rows
	Failure Failure `json:",omitempty"`
	Reason  string  `json:",omitempty"`
}

// SetErr records the error of the call, which may be nil.
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
	case store.IsErrUnavailable(err):
		reply.Failure = Unavailable
	default:
		reply.Failure = Unknown
	}
}

// Err returns the error of the call as package store defines it, or nil.
func (reply *RelayReply) Err() error {
	switch reply.Failure {
	case "":
		return nil
	case Conflict:
		return store.ErrConflict{Rows: reply.Rows.Rows}
	case HistoryGone:
		return store.ErrHistoryGone{}
	case Unavailable:
		return store.ErrUnavailable{Reason: reply.Reason}
	default:
		return store.ErrUnknown{Reason: reply.Reason}
	}
}
