package main

import (
	"context"
	"fmt"
	"io"
	"runtime"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/internal/node"
)

func versionCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "lavenderdeal version",
		ShortHelp:  "print the release",
		LongHelp:   "Example:\n  lavenderdeal version",
		FlagSet:    newFlags("lavenderdeal version", stderr),
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintf(stdout, "lavenderdeal %s %s\n", node.Release, runtime.Version())
			return err
		},
	}
}
