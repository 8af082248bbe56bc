// Package seeds sets a fixed seed for rapid's checks, so that test results are
// reproducible. Tests import it for its side effect; the -rapid.seed flag
// overrides the seed.
package seeds

import (
	"flag"

	_ "pgregory.net/rapid" // registers the rapid.seed flag
)

// seed is the initial seed of each check.
const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
