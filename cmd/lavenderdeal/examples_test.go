package main

import (
	"path/filepath"
	"testing"
)

// TestExamples checks that the files of each example deployment are valid.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/node.yaml")
	if err != nil || len(files) < 2 {
		t.Fatalf("examples %v, error %v; want at least two deployments", files, err)
	}
	for _, file := range files {
		dir := filepath.Dir(file)
		t.Run(filepath.Base(dir), func(t *testing.T) {
			env := &testEnv{}
			env.run(t, exitOK, "plans", "check", filepath.Join(dir, "customers.yaml"), filepath.Join(dir, "plans.yaml"))
			env.run(t, exitOK, "settings", "print", "--config", file)
		})
	}
}
