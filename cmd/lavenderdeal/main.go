// Command lavenderdeal runs the node, the sidecar proxy beside each backend server
// of a service mesh, and provides the operators' commands. It also has stand-ins,
// load and measurements for trials. The command lavenderdeald runs another
// implementation of the node, for the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	jsonhandler "github.com/apex/log/handlers/json"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes.
const (
	exitOK = iota
	// exitFailed is the code of a command that failed.
	exitFailed
	// exitUsage is the code of an invalid command line.
	exitUsage
	// exitConflict is the code of a change that was not made because another one
	// came first.
	exitConflict
	// exitTimeLimit is the code of a wait that reached its time limit.
	exitTimeLimit
)

// exitError is an error with the exit code of the command.
type exitError struct {
	code int
	err  error
}

func main() {
	log.SetHandler(jsonhandler.New(os.Stderr))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := rootCommand(stdout, stderr)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(stderr, "lavenderdeal:", err)
		return exitUsage
	}
	err := root.Run(ctx)
	var failed *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &failed):
		fmt.Fprintln(stderr, "lavenderdeal:", failed.err)
		return failed.code
	}
	fmt.Fprintln(stderr, "lavenderdeal:", err)
	return exitFailed
}

func rootCommand(stdout, stderr io.Writer) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "lavenderdeal",
		ShortUsage: "lavenderdeal COMMAND [flags]",
		LongHelp:   "Example:\n  lavenderdeal demo",
		FlagSet:    newFlags("lavenderdeal", stderr),
		Subcommands: []*ffcli.Command{
			nodeCommand(stderr),
			plansCommand(stdout, stderr),
			statusCommand(stdout, stderr),
			explainCommand(stdout, stderr),
			drainCommand(stdout, stderr),
			liftCommand(stdout, stderr),
			settingsCommand(stdout, stderr),
			demoCommand(stdout, stderr),
			loadCommand(stdout, stderr),
			measureCommand(stdout, stderr),
			experimentCommand(stdout, stderr),
			standinCommand(stdout, stderr),
			traceCommand(stdout, stderr),
			rolloutsCommand(stdout, stderr),
			accountsCommand(stdout, stderr),
			serversCommand(stdout, stderr),
			versionCommand(stdout, stderr),
		},
	}
	root.Exec = needSubcommand
	return root
}

// needSubcommand is the Exec function of a command that only has subcommands. It runs
// when the command line names none, or one that doesn't exist.
func needSubcommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usageError("no command %q; --help lists the commands", args[0])
	}
	return flag.ErrHelp
}

func newFlags(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags
}

// usageError returns an error with the exit code [exitUsage].
func usageError(format string, args ...any) error {
	return &exitError{code: exitUsage, err: errors.Newf(format, args...)}
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }
