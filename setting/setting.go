// Package setting reads the TOML settings of the daemons. Sections and keys have the names of the struct
// fields, in Pascal case. Defaults, limits and descriptions are struct tags: `default` is the value of a
// missing key; a key without it is required, unless `optional` is set. `min` and `max` limit numbers,
// `kind` selects the check of a string, and `doc` is the description on the reference page.
package setting

import (
	"cmp"
	"os"
	"slices"
)

// Load reads the settings of one role, Entry, Agent or StandIn, from a TOML file. Its error is
// ErrBadSettings, which lists all unknown keys, wrong types, values out of range and contradictions.
func Load[Root Entry | Agent | StandIn](file string) (Root, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		var root Root
		return root, ErrBadSettings{Problems: []Problem{{File: file, Reason: err.Error()}}}
	}
	return Parse[Root](file, text)
}

// Parse reads settings from the text of a file. The name file is used in errors only.
func Parse[Root Entry | Agent | StandIn](file string, text []byte) (Root, error) {
	var root Root
	reader := &reader{file: file}
	if reader.read(text, &root) {
		switch role := any(&root).(type) {
		case *Entry:
			role.check(reader)
		case *Agent:
			role.check(reader)
		case *StandIn:
			role.check(reader)
		}
	}
	if len(reader.problems) > 0 {
		slices.SortStableFunc(reader.problems, func(left, right Problem) int { return cmp.Compare(left.Key, right.Key) })
		return root, ErrBadSettings{Problems: reader.problems}
	}
	return root, nil
}
