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
	// fileEvery is the time between two looks at the settings file, which may change
	// without a signal. A look costs one call of the system.
	fileEvery = 2 * time.Second
	hidden    = "(hidden)"
)

func readSettings(path string) (settings.Settings, error) {
	decoder := document.MustNew[settings.Settings](settings.Schema, "")
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, errors.Wrap(err, "settings")
	}
	cfg, err := decoder.Decode(data)
	return cfg, errors.Wrapf(err, "settings %s", path)
}

// follow reads the settings again on each signal and when the file has changed, and
// passes on those that differ from the ones before, or why they can't be used.
func follow(ctx context.Context, path string, cfg settings.Settings, reload <-chan os.Signal, changed func(settings.Settings, error)) {
	ticker := time.NewTicker(fileEvery)
	defer ticker.Stop()
	before := stamp(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
			if stamp(path) == before {
				continue
			}
		}
		before = stamp(path)
		next, err := readSettings(path)
		if err != nil {
			changed(cfg, err)
			continue
		}
		if !reflect.DeepEqual(next, cfg) {
			cfg = next
			changed(cfg, nil)
		}
	}
}

// stamp is equal for a file that has not changed. One that can't be read has the
// zero stamp: reading it tells why.
func stamp(path string) (s struct {
	at   time.Time
	size int64
}) {
	if info, err := os.Stat(path); err == nil {
		s.at, s.size = info.ModTime(), info.Size()
	}
	return s
}

// printSettings writes each setting with where it comes from.
func printSettings(w io.Writer, path string, cfg settings.Settings) error {
	cfg.PeerKey = hidden
	all, err := yaml.Marshal(cfg)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	given, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	var inForce, inFile yaml.Node
	if err := errors.CombineErrors(yaml.Unmarshal(all, &inForce), yaml.Unmarshal(given, &inFile)); err != nil {
		return errors.Wrap(err, "settings")
	}
	return printNode(w, "", inForce.Content[0], inFile.Content[0])
}

func printNode(w io.Writer, prefix string, inForce, inFile *yaml.Node) error {
	for i := 0; i+1 < len(inForce.Content); i += 2 {
		name, value := inForce.Content[i].Value, inForce.Content[i+1]
		given := field(inFile, name)
		if value.Kind == yaml.MappingNode {
			if err := printNode(w, prefix+name+".", value, given); err != nil {
				return err
			}
			continue
		}
		source := "default"
		if given != nil {
			source = "file"
		}
		if _, err := fmt.Fprintf(w, "%s: %s # %s\n", prefix+name, value.Value, source); err != nil {
			return err
		}
	}
	return nil
}

// field returns the value of a field, or nil.
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
