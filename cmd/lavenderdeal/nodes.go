package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/core/explain"
	"lavenderdeal/io/operator"
)

// nodesAtOnce is how many nodes are asked at once.
const nodesAtOnce = 16

// nodeAddresses is a flag that can be repeated or given a comma-separated list.
type nodeAddresses []netip.AddrPort

// nodeAnswer is what one node answered.
type nodeAnswer[T any] struct {
	Node  netip.AddrPort `json:"node"`
	Value T              `json:"value"`
	Error string         `json:"error,omitempty"`
}

// nodeRecord is a record with the node that has it.
type nodeRecord struct {
	Node netip.AddrPort `json:"node"`
	explain.Record
}

func statusCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal status", stderr)
	nodes := addNodeFlag(flags)
	form := addOutputFlag(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "lavenderdeal status --node ADDRESS [--node ADDRESS...]",
		ShortHelp:  "show what nodes are and have in force",
		LongHelp: "Asks the operator port of each node.\n\n" +
			"Example:\n  lavenderdeal status --node 127.0.0.1:7104 --node 127.0.0.1:7204\n\nExits with 0 when all nodes answered, 1 when one did not.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := nodes.check(args); err != nil {
				return err
			}
			answers := askAll(ctx, *nodes, "", (*operator.Client).Status)
			if err := printStatus(stdout, *form, answers); err != nil {
				return err
			}
			return errorOf(answers)
		},
	}
}

func explainCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal explain", stderr)
	nodes := addNodeFlag(flags)
	form := addOutputFlag(flags)
	kind := flags.String("kind", "", "only records of this `kind`, such as versionRejected")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "lavenderdeal explain --node ADDRESS [--node ADDRESS...]",
		ShortHelp:  "show what nodes did and why",
		LongHelp: "Merges the changes of state that the nodes keep, the oldest first.\n\n" +
			"Example:\n  lavenderdeal explain --node 127.0.0.1:7104 --kind versionRejected\n\nExits with 0 when all nodes answered, 1 when one did not.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := nodes.check(args); err != nil {
				return err
			}
			answers := askAll(ctx, *nodes, "", (*operator.Client).Explain)
			if err := printRecords(stdout, *form, merge(answers, *kind)); err != nil {
				return err
			}
			return errorOf(answers)
		},
	}
}

func addNodeFlag(flags *flag.FlagSet) *nodeAddresses {
	var nodes nodeAddresses
	flags.Var(&nodes, "node", "`address` and port of a node's operator port; may be repeated")
	return &nodes
}

// askAll asks every node the same. The key may be empty for reads. The answers
// are in order of nodes.
func askAll[T any](ctx context.Context, nodes []netip.AddrPort, key string, ask func(*operator.Client, context.Context) (T, error)) []nodeAnswer[T] {
	answers := make([]nodeAnswer[T], len(nodes))
	var group errgroup.Group
	group.SetLimit(nodesAtOnce)
	for i, node := range nodes {
		group.Go(func() error {
			client := operator.NewClient(node, key)
			defer client.Close()
			value, err := ask(client, ctx)
			answers[i] = nodeAnswer[T]{Node: node, Value: value}
			if err != nil {
				answers[i].Error = err.Error()
			}
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func errorOf[T any](answers []nodeAnswer[T]) error {
	var failed []string
	for _, a := range answers {
		if a.Error != "" {
			failed = append(failed, a.Error)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return errors.Newf("%d of %d nodes did not answer or refused\n%s", len(failed), len(answers), strings.Join(failed, "\n"))
}

func printStatus(stdout io.Writer, form output, answers []nodeAnswer[operator.Status]) error {
	if form == outputJSON {
		return printJSON(stdout, answers)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tZONE\tSERVICE\tSTATE\tVERSION\tMEMBERS\tRELEASE\tID")
	for _, a := range answers {
		if a.Error != "" {
			fmt.Fprintf(w, "%s\t-\t-\tno answer\t-\t-\t-\t-\n", a.Node)
			continue
		}
		s := a.Value
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", a.Node, s.Zone, s.Service, s.State, s.Version, membersText(s.Members), s.Release, s.ID)
	}
	return w.Flush()
}

func membersText(members map[string]int) string {
	var parts []string
	for state, n := range members {
		parts = append(parts, fmt.Sprintf("%d %s", n, state))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// merge joins the records of all nodes in order of time.
func merge(answers []nodeAnswer[[]explain.Record], kind string) []nodeRecord {
	records := []nodeRecord{}
	for _, a := range answers {
		for _, record := range a.Value {
			if kind == "" || record.Kind == kind {
				records = append(records, nodeRecord{Node: a.Node, Record: record})
			}
		}
	}
	slices.SortStableFunc(records, func(a, b nodeRecord) int {
		return cmp.Or(a.At.Compare(b.At), a.Node.Compare(b.Node))
	})
	return records
}

func printRecords(stdout io.Writer, form output, records []nodeRecord) error {
	if form == outputJSON {
		return printJSON(stdout, records)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	for _, r := range records {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.At.UTC().Format(time.RFC3339Nano), r.Node, r.Kind, r.Subject, r.Detail)
	}
	return w.Flush()
}

func (n nodeAddresses) check(args []string) error {
	if len(n) == 0 {
		return usageError("--node ADDRESS or LAVENDERDEAL_NODE is needed: address and port of an operator port")
	}
	return noArguments(args)
}

// Set adds one or more addresses.
func (n *nodeAddresses) Set(text string) error {
	for _, part := range strings.Split(text, ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return err
		}
		*n = append(*n, addr)
	}
	return nil
}

func (n *nodeAddresses) String() string {
	parts := make([]string, 0, len(*n))
	for _, addr := range *n {
		parts = append(parts, addr.String())
	}
	return strings.Join(parts, ",")
}
