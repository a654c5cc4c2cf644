package main

import (
	"context"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/internal/demo"
)

const defaultDemoDuration = 20 * time.Second

func demoCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("lavenderdeal demo", stderr)
	duration := flags.Duration("for", defaultDemoDuration, "time for which calls are sent")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "lavenderdeal demo [--for DURATION]",
		ShortHelp:  "run a small deployment in one process on loopback",
		LongHelp:   "Example:\n  lavenderdeal demo --for 10s\n\nExits with 1 when a promise was broken: the nodes violated one of their guarantees.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			log.SetLevel(log.ErrorLevel)
			return demo.Run(ctx, stdout, *duration)
		},
	}
}
