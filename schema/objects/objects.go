// Package objects defines the types and the JSON Schema of the objects that the
// command lavenderdeal and its nodes store in the platform: the heads of the versions of
// the lists, the status of each zone, the peer addresses that a new node can join, and
// the nodes among which the idempotency keys of each service are divided.
package objects

import _ "embed"

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml -p objects -o objects.gen.go objects.schema.json

// Schema is the JSON Schema of [Objects]. Each kind of object is one of its "$defs".
//
//go:embed objects.schema.json
var Schema []byte
