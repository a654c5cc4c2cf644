package soak_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"lavenderdeal/internal/soak"
)

var (
	first = flag.Uint64("soak.first", 1, "first seed")
	seeds = flag.Int("soak.seeds", 2, "number of seeds")
	lasts = flag.Duration("soak.lasts", 6*time.Second, "duration of the fault injection")
	each  = flag.Int("soak.each", 4, "instances of each of two services")
	logs  = flag.String("soak.logs", "", "directory for the logs of runs that fail")

	binary string
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "lavenderdeald")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/lavenderdeald").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func assertNoViolations(t *testing.T, seed uint64) {
	t.Helper()
	cfg := soak.Config{Binary: binary, Seed: seed, FaultDuration: *lasts, InstancesPerService: *each}
	if *logs != "" {
		cfg.LogDir = filepath.Join(*logs, fmt.Sprint(seed))
	}
	violations := soak.Run(t, cfg)
	const maxReported = 12
	for i, v := range violations {
		if i == maxReported {
			t.Errorf("and %d more", len(violations)-maxReported)
			break
		}
		t.Error(v)
	}
}

// TestSoak runs the seeds that the flags select. Without flags it is the short run of
// CI. A long run:
//
//	go test ./internal/soak -run TestSoak -soak.seeds 50 -soak.first 100 -soak.lasts 12s -timeout 1h
func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { assertNoViolations(t, seed) })
	}
}

// TestRegressions runs seeds that failed before and logs the cause.
func TestRegressions(t *testing.T) {
	for seed, cause := range map[uint64]string{
		6:  "502 around planned stops: the proxy accepts a connection before it dials its target, which has stopped",
		12: "same cause as seed 6",
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Log(cause)
			assertNoViolations(t, seed)
		})
	}
}
