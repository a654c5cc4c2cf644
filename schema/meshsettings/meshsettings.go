// Package meshsettings defines the type and the JSON Schema of the settings of a node
// that the command lavenderdeald runs on the users' platform.
package meshsettings

import _ "embed"

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml -p meshsettings -o meshsettings.gen.go meshsettings.schema.json

// Schema is the JSON Schema of [Settings].
//
//go:embed meshsettings.schema.json
var Schema []byte
