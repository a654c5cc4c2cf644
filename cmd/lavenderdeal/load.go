package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.yaml.in/yaml/v3"

	"lavenderdeal/internal/load"
	"lavenderdeal/internal/units"
)

const (
	// maxLoadRate is the maximum rate of all classes together, in calls per second.
	maxLoadRate     = 50000
	maxLoadDuration = 10 * time.Minute
)

// loadClass is a class of calls in the --mix file, as in [load.Class].
type loadClass struct {
	Name      string         `yaml:"name"`
	Customer  string         `yaml:"customer"`
	Priority  string         `yaml:"priority"`
	Key       string         `yaml:"key"`
	Service   string         `yaml:"service"`
	Method    string         `yaml:"method"`
	Path      string         `yaml:"path"`
	Rate      float64        `yaml:"callsPerSecond"`
	Work      units.Duration `yaml:"work"`
	Timeout   units.Duration `yaml:"timeout"`
	BodyBytes int            `yaml:"bodyBytes"`
	Keyed     bool           `yaml:"keyed"`
}

// loadRow is a row of the report: the results of one class. P50, P99 and P999 are
// latency percentiles.
type loadRow struct {
	Name     string         `json:"name"`
	Customer string         `json:"customer"`
	Priority string         `json:"priority"`
	Sent     int            `json:"sent"`
	InTime   int            `json:"inTime"`
	Verdicts map[string]int `json:"verdicts"`
	Rules    map[string]int `json:"rules"`
	P50      units.Duration `json:"p50"`
	P99      units.Duration `json:"p99"`
	P999     units.Duration `json:"p999"`
}

func loadCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("lavenderdeal load", stderr)
	targets := flags.String("to", "", "caller addresses of nodes on loopback, separated by commas")
	file := flags.String("mix", "", "YAML file with the classes of calls")
	duration := flags.Duration("for", 10*time.Second, "time for which calls are sent")
	seed := flags.Uint64("seed", 1, "seed of the arrival times")
	output := flags.String("o", "text", "output: text or json")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "lavenderdeal load --to ADDRESS[,ADDRESS...] --mix FILE [--for DURATION]",
		ShortHelp:  "send calls in an open loop to nodes on loopback",
		LongHelp: "Latencies count from the time at which a call was due, also when it was sent late.\n\nExample:\n" +
			"  lavenderdeal load --to 127.0.0.1:7101 --mix examples/coni/load.yaml --for 10s",
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("load takes no arguments, got %q", args)
			}
			to, err := loopbackTargets(*targets)
			if err != nil {
				return err
			}
			classes, err := readMix(*file)
			if err != nil {
				return err
			}
			if *duration <= 0 || *duration > maxLoadDuration {
				return usageError("--for %s: want a duration above 0 and up to %s", *duration, maxLoadDuration)
			}
			report := load.Run(ctx, load.Plan{Targets: to, Classes: classes, Duration: *duration, Seed: *seed})
			return printLoad(stdout, *output, newLoadRows(report))
		},
	}
}

func loopbackTargets(text string) ([]netip.AddrPort, error) {
	var targets []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, usageError("--to: %v", err)
		}
		if !addr.Addr().IsLoopback() {
			return nil, usageError("--to %s: load is sent to loopback addresses only", addr)
		}
		targets = append(targets, addr)
	}
	return targets, nil
}

func readMix(file string) ([]load.Class, error) {
	if file == "" {
		return nil, usageError("--mix FILE is needed: YAML file with the classes of calls")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var mix struct {
		Classes []loadClass `yaml:"classes"`
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&mix); err != nil {
		return nil, errors.Wrap(err, file)
	}
	classes := make([]load.Class, 0, len(mix.Classes))
	total := 0.0
	for i, c := range mix.Classes {
		if c.Name == "" || c.Service == "" || c.Method == "" || c.Rate <= 0 {
			return nil, errors.Newf("%s: classes[%d]: want a name, a service, a method and callsPerSecond above 0", file, i)
		}
		total += c.Rate
		classes = append(classes, load.Class{
			Name: c.Name, Customer: c.Customer, Priority: c.Priority, Key: c.Key, Service: c.Service,
			Method: c.Method, Path: c.Path, Rate: c.Rate, Work: c.Work.Std(), Timeout: c.Timeout.Std(),
			BodyBytes: c.BodyBytes, Keyed: c.Keyed,
		})
	}
	if len(classes) == 0 || total > maxLoadRate {
		return nil, errors.Newf("%s: want at least one class and at most %d calls a second in all", file, maxLoadRate)
	}
	return classes, nil
}

func newLoadRows(report *load.Report) []loadRow {
	rows := make([]loadRow, 0, len(report.Classes))
	for _, name := range slices.Sorted(maps.Keys(report.Classes)) {
		c := report.Classes[name]
		rows = append(rows, loadRow{
			Name: name, Customer: c.Class.Customer, Priority: c.Class.Priority, Sent: c.Sent, InTime: c.InTime,
			Verdicts: c.Verdicts, Rules: c.Rules, P50: units.Duration(c.Percentile(50)),
			P99: units.Duration(c.Percentile(99)), P999: units.Duration(c.Percentile(99.9)),
		})
	}
	return rows
}

func printLoad(stdout io.Writer, output string, rows []loadRow) error {
	if output == "json" {
		return json.NewEncoder(stdout).Encode(rows)
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\tcustomer\tpriority\tsent\tin time\tp50\tp99\tp99.9\tverdicts\trules")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n", row.Name, row.Customer, row.Priority, row.Sent,
			row.InTime, row.P50, row.P99, row.P999, formatCounts(row.Verdicts), formatCounts(row.Rules))
	}
	return table.Flush()
}

func formatCounts(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(parts, " ")
}
