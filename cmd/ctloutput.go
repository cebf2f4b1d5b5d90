package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"hyssopjunction/clock"
	"hyssopjunction/operator"
	"hyssopjunction/unit"
)

// table is the output of a command for a terminal. Without a header the rows are pairs of name and value.
type table struct {
	header []string
	rows   [][]string
	// notes are printed after the rows, one per line.
	notes []string
}

func (table *table) add(cells ...string) {
	table.rows = append(table.rows, cells)
}

func (table table) print(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	lines := table.rows
	if table.header != nil {
		lines = append([][]string{table.header}, lines...)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(writer, strings.Join(line, "\t")); err != nil {
			return fmt.Errorf("print table: %w", err)
		}
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	for _, note := range table.notes {
		if _, err := fmt.Fprintln(out, note); err != nil {
			return fmt.Errorf("print notes: %w", err)
		}
	}
	return nil
}

func printJSON(out io.Writer, result any) error {
	encoded, err := json.Marshal(result)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if _, err := fmt.Fprintln(out, string(encoded)); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}

// acceptedTable returns the output of a configuration change.
func acceptedTable(accepted operator.Accepted) table {
	return table{rows: [][]string{
		{"Document", accepted.Document},
		{"Version", formatNumber(accepted.Version)},
	}}
}

func formatNumber[Number ~int | ~int64 | ~uint64](value Number) string {
	return fmt.Sprintf("%d", value)
}

func formatMillis(value clock.Millis) string {
	if value == 0 {
		return "-"
	}
	return value.Duration().String()
}

// formatResources formats resources as cores, memory and accelerators.
func formatResources(resources unit.Resources) string {
	cores := strconv.FormatFloat(float64(resources.CPU)/1000, 'f', -1, 64)
	return fmt.Sprintf("%s cores, %d MiB, %d acc", cores, resources.Memory, resources.Accelerators)
}

func dashIfEmpty[Text ~string](value Text) string {
	if value == "" {
		return "-"
	}
	return string(value)
}
