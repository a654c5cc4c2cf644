// Package fresh defines the types and the JSON Schema of the messages by which the nodes
// that the command lavenderdeald runs tell each other how recent their version of the
// configuration is.
package fresh

import _ "embed"

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json -p fresh -o fresh.gen.go fresh.schema.json

// Schema is the JSON Schema of [Fresh]. Each kind of message is one of its "$defs".
//
//go:embed fresh.schema.json
var Schema []byte
