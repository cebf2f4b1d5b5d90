package cmd

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// version is the program's version. It is raised with each entry of the changelog.
const version = "0.1.0"

type versionCommand struct {
	std streams
}

func init() {
	registrars = append(registrars, func(parser *flags.Parser, std streams) error {
		_, err := parser.AddCommand("version", "Print the version", "Prints the version, the revision and the Go version.", &versionCommand{std: std})
		return err
	})
}

// Execute prints the version.
func (command *versionCommand) Execute([]string) error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(command.std.out, "hyssopjunction %s (revision %s, %s)\n", version, revision, runtime.Version())
	return err
}
