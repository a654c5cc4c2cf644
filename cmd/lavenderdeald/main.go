// Command lavenderdeald runs a node of the service mesh, the sidecar proxy beside
// one backend server, on the users' platform; see lavenderdeal/internal/mesh.
// Unlike the command lavenderdeal, it contains no operators' commands, no fake
// servers and no measurements.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"lavenderdeal/internal/jsonlog"
	"lavenderdeal/internal/mesh"
	settings "lavenderdeal/schema/meshsettings"
)

// envFile is the environment variable with the path of the settings file. The flag
// --config takes precedence.
const envFile = "LAVENDERDEAL_NODE_FILE"

// memoryLimitRatio is the soft memory limit of the Go runtime, as a share of the
// memory that the settings allot to the process. Near the limit the runtime
// collects garbage more often, before the platform kills the process.
const memoryLimitRatio = 0.7

func main() {
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ParseAndRun(ctx, os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, "lavenderdeald:", err)
		os.Exit(1)
	}
}

func command() *ffcli.Command {
	flags := flag.NewFlagSet("lavenderdeald", flag.ContinueOnError)
	path := flags.String("config", os.Getenv(envFile), "`file` with the settings (YAML)")
	checkOnly := flags.Bool("check", false, "validate the settings and exit")
	printOnly := flags.Bool("print", false, "print the effective settings, without keys, and exit")
	return &ffcli.Command{
		Name:       "lavenderdeald",
		ShortUsage: "lavenderdeald [--config FILE] [--check|--print]",
		LongHelp: "Runs until SIGTERM or SIGINT. Reloads the settings on SIGHUP and when the file changes.\n" +
			envFile + " is the settings file when --config is not given.",
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			cfg, err := readSettings(*path)
			if err != nil || *checkOnly {
				return err
			}
			if *printOnly {
				return printSettings(os.Stdout, *path, cfg)
			}
			return run(ctx, *path, cfg)
		},
	}
}

// run runs a node until ctx is done and reloads its settings when they change.
func run(ctx context.Context, path string, cfg settings.Settings) error {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(cfg.Memory) * (1 << 20)))
	logger := jsonlog.New(os.Stdout, cfg.Node)
	n, err := mesh.Start(cfg, logger)
	if err != nil {
		return err
	}
	defer n.Flush()
	logger.WriteLimited("started", log.Fields{"zone": cfg.Zone, "service": cfg.Service, "server": cfg.Server.String(), "caller": cfg.Listen.Caller.String()})
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	var group errgroup.Group
	group.Go(func() error {
		watchSettings(ctx, path, cfg, reload, func(cfg settings.Settings, err error) {
			if err != nil {
				logger.WriteLimited("settingsRefused", log.Fields{"error": err})
				return
			}
			logger.WriteLimited("settingsRead", log.Fields{"needsRestart": n.Reload(cfg)})
		})
		return nil
	})
	<-ctx.Done()
	err = n.Stop()
	return errors.CombineErrors(err, group.Wait())
}
