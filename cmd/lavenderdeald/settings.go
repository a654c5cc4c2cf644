package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"lavenderdeal/internal/document"
	settings "lavenderdeal/schema/meshsettings"
)

const (
	// pollInterval is the time between two checks of the settings file, which may
	// change without a signal. A check costs one system call.
	pollInterval = 2 * time.Second
	// redacted is printed in place of a key.
	redacted = "(hidden)"
)

// readSettings reads and validates the settings file and fills in the defaults.
func readSettings(path string) (settings.Settings, error) {
	decoder := document.MustNew[settings.Settings](settings.Schema, "")
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, errors.Wrap(err, "settings")
	}
	cfg, err := decoder.Decode(data)
	return cfg, errors.Wrapf(err, "settings %s", path)
}

// watchSettings reads the settings file on each signal and when the file changes,
// until ctx is done. It calls onChange with the new settings if they differ from
// those in use. If the file can't be read or is invalid, it calls onChange with the
// settings in use and the error.
func watchSettings(ctx context.Context, path string, cfg settings.Settings, reload <-chan os.Signal, onChange func(settings.Settings, error)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := fileStamp(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
			if fileStamp(path) == last {
				continue
			}
		}
		last = fileStamp(path)
		next, err := readSettings(path)
		if err != nil {
			onChange(cfg, err)
			continue
		}
		if !reflect.DeepEqual(next, cfg) {
			cfg = next
			onChange(cfg, nil)
		}
	}
}

// fileStamp returns the modification time and the size in bytes of a file, to
// detect changes. The result is zero when the file can't be accessed; reading the
// file then returns the error.
func fileStamp(path string) (s struct {
	modTime time.Time
	size    int64
}) {
	if info, err := os.Stat(path); err == nil {
		s.modTime, s.size = info.ModTime(), info.Size()
	}
	return s
}

// printSettings writes each effective setting, without keys, and whether it comes
// from the file at path or is a default.
func printSettings(w io.Writer, path string, cfg settings.Settings) error {
	cfg.PeerKey = redacted
	all, err := yaml.Marshal(cfg)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	var effective, inFile yaml.Node
	if err := errors.CombineErrors(yaml.Unmarshal(all, &effective), yaml.Unmarshal(content, &inFile)); err != nil {
		return errors.Wrap(err, "settings")
	}
	return printNode(w, "", effective.Content[0], inFile.Content[0])
}

// printNode writes the settings of one YAML mapping with their sources. The names of
// nested settings are dotted, such as listen.caller; prefix is the part up to this
// mapping. inFile is the same mapping of the file, or nil.
func printNode(w io.Writer, prefix string, effective, inFile *yaml.Node) error {
	for i := 0; i+1 < len(effective.Content); i += 2 {
		name, value := effective.Content[i].Value, effective.Content[i+1]
		fileValue := field(inFile, name)
		if value.Kind == yaml.MappingNode {
			if err := printNode(w, prefix+name+".", value, fileValue); err != nil {
				return err
			}
			continue
		}
		source := "default"
		if fileValue != nil {
			source = "file"
		}
		if _, err := fmt.Fprintf(w, "%s: %s # %s\n", prefix+name, value.Value, source); err != nil {
			return err
		}
	}
	return nil
}

// field returns the value of a key of a YAML mapping, or nil.
func field(n *yaml.Node, name string) *yaml.Node {
	if n == nil {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return n.Content[i+1]
		}
	}
	return nil
}
