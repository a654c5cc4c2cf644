package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lavenderdeal/core/progress"
	"lavenderdeal/internal/publish"
	"lavenderdeal/schema/objects"
)

const (
	defaultWatchLimit = time.Minute
	watchInterval     = 500 * time.Millisecond
	// maxPrintedLags is the maximum number of nodes of a zone that are printed with
	// the reason why they have not confirmed.
	maxPrintedLags = 5
)

// zoneProgress is printed when the state of a zone changes: how many of its nodes
// have confirmed the newest version.
type zoneProgress struct {
	At               time.Time     `json:"at"`
	Target           uint64        `json:"target"`
	Zone             string        `json:"zone"`
	Confirmed        bool          `json:"confirmed"`
	Reason           string        `json:"reason,omitempty"`
	Version          uint64        `json:"version"`
	Members          int           `json:"members"`
	ConfirmedMembers int           `json:"confirmedMembers"`
	Missing          []objects.Lag `json:"missing,omitempty"`
	WrittenAt        time.Time     `json:"writtenAt"`
}

// watcher polls the status of the zones until all have confirmed the newest version.
type watcher struct {
	store  publish.Store
	stdout io.Writer
	stderr io.Writer
	format outputFormat
	// zones are the zones that must confirm. When it is empty, all zones with a status
	// in the platform must.
	zones []string
	// printed has the last printed line of each zone.
	printed map[string]string
	lastErr string
}

func plansWatchCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newOperatorFlags("lavenderdeal plans watch", stderr)
	platform := addPlatformFlags(flags)
	format := addOutputFlag(flags)
	limit := flags.Duration("limit", defaultWatchLimit, "longest `time` to wait")
	zones := flags.String("zones", "", "comma-separated availability `zones` that must confirm; without it, all that have a status in the platform")
	return &ffcli.Command{
		Name:       "watch",
		ShortUsage: "lavenderdeal plans watch [flags]",
		ShortHelp:  "wait until the availability zones have confirmed the newest version",
		LongHelp: "Prints a line for each zone whenever it changes: how many nodes have confirmed, which have not and why.\n\n" +
			"Example:\n  lavenderdeal plans watch --platform 127.0.0.1:7000 --limit 30s --zones catania,palermo,agrigento\n\n" +
			"Exits with 0 when all zones confirmed, 1 when the command failed, 4 at its time limit.",
		FlagSet: flags,
		Options: operatorOptions(),
		Exec: platform.exec(func(ctx context.Context, store publish.Store) error {
			w := &watcher{store: store, stdout: stdout, stderr: stderr, format: *format, printed: make(map[string]string)}
			if *zones != "" {
				w.zones = strings.Split(*zones, ",")
			}
			return w.run(ctx, *limit)
		}),
	}
}

// run polls until all zones have confirmed, ctx is done or the limit is reached. It
// reads the newest version on each poll, so that it waits for a newer one when there
// is one.
func (w *watcher) run(ctx context.Context, limit time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	pending := "the platform did not answer"
	for {
		confirmed, text, err := w.poll(limited)
		switch {
		case err == nil && confirmed:
			return nil
		case err == nil:
			pending = text
		case limited.Err() == nil:
			w.report(err)
		}
		select {
		case <-ticker.C:
		case <-limited.Done():
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return &exitError{code: exitTimeLimit, err: errors.Newf("not confirmed after %s: %s", limit, pending)}
		}
	}
}

// poll reads the newest head and the status of the zones once, and prints the zones
// that changed. pending lists the zones that have not confirmed, with the reasons.
func (w *watcher) poll(ctx context.Context) (confirmed bool, pending string, err error) {
	head, err := findHead(ctx, w.store, 0)
	if err != nil {
		return false, "", err
	}
	zones, err := w.store.Zones(ctx)
	if err != nil {
		return false, "", err
	}
	var waiting []string
	seen := make(map[string]bool, len(zones))
	for _, zone := range zones {
		if len(w.zones) > 0 && !slices.Contains(w.zones, zone.Name) {
			continue
		}
		seen[zone.Name] = true
		line := newZoneProgress(head, zone)
		if err := w.print(line); err != nil {
			return false, "", err
		}
		if !line.Confirmed {
			waiting = append(waiting, zone.Name+" "+line.Reason)
		}
	}
	for _, name := range w.zones {
		if !seen[name] {
			waiting = append(waiting, name+" has no status in the platform")
		}
	}
	if len(seen) == 0 && len(waiting) == 0 {
		waiting = append(waiting, "no zone has a status in the platform")
	}
	return len(waiting) == 0, fmt.Sprintf("version %d: %s", head.Version, strings.Join(waiting, "; ")), nil
}

func newZoneProgress(head objects.Head, zone publish.Zone) zoneProgress {
	status := zone.Status
	line := zoneProgress{
		Target:           head.Version,
		Zone:             zone.Name,
		Version:          status.Version,
		Members:          status.Members,
		ConfirmedMembers: status.Confirmed,
		Missing:          status.Missing,
		WrittenAt:        status.WrittenAt,
	}
	if zone.Err != nil {
		line.Reason = "has a status that cannot be read: " + zone.Err.Error()
		return line
	}
	result := progress.Evaluate(head, status)
	line.Confirmed, line.Reason = result.Confirmed, result.Reason
	return line
}

// print prints the line of a zone if it differs from its last one.
func (w *watcher) print(line zoneProgress) error {
	text := line.String()
	if w.printed[line.Zone] == text {
		return nil
	}
	w.printed[line.Zone] = text
	line.At = time.Now().UTC()
	if w.format == outputJSON {
		return printJSON(w.stdout, line)
	}
	_, err := fmt.Fprintln(w.stdout, line.At.Format(time.TimeOnly), text)
	return err
}

// report prints an error if it differs from the last one.
func (w *watcher) report(err error) {
	if text := err.Error(); text != w.lastErr {
		w.lastErr = text
		fmt.Fprintln(w.stderr, "lavenderdeal:", text)
	}
}

func (l zoneProgress) String() string {
	text := fmt.Sprintf("%s: version %d, %d/%d nodes", l.Zone, l.Target, l.ConfirmedMembers, l.Members)
	if l.Confirmed {
		return text + ", confirmed"
	}
	text += ", waiting: " + l.Reason
	for i, lag := range l.Missing {
		if i == maxPrintedLags {
			return text + fmt.Sprintf(" and %d more", len(l.Missing)-i)
		}
		text += fmt.Sprintf("; %s has version %d: %s", lag.Node, lag.Version, lag.Reason)
	}
	return text
}
