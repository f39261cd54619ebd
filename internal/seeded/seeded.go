// Package seeded gives property tests a fixed seed, so that a run in CI always
// has the same verdict. Another seed can be given with -rapid.seed.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// seed is the date of the first tests.
const seed = "20261202"

// Main runs a package's tests; it is called from TestMain.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if flag.Lookup(name) == nil {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
