// Package settings reads the settings of a node.
//
// The file is YAML by the schema of lavenderdeal/schema/settings. Unknown
// fields are refused and every fault is reported with its line:
//
//	cfg, err := settings.Decode(data)
package settings

import (
	"lavenderdeal/internal/border"
	schema "lavenderdeal/schema/settings"
)

var decoder = border.MustNew[schema.Settings](schema.Schema, "")

const hidden = "(hidden)"

// Decode checks settings and fills in the defaults. The error is of type
// border.Faults.
func Decode(data []byte) (schema.Settings, error) { return decoder.Decode(data) }

// DecodeWith is like Decode; the overrides go before the file.
func DecodeWith(data []byte, overrides []border.Override) (schema.Settings, error) {
	return decoder.DecodeWith(data, overrides)
}

// Hide returns the settings without their keys.
func Hide(cfg schema.Settings) schema.Settings {
	for _, key := range []*string{&cfg.PeerKey, &cfg.OperatorKey, &cfg.Platform.Token} {
		if *key != "" {
			*key = hidden
		}
	}
	return cfg
}
