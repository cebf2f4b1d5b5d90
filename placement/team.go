package placement

import (
	"encoding/json"
	"errors"
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// TeamKeyPrefix is the prefix of the keys of the teams' usage rows.
const TeamKeyPrefix = "Team/"

// TeamKey returns the key of the team's usage row.
func TeamKey(team ident.Team) table.Key {
	return table.Key(TeamKeyPrefix + string(team))
}

// TeamUsage is the content of a usage row: the sum of the sizes of the team's live tasks in the
// region. It is written only in the transactions that make tasks live or end them.
type TeamUsage struct {
	CPU          unit.MilliCPU
	Memory       unit.Mebibytes
	Accelerators unit.Accelerators
}

// Resources returns the usage as resources.
func (usage TeamUsage) Resources() unit.Resources { return unit.Resources(usage) }

// EncodeTeamUsage returns the value of a usage row.
func EncodeTeamUsage(used unit.Resources) []byte {
	value, err := json.Marshal(TeamUsage(used))
	if err != nil {
		panic(err) // three integers always have a JSON form
	}
	return value
}

// DecodeTeamUsage decodes a usage row; a missing row means no usage. The error is ErrBadTeam.
func DecodeTeamUsage(row table.Row) (unit.Resources, error) {
	if !row.Exists() {
		return unit.Resources{}, nil
	}
	var usage TeamUsage
	if err := json.Unmarshal(row.Value, &usage); err != nil {
		return unit.Resources{}, ErrBadTeam{Key: row.Key, Reason: err.Error()}
	}
	return usage.Resources(), nil
}

// ErrBadTeam reports a usage row that cannot be read.
type ErrBadTeam struct {
	Key    table.Key
	Reason string
}

// Error describes the fault.
func (err ErrBadTeam) Error() string { return fmt.Sprintf("bad row %s: %s", err.Key, err.Reason) }

// IsErrBadTeam reports whether err is or wraps an ErrBadTeam.
func IsErrBadTeam(err error) bool { return errors.As(err, new(ErrBadTeam)) }

// ErrInvariant is the value of the panic raised when the scheduler breaks an invariant, which is a
// fault of this package.
type ErrInvariant struct{ Reason string }

// Error describes the broken invariant.
func (err ErrInvariant) Error() string { return "scheduler invariant broken: " + err.Reason }

// IsErrInvariant reports whether err is or wraps an ErrInvariant.
func IsErrInvariant(err error) bool { return errors.As(err, new(ErrInvariant)) }
