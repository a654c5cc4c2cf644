package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/internal/node"
	"lavenderdeal/io/settings"
)

func nodeCommand(stderr io.Writer) *ffcli.Command {
	flags := newFlags("lavenderdeal node", stderr)
	file := flags.String("config", "", "file with the settings (YAML)")
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: "lavenderdeal node --config FILE",
		ShortHelp:  "run the node beside a backend server",
		LongHelp:   "Example:\n  lavenderdeal node --config node.yaml\n\nSIGTERM and SIGINT stop the node without cutting off a call.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return usageError("node needs --config FILE and nothing else")
			}
			return runNode(ctx, *file, stderr)
		},
	}
}

func runNode(ctx context.Context, file string, stderr io.Writer) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	cfg, err := settings.Decode(data)
	if err != nil {
		return errors.Newf("%s:\n%v", file, err)
	}
	log.SetLevelFromString(string(cfg.LogLevel))
	n, err := node.Start(cfg)
	if err != nil {
		return err
	}
	log.WithField("addresses", n.Addresses()).Info("nodeStarted")
	<-ctx.Done()
	log.Info("nodeStopping")
	if err := n.Stop(context.Background()); err != nil {
		fmt.Fprintln(stderr, "lavenderdeal:", err)
		return err
	}
	log.Info("nodeStopped")
	return nil
}
