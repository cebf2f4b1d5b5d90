package lease

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised tests unless one is given, so that every run is the same.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(set *flag.Flag) { given = given || set.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
