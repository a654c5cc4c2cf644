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
	// environmentPrefix is the prefix of the environment variables that set flags:
	// LAVENDERDEAL_PLATFORM sets --platform.
	environmentPrefix      = "LAVENDERDEAL"
	defaultPlatformTimeout = 2 * time.Second
)

// outputFormat is the format in which a command prints its result.
type outputFormat string

const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

// platformFlags are the flags for access to the platform's object API.
type platformFlags struct {
	address string
	token   string
	timeout time.Duration
}

// operatorOptions makes a command read its flags from the command line, the
// environment and the --defaults file, in this order of precedence.
func operatorOptions() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(environmentPrefix),
		ff.WithConfigFileFlag("defaults"),
		ff.WithConfigFileParser(ffyaml.Parser),
		ff.WithIgnoreUndefined(true),
	}
}

// newOperatorFlags returns a flag set with the flags that all operators' commands
// have.
func newOperatorFlags(name string, stderr io.Writer) *flag.FlagSet {
	flags := newFlags(name, stderr)
	flags.String("defaults", "", "YAML `file` with values for flags that neither the command line nor LAVENDERDEAL_... sets")
	return flags
}

func addPlatformFlags(flags *flag.FlagSet) *platformFlags {
	f := &platformFlags{}
	flags.StringVar(&f.address, "platform", "", "`address` and port of the platform's object API (LAVENDERDEAL_PLATFORM)")
	flags.StringVar(&f.token, "token", "", "bearer `token` for the platform; better in LAVENDERDEAL_TOKEN than on the command line")
	flags.DurationVar(&f.timeout, "platform-timeout", defaultPlatformTimeout, "timeout of a request to the platform")
	return f
}

// store returns the store that holds the versions of the lists in the platform, and
// a function that closes its connections.
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

// exec returns the Exec function of a command that takes no arguments. It opens the
// store, calls do with it and closes it.
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

func addOutputFlag(flags *flag.FlagSet) *outputFormat {
	format := outputText
	flags.Var(&format, "o", "output `format`: text or json")
	return &format
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Set accepts text or json.
func (o *outputFormat) Set(text string) error {
	switch outputFormat(text) {
	case outputText, outputJSON:
		*o = outputFormat(text)
		return nil
	}
	return usageError("want text or json")
}

func (o *outputFormat) String() string { return string(*o) }
