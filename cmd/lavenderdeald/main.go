// Command lavenderdeald is the node beside a backend server on the users'
// platform. It links none of the stand-ins and measurements of the command
// lavenderdeal.
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

// envFile names the variable that holds the path of the settings file.
const envFile = "LAVENDERDEAL_NODE_FILE"

// memoryPart is the part of the process's memory that the runtime aims at, so
// that it collects garbage before the platform ends the process.
const memoryPart = 0.7

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
	path := flags.String("config", os.Getenv(envFile), "settings file")
	check := flags.Bool("check", false, "check the settings and exit")
	show := flags.Bool("print", false, "print the settings in force, without keys, and exit")
	return &ffcli.Command{
		Name:       "lavenderdeald",
		ShortUsage: "lavenderdeald [--config FILE] [--check|--print]",
		LongHelp: "Runs until SIGTERM or SIGINT. Reads the settings again on SIGHUP and when the file has changed.\n" +
			envFile + " names the settings file when --config does not.",
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			cfg, err := readSettings(*path)
			if err != nil || *check {
				return err
			}
			if *show {
				return printSettings(os.Stdout, *path, cfg)
			}
			return run(ctx, *path, cfg)
		},
	}
}

func run(ctx context.Context, path string, cfg settings.Settings) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Memory) * (1 << 20)))
	l := jsonlog.New(os.Stdout, cfg.Node)
	n, err := mesh.Start(cfg, l)
	if err != nil {
		return err
	}
	defer n.Flush()
	l.WriteLimited("started", log.Fields{"zone": cfg.Zone, "service": cfg.Service, "server": cfg.Server.String(), "caller": cfg.Listen.Caller.String()})
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	var group errgroup.Group
	group.Go(func() error {
		follow(ctx, path, cfg, reload, func(cfg settings.Settings, err error) {
			if err != nil {
				l.WriteLimited("settingsRefused", log.Fields{"error": err})
				return
			}
			l.WriteLimited("settingsRead", log.Fields{"needsRestart": n.Reload(cfg)})
		})
		return nil
	})
	<-ctx.Done()
	err = n.Stop()
	return errors.CombineErrors(err, group.Wait())
}
