// Package roster defines the types and the JSON Schema of the messages by which the
// nodes of a mesh exchange their membership and configuration versions.
package roster

import _ "embed"

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json -p roster -o roster.gen.go roster.schema.json

// Schema is the JSON Schema of the messages.
//
//go:embed roster.schema.json
var Schema []byte
