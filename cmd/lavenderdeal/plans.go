package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/user"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/core/listdiff"
	"lavenderdeal/internal/publish"
	"lavenderdeal/io/operator"
	"lavenderdeal/schema/objects"
)

// maxPrintedChanges is the maximum number of differences in the message of a conflict.
const maxPrintedChanges = 50

func plansCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "plans",
		ShortUsage: "lavenderdeal plans COMMAND [flags]",
		ShortHelp:  "check, apply and show the list of customers and the list of plans",
		LongHelp:   "Example:\n  lavenderdeal plans check customers.yaml plans.yaml",
		FlagSet:    newFlags("lavenderdeal plans", stderr),
		Exec:       needSubcommand,
		Subcommands: []*ffcli.Command{
			plansCheckCommand(stdout, stderr),
			plansApplyCommand(stdout, stderr),
			plansShowCommand(stdout, stderr),
			plansDiffCommand(stdout, stderr),
			plansHistoryCommand(stdout, stderr),
			plansRestoreCommand(stdout, stderr),
			plansWatchCommand(stdout, stderr),
			plansCollectCommand(stdout, stderr),
		},
	}
}

func plansCheckCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal plans check", stderr)
	format := addOutputFlag(flags)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "lavenderdeal plans check FILE...",
		ShortHelp:  "validate the lists without access to the platform",
		LongHelp: "Checks the list of customers, the list of plans, or both together, and prints every fault with its line and field.\n\n" +
			"Example:\n  lavenderdeal plans check customers.yaml plans.yaml\n\n" +
			"Exits with 0 when there is no fault, 1 when there is one, 2 when the command line is wrong.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: func(_ context.Context, args []string) error {
			files, err := checkLists(args)
			if err != nil {
				return err
			}
			if *format == outputJSON {
				if err := printJSON(stdout, checkResult{Valid: len(files.faults) == 0, Faults: files.faults}); err != nil {
					return err
				}
			}
			if err := files.err(); err != nil {
				return err
			}
			if *format == outputText {
				fmt.Fprintf(stdout, "no fault in %d customers, %d plans and %d services\n",
					len(files.lists.Customers.Customers), len(files.lists.Plans.Plans), len(files.lists.Plans.Services))
			}
			return nil
		},
	}
}

// checkResult is the JSON output of plans check.
type checkResult struct {
	Valid  bool        `json:"valid"`
	Faults []listFault `json:"faults,omitempty"`
}

func plansApplyCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal plans apply", stderr)
	c := addChangeFlags(flags, stdout, stderr)
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "lavenderdeal plans apply [flags] CUSTOMERS-FILE PLANS-FILE",
		ShortHelp:  "publish the two lists as the newest version",
		LongHelp: "The lists are validated first; when one has a fault, nothing is changed.\n\n" +
			"Example:\n  lavenderdeal plans apply --platform 127.0.0.1:7000 --after 7 --reason \"crew may use fieldwork\" customers.yaml plans.yaml\n\n" +
			"Exits with 0 when done, 1 when it failed (the message says whether the change may still take effect), 2 when the command line is wrong,\n" +
			"3 when another change came first: then nothing was changed, and the message shows that change and what differs.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: func(ctx context.Context, args []string) error {
			content, err := readLists(args)
			if err != nil {
				return err
			}
			c.wanted = &content
			return c.run(ctx, func(store publish.Store, current publish.Current) (objects.Head, error) {
				return store.Apply(ctx, current, content.Customers, content.Plans, publish.Change{Author: c.author, Reason: c.reason})
			})
		},
	}
}

func plansRestoreCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal plans restore", stderr)
	c := addChangeFlags(flags, stdout, stderr)
	return &ffcli.Command{
		Name:       "restore",
		ShortUsage: "lavenderdeal plans restore [flags] VERSION",
		ShortHelp:  "make a new version with the content of an old one",
		LongHelp: "Version numbers only increase: the old content becomes a new version.\n\n" +
			"Example:\n  lavenderdeal plans restore --platform 127.0.0.1:7000 --reason \"undo 8\" 7\n\nExits as plans apply does.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: func(ctx context.Context, args []string) error {
			version, err := versionArgument(args)
			if err != nil {
				return err
			}
			if c.reason == "" {
				c.reason = fmt.Sprintf("content of version %d", version)
			}
			return c.run(ctx, func(store publish.Store, current publish.Current) (objects.Head, error) {
				return store.Restore(ctx, current, version, publish.Change{Author: c.author, Reason: c.reason})
			})
		},
	}
}

// change is a change of the lists that the command line requests.
type change struct {
	platform *platformFlags
	format   *outputFormat
	// author and reason are stored with the version.
	author, reason string
	// after is the version that must be the newest for the change to be made. 0 sets
	// no condition.
	after uint64
	// above is a lower bound: the new version is higher. 0 sets none.
	above uint64
	// nodes are queried for the version that they have applied, so that the new one
	// is higher.
	nodes *nodeAddresses
	// wanted is the requested content. In a conflict it is compared with the winner,
	// the version that was written first. It is nil when it was not loaded.
	wanted         *listdiff.Lists
	stdout, stderr io.Writer
}

func addChangeFlags(flags *flag.FlagSet, stdout, stderr io.Writer) *change {
	c := &change{platform: addPlatformFlags(flags), format: addOutputFlag(flags), nodes: addNodeFlag(flags), stdout: stdout, stderr: stderr}
	flags.Uint64Var(&c.after, "after", 0, "make the change only if this `version` is the newest; without it, on top of any version")
	flags.StringVar(&c.reason, "reason", "", "why the lists change")
	flags.StringVar(&c.author, "author", author(), "who changes the lists (LAVENDERDEAL_AUTHOR)")
	flags.Uint64Var(&c.above, "above", 0, "make the new version higher than this `version`; for a platform that was restored from a backup")
	return c
}

// run makes the change on top of the platform's current version and prints the
// result.
func (c *change) run(ctx context.Context, do func(publish.Store, publish.Current) (objects.Head, error)) error {
	store, closeStore, err := c.platform.store()
	if err != nil {
		return err
	}
	defer closeStore()
	head, err := c.attempt(ctx, store, do)
	var superseded *publish.SupersededError
	var conflict *publish.ConflictError
	switch {
	case errors.As(err, &superseded):
		fmt.Fprintln(c.stderr, "lavenderdeal:", err)
	case errors.As(err, &conflict):
		return &exitError{code: exitConflict, err: c.withDifference(ctx, store, conflict)}
	case err != nil:
		return err
	}
	if report := store.CollectWhenDue(ctx); report.Err != nil {
		fmt.Fprintln(c.stderr, "lavenderdeal: old chunks were not removed this time:", report.Err)
	}
	return printHead(c.stdout, *c.format, head)
}

// attempt makes the change with do, once. The new version is higher than the versions
// of the platform, the queried nodes and --above.
func (c *change) attempt(ctx context.Context, store publish.Store, do func(publish.Store, publish.Current) (objects.Head, error)) (objects.Head, error) {
	current, err := store.Current(ctx)
	if err != nil {
		return objects.Head{}, err
	}
	if c.after != 0 && current.Head.Version != c.after {
		return objects.Head{}, &publish.ConflictError{Winner: winner(current)}
	}
	if err := c.queryNodes(ctx, &current); err != nil {
		return objects.Head{}, err
	}
	current.HighestVersion = max(current.HighestVersion, c.above)
	if current.RollbackReason != "" {
		fmt.Fprintf(c.stderr, "lavenderdeal: the platform seems to have been restored from a backup: %s; the new version goes above %d\n", current.RollbackReason, current.HighestVersion)
	}
	return do(store, current)
}

// queryNodes raises current.HighestVersion to the versions that the nodes have applied,
// and sets current.RollbackReason if a node has a higher version than the platform. A
// platform that was restored from a backup may have lost the status of the zones.
func (c *change) queryNodes(ctx context.Context, current *publish.Current) error {
	responses := queryAll(ctx, *c.nodes, "", (*operator.Client).Status)
	if err := responseError(responses); err != nil {
		return errors.Wrap(err, "nothing was changed")
	}
	for _, r := range responses {
		if r.Value.Version > current.Head.Version && current.RollbackReason == "" {
			current.RollbackReason = fmt.Sprintf("node %s has version %d, the platform has %d", r.Node, r.Value.Version, current.Head.Version)
		}
		current.HighestVersion = max(current.HighestVersion, r.Value.Version)
	}
	return nil
}

// winner returns the head of the current version, or nil when there is none.
func winner(current publish.Current) *objects.Head {
	if current.Revision == 0 {
		return nil
	}
	return &current.Head
}

// withDifference adds the differences between the winner and the wanted content to
// the error.
func (c *change) withDifference(ctx context.Context, store publish.Store, conflict *publish.ConflictError) error {
	if conflict.Winner == nil || c.wanted == nil {
		return conflict
	}
	winnerLists, err := loadLists(ctx, store, *conflict.Winner)
	if err != nil {
		return errors.Newf("%w\nthe winner's lists could not be loaded, so the differences are unknown: %v", conflict, err)
	}
	text := "from the winner to your lists:"
	for i, difference := range listdiff.Compare(winnerLists, *c.wanted) {
		if i == maxPrintedChanges {
			text += "\n  and more; see plans diff"
			break
		}
		text += "\n  " + difference.String()
	}
	return errors.Newf("%w\n%s", conflict, text)
}

func loadLists(ctx context.Context, store publish.Store, head objects.Head) (listdiff.Lists, error) {
	customers, planList, err := store.Load(ctx, head)
	return listdiff.Lists{Customers: customers, Plans: planList}, err
}

func plansCollectCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal plans collect", stderr)
	platform := addPlatformFlags(flags)
	format := addOutputFlag(flags)
	return &ffcli.Command{
		Name:       "collect",
		ShortUsage: "lavenderdeal plans collect [flags]",
		ShortHelp:  "remove chunks that no retained version refers to",
		LongHelp: "Keeps the newest 200 versions. plans apply and plans restore also do this from time to time.\n\n" +
			"Example:\n  lavenderdeal plans collect --platform 127.0.0.1:7000\n\nExits with 0 when done, 1 when it stopped early; it is safe to run again.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: platform.exec(func(ctx context.Context, store publish.Store) error {
			report := store.Collect(ctx)
			if *format == outputJSON {
				if err := printJSON(stdout, collectResult{Chunks: report.Chunks, Versions: report.Copies, Kept: report.Kept}); err != nil {
					return err
				}
				return report.Err
			}
			fmt.Fprintf(stdout, "%d chunks and %d old versions removed, %d chunks kept\n", report.Chunks, report.Copies, report.Kept)
			return report.Err
		}),
	}
}

// collectResult is the JSON output of plans collect.
type collectResult struct {
	Chunks   int `json:"chunksRemoved"`
	Versions int `json:"versionsRemoved"`
	Kept     int `json:"chunksKept"`
}

// versionArgument returns the version that is the only argument.
func versionArgument(args []string) (uint64, error) {
	if err := noFlags(args); err != nil {
		return 0, err
	}
	if len(args) != 1 {
		return 0, usageError("want one version number")
	}
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil || version == 0 {
		return 0, usageError("version %q: want a number from 1", args[0])
	}
	return version, nil
}

// noFlags returns an error if an argument looks like a flag: flags are not parsed
// after the first argument.
func noFlags(args []string) error {
	for _, arg := range args {
		if strings.HasPrefix(arg, "-") {
			return usageError("%s: flags go before files and versions", arg)
		}
	}
	return nil
}

// noArguments returns an error if there is an argument.
func noArguments(args []string) error {
	if len(args) > 0 {
		return usageError("unexpected argument %q", args[0])
	}
	return nil
}

// author returns the name of the user who runs the command.
func author() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
