package membership

import (
	"encoding/json"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// EntryPrefix is the key prefix of entry rows.
const EntryPrefix table.Key = "Entry/"

// EntryKey returns the key of the entry's row.
func EntryKey(entry ident.Entry) table.Key {
	return EntryPrefix + table.Key(entry)
}

// State is the state of an entry in its row or heartbeats.
type State string

// States of an entry.
const (
	// Live is an entry that renews its row.
	Live State = "Live"
	// Leaving is an entry that still runs but must not be chosen as a home. This state occurs in
	// heartbeats only.
	Leaving State = "Leaving"
	// Left is an entry that has ended and grants no leases.
	Left State = "Left"
)

// Entry is the content of the row of an entry and of the heartbeats between entries.
type Entry struct {
	ID          ident.Entry
	State       State
	Incarnation ident.Incarnation
	// ControlAddress serves gRPC and CallerAddress serves HTTP; both are "IP:port".
	ControlAddress string
	CallerAddress  string
	Region         ident.Region
	DataCentre     ident.DataCentre
	// ConfigVersion is the version of the configuration that the entry has applied.
	ConfigVersion ident.Version
	// Renewal is the number of writes of the row by this incarnation.
	Renewal uint64
}

// ErrBadEntry reports a row that does not hold a valid entry.
type ErrBadEntry struct {
	Key    table.Key
	Reason string
}

// EncodeEntry returns the value of the row of the entry.
func EncodeEntry(entry Entry) ([]byte, error) {
	return json.Marshal(entry)
}

// DecodeEntry returns the entry in the row, or ErrBadEntry.
func DecodeEntry(row table.Row) (Entry, error) {
	var entry Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return Entry{}, ErrBadEntry{Key: row.Key, Reason: err.Error()}
	}
	if EntryKey(entry.ID) != row.Key {
		return Entry{}, ErrBadEntry{Key: row.Key, Reason: "row belongs to entry " + string(entry.ID)}
	}
	return entry, nil
}

// Message returns the entry as a message to other daemons.
func (entry Entry) Message() *controlpb.EntryState {
	return &controlpb.EntryState{
		Entry:          string(entry.ID),
		ControlAddress: entry.ControlAddress,
		CallerAddress:  entry.CallerAddress,
		Incarnation:    uint64(entry.Incarnation),
		Region:         string(entry.Region),
		DataCentre:     string(entry.DataCentre),
		ConfigVersion:  uint64(entry.ConfigVersion),
		Leaving:        entry.State != Live,
	}
}

// FromMessage returns the entry in a message.
func FromMessage(message *controlpb.EntryState) Entry {
	state := Live
	if message.GetLeaving() {
		state = Leaving
	}
	return Entry{
		ID:             ident.Entry(message.GetEntry()),
		State:          state,
		Incarnation:    ident.Incarnation(message.GetIncarnation()),
		ControlAddress: message.GetControlAddress(),
		CallerAddress:  message.GetCallerAddress(),
		Region:         ident.Region(message.GetRegion()),
		DataCentre:     ident.DataCentre(message.GetDataCentre()),
		ConfigVersion:  ident.Version(message.GetConfigVersion()),
	}
}
