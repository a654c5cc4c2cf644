// Package settings reads the settings of a node.
//
// The file is YAML by the schema of lavenderdeal/schema/settings. Unknown
// fields are refused and every fault is reported with its line:
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

const hidden = "(hidden)"

// Decode checks settings and fills in the defaults. The error is of type
// border.Faults.
func Decode(data []byte) (schema.Settings, error) { return decoder.Decode(data) }

// DecodeWith is like Decode; the overrides go before the file.
func DecodeWith(data []byte, overrides []document.Override) (schema.Settings, error) {
	return decoder.DecodeWith(data, overrides)
}

// Redact returns the settings without their keys.
func Redact(cfg schema.Settings) schema.Settings {
	for _, key := range []*string{&cfg.PeerKey, &cfg.OperatorKey, &cfg.Platform.Token} {
		if *key != "" {
			*key = hidden
		}
	}
	return cfg
}

// ForLoopback returns the settings of a node for trials on loopback: every
// listener takes any free port, and what is not given has its default.
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
