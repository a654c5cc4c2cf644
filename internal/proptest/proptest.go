// Package proptest sets a fixed seed for property-based tests, so that every run has the
// same result.
//
// A test package that uses rapid calls [Main] from TestMain:
//
//	func TestMain(m *testing.M) { proptest.Main(m) }
//
// Rapid's flags override the seed and the number of checks:
//
//	go test ./core/admission -rapid.seed=7 -rapid.checks=10000
package proptest

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"

	// Registers the flags that setDefaultSeed sets.
	_ "pgregory.net/rapid"
)

// seed is the value of -rapid.seed if none is given.
const seed = "20261204"

// Main runs the tests of a package with the fixed seed, unless -rapid.seed is given, and
// exits the process.
func Main(m *testing.M) {
	setDefaultSeed()
	os.Exit(m.Run())
}

// MainWithLeakCheck is like Main and also fails when goroutines outlive the tests. It ignores
// the goroutines that go-zero starts in its init functions, which run until the process
// exits.
func MainWithLeakCheck(m *testing.M) {
	setDefaultSeed()
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"),
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/stat.init.1.func1"),
	)
}

// setDefaultSeed parses the command line and sets -rapid.seed if it was not given.
func setDefaultSeed() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
}
