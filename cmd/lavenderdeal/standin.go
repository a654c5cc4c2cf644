package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/internal/httpserver"
	"lavenderdeal/internal/standin/backend"
	"lavenderdeal/internal/standin/objectapi"
)

func standinCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "lavenderdeal standin COMMAND [flags]",
		ShortHelp:  "run a stand-in for the platform or for a backend server",
		LongHelp:   "Stand-ins are for trials and tests. They keep everything in memory.\n\nExample:\n  lavenderdeal standin platform --listen 127.0.0.1:7000",
		FlagSet:    newFlags("lavenderdeal standin", stderr),
		Exec:       needSubcommand,
		Subcommands: []*ffcli.Command{
			standinServer("platform", "the platform's object API", stdout, stderr,
				func(string, int) http.Handler { return objectapi.New() }),
			standinServer("server", "a backend server", stdout, stderr,
				func(name string, slots int) http.Handler { return backend.New(name, slots) }),
		},
	}
}

func standinServer(name, what string, stdout, stderr io.Writer, handler func(name string, slots int) http.Handler) *ffcli.Command {
	flags := newFlags("lavenderdeal standin "+name, stderr)
	listen := flags.String("listen", "127.0.0.1:0", "address and port")
	slots := flags.Int("slots", 16, "calls at once (server only)")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "lavenderdeal standin " + name + " --listen ADDRESS",
		ShortHelp:  "run a stand-in for " + what,
		LongHelp:   "Example:\n  lavenderdeal standin " + name + " --listen 127.0.0.1:7000",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			addr, err := netip.ParseAddrPort(*listen)
			if err != nil {
				return usageError("--listen: %v", err)
			}
			s, err := httpserver.Start(addr, handler(addr.String(), *slots))
			if err != nil {
				return err
			}
			fmt.Fprintln(stdout, s.Addr())
			<-ctx.Done()
			return s.Close()
		},
	}
}
