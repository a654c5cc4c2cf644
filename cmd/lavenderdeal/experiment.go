package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/internal/simulator"
)

// experiment is the result of one load pattern, simulated with all mechanisms or
// without one.
type experiment struct {
	Site    string              `json:"site"`
	Pattern string              `json:"pattern"`
	Without simulator.Mechanism `json:"without,omitempty"`
	simulator.Result
}

func experimentCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("lavenderdeal experiment", stderr)
	site := flags.String("site", "coni", "deployment: "+strings.Join(slices.Sorted(maps.Keys(simulator.Sites())), " or "))
	seed := flags.Uint64("seed", 1, "seed of the random choices")
	format := addOutputFlag(flags)
	help := "PATTERN is all or one of these:\n"
	for _, p := range simulator.Patterns() {
		help += "  " + p.Name + "\n"
	}
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "lavenderdeal experiment [flags] PATTERN|all",
		ShortHelp:  "simulate load patterns in virtual time, with and without each mechanism",
		LongHelp:   help + "\nThe column \"of the limit\" is the total worth of the answers as a share of the highest that the servers' slots allow with perfect knowledge.\n\nExample:\n  lavenderdeal experiment --site trinidad overload",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			results, err := experiments(*site, *seed, args)
			if err != nil {
				return err
			}
			if *format == outputJSON {
				return printJSON(stdout, results)
			}
			return printExperiments(stdout, results)
		},
	}
}

// experiments simulates one pattern or all, each with all mechanisms and then without
// each one.
func experiments(name string, seed uint64, args []string) ([]experiment, error) {
	site, ok := simulator.Sites()[name]
	if !ok {
		return nil, usageError("--site %q: no such deployment; --help lists them", name)
	}
	if len(args) != 1 {
		return nil, usageError("want one pattern or all")
	}
	var results []experiment
	for _, p := range simulator.Patterns() {
		if args[0] != "all" && args[0] != p.Name {
			continue
		}
		results = append(results, experiment{Site: name, Pattern: p.Name, Result: simulator.Simulate(site, p, simulator.WithSeed(seed))})
		for _, m := range simulator.Mechanisms() {
			r := simulator.Simulate(site, p, simulator.WithSeed(seed), simulator.Without(m))
			results = append(results, experiment{Site: name, Pattern: p.Name, Without: m, Result: r})
		}
	}
	if len(results) == 0 {
		return nil, usageError("no pattern %q; --help lists the patterns", args[0])
	}
	return results, nil
}

func printExperiments(w io.Writer, results []experiment) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "pattern\twithout\tof the limit\tkind\tasked\tin time\tlate\trefused")
	for _, e := range results {
		for i, k := range e.Kinds {
			pattern, without, limit := "", "", ""
			if i == 0 {
				pattern, without, limit = e.Pattern, string(e.Without), fmt.Sprintf("%.2f", e.Worth/e.Limit)
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", pattern, without, limit, k.Name, k.Callers, k.InTime, k.Late, k.Refused)
		}
	}
	return table.Flush()
}
