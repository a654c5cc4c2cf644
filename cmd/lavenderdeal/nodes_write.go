package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/io/operator"
)

func drainCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("lavenderdeal drain", stderr)
	nodes, key := addNodeFlag(flags), addOperatorKeyFlag(flags)
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "lavenderdeal drain --node ADDRESS [--node ADDRESS...]",
		ShortHelp:  "stop nodes gracefully, without cutting off calls",
		LongHelp: "Equivalent to SIGTERM to each node.\n\n" +
			"Example:\n  LAVENDERDEAL_OPERATOR_KEY=... lavenderdeal drain --node 127.0.0.1:7104\n\nExits with 0 when all nodes are leaving, 1 when one did not accept the request.",
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return writeAll(ctx, *nodes, *key, stdout, "leaving", (*operator.Client).Drain)
		},
	}
}

func liftCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("lavenderdeal lift", stderr)
	nodes, key := addNodeFlag(flags), addOperatorKeyFlag(flags)
	return &ffcli.Command{
		Name:       "lift",
		ShortUsage: "lavenderdeal lift --node ADDRESS [--node ADDRESS...] FINGERPRINT",
		ShortHelp:  "lift the quarantine of calls with a fingerprint",
		LongHelp: "Nodes refuse calls with the fingerprint of a call that is suspected of crashing backend servers.\nThe fingerprint is in the refusal and in the output of lavenderdeal explain.\n\n" +
			"Example:\n  LAVENDERDEAL_OPERATOR_KEY=... lavenderdeal lift --node 127.0.0.1:7104 4f1c2a\n\nExits with 0 when all nodes accepted the request, 1 when one did not.",
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("want one argument, the fingerprint of the quarantined calls")
			}
			return writeAll(ctx, *nodes, *key, stdout, "lifted", func(c *operator.Client, ctx context.Context) error {
				return c.LiftQuarantine(ctx, args[0])
			})
		},
	}
}

func addOperatorKeyFlag(flags *flag.FlagSet) *string {
	return flags.String("operator-key", "", "operator `key`; better in LAVENDERDEAL_OPERATOR_KEY than on the command line")
}

// writeAll sends the same write to every node. For each node that accepted it, it
// prints the address followed by done.
func writeAll(ctx context.Context, nodes nodeAddresses, key string, stdout io.Writer, done string, write func(*operator.Client, context.Context) error) error {
	if err := nodes.check(nil); err != nil {
		return err
	}
	// Only the key is read from the environment: node addresses that were set there
	// for lavenderdeal status must not be drained by mistake.
	if key == "" {
		key = os.Getenv(environmentPrefix + "_OPERATOR_KEY")
	}
	if key == "" {
		return usageError("--operator-key or LAVENDERDEAL_OPERATOR_KEY is needed")
	}
	responses := queryAll(ctx, nodes, key, func(c *operator.Client, ctx context.Context) (bool, error) {
		err := write(c, ctx)
		return err == nil, err
	})
	for _, r := range responses {
		if r.Value {
			fmt.Fprintln(stdout, r.Node, done)
		}
	}
	return responseError(responses)
}
