package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestCommandLine guards against wrong exit codes and missing hints for command lines
// that can't be run.
func TestCommandLine(t *testing.T) {
	for _, tt := range []struct {
		name   string
		args   []string
		code   int
		stderr string
	}{
		{name: "version", args: []string{"version"}, code: exitOK},
		{name: "unknown command", args: []string{"fly"}, code: exitUsage, stderr: `no command "fly"`},
		{name: "no command", code: exitUsage, stderr: "USAGE"},
		{name: "node without settings", args: []string{"node"}, code: exitUsage, stderr: "--config"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := run(t.Context(), tt.args, &stdout, &stderr)
			if code != tt.code {
				t.Errorf("exit code %d, want %d; stderr %q", code, tt.code, &stderr)
			}
			if !strings.Contains(stderr.String(), tt.stderr) {
				t.Errorf("stderr %q, want %q in it", &stderr, tt.stderr)
			}
		})
	}
}
