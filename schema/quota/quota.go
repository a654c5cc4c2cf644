// Package quota defines the types and the JSON Schema of the messages by which the nodes
// that the command lavenderdeald runs keep the limits of client accounts.
package quota

import _ "embed"

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json -p quota -o quota.gen.go quota.schema.json

// Schema is the JSON Schema of [Quota]. Each kind of message is one of its "$defs".
//
//go:embed quota.schema.json
var Schema []byte
