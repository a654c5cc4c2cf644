package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/internal/trace"
)

func traceCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "trace",
		ShortUsage: "lavenderdeal trace REQUEST-ID [FILE...]",
		ShortHelp:  "explain one request from the logs of nodes",
		LongHelp: "Reads the log lines of many nodes, from files or from standard input, puts those of the request\n" +
			"and of the calls that it made in order of time, and prints why it ended as it did.\n\n" +
			"Example:\n  lavenderdeal trace 9c41d07be2a35f68 catania-*.log\n\n" +
			"Exits with 1 when no line of the request was found or a log could not be read.",
		FlagSet: newFlags("lavenderdeal trace", stderr),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("want a request id")
			}
			logs, closeLogs, err := openLogs(args[1:])
			if err != nil {
				return err
			}
			defer closeLogs()
			t, err := trace.Read(args[0], logs...)
			if err != nil {
				return err
			}
			fmt.Fprint(stdout, t)
			if len(t.Lines) == 0 {
				return errors.Newf("no log line of request %s", args[0])
			}
			return nil
		},
	}
}

// openLogs opens the files, or uses standard input when there are none.
func openLogs(paths []string) (logs []io.Reader, closeLogs func(), err error) {
	var files []*os.File
	closeLogs = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			closeLogs()
			return nil, nil, errors.Wrap(err, "open log")
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, os.Stdin)
	}
	return logs, closeLogs, nil
}
