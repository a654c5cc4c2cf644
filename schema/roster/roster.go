// Package roster defines the types and the JSON Schema of the messages by which the
// nodes that the command lavenderdeald runs exchange their membership and configuration
// versions. Package messages has those of the command lavenderdeal, and the handshake
// and the crash reports of both commands.
package roster

import _ "embed"

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json -p roster -o roster.gen.go roster.schema.json

// Schema is the JSON Schema of [Roster]. Each kind of message is one of its "$defs".
//
//go:embed roster.schema.json
var Schema []byte
