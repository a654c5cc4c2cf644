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

	"lavenderdeal/internal/border"
	"lavenderdeal/internal/lines"
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
	return &ffcli.Command{
		Name:       "lavenderdeald",
		ShortUsage: "lavenderdeald [--config FILE] [--check]",
		LongHelp:   "Runs until SIGTERM or SIGINT. SIGHUP reads the settings again.\n" + envFile + " names the settings file when --config does not.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			cfg, err := readSettings(*path)
			if err != nil || *check {
				return err
			}
			return run(ctx, *path, cfg)
		},
	}
}

func readSettings(path string) (settings.Settings, error) {
	decoder := border.MustNew[settings.Settings](settings.Schema, "")
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, errors.Wrap(err, "settings")
	}
	cfg, err := decoder.Decode(data)
	return cfg, errors.Wrapf(err, "settings %s", path)
}

func run(ctx context.Context, path string, cfg settings.Settings) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Memory) * (1 << 20)))
	l := lines.New(os.Stdout, cfg.Node)
	n, err := mesh.Start(cfg, l)
	if err != nil {
		return err
	}
	defer n.Flush()
	l.Note("started", log.Fields{"zone": cfg.Zone, "service": cfg.Service, "server": cfg.Server.String(), "caller": cfg.Listen.Caller.String()})
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var group errgroup.Group
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-reload:
				checkAgain(path, cfg, l)
			}
		}
	})
	<-ctx.Done()
	err = n.Stop()
	return errors.CombineErrors(err, group.Wait())
}

// checkAgain reads the settings after SIGHUP. Addresses and limits are those of
// the instance and hold until the process ends; a change is told.
func checkAgain(path string, inForce settings.Settings, l *lines.Log) {
	cfg, err := readSettings(path)
	if err != nil {
		l.Note("settingsRefused", log.Fields{"error": err})
		return
	}
	l.Note("settingsRead", log.Fields{"changed": cfg != inForce, "needsRestart": cfg != inForce})
}
