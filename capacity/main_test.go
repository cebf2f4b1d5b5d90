package capacity

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised tests. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(option *flag.Flag) { seedGiven = seedGiven || option.Name == "rapid.seed" })
	if !seedGiven {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
