// Package settings defines the type and the JSON Schema of the settings of a node that
// the command lavenderdeal runs. Package meshsettings has those of the command
// lavenderdeald.
package settings

import _ "embed"

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml -p settings -o settings.gen.go settings.schema.json

// Schema is the JSON Schema of [Settings].
//
//go:embed settings.schema.json
var Schema []byte
