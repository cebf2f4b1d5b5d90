// Package ident defines the types of identifiers and version numbers.
package ident

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Types of identifiers. An identifier is a short printable name, see Valid.
type (
	// Team identifies a customer's team; quotas belong to teams.
	Team string
	// Service identifies a latency-critical service.
	Service string
	// Job identifies a job, whose tasks are batch or standing tasks.
	Job string
	// Worker identifies a machine that runs tasks.
	Worker string
	// Endpoint identifies one back end of a service.
	Endpoint string
	// Entry identifies an entry daemon.
	Entry string
	// Region identifies a group of data centres with one table service.
	Region string
	// DataCentre identifies a data centre.
	DataCentre string
	// Rack identifies a rack within a data centre.
	Rack string
	// Request identifies a caller's request. All attempts of the request share it.
	Request string
	// Key is the caller's idempotency key.
	Key string
	// Preset identifies an operators' preset.
	Preset string
	// Write identifies a write to the table. If its answer is lost, the identifier in the row shows
	// whether the write took effect.
	Write string
)

// Incarnation numbers the successive processes of one agent or entry. Higher is newer.
type Incarnation uint64

// Epoch numbers the successive placements of one task. Higher is newer.
type Epoch uint64

// Version numbers the successive values of one configuration document.
type Version uint64

// Sequence numbers the messages of one sender.
type Sequence uint64

// Task identifies a task by its job and index.
type Task struct {
	Job   Job
	Index int
}

// String formats the task as "job/index".
func (task Task) String() string {
	return string(task.Job) + "/" + strconv.Itoa(task.Index)
}

// ErrBadTask reports a task name that is not of the form "job/index".
type ErrBadTask struct {
	Name string
}

// Error describes the bad name.
func (err ErrBadTask) Error() string {
	return fmt.Sprintf("task name %q is not of the form job/index", err.Name)
}

// IsErrBadTask reports whether err is an ErrBadTask.
func IsErrBadTask(err error) bool {
	_, ok := err.(ErrBadTask)
	return ok
}

// ParseTask parses the result of Task.String. It returns ErrBadTask for any other form.
func ParseTask(name string) (Task, error) {
	slash := strings.LastIndexByte(name, '/')
	if slash <= 0 {
		return Task{}, ErrBadTask{Name: name}
	}
	index, err := strconv.Atoi(name[slash+1:])
	if err != nil || index < 0 {
		return Task{}, ErrBadTask{Name: name}
	}
	return Task{Job: Job(name[:slash]), Index: index}, nil
}

var identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Valid reports whether name can be an identifier: 1 to 64 letters, digits, dots, dashes and
// underscores, starting with a letter or digit.
func Valid[Name ~string](name Name) bool {
	return identifierPattern.MatchString(string(name))
}
