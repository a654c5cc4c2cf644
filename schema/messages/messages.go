// Package messages defines the types and the JSON Schema of the messages between the
// nodes that the command lavenderdeal runs. Package roster has those of the command
// lavenderdeald.
package messages

//go:generate go tool go-jsonschema --only-models --struct-name-from-title --tags json,yaml -p messages -o messages.gen.go messages.schema.json
