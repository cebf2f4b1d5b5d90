package cmd

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/jessevdk/go-flags"

	"hyssopjunction/account"
	"hyssopjunction/joblog"
)

func init() {
	registrars = append(registrars, func(parser *flags.Parser, std streams) error {
		_, err := parser.AddCommand("report", "Report where the time of jobs went",
			"Reads logs of a deployment's entries and prints, for each queue, how its jobs ended and where their time went, and how the workers were used.", &reportCommand{std: std})
		return err
	})
}

type reportCommand struct {
	JSON      bool `long:"json" description:"Print JSON"`
	Arguments struct {
		Files []string `positional-arg-name:"FILE" description:"Logs; without any, the standard input is read"`
	} `positional-args:"yes"`
	std streams
}

// Execute reads the logs and prints the report.
func (command *reportCommand) Execute([]string) error {
	inputs := []io.Reader{os.Stdin}
	if len(command.Arguments.Files) > 0 {
		inputs = nil
	}
	for _, path := range command.Arguments.Files {
		file, err := os.Open(path)
		if err != nil {
			return ErrExit{Code: ExitUsage, Reason: err.Error()}
		}
		defer func() { _ = file.Close() }()
		inputs = append(inputs, file)
	}
	log, err := joblog.Read(inputs...)
	if err != nil {
		return ErrExit{Code: ExitFailed, Reason: err.Error()}
	}
	if command.JSON {
		return printJSON(command.std.out, struct {
			Queues                  []joblog.QueueSummary
			Loads                   []joblog.Load
			Lines, Damaged, Foreign int
		}{log.Queues(), log.Loads, log.Lines, log.Damaged, log.Foreign})
	}
	return command.print(&log)
}

func (command *reportCommand) print(log *joblog.Log) error {
	ends := table{header: []string{"QUEUE", "KIND", "IN-TIME", "LATE", "LOST", "FAILED", "CANCELLED", "SHARE", "MAX-USABLE", "MAX-IDLE"}}
	times := table{header: []string{"QUEUE", "KIND", "AGE", "OBJECTIVE", "PATH", "TAIL"}}
	for _, cause := range account.Causes() {
		times.header = append(times.header, cause.String())
	}
	for _, queue := range log.Queues() {
		ends.add(queue.Queue, queue.Kind, strconv.Itoa(queue.InTime), strconv.Itoa(queue.Late), strconv.Itoa(queue.Lost), strconv.Itoa(queue.Failed), strconv.Itoa(queue.Cancelled),
			fmt.Sprintf("%.2f", queue.ShareInTime), fmt.Sprintf("%.2f", queue.MaxShareUsable), fmt.Sprintf("%.2f", queue.MaxShare))
		row := []string{queue.Queue, queue.Kind, millisText(queue.Age), millisText(queue.Objective), millisText(queue.Path), millisText(queue.Tail)}
		for _, cause := range account.Causes() {
			row = append(row, millisText(queue.Spent[cause]))
		}
		times.add(row...)
	}
	loads := table{header: []string{"SECOND", "CORES", "RESERVED", "IDLE", "USABLE", "FILLING", "PACED", "USED", "WAITING", "SERVING", "OVER", "STANDING", "LARGEST", "FREE"}}
	for _, load := range log.Loads {
		loads.add(fmt.Sprintf("%.1f", float64(load.At.Sub(log.Loads[0].At))/1000), strconv.Itoa(load.Cores), strconv.Itoa(load.Reserved), strconv.Itoa(load.Idle), strconv.Itoa(load.Usable),
			strconv.Itoa(load.Filling), strconv.Itoa(load.Paced), strconv.Itoa(load.Used), strconv.Itoa(load.Waits), strconv.Itoa(load.Serving), strconv.Itoa(load.Over),
			strconv.Itoa(load.Standing), strconv.Itoa(load.Largest), strconv.Itoa(load.Free))
	}
	loads.notes = append(loads.notes, fmt.Sprintf("%d lines, %d damaged, %d of other programs.", log.Lines, log.Damaged, log.Foreign))
	for _, output := range []table{ends, times, loads} {
		if err := output.print(command.std.out); err != nil {
			return err
		}
	}
	return nil
}
