package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/apex/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/internal/node"
	"lavenderdeal/schema/settings"
)

// memoryLimitRatio is the soft memory limit of the Go runtime, as a share of the memory that
// the settings allot to the process.
const memoryLimitRatio = 0.7

func nodeCommand(stderr io.Writer) *ffcli.Command {
	flags := newFlags("lavenderdeal node", stderr)
	source := addSettingsFlags(flags)
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: "lavenderdeal node --config FILE [flags]",
		ShortHelp:  "run the node beside a backend server",
		LongHelp: "Flags take precedence over the environment (LAVENDERDEAL_ZONE for --zone), which takes precedence over the file.\n\n" +
			"Example:\n  lavenderdeal node --config node.yaml\n\n" +
			"SIGTERM, SIGINT and POST /drain on the operator port stop the node without cutting off a call.\n" +
			"Exits with 0 after a graceful shutdown, 1 when it could not start or calls were cut off, 2 when the command line is wrong.",
		FlagSet: flags,
		Options: settingsOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			cfg, err := source.read()
			if err != nil {
				return err
			}
			return runNode(ctx, cfg, stderr)
		},
	}
}

func runNode(ctx context.Context, cfg settings.Settings, stderr io.Writer) error {
	log.SetLevelFromString(string(cfg.LogLevel))
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(cfg.Memory) * (1 << 20)))
	}
	n, err := node.Start(cfg)
	if err != nil {
		return err
	}
	log.WithField("addresses", n.Addresses()).Info("nodeStarted")
	waitForStop(ctx, n)
	log.Info("nodeStopping")
	if err := n.Stop(context.Background()); err != nil {
		fmt.Fprintln(stderr, "lavenderdeal:", err)
		return err
	}
	log.Info("nodeStopped")
	return nil
}

// waitForStop waits until ctx is done, as after a signal, or until an operator drains
// the node.
func waitForStop(ctx context.Context, n *node.Node) {
	select {
	case <-ctx.Done():
	case <-n.Draining():
	}
}
