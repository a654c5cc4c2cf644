// Package objects holds the types and the schema of the objects that the
// system keeps in the platform.
package objects

import _ "embed"

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml -p objects -o objects.gen.go objects.schema.json

// Schema is the JSON Schema of [Objects]; each kind is one of its "$defs".
//
//go:embed objects.schema.json
var Schema []byte
