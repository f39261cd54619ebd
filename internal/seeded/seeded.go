// Package seeded runs property tests with a fixed seed, so that CI runs are reproducible. Another seed
// can be set with -rapid.seed.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// seed is an arbitrary fixed number.
const seed = "20261202"

// Main runs a package's tests with the fixed seed and without rapid's files of failed cases, and exits.
// It is called from TestMain.
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
