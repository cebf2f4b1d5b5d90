package job

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the randomised tests unless -rapid.seed is given, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	seedSet := false
	flag.Visit(func(option *flag.Flag) { seedSet = seedSet || option.Name == "rapid.seed" })
	if !seedSet {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
