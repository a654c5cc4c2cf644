package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffyaml"

	"lavenderdeal/internal/publish"
	"lavenderdeal/io/platform"
)

const (
	environmentPrefix      = "LAVENDERDEAL"
	defaultPlatformTimeout = 2 * time.Second
)

// output is the form in which a command prints its result.
type output string

const (
	outputText output = "text"
	outputJSON output = "json"
)

// platformFlags say where the platform is.
type platformFlags struct {
	address string
	token   string
	timeout time.Duration
}

// operatorOptions make a command take its flags from the command line, then from
// the environment, then from the file of --defaults.
func operatorOptions() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(environmentPrefix),
		ff.WithConfigFileFlag("defaults"),
		ff.WithConfigFileParser(ffyaml.Parser),
		ff.WithIgnoreUndefined(true),
	}
}

// newOperatorFlags returns the flags that every operator's command has.
func newOperatorFlags(name string, stderr io.Writer) *flag.FlagSet {
	flags := newFlags(name, stderr)
	flags.String("defaults", "", "YAML `file` with values for flags that neither the command line nor LAVENDERDEAL_... sets")
	return flags
}

func addPlatformFlags(flags *flag.FlagSet) *platformFlags {
	f := &platformFlags{}
	flags.StringVar(&f.address, "platform", "", "`address` and port of the platform's object API (LAVENDERDEAL_PLATFORM)")
	flags.StringVar(&f.token, "token", "", "bearer `token` for the platform; better in LAVENDERDEAL_TOKEN than on the command line")
	flags.DurationVar(&f.timeout, "platform-timeout", defaultPlatformTimeout, "time after which a request to the platform is given up")
	return f
}

// store returns the versions in the platform, and what closes it.
func (f *platformFlags) store() (publish.Store, func(), error) {
	if f.address == "" {
		return publish.Store{}, nil, usageError("--platform or LAVENDERDEAL_PLATFORM is needed: address and port of the object API")
	}
	addr, err := netip.ParseAddrPort(f.address)
	if err != nil {
		return publish.Store{}, nil, usageError("--platform: %v", err)
	}
	client := platform.New(addr, platform.WithToken(f.token), platform.WithTimeout(f.timeout))
	return publish.Store{Objects: client}, client.Close, nil
}

// exec returns what runs a command that takes no arguments.
func (f *platformFlags) exec(do func(context.Context, publish.Store) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if err := noArguments(args); err != nil {
			return err
		}
		store, closeStore, err := f.store()
		if err != nil {
			return err
		}
		defer closeStore()
		return do(ctx, store)
	}
}

func addOutputFlag(flags *flag.FlagSet) *output {
	form := outputText
	flags.Var(&form, "o", "`form` of the output: text or json")
	return &form
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Set takes text or json.
func (o *output) Set(text string) error {
	switch output(text) {
	case outputText, outputJSON:
		*o = output(text)
		return nil
	}
	return usageError("want text or json")
}

func (o *output) String() string { return string(*o) }
