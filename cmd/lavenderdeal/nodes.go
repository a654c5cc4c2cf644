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

// maxConcurrentQueries is the maximum number of nodes that are queried concurrently.
const maxConcurrentQueries = 16

// nodeAddresses is the value of a flag that may be repeated and takes one address or
// a comma-separated list.
type nodeAddresses []netip.AddrPort

// nodeResponse is the response of a node, or its error.
type nodeResponse[T any] struct {
	Node  netip.AddrPort `json:"node"`
	Value T              `json:"value"`
	Error string         `json:"error,omitempty"`
}

// nodeRecord is the record of a state change, with the node that it comes from.
type nodeRecord struct {
	Node netip.AddrPort `json:"node"`
	explain.Record
}

func statusCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal status", stderr)
	nodes := addNodeFlag(flags)
	format := addOutputFlag(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "lavenderdeal status --node ADDRESS [--node ADDRESS...]",
		ShortHelp:  "show the state of nodes and the versions that they have applied",
		LongHelp: "Queries the operator port of each node.\n\n" +
			"Example:\n  lavenderdeal status --node 127.0.0.1:7104 --node 127.0.0.1:7204\n\nExits with 0 when all nodes answered, 1 when one did not.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := nodes.check(args); err != nil {
				return err
			}
			responses := queryAll(ctx, *nodes, "", (*operator.Client).Status)
			if err := printStatus(stdout, *format, responses); err != nil {
				return err
			}
			return responseError(responses)
		},
	}
}

func explainCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal explain", stderr)
	nodes := addNodeFlag(flags)
	format := addOutputFlag(flags)
	kind := flags.String("kind", "", "only records of this `kind`, such as versionRejected")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "lavenderdeal explain --node ADDRESS [--node ADDRESS...]",
		ShortHelp:  "show the changes of state of nodes, with reasons",
		LongHelp: "Merges the records that the nodes keep of their changes of state, the oldest first.\n\n" +
			"Example:\n  lavenderdeal explain --node 127.0.0.1:7104 --kind versionRejected\n\nExits with 0 when all nodes answered, 1 when one did not.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := nodes.check(args); err != nil {
				return err
			}
			responses := queryAll(ctx, *nodes, "", (*operator.Client).Explain)
			if err := printRecords(stdout, *format, mergeRecords(responses, *kind)); err != nil {
				return err
			}
			return responseError(responses)
		},
	}
}

func addNodeFlag(flags *flag.FlagSet) *nodeAddresses {
	var nodes nodeAddresses
	flags.Var(&nodes, "node", "`address` and port of a node's operator port; may be repeated")
	return &nodes
}

// queryAll sends the same request to every node. The key is the operator key, which
// may be empty for reads. The responses are in the order of nodes.
func queryAll[T any](ctx context.Context, nodes []netip.AddrPort, key string, query func(*operator.Client, context.Context) (T, error)) []nodeResponse[T] {
	responses := make([]nodeResponse[T], len(nodes))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, node := range nodes {
		group.Go(func() error {
			client := operator.NewClient(node, key)
			defer client.Close()
			value, err := query(client, ctx)
			responses[i] = nodeResponse[T]{Node: node, Value: value}
			if err != nil {
				responses[i].Error = err.Error()
			}
			return nil
		})
	}
	_ = group.Wait()
	return responses
}

// responseError returns the errors of all responses as one error, or nil.
func responseError[T any](responses []nodeResponse[T]) error {
	var failed []string
	for _, r := range responses {
		if r.Error != "" {
			failed = append(failed, r.Error)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return errors.Newf("%d of %d nodes did not answer or refused\n%s", len(failed), len(responses), strings.Join(failed, "\n"))
}

func printStatus(stdout io.Writer, format outputFormat, responses []nodeResponse[operator.Status]) error {
	if format == outputJSON {
		return printJSON(stdout, responses)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tZONE\tSERVICE\tSTATE\tVERSION\tMEMBERS\tRELEASE\tID")
	for _, r := range responses {
		if r.Error != "" {
			fmt.Fprintf(w, "%s\t-\t-\tno answer\t-\t-\t-\t-\n", r.Node)
			continue
		}
		s := r.Value
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", r.Node, s.Zone, s.Service, s.State, s.Version, formatMembers(s.Members), s.Release, s.ID)
	}
	return w.Flush()
}

func formatMembers(members map[string]int) string {
	var parts []string
	for state, n := range members {
		parts = append(parts, fmt.Sprintf("%d %s", n, state))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// mergeRecords returns the records of all nodes with this kind, or of any kind when
// it is empty, ordered by time.
func mergeRecords(responses []nodeResponse[[]explain.Record], kind string) []nodeRecord {
	records := []nodeRecord{}
	for _, r := range responses {
		for _, record := range r.Value {
			if kind == "" || record.Kind == kind {
				records = append(records, nodeRecord{Node: r.Node, Record: record})
			}
		}
	}
	slices.SortStableFunc(records, func(a, b nodeRecord) int {
		return cmp.Or(a.At.Compare(b.At), a.Node.Compare(b.Node))
	})
	return records
}

func printRecords(stdout io.Writer, format outputFormat, records []nodeRecord) error {
	if format == outputJSON {
		return printJSON(stdout, records)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	for _, r := range records {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.At.UTC().Format(time.RFC3339Nano), r.Node, r.Kind, r.Subject, r.Detail)
	}
	return w.Flush()
}

// check returns a usage error if there is no address or if the command has arguments.
func (n nodeAddresses) check(args []string) error {
	if len(n) == 0 {
		return usageError("--node ADDRESS is needed: address and port of a node's operator port; status and explain also read LAVENDERDEAL_NODE")
	}
	return noArguments(args)
}

// Set adds the addresses of a comma-separated list.
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
