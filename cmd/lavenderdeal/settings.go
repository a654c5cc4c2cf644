package main

import (
	"context"
	"flag"
	"io"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/internal/document"
	"lavenderdeal/io/settings"
	schema "lavenderdeal/schema/settings"
)

// overrideFlag is a flag that overrides a field of the settings file.
type overrideFlag struct {
	name, field, usage string
	// number is set if the field is an integer instead of a string.
	number bool
}

var overrideFlags = []overrideFlag{
	{name: "zone", field: "zone", usage: "availability `zone` of this instance"},
	{name: "region", field: "region", usage: "`region` of the availability zone"},
	{name: "service", field: "service", usage: "`service` that the backend server runs"},
	{name: "server-address", field: "server.address", usage: "`address` and port of the backend server"},
	{name: "server-slots", field: "server.slots", usage: "`calls` that the backend server runs concurrently", number: true},
	{name: "server-connections", field: "server.connections", usage: "`connections` that the backend server accepts", number: true},
	{name: "listen-caller", field: "listen.caller", usage: "`address` and port for callers"},
	{name: "listen-peer", field: "listen.peer", usage: "`address` and port for control between nodes"},
	{name: "listen-call", field: "listen.call", usage: "`address` and port for calls between nodes"},
	{name: "listen-operator", field: "listen.operator", usage: "`address` and port for operators"},
	{name: "platform", field: "platform.address", usage: "`address` and port of the platform's object API"},
	{name: "token", field: "platform.token", usage: "bearer `token` for the platform; better in the environment"},
	{name: "platform-timeout", field: "platform.timeout", usage: "`timeout` of a request to the platform"},
	{name: "memory", field: "memory", usage: "`MiB` of memory that the process may use", number: true},
	{name: "peer-key", field: "peerKey", usage: "shared `key` by which nodes authenticate each other; better in the environment"},
	{name: "operator-key", field: "operatorKey", usage: "`key` for writes on the operator port; better in the environment"},
	{name: "log-level", field: "logLevel", usage: "lowest `level` that is logged"},
}

// settingsFlags reads the settings of a node from a file, the environment and the
// command line, in increasing order of precedence.
type settingsFlags struct {
	flags *flag.FlagSet
	file  *string
}

func addSettingsFlags(flags *flag.FlagSet) *settingsFlags {
	s := &settingsFlags{flags: flags, file: flags.String("config", "", "`file` with the settings (YAML)")}
	for _, f := range overrideFlags {
		flags.String(f.name, "", f.usage)
	}
	return s
}

// settingsOptions makes a command read its flags from the command line and the
// environment; the command line has precedence.
func settingsOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)}
}

// read returns the effective settings, or an error with every fault in them.
func (s *settingsFlags) read() (schema.Settings, error) {
	if *s.file == "" {
		return schema.Settings{}, usageError("--config FILE or LAVENDERDEAL_CONFIG is needed")
	}
	data, err := os.ReadFile(*s.file)
	if err != nil {
		return schema.Settings{}, err
	}
	overrides, err := s.overrides()
	if err != nil {
		return schema.Settings{}, err
	}
	cfg, err := settings.DecodeWith(data, overrides)
	if err != nil {
		return schema.Settings{}, errors.Newf("%s:\n%v", *s.file, err)
	}
	return cfg, nil
}

// overrides returns the fields that the flags or the environment set.
func (s *settingsFlags) overrides() ([]document.Override, error) {
	var overrides []document.Override
	for _, f := range overrideFlags {
		text := s.flags.Lookup(f.name).Value.String()
		if text == "" {
			continue
		}
		override := document.Override{Field: f.field, Value: text}
		if f.number {
			n, err := strconv.Atoi(text)
			if err != nil {
				return nil, usageError("--%s %q: want an integer", f.name, text)
			}
			override.Value = n
		}
		overrides = append(overrides, override)
	}
	return overrides, nil
}

func settingsCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "settings",
		ShortUsage:  "lavenderdeal settings COMMAND [flags]",
		ShortHelp:   "show the settings of a node",
		LongHelp:    "Example:\n  lavenderdeal settings print --config node.yaml",
		FlagSet:     newFlags("lavenderdeal settings", stderr),
		Exec:        needSubcommand,
		Subcommands: []*ffcli.Command{settingsPrintCommand(stdout, stderr)},
	}
}

func settingsPrintCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("lavenderdeal settings print", stderr)
	source := addSettingsFlags(flags)
	format := addOutputFlag(flags)
	return &ffcli.Command{
		Name:       "print",
		ShortUsage: "lavenderdeal settings print --config FILE [flags]",
		ShortHelp:  "print the effective settings, without keys",
		LongHelp: "Reads the file, then LAVENDERDEAL_... from the environment, then the flags, fills in the defaults and validates the result.\n\n" +
			"Example:\n  LAVENDERDEAL_ZONE=palermo lavenderdeal settings print --config node.yaml --server-slots 12\n\n" +
			"Exits with 0 when the settings are valid, 1 when they have a fault, 2 when the command line is wrong.",
		FlagSet: flags,
		Options: settingsOptions(),
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			cfg, err := source.read()
			if err != nil {
				return err
			}
			if *format == outputJSON {
				return printJSON(stdout, settings.Redact(cfg))
			}
			return printYAML(stdout, settings.Redact(cfg))
		},
	}
}
