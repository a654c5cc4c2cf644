// Package settings decodes and validates the settings of a node.
//
// The file is YAML with the schema of lavenderdeal/schema/settings. Unknown fields are
// rejected, and each fault is reported with its line:
//
//	cfg, err := settings.Decode(data)
package settings

import (
	"net/netip"
	"time"

	"lavenderdeal/internal/document"
	"lavenderdeal/internal/units"
	schema "lavenderdeal/schema/settings"
)

var decoder = document.MustNew[schema.Settings](schema.Schema, "")

const redacted = "(hidden)"

// Decode decodes and validates settings and sets the defaults. The error is of type
// document.Faults.
func Decode(data []byte) (schema.Settings, error) { return decoder.Decode(data) }

// DecodeWith is like Decode, with overrides that take precedence over the file.
func DecodeWith(data []byte, overrides []document.Override) (schema.Settings, error) {
	return decoder.DecodeWith(data, overrides)
}

// Redact returns the settings with their keys and token replaced by a placeholder.
func Redact(cfg schema.Settings) schema.Settings {
	for _, key := range []*string{&cfg.PeerKey, &cfg.OperatorKey, &cfg.Platform.Token} {
		if *key != "" {
			*key = redacted
		}
	}
	return cfg
}

// ForLoopback returns the settings of a node for tests and trials on the loopback
// interface. Each listener uses a free port, and the remaining settings have fixed values.
func ForLoopback(zone, service string, server, platform netip.AddrPort) schema.Settings {
	free := netip.MustParseAddrPort("127.0.0.1:0")
	return schema.Settings{
		Zone: zone, Region: "default", Service: service,
		Server:   schema.Server{Address: server, Slots: 4, Connections: 10, HealthPath: "/health"},
		Listen:   schema.Listen{Caller: free, Peer: free, Call: free, Operator: free},
		Platform: schema.Platform{Address: platform, Timeout: units.Duration(2 * time.Second)},
		PeerKey:  "loopback-peer-key-0123456789",
		Drain:    schema.Drain{Announce: units.Duration(3 * time.Second), Finish: units.Duration(time.Minute)},
	}
}
