package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/user"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/core/plans"
	"lavenderdeal/internal/border"
	"lavenderdeal/internal/publish"
	"lavenderdeal/io/platform"
	"lavenderdeal/schema/lists"
)

func plansCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "plans",
		ShortUsage: "lavenderdeal plans COMMAND [flags]",
		ShortHelp:  "check, apply and show the two lists",
		LongHelp:   "Example:\n  lavenderdeal plans check customers.yaml plans.yaml",
		FlagSet:    newFlags("lavenderdeal plans", stderr),
		Exec:       needSubcommand,
		Subcommands: []*ffcli.Command{
			plansCheckCommand(stdout, stderr),
			plansApplyCommand(stdout, stderr),
		},
	}
}

func plansCheckCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "lavenderdeal plans check CUSTOMERS-FILE PLANS-FILE",
		ShortHelp:  "validate the two lists without the platform",
		LongHelp:   "Example:\n  lavenderdeal plans check customers.yaml plans.yaml",
		FlagSet:    newFlags("lavenderdeal plans check", stderr),
		Exec: func(_ context.Context, args []string) error {
			if _, _, err := readLists(args); err != nil {
				return err
			}
			fmt.Fprintln(stdout, "both lists are valid")
			return nil
		},
	}
}

func plansApplyCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("lavenderdeal plans apply", stderr)
	address := flags.String("platform", "", "address and port of the platform's object API")
	token := flags.String("token", "", "bearer token for the platform")
	reason := flags.String("reason", "", "why the lists change")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "lavenderdeal plans apply --platform ADDRESS CUSTOMERS-FILE PLANS-FILE",
		ShortHelp:  "make the two lists the newest version",
		LongHelp:   "Example:\n  lavenderdeal plans apply --platform 127.0.0.1:7000 customers.yaml plans.yaml",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			addr, err := netip.ParseAddrPort(*address)
			if err != nil {
				return usageError("--platform: %v", err)
			}
			customers, planList, err := readLists(args)
			if err != nil {
				return err
			}
			store := publish.Store{Objects: platform.New(addr, platform.WithToken(*token))}
			current, err := store.Current(ctx)
			if err != nil {
				return err
			}
			head, err := store.Apply(ctx, current, customers, planList, publish.Change{Author: author(), Reason: *reason})
			if err != nil {
				return err
			}
			fmt.Fprintf(stdout, "version %d\n", head.Version)
			return nil
		},
	}
}

// readLists reads and checks both lists. The error names every fault.
func readLists(files []string) (lists.CustomerList, lists.PlanList, error) {
	var customers lists.CustomerList
	var planList lists.PlanList
	if len(files) != 2 {
		return customers, planList, usageError("want two files, the list of customers and the list of plans")
	}
	customerData, err := os.ReadFile(files[0])
	if err != nil {
		return customers, planList, err
	}
	planData, err := os.ReadFile(files[1])
	if err != nil {
		return customers, planList, err
	}
	customers, err = publish.DecodeCustomers(customerData)
	if err != nil {
		return customers, planList, errors.Newf("%s:\n%v", files[0], err)
	}
	planList, err = publish.DecodePlans(planData)
	if err != nil {
		return customers, planList, errors.Newf("%s:\n%v", files[1], err)
	}
	_, faults := plans.Build(1, customers, planList)
	text := ""
	for _, fault := range faults {
		file, data := files[0], customerData
		if fault.List == "plans" {
			file, data = files[1], planData
		}
		text += fmt.Sprintf("%s: line %d: %s: %s\n", file, border.Line(data, fault.Field), fault.Field, fault.Message)
	}
	if len(faults) > 0 {
		return customers, planList, errors.Newf("%d faults\n%s", len(faults), text)
	}
	return customers, planList, nil
}

func author() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
