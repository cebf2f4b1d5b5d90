// Command hyssopjunction schedules latency-critical services and batch jobs on shared workers.
package main

import (
	"os"

	"hyssopjunction/cmd"
	"hyssopjunction/logging"
)

func main() {
	log := logging.NewBuffer(os.Stderr)
	code := cmd.Run(os.Args[1:], os.Stdout, log)
	if err := log.Flush(); err != nil {
		code = max(code, cmd.ExitFailed)
	}
	os.Exit(code)
}
