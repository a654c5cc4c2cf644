package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/io/view"
)

// viewFlags are the flags of commands that read what nodes on the users' platform show.
type viewFlags struct {
	nodes   nodeAddresses
	service string
	account string
	format  *outputFormat
}

func newViewFlags(name string, stderr io.Writer) (*flag.FlagSet, *viewFlags) {
	f := &viewFlags{}
	flags := newOperatorFlags(name, stderr)
	flags.Var(&f.nodes, "node", "`address` and port of a node's metrics (listen.metrics); may be repeated")
	f.format = addOutputFlag(flags)
	return flags, f
}

// exec returns the Exec function of a command that prints the views of the nodes.
func (f *viewFlags) exec(stdout io.Writer, printText func(io.Writer, []nodeResponse[view.View]) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(f.nodes) == 0 {
			return usageError("--node ADDRESS is needed: address and port of a node's metrics (listen.metrics)")
		}
		if err := noArguments(args); err != nil {
			return err
		}
		responses := fetchViews(ctx, f.nodes, view.Filter{Service: f.service, Account: f.account})
		var err error
		if *f.format == outputJSON {
			err = printJSON(stdout, responses)
		} else {
			err = printText(stdout, responses)
		}
		if err != nil {
			return err
		}
		return responseError(responses)
	}
}

// fetchViews reads the views of all nodes, in their order.
func fetchViews(ctx context.Context, nodes []netip.AddrPort, filter view.Filter) []nodeResponse[view.View] {
	responses := make([]nodeResponse[view.View], len(nodes))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, node := range nodes {
		group.Go(func() error {
			v, err := view.Fetch(ctx, node, filter)
			responses[i] = nodeResponse[view.View]{Node: node, Value: v}
			if err != nil {
				responses[i].Error = err.Error()
			}
			return nil
		})
	}
	_ = group.Wait()
	return responses
}

func rolloutsCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags, f := newViewFlags("lavenderdeal rollouts", stderr)
	flags.StringVar(&f.service, "service", "", "only the roll-out of this `service`")
	return &ffcli.Command{
		Name:       "rollouts",
		ShortUsage: "lavenderdeal rollouts --node ADDRESS [--node ADDRESS...] [--service SERVICE]",
		ShortHelp:  "show roll-outs on the users' platform: phase, share, evidence, and why they ended",
		LongHelp: "Reads what lavenderdeald shows beside its metrics. The node that decides on an order has the evidence:\n" +
			"ask it too if it is not among the nodes. TRIED counts the requests of these nodes for servers on trial.\n\n" +
			"Example:\n  lavenderdeal rollouts --node 10.1.0.41:7615 --service bookings\n\nExits with 0 when all nodes answered, 1 when one did not.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec:    f.exec(stdout, printRollouts),
	}
}

// printRollouts prints one roll-out for each service, and its evidence by route.
func printRollouts(stdout io.Writer, responses []nodeResponse[view.View]) error {
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tTARGET\tPHASE\tSTORED\tAGE\tOF\tWEIGHT\tTRIED\tSERVERS OLD/NEW\tDECIDED BY\tREASON")
	merged := mergeRollouts(responses)
	for _, r := range merged {
		servers := "?"
		if r.Evidence != nil {
			servers = fmt.Sprintf("%d/%d", r.Evidence.OldServers, r.Evidence.NewServers)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%s\t%.3f\t%d of %d\t%s\t%s\t%s\n", r.Service, r.Target, r.Phase, r.Settled,
			span(r.AgeMs), span(r.DurationMs), r.Weight, r.ForTrial, r.Requests, servers, r.Decider, cmp.Or(r.Reason, "-"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range merged {
		if r.Evidence == nil {
			continue
		}
		fmt.Fprintf(stdout, "\n%s: on trial %s, suspect %s\n", r.Service, cmp.Or(strings.Join(r.OnTrial, " "), "-"), cmp.Or(r.Evidence.Suspect, "-"))
		w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "ROUTE\tOLD RUNS\tFAILED\tMEDIAN MS\tNEW RUNS\tFAILED\tMEDIAN MS")
		for _, e := range r.Evidence.Routes {
			fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%d\t%d\t%.1f\n", e.Route, e.Old.Runs, e.Old.Failed, e.Old.MedianMs, e.New.Runs, e.New.Failed, e.New.MedianMs)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// mergeRollouts returns the roll-outs sorted by service: what the deciding node says, with the
// requests of all nodes.
func mergeRollouts(responses []nodeResponse[view.View]) []view.Rollout {
	byService := make(map[string]view.Rollout)
	for _, r := range responses {
		for _, o := range r.Value.Rollouts {
			known, ok := byService[o.Service]
			requests, forTrial := o.Requests, o.ForTrial
			if ok && known.Order == o.Order {
				requests, forTrial = requests+known.Requests, forTrial+known.ForTrial
			}
			if ok && known.Evidence != nil && (o.Evidence == nil || o.Decider != r.Value.Node) {
				o = known
			}
			o.Requests, o.ForTrial = requests, forTrial
			byService[o.Service] = o
		}
	}
	return sortedValues(byService)
}

// sortedValues returns the values in the order of their keys.
func sortedValues[T any](m map[string]T) []T {
	list := make([]T, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[key])
	}
	return list
}

func span(ms int) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func accountsCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags, f := newViewFlags("lavenderdeal accounts", stderr)
	flags.StringVar(&f.account, "account", "", "only this client `account`")
	return &ffcli.Command{
		Name:       "accounts",
		ShortUsage: "lavenderdeal accounts --node ADDRESS [--node ADDRESS...] [--account ACCOUNT]",
		ShortHelp:  "show client accounts on the users' platform: limit, what was used, what they may still send, floods",
		LongHelp: "Adds up what the nodes show beside their metrics. The counts are those of the requests that came to these nodes\n" +
			"since their start. ROOM, ZONE RATE, DEMAND and EXCESS are known by the accounts' homes, one in each zone: ask all nodes\n" +
			"for them. ROOM is what may be sent at once; EXCESS is the part of the demand beyond the limit, above 0 a flood.\n\n" +
			"Example:\n  lavenderdeal accounts --node 10.1.0.41:7615 --account depot\n\nExits with 0 when all nodes answered, 1 when one did not.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec:    f.exec(stdout, printAccounts),
	}
}

// accountTotal is an account over several nodes.
type accountTotal struct {
	view.Account
	// homes holds the zones whose home is among the nodes.
	homes []string
}

func printAccounts(stdout io.Writer, responses []nodeResponse[view.View]) error {
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tLIMIT\tBURST\tSERVED\tREFUSED\tOVER LIMIT\tFLOODS\tFAILED\tROOM\tZONE RATES\tDEMAND\tEXCESS\tHOMES SEEN IN")
	for _, a := range mergeAccounts(responses) {
		limit, burst := "none", "-"
		if a.Rate > 0 {
			limit, burst = fmt.Sprintf("%g/s", a.Rate), fmt.Sprintf("%g", a.Burst)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d", a.Account.Account, limit, burst, a.Served, a.Refused, a.OverLimit, a.Floods, a.Failed)
		if a.Home == nil {
			fmt.Fprint(w, "\t?\t?\t?\t?\t-\n")
			continue
		}
		fmt.Fprintf(w, "\t%.1f\t%.1f/s\t%.1f/s\t%.2f\t%s\n", a.Home.Room, a.Home.Rate, a.Home.Demand, a.Home.Excess, strings.Join(a.homes, " "))
	}
	return w.Flush()
}

// mergeAccounts adds up the accounts of all nodes, sorted by name.
func mergeAccounts(responses []nodeResponse[view.View]) []accountTotal {
	byName := make(map[string]accountTotal)
	for _, r := range responses {
		for _, a := range r.Value.Accounts {
			sum := byName[a.Account]
			sum.Account.Account = a.Account
			sum.Rate, sum.Burst = max(sum.Rate, a.Rate), max(sum.Burst, a.Burst)
			sum.Served, sum.Refused, sum.Failed = sum.Served+a.Served, sum.Refused+a.Refused, sum.Failed+a.Failed
			sum.OverLimit, sum.Floods = sum.OverLimit+a.OverLimit, sum.Floods+a.Floods
			if a.Home != nil {
				h := cmp.Or(sum.Home, &view.Home{})
				sum.Home = &view.Home{
					Room: h.Room + a.Home.Room, Rate: h.Rate + a.Home.Rate, Demand: h.Demand + a.Home.Demand,
					Lent: h.Lent + a.Home.Lent, Borrowed: h.Borrowed + a.Home.Borrowed, Excess: max(h.Excess, a.Home.Excess),
				}
				sum.homes = append(sum.homes, r.Value.Zone)
			}
			byName[a.Account] = sum
		}
	}
	return sortedValues(byName)
}

func serversCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags, f := newViewFlags("lavenderdeal servers", stderr)
	flags.StringVar(&f.service, "service", "", "only servers of this `service`")
	return &ffcli.Command{
		Name:       "servers",
		ShortUsage: "lavenderdeal servers --node ADDRESS [--node ADDRESS...] [--service SERVICE]",
		ShortHelp:  "show what nodes on the users' platform believe of servers",
		LongHelp: "Prints for each node its own server, and what it believes of the others: slots, requests running and waiting,\n" +
			"usual running times, the age of the news, and for how long the server counts as full or gets nothing.\n\n" +
			"Example:\n  lavenderdeal servers --node 10.1.0.41:7615 --service bookings\n\nExits with 0 when all nodes answered, 1 when one did not.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec:    f.exec(stdout, printServers),
	}
}

func printServers(stdout io.Writer, responses []nodeResponse[view.View]) error {
	for _, r := range responses {
		if r.Error != "" {
			continue
		}
		v := r.Value
		fmt.Fprintf(stdout, "%s (%s): own server of %s %s, %d+%d of %d slots, failing %.2f, ejected for %s\n", v.Node, v.Zone, v.Service,
			v.Own.State, v.Own.Running, v.Own.Queued, v.Own.Slots, v.Own.Failing, span(v.Own.EjectedForMs))
		w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "SERVICE\tNODE\tZONE\tSTATE\tVERSION\tREACHED\tRUN+WAIT/SLOTS\tSENT\tFAILING\tNEWS\tFULL FOR\tNOTHING FOR\tUSUAL MS")
		for _, s := range v.Servers {
			news := "none"
			if s.AgeMs >= 0 {
				news = span(s.AgeMs)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%v\t%d+%d/%d\t%d\t%.2f\t%s\t%s\t%s\t%s\n", s.Service, s.Node, s.Zone, s.State,
				cmp.Or(s.SoftwareVersion, "-"), s.Reachable, s.Running, s.Queued, s.Slots, s.Outstanding, s.Failing, news,
				span(s.FullForMs), span(s.ExcludedForMs), usualTimes(s.UsualMs))
		}
		if err := w.Flush(); err != nil {
			return err
		}
		if v.LeftOut > 0 {
			fmt.Fprintf(stdout, "%d left out; use --service\n", v.LeftOut)
		}
	}
	return nil
}

// usualTimes lists usual running times by route.
func usualTimes(byRoute map[string]float64) string {
	var parts []string
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		parts = append(parts, fmt.Sprintf("%s=%.0f", route, byRoute[route]))
	}
	return cmp.Or(strings.Join(parts, " "), "-")
}
