package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/internal/httpserver"
	"lavenderdeal/internal/standin/backend"
	"lavenderdeal/internal/standin/objectapi"
)

// Paths that the stand-ins serve for tests, in addition to the paths of the servers
// that they imitate.
const (
	runsPath = "/standin/runs"
	downPath = "/standin/down"
	upPath   = "/standin/up"
)

func standinCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "lavenderdeal standin COMMAND [flags]",
		ShortHelp:  "run a stand-in for the platform or for a backend server",
		LongHelp:   "A stand-in imitates a server for trials and tests. It keeps all data in memory.\n\nExample:\n  lavenderdeal standin platform --listen 127.0.0.1:7000",
		FlagSet:    newFlags("lavenderdeal standin", stderr),
		Exec:       needSubcommand,
		Subcommands: []*ffcli.Command{
			standinServerCommand("platform", "the platform's object API", stdout, stderr,
				func(string, int) http.Handler { return platformWithControls(objectapi.New()) }),
			standinServerCommand("server", "a backend server", stdout, stderr,
				func(name string, slots int) http.Handler { return serverWithRuns(backend.New(name, slots)) }),
		},
	}
}

// standinServerCommand returns the command that runs one stand-in until it is
// stopped. The command prints the address on which the stand-in listens.
func standinServerCommand(name, what string, stdout, stderr io.Writer, handler func(name string, slots int) http.Handler) *ffcli.Command {
	flags := newFlags("lavenderdeal standin "+name, stderr)
	listen := flags.String("listen", "127.0.0.1:0", "address and port")
	slots := flags.Int("slots", 16, "concurrent calls (server only)")
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

// serverWithRuns returns a handler for a stand-in server that also serves runsPath:
// the number of runs of each call, by call id, as JSON.
func serverWithRuns(server *backend.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != runsPath {
			server.ServeHTTP(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(server.Runs())
	})
}

// platformWithControls returns a handler for a stand-in platform that also serves
// downPath and upPath, which make it unavailable and available again.
func platformWithControls(store *objectapi.Store) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case downPath:
			store.SetFaults(objectapi.Faults{Down: true})
		case upPath:
			store.SetFaults(objectapi.Faults{})
		default:
			store.ServeHTTP(w, r)
		}
	})
}
