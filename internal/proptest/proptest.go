// Package proptest fixes the seed of property-based tests, so that each run
// gives the same verdict.
//
// A test package that uses rapid starts its tests through [Main]:
//
//	func TestMain(m *testing.M) { proptest.Main(m) }
//
// The flags of rapid still choose another seed or more checks:
//
//	go test ./core/admission -rapid.seed=7 -rapid.checks=10000
package proptest

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"

	// Its flags must be registered before they are set.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

// Main runs the tests of a package and ends the process.
func Main(m *testing.M) {
	fixSeed()
	os.Exit(m.Run())
}

// MainWithLeakCheck is like Main and fails when goroutines outlive the tests. Those that
// go-zero starts when it is loaded stay as long as the process.
func MainWithLeakCheck(m *testing.M) {
	fixSeed()
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"),
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/stat.init.1.func1"),
	)
}

func fixSeed() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
}
