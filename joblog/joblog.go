// Package joblog reads what leaders log about the ends of jobs and the use of the workers, and sums it up.
package joblog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"hyssopjunction/account"
	"hyssopjunction/clock"
)

// maxLineBytes is the length from which a line counts as damaged.
const maxLineBytes = 1 << 20

// End is the end of a job.
type End struct {
	At                      clock.Time
	Job, Queue, State, Kind string
	Age, Objective, Path    clock.Millis
	// Work is in core-milliseconds.
	Work  int64
	Tail  clock.Millis
	Spent account.Split
}

// Load is the use of the workers at a time, in cores.
type Load struct {
	At                                                         clock.Time
	Cores, Reserved, Idle, Usable, Filling, Paced, Used, Waits int
	// Serving and Over count the serving runs, and those over their target.
	Serving, Over int
	// Standing counts the waiting standing tasks, Largest holds the cores that the largest of them requests, and Free the most cores
	// that are unreserved on one worker.
	Standing, Largest, Free int
}

// Log is what was read, in the order of time. Times count from 1970.
type Log struct {
	Ends  []End
	Loads []Load
	// Lines counts all lines, Damaged those that begin like one of this program and cannot be read, and Foreign those that do not.
	Lines, Damaged, Foreign int
}

// ErrEmpty reports that the input has no line about jobs or workers.
type ErrEmpty struct{ Lines int }

// Error tells what is missing.
func (err ErrEmpty) Error() string {
	return fmt.Sprintf("none of %d lines is about the end of a job or the use of the workers", err.Lines)
}

// IsErrEmpty reports whether err is or wraps an ErrEmpty.
func IsErrEmpty(err error) bool { return errors.As(err, new(ErrEmpty)) }

// line holds the fields of both kinds of lines.
type line struct {
	Time, Message                                                                 string
	Job, Queue, State, Kind                                                       string
	AgeMillis, ObjectiveMillis, PathMillis, TailMillis, WorkCoreMillis            int64
	Unseen, Stalled, Held, Rack, Room, Slow, Work, Throttled, Failed, Moved, Lost int64
	Cores, Reserved, Idle, Usable, Filling, FillingPaced, FillingUsed, Serving    int
	ServingOver, Waiting, StandingWaiting, LargestStanding, LargestFree           int
}

// Read reads lines from all inputs. What stands before the JSON object of a line, such as the name of a process, is skipped.
// Errors: those of reading, and ErrEmpty.
func Read(inputs ...io.Reader) (Log, error) {
	var log Log
	for _, input := range inputs {
		reader := bufio.NewReaderSize(input, maxLineBytes)
		for {
			text, isTooLong, err := readLine(reader)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return log, fmt.Errorf("reading line %d: %w", log.Lines+1, err)
			}
			log.Lines++
			if isTooLong {
				log.Damaged++
				continue
			}
			log.add(text)
		}
	}
	slices.SortStableFunc(log.Ends, func(left, right End) int { return cmp.Compare(left.At, right.At) })
	slices.SortStableFunc(log.Loads, func(left, right Load) int { return cmp.Compare(left.At, right.At) })
	if len(log.Ends) == 0 && len(log.Loads) == 0 {
		return log, ErrEmpty{Lines: log.Lines}
	}
	return log, nil
}

// readLine returns the next line, which is valid until the next call. The rest of a line that is longer than the reader's buffer
// is skipped.
func readLine(reader *bufio.Reader) (text []byte, isTooLong bool, err error) {
	text, isPrefix, err := reader.ReadLine()
	for isTooLong = isPrefix; isPrefix && err == nil; {
		_, isPrefix, err = reader.ReadLine()
	}
	if isTooLong && errors.Is(err, io.EOF) {
		err = nil // The line was the last one.
	}
	return text, isTooLong, err
}

// add adds a line.
func (log *Log) add(text []byte) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		log.Foreign++
		return
	}
	text = text[begin:]
	if !bytes.Contains(text, []byte(`"Job account"`)) && !bytes.Contains(text, []byte(`"Load"`)) {
		if !json.Valid(text) {
			log.Damaged++
		}
		return
	}
	var parsed line
	if json.Unmarshal(text, &parsed) != nil {
		log.Damaged++
		return
	}
	at, err := time.Parse(time.RFC3339Nano, parsed.Time)
	if err != nil {
		log.Damaged++
		return
	}
	switch parsed.Message {
	case "Job account":
		log.Ends = append(log.Ends, parsed.end(clock.Time(at.UnixMilli())))
	case "Load":
		log.Loads = append(log.Loads, Load{
			At: clock.Time(at.UnixMilli()), Cores: parsed.Cores, Reserved: parsed.Reserved, Idle: parsed.Idle, Usable: parsed.Usable, Filling: parsed.Filling,
			Paced: parsed.FillingPaced, Used: parsed.FillingUsed, Waits: parsed.Waiting, Serving: parsed.Serving, Over: parsed.ServingOver,
			Standing: parsed.StandingWaiting, Largest: parsed.LargestStanding, Free: parsed.LargestFree,
		})
	}
}

func (parsed *line) end(at clock.Time) End {
	return End{
		At: at, Job: parsed.Job, Queue: parsed.Queue, State: parsed.State, Kind: parsed.Kind, Age: clock.Millis(parsed.AgeMillis),
		Objective: clock.Millis(parsed.ObjectiveMillis), Path: clock.Millis(parsed.PathMillis), Work: parsed.WorkCoreMillis, Tail: clock.Millis(parsed.TailMillis),
		Spent: account.Split{
			account.Unseen: clock.Millis(parsed.Unseen), account.Stalled: clock.Millis(parsed.Stalled), account.Held: clock.Millis(parsed.Held),
			account.Rack: clock.Millis(parsed.Rack), account.Room: clock.Millis(parsed.Room), account.Slow: clock.Millis(parsed.Slow),
			account.Work: clock.Millis(parsed.Work), account.Throttled: clock.Millis(parsed.Throttled),
			account.Failed: clock.Millis(parsed.Failed), account.Moved: clock.Millis(parsed.Moved), account.Lost: clock.Millis(parsed.Lost),
		},
	}
}
