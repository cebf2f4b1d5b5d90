package membership

import (
	"encoding/json"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/table"
)

// EntryPrefix is the prefix of the keys of entry rows.
const EntryPrefix table.Key = "Entry/"

// EntryKey returns the key of an entry's row.
func EntryKey(entry ident.Entry) table.Key {
	return EntryPrefix + table.Key(entry)
}

// State is the state of an entry as its row or its heartbeats tell it.
type State string

// States of an entry.
const (
	// Live entries renew their row.
	Live State = "Live"
	// Leaving entries still run but must not be chosen as homes. Only heartbeats tell this state.
	Leaving State = "Leaving"
	// Left entries have ended and grant no leases any more.
	Left State = "Left"
)

// Entry is the content of an entry's row, and what heartbeats between entries tell.
type Entry struct {
	ID          ident.Entry
	State       State
	Incarnation ident.Incarnation
	// ControlAddress serves gRPC and CallerAddress serves HTTP; both are "IP:port".
	ControlAddress string
	CallerAddress  string
	Region         ident.Region
	DataCentre     ident.DataCentre
	// ConfigVersion is the version of the configuration that the entry had when it wrote this.
	ConfigVersion ident.Version
	// Renewal counts the writes of this incarnation.
	Renewal uint64
}

// ErrBadEntry reports an entry row that cannot be read.
type ErrBadEntry struct {
	Key    table.Key
	Reason string
}

// EncodeEntry returns the value of the entry's row.
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

// Message returns the entry as sent to other daemons.
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
