package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.yaml.in/yaml/v3"

	"lavenderdeal/core/listdiff"
	"lavenderdeal/internal/publish"
	"lavenderdeal/schema/lists"
	"lavenderdeal/schema/objects"
)

const defaultHistoryVersions = 20

// versionInfo is the part of a version's head that is printed. The lists themselves are
// not in the head; it only has the hashes of their chunks.
type versionInfo struct {
	Version        uint64    `json:"version"`
	Operation      string    `json:"operation"`
	Author         string    `json:"author"`
	Reason         string    `json:"reason"`
	ChangedAt      time.Time `json:"changedAt"`
	CustomerChunks int       `json:"customerChunks"`
	PlanChunks     int       `json:"planChunks"`
}

// versionWithLists is a version with the content of its lists.
type versionWithLists struct {
	versionInfo
	Customers []lists.Customer `json:"customers"`
	Services  []lists.Service  `json:"services"`
	Plans     []lists.Plan     `json:"plans"`
}

func plansShowCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal plans show", stderr)
	platform := addPlatformFlags(flags)
	format := addOutputFlag(flags)
	version := flags.Uint64("version", 0, "`version` to show; the newest without it")
	list := flags.String("list", "", "print one list as YAML for editing: customers or plans")
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "lavenderdeal plans show [flags]",
		ShortHelp:  "show a version of the lists",
		LongHelp: "Example:\n  lavenderdeal plans show --platform 127.0.0.1:7000\n" +
			"  lavenderdeal plans show --platform 127.0.0.1:7000 --list customers >customers.yaml\n\n" +
			"Exits with 0 when shown, 1 when there is no such version, 2 when the command line is wrong.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: platform.exec(func(ctx context.Context, store publish.Store) error {
			head, err := findHead(ctx, store, *version)
			if err != nil {
				return err
			}
			content, err := loadLists(ctx, store, head)
			if err != nil {
				return err
			}
			return show(stdout, head, content, *list, *format)
		}),
	}
}

func show(stdout io.Writer, head objects.Head, content listdiff.Lists, list string, format outputFormat) error {
	switch {
	case list == "customers":
		return printYAML(stdout, content.Customers)
	case list == "plans":
		return printYAML(stdout, content.Plans)
	case list != "":
		return usageError("--list %q: want customers or plans", list)
	case format == outputJSON:
		return printJSON(stdout, versionWithLists{
			versionInfo: newVersionInfo(head),
			Customers:   content.Customers.Customers,
			Services:    content.Plans.Services,
			Plans:       content.Plans.Plans,
		})
	}
	if err := printHead(stdout, format, head); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%d customers, %d plans, %d services\n",
		len(content.Customers.Customers), len(content.Plans.Plans), len(content.Plans.Services))
	return nil
}

func plansHistoryCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal plans history", stderr)
	platform := addPlatformFlags(flags)
	format := addOutputFlag(flags)
	count := flags.Int("n", defaultHistoryVersions, "number of versions")
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "lavenderdeal plans history [flags]",
		ShortHelp:  "list the newest versions",
		LongHelp:   "Example:\n  lavenderdeal plans history --platform 127.0.0.1:7000 -n 5\n\nExits with 0 when listed, 1 when the platform cannot be read.",
		FlagSet:    flags,
		Options:    operatorOptions(),
		Exec: platform.exec(func(ctx context.Context, store publish.Store) error {
			heads, err := store.History(ctx, *count)
			if err != nil {
				return err
			}
			return printHistory(stdout, *format, heads)
		}),
	}
}

func printHistory(stdout io.Writer, format outputFormat, heads []objects.Head) error {
	infos := make([]versionInfo, 0, len(heads))
	for _, head := range heads {
		infos = append(infos, newVersionInfo(head))
	}
	if format == outputJSON {
		return printJSON(stdout, infos)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tCHANGED\tAUTHOR\tOPERATION\tREASON")
	for _, info := range infos {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", info.Version, info.ChangedAt.Format(time.RFC3339), info.Author, info.Operation, info.Reason)
	}
	return w.Flush()
}

func plansDiffCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal plans diff", stderr)
	platform := addPlatformFlags(flags)
	format := addOutputFlag(flags)
	from := flags.Uint64("from", 0, "older `version`; the newest without it")
	to := flags.Uint64("to", 0, "newer `version`, in place of two files")
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "lavenderdeal plans diff [flags] [CUSTOMERS-FILE PLANS-FILE]",
		ShortHelp:  "show the differences between versions, or between a version and two files",
		LongHelp: "Example:\n  lavenderdeal plans diff --platform 127.0.0.1:7000 customers.yaml plans.yaml\n" +
			"  lavenderdeal plans diff --platform 127.0.0.1:7000 --from 6 --to 7\n\n" +
			"Exits with 0 when compared, whether or not they differ, 1 when the comparison failed, 2 when the command line is wrong.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: func(ctx context.Context, args []string) error {
			store, closeStore, err := platform.store()
			if err != nil {
				return err
			}
			defer closeStore()
			if (*to == 0) == (len(args) == 0) {
				return usageError("want either --to VERSION or two files")
			}
			old, err := loadVersion(ctx, store, *from)
			if err != nil {
				return err
			}
			var updated listdiff.Lists
			if *to != 0 {
				updated, err = loadVersion(ctx, store, *to)
			} else {
				updated, err = readLists(args)
			}
			if err != nil {
				return err
			}
			return printChanges(stdout, *format, listdiff.Compare(old, updated))
		},
	}
}

func printChanges(stdout io.Writer, format outputFormat, changes []listdiff.Change) error {
	if format == outputJSON {
		if changes == nil {
			changes = []listdiff.Change{}
		}
		return printJSON(stdout, changes)
	}
	if len(changes) == 0 {
		fmt.Fprintln(stdout, "no difference")
	}
	for _, change := range changes {
		fmt.Fprintln(stdout, change)
	}
	return nil
}

func loadVersion(ctx context.Context, store publish.Store, version uint64) (listdiff.Lists, error) {
	head, err := findHead(ctx, store, version)
	if err != nil {
		return listdiff.Lists{}, err
	}
	return loadLists(ctx, store, head)
}

// findHead returns the head of a version. Version 0 means the newest one.
func findHead(ctx context.Context, store publish.Store, version uint64) (objects.Head, error) {
	if version != 0 {
		return store.Find(ctx, version)
	}
	heads, err := store.History(ctx, 1)
	if err != nil {
		return objects.Head{}, err
	}
	if len(heads) == 0 {
		return objects.Head{}, errors.New("the platform has no version yet")
	}
	return heads[0], nil
}

func printHead(stdout io.Writer, format outputFormat, head objects.Head) error {
	info := newVersionInfo(head)
	if format == outputJSON {
		return printJSON(stdout, info)
	}
	fmt.Fprintf(stdout, "version %d\n", info.Version)
	fmt.Fprintf(stdout, "  by %s at %s, operation %s\n", info.Author, info.ChangedAt.Format(time.RFC3339), info.Operation)
	if info.Reason != "" {
		fmt.Fprintf(stdout, "  reason: %s\n", info.Reason)
	}
	return nil
}

func newVersionInfo(head objects.Head) versionInfo {
	return versionInfo{
		Version:        head.Version,
		Operation:      head.Operation,
		Author:         head.Author,
		Reason:         head.Reason,
		ChangedAt:      head.ChangedAt,
		CustomerChunks: len(head.CustomerChunks),
		PlanChunks:     len(head.PlanChunks),
	}
}

func printYAML(w io.Writer, value any) error {
	encoder := yaml.NewEncoder(w)
	encoder.SetIndent(2)
	if err := encoder.Encode(value); err != nil {
		return err
	}
	return encoder.Close()
}
