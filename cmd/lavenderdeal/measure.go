package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/internal/measure"
	"lavenderdeal/internal/report"
)

const allMeasurements = "all"

type measureFlags struct {
	settings measure.Settings
	output   string
	report   string
}

func measureCommand(stdout, stderr io.Writer) *ffcli.Command {
	var f measureFlags
	flags := newFlags("lavenderdeal measure", stderr)
	f.register(flags)
	help := "NAME is all or one of these:\n"
	for _, name := range measure.Names() {
		help += fmt.Sprintf("  %-12s %s\n", name, measure.Description(name))
	}
	return &ffcli.Command{
		Name:       "measure",
		ShortUsage: "lavenderdeal measure [flags] NAME|all",
		ShortHelp:  "run measurements of real nodes in one process with the stand-ins",
		LongHelp:   help + "\nExample:\n  lavenderdeal measure -o json flood\n\nExits with 1 when a promise was broken: the nodes violated one of their guarantees.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			log.SetLevel(log.FatalLevel)
			return f.run(ctx, args, stdout)
		},
	}
}

func (f *measureFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.output, "o", "text", "output: text or json")
	flags.StringVar(&f.report, "report", "", "directory for an HTML report with plots")
	flags.Uint64Var(&f.settings.Seed, "seed", 1, "seed of the random choices")
	flags.StringVar(&f.settings.Deployment, "deployment", "coni", "example deployment to run: coni or trinidad")
	flags.Float64Var(&f.settings.Scale, "scale", 1, "factor on durations and counts; 1 runs the full measurement")
}

func (f *measureFlags) run(ctx context.Context, args []string, stdout io.Writer) error {
	names, err := f.names(args)
	if err != nil {
		return err
	}
	var results []measure.Result
	broken := 0
	for _, name := range names {
		result, err := measure.Run(ctx, name, f.settings)
		if err != nil {
			return err
		}
		results = append(results, result)
		broken += len(result.PromisesBroken)
		if err := f.print(stdout, result); err != nil {
			return err
		}
	}
	if f.report != "" {
		if err := report.Write(f.report, results, currentRun()); err != nil {
			return err
		}
	}
	if broken > 0 {
		return errors.Newf("%d broken promises", broken)
	}
	return nil
}

// names returns the measurements that the arguments select. Flags may also follow the
// name.
func (f *measureFlags) names(args []string) ([]string, error) {
	if len(args) == 0 {
		return nil, usageError("want a measurement: %s or %s", strings.Join(measure.Names(), ", "), allMeasurements)
	}
	if len(args) > 1 {
		flags := newFlags("lavenderdeal measure", io.Discard)
		f.register(flags)
		if err := flags.Parse(args[1:]); err != nil || flags.NArg() > 0 {
			return nil, usageError("want one measurement, got %q", args)
		}
	}
	if f.output != "text" && f.output != "json" {
		return nil, usageError("-o %q: want text or json", f.output)
	}
	if args[0] == allMeasurements {
		return measure.Names(), nil
	}
	if measure.Description(args[0]) == "" {
		return nil, usageError("no measurement %q: want %s or %s", args[0], strings.Join(measure.Names(), ", "), allMeasurements)
	}
	return args[:1], nil
}

func (f *measureFlags) print(stdout io.Writer, result measure.Result) error {
	if f.output == "json" {
		result.Series = nil
		return json.NewEncoder(stdout).Encode(result)
	}
	fmt.Fprintf(stdout, "%s (%s), %.0f s\n", result.Name, measure.Description(result.Name), result.Seconds)
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	for _, figure := range result.Figures {
		fmt.Fprintf(table, "  %s\t%s\t%s\t%s\n", figure.Name, report.FormatNumber(figure.Value), figure.Unit, report.FormatTarget(figure))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "  promises broken: %d\n", len(result.PromisesBroken))
	for _, promise := range result.PromisesBroken {
		fmt.Fprintln(stdout, "    "+promise)
	}
	fmt.Fprintln(stdout)
	return nil
}

// currentRun describes the environment of the run for the report.
func currentRun() report.Run {
	run := report.Run{Revision: "unknown", Go: runtime.Version(), Cores: runtime.NumCPU(), Date: time.Now().UTC().Format(time.RFC3339)}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return run
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			run.Revision = setting.Value
		}
	}
	return run
}
