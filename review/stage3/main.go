// Command stage3 plays the cases of review/11 to review/15 that are scripts: it starts the project's own programs with stand-ins
// of the store, the runners and the consumers, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// cases holds the cases by name. Each returns what broke the rule, or an empty string.
var cases = map[string]func(folder string, trouble bool) (*world, func(*world) string){}

func play(name, folder string, trouble bool) (code int) {
	var current *world
	defer func() {
		cause := recover()
		if current != nil {
			var failure errCannotRun
			if err, ok := cause.(error); ok && errors.As(err, &failure) {
				current.note("the case could not run: %s", failure.reason)
			}
			current.close()
		}
		if cause != nil {
			fmt.Println("could not run:", cause)
			code = 2
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		if current != nil {
			current.close()
		}
		os.Exit(2)
	}()
	created, scenario := cases[name](folder, trouble)
	current = created
	if broken := scenario(current); broken != "" {
		current.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	current.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
