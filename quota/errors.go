package quota

import (
	"errors"
	"fmt"

	"hyssopjunction/ident"
	"hyssopjunction/table"
	"hyssopjunction/unit"
)

// ErrOverLimit reports a charge or transfer of more than the team has free.
type ErrOverLimit struct {
	Team ident.Team
	Want unit.Resources
	Free unit.Resources
}

// Error returns the team, the amount and what is free.
func (err ErrOverLimit) Error() string {
	return fmt.Sprintf("team %s wants %s, free %s", err.Team, err.Want, err.Free)
}

// IsErrOverLimit reports whether err is or wraps an ErrOverLimit.
func IsErrOverLimit(err error) bool {
	return errors.As(err, new(ErrOverLimit))
}

// ErrNotCharged reports a refund of more than was charged.
type ErrNotCharged struct {
	Team   ident.Team
	Amount unit.Resources
	Used   unit.Resources
}

// Error returns the team, the refund and what was charged.
func (err ErrNotCharged) Error() string {
	return fmt.Sprintf("team %s: refund of %s, charged %s", err.Team, err.Amount, err.Used)
}

// IsErrNotCharged reports whether err is or wraps an ErrNotCharged.
func IsErrNotCharged(err error) bool {
	return errors.As(err, new(ErrNotCharged))
}

// ErrOvercommitted reports usage above the limit or a negative amount. Team is empty if it concerns the
// sum over all teams. It is a fault of this package or of a writer of its rows.
type ErrOvercommitted struct {
	Team  ident.Team
	Used  unit.Resources
	Limit unit.Resources
}

// Error returns the team, its usage and its limit.
func (err ErrOvercommitted) Error() string {
	return fmt.Sprintf("team %q uses %s of %s", err.Team, err.Used, err.Limit)
}

// IsErrOvercommitted reports whether err is or wraps an ErrOvercommitted.
func IsErrOvercommitted(err error) bool {
	return errors.As(err, new(ErrOvercommitted))
}

// ErrUnbalanced reports a round that changes the sum of limits by another amount than the sum of grants.
// It is a fault of this package or of its caller.
type ErrUnbalanced struct {
	Limits unit.Resources
	Grants unit.Resources
}

// Error returns both changes.
func (err ErrUnbalanced) Error() string {
	return fmt.Sprintf("limits change by %s, grants by %s", err.Limits, err.Grants)
}

// IsErrUnbalanced reports whether err is or wraps an ErrUnbalanced.
func IsErrUnbalanced(err error) bool {
	return errors.As(err, new(ErrUnbalanced))
}

// ErrBadRow reports a row that cannot be decoded or does not belong to the team in its key.
type ErrBadRow struct {
	Key    table.Key
	Reason string
}

// Error returns the key of the row and the reason.
func (err ErrBadRow) Error() string {
	return fmt.Sprintf("row %s: %s", err.Key, err.Reason)
}

// IsErrBadRow reports whether err is or wraps an ErrBadRow.
func IsErrBadRow(err error) bool {
	return errors.As(err, new(ErrBadRow))
}

// ErrNoTeam reports a team that has no row.
type ErrNoTeam struct {
	Team ident.Team
}

// Error returns the team.
func (err ErrNoTeam) Error() string {
	return fmt.Sprintf("team %q has no quota", err.Team)
}

// IsErrNoTeam reports whether err is or wraps an ErrNoTeam.
func IsErrNoTeam(err error) bool {
	return errors.As(err, new(ErrNoTeam))
}

// ErrBadSettings reports a setting outside its range.
type ErrBadSettings struct {
	Field  string
	Reason string
}

// Error returns the setting and the reason.
func (err ErrBadSettings) Error() string {
	return fmt.Sprintf("setting %s %s", err.Field, err.Reason)
}

// IsErrBadSettings reports whether err is or wraps an ErrBadSettings.
func IsErrBadSettings(err error) bool {
	return errors.As(err, new(ErrBadSettings))
}
