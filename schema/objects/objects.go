// Package objects defines the types and the JSON Schema of the objects that the
// system stores in the platform.
package objects

import _ "embed"

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml -p objects -o objects.gen.go objects.schema.json

// Schema is the JSON Schema of [Objects]. Each kind of object is one of its "$defs".
//
//go:embed objects.schema.json
var Schema []byte
