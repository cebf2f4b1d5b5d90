// Command hyssopjunction schedules latency-critical services and batch jobs on shared workers.
package main

import (
	"os"

	"hyssopjunction/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
